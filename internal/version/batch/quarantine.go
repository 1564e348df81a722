package batch

import (
	"net/http"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/quarantine"
)

// trial is the state of a held request's trial at its item.
type trial struct{ claiming, granted bool }

// permitted reports whether a request of this job may be sent to a replica. One that crashes those
// that run it waits until it is tried again or its item may be given up: the job's bounds allow no
// earlier end.
func (o *ownedJob) permitted(now time.Time, request quarantine.Request, t *trial) bool {
	if t.granted {
		return true
	}
	switch o.jobs.options.Quarantine.Check(now, request.Fingerprint).State {
	case quarantine.Allowed:
		return true
	case quarantine.OnTrial:
		o.claimTrial(now, request, t)
	case quarantine.Held:
	}
	return false
}

// claimTrial claims the next trial of a held request.
func (o *ownedJob) claimTrial(now time.Time, request quarantine.Request, t *trial) {
	if t.claiming {
		return
	}
	t.claiming = true
	o.jobs.options.Quarantine.ClaimTrial(now, request.Fingerprint, func(_ time.Time, granted bool) {
		*t = trial{granted: granted}
	})
}

// runsApart reports whether an item shares no replica with others of which the same is true: one more
// crash has it held. Items run for seconds beside many others, so that in a small fleet those of a job
// follow a poison one from replica to replica. Apart from one another, only the poison one meets a third
// crash. Items that are not suspected so far run as usual: of 451 requests that were at replicas that
// ended on three days with ten mass crashes each, 4 met a second crash.
func (o *ownedJob) runsApart(one *item) bool {
	return o.jobs.options.Quarantine.Crashes(one.request.Fingerprint) >= quarantine.CrashLimit-1
}

// apartFrom returns the endpoints that an item must not go to for the sake of others that run apart.
func (o *ownedJob) apartFrom(one *item) map[string]bool {
	if !o.runsApart(one) {
		return nil
	}
	taken := make(map[string]bool, len(o.jobs.apart))
	for id := range o.jobs.apart {
		taken[id] = true
	}
	return taken
}

// enterApart notes that an item runs apart at an endpoint, if it does, until leave is called.
func (o *ownedJob) enterApart(one *item, endpoint string) (leave func()) {
	if !o.runsApart(one) {
		return func() {}
	}
	apart := o.jobs.apart
	apart[endpoint]++
	return func() {
		if apart[endpoint]--; apart[endpoint] == 0 {
			delete(apart, endpoint)
		}
	}
}

// noteCrash notes a replica that ended while it had a request of this job.
func (o *ownedJob) noteCrash(now time.Time, request quarantine.Request, chosen *endpoint.Endpoint, crashed bool) {
	if crashed {
		o.jobs.options.Quarantine.RecordCrash(now, request, chosen.Incarnation())
	}
}

// itemRequest returns what the runs of an item ask for.
func (o *ownedJob) itemRequest(content *doorstepv1.BatchItem) quarantine.Request {
	return o.requestOf(quarantine.Call{Host: o.job.Host, Target: content.Path, Body: content.Body})
}

// scoringRequestOf returns what the scoring calls of an item ask for.
func (o *ownedJob) scoringRequestOf(index int) quarantine.Request {
	call := o.job.Items[index].Scoring
	return o.requestOf(quarantine.Call{Host: call.Host, Target: call.Path, Body: o.scoringBody(index)})
}

func (o *ownedJob) requestOf(call quarantine.Call) quarantine.Request {
	call.Method, call.Tenant = http.MethodPost, o.job.Tenant
	return quarantine.Request{Fingerprint: call.Fingerprint(), Route: o.job.Route, Tenant: o.job.Tenant, Owned: true}
}
