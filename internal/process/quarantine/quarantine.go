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
	// CrashLimit is the number of replicas that a request may crash before it is quarantined. Other requests
	// on the same replicas become suspects too, but are normally answered elsewhere before they reach the
	// limit.
	CrashLimit = 3
	// suspectTTL is how long crashes below the limit count, quarantineTTL how long a quarantine is remembered
	// after its last crash or trial.
	suspectTTL    = 10 * time.Minute
	quarantineTTL = 24 * time.Hour
	// maxTransactionEntries limits the records in one transaction, writeRetryDelay is the delay after a failed
	// one.
	maxTransactionEntries = 90
	writeRetryDelay       = 250 * time.Millisecond
	// collectInterval is the time between two collected requests.
	collectInterval = time.Second
)

// trialDelays are the delays after the last crash or trial before a quarantined request is tried again, by
// the number of previous trials. The cause of the crashes may have been fixed; if not, each trial costs a
// replica.
var trialDelays = []time.Duration{2 * time.Minute, 10 * time.Minute, 50 * time.Minute}

// Options configure a Quarantine.
type Options struct {
	Self  string
	Queue *task.Queue
	// StoreClock returns a lower bound on the record store's clock at a time.
	StoreClock func(at time.Time) time.Duration
}

// Quarantine is one node's view of the requests that crash replicas. It is used from the node's loop only.
//
// When a replica crashes, all requests on it become suspects. A suspect that is answered later is cleared; one
// that has crashed CrashLimit replicas is held. Crashes are stored in records that all nodes watch, as a
// caller may repeat its request on any node.
type Quarantine struct {
	options  Options
	suspects map[Fingerprint]*suspect
	answered answeredSet
	// removals holds the keys of records to be deleted.
	removals map[port.RecordKey]bool
	// lifts holds the time up to which operators voided the entries of a request.
	lifts map[Fingerprint]time.Duration
	// dirty is set if there may be something to write, writing while a transaction is pending.
	dirty, writing     bool
	retryAt, collectAt time.Time
	// crashes counts calls of RecordCrash.
	crashes int
}

// New returns a quarantine with empty state.
func New(options Options) *Quarantine {
	return &Quarantine{options: options, suspects: map[Fingerprint]*suspect{}, removals: map[port.RecordKey]bool{}}
}

// Request identifies a request that is being served.
type Request struct {
	Fingerprint Fingerprint
	// Route and Tenant are names, shown to operators.
	Route, Tenant string
}

// RecordCrash records that a replica crashed while it was running a request.
func (q *Quarantine) RecordCrash(now time.Time, request Request, replica string) {
	q.crashes++
	if q.answered.has(now, request.Fingerprint) {
		// The request is answered on other replicas, so it is not the cause of the crash.
		return
	}
	s := q.suspect(request.Fingerprint)
	if s.crashes[replica] != nil {
		return
	}
	s.route, s.tenant = request.Route, request.Tenant
	held := s.held()
	s.crashes[replica] = &entry{at: q.options.StoreClock(now)}
	q.dirty = true
	q.options.Queue.Log(event.ReplicaCrashed, "fingerprint", request.Fingerprint.String(), "replica", replica, "route", request.Route,
		"crashes", len(s.crashes))
	q.logQuarantined(request.Fingerprint, s, held)
	q.write(now)
}

// RecordAnswer records that a replica completed a request, which clears the request.
func (q *Quarantine) RecordAnswer(now time.Time, fingerprint Fingerprint) {
	q.answered.add(now, fingerprint)
	s := q.suspects[fingerprint]
	if s == nil {
		return
	}
	delete(q.suspects, fingerprint)
	for _, name := range s.names(fingerprint) {
		q.deleteRecord(name)
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

// logQuarantined logs a request that has just reached the crash limit.
func (q *Quarantine) logQuarantined(fingerprint Fingerprint, s *suspect, before bool) {
	if s.held() && !before {
		q.options.Queue.Log(event.RequestQuarantined, "fingerprint", fingerprint.String(), "route", s.route, "crashes", len(s.crashes))
	}
}

// Tick writes pending records.
func (q *Quarantine) Tick(now time.Time) { q.write(now) }

func (q *Quarantine) sortedFingerprints() []Fingerprint {
	return slices.SortedFunc(maps.Keys(q.suspects), func(a, b Fingerprint) int { return cmp.Compare(a.String(), b.String()) })
}

// OnRecord handles a changed record.
func (q *Quarantine) OnRecord(record port.Record) {
	name, ok := parseEntryName(record.Key)
	if !ok {
		q.logUnreadable(record, errKey)
		return
	}
	if record.Deleted {
		q.removeEntry(name)
		return
	}
	decoded, err := DecodeEntry(record)
	if err != nil {
		q.logUnreadable(record, err)
		return
	}
	if q.isVoid(name.fingerprint, decoded.At) {
		q.deleteRecord(name)
		return
	}
	s := q.suspect(name.fingerprint)
	held := s.held()
	s.route, s.tenant = decoded.Route, decoded.Tenant
	s.entries(name.kind)[name.id] = &entry{at: decoded.At, recorded: true}
	q.logQuarantined(name.fingerprint, s, held)
}

func (q *Quarantine) logUnreadable(record port.Record, err error) {
	q.options.Queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
}

// OnList handles a full read of the shared table and removes entries whose records are gone.
func (q *Quarantine) OnList(records []port.Record) {
	listed := map[port.RecordKey]bool{}
	for _, record := range records {
		listed[record.RecordKey] = true
	}
	for _, fingerprint := range q.sortedFingerprints() {
		s := q.suspects[fingerprint]
		for _, name := range s.names(fingerprint) {
			if s.entries(name.kind)[name.id].recorded && !listed[name.key()] {
				q.removeEntry(name)
			}
		}
	}
}

// removeEntry removes an entry whose record is gone.
func (q *Quarantine) removeEntry(name entryName) {
	s := q.suspects[name.fingerprint]
	if s == nil {
		return
	}
	held := s.held()
	delete(s.entries(name.kind), name.id)
	if held && !s.held() {
		q.options.Queue.Log(event.QuarantineLifted, "fingerprint", name.fingerprint.String(), "route", s.route)
	}
	if len(s.crashes) == 0 {
		delete(q.suspects, name.fingerprint)
	}
}

// Collect deletes the records of one expired request. One collecting node is enough.
func (q *Quarantine) Collect(now time.Time) {
	if q.writing || now.Before(q.collectAt) {
		return
	}
	q.collectAt = now.Add(collectInterval)
	clock := q.options.StoreClock(now)
	for _, fingerprint := range q.sortedFingerprints() {
		if s := q.suspects[fingerprint]; s.expired(clock) && s.recorded() {
			for _, name := range s.names(fingerprint) {
				q.deleteRecord(name)
			}
			delete(q.suspects, fingerprint)
			q.write(now)
			return
		}
	}
}
