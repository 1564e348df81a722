package soak

import (
	"os"
	"sync"
	"testing"
)

// TestNodeIsStartedOnce: two faults of one node that ended at once started it twice, and the
// first process outlived the soak.
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
	if lives := n.lives.Load(); lives != 1 {
		t.Errorf("the program was started %d times", lives)
	}
}
