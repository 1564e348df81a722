package coldstart

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// collectEvery paces the collection, deletesAtOnce bounds the rows of one transaction.
	collectEvery  = time.Minute
	deletesAtOnce = 90
)

// collection deletes the windows of replicas that are gone.
type collection struct {
	at      time.Time
	running bool
}

// Collect deletes the rows of replicas that are not listed; one node is enough. A replica whose row
// goes too early would be given a new window at once, so the caller's list must be confirmed.
func (g *Gate) Collect(now time.Time, listed func(id string) bool) {
	c := &g.collect
	if c.at.IsZero() {
		c.at = now.Add(collectEvery)
	}
	if c.running || now.Before(c.at) {
		return
	}
	c.at = now.Add(collectEvery)
	c.running = true
	g.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: Table, Partition: Table},
		Done: func(now time.Time, result port.RecordResult) {
			c.running = false
			g.removeGone(now, result.Records, listed)
		},
	})
}

// removeGone deletes rows whose replica is gone, each at the revision at which its window was over.
func (g *Gate) removeGone(now time.Time, records []port.Record, listed func(id string) bool) {
	least, _, _ := g.options.Clock(now)
	var transaction port.RecordTransaction
	for _, record := range records {
		w := window{}
		w.learnRow(record.Key, []port.Record{record})
		if listed(record.Key) || least < w.until+collectEvery || len(transaction.Deletes) == deletesAtOnce {
			continue
		}
		transaction.Preconditions = append(transaction.Preconditions, port.Precondition{RecordKey: record.RecordKey, Revision: record.Revision})
		transaction.Deletes = append(transaction.Deletes, record.RecordKey)
	}
	if len(transaction.Deletes) == 0 {
		return
	}
	g.options.Queue.Add(task.Commit{Transaction: transaction, Done: func(_ time.Time, result port.RecordResult) {
		if result.Status == port.RecordDone {
			g.options.Queue.Log(event.ColdWindowsDeleted, "rows", len(transaction.Deletes))
		}
	}})
}
