package rollout

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// ask asks a replica for its state.
func (r *Rollout) ask(one *endpoint.Endpoint, state *replicaState) {
	state.asking = true
	r.options.Queue.Add(task.FetchReport{Replica: one.ID, Address: one.Address, Done: func(now time.Time, report port.ReplicaReport) {
		state.asking = false
		if report.OK && ofAnotherLife(report, one) {
			// It is no ground for an order: the other life's record is on the way.
			r.options.Queue.Log(event.ReportOfOtherIncarnation, "replica", one.ID, "listed_start_ms", one.StartedAt.UnixMilli(), "told_start_ms", report.StartedAt.UnixMilli())
			report.OK = false
		}
		if !report.OK {
			state.notAt = now.Add(failPause)
			return
		}
		state.report = report
		state.reportAt = now
		for model, version := range report.Versions {
			one.UpdateVersion(model, version)
		}
		state.notAt = now
		if state.ordered {
			state.notAt = now.Add(lookEvery)
			r.judge(now, state, report)
			if report.Loading {
				state.loadingAt = now
				one.SetLoading(state.model, now.Add(2*lookEvery))
			}
		}
		r.Tick(now)
	}})
}

// ofAnotherLife reports whether a report is another incarnation's than the endpoint. Replicas may tell
// their start in their records alone: while such reports counted as another's, no version was loaded.
func ofAnotherLife(report port.ReplicaReport, e *endpoint.Endpoint) bool {
	return !report.StartedAt.IsZero() && !report.StartedAt.Equal(e.StartedAt)
}

// judge takes a report on an order under way. Reports lag, so an order without an
// answer is held for lost only after a while.
func (r *Rollout) judge(now time.Time, state *replicaState, report port.ReplicaReport) {
	taken := report.Loading || report.Sequence > state.sequence
	if !state.answered && !taken && now.Sub(state.orderedAt) >= doubtFor {
		state.ordered = false
	}
}

// order sends an order, on the ground of a fresh report.
func (r *Rollout) order(now time.Time, one wanted, state *replicaState) {
	if state.asking {
		return
	}
	if now.Sub(state.reportAt) > reportLife || !state.reportAt.After(state.orderedAt) {
		r.ask(one.endpoint, state)
		return
	}
	if state.report.Loading {
		state.notAt = now.Add(lookEvery)
		state.reportAt = time.Time{}
		return
	}
	if state.unanswered.blocks(now, one.model, one.version, state.report.Sequence) || r.blockedByFormer(now, state) {
		state.notAt = now.Add(failPause)
		return
	}
	if !r.options.Lease.Act(now, one.endpoint.ID) {
		return
	}
	if state.report.Sequence == 0 && now.Sub(state.probedAt) > reportLife {
		r.probe(now, one, state)
		return
	}
	r.send(now, one, state)
}

// probe sends an order that changes nothing ahead of a replica's first one. Of all orders the first alone may be
// carried out at the beginning of another life, so it isn't sent while the replica leaves orders unanswered.
func (r *Rollout) probe(now time.Time, one wanted, state *replicaState) {
	state.asking = true
	fence := r.options.Lease.Fence()
	r.options.Queue.Add(task.OrderVersion{
		Limit: r.options.Lease.Left(now),
		Order: r.message(one, fence, port.ProbeSequence),
		Done: func(now time.Time, status port.VersionOrderStatus) {
			state.asking = false
			r.options.Queue.Log(event.OrderProbed, "replica", one.endpoint.ID, "fence", fence, "status", int(status))
			switch status {
			case port.VersionOrderAccepted, port.VersionOrderHeld, port.VersionOrderConflict:
				state.probedAt = now
				r.Tick(now)
			case port.VersionOrderFenced:
				r.options.Lease.Fenced(fence)
				state.notAt = now.Add(failPause)
			case port.VersionOrderUnknown, port.VersionOrderRefused:
				state.notAt = now.Add(failPause)
			}
		},
	})
}

func (r *Rollout) message(one wanted, fence, sequence int64) port.OrderVersion {
	return port.OrderVersion{
		Replica: one.endpoint.ID, Address: one.endpoint.Address, Model: one.model, Version: one.version,
		Holder: r.options.Self, Fence: fence, ExpectedSequence: sequence,
	}
}

func (r *Rollout) send(now time.Time, one wanted, state *replicaState) {
	state.ordered = true
	state.answered = false
	state.model = one.model
	state.version = one.version
	state.sequence = state.report.Sequence
	state.orderedAt, state.loadingAt, state.beside = now, time.Time{}, 0
	state.notAt = now.Add(firstLook)
	one.endpoint.SetLoading(one.model, now.Add(firstLook))
	fence, sequence := r.options.Lease.Fence(), state.sequence
	state.unanswered.add(now, one.model, one.version, sequence)
	r.options.Queue.Add(task.OrderVersion{
		Limit: r.options.Lease.Left(now),
		Order: r.message(one, fence, sequence),
		Done: func(now time.Time, status port.VersionOrderStatus) {
			r.onOrder(now, one, state, fence, sequence, status)
		},
	})
}

func (r *Rollout) onOrder(now time.Time, one wanted, state *replicaState, fence, sequence int64, status port.VersionOrderStatus) {
	r.options.Queue.Log(event.VersionOrdered, "replica", one.endpoint.ID, "model", one.model, "version", one.version,
		"fence", fence, "sequence", sequence, "status", int(status))
	if status != port.VersionOrderUnknown {
		state.unanswered.answered(sequence)
	}
	switch status {
	case port.VersionOrderAccepted:
		state.answered = true
	case port.VersionOrderHeld:
		one.endpoint.UpdateVersion(one.model, one.version)
	case port.VersionOrderUnknown:
		state.notAt = now.Add(lookEvery)
	case port.VersionOrderConflict, port.VersionOrderFenced, port.VersionOrderRefused:
		if status == port.VersionOrderFenced {
			r.options.Lease.Fenced(fence)
		}
		state.ordered = false
		state.notAt = now.Add(failPause)
		one.endpoint.SetLoading(one.model, time.Time{})
	}
}
