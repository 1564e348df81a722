package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["resume"] = playResume }

const (
	resumeReplicas = 7
	streamEvents   = 40
	streamGap      = 100 * time.Millisecond
	// One of seven replicas crashes, and one of them fails requests: shares of 0.143, within 0.15.
	crashFor  = 4500 * time.Millisecond
	failShare = 0.4
	heartbeat = 1200 * time.Millisecond
)

// crash ends all connections of a replica and its listener. Its entry goes after three heartbeats of silence, and the
// replica starts again later, as a new incarnation with a new id.
func (r *replica) crash(back time.Duration) {
	r.crashMu.Lock()
	server := r.server
	r.crashMu.Unlock()
	r.record.say("replica %s: crashes for %v", r.id, back)
	_ = server.Close()
	id := r.id
	time.AfterFunc(3*heartbeat, func() { r.store.remove("servers", id) })
	time.AfterFunc(back, r.listenAgain)
}

// playResume has clients read streams that may be resumed, while one replica crashes now and then, and another one
// answers some of its requests with a 500 of its own.
func playResume(c *setting) bool {
	s := startStore()
	configure(s, 3, []map[string]any{
		{"name": "stream", "hostname": host, "path_prefix": "/stream/", "route_kind": "streaming", "resumable": true, "timeout_ms": 10000, "target_latency_ms": 400, "max_attempts": 2, "service": "rota-model"},
	}, []map[string]any{{"name": "rota-model", "connection_limit": 170, "health_path": "/health"}})
	var replicas []*replica
	zones := []string{"edirne-a", "edirne-b", "kesan", "uzunkopru"}
	for i := range resumeReplicas {
		one := startReplica(c.record, s, fmt.Sprintf("m-%d", i), "rota-model", zones[i%len(zones)], 12)
		one.gap = streamGap
		one.events = func(string) int { return streamEvents }
		one.enlist()
		replicas = append(replicas, one)
	}
	var mu sync.Mutex
	asked := 0
	replicas[1].fail = func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		asked++
		return asked%5 < int(5*failShare)
	}
	list := []*node{startNode(c.record, c.dir, "frontend-edirne-a-1", "edirne-a", s.address), startNode(c.record, c.dir, "frontend-kesan-1", "kesan", s.address)}
	awaitReady(list)
	time.Sleep(500 * time.Millisecond)

	whole, failed, brokenOff, early := 0, 0, 0, 0
	var waiting sync.WaitGroup
	const rate = 18
	const length = 60 * time.Second
	began := time.Now()
	for i := 0; time.Since(began) < length; i++ {
		if c.trouble && i > 0 && i%(8*rate) == 3*rate {
			replicas[0].crash(crashFor)
		}
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			id := fmt.Sprintf("57ea%04x", i)
			n := list[i%len(list)]
			status, header, body, err := call("POST", n.address, host, "/stream/"+id, id, map[string]string{"X-Deadline-Ms": "12000"}, []byte("draft"), 13*time.Second)
			pieces := strings.Count(string(body), "\n\n")
			c.record.log("client: %s at %s: status %d, %d pieces, stamp %q, error %v", id, n.name, status, pieces, header.Get("X-Server-Stamp"), err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status != http.StatusOK:
				failed++
			case err != nil:
				brokenOff++
			case pieces == streamEvents:
				whole++
			default:
				early++
				c.record.say("client: %s at %s: a 200 that ended as complete after piece %d of %d", id, n.name, pieces, streamEvents)
				for _, r := range replicas {
					for _, ran := range r.taken(id) {
						c.record.say("   replica %s was asked after event %d, made %d, whole %t, own 500 %t", r.id, ran.after, ran.events, ran.whole, ran.failed)
					}
				}
			}
		}()
		time.Sleep(time.Second / rate)
	}
	waiting.Wait()
	c.record.say("%d streams whole, %d ended as complete ahead of their last piece, %d broken off, %d failed", whole, early, brokenOff, failed)
	return early > 0
}
