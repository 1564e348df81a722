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
	// TextTable holds texts that were begun when their runs were stopped, a partition
	// for each model.
	TextTable = "batch-texts"
	// keptEvents is the least text worth keeping.
	keptEvents = 10
	// textsWithin is how long a new owner waits for kept texts before it starts.
	textsWithin = 150 * time.Millisecond
	// textLife is how long a text that nobody asked for is kept.
	textLife = 60 * time.Second
)

func textKey(model, item string, chunk int) port.RecordKey {
	return port.RecordKey{Table: TextTable, Partition: model, Key: fmt.Sprintf("%s/%02d", item, chunk)}
}

// saveTexts keeps the texts that were begun and are not listed.
func (o *ownedJob) saveTexts(now time.Time, done func(now time.Time)) {
	records := o.textRecords(now)
	if len(records) == 0 {
		done(now)
		return
	}
	o.jobs.commit(port.RecordTransaction{Puts: records}, func(now time.Time, result port.RecordResult) {
		o.jobs.options.Queue.Log(event.TextsKept, "job", o.id, "records", len(records), "status", int(result.Status))
		done(now)
	})
}

// textRecords returns the records of the texts, longest first, as far as they fit into
// one transaction.
func (o *ownedJob) textRecords(now time.Time) []port.Record {
	if o.job.Model == "" {
		return nil
	}
	var records []port.Record
	size := 0
	for _, index := range o.longestTexts() {
		_, savedAt, _ := o.jobs.options.Clock(now)
		text := &doorstepv1.KeptText{Item: o.job.Items[index].Id, SavedAtMs: savedAt.Milliseconds()}
		for _, made := range o.items[index].events {
			text.Events = append(text.Events, &doorstepv1.KeptEvent{Id: made.ID, Data: made.Data, Version: made.Version})
		}
		content, err := proto.Marshal(text)
		if err != nil {
			panic("a text must encode: " + err.Error())
		}
		size += len(content)
		if size > transactionBytes {
			return records
		}
		records = append(records, chunkRecords(content, func(chunk int) port.RecordKey {
			return textKey(o.job.Model, text.Item, chunk)
		})...)
	}
	return records
}

// longestTexts returns the items with texts worth keeping, longest first.
func (o *ownedJob) longestTexts() []int {
	var list []int
	for i := range o.items {
		if o.items[i].state != itemListed && o.items[i].state != itemFinished && len(o.items[i].events) >= keptEvents {
			list = append(list, i)
		}
	}
	sortByLength(list, func(index int) int { return len(o.items[index].events) })
	return list
}

// readTexts looks for texts of the job's items that were kept.
func (o *ownedJob) readTexts(now time.Time) {
	if o.job.Model == "" {
		return
	}
	o.startAfter = now.Add(textsWithin)
	o.jobs.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: TextTable, Partition: o.job.Model},
		Done: func(now time.Time, result port.RecordResult) {
			o.startAfter = now
			if o.jobs.owned[o.id] != o || result.Status != port.RecordDone {
				return
			}
			o.adoptTexts(now, result.Records)
			o.advance(now)
		},
	})
}

// adoptTexts goes on from kept texts, and deletes them along with old ones.
func (o *ownedJob) adoptTexts(now time.Time, records []port.Record) {
	byItem := map[string]int{}
	for i, one := range o.job.Items {
		byItem[one.Id] = i
	}
	used := port.RecordTransaction{}
	for from := 0; from < len(records); {
		item, _, _ := strings.Cut(records[from].Key, "/")
		to := from
		var content []byte
		for to < len(records) && strings.HasPrefix(records[to].Key, item+"/") {
			content = append(content, records[to].Value...)
			to++
		}
		text := &doorstepv1.KeptText{}
		whole := proto.Unmarshal(content, text) == nil && text.Item == item
		index, wanted := byItem[item]
		if whole && wanted {
			o.adoptText(index, text)
		}
		if wanted || !whole || o.jobs.age(now, text.SavedAtMs) > textLife {
			for _, record := range records[from:to] {
				used.Deletes = append(used.Deletes, record.RecordKey)
			}
		}
		from = to
	}
	if len(used.Deletes) > 0 {
		o.jobs.commit(used, func(time.Time, port.RecordResult) {})
	}
}

func (o *ownedJob) adoptText(index int, text *doorstepv1.KeptText) {
	one := &o.items[index]
	if one.state != itemWaiting || len(one.events) > 0 {
		return
	}
	one.long = true
	for _, made := range text.Events {
		one.events = append(one.events, port.ReplicaEvent{ID: made.Id, Data: made.Data, Version: made.Version})
	}
	o.checkVersions(index)
	o.jobs.options.Queue.Log(event.TextAdopted, "job", o.id, "item", text.Item, "events", len(one.events))
}
