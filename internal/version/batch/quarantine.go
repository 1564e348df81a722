package batch

import (
	"net/http"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/quarantine"
)

// trial is the state of an item's trial of a quarantined request.
type trial struct{ claiming, granted bool }

// permitted reports whether a request may be sent to a replica. A quarantined request waits
// until it is granted a trial or its item expires.
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

// claimTrial claims the next trial of a quarantined request.
func (o *ownedJob) claimTrial(now time.Time, request quarantine.Request, t *trial) {
	if t.claiming {
		return
	}
	t.claiming = true
	o.jobs.options.Quarantine.ClaimTrial(now, request.Fingerprint, func(_ time.Time, granted bool) {
		*t = trial{granted: granted}
	})
}

// runsIsolated reports whether an item must not share a replica with other such items because
// one more crash would quarantine it. Isolation ensures that in a small fleet only the item
// that causes the crashes reaches the limit, and not those that ran beside it.
func (o *ownedJob) runsIsolated(it *item) bool {
	return o.jobs.options.Quarantine.Crashes(it.request.Fingerprint) >= quarantine.CrashLimit-1
}

// isolationExcludes returns the endpoints that an isolated item must not use because another
// isolated item runs there.
func (o *ownedJob) isolationExcludes(it *item) map[string]bool {
	if !o.runsIsolated(it) {
		return nil
	}
	taken := make(map[string]bool, len(o.jobs.isolatedRuns))
	for id := range o.jobs.isolatedRuns {
		taken[id] = true
	}
	return taken
}

// isolate registers an isolated item at an endpoint until release is called.
func (o *ownedJob) isolate(it *item, endpoint string) (release func()) {
	if !o.runsIsolated(it) {
		return func() {}
	}
	isolatedRuns := o.jobs.isolatedRuns
	isolatedRuns[endpoint]++
	return func() {
		if isolatedRuns[endpoint]--; isolatedRuns[endpoint] == 0 {
			delete(isolatedRuns, endpoint)
		}
	}
}

// recordCrash reports a replica that crashed while it was processing a request of this job.
func (o *ownedJob) recordCrash(now time.Time, request quarantine.Request, chosen *endpoint.Endpoint, crashed bool) {
	if crashed {
		o.jobs.options.Quarantine.RecordCrash(now, request, chosen.Incarnation())
	}
}

// itemRequest returns the quarantine identity of an item's runs.
func (o *ownedJob) itemRequest(content *doorstepv1.BatchItem) quarantine.Request {
	return o.requestOf(quarantine.Call{Host: o.job.Host, Target: content.Path, Body: content.Body})
}

// scoringRequestOf returns the quarantine identity of an item's scoring calls.
func (o *ownedJob) scoringRequestOf(index int) quarantine.Request {
	call := o.job.Items[index].Scoring
	return o.requestOf(quarantine.Call{Host: call.Host, Target: call.Path, Body: o.scoringBody(index)})
}

func (o *ownedJob) requestOf(call quarantine.Call) quarantine.Request {
	call.Method, call.Tenant = http.MethodPost, o.job.Tenant
	return quarantine.Request{Fingerprint: call.Fingerprint(), Route: o.job.Route, Tenant: o.job.Tenant, Owned: true}
}
