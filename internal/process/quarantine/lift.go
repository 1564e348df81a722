package quarantine

import "time"

// Lift sets the quarantines lifted by operators, each with the time by the record store's clock up to which
// crashes and trials are void. Void entries are removed, and ignored if they are read again or written late.
// Every node deletes the records, as any of them may be the only one that reaches the store.
func (q *Quarantine) Lift(now time.Time, lifts map[Fingerprint]time.Duration) {
	q.lifts = lifts
	for _, fingerprint := range q.sortedFingerprints() {
		s := q.suspects[fingerprint]
		for _, name := range s.names(fingerprint) {
			if one := s.entries(name.kind)[name.id]; q.isVoid(fingerprint, one.at) {
				q.deleteRecord(name)
				q.removeEntry(name)
			}
		}
	}
	q.write(now)
}

// isVoid reports whether operators voided a request's entry of a given time.
func (q *Quarantine) isVoid(fingerprint Fingerprint, at time.Duration) bool {
	until, lifted := q.lifts[fingerprint]
	return lifted && at <= until
}
