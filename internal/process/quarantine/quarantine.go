package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

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
	// lifts holds up to when operators declared void what is known of a request.
	lifts map[Fingerprint]time.Duration
	// unwritten says that there may be something to write, writing that a transaction is under way.
	unwritten, writing           bool
	retryAt, expireAt, collectAt time.Time
	crashes                      int
}

// New returns a quarantine that knows of no request.
func New(options Options) *Quarantine {
	return &Quarantine{options: options, suspects: map[Fingerprint]*suspect{}, removals: map[port.RecordKey]bool{}}
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

// Answered notes that a replica ran a request to a good end: it does not crash those that run it.
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
	if q.void(name.fingerprint, decoded.At) {
		q.remove(name)
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
