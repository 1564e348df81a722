package batch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// keepEnded is how long an ended job's records stay after its acceptance: clients may
	// read it, and resend it or its end, for some minutes. keepAbandoned is how long those
	// of a job stay that nobody ended.
	keepEnded     = 15 * time.Minute
	keepAbandoned = 12 * time.Hour
	// collectEvery paces the collection: one job at a time.
	collectEvery = time.Second
	// collectBoundWithin is how much longer the records stay of a job that the holder of the duty may not
	// read; the nodes of the job's homes spread over this time.
	collectBoundWithin = 10 * time.Minute
	// deletesAtOnce bounds the records of one transaction.
	deletesAtOnce = 90
)

// Collect deletes the records of a job that is over, one at a time. The contents go first
// and the head last, so that a collection that breaks off is begun anew by whoever holds
// the duty then. Nodes without the duty collect what its holder may not read.
func (j *Jobs) Collect(now time.Time, duty bool) {
	if j.collecting || now.Before(j.collectAt) {
		return
	}
	j.collectAt = now.Add(collectEvery)
	for _, id := range sortedKeys(j.heads) {
		if known := j.heads[id]; j.collects(now, id, known, duty) && j.owned[id] == nil {
			j.collecting = true
			j.deleteContents(id)
			return
		}
	}
}

// collects reports whether this node deletes a job's records now. Its homes bind the reads that this takes.
func (j *Jobs) collects(now time.Time, id string, known *head, duty bool) bool {
	bound := len(known.Regions) > 0
	if !duty && !bound || !j.mayOwn(known.BatchJobHead) {
		return false
	}
	if !duty {
		now = now.Add(-time.Duration(xxhash.Sum64String(id+"/"+j.options.Self) % uint64(collectBoundWithin)))
	}
	return j.isOver(now, known)
}

func (j *Jobs) isOver(now time.Time, known *head) bool {
	age := j.age(now, known.AcceptedAtMs)
	return age > keepAbandoned || known.Ended && age > keepEnded
}

func (j *Jobs) deleteContents(id string) {
	if known := j.heads[id]; known == nil || !j.mayOwn(known.BatchJobHead) {
		j.collecting = false
		return
	}
	j.options.Queue.Add(task.Range{
		// The sign behind the slash bounds the job's own keys.
		Query: port.RecordRange{Table: DataTable, Partition: Partition(id), From: id + "/", To: id + "0", Limit: deletesAtOnce},
		Done: func(_ time.Time, result port.RecordResult) {
			if result.Status != port.RecordDone {
				j.collecting = false
				return
			}
			if len(result.Records) == 0 {
				j.deleteHead(id)
				return
			}
			var transaction port.RecordTransaction
			for _, record := range result.Records {
				transaction.Deletes = append(transaction.Deletes, record.RecordKey)
			}
			j.commit(transaction, func(_ time.Time, result port.RecordResult) {
				if result.Status != port.RecordDone {
					j.collecting = false
					return
				}
				j.deleteContents(id)
			})
		},
	})
}

func (j *Jobs) deleteHead(id string) {
	known := j.heads[id]
	if known == nil {
		j.collecting = false
		return
	}
	j.commit(port.RecordTransaction{
		Preconditions: []port.Precondition{{RecordKey: headKey(id), Revision: known.revision}},
		Deletes:       []port.RecordKey{headKey(id)},
	}, func(now time.Time, result port.RecordResult) {
		j.collecting = false
		gone := result.Status == port.RecordDone || result.Status == port.RecordConflict && len(result.Records) == 0
		if gone {
			delete(j.heads, id)
			j.options.Queue.Log(event.JobDeleted, "job", id, "age_s", int(j.age(now, known.AcceptedAtMs).Seconds()))
		}
	})
}
