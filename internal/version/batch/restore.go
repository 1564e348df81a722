package batch

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// checkpointReadTimeout is how long a new owner waits for checkpoints before it starts items, extended by twice the
// store latency. Texts not read by then are generated again.
const checkpointReadTimeout = 300 * time.Millisecond

// readCheckpoints reads the checkpoints written by former owners.
func (o *ownedJob) readCheckpoints(now time.Time) {
	o.startAfter = now.Add(checkpointReadTimeout + 2*o.jobs.storeLatency())
	o.readCheckpointsFrom(checkpointKeys(o.id), nil)
}

func (o *ownedJob) readCheckpointsFrom(from string, records []port.Record) {
	o.jobs.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: DataTable, Partition: Partition(o.id), From: from, To: checkpointKeys(o.id) + "~"},
		Done: func(now time.Time, result port.RecordResult) {
			if o.jobs.owned[o.id] != o {
				return
			}
			records = append(records, result.Records...)
			mayRead := o.jobs.mayOwn(o.head.BatchJobHead)
			switch {
			case mayRead && result.Status == port.RecordDone && result.More && now.Before(o.startAfter):
				o.readCheckpointsFrom(records[len(records)-1].Key+"\x00", records)
				return
			case mayRead && result.Status != port.RecordDone && now.Add(initialBackoff).Before(o.startAfter):
				o.jobs.retryAfter(initialBackoff, func(time.Time) { o.retryCheckpoints(from, records) })
				return
			}
			o.startAfter = now
			o.restoreTexts(now, records, result.Status == port.RecordDone && !result.More)
			o.advance(now)
		},
	})
}

// retryCheckpoints reads checkpoints again after a failed read. Without a retry, items start at startAfter.
func (o *ownedJob) retryCheckpoints(from string, records []port.Record) {
	if o.jobs.owned[o.id] == o && o.jobs.mayOwn(o.head.BatchJobHead) {
		o.readCheckpointsFrom(from, records)
	}
}

// storedText is an item's text as stored by one of the job's owners.
type storedText struct {
	checkpointPrefix
	content []byte
}

// restoreTexts restores each item's text from the longest valid checkpoint that was not revoked. Unless complete, more
// records follow the last one.
func (o *ownedJob) restoreTexts(now time.Time, records []port.Record, complete bool) {
	texts := o.storedTexts(records)
	for len(texts) > 0 {
		index := texts[0].index
		end := slices.IndexFunc(texts, func(stored storedText) bool { return stored.index != index })
		if end < 0 {
			if !complete {
				// A revocation of these texts may be among the missing records.
				return
			}
			end = len(texts)
		}
		for _, stored := range withoutRevoked(texts[:end]) {
			o.restoreStored(now, stored)
		}
		texts = texts[end:]
	}
}

// restoreStored decodes and restores a stored text.
func (o *ownedJob) restoreStored(now time.Time, stored storedText) {
	text := &doorstepv1.KeptText{}
	if err := proto.Unmarshal(stored.content, text); err != nil {
		o.jobs.options.Queue.Log(event.RecordUnreadable, "table", DataTable, "job", o.id, "item", o.job.Items[stored.index].Id, "error", err.Error())
		return
	}
	o.restoreText(now, stored.index, text)
}

// storedTexts returns the texts in checkpoint records, ordered by item.
func (o *ownedJob) storedTexts(records []port.Record) []storedText {
	var texts []storedText
	for from := 0; from < len(records); {
		group := records[from].Key[:strings.LastIndexByte(records[from].Key, '/')+1]
		to := from
		stored := storedText{}
		for to < len(records) && strings.HasPrefix(records[to].Key, group) {
			// Concatenated protobuf encodings decode as the merged message.
			stored.content = append(stored.content, records[to].Value...)
			to++
		}
		from = to
		prefix, ok := parseCheckpointPrefix(o.id, group)
		if !ok || prefix.index < 0 || prefix.index >= len(o.items) {
			o.jobs.options.Queue.Log(event.RecordUnreadable, "table", DataTable, "key", group, "error", "not the key of a checkpoint")
			continue
		}
		stored.checkpointPrefix = prefix
		texts = append(texts, stored)
	}
	return texts
}

// withoutRevoked returns those of an item's texts that were not revoked. An owner that discards a text starts a new
// generation: it revokes each text that is not known to have begun later, also those that it took over from other
// owners.
func withoutRevoked(texts []storedText) []storedText {
	return slices.DeleteFunc(slices.Clone(texts), func(text storedText) bool {
		return slices.ContainsFunc(texts, func(revoking storedText) bool {
			return revoking.generation > 0 && revoking.checkpointPrefix != text.checkpointPrefix && !text.after(revoking.checkpointPrefix)
		})
	})
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
	if it.runs > 0 {
		// Parts of the item's own text are stored, or may be later.
		it.discardText()
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
