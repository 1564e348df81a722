package batch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// endedRetention is how long the records of an ended job are kept after its acceptance, so
	// that clients can still read it or retry requests. abandonedRetention is the same for jobs
	// that were never ended.
	endedRetention     = 15 * time.Minute
	abandonedRetention = 12 * time.Hour
	// collectInterval is the minimum time between two deletions.
	collectInterval = time.Second
	// regionCollectSpread is the maximum additional retention of region-bound jobs on nodes
	// without the lease. It spreads the nodes over this time.
	regionCollectSpread = 10 * time.Minute
	// maxDeletesPerTransaction limits the records deleted by one transaction.
	maxDeletesPerTransaction = 90
)

// Collect deletes the records of one expired job at a time. Contents are deleted before the
// head record, so that an interrupted deletion is resumed by any later lease holder. Nodes
// without the lease delete region-bound jobs later, in case the lease holder must not read them.
func (j *Jobs) Collect(now time.Time, holdsLease bool) {
	if j.collecting || now.Before(j.collectAt) {
		return
	}
	j.collectAt = now.Add(collectInterval)
	for _, id := range sortedKeys(j.heads) {
		if known := j.heads[id]; j.mayCollect(now, id, known, holdsLease) && j.owned[id] == nil {
			j.collecting = true
			j.deleteContents(id)
			return
		}
	}
}

// mayCollect reports whether this node should delete a job's records now. Deletion reads the
// records, so it is restricted to the job's home regions.
func (j *Jobs) mayCollect(now time.Time, id string, known *head, holdsLease bool) bool {
	regionBound := len(known.Regions) > 0
	if !holdsLease && !regionBound || !j.mayOwn(known.BatchJobHead) {
		return false
	}
	if !holdsLease {
		now = now.Add(-time.Duration(xxhash.Sum64String(id+"/"+j.options.Self) % uint64(regionCollectSpread)))
	}
	return j.expired(now, known)
}

func (j *Jobs) expired(now time.Time, known *head) bool {
	age := j.age(now, known.AcceptedAtMs)
	return age > abandonedRetention || known.Ended && age > endedRetention
}

func (j *Jobs) deleteContents(id string) {
	if known := j.heads[id]; known == nil || !j.mayOwn(known.BatchJobHead) {
		j.collecting = false
		return
	}
	j.options.Queue.Add(task.Range{
		// "0" follows "/", so the range covers only this job's keys.
		Query: port.RecordRange{Table: DataTable, Partition: Partition(id), From: id + "/", To: id + "0", Limit: maxDeletesPerTransaction},
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
		deleted := result.Status == port.RecordDone || result.Status == port.RecordConflict && len(result.Records) == 0
		if deleted {
			delete(j.heads, id)
			j.options.Queue.Log(event.JobDeleted, "job", id, "age_s", int(j.age(now, known.AcceptedAtMs).Seconds()))
		}
	})
}
