package batch

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
)

const (
	// listingDelay is how long a finished item waits to share a write with others. The last
	// lastItems items of a job do not wait, as there is little left to share a write with.
	listingDelay = 25 * time.Millisecond
	lastItems    = 12
	// maxResultsPerTransaction limits the results listed by one transaction.
	maxResultsPerTransaction = 90
)

// writeHead lists finished items and records failures, or renews the heartbeat.
func (o *ownedJob) writeHead(now time.Time) {
	if o.committing || now.Before(o.retryAt) {
		return
	}
	ready := o.readyItems(now)
	unrecorded := o.unrecordedFailures()
	if len(ready) == 0 && len(unrecorded) == 0 && now.Sub(o.headSentAt) < heartbeatInterval && !o.clearOwner {
		return
	}
	next := proto.Clone(o.head.BatchJobHead).(*doorstepv1.BatchJobHead)
	next.Beat++
	var puts []port.Record
	for _, index := range ready {
		records, err := o.resultRecords(int(next.Listed), index)
		if err != nil {
			o.regenerate(now, index, err)
			continue
		}
		if len(puts) > 0 && sizeOf(puts)+sizeOf(records) > maxTransactionBytes {
			break
		}
		puts = append(puts, records...)
		next.ListedItems[index/8] |= 1 << (index % 8)
		next.Listed++
	}
	next.Paces = nil
	if o.publishesPaces(now) {
		next.Paces = o.replicaPaces(now)
	}
	if longest := o.jobs.lengthHistoryOf(o.job.Model).longest(); longest > 0 {
		next.LongestEvents = int32(longest)
	}
	next.Failures = maps.Clone(o.failures)
	next.ScoringFailures = maps.Clone(o.scoringFailures)
	next.ScoringLosses = maps.Clone(o.scoringLosses)
	o.updateRegions(next)
	if o.clearOwner {
		next.Owner = ""
	}
	next.OwnerPlace = o.jobs.ownPlace()
	o.committing = true
	o.headSentAt = now
	o.jobs.commitHead(o.id, next, o.head.revision, puts, func(now time.Time, result port.RecordResult) {
		if result.Status == port.RecordDone {
			for _, index := range unrecorded {
				o.items[index].failureUnrecorded = false
			}
		}
		o.onHeadWritten(now, result)
	})
}

// unrecordedFailures returns the items whose failures are not yet in the head record.
func (o *ownedJob) unrecordedFailures() []int {
	var list []int
	for i := range o.items {
		if o.items[i].failureUnrecorded {
			list = append(list, i)
		}
	}
	return list
}

const (
	// maxPublishedPaces limits the paces in a head record.
	maxPublishedPaces = 32
	// paceInterval is how often paces are published, pacePublishWindow for how long each time,
	// so that every watch observes at least one write. They dominate the size of the head
	// record, which all nodes read on every write.
	paceInterval      = 2 * time.Second
	pacePublishWindow = 400 * time.Millisecond
)

// publishesPaces reports whether the head record should include paces now.
func (o *ownedJob) publishesPaces(now time.Time) bool {
	return now.Sub(o.startedAt)%paceInterval < pacePublishWindow
}

// replicaPaces returns the measured paces of the replicas that the job's items ran on.
func (o *ownedJob) replicaPaces(now time.Time) []*doorstepv1.ReplicaPace {
	var list []*doorstepv1.ReplicaPace
	seen := map[string]bool{}
	for i := range o.items {
		id := o.items[i].endpoint
		if id == "" || seen[id] || len(list) >= maxPublishedPaces {
			continue
		}
		seen[id] = true
		if known := o.jobs.options.FindEndpoint(id); known != nil && known.Pace(now) > 0 {
			list = append(list, &doorstepv1.ReplicaPace{Replica: id, Microseconds: int32(known.Pace(now).Microseconds())})
		}
	}
	return list
}

// applyPaces applies the paces published by the owner of another job.
func (j *Jobs) applyPaces(now time.Time, state *doorstepv1.BatchJobHead) {
	for _, published := range state.Paces {
		if known := j.options.FindEndpoint(published.Replica); known != nil {
			known.UpdateRemotePace(now, time.Duration(published.Microseconds)*time.Microsecond)
		}
	}
}

// readyItems returns the finished items to be listed now. None waits longer than listingDelay for others.
func (o *ownedJob) readyItems(now time.Time) []int {
	var ready []int
	due := o.releasing || int(o.head.Total-o.head.Listed) <= lastItems
	for i := range o.items {
		if o.items[i].state != itemFinished {
			continue
		}
		ready = append(ready, i)
		due = due || now.Sub(o.items[i].finishedAt) >= listingDelay
	}
	if !due && len(ready) < maxResultsPerTransaction {
		return nil
	}
	return ready[:min(len(ready), maxResultsPerTransaction)]
}

// resultRecords encodes the result of a finished item. It fails if its text or score is not UTF-8.
func (o *ownedJob) resultRecords(position, index int) ([]port.Record, error) {
	encoded, err := proto.Marshal(o.result(index))
	if err != nil {
		return nil, err
	}
	return chunkRecords(encoded, func(chunk int) port.RecordKey { return resultKey(o.id, position, chunk) }), nil
}

// regenerate discards the text and the score of a finished item whose result cannot be encoded.
func (o *ownedJob) regenerate(now time.Time, index int, err error) {
	it := &o.items[index]
	o.jobs.options.Queue.Log(event.RecordNotEncoded, "job", o.id, "item", o.job.Items[index].Id, "error", err.Error())
	it.discardText()
	it.completed, it.score = false, ""
	it.state, it.waitingSince = itemWaiting, now
	it.notBefore = now.Add(failureBackoff)
}

func sizeOf(records []port.Record) int {
	total := 0
	for _, record := range records {
		total += len(record.Value)
	}
	return total
}

func (o *ownedJob) onHeadWritten(now time.Time, result port.RecordResult) {
	o.committing = false
	if o.jobs.owned[o.id] != o {
		return
	}
	switch result.Status {
	case port.RecordDone:
		o.writtenAt = now
		o.backoff = initialBackoff
	case port.RecordConflict:
		// The conflict was caused by an earlier write of this node that took effect.
		o.writtenAt = now
	default:
		// The heartbeat is still due.
		o.headSentAt = o.writtenAt
		o.retryAt = now.Add(o.backoff)
		o.backoff = min(2*o.backoff, maxBackoff)
	}
	o.advance(now)
}
