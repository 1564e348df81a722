package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["endless"] = playEndless }

// playEndless has a trainer hand in batch jobs, while one of three replicas goes on without end in one answer of 50.
func playEndless(c *setting) bool {
	s := startStore()
	replicas := planService(c, s, 3)
	configure(s, 3, []map[string]any{planRoute()}, planServices())
	var list []*node
	for _, zone := range []string{"edirne-a", "edirne-b", "kesan"} {
		n := startNode(c.record, c.dir, "frontend-"+zone+"-1", zone, s.address)
		list = append(list, n)
		go n.limitMemory()
	}
	awaitReady(list)
	garble := &garbling{}
	replicas[0].endless = func(id string) bool { return garble.spoil(id, 1, 1) != 0 }
	client := &trainer{record: c.record, nodes: list}
	missing := 0
	var waiting sync.WaitGroup
	var mu sync.Mutex
	for step := range 14 {
		if c.trouble && step > 0 {
			garble.begin()
			c.record.say("replica m-0 does not end one answer in %d, for %v", garbleEvery, garbleFor)
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
			c.record.say("%s: %d of %d results", job, len(results), 4*groups)
		}()
		time.Sleep(6 * time.Second)
	}
	waiting.Wait()
	machines := 0
	for _, n := range list {
		if n.ends() >= 3 {
			machines++
		}
		c.record.say("node %s: ended %d times", n.name, n.ends())
	}
	c.record.say("%d answers without end; %d results missing after 15 s; %d of %d machines on which processes ended three times", garble.spoiled, missing, machines, len(list))
	return machines >= 2
}
