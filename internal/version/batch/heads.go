package batch

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// commitHead replaces a head record, conditional on its revision, together with other records.
// After a success or a conflict the known head is up to date.
func (j *Jobs) commitHead(id string, next *doorstepv1.BatchJobHead, revision int64, puts []port.Record, done func(now time.Time, result port.RecordResult)) {
	value, err := proto.Marshal(next)
	if err != nil {
		panic("encode batch job head: " + err.Error())
	}
	key := headKey(id)
	j.commit(port.RecordTransaction{
		Preconditions: []port.Precondition{{RecordKey: key, Revision: revision}},
		Puts:          append([]port.Record{{RecordKey: key, Value: value}}, puts...),
	}, func(now time.Time, result port.RecordResult) {
		switch result.Status {
		case port.RecordDone:
			j.setHead(now, id, next, result.Revision)
		case port.RecordConflict:
			for _, record := range result.Records {
				if record.Key == id {
					j.OnHead(now, record)
				}
			}
		}
		done(now, result)
	})
}

// ReadHead reads a job's head record from the store.
func (j *Jobs) ReadHead(id string, done func(now time.Time, status port.RecordStatus)) {
	key := headKey(id)
	j.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00"},
		Done: func(now time.Time, result port.RecordResult) {
			for _, record := range result.Records {
				if result.Status == port.RecordDone {
					j.OnHead(now, record)
				}
			}
			done(now, result.Status)
		},
	})
}
