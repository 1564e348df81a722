package clustersim

import (
	"fmt"
	"maps"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/cluster"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/version/usage"
)

const (
	// requestInterval is the interval between two tenant requests, tenantCount the number of tenants.
	requestInterval = 60 * time.Millisecond
	tenantCount     = 4
	// maxWallClockOffset is the maximum initial offset of nodes' wall clocks, wallClockStep the size
	// of the jumps that a fault causes.
	maxWallClockOffset = 40 * time.Millisecond
	wallClockStep      = 2 * time.Second
	// windowEdgeTolerance is the distance from a window's edge within which a request may count for
	// either window.
	windowEdgeTolerance = 100 * time.Millisecond
	// calmPeriod, plus the report delay, is the time without faults required before a window for it to
	// be checked for exact counts.
	calmPeriod = 3 * time.Second
)

// usageWindows are the usage windows of the simulated platform.
var usageWindows = usage.Windows{Length: 5 * time.Second, ReportDelay: 10 * time.Second}

// tenantRequest is a request that started at a node.
type tenantRequest struct {
	startedAt time.Time
	tenant    string
}

// dutyCall is a call to the platform made by the lease holder.
type dutyCall struct {
	holder string
	at     time.Time
}

// dutyPlatform is the platform's service for calls made by one node at a time.
type dutyPlatform struct {
	world *World
	// requests are all requests counted by nodes.
	requests []tenantRequest
	// accepted holds the accepted reports by window, acceptedAt the times of acceptance.
	accepted   map[int64]map[string]int64
	acceptedAt map[int64]time.Time
	fence      int64
	calls      []dutyCall
	// losing counts the active faults that lose answers and delay calls.
	losing int
	// faultSpans are the time ranges in which a fault was active.
	faultSpans []span
	// checkedWindows counts the windows that were checked for exact counts.
	checkedWindows int
}

func newDutyPlatform(w *World) *dutyPlatform {
	return &dutyPlatform{world: w, accepted: map[int64]map[string]int64{}, acceptedAt: map[int64]time.Time{}}
}

func simulatedDuties() cluster.Duties { return cluster.Duties{Usage: &usageWindows, Fenced: true} }

func tenantName(number int) string { return fmt.Sprintf("tenant-%d", number) }

// start starts the tenants' requests.
func (p *dutyPlatform) start() {
	w := p.world
	w.Every(requestInterval, func() bool {
		n := w.randomNode()
		if !n.up || w.Now.Before(n.frozenUntil) {
			return true
		}
		request := tenantRequest{w.Now, tenantName(w.random.IntN(tenantCount))}
		p.requests = append(p.requests, request)
		n.invoke(n.incarnation, func(now time.Time) { n.node.CountRequest(now, now, request.tenant) })
		return true
	})
}

// report handles a node's report. While answers are being lost, the report may be accepted late.
func (p *dutyPlatform) report(n *node, t task.ReportUsage, answer func(status port.DutyStatus)) {
	w := p.world
	extraDelay, lost := w.link.delay(n.zone, storeZone)
	if n.storeCuts > 0 || lost {
		w.After(t.Limit, func() { answer(port.DutyUnknown) })
		return
	}
	if p.losing > 0 && w.random.IntN(2) == 0 {
		w.After(time.Duration(w.random.Int64N(int64(5*time.Second))), func() { p.accept(n, t.Report) })
		w.After(t.Limit, func() { answer(port.DutyUnknown) })
		return
	}
	w.After(callLatency+extraDelay, func() {
		status := p.accept(n, t.Report)
		w.After(callLatency+extraDelay, func() { answer(status) })
	})
}

// accept accepts a report unless it is fenced off by a newer holder.
func (p *dutyPlatform) accept(n *node, report port.UsageReport) port.DutyStatus {
	w := p.world
	if report.Fence < p.fence {
		return port.DutyFenced
	}
	if report.Fence == p.fence && len(p.calls) > 0 && p.calls[len(p.calls)-1].holder != n.name {
		w.check.reportViolation(w, "one-reporter", "fence %d is used by %s and %s", report.Fence, p.calls[len(p.calls)-1].holder, n.name)
	}
	p.fence = report.Fence
	p.checkHolderAlternation(n)
	if previous, found := p.accepted[report.Window]; found && !maps.Equal(previous, report.Requests) {
		w.check.reportViolation(w, "one-report", "window %d was reported as %v and as %v", report.Window, previous, report.Requests)
		return port.DutyDone
	}
	if _, found := p.accepted[report.Window]; !found {
		p.accepted[report.Window], p.acceptedAt[report.Window] = maps.Clone(report.Requests), w.Now
	}
	return port.DutyDone
}

