package endpoint

import "time"

// Withheld says why an endpoint gets no new work. All paths on which something is sent to a
// replica go by it, through the filter NotDraining.
type Withheld string

// Reasons for which an endpoint gets no new work, the lasting one first.
const (
	// NotWithheld endpoints get work.
	NotWithheld Withheld = ""
	// WithheldLeaving endpoints drain by their own word.
	WithheldLeaving Withheld = "leaving"
	// WithheldDrained endpoints are drained by operators, or their zone is.
	WithheldDrained Withheld = "drained"
	// WithheldEvacuated endpoints lie in an evacuated zone.
	WithheldEvacuated Withheld = "evacuated"
)

// Withheld returns why the endpoint gets no new work.
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

// SetEvacuated notes whether the endpoint's zone is evacuated, as this node sees it now.
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
