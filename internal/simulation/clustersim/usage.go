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
	// requestEvery is the mean time between two requests of tenants, tenantCount how many
	// tenants there are.
	requestEvery = 60 * time.Millisecond
	tenantCount  = 4
	// wallSpread is by how much nodes' wall clocks differ from the true time at the most,
	// wallStep how far they jump.
	wallSpread = 40 * time.Millisecond
	wallStep   = 2 * time.Second
	// edgeSlack is how far from a window's edge a request may count for either window.
	edgeSlack = 100 * time.Millisecond
	// calmBefore is how long before a window the deployment must have been calm for its report
	// to be exact.
	calmBefore = 3 * time.Second
)

// usageWindows are the windows of the simulated platform.
var usageWindows = usage.Windows{Length: 5 * time.Second, ReportDelay: 10 * time.Second}

// tenantRequest is a request that began to run.
type tenantRequest struct {
	at     time.Time
	tenant string
}

// dutyCall is a call to the platform that one node at a time makes.
type dutyCall struct {
	holder string
	at     time.Time
}

// dutyPlatform is the platform's service for calls that one node at a time makes, with what it
// saw.
type dutyPlatform struct {
	world *World
	// begun are all requests that nodes counted.
	begun []tenantRequest
	// accepted are the reports taken, at the times at which that was.
	accepted   map[int64]map[string]int64
	acceptedAt map[int64]time.Time
	fence      int64
	calls      []dutyCall
	// losing counts the faults by which answers are lost and calls carried out late.
	losing int
	// troubles are the spans in which a fault was on.
	troubles []span
	// exact counts the windows that had to be exact.
	exact int
}

func newDutyPlatform(w *World) *dutyPlatform {
	return &dutyPlatform{world: w, accepted: map[int64]map[string]int64{}, acceptedAt: map[int64]time.Time{}}
}

func simulatedDuties() cluster.Duties { return cluster.Duties{Usage: &usageWindows, Fenced: true} }

func tenantName(number int) string { return fmt.Sprintf("tenant-%d", number) }

// begin lets tenants' requests run at the nodes.
func (p *dutyPlatform) begin() {
	w := p.world
	w.Every(requestEvery, func() bool {
		n := w.anyNode()
		if !n.up || w.Now.Before(n.frozenUntil) {
			return true
		}
		one := tenantRequest{w.Now, tenantName(w.random.IntN(tenantCount))}
		p.begun = append(p.begun, one)
		n.do(n.life, func(now time.Time) { n.node.CountRequest(now, now, one.tenant) })
		return true
	})
}

// report takes a call of a node; the answer may be lost, and the call be carried out late.
func (p *dutyPlatform) report(n *node, t task.ReportUsage, answer func(status port.DutyStatus)) {
	w := p.world
	longer, lost := w.link.way(n.zone, storeZone)
	if n.cut > 0 || lost {
		w.After(t.Limit, func() { answer(port.DutyUnknown) })
		return
	}
	if p.losing > 0 && w.random.IntN(2) == 0 {
		w.After(time.Duration(w.random.Int64N(int64(5*time.Second))), func() { p.take(n, t.Report) })
		w.After(t.Limit, func() { answer(port.DutyUnknown) })
		return
	}
	w.After(callLatency+longer, func() {
		status := p.take(n, t.Report)
		w.After(callLatency+longer, func() { answer(status) })
	})
}

// take takes a report, unless a newer holder has called.
func (p *dutyPlatform) take(n *node, report port.UsageReport) port.DutyStatus {
	w := p.world
	if report.Fence < p.fence {
		return port.DutyFenced
	}
	if report.Fence == p.fence && len(p.calls) > 0 && p.calls[len(p.calls)-1].holder != n.name {
		w.check.violate(w, "one-reporter", "fence %d is used by %s and %s", report.Fence, p.calls[len(p.calls)-1].holder, n.name)
	}
	p.fence = report.Fence
	p.turns(n)
	if held, taken := p.accepted[report.Window]; taken && !maps.Equal(held, report.Requests) {
		w.check.violate(w, "one-report", "window %d was reported as %v and as %v", report.Window, held, report.Requests)
		return port.DutyDone
	}
	if _, taken := p.accepted[report.Window]; !taken {
		p.accepted[report.Window], p.acceptedAt[report.Window] = maps.Clone(report.Requests), w.Now
	}
	return port.DutyDone
}

