package rollout

import (
	"testing"
	"time"
)

func TestLimitFindsWhatTheSourceBears(t *testing.T) {
	const usual = 900 * time.Millisecond
	for _, c := range []struct{ replicas, bears, least, most int }{
		{9, 2, 2, 3}, {45, 9, 8, 10}, {48, 4, 3, 6}, {48, 14, 12, 15}, {3, 2, 2, 2},
	} {
		var limit loadLimit
		for range 200 {
			loading := limit.atOnce(c.replicas)
			took := usual
			if loading > c.bears {
				took = usual * time.Duration(loading) * 3 / time.Duration(2*c.bears)
			}
			limit.finished(took, loading)
		}
		if got := limit.atOnce(c.replicas); got < c.least || got > c.most {
			t.Errorf("%d replicas, %d bearable at once: the limit is %d", c.replicas, c.bears, got)
		}
	}
}

func TestSlowLoadOfOneReplicaIsNoLimit(t *testing.T) {
	var limit loadLimit
	before := limit.atOnce(45)
	limit.finished(time.Second, 1)
	limit.finished(3*time.Second, 1)
	if got := limit.atOnce(45); got != before {
		t.Errorf("a load that was slow alone took the limit from %d to %d", before, got)
	}
}
