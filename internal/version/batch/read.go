package batch

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// readRecords and readBytes bound the records and results of one read.
	readRecords = 400
	readBytes   = 700_000
	// contentTries bounds the reads of a job's content.
	contentTries = 8
)

// ReadResults reads listed results from a position on; ok is false when the store
// gave no answer.
func (j *Jobs) ReadResults(id string, from int, done func(now time.Time, results []*doorstepv1.BatchResult, ok bool)) {
	j.options.Queue.Add(task.Range{
		Query: port.RecordRange{
			Table: DataTable, Partition: Partition(id), Limit: readRecords,
			From: resultKey(id, from, 0).Key, To: id + "/r/~",
		},
		Done: func(now time.Time, result port.RecordResult) {
			if result.Status != port.RecordDone {
				done(now, nil, false)
				return
			}
			results, err := joinResults(result.Records, result.More)
			done(now, results, err == nil)
		},
	})
}

// joinResults puts the chunks of results together. The last result may lack chunks
// when the range goes on behind it.
func joinResults(records []port.Record, more bool) ([]*doorstepv1.BatchResult, error) {
	var results []*doorstepv1.BatchResult
	total := 0
	for i := 0; i < len(records); {
		position := records[i].Key[:strings.LastIndexByte(records[i].Key, '/')+1]
		var content []byte
		for i < len(records) && strings.HasPrefix(records[i].Key, position) {
			content = append(content, records[i].Value...)
			i++
		}
		total += len(content)
		if i == len(records) && more || len(results) > 0 && total > readBytes {
			break
		}
		result := &doorstepv1.BatchResult{}
		if err := proto.Unmarshal(content, result); err != nil {
			return nil, fmt.Errorf("result at %s: %w", position, err)
		}
		results = append(results, result)
	}
	return results, nil
}

// ReadContent reads what a client handed in; nil when the store did not answer.
func (j *Jobs) ReadContent(now time.Time, id string, done func(now time.Time, job *doorstepv1.BatchJob)) {
	if own := j.owned[id]; own != nil {
		done(now, own.job)
		return
	}
	j.readContent(now, id, contentTries, done)
}

func (j *Jobs) readContent(now time.Time, id string, tries int, done func(now time.Time, job *doorstepv1.BatchJob)) {
	var content []byte
	from := id + "/m/"
	var next func(now time.Time)
	next = func(time.Time) {
		j.options.Queue.Add(task.Range{
			Query: port.RecordRange{Table: DataTable, Partition: Partition(id), From: from, To: id + "/m/~"},
			Done: func(now time.Time, result port.RecordResult) {
				if result.Status != port.RecordDone {
					tries--
					if tries <= 0 {
						done(now, nil)
						return
					}
					j.later(longestPause/2, next)
					return
				}
				for _, record := range result.Records {
					content = append(content, record.Value...)
					from = record.Key + "\x00"
				}
				if result.More {
					next(now)
					return
				}
				job := &doorstepv1.BatchJob{}
				if err := proto.Unmarshal(content, job); err != nil || job.Id != id {
					done(now, nil)
					return
				}
				done(now, job)
			},
		})
	}
	next(now)
}
