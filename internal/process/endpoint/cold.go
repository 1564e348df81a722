package endpoint

import "time"

// presumeMargin is by how much a replica that may have turned cold unheard is presumed cold for longer
// than it lasts: one heartbeat, and the time until it is known.
const presumeMargin = 2 * time.Second

// LearnCold takes from the replica's record how long it is cold. A record that is merely read again
// is no news; a newer one counts whatever it says.
func (e *Endpoint) LearnCold(now time.Time) {
	if e.Revision <= e.coldRevision {
		return
	}
	e.coldRevision = e.Revision
	e.ColdUntil = time.Time{}
	if e.ColdFor > 0 {
		// It was written before it came, so this is not too early.
		e.ColdUntil = now.Add(e.ColdFor)
		e.coldHeardAt = now
	}
}

// Cold reports whether the endpoint is cold, or may be, where replicas are cold for so long.
func (e *Endpoint) Cold(now time.Time, lasts time.Duration) bool {
	return now.Before(e.WarmAt(lasts))
}

// WarmAt returns when the endpoint is not cold any more, a time gone by if it is warm. One whose zone
// was evacuated is presumed to be cold afterwards, unless a record tells how long.
func (e *Endpoint) WarmAt(lasts time.Duration) time.Time {
	if e.EvacuatedUntil.IsZero() || e.coldHeardAt.After(e.EvacuatedUntil) {
		return e.ColdUntil
	}
	if presumed := e.EvacuatedUntil.Add(lasts + presumeMargin); presumed.After(e.ColdUntil) {
		return presumed
	}
	return e.ColdUntil
}

// Warmth drops cold endpoints, or with OnlyCold the warm ones. Where replicas bear all at once after a
// start, none is cold.
func Warmth(q *Query, e *Endpoint) bool {
	if q.ColdLasts == 0 {
		return !q.OnlyCold
	}
	return e.Cold(q.Now, q.ColdLasts) == q.OnlyCold
}

// Permitted drops endpoints that the node may not send to at present.
func Permitted(q *Query, e *Endpoint) bool { return q.Permit == nil || q.Permit(e) }
