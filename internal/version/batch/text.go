package batch

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// checkpointInterval is the minimum time between two checkpoints of a job's texts. Text
	// generated after the last checkpoint is lost if the owner fails; a step whose longest text takes 6.9
	// of its 7.5 s has no more to lose.
	checkpointInterval = 500 * time.Millisecond
	// minCheckpointEvents is the minimum number of new events to checkpoint a running text.
	minCheckpointEvents = 4
	// maxCheckpointRecords limits the records of one transaction.
	maxCheckpointRecords = 90
	// incompleteText is the number of events of a text that is not complete. It also makes a part without events
	// non-empty.
	incompleteText = -1
)

// checkpointKey returns the key of the next part of an item's text. The prefix is unique to the ownership and to the
// generation of the text, so that parts of different texts are never combined, even if writes take effect late.
func (o *ownedJob) checkpointKey(index int) port.RecordKey {
	it := &o.items[index]
	return checkpointPrefix{index: index, ownership: o.ownership, generation: it.generation}.key(o.id, it.checkpointParts)
}

// checkpoint is a part of a text that is being written to the store.
type checkpoint struct {
	index, generation, events int
	complete, score           bool
}

// checkpointTexts writes the parts of texts that were generated since the last checkpoint.
func (o *ownedJob) checkpointTexts(now time.Time, done func(now time.Time)) {
	var checkpoints []checkpoint
	transaction := port.RecordTransaction{}
	size := 0
	for n := range o.items {
		// Start after the last item of the previous checkpoint, so that all items are covered if
		// one transaction can't hold them.
		i := (o.nextCheckpointItem + n) % len(o.items)
		if !o.needsCheckpoint(i) {
			continue
		}
		it := &o.items[i]
		record, err := o.checkpointRecord(i)
		if err != nil {
			o.jobs.options.Queue.Log(event.RecordNotEncoded, "job", o.id, "item", o.job.Items[i].Id, "error", err.Error())
			continue
		}
		size += len(record.Value)
		if len(checkpoints) >= maxCheckpointRecords || size > maxTransactionBytes || len(record.Value) > chunkBytes {
			break
		}
		checkpoints = append(checkpoints, checkpoint{
			index: i, generation: it.generation, events: len(it.events) + len(it.progress), complete: it.textComplete(), score: it.score != "",
		})
		transaction.Puts = append(transaction.Puts, record)
	}
	if len(checkpoints) == 0 {
		done(now)
		return
	}
	o.nextCheckpointItem = (checkpoints[len(checkpoints)-1].index + 1) % len(o.items)
	o.jobs.commit(transaction, func(now time.Time, result port.RecordResult) {
		if result.Status == port.RecordDone {
			o.markCheckpointed(checkpoints)
		}
		done(now)
	})
}

// needsCheckpoint reports whether an item has enough new events, or a complete but unlisted
// text or its score, to write.
func (o *ownedJob) needsCheckpoint(index int) bool {
	it := &o.items[index]
	switch it.state {
	case itemWaiting, itemRunning:
		return it.revokesCheckpoints || len(it.events)+len(it.progress)-it.checkpointedEvents >= minCheckpointEvents
	case itemScoring, itemFinished:
		return it.textComplete() && (!it.textCheckpointed || it.score != "" && !it.scoreCheckpointed)
	case itemListed:
	}
	return false
}

// textComplete reports whether the item's complete text is in memory.
func (i *item) textComplete() bool {
	return i.state == itemScoring || i.state == itemFinished && i.completed
}

// checkpointRecord encodes the events of a text that have not been checkpointed. It fails if an event is not UTF-8.
func (o *ownedJob) checkpointRecord(index int) (port.Record, error) {
	it := &o.items[index]
	part := &doorstepv1.KeptText{Score: it.score}
	if it.revokesCheckpoints {
		part.WholeEvents = incompleteText
	}
	if it.textComplete() {
		part.WholeEvents = int64(len(it.events))
	}
	for i := it.checkpointedEvents; i < len(it.events)+len(it.progress); i++ {
		generated := it.eventAt(i)
		part.Events = append(part.Events, &doorstepv1.KeptEvent{Id: generated.ID, Data: generated.Data, Version: generated.Version})
	}
	value, err := proto.Marshal(part)
	if err != nil {
		return port.Record{}, err
	}
	return port.Record{RecordKey: o.checkpointKey(index), Value: value}, nil
}

func (i *item) eventAt(index int) port.ReplicaEvent {
	if index < len(i.events) {
		return i.events[index]
	}
	return i.progress[index-len(i.events)]
}

func (o *ownedJob) markCheckpointed(checkpoints []checkpoint) {
	for _, checkpoint := range checkpoints {
		it := &o.items[checkpoint.index]
		if it.generation == checkpoint.generation {
			it.checkpointedEvents = checkpoint.events
			it.checkpointParts++
			it.textCheckpointed, it.scoreCheckpointed = checkpoint.complete, checkpoint.score
			it.revokesCheckpoints = false
		}
	}
}

// discardText discards the text, so that it is generated from the start.
func (i *item) discardText() {
	i.events, i.progress = nil, nil
	i.generation++
	i.checkpointedEvents, i.checkpointParts = 0, 0
	i.textCheckpointed, i.scoreCheckpointed = false, false
	i.checkingEnd = false
}

// resumeAfter returns the ID of the event after which the next run continues.
func (i *item) resumeAfter() int64 {
	last := lastEvent(i.events)
	if i.checkingEnd {
		return last - 1
	}
	return last
}

// appendRun adds the events of a run that has ended. It returns false if the text was discarded, as it is not known to
// be sound. A run that confirms the last event completes the text, whatever its outcome, as the run before found no event
// behind it.
func (i *item) appendRun(result *task.RunResult) bool {
	events := result.Events
	sound := result.Outcome != task.RunTooLong
	if i.checkingEnd && sound {
		switch {
		case len(events) > 1:
			// The text goes on. Its last event is replaced, as only the run that generated it may continue from there.
			text := append(slices.Clone(i.events[:len(i.events)-1]), events...)
			i.discardText()
			i.events = text
			return true
		case len(events) == 1:
			// Its data is not compared, because replicas may generate different data.
			i.checkingEnd = false
			events = nil
			result.Outcome = task.RunCompleted
		case result.Outcome == task.RunCompleted:
			sound = false
		}
	}
	if !sound {
		// Which of the events belong to the text is unknown, including those in checkpoints.
		i.discardText()
		i.revokesCheckpoints = true
		return false
	}
	i.events = append(i.events, events...)
	return true
}
