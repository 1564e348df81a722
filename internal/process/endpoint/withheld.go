package endpoint

import "time"

// Withheld is the reason why an endpoint gets no new work. All sends to replicas check it through the
// NotDraining filter.
type Withheld string

// The reasons in order of precedence.
const (
	// NotWithheld endpoints accept new work.
	NotWithheld Withheld = ""
	// WithheldLeaving endpoints are draining according to their own record.
	WithheldLeaving Withheld = "leaving"
	// WithheldDrained endpoints are drained by an operator, individually or by zone.
	WithheldDrained Withheld = "drained"
	// WithheldEvacuated endpoints are in an evacuated zone.
	WithheldEvacuated Withheld = "evacuated"
)

// Withheld returns the reason why the endpoint gets no new work.
func (e *Endpoint) Withheld() Withheld {
	switch {
	case e.Draining:
		return WithheldLeaving
	case e.Held:
		return WithheldDrained
	case e.Evacuated:
		return WithheldEvacuated
	}
	return NotWithheld
}

// SetEvacuated updates whether the endpoint's zone is evacuated.
func (e *Endpoint) SetEvacuated(now time.Time, evacuated bool) {
	if evacuated == e.Evacuated {
		return
	}
	e.Evacuated = evacuated
	e.EvacuatedUntil = time.Time{}
	if !evacuated {
		e.EvacuatedUntil = now
	}
}
