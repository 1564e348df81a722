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
	// maxReadRecords and maxReadBytes limit the size of one read of results.
	maxReadRecords = 400
	maxReadBytes   = 700_000
	// maxContentAttempts limits the failed reads of a job's content.
	maxContentAttempts = 8
)

// ReadResults reads listed results starting at a position; ok is false if the read failed.
func (j *Jobs) ReadResults(id string, from int, done func(now time.Time, results []*doorstepv1.BatchResult, ok bool)) {
	j.options.Queue.Add(task.Range{
		Query: port.RecordRange{
			Table: DataTable, Partition: Partition(id), Limit: maxReadRecords,
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

// joinResults assembles results from their chunks. If more records follow, the last result may
// be incomplete and is omitted.
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
		if i == len(records) && more || len(results) > 0 && total > maxReadBytes {
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

// ReadContent reads a job as submitted by the client; nil if the read failed.
func (j *Jobs) ReadContent(now time.Time, id string, done func(now time.Time, job *doorstepv1.BatchJob)) {
	if owned := j.owned[id]; owned != nil {
		done(now, owned.job)
		return
	}
	j.readContent(now, id, func() bool { return true }, done)
}

// readContent reads a job's content, as long as allowed returns true.
func (j *Jobs) readContent(now time.Time, id string, allowed func() bool, done func(now time.Time, job *doorstepv1.BatchJob)) {
	r := &contentReader{jobs: j, id: id, attemptsLeft: maxContentAttempts, from: id + "/m/", to: id + "/m/~", allowed: allowed, done: done}
	if known := j.heads[id]; known != nil && known.Chunks > 0 {
		// Further chunks are of submissions that were not accepted.
		r.to = contentKey(id, int(known.Chunks)).Key
	}
	r.next(now)
}

// contentReader reads the records of a job's content sequentially.
type contentReader struct {
	jobs         *Jobs
	id           string
	attemptsLeft int
	// from and to bound the keys that remain to be read.
	from, to string
	content  []byte
	// allowed reports whether this node may still read the content. It is checked before each
	// read.
	allowed func() bool
	done    func(now time.Time, job *doorstepv1.BatchJob)
}

func (r *contentReader) next(now time.Time) {
	if !r.allowed() {
		r.done(now, nil)
		return
	}
	r.jobs.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: DataTable, Partition: Partition(r.id), From: r.from, To: r.to},
		Done:  r.onRange,
	})
}

func (r *contentReader) onRange(now time.Time, result port.RecordResult) {
	if result.Status != port.RecordDone {
		r.attemptsLeft--
		if r.attemptsLeft <= 0 {
			r.done(now, nil)
			return
		}
		r.jobs.retryAfter(maxBackoff/2, r.next)
		return
	}
	for _, record := range result.Records {
		r.content = append(r.content, record.Value...)
		r.from = record.Key + "\x00"
	}
	if result.More {
		r.next(now)
		return
	}
	job := &doorstepv1.BatchJob{}
	if err := proto.Unmarshal(r.content, job); err != nil || job.Id != r.id {
		r.done(now, nil)
		return
	}
	r.done(now, job)
}