// turns checks that two holders don't take turns within the pause.
func (p *dutyPlatform) turns(n *node) {
	w := p.world
	p.calls = append(p.calls, dutyCall{holder: n.name, at: w.Now})
	between := false
	for i := len(p.calls) - 2; i >= 0 && w.Now.Sub(p.calls[i].at) < orderPause; i-- {
		if p.calls[i].holder != n.name {
			between = true
		} else if between && n.healthy(w.Now) {
			w.check.violate(w, "one-reporter", "%s reported again %s after it, and another between", n.name, w.Now.Sub(p.calls[i].at))
			return
		}
	}
}

// watchTrouble notes the spans in which the deployment is troubled by any fault.
func (p *dutyPlatform) watchTrouble() {
	w := p.world
	w.Every(tickEvery, func() bool {
		if p.calm() {
			return true
		}
		last := len(p.troubles) - 1
		if last < 0 || w.Now.Sub(p.troubles[last].to) > 2*tickEvery {
			p.troubles = append(p.troubles, span{w.Now, w.Now})
			return true
		}
		p.troubles[last].to = w.Now
		return true
	})
}

func (p *dutyPlatform) calm() bool {
	w := p.world
	calm := w.store.stable(w.Now) && p.losing == 0
	for _, one := range w.nodes {
		calm = calm && one.up && !one.stopping && one.cut == 0 && !w.Now.Before(one.frozenUntil) && !w.link.troubled(one.zone)
	}
	return calm
}

// checkWindows checks that windows in calm times were reported in time, with every request.
func (p *dutyPlatform) checkWindows(until time.Time) {
	for number := epoch.Unix() / int64(usageWindows.Length.Seconds()); ; number++ {
		from := time.Unix(0, number*int64(usageWindows.Length))
		to := from.Add(usageWindows.Length)
		if to.Add(usageWindows.ReportDelay).After(until) {
			return
		}
		if from.Sub(epoch) < warmUp || p.troubledBetween(from.Add(-calmBefore-usageWindows.ReportDelay), to.Add(usageWindows.ReportDelay)) {
			continue
		}
		p.exact++
		p.checkWindow(number, from, to)
	}
}

func (p *dutyPlatform) checkWindow(number int64, from, to time.Time) {
	w := p.world
	report, taken := p.accepted[number]
	if !taken || p.acceptedAt[number].After(to.Add(usageWindows.ReportDelay)) {
		w.check.violate(w, "usage-exact", "window %d was not reported in time (reported %t)", number, taken)
		return
	}
	for tenant := range tenantCount {
		name := tenantName(tenant)
		least, most := int64(0), int64(0)
		for _, one := range p.begun {
			if one.tenant != name {
				continue
			}
			if one.at.After(from.Add(edgeSlack)) && one.at.Before(to.Add(-edgeSlack)) {
				least++
			}
			if one.at.After(from.Add(-edgeSlack)) && one.at.Before(to.Add(edgeSlack)) {
				most++
			}
		}
		if got := report[name]; got < least || got > most {
			w.check.violate(w, "usage-exact", "window %d has %d requests of %s, should be %d to %d", number, got, name, least, most)
		}
	}
}

// troubledBetween reports whether a fault was on in a span.
func (p *dutyPlatform) troubledBetween(from, to time.Time) bool {
	for _, span := range p.troubles {
		if span.from.Before(to) && span.to.After(from) {
			return true
		}
	}
	return false
}

// span is a stretch of time.
type span struct{ from, to time.Time }
