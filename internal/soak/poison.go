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
	// poison is the body of a request that crashes the replicas that run it, meanPoisonPause the mean pause between
	// two such requests.
	poison          = "poison"
	meanPoisonPause = 700 * time.Millisecond
	// crashRestartDelay is when a crashed replica is replaced, recordExpiry when its record is removed.
	crashRestartDelay = time.Second
	recordExpiry      = 3 * time.Second
	// maxCrashes is the number of replicas that the poison request may crash before undisturbed nodes must
	// quarantine it. maxLateCrashes is the number of crashes that are tolerated afterwards.
	maxCrashes     = 3
	maxLateCrashes = 3
)

// crashBody returns the request body that crashes replicas of a service, empty for none. Only plain replicas crash.
func crashBody(service string) string {
	if service == platformtest.PlainService {
		return poison
	}
	return ""
}

// poisonCaller repeatedly sends the poison request to random nodes.
func (s *Soak) poisonCaller(ctx context.Context) {
	random := s.newRand(600)
	for i := 0; ctx.Err() == nil; i++ {
		sleepRandom(ctx, random, meanPoisonPause)
		response := s.send(ctx, s.randomNode(random), http.MethodPost, "/plain/x", fmt.Sprintf("poison.%d", i), []byte(poison))
		if response.Err == nil {
			s.checker.Increment(fmt.Sprint("poison request: status ", response.Status))
		}
	}
}

// onCrash records that the poison request crashed a replica, and schedules the start of a replacement.
func (s *Soak) onCrash(id string) {
	s.checker.RecordCrash(time.Now(), s.undisturbedFor() > minUndisturbed)
	s.mu.Lock()
	at := slices.IndexFunc(s.replicas, func(r *replica) bool { return r.ID == id })
	var crashed *replica
	if at >= 0 {
		crashed = s.replicas[at]
		s.replicas = slices.Delete(s.replicas, at, at+1)
	}
	s.mu.Unlock()
	if crashed == nil {
		// The replica is already being replaced.
		return
	}
	crashed.link.Close()
	time.AfterFunc(recordExpiry, func() { s.store.Remove("servers", id) })
	time.AfterFunc(crashRestartDelay, func() {
		if err := s.addReplica(crashed.Service, crashed.Model); err != nil {
			s.checker.AddViolation("starting a replica: %s", err)
		}
	})
}

// crashRecord counts the crashes caused by the poison request.
type crashRecord struct {
	crashes int
	// limitAt is when maxCrashes was reached, late the number of unexpected crashes since then.
	limitAt time.Time
	late    int
}

// RecordCrash records that the poison request crashed a replica. undisturbed reports whether no node was
// recently affected by faults.
func (c *Checker) RecordCrash(now time.Time, undisturbed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["crashes"]++
	c.crash.crashes++
	if c.crash.crashes == maxCrashes {
		c.crash.limitAt = now
	}
	if c.crash.limitAt.IsZero() || now.Sub(c.crash.limitAt) <= minUndisturbed || !undisturbed {
		return
	}
	c.crash.late++
	if c.crash.late > maxLateCrashes {
		c.addViolation("the poison request crashed replica %d, crash %d after all nodes should have quarantined it", c.crash.crashes, c.crash.late)
	}
}
