package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["spoiled"] = playSpoiled }

const (
	// garbleEvery spoils one answer in 50, which is x = 0.02, at one of three replicas, within share = 0.35.
	garbleEvery = 50
	garbleFor   = 5500 * time.Millisecond
)

// garbling decides which answers are spoiled.
type garbling struct {
	mu      sync.Mutex
	until   time.Time
	answers int
	spoiled int
}

func (g *garbling) spoil(id string, first, last int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().After(g.until) {
		return 0
	}
	g.answers++
	if g.answers%garbleEvery != garbleEvery/2 {
		return 0
	}
	g.spoiled++
	return (first + last) / 2
}

func (g *garbling) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = time.Now().Add(garbleFor)
}

// trainer hands batch jobs in and reads them, with each call at the next node.
type trainer struct {
	record *recorder
	nodes  []*node
	next   int
}

// call makes a call at the next node until one gives a final answer.
func (t *trainer) call(method, path, id string, header map[string]string, body []byte, until time.Time, final func(status int) bool) (int, []byte) {
	for {
		n := t.nodes[t.next%len(t.nodes)]
		t.next++
		status, _, answer, err := call(method, n.address, host, path, id, header, body, 3*time.Second)
		t.record.log("trainer: %s %s at %s: %d, %d bytes, %v", method, path, n.name, status, len(answer), err)
		if err == nil && final(status) || time.Now().After(until) {
			return status, answer
		}
		time.Sleep(300 * time.Millisecond)
	}
}

type wireResult struct {
	ID, State, Message string
	Versions           []int
	Score              string
}

// step hands in a batch job, reads it until it is whole or its time is up, and ends it. It returns the results.
func (t *trainer) step(job string, body []byte, total int, limit time.Duration) []wireResult {
	until := time.Now().Add(limit)
	status, _ := t.call("POST", "/plan/"+job, job, map[string]string{"Content-Type": "application/json", "X-Deadline-Ms": "12000"}, body, until,
		func(status int) bool { return status == http.StatusAccepted })
	if status != http.StatusAccepted {
		t.record.say("trainer: %s was not accepted: %d", job, status)
		return nil
	}
	var results []wireResult
	for len(results) < total && time.Now().Before(until) {
		_, content := t.call("GET", fmt.Sprintf("/doorstep/lots/%s?watch_after_revision=%d", job, len(results)), "", map[string]string{"X-Wait-Ms": "1000"}, nil, until,
			func(status int) bool { return status == http.StatusOK })
		var page struct{ Results []wireResult }
		if json.Unmarshal(content, &page) == nil {
			results = append(results, page.Results...)
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.call("DELETE", "/doorstep/lots/"+job, "", nil, nil, time.Now().Add(3*time.Second), func(status int) bool { return status == http.StatusOK })
	return results
}

// planJob returns a batch job of groups of four items.
func planJob(job string, step, minVersion, groups int, header map[string]string) []byte {
	var items []map[string]any
	for g := range groups {
		for i := range 4 {
			id := fmt.Sprintf("%s%03d%d", job, g, i)
			headers := map[string]string{"X-Model-Name": "draft", "X-Token-Usage": "1016,1820", "X-Prompt-Prefix": fmt.Sprintf("%04x:1000,%04x:16", g+1, g*4+i+4096), "X-Length-Hint": "1200"}
			for name, value := range header {
				headers[name] = value
			}
			items = append(items, map[string]any{"id": id, "path": "/plan/3/" + id, "headers": headers, "body": base64.StdEncoding.EncodeToString([]byte(strings.Repeat("b", 600))),
				"token_count": 2836, "group_size": fmt.Sprintf("g%s%d", job, g)})
		}
	}
	return encode(map[string]any{"training_step": step, "model": "draft", "min_version": minVersion, "desired_count": groups * 9 / 10, "requests": items})
}

// planService enlists replicas of the model's service and returns its route.
func planService(c *setting, s *store, count int) []*replica {
	var replicas []*replica
	zones := []string{"edirne-a", "edirne-b", "kesan", "uzunkopru"}
	for i := range count {
		one := startReplica(c.record, s, fmt.Sprintf("m-%d", i), "rota-model", zones[i%len(zones)], 12)
		one.models = []modelState{{Name: "draft", Version: 1, Adapters: []string{}}}
		one.enlist()
		replicas = append(replicas, one)
	}
	return replicas
}

func planRoute() map[string]any {
	return map[string]any{"name": "route-plan", "hostname": host, "path_prefix": "/plan/", "route_kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400,
		"result_deadline_ms": 7500, "max_attempts": 3, "max_queue_s": 20, "service": "rota-model", "session_affinity": true}
}

func planServices() []map[string]any {
	return []map[string]any{{"name": "rota-model", "connection_limit": 170, "health_path": "/health",
		"engine": map[string]any{"stride": 52, "kv_cache_tokens": 83311, "models": []map[string]any{{"name": "draft", "version": 1}}}}}
}

func playSpoiled(c *setting) bool {
	s := startStore()
	replicas := planService(c, s, 3)
	configure(s, 3, []map[string]any{planRoute()}, planServices())
	var list []*node
	for _, zone := range []string{"edirne-a", "edirne-b", "kesan"} {
		list = append(list, startNode(c.record, c.dir, "frontend-"+zone+"-1", zone, s.address))
	}
	awaitReady(list)
	garble := &garbling{}
	replicas[0].spoil = garble.spoil
	client := &trainer{record: c.record, nodes: list}
	wrong, missing := 0, 0
	var waiting sync.WaitGroup
	var mu sync.Mutex
	for step := range 16 {
		if c.trouble && step%2 == 1 {
			garble.begin()
			c.record.say("replica m-0 garbles one answer in %d for %v", garbleEvery, garbleFor)
		}
		waiting.Add(1)
		one := *client
		one.next = step
		go func() {
			defer waiting.Done()
			job := fmt.Sprintf("7c%02x", step)
			const groups = 56
			results := one.step(job, planJob(job, step, 1, groups, nil), 4*groups, 15*time.Second)
			mu.Lock()
			defer mu.Unlock()
			missing += 4*groups - len(results)
			for _, result := range results {
				if result.State == "completed" && result.Message != wholeText(replicas[0], result.ID) {
					wrong++
				}
			}
			c.record.say("%s: %d of %d results", job, len(results), 4*groups)
		}()
		time.Sleep(4 * time.Second)
	}
	waiting.Wait()
	machines := 0
	for _, n := range list {
		if n.ends() >= 3 {
			machines++
		}
		c.record.say("node %s: ended by itself %d times; first crash in its log:\n%s", n.name, n.ends(), n.crashLines())
	}
	c.record.say("%d answers spoiled; %d results missing after 15 s, %d wrong texts; %d of %d machines on which processes ended three times", garble.spoiled, missing, wrong, machines, len(list))
	return machines >= 2
}

func wholeText(r *replica, id string) string {
	var lines []string
	for number := 1; number <= r.events(id); number++ {
		lines = append(lines, eventText(id, number))
	}
	return strings.Join(lines, "\n")
}
