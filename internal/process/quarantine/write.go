package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// deleteRecord schedules the deletion of a record.
func (q *Quarantine) deleteRecord(name entryName) {
	q.removals[name.key()] = true
	q.dirty = true
}

func (q *Quarantine) record(name entryName, s *suspect, at time.Duration) port.Record {
	value, err := proto.Marshal(&doorstepv1.QuarantineEntry{AtMs: at.Milliseconds(), Route: s.route, Tenant: s.tenant, Node: q.options.Self})
	if err != nil {
		panic("marshal quarantine entry: " + err.Error())
	}
	return port.Record{RecordKey: name.key(), Value: value}
}

// write stores the pending crashes and deletes the pending records. No precondition is needed, as repeated and
// late writes have no further effect.
func (q *Quarantine) write(now time.Time) {
	if !q.dirty || q.writing || now.Before(q.retryAt) {
		return
	}
	puts, written := q.duePuts()
	deletes := q.dueDeletes(maxTransactionEntries - len(puts))
	if len(puts)+len(deletes) == 0 {
		q.dirty = false
		return
	}
	q.writing = true
	q.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{Puts: puts, Deletes: deletes},
		Done: func(now time.Time, result port.RecordResult) {
			q.writing = false
			if result.Status != port.RecordDone {
				q.retryAt = now.Add(writeRetryDelay)
				return
			}
			for _, one := range written {
				one.recorded = true
			}
			for _, key := range deletes {
				delete(q.removals, key)
			}
			q.write(now)
		},
	})
}

// duePuts returns the next records to write, with their entries.
func (q *Quarantine) duePuts() (puts []port.Record, written []*entry) {
	for _, fingerprint := range q.sortedFingerprints() {
		s := q.suspects[fingerprint]
		for _, name := range s.names(fingerprint) {
			one := s.entries(name.kind)[name.id]
			if len(puts) == maxTransactionEntries {
				return puts, written
			}
			if !one.recorded {
				puts = append(puts, q.record(name, s, one.at))
				written = append(written, one)
			}
		}
	}
	return puts, written
}

// dueDeletes returns at most some number of records to delete.
func (q *Quarantine) dueDeletes(most int) []port.RecordKey {
	keys := slices.SortedFunc(maps.Keys(q.removals), func(a, b port.RecordKey) int { return cmp.Compare(a.Key, b.Key) })
	return keys[:min(len(keys), most)]
}
