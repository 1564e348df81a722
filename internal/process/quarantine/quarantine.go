package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// CrashLimit is how many replicas a request may crash before it is kept from all others. Whatever
	// else was at these replicas is suspected with it, but is answered elsewhere before it meets a
	// third that ends.
	CrashLimit = 3
	// suspectedFor is how long crashes below the limit count, keptFor how long it is known of a
	// request that it was kept from replicas.
	suspectedFor = 10 * time.Minute
	keptFor      = 24 * time.Hour
	// entriesAtOnce bounds the records of one transaction, writeRetry is the wait after one that
	// brought nothing.
	entriesAtOnce = 90
	writeRetry    = 250 * time.Millisecond
	// collectEvery paces the collection, one request at a time; expireEvery paces the look for
	// crashes that are too old and were never written.
	collectEvery = time.Second
	expireEvery  = time.Minute
)

// trialAfter is how long after the last crash, or trial, a request is tried again, by how often it
// was. What made it crash replicas may be mended; if not, each trial costs a replica.
var trialAfter = []time.Duration{2 * time.Minute, 10 * time.Minute, 50 * time.Minute}

// Options configure a Quarantine.
type Options struct {
	Self  string
	Queue *task.Queue
	// StoreClock returns the least that the record store's clock shows at a time.
	StoreClock func(at time.Time) time.Duration
}

// Quarantine is one node's view of the requests that crash replicas; it belongs to the node's loop.
//
// A replica that ends while it has requests makes each of them a suspect. One that is answered
// after that is none any more; one that has crashed CrashLimit replicas is held. Crashes are records
// that all nodes watch, as a caller may repeat its request at any node.
type Quarantine struct {
	options  Options
	suspects map[Fingerprint]*suspect
	answered answeredSet
	// removals are the records of requests that were answered.
	removals map[port.RecordKey]bool
	// unwritten says that there may be something to write, writing that a transaction is under way.
	unwritten, writing           bool
	retryAt, expireAt, collectAt time.Time
	crashes                      int
}

// New returns a quarantine that knows of no request.
func New(options Options) *Quarantine {
	return &Quarantine{options: options, suspects: map[Fingerprint]*suspect{}, removals: map[port.RecordKey]bool{}}
}

// suspect is a request that was at replicas that ended.
type suspect struct {
	route, tenant string
	// crashes holds the crashes by the replicas' IDs, trials the trials by their numbers.
	crashes, trials map[string]*entry
	// due says that the crashes are to be written.
	due bool
	// notedAt is when this node last noted a crash.
	notedAt time.Time
}

// entry is a record, or one that is to be written.
type entry struct {
	at       time.Duration
	recorded bool
}

// entries returns those of a kind.
func (s *suspect) entries(kind entryKind) map[string]*entry {
	if kind == trialEntry {
		return s.trials
	}
	return s.crashes
}

// names returns the names of all entries, in their order.
func (s *suspect) names(fingerprint Fingerprint) []entryName {
	var names []entryName
	for _, kind := range []entryKind{crashEntry, trialEntry} {
		for _, which := range slices.Sorted(maps.Keys(s.entries(kind))) {
			names = append(names, entryName{fingerprint, kind, which})
		}
	}
	return names
}

// last returns when the last crash or trial was.
func (s *suspect) last() time.Duration {
	last := time.Duration(0)
	for _, kind := range []entryKind{crashEntry, trialEntry} {
		for _, one := range s.entries(kind) {
			last = max(last, one.at)
		}
	}
	return last
}

func (s *suspect) held() bool { return len(s.crashes) >= CrashLimit }

// over reports whether a suspect's records are of no use any more.
func (s *suspect) over(clock time.Duration) bool {
	age := clock - s.last()
	return age > keptFor || !s.held() && age > suspectedFor
}

// Request is a request on its way.
type Request struct {
	Fingerprint Fingerprint
	// Route is the name of its route, Tenant its caller's; both are for operators.
	Route, Tenant string
	// Owned says that no other node sends the request: others need not hear of a first crash.
	Owned bool
}

// Crashed notes that a replica ended while it had a request.
func (q *Quarantine) Crashed(now time.Time, request Request, replica string) {
	q.crashes++
	if q.answered.has(now, request.Fingerprint) {
		// Replicas that end together are not the fault of what is answered all the time.
		return
	}
	s := q.suspect(request.Fingerprint)
	if s.crashes[replica] != nil {
		return
	}
	s.route, s.tenant, s.notedAt = request.Route, request.Tenant, now
	held := s.held()
	s.crashes[replica] = &entry{at: q.options.StoreClock(now)}
	s.due = s.due || !request.Owned || len(s.crashes) > 1
	q.unwritten = true
	q.options.Queue.Log(event.ReplicaCrashed, "fingerprint", request.Fingerprint.String(), "replica", replica, "route", request.Route,
		"crashes", len(s.crashes))
	q.noteHeld(request.Fingerprint, s, held)
	q.write(now)
}

