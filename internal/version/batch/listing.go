package batch

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

const (
	// gatherFor is how long a finished item waits for others to be listed with it;
	// the last few of a job, of which there are lastItems, don't wait.
	gatherFor = 25 * time.Millisecond
	lastItems = 12
	// listAtOnce bounds the results of one transaction.
	listAtOnce = 90
)

// write lists finished items, or shows that the owner lives.
func (o *ownedJob) write(now time.Time) {
	if o.committing || now.Before(o.retryAt) {
		return
	}
	o.wholeAt = o.forecast(now)
	ready := o.readyItems(now)
	unsaved := o.unsavedItems()
	if len(ready) == 0 && len(unsaved) == 0 && now.Sub(o.sentAt) < beatEvery && !o.handOver {
		return
	}
	next := proto.Clone(o.head.BatchJobHead).(*doorstepv1.BatchJobHead)
	next.Beat++
	var puts []port.Record
	for _, index := range ready {
		records := o.resultRecords(int(next.Listed), index)
		if len(puts) > 0 && sizeOf(puts)+sizeOf(records) > transactionBytes {
			// What a pulse was to list is only listed in part.
			o.pulses = pulses{}
			break
		}
		puts = append(puts, records...)
		next.ListedItems[index/8] |= 1 << (index % 8)
		next.Listed++
	}
	next.Paces = nil
	if o.tellsPaces(now) {
		next.Paces = o.paces(now)
	}
	if longest := o.jobs.lengthsOf(o.job.Model).longest(); longest > 0 {
		next.LongestEvents = int32(longest)
	}
	next.Failures = maps.Clone(o.failures)
	next.ScoringFailures = maps.Clone(o.scoringFailures)
	next.ScoringLosses = maps.Clone(o.scoringLosses)
	o.tellRegions(next)
	if o.handOver {
		next.Owner = ""
	}
	next.OwnerPlace = o.jobs.place()
	o.committing = true
	o.sentAt = now
	o.jobs.commitHead(o.id, next, o.head.revision, puts, func(now time.Time, result port.RecordResult) {
		if result.Status == port.RecordDone {
			for _, index := range unsaved {
				o.items[index].unsaved = false
			}
		}
		o.onWritten(now, result)
	})
}

// unsavedItems returns the items whose failures are not on record.
func (o *ownedJob) unsavedItems() []int {
	var list []int
	for i := range o.items {
		if o.items[i].unsaved {
			list = append(list, i)
		}
	}
	return list
}

const (
	// pacesAtMost bounds the paces that a head tells.
	pacesAtMost = 32
	// pacesEvery is how often paces are told, pacesFor for how long each time: long enough
	// for each watch to see one of the writes. They are most of a head, which every node
	// reads at each of its writes.
	pacesEvery = 2 * time.Second
	pacesFor   = 400 * time.Millisecond
)

// tellsPaces reports whether the head tells paces now.
func (o *ownedJob) tellsPaces(now time.Time) bool { return now.Sub(o.begunAt)%pacesEvery < pacesFor }

// paces returns what this node found of the replicas that the job's items ran at.
func (o *ownedJob) paces(now time.Time) []*doorstepv1.ReplicaPace {
	var list []*doorstepv1.ReplicaPace
	told := map[string]bool{}
	for i := range o.items {
		id := o.items[i].endpoint
		if id == "" || told[id] || len(list) >= pacesAtMost {
			continue
		}
		told[id] = true
		if known := o.jobs.options.Find(id); known != nil && known.Pace(now) > 0 {
			list = append(list, &doorstepv1.ReplicaPace{Replica: id, Microseconds: int32(known.Pace(now).Microseconds())})
		}
	}
	return list
}

// hearPaces takes what the owner of a job found.
func (j *Jobs) hearPaces(now time.Time, state *doorstepv1.BatchJobHead) {
	for _, one := range state.Paces {
		if known := j.options.Find(one.Replica); known != nil {
			known.UpdateRemotePace(now, time.Duration(one.Microseconds)*time.Microsecond)
		}
	}
}

// readyItems returns the finished items once the oldest has waited for others.
func (o *ownedJob) readyItems(now time.Time) []int {
	var ready []int
	lists := notHeld
	if !o.releasing {
		lists = o.listsNow(now)
	}
	if lists == noPulse {
		return nil
	}
	due := o.releasing || lists == wholePulse || int(o.head.Total-o.head.Listed) <= lastItems
	for i := range o.items {
		if o.items[i].state != itemFinished {
			continue
		}
		ready = append(ready, i)
		due = due || now.Sub(o.items[i].finishedAt) >= gatherFor
	}
	if lists == partPulse {
		return ready[:min(max(len(ready)-pulseReserve, 0), listAtOnce)]
	}
	if !due && len(ready) < listAtOnce {
		return nil
	}
	return ready[:min(len(ready), listAtOnce)]
}

func (o *ownedJob) resultRecords(position, index int) []port.Record {
	encoded, err := proto.Marshal(o.result(index))
	if err != nil {
		panic("a result must encode: " + err.Error())
	}
	return chunkRecords(encoded, func(chunk int) port.RecordKey { return resultKey(o.id, position, chunk) })
}

func sizeOf(records []port.Record) int {
	total := 0
	for _, record := range records {
		total += len(record.Value)
	}
	return total
}

func (o *ownedJob) onWritten(now time.Time, result port.RecordResult) {
	o.committing = false
	if o.jobs.owned[o.id] != o {
		return
	}
	switch result.Status {
	case port.RecordDone:
		o.writtenAt = now
		o.pause = firstPause
	case port.RecordConflict:
		// The head was this node's own after all: its last write took effect.
		o.writtenAt = now
	default:
		// The beat that did not get through is still due.
		o.sentAt = o.writtenAt
		// What a pulse was to list isn't listed.
		o.pulses = pulses{}
		o.retryAt = now.Add(o.pause)
		o.pause = min(2*o.pause, longestPause)
	}
	o.advance(now)
}
