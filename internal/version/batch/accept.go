package batch

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// Outcome is the result of a client's request as reported to the client.
type Outcome int

const (
	// Applied means that the request took effect, now or earlier.
	Applied Outcome = iota
	// NotApplied means that the request did not take effect and never will.
	NotApplied
	// Indeterminate means that the request may have taken effect or may still do so.
	Indeterminate
	// NotFound means that the job does not exist.
	NotFound
	// TenantMismatch means that the job ID is already used by another tenant.
	TenantMismatch
	// NoReplica means that the job was rejected because its home regions have no replica.
	NoReplica
	// Invalid means that the job was rejected because it cannot be encoded.
	Invalid
)

const (
	// acceptTimeout limits how long a submission is retried after an indeterminate result, and refusalTimeout
	// while the store rejects every write, so that the client can try another node early.
	acceptTimeout  = 2500 * time.Millisecond
	refusalTimeout = 600 * time.Millisecond
)

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, cmp.Compare[string])
	return keys
}

// sortByLength sorts indexes by descending length, then by index.
func sortByLength(indexes []int, length func(index int) int) {
	slices.SortFunc(indexes, func(a, b int) int { return cmp.Or(cmp.Compare(length(b), length(a)), cmp.Compare(a, b)) })
}

// submission is one client request to submit a job, including its retries.
type submission struct {
	jobs *Jobs
	job  *doorstepv1.BatchJob
	head *doorstepv1.BatchJobHead
	// leadingChunks are the chunks by transaction that precede the final one, leadingWritten the number of these
	// transactions that were applied. claim is nil if there are none.
	leadingChunks  [][]port.Record
	leadingWritten int
	claim          *contentClaim
	finalChunks    []port.Record
	// headSentAt is when the head record was last sent to the store.
	headSentAt time.Time
	retries    callRetries
	done       func(now time.Time, outcome Outcome)
}

// Accept stores a job and assigns its owner. The client waits until the deadline, zero if unknown.
// Content that does not fit into the final transaction is written first, under a claim.
func (j *Jobs) Accept(now time.Time, job *doorstepv1.BatchJob, deadline time.Time, done func(now time.Time, outcome Outcome)) {
	if known := j.heads[job.Id]; known != nil {
		outcome := duplicateOutcome(known.BatchJobHead, job)
		j.logAcceptance(now, job, outcome, 0)
		done(now, outcome)
		return
	}
	// Item expiry is based on the acceptance time, so a job is rejected until the store clock is
	// known.
	_, acceptedAt, known := j.options.StoreClock(now)
	if !known {
		j.logAcceptance(now, job, NotApplied, 0)
		done(now, NotApplied)
		return
	}
	route := j.options.Route(job.Host, job.Path)
	if !j.options.Homes.hasReplica(route, job.Tenant) {
		j.logAcceptance(now, job, NoReplica, 0)
		done(now, NoReplica)
		return
	}
	homes := j.options.Homes.regionsOf(route, job.Tenant)
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(job)
	if err != nil {
		j.rejectInvalid(now, job, err, done)
		return
	}
	s := &submission{jobs: j, job: job, retries: newCallRetries(now, deadline), done: done}
	records := chunkRecords(content, func(chunk int) port.RecordKey { return contentKey(job.Id, chunk) })
	owner := j.assignOwner(now, job.Model, ownerRegions(homes, j.options.Topology.Region))
	s.head = &doorstepv1.BatchJobHead{
		Owner: owner.name, OwnerIncarnation: owner.incarnation,
		Total: int32(len(job.Items)), ListedItems: make([]byte, (len(job.Items)+7)/8),
		AcceptedAtMs: acceptedAt.Milliseconds(), Chunks: int32(len(records)),
		Model: job.Model, ExpectedTokens: j.expectedTokens(job), Tenant: job.Tenant, OwnerPlace: j.placeOf(owner),
	}
	j.bindRegions(s.head, job, homes)
	const perTransaction = maxTransactionBytes / chunkBytes
	for len(records) > perTransaction {
		s.leadingChunks = append(s.leadingChunks, records[:perTransaction])
		records = records[perTransaction:]
	}
	s.finalChunks = records
	if len(s.leadingChunks) > 0 {
		s.claim = newContentClaim(content)
	}
	s.head.MinVersion = job.MinVersion
	s.head.LongestEvents = int32(j.longestEvents(job))
	j.atDeadline(now, deadline, func(now time.Time) { s.finish(now, s.retries.failure()) })
	s.submit(now)
}

// rejectInvalid rejects a job that cannot be encoded.
func (j *Jobs) rejectInvalid(now time.Time, job *doorstepv1.BatchJob, err error, done func(now time.Time, outcome Outcome)) {
	j.options.Queue.Log(event.RecordNotEncoded, "job", job.Id, "error", err.Error())
	j.logAcceptance(now, job, Invalid, 0)
	done(now, Invalid)
}

// duplicateOutcome returns the outcome of submitting a job whose ID already exists.
func duplicateOutcome(known *doorstepv1.BatchJobHead, job *doorstepv1.BatchJob) Outcome {
	if known.Tenant != job.Tenant {
		return TenantMismatch
	}
	return Applied
}