// Answered notes that a replica answered a request: it does not crash those that run it.
func (q *Quarantine) Answered(now time.Time, fingerprint Fingerprint) {
	q.answered.add(now, fingerprint)
	s := q.suspects[fingerprint]
	if s == nil {
		return
	}
	delete(q.suspects, fingerprint)
	for _, name := range s.names(fingerprint) {
		if s.due || s.entries(name.kind)[name.which].recorded {
			q.remove(name)
		}
	}
	if s.held() {
		q.options.Queue.Log(event.QuarantineLifted, "fingerprint", fingerprint.String(), "route", s.route)
	}
	q.write(now)
}

// remove has a record deleted.
func (q *Quarantine) remove(name entryName) {
	q.removals[name.key()] = true
	q.unwritten = true
}

func (q *Quarantine) suspect(fingerprint Fingerprint) *suspect {
	s := q.suspects[fingerprint]
	if s == nil {
		s = &suspect{crashes: map[string]*entry{}, trials: map[string]*entry{}}
		q.suspects[fingerprint] = s
	}
	return s
}

// noteHeld tells of a request that is held from now on.
func (q *Quarantine) noteHeld(fingerprint Fingerprint, s *suspect, before bool) {
	if s.held() && !before {
		q.options.Queue.Log(event.RequestQuarantined, "fingerprint", fingerprint.String(), "route", s.route, "crashes", len(s.crashes))
	}
}

// State says whether a request may be sent to replicas.
type State int

const (
	// Clear requests may be sent.
	Clear State = iota
	// Held ones may not.
	Held
	// OnTrial ones may be sent once, by the node that claims the trial.
	OnTrial
)

// Verdict is what is to be done with a request.
type Verdict struct {
	State State
	// Left is how long a held request goes on being held.
	Left time.Duration
}

// Judge says whether a request may be sent to replicas.
func (q *Quarantine) Judge(now time.Time, fingerprint Fingerprint) Verdict {
	s := q.suspects[fingerprint]
	if s == nil || !s.held() {
		return Verdict{}
	}
	wait := keptFor
	if len(s.trials) < len(trialAfter) {
		wait = trialAfter[len(s.trials)]
	}
	left := s.last() + wait - q.options.StoreClock(now)
	switch {
	case left > 0:
		return Verdict{State: Held, Left: left}
	case len(s.trials) < len(trialAfter):
		return Verdict{State: OnTrial}
	}
	return Verdict{}
}

// Claim claims the next trial of a request. One node gets each: the record must be absent. Where its
// answer is lost, the trial is spent.
func (q *Quarantine) Claim(now time.Time, fingerprint Fingerprint, done func(now time.Time, granted bool)) {
	s := q.suspects[fingerprint]
	if s == nil {
		done(now, true)
		return
	}
	name := trialName(fingerprint, len(s.trials))
	at := q.options.StoreClock(now)
	q.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: name.key()}},
			Puts:          []port.Record{q.record(name, s, at)},
		},
		Done: func(now time.Time, result port.RecordResult) {
			if result.Status == port.RecordDone {
				s.trials[name.which] = &entry{at: at, recorded: true}
				q.options.Queue.Log(event.QuarantineTrial, "fingerprint", fingerprint.String(), "route", s.route, "trial", name.which)
			}
			done(now, result.Status == port.RecordDone)
		},
	})
}

func (q *Quarantine) record(name entryName, s *suspect, at time.Duration) port.Record {
	value, err := proto.Marshal(&doorstepv1.QuarantineEntry{AtMs: at.Milliseconds(), Route: s.route, Tenant: s.tenant, Node: q.options.Self})
	if err != nil {
		panic("an entry must encode: " + err.Error())
	}
	return port.Record{RecordKey: name.key(), Value: value}
}

// Tick writes what is due, and forgets now and then crashes that were never written.
func (q *Quarantine) Tick(now time.Time) {
	q.write(now)
	if now.Before(q.expireAt) {
		return
	}
	q.expireAt = now.Add(expireEvery)
	for fingerprint, s := range q.suspects {
		if !s.due && now.Sub(s.notedAt) > suspectedFor && !s.recorded() {
			delete(q.suspects, fingerprint)
		}
	}
}

// recorded reports whether a record tells of the suspect.
func (s *suspect) recorded() bool {
	for _, kind := range []entryKind{crashEntry, trialEntry} {
		for _, one := range s.entries(kind) {
			if one.recorded {
				return true
			}
		}
	}
	return false
}

