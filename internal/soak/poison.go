package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/doorstep/doorstep/platform/platformtest"
)

const (
	// poison is the body of the request that crashes the replicas that run it, poisonPause the mean
	// pause between two arrivals.
	poison      = "poison"
	poisonPause = 700 * time.Millisecond
	// crashDown is how long a crashed replica is gone, lapseAfter how long its record stays.
	crashDown  = time.Second
	lapseAfter = 3 * time.Second
	// crashLimit is how many replicas the request may crash before all nodes in touch must know of
	// it, lateRuns how often it may run after that.
	crashLimit = 3
	lateRuns   = 3
)

// poisonBody returns the body that crashes a service's replicas: plain ones alone.
func poisonBody(service string) string {
	if service == platformtest.PlainService {
		return poison
	}
	return ""
}

// poisonCaller sends the same request to any node, again and again.
func (s *Soak) poisonCaller(ctx context.Context) {
	random := s.random(600)
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, random, poisonPause)
		answer := s.send(ctx, s.pick(random), http.MethodPost, "/plain/x", fmt.Sprintf("poison.%d", i), []byte(poison))
		if answer.Err == nil {
			s.check.Count(fmt.Sprint("poison request: status ", answer.Status))
		}
	}
}

// crashed notes that the poison request ends a replica, and has another started later.
func (s *Soak) crashed(id string) {
	s.check.Crashed(time.Now(), s.calmFor() > inTouch)
	s.mu.Lock()
	at := slices.IndexFunc(s.replicas, func(r *replica) bool { return r.ID == id })
	var gone *replica
	if at >= 0 {
		gone = s.replicas[at]
		s.replicas = slices.Delete(s.replicas, at, at+1)
	}
	s.mu.Unlock()
	if gone == nil {
		// It is being replaced already.
		return
	}
	gone.link.Close()
	time.AfterFunc(lapseAfter, func() { s.store.Remove("servers", id) })
	time.AfterFunc(crashDown, func() {
		if err := s.addReplica(gone.Service, gone.Model); err != nil {
			s.check.Violate("no replica can be started: %s", err)
		}
	})
}

// crashRecord is what was seen of the poison request.
type crashRecord struct {
	crashes int
	// limitAt is when it had crashed as many replicas as it may.
	limitAt time.Time
	late    int
}

// Crashed notes that the poison request ends a replica; calm says that all nodes are in touch.
func (c *Checker) Crashed(now time.Time, calm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["crashes"]++
	c.crash.crashes++
	if c.crash.crashes == crashLimit {
		c.crash.limitAt = now
	}
	if c.crash.limitAt.IsZero() || now.Sub(c.crash.limitAt) <= inTouch || !calm {
		return
	}
	c.crash.late++
	if c.crash.late > lateRuns {
		c.violate("the poison request ends replica %d, the %dth after all nodes must know of it", c.crash.crashes, c.crash.late)
	}
}
