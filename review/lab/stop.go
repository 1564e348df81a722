package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

const (
	gracePeriod = 8 * time.Second
	// excusedFrom is the start of the last sixth of grace_period_s.
	excusedFrom = gracePeriod * 5 / 6
)

// playStop sends requests that take some seconds to a machine, and stops it in the planned way. The replicas finish
// all of them before the last sixth of grace_period_s begins.
func playStop(c *setting) bool {
	s := startStore()
	configure(s, 3, []map[string]any{
		{"name": "book", "hostname": host, "path_prefix": "/book/", "route_kind": "non_idempotent", "timeout_ms": 10000, "target_latency_ms": 400, "max_attempts": 3, "service": "rezervasyon"},
		{"name": "stream", "hostname": host, "path_prefix": "/stream/", "route_kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 400, "max_attempts": 3, "service": "rezervasyon"},
	}, []map[string]any{{"name": "rezervasyon", "connection_limit": 110, "health_path": "/health"}})
	const longest, lateWork = 6200 * time.Millisecond, 4400 * time.Millisecond
	var replicas []*replica
	for i, zone := range []string{"edirne-a", "edirne-b", "kesan", "uzunkopru"} {
		one := startReplica(c.record, s, fmt.Sprintf("i-%d", i), "rezervasyon", zone, 6)
		one.work = func(path string) time.Duration {
			if strings.Contains(path, "short") {
				return lateWork
			}
			return longest
		}
		one.gap = 100 * time.Millisecond
		one.events = func(string) int { return int(longest / (100 * time.Millisecond)) }
		one.enlist()
		replicas = append(replicas, one)
	}
	list := []*node{startNode(c.record, c.dir, "frontend-edirne-a-1", "edirne-a", s.address), startNode(c.record, c.dir, "frontend-edirne-b-1", "edirne-b", s.address)}
	awaitReady(list)
	time.Sleep(time.Second)

	type outcome struct {
		id     string
		status int
		whole  bool
		err    error
		at     time.Duration
	}
	var mu sync.Mutex
	var outcomes []outcome
	var waiting sync.WaitGroup
	send := func(id, path string) {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			c.record.log("client: sends %s to %s", id, list[0].name)
			status, _, body, err := call("POST", list[0].address, host, path, id, map[string]string{"X-Deadline-Ms": "12000"}, []byte("booking"), 13*time.Second)
			c.record.log("client: %s: status %d, %d bytes, error %v", id, status, len(body), err)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, outcome{id, status, err == nil && status == 200, err, c.record.at()})
		}()
	}
	for i := range 4 {
		send(fmt.Sprintf("b00c%d", i), "/book/long")
		send(fmt.Sprintf("57ea%d", i), "/stream/long")
	}
	time.Sleep(100 * time.Millisecond)
	stoppedAt := c.record.at()
	if c.trouble {
		list[0].signal(syscall.SIGTERM)
	}
	// The platform asks each second and takes a machine out after two answers in a row that are no 200, so that new
	// connections may come for some time after the SIGTERM.
	time.Sleep(1800 * time.Millisecond)
	for i := range 2 {
		send(fmt.Sprintf("1a7e%d", i), "/book/short")
	}
	waiting.Wait()
	time.Sleep(300 * time.Millisecond)

	lost := 0
	for _, one := range outcomes {
		if one.whole {
			continue
		}
		for _, r := range replicas {
			for _, ran := range r.runs {
				if ran.id != one.id {
					continue
				}
				work := longest
				if strings.Contains(ran.path, "short") {
					work = lateWork
				}
				would := ran.began + work - stoppedAt
				inTime := would < excusedFrom
				c.record.say("%s: read by %s and passed on to %s, which would have ended it %.2f s after the SIGTERM; the client's connection ended without a whole answer %.2f s after it (status %d, %v); counts: %t",
					one.id, list[0].name, r.id, would.Seconds(), (one.at - stoppedAt).Seconds(), one.status, one.err, inTime)
				if inTime {
					lost++
				}
			}
		}
	}
	c.record.say("%d of %d requests lost that the replicas would have ended within %.2f s of the SIGTERM", lost, len(outcomes), excusedFrom.Seconds())
	return lost > 0
}
