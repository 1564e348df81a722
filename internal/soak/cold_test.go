package soak

import (
	"strings"
	"testing"

	"github.com/doorstep/doorstep/platform/platformtest"
)

// TestCheckerLimitsColdRequests tests that requests above the limit of a cold replica are reported.
func TestCheckerLimitsColdRequests(t *testing.T) {
	for _, c := range []struct {
		name            string
		cold, disrupted bool
		requests        int
		wantViolation   string
	}{
		{"more than the limit", true, false, maxColdRequests + 1, "while it was cold"},
		{"exactly the limit", true, false, maxColdRequests, ""},
		{"warm replica", false, false, maxColdRequests + 1, ""},
		{"recently disrupted link", true, true, maxColdRequests + 1, ""},
	} {
		started, err := platformtest.StartReplicaConfig(platformtest.NewStore(), platformtest.ReplicaConfig{ID: "r", Service: "s"})
		if err != nil {
			t.Fatal(err)
		}
		defer started.Stop()
		if c.cold {
			started.MakeCold(coldDuration)
		}
		replica := &coldReplica{id: "r", link: &Proxy{}}
		replica.replica.Store(started)
		if c.disrupted {
			replica.link.SetDelay(0)
		}
		checker := NewChecker()
		for range c.requests {
			checker.RecordColdArrival(replica)
		}
		seen := strings.Join(checker.Violations(), "; ")
		if c.wantViolation == "" && seen != "" || c.wantViolation != "" && !strings.Contains(seen, c.wantViolation) {
			t.Errorf("%s: got violations %q, want %q", c.name, seen, c.wantViolation)
		}
	}
}
