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

// Outcome is what a client is told about its call.
type Outcome int

const (
	// Done means that the call took effect, now or before.
	Done Outcome = iota
	// NotDone means that it did not take effect and never will.
	NotDone
	// Unsure means that it may have taken effect, or may yet.
	Unsure
	// Absent means that there is no such job.
	Absent
	// OtherTenants means that the job's id is that of another tenant's job.
	OtherTenants
	// Unserved means that no replica lies in the regions in which the job must stay: it was not
	// taken.
	Unserved
)

const (
	// acceptFor bounds the tries to accept a job.
	acceptFor = 2500 * time.Millisecond
	// refusalsFor bounds the tries while the store only refuses: the client is told
	// early enough to try elsewhere.
	refusalsFor = 600 * time.Millisecond
	// firstPause and longestPause bound the pause before a repeat.
	firstPause   = 30 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

func sortedKeys[V any](from map[string]V) []string {
	keys := make([]string, 0, len(from))
	for key := range from {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, cmp.Compare[string])
	return keys
}

// sortByLength sorts indexes by a length, longest first; equal ones by index.
func sortByLength(indexes []int, length func(index int) int) {
	slices.SortFunc(indexes, func(a, b int) int { return cmp.Or(cmp.Compare(length(b), length(a)), cmp.Compare(a, b)) })
}

// acceptance is one client's try to hand a job in.
type acceptance struct {
	jobs    *Jobs
	job     *doorstepv1.BatchJob
	head    *doorstepv1.BatchJobHead
	early   [][]port.Record
	last    []port.Record
	startAt time.Time
	// sentAt is when the head was last sent to the store.
	sentAt   time.Time
	pause    time.Duration
	unsure   bool
	done     func(now time.Time, outcome Outcome)
	finished bool
}

// Accept writes a job and becomes its owner. Content that does not fit into one
// transaction is written ahead: it is the same at every try, and nothing refers to it
// before the head stands.
func (j *Jobs) Accept(now time.Time, job *doorstepv1.BatchJob, done func(now time.Time, outcome Outcome)) {
	if known := j.heads[job.Id]; known != nil {
		outcome := repeated(known.BatchJobHead, job)
		j.logAcceptance(now, job, outcome, 0)
		done(now, outcome)
		return
	}
	// An item may be given up at an age, which must not be overrated: without the
	// store's clock no job is taken.
	_, acceptedAt, known := j.options.Clock(now)
	if !known {
		j.logAcceptance(now, job, NotDone, 0)
		done(now, NotDone)
		return
	}
	route := j.options.Route(job.Host, job.Path)
	if !j.options.Homes.served(route, job.Tenant) {
		j.logAcceptance(now, job, Unserved, 0)
		done(now, Unserved)
		return
	}
	homes := j.options.Homes.of(route, job.Tenant)
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(job)
	if err != nil {
		panic("a job must encode: " + err.Error())
	}
	a := &acceptance{jobs: j, job: job, startAt: now, pause: firstPause, done: done}
	records := chunkRecords(content, func(chunk int) port.RecordKey { return contentKey(job.Id, chunk) })
	owner := j.assign(now, job.Model, ownerRegions(homes, j.options.Topology.Region))
	a.head = &doorstepv1.BatchJobHead{
		Owner: owner.name, OwnerIncarnation: owner.incarnation,
		Total: int32(len(job.Items)), ListedItems: make([]byte, (len(job.Items)+7)/8),
		AcceptedAtMs: acceptedAt.Milliseconds(), Chunks: int32(len(records)),
		Model: job.Model, ExpectedTokens: j.expectedTokens(job), Tenant: job.Tenant, OwnerPlace: j.placeOf(owner),
	}
	j.bindRegions(a.head, job, homes)
	const perTransaction = transactionBytes / chunkBytes
	for len(records) > perTransaction {
		a.early = append(a.early, records[:perTransaction])
		records = records[perTransaction:]
	}
	a.last = records
	a.head.MinVersion = job.MinVersion
	a.head.LongestEvents = int32(j.longestEvents(job))
	a.submit(now)
}

// repeated is the outcome of handing in a job whose id is taken.
func repeated(known *doorstepv1.BatchJobHead, job *doorstepv1.BatchJob) Outcome {
	if known.Tenant != job.Tenant {
		return OtherTenants
	}
	return Done
}

// logAcceptance tells what became of a try to hand a job in.
func (j *Jobs) logAcceptance(now time.Time, job *doorstepv1.BatchJob, outcome Outcome, took time.Duration) {
	number := event.JobAccepted
	if outcome != Done {
		number = event.JobRefused
	}
	least, most, _ := j.options.Clock(now)
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

func (a *acceptance) submit(now time.Time) {
	a.sentAt = now
	if len(a.early) > 0 {
		a.jobs.commit(port.RecordTransaction{Puts: a.early[0]}, func(now time.Time, result port.RecordResult) {
			if result.Status == port.RecordDone {
				a.early = a.early[1:]
				a.submit(now)
				return
			}
			a.retry(now, false)
		})
		return
	}
	value, err := proto.Marshal(a.head)
	if err != nil {
		panic("a head must encode: " + err.Error())
	}
	key := headKey(a.job.Id)
	a.jobs.commit(port.RecordTransaction{
		Preconditions: []port.Precondition{{RecordKey: key}},
		Puts:          append([]port.Record{{RecordKey: key, Value: value}}, a.last...),
	}, a.onCommit)
}

func (a *acceptance) onCommit(now time.Time, result port.RecordResult) {
	switch result.Status {
	case port.RecordDone:
		if a.jobs.mine(a.head) {
			a.jobs.begin(now, a.job, a.head, result.Revision, a.sentAt, false)
		} else {
			a.jobs.setHead(now, a.job.Id, a.head, result.Revision)
		}
		a.finish(now, Done)
	case port.RecordConflict:
		// Some try of this job took effect, perhaps one of this node's.
		a.adopt(now, result)
		if known := a.jobs.heads[a.job.Id]; known != nil {
			a.finish(now, repeated(known.BatchJobHead, a.job))
			return
		}
		a.finish(now, Done)
	case port.RecordUnknown:
		a.retry(now, true)
	default:
		a.retry(now, false)
	}
}

func (a *acceptance) adopt(now time.Time, result port.RecordResult) {
	for _, record := range result.Records {
		if record.Key != a.job.Id || record.Revision == 0 {
			continue
		}
		a.jobs.OnHead(now, record)
		known := a.jobs.heads[a.job.Id]
		if known != nil && repeated(known.BatchJobHead, a.job) == Done && a.jobs.mine(known.BatchJobHead) && a.jobs.owned[a.job.Id] == nil && !known.Ended {
			a.jobs.begin(now, a.job, known.BatchJobHead, known.revision, a.sentAt, false)
		}
	}
}

func (a *acceptance) retry(now time.Time, unsure bool) {
	a.unsure = a.unsure || unsure
	limit := refusalsFor
	if a.unsure {
		limit = acceptFor
	}
	if now.Sub(a.startAt)+a.pause >= limit {
		outcome := NotDone
		if a.unsure {
			outcome = Unsure
		}
		a.finish(now, outcome)
		return
	}
	a.jobs.later(a.pause, a.submit)
	a.pause = min(2*a.pause, longestPause)
}

func (a *acceptance) finish(now time.Time, outcome Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	a.jobs.logAcceptance(now, a.job, outcome, now.Sub(a.startAt))
	a.done(now, outcome)
}

func (j *Jobs) commit(transaction port.RecordTransaction, done func(now time.Time, result port.RecordResult)) {
	j.options.Queue.Add(task.Commit{Transaction: transaction, Done: done})
}

func (j *Jobs) later(pause time.Duration, do func(now time.Time)) {
	jitter := time.Duration(j.options.Random.Int64N(int64(pause)/2 + 1))
	j.options.Queue.Add(task.Timer{After: pause + jitter, Do: do})
}
