package endpoint

import "time"

// coldMargin extends the assumed cold period of a replica that may have gone cold without reporting it.
// It covers one heartbeat interval and the propagation of the record.
const coldMargin = 2 * time.Second

// UpdateCold updates the cold state from the replica's record. A revision that was already applied is
// ignored.
func (e *Endpoint) UpdateCold(now time.Time) {
	if e.Revision <= e.coldRecordRevision {
		return
	}
	e.coldRecordRevision = e.Revision
	e.ColdUntil = time.Time{}
	if e.ColdFor > 0 {
		// The record was written before it was read, so this never ends too early.
		e.ColdUntil = now.Add(e.ColdFor)
		e.coldReportedAt = now
	}
}

// Cold reports whether the endpoint is or may be cold, given how long replicas of its service stay
// cold.
func (e *Endpoint) Cold(now time.Time, lasts time.Duration) bool {
	return now.Before(e.WarmAt(lasts))
}

// WarmAt returns when the endpoint becomes warm; for a warm endpoint the time is in the past. After its
// zone's evacuation an endpoint is assumed to be cold until a newer record says otherwise.
func (e *Endpoint) WarmAt(lasts time.Duration) time.Time {
	if e.EvacuatedUntil.IsZero() || e.coldReportedAt.After(e.EvacuatedUntil) {
		return e.ColdUntil
	}
	if presumed := e.EvacuatedUntil.Add(lasts + coldMargin); presumed.After(e.ColdUntil) {
		return presumed
	}
	return e.ColdUntil
}

// MatchesColdState is a filter that keeps warm endpoints, or only cold ones if OnlyCold is set. Without
// a cold period every endpoint is warm.
func MatchesColdState(q *Query, e *Endpoint) bool {
	if q.ColdPeriod == 0 {
		return !q.OnlyCold
	}
	return e.Cold(q.Now, q.ColdPeriod) == q.OnlyCold
}

// Permitted drops endpoints that the node may not send to at present.
func Permitted(q *Query, e *Endpoint) bool { return q.Permit == nil || q.Permit(e) }
