package soak

import (
	"strings"
	"testing"

	"github.com/doorstep/doorstep/platform/platformtest"
)

// TestColdRushesAreTold shows the checker replicas that get more than a cold one bears.
func TestColdRushesAreTold(t *testing.T) {
	for _, c := range []struct {
		name         string
		cold, harmed bool
		requests     int
		broken       string
	}{
		{"a rush", true, false, coldMost + 1, "while it was cold"},
		{"as many as it bears", true, false, coldMost, ""},
		{"a warm one", false, false, coldMost + 1, ""},
		{"over a link that was harmed", true, true, coldMost + 1, ""},
	} {
		of, err := platformtest.StartReplicaConfig(platformtest.NewStore(), platformtest.ReplicaConfig{ID: "r", Service: "s"})
		if err != nil {
			t.Fatal(err)
		}
		defer of.Stop()
		if c.cold {
			of.MakeCold(coldLasts)
		}
		replica := &coldReplica{id: "r", link: &Proxy{}}
		replica.of.Store(of)
		if c.harmed {
			replica.link.SetDelay(0)
		}
		checker := NewChecker()
		for range c.requests {
			checker.coldArrived(replica)
		}
		seen := strings.Join(checker.Violations(), "; ")
		if c.broken == "" && seen != "" || c.broken != "" && !strings.Contains(seen, c.broken) {
			t.Errorf("%s: saw %q, should see %q", c.name, seen, c.broken)
		}
	}
}
