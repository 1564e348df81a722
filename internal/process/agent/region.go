package agent

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// reasonNoAllowedRegion is reported when no replica is in the request's allowed regions.
	reasonNoAllowedRegion = "no replica in the regions that the request must stay in"
	// noRegionRetryAfter is its Retry-After value.
	noRegionRetryAfter = time.Second
)

// Labels of the work sent to replicas, by kind.
const (
	sentRequest = "request"
	sentItem    = "item"
	sentScoring = "scoring"
)

// refuseNoAllowedRegion responds to a request that no replica may serve.
func (x *exchange) refuseNoAllowedRegion(w http.ResponseWriter) {
	x.agent.refuse(w, x.id, http.StatusServiceUnavailable, noRegionRetryAfter, reasonNoAllowedRegion, "route", x.route.Name, "tenant", x.caller.Tenant)
}

// countCrossRegion counts work sent to a replica in another region. The caller must hold the lock.
func (a *Agent) countCrossRegion(kind, replica string) {
	if a.node.InOtherRegion(replica) {
		a.metrics.crossRegion.WithLabelValues(kind).Inc()
	}
}

// configureRegions measures the distance to other regions from connection times, and reserves time to
// connect to a second replica when a whole region is unreachable.
func (a *Agent) configureRegions() {
	if !a.settings.Topology().MultiRegion() {
		return
	}
	a.upstream.ReserveRetryTime = true
	a.upstream.OnConnect = func(address string, took time.Duration) {
		a.do(func(time.Time) { a.node.ObserveConnectTime(address, took) })
	}
}

// registerDistances registers the distance to each zone in another region.
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
			return a.node.ExtraLatency(zone).Seconds()
		}))
	}
}
