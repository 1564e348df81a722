package batch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
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
	// checkpointReadTimeout is how long a new owner waits for checkpoints before it starts
	// items, extended by twice the store latency. Texts not read by then are generated again.
	checkpointReadTimeout = 300 * time.Millisecond
	// incompleteText is the number of events of a text that is not complete. It also makes a part without events
	// non-empty.
	incompleteText = -1
)

// checkpointKey returns the key of the next part of an item's text. The prefix is unique to the
// owner's incarnation and to the generation of the text, so that parts of different texts are
// never combined, even if writes take effect late.
func (o *ownedJob) checkpointKey(index int) port.RecordKey {
	it := &o.items[index]
	return port.RecordKey{Table: DataTable, Partition: Partition(o.id), Key: fmt.Sprintf("%s/t/%04d/%016x-%02d/%03d",
		o.id, index, o.jobs.options.Incarnation, it.generation, it.checkpointParts)}
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
		case len(events) > 0:
			// Its data is not compared, because replicas may generate different data.
			i.checkingEnd = false
			events = events[1:]
			if len(events) == 0 {
				result.Outcome = task.RunCompleted
			}
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

// readCheckpoints reads the checkpoints written by former owners.
func (o *ownedJob) readCheckpoints(now time.Time) {
	o.startAfter = now.Add(checkpointReadTimeout + 2*o.jobs.storeLatency())
	o.readCheckpointsFrom(o.id+"/t/", nil)
}

func (o *ownedJob) readCheckpointsFrom(from string, records []port.Record) {
	o.jobs.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: DataTable, Partition: Partition(o.id), From: from, To: o.id + "/t/~"},
		Done: func(now time.Time, result port.RecordResult) {
			if o.jobs.owned[o.id] != o {
				return
			}
			records = append(records, result.Records...)
			if result.Status == port.RecordDone && result.More && now.Before(o.startAfter) && o.jobs.mayOwn(o.head.BatchJobHead) {
				o.readCheckpointsFrom(records[len(records)-1].Key+"\x00", records)
				return
			}
			o.startAfter = now
			o.restoreTexts(now, records)
			o.advance(now)
		},
	})
}

// storedText is one generation of an item's text, as stored by one of the job's owners.
type storedText struct {
	index       int
	incarnation uint64
	generation  int
	content     []byte
}

// restoreTexts restores each item's text from the longest valid checkpoint. Only the latest generation of
// each owner counts, as an owner may discard a text because it is not known to be sound.
func (o *ownedJob) restoreTexts(now time.Time, records []port.Record) {
	texts := o.storedTexts(records)
	for i, stored := range texts {
		if i+1 < len(texts) && texts[i+1].index == stored.index && texts[i+1].incarnation == stored.incarnation {
			continue
		}
		text := &doorstepv1.KeptText{}
		if proto.Unmarshal(stored.content, text) == nil {
			o.restoreText(now, stored.index, text)
		}
	}
}

// storedTexts returns the texts in checkpoint records, ordered by item, owner and generation.
func (o *ownedJob) storedTexts(records []port.Record) []storedText {
	var texts []storedText
	for from := 0; from < len(records); {
		prefix := records[from].Key[:strings.LastIndexByte(records[from].Key, '/')+1]
		to := from
		stored := storedText{}
		for to < len(records) && strings.HasPrefix(records[to].Key, prefix) {
			// Concatenated protobuf encodings decode as the merged message.
			stored.content = append(stored.content, records[to].Value...)
			to++
		}
		from = to
		_, err := fmt.Sscanf(prefix[len(o.id)+len("/t/"):], "%d/%x-%d/", &stored.index, &stored.incarnation, &stored.generation)
		if err != nil || stored.index < 0 || stored.index >= len(o.items) {
			continue
		}
		texts = append(texts, stored)
	}
	slices.SortFunc(texts, func(a, b storedText) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.generation, b.generation))
	})
	return texts
}

// restoreText restores a text if its events are contiguous from the first one.
func (o *ownedJob) restoreText(now time.Time, index int, text *doorstepv1.KeptText) {
	it := &o.items[index]
	complete := int64(len(text.Events)) == text.WholeEvents
	if it.state != itemWaiting || len(text.Events) == 0 || len(text.Events) < len(it.events) || len(text.Events) == len(it.events) && !complete {
		return
	}
	var events []port.ReplicaEvent
	for i, generated := range text.Events {
		if generated.Id != int64(i+1) {
			return
		}
		events = append(events, port.ReplicaEvent{ID: generated.Id, Data: generated.Data, Version: generated.Version})
	}
	it.events = events
	o.discardInvalidText(index)
	it.long = it.long || len(it.events) >= minEventsToMove
	if complete && len(it.events) > 0 {
		o.restoreCompleteText(now, index, text.Score)
	}
	o.jobs.options.Queue.Log(event.TextAdopted, "job", o.id, "item", o.job.Items[index].Id, "events", len(it.events), "whole", it.textComplete(),
		"scored", it.score != "")
}

// restoreCompleteText resumes an item whose text was completed by a former owner: it is scored
// if necessary, and listed. Its checkpoint remains valid.
func (o *ownedJob) restoreCompleteText(now time.Time, index int, score string) {
	it := &o.items[index]
	it.textCheckpointed = true
	it.textCompletedAt = now
	if o.job.Items[index].Scoring != nil && score == "" {
		o.queueScoring(now, index)
		return
	}
	it.scoreCheckpointed = score != ""
	o.finishItem(now, index, score)
}