// logAcceptance logs the outcome of a submission.
func (j *Jobs) logAcceptance(now time.Time, job *doorstepv1.BatchJob, outcome Outcome, took time.Duration) {
	number := event.JobAccepted
	if outcome != Applied {
		number = event.JobRefused
	}
	least, most, _ := j.options.StoreClock(now)
	j.options.Queue.Log(number, "job", job.Id, "outcome", int(outcome), "items", len(job.Items), "model", job.Model,
		"min_version", job.MinVersion, "step", job.TrainingStep, "took_ms", took.Milliseconds(), "clock_known_to_ms", (most - least).Milliseconds())
}

func chunkRecords(content []byte, key func(chunk int) port.RecordKey) []port.Record {
	var records []port.Record
	for chunk := range slices.Chunk(content, chunkBytes) {
		records = append(records, port.Record{RecordKey: key(len(records)), Value: chunk})
	}
	return records
}

func (s *submission) submit(now time.Time) {
	if s.retries.finished {
		return
	}
	s.headSentAt = now
	if s.leadingWritten < len(s.leadingChunks) {
		s.jobs.commit(s.leadingTransaction(), s.onLeadingCommit)
		return
	}
	value, err := proto.Marshal(s.head)
	if err != nil {
		panic("encode batch job head: " + err.Error())
	}
	key := headKey(s.job.Id)
	s.retries.writing = true
	s.jobs.commit(port.RecordTransaction{
		Preconditions: s.contentPreconditions(),
		Puts:          append([]port.Record{{RecordKey: key, Value: value}}, s.finalChunks...),
	}, s.onCommit)
}

func (s *submission) onCommit(now time.Time, result port.RecordResult) {
	s.retries.writing = false
	switch result.Status {
	case port.RecordDone:
		if s.jobs.isOwner(s.head) {
			s.jobs.startJob(now, s.job, s.head, result.Revision, s.headSentAt, false)
		} else {
			s.jobs.setHead(now, s.job.Id, s.head, result.Revision)
		}
		s.finish(now, Applied)
	case port.RecordConflict:
		s.onConflict(now, result)
	case port.RecordUnknown:
		s.retry(now, true)
	default:
		s.retry(now, false)
	}
}

// onConflict finishes a submission of a job that exists, as another attempt to submit it succeeded, possibly from this
// node. Otherwise the claim has changed, and all chunks are written again.
func (s *submission) onConflict(now time.Time, result port.RecordResult) {
	exists := slices.ContainsFunc(result.Records, func(record port.Record) bool {
		return record.RecordKey == headKey(s.job.Id) && record.Revision > 0
	})
	if s.claim != nil && !exists {
		s.claim.update(s.job.Id, result)
		s.leadingWritten = 0
		s.retry(now, false)
		return
	}
	s.adoptExisting(now, result)
	if known := s.jobs.heads[s.job.Id]; known != nil {
		s.finish(now, duplicateOutcome(known.BatchJobHead, s.job))
		return
	}
	s.finish(now, Applied)
}

// adoptExisting applies the head record of a job that was accepted before, and starts the job if this node owns it. Its
// content is read from the store, as that of this submission may differ.
func (s *submission) adoptExisting(now time.Time, result port.RecordResult) {
	j, id := s.jobs, s.job.Id
	for _, record := range result.Records {
		if record.Key != id || record.Revision == 0 {
			continue
		}
		j.OnHead(now, record)
		known := j.heads[id]
		if known != nil && j.isOwner(known.BatchJobHead) && !known.Ended && !known.complete() && !known.mutating && j.owned[id] == nil {
			j.loadJob(now, id, known, "")
		}
	}
}

func (s *submission) retry(now time.Time, inDoubt bool) {
	s.retries.inDoubt = s.retries.inDoubt || inDoubt
	limit := refusalTimeout
	if s.retries.inDoubt {
		limit = acceptTimeout
	}
	delay, ok := s.retries.next(now, limit)
	if !ok {
		s.finish(now, s.retries.failure())
		return
	}
	s.jobs.retryAfter(delay, s.submit)
}

func (s *submission) finish(now time.Time, outcome Outcome) {
	if s.retries.finished {
		return
	}
	s.retries.finished = true
	// The timer of the deadline still refers to the submission.
	s.leadingChunks, s.finalChunks = nil, nil
	s.jobs.logAcceptance(now, s.job, outcome, now.Sub(s.retries.startedAt))
	s.done(now, outcome)
}

func (j *Jobs) commit(transaction port.RecordTransaction, done func(now time.Time, result port.RecordResult)) {
	j.options.Queue.Add(task.Commit{Transaction: transaction, Done: done})
}

func (j *Jobs) retryAfter(delay time.Duration, retry func(now time.Time)) {
	jitter := time.Duration(j.options.Random.Int64N(int64(delay)/2 + 1))
	j.options.Queue.Add(task.Timer{After: delay + jitter, Do: retry})
}
