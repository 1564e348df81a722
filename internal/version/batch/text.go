package batch

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// keepEvery paces the keeping of texts while items run: what an owner that dies has made
	// since is made again. A step whose longest text takes 6.9 of its 7.5 s has no more to lose.
	keepEvery = 500 * time.Millisecond
	// keptEvents is the least that is kept of a text at a time.
	keptEvents = 4
	// keptAtOnce bounds the records of one transaction.
	keptAtOnce = 90
	// textsWithin is how long a new owner waits for kept texts before it starts, longer by twice
	// the distance of the store: a read that takes longer finds the items begun anew.
	textsWithin = 300 * time.Millisecond
)

// textKey names a part of an item's text. Each life of an owner, and each text that is
// begun anew, writes under a prefix of its own: parts of two texts never mix, whenever
// their writes take effect.
func (o *ownedJob) textKey(index int) port.RecordKey {
	one := &o.items[index]
	return port.RecordKey{Table: DataTable, Partition: Partition(o.id), Key: fmt.Sprintf("%s/t/%04d/%016x-%02d/%03d",
		o.id, index, o.jobs.options.Incarnation, one.generation, one.keptParts)}
}

// kept is a part that is on its way to the store.
type kept struct {
	index, generation, until int
	whole, score             bool
}

// keepTexts writes what was made of texts since they were kept last.
func (o *ownedJob) keepTexts(now time.Time, done func(now time.Time)) {
	var parts []kept
	transaction := port.RecordTransaction{}
	size := 0
	for n := range o.items {
		// Each time begins behind the last item that was kept: with more texts than one
		// transaction takes, those at the end would never be kept.
		i := (o.keepFrom + n) % len(o.items)
		if !o.mayKeep(i) {
			continue
		}
		one := &o.items[i]
		record := o.textPart(i)
		size += len(record.Value)
		if len(parts) >= keptAtOnce || size > transactionBytes || len(record.Value) > chunkBytes {
			break
		}
		parts = append(parts, kept{
			index: i, generation: one.generation, until: len(one.events) + len(one.progress), whole: one.whole(), score: one.score != "",
		})
		transaction.Puts = append(transaction.Puts, record)
	}
	if len(parts) == 0 {
		done(now)
		return
	}
	o.keepFrom = (parts[len(parts)-1].index + 1) % len(o.items)
	o.jobs.commit(transaction, func(now time.Time, result port.RecordResult) {
		if result.Status == port.RecordDone {
			o.noteKept(parts)
		}
		done(now)
	})
}

// mayKeep reports whether an item has something to keep: enough new events, or a whole text
// that is not listed yet, and its score.
func (o *ownedJob) mayKeep(index int) bool {
	one := &o.items[index]
	switch one.state {
	case itemWaiting, itemRunning:
		return len(one.events)+len(one.progress)-one.keptEvents >= keptEvents
	case itemScoring, itemFinished:
		return one.whole() && (!one.keptWhole || one.score != "" && !one.keptScore)
	case itemListed:
	}
	return false
}

// whole reports whether the item's text is at hand as a whole.
func (i *item) whole() bool { return i.state == itemScoring || i.state == itemFinished && i.completed }

// textPart encodes the events of a text that were not kept yet.
func (o *ownedJob) textPart(index int) port.Record {
	one := &o.items[index]
	part := &doorstepv1.KeptText{Score: one.score}
	if one.whole() {
		part.WholeEvents = int64(len(one.events))
	}
	for i := one.keptEvents; i < len(one.events)+len(one.progress); i++ {
		made := one.eventAt(i)
		part.Events = append(part.Events, &doorstepv1.KeptEvent{Id: made.ID, Data: made.Data, Version: made.Version})
	}
	value, err := proto.Marshal(part)
	if err != nil {
		panic("a text must encode: " + err.Error())
	}
	return port.Record{RecordKey: o.textKey(index), Value: value}
}

