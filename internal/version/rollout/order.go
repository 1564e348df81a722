package rollout

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// requestReport requests a replica's status report.
func (r *Rollout) requestReport(e *endpoint.Endpoint, state *replicaState) {
	state.requestPending = true
	r.options.Queue.Add(task.FetchReport{Replica: e.ID, Address: e.Address, Done: func(now time.Time, report port.ReplicaReport) {
		state.requestPending = false
		if report.OK && fromOtherIncarnation(report, e) {
			// The record of the other incarnation has not arrived yet.
			r.options.Queue.Log(event.ReportOfOtherIncarnation, "replica", e.ID, "listed_start_ms", e.StartedAt.UnixMilli(), "told_start_ms", report.StartedAt.UnixMilli())
			report.OK = false
		}
		if !report.OK {
			state.notBefore = now.Add(retryDelay)
			return
		}
		state.report = report
		state.reportAt = now
		for model, version := range report.Versions {
			e.UpdateVersion(model, version)
		}
		state.notBefore = now
		if state.orderPending {
			state.notBefore = now.Add(reportInterval)
			r.expireUnacknowledged(now, state, report)
			if report.Loading {
				state.lastLoadingAt = now
				e.SetLoading(state.model, now.Add(2*reportInterval))
			}
		}
		r.Tick(now)
	}})
}

// fromOtherIncarnation reports whether a report comes from another incarnation than the endpoint's.
// A report without a start time matches any incarnation, because some replicas only state it in
// their record.
func fromOtherIncarnation(report port.ReplicaReport, e *endpoint.Endpoint) bool {
	return !report.StartedAt.IsZero() && !report.StartedAt.Equal(e.StartedAt)
}

// expireUnacknowledged drops a pending order if it was not acknowledged in time and the report
// shows no sign of it. Reports lag, so a single one is not conclusive before acknowledgeTimeout.
func (r *Rollout) expireUnacknowledged(now time.Time, state *replicaState, report port.ReplicaReport) {
	received := report.Loading || report.Sequence > state.sequence
	if !state.acknowledged && !received && now.Sub(state.orderedAt) >= acknowledgeTimeout {
		state.orderPending = false
	}
}

// orderLoad sends a load order if the replica's report is recent enough, and requests a report
// otherwise.
func (r *Rollout) orderLoad(now time.Time, load pendingLoad, state *replicaState) {
	if state.requestPending {
		return
	}
	if now.Sub(state.reportAt) > reportMaxAge || !state.reportAt.After(state.orderedAt) {
		r.requestReport(load.endpoint, state)
		return
	}
	if state.report.Loading {
		state.notBefore = now.Add(reportInterval)
		state.reportAt = time.Time{}
		return
	}
	if state.unanswered.blocks(now, load.model, load.version, state.report.Sequence) || r.blockedByPreviousHolder(now, state) {
		state.notBefore = now.Add(retryDelay)
		return
	}
	if !r.options.Lease.TryAct(now, load.endpoint.ID) {
		return
	}
	if state.report.Sequence == 0 && now.Sub(state.lastProbeAt) > reportMaxAge {
		r.sendProbe(now, load, state)
		return
	}
	r.sendOrder(now, load, state)
}

// sendProbe sends a no-op order before a replica's first load order. A delayed first order is the
// only one that the replica's next incarnation would accept, so it is not sent to a replica that
// does not answer orders.
func (r *Rollout) sendProbe(now time.Time, load pendingLoad, state *replicaState) {
	state.requestPending = true
	fence := r.options.Lease.Fence()
	r.options.Queue.Add(task.OrderVersion{
		Limit: r.options.Lease.Remaining(now),
		Order: r.newOrder(load, fence, port.ProbeSequence),
		Done: func(now time.Time, status port.VersionOrderStatus) {
			state.requestPending = false
			r.options.Queue.Log(event.OrderProbed, "replica", load.endpoint.ID, "fence", fence, "status", int(status))
			switch status {
			case port.VersionOrderAccepted, port.VersionOrderAlreadyLoaded, port.VersionOrderConflict:
				state.lastProbeAt = now
				r.Tick(now)
			case port.VersionOrderFenced:
				r.options.Lease.OnFenced(fence)
				state.notBefore = now.Add(retryDelay)
			case port.VersionOrderUnknown, port.VersionOrderRefused:
				state.notBefore = now.Add(retryDelay)
			}
		},
	})
}

func (r *Rollout) newOrder(load pendingLoad, fence, sequence int64) port.VersionOrder {
	return port.VersionOrder{
		Replica: load.endpoint.ID, Address: load.endpoint.Address, Model: load.model, Version: load.version,
		Holder: r.options.Self, Fence: fence, ExpectedSequence: sequence,
	}
}

func (r *Rollout) sendOrder(now time.Time, load pendingLoad, state *replicaState) {
	state.orderPending = true
	state.acknowledged = false
	state.model = load.model
	state.version = load.version
	state.sequence = state.report.Sequence
	state.orderedAt, state.lastLoadingAt, state.maxConcurrent = now, time.Time{}, 0
	state.notBefore = now.Add(initialReportDelay)
	load.endpoint.SetLoading(load.model, now.Add(initialReportDelay))
	fence, sequence := r.options.Lease.Fence(), state.sequence
	state.unanswered.add(now, load.model, load.version, sequence)
	r.options.Queue.Add(task.OrderVersion{
		Limit: r.options.Lease.Remaining(now),
		Order: r.newOrder(load, fence, sequence),
		Done: func(now time.Time, status port.VersionOrderStatus) {
			r.onOrderResult(now, load, state, fence, sequence, status)
		},
	})
}

func (r *Rollout) onOrderResult(now time.Time, load pendingLoad, state *replicaState, fence, sequence int64, status port.VersionOrderStatus) {
	r.options.Queue.Log(event.VersionOrdered, "replica", load.endpoint.ID, "model", load.model, "version", load.version,
		"fence", fence, "sequence", sequence, "status", int(status))
	if status != port.VersionOrderUnknown {
		state.unanswered.remove(sequence)
	}
	switch status {
	case port.VersionOrderAccepted:
		state.acknowledged = true
	case port.VersionOrderAlreadyLoaded:
		load.endpoint.UpdateVersion(load.model, load.version)
	case port.VersionOrderUnknown:
		state.notBefore = now.Add(reportInterval)
	case port.VersionOrderConflict, port.VersionOrderFenced, port.VersionOrderRefused:
		if status == port.VersionOrderFenced {
			r.options.Lease.OnFenced(fence)
		}
		state.orderPending = false
		state.notBefore = now.Add(retryDelay)
		load.endpoint.SetLoading(load.model, time.Time{})
	}
}
