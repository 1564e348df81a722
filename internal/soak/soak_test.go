package soak

import (
	"os"
	"sync"
	"testing"
)

// TestNodeIsStartedOnce tests that concurrent starts create a single process, so that none outlives the test.
func TestNodeIsStartedOnce(t *testing.T) {
	log, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{process: &Process{Path: "/bin/sleep", Args: []string{"60"}, Log: log}}
	var starts sync.WaitGroup
	for range 8 {
		starts.Go(func() {
			if err := n.start(); err != nil {
				t.Error(err)
			}
		})
	}
	starts.Wait()
	defer n.process.Kill()
	if count := n.starts.Load(); count != 1 {
		t.Errorf("the program was started %d times", count)
	}
}
