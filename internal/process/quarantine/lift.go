package quarantine

import "time"

// Lift takes the requests whose quarantine operators lifted, with the time up to which crashes and
// trials are void, by the record store's clock. What was noted up to then is dropped, and ignored
// when it is read again or written late. Every node has the records deleted, one write each: it is an
// operator's rare act, and any of them may be the only one that reaches the store.
func (q *Quarantine) Lift(now time.Time, lifts map[Fingerprint]time.Duration) {
	q.lifts = lifts
	for _, fingerprint := range q.sorted() {
		s := q.suspects[fingerprint]
		for _, name := range s.names(fingerprint) {
			if one := s.entries(name.kind)[name.which]; q.void(fingerprint, one.at) {
				q.remove(name)
				q.forget(name)
			}
		}
	}
	q.write(now)
}

// void reports whether what was noted of a request at a time is no evidence any more.
func (q *Quarantine) void(fingerprint Fingerprint, at time.Duration) bool {
	until, lifted := q.lifts[fingerprint]
	return lifted && at <= until
}