// checkHolderAlternation checks that two holders do not alternate within orderPause.
func (p *dutyPlatform) checkHolderAlternation(n *node) {
	w := p.world
	p.calls = append(p.calls, dutyCall{holder: n.name, at: w.Now})
	between := false
	for i := len(p.calls) - 2; i >= 0 && w.Now.Sub(p.calls[i].at) < orderPause; i-- {
		if p.calls[i].holder != n.name {
			between = true
		} else if between && n.healthy(w.Now) {
			w.check.reportViolation(w, "one-reporter", "%s reported again after %s, with a report of another node in between", n.name, w.Now.Sub(p.calls[i].at))
			return
		}
	}
}

// recordFaultSpans records the time ranges in which a fault affects the deployment.
func (p *dutyPlatform) recordFaultSpans() {
	w := p.world
	w.Every(tickInterval, func() bool {
		if p.calm() {
			return true
		}
		last := len(p.faultSpans) - 1
		if last < 0 || w.Now.Sub(p.faultSpans[last].to) > 2*tickInterval {
			p.faultSpans = append(p.faultSpans, span{w.Now, w.Now})
			return true
		}
		p.faultSpans[last].to = w.Now
		return true
	})
}

func (p *dutyPlatform) calm() bool {
	w := p.world
	calm := w.store.stable(w.Now) && p.losing == 0
	for _, n := range w.nodes {
		calm = calm && n.up && !n.stopping && n.servedByStore() && !w.Now.Before(n.frozenUntil) && !w.link.degraded(n.zone)
	}
	return calm
}

// checkWindows checks that every window without faults was reported in time with exact counts.
func (p *dutyPlatform) checkWindows(until time.Time) {
	for number := epoch.Unix() / int64(usageWindows.Length.Seconds()); ; number++ {
		from := time.Unix(0, number*int64(usageWindows.Length))
		to := from.Add(usageWindows.Length)
		if to.Add(usageWindows.ReportDelay).After(until) {
			return
		}
		if from.Sub(epoch) < warmUp || p.faultBetween(from.Add(-calmPeriod-usageWindows.ReportDelay), to.Add(usageWindows.ReportDelay)) {
			continue
		}
		p.checkedWindows++
		p.checkWindow(number, from, to)
	}
}

func (p *dutyPlatform) checkWindow(number int64, from, to time.Time) {
	w := p.world
	report, accepted := p.accepted[number]
	if !accepted || p.acceptedAt[number].After(to.Add(usageWindows.ReportDelay)) {
		w.check.reportViolation(w, "usage-exact", "window %d was not reported in time (reported %t)", number, accepted)
		return
	}
	for tenant := range tenantCount {
		name := tenantName(tenant)
		minimum, maximum := int64(0), int64(0)
		for _, request := range p.requests {
			if request.tenant != name {
				continue
			}
			if request.startedAt.After(from.Add(windowEdgeTolerance)) && request.startedAt.Before(to.Add(-windowEdgeTolerance)) {
				minimum++
			}
			if request.startedAt.After(from.Add(-windowEdgeTolerance)) && request.startedAt.Before(to.Add(windowEdgeTolerance)) {
				maximum++
			}
		}
		if got := report[name]; got < minimum || got > maximum {
			w.check.reportViolation(w, "usage-exact", "window %d has %d requests of %s, want %d to %d", number, got, name, minimum, maximum)
		}
	}
}

// faultBetween reports whether a fault was active between two times.
func (p *dutyPlatform) faultBetween(from, to time.Time) bool {
	for _, span := range p.faultSpans {
		if span.from.Before(to) && span.to.After(from) {
			return true
		}
	}
	return false
}

// span is a time range.
type span struct{ from, to time.Time }