// write writes the crashes that are due and deletes the records of requests that were answered.
// Neither has a condition: a repeat, or one that takes effect late, changes nothing.
func (q *Quarantine) write(now time.Time) {
	if !q.unwritten || q.writing || now.Before(q.retryAt) {
		return
	}
	puts, written := q.duePuts()
	deletes := q.dueDeletes(entriesAtOnce - len(puts))
	if len(puts)+len(deletes) == 0 {
		q.unwritten = false
		return
	}
	q.writing = true
	q.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{Puts: puts, Deletes: deletes},
		Done: func(now time.Time, result port.RecordResult) {
			q.writing = false
			if result.Status != port.RecordDone {
				q.retryAt = now.Add(writeRetry)
				return
			}
			for _, one := range written {
				one.recorded = true
			}
			for _, key := range deletes {
				delete(q.removals, key)
			}
			q.write(now)
		},
	})
}

// duePuts returns the next records to be written, with their entries.
func (q *Quarantine) duePuts() (puts []port.Record, written []*entry) {
	for _, fingerprint := range q.sorted() {
		s := q.suspects[fingerprint]
		if !s.due {
			continue
		}
		for _, name := range s.names(fingerprint) {
			one := s.entries(name.kind)[name.which]
			if len(puts) == entriesAtOnce {
				return puts, written
			}
			if !one.recorded {
				puts = append(puts, q.record(name, s, one.at))
				written = append(written, one)
			}
		}
	}
	return puts, written
}

// dueDeletes returns the next records to be deleted, some at the most.
func (q *Quarantine) dueDeletes(most int) []port.RecordKey {
	keys := slices.SortedFunc(maps.Keys(q.removals), func(a, b port.RecordKey) int { return cmp.Compare(a.Key, b.Key) })
	return keys[:min(len(keys), most)]
}

func (q *Quarantine) sorted() []Fingerprint {
	return slices.SortedFunc(maps.Keys(q.suspects), func(a, b Fingerprint) int { return cmp.Compare(a.String(), b.String()) })
}

// OnRecord takes a record that changed.
func (q *Quarantine) OnRecord(record port.Record) {
	name, ok := parseEntryName(record.Key)
	if !ok {
		q.unreadable(record, errKey)
		return
	}
	if record.Deleted {
		q.forget(name)
		return
	}
	decoded, err := DecodeEntry(record)
	if err != nil {
		q.unreadable(record, err)
		return
	}
	s := q.suspect(name.fingerprint)
	held := s.held()
	s.route, s.tenant = decoded.Route, decoded.Tenant
	s.entries(name.kind)[name.which] = &entry{at: decoded.At, recorded: true}
	q.noteHeld(name.fingerprint, s, held)
}

func (q *Quarantine) unreadable(record port.Record, err error) {
	q.options.Queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
}

// OnList notes which records stand, of those of all partitions: what is not among them is gone.
func (q *Quarantine) OnList(records []port.Record) {
	listed := map[port.RecordKey]bool{}
	for _, record := range records {
		listed[record.RecordKey] = true
	}
	for _, fingerprint := range q.sorted() {
		s := q.suspects[fingerprint]
		for _, name := range s.names(fingerprint) {
			if s.entries(name.kind)[name.which].recorded && !listed[name.key()] {
				q.forget(name)
			}
		}
	}
}

// forget drops an entry whose record is gone.
func (q *Quarantine) forget(name entryName) {
	s := q.suspects[name.fingerprint]
	if s == nil {
		return
	}
	held := s.held()
	delete(s.entries(name.kind), name.which)
	if held && !s.held() {
		q.options.Queue.Log(event.QuarantineLifted, "fingerprint", name.fingerprint.String(), "route", s.route)
	}
	if len(s.crashes) == 0 {
		delete(q.suspects, name.fingerprint)
	}
}

// Collect deletes the records of a request that is suspected no more; one node is enough.
func (q *Quarantine) Collect(now time.Time) {
	if q.writing || now.Before(q.collectAt) {
		return
	}
	q.collectAt = now.Add(collectEvery)
	clock := q.options.StoreClock(now)
	for _, fingerprint := range q.sorted() {
		if s := q.suspects[fingerprint]; s.over(clock) && s.recorded() {
			for _, name := range s.names(fingerprint) {
				q.remove(name)
			}
			delete(q.suspects, fingerprint)
			q.write(now)
			return
		}
	}
}

// Figures tell what this node knows.
type Figures struct {
	// Crashes counts the replicas that ended while this node had a request there, once for each
	// request; Suspects and Held are the requests that are suspected, and held, at present.
	Crashes, Suspects, Held int
}

// Figures returns the node's figures.
func (q *Quarantine) Figures() Figures {
	figures := Figures{Crashes: q.crashes, Suspects: len(q.suspects)}
	for _, s := range q.suspects {
		if s.held() {
			figures.Held++
		}
	}
	return figures
}