func (i *item) eventAt(index int) port.ReplicaEvent {
	if index < len(i.events) {
		return i.events[index]
	}
	return i.progress[index-len(i.events)]
}

func (o *ownedJob) noteKept(parts []kept) {
	for _, part := range parts {
		one := &o.items[part.index]
		if one.generation == part.generation {
			one.keptEvents = part.until
			one.keptParts++
			one.keptWhole, one.keptScore = part.whole, part.score
		}
	}
}

// discardText begins an item's text anew.
func (i *item) discardText() {
	i.events, i.progress = nil, nil
	i.generation++
	i.keptEvents, i.keptParts = 0, 0
	i.keptWhole, i.keptScore = false, false
}

// readTexts looks for what former owners kept.
func (o *ownedJob) readTexts(now time.Time) {
	o.startAfter = now.Add(textsWithin + 2*o.jobs.distance())
	o.readTextsFrom(o.id+"/t/", nil)
}

func (o *ownedJob) readTextsFrom(from string, records []port.Record) {
	o.jobs.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: DataTable, Partition: Partition(o.id), From: from, To: o.id + "/t/~"},
		Done: func(now time.Time, result port.RecordResult) {
			if o.jobs.owned[o.id] != o {
				return
			}
			records = append(records, result.Records...)
			if result.Status == port.RecordDone && result.More && now.Before(o.startAfter) && o.jobs.mayOwn(o.head.BatchJobHead) {
				o.readTextsFrom(records[len(records)-1].Key+"\x00", records)
				return
			}
			o.startAfter = now
			o.adoptTexts(now, records)
			o.advance(now)
		},
	})
}

// adoptTexts goes on from the longest whole text of each item.
func (o *ownedJob) adoptTexts(now time.Time, records []port.Record) {
	for from := 0; from < len(records); {
		prefix := records[from].Key[:strings.LastIndexByte(records[from].Key, '/')+1]
		to := from
		var content []byte
		for to < len(records) && strings.HasPrefix(records[to].Key, prefix) {
			// The encodings of parts, one behind the other, are that of the whole.
			content = append(content, records[to].Value...)
			to++
		}
		from = to
		index := 0
		if _, err := fmt.Sscanf(prefix[len(o.id)+len("/t/"):], "%04d/", &index); err != nil || index < 0 || index >= len(o.items) {
			continue
		}
		text := &doorstepv1.KeptText{}
		if proto.Unmarshal(content, text) == nil {
			o.adoptText(now, index, text)
		}
	}
}

// adoptText takes a text whose events follow one another from the first.
func (o *ownedJob) adoptText(now time.Time, index int, text *doorstepv1.KeptText) {
	one := &o.items[index]
	whole := int64(len(text.Events)) == text.WholeEvents
	if one.state != itemWaiting || len(text.Events) == 0 || len(text.Events) < len(one.events) || len(text.Events) == len(one.events) && !whole {
		return
	}
	var events []port.ReplicaEvent
	for i, made := range text.Events {
		if made.Id != int64(i+1) {
			return
		}
		events = append(events, port.ReplicaEvent{ID: made.Id, Data: made.Data, Version: made.Version})
	}
	one.events = events
	o.checkVersions(index)
	one.long = one.long || len(one.events) >= shortEvents
	if whole && len(one.events) > 0 {
		o.adoptWhole(now, index, text.Score)
	}
	o.jobs.options.Queue.Log(event.TextAdopted, "job", o.id, "item", o.job.Items[index].Id, "events", len(one.events), "whole", one.whole(),
		"scored", one.score != "")
}

// adoptWhole goes on with a whole text that a former owner made: it is scored, if that is
// still to be done, and listed. Its parts in the store stay, so it is kept already.
func (o *ownedJob) adoptWhole(now time.Time, index int, score string) {
	one := &o.items[index]
	one.keptWhole = true
	one.wholeAt = now
	if o.job.Items[index].Scoring != nil && score == "" {
		o.awaitScore(now, index)
		return
	}
	one.keptScore = score != ""
	o.finish(now, index, score)
}
