package coldstart

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// collectInterval is the time between two collections, maxDeletes the maximum number of rows in one
	// transaction.
	collectInterval = time.Minute
	maxDeletes      = 90
)

// collector schedules the deletion of the windows of removed replicas.
type collector struct {
	nextAt  time.Time
	running bool
}

// Collect deletes the windows of replicas that are not listed. One collecting node is enough. The caller's
// list must be up to date: a listed replica whose row is deleted too early would get a new window at once.
func (g *Gate) Collect(now time.Time, listed func(id string) bool) {
	c := &g.collector
	if c.nextAt.IsZero() {
		c.nextAt = now.Add(collectInterval)
	}
	if c.running || now.Before(c.nextAt) {
		return
	}
	c.nextAt = now.Add(collectInterval)
	c.running = true
	g.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: Table, Partition: Table},
		Done: func(now time.Time, result port.RecordResult) {
			c.running = false
			g.deleteRows(now, result.Records, listed)
		},
	})
}

// deleteRows deletes the expired rows of unlisted replicas, each only at the revision that was read.
func (g *Gate) deleteRows(now time.Time, records []port.Record, listed func(id string) bool) {
	least, _, _ := g.options.Clock(now)
	var transaction port.RecordTransaction
	for _, record := range records {
		w := window{}
		w.updateFromRow(record.Key, []port.Record{record})
		if listed(record.Key) || least < w.until+collectInterval || len(transaction.Deletes) == maxDeletes {
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
