package agent

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// reasonNoHome refuses what no replica may serve: none lies in the regions in which it must stay.
	reasonNoHome = "no replica in the regions that the request must stay in"
	// homesComeBack is told to its caller: it takes a change of the configuration or of the fleet.
	homesComeBack = time.Second
)

// Kinds of what is sent to replicas.
const (
	sentRequest = "request"
	sentItem    = "item"
	sentScoring = "scoring"
)

// refuseUnserved refuses a request that no replica may serve, as not run.
func (x *exchange) refuseUnserved(w http.ResponseWriter) {
	x.agent.refuse(w, x.id, http.StatusServiceUnavailable, homesComeBack, reasonNoHome, "route", x.route.Name, "tenant", x.caller.Tenant)
}

// noteSent counts what is sent to a replica in another region. It is called within the node's loop.
func (a *Agent) noteSent(kind, replica string) {
	if a.node.Elsewhere(replica) {
		a.metrics.elsewhere.WithLabelValues(kind).Inc()
	}
}

// spanRegions has the node learn from new connections how far other regions are, and leave time for
// replicas elsewhere, as the way to a whole region may be cut.
func (a *Agent) spanRegions() {
	if !a.settings.Topology().Several() {
		return
	}
	a.upstream.ReserveRetryTime = true
	a.upstream.OnConnect = func(address string, took time.Duration) {
		a.do(func(time.Time) { a.node.NoteConnection(address, took) })
	}
}

// registerDistances adds how far the zones of other regions are.
func (m *metrics) registerDistances(a *Agent) {
	topology := a.settings.Topology()
	for zone, region := range topology.Regions {
		if region == topology.Region {
			continue
		}
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "doorstep_zone_away_seconds",
			Help:        "How much longer the way to a zone of another region and back is than within the own one.",
			ConstLabels: prometheus.Labels{"zone": zone, "region": region}}, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.node.Away(zone).Seconds()
		}))
	}
}
