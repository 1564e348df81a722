package agent

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/cluster"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/request/relay"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// latencyBuckets are the histogram buckets for latencies, in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// runBuckets are the histogram buckets for item runs, in seconds.
var runBuckets = []float64{.01, .05, .1, .25, .5, 1, 2, 4, 8, 16, 32}

// metrics holds the process's Prometheus metrics.
type metrics struct {
	registry    *prometheus.Registry
	answers     *prometheus.HistogramVec
	refusals    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	runs        *prometheus.HistogramVec
	queueTimes  prometheus.Histogram
	scoring     *prometheus.HistogramVec
	jobs        *prometheus.CounterVec
	storeCalls  *prometheus.HistogramVec
	crossRegion *prometheus.CounterVec
}

func newMetrics(a *Agent) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "doorstep_request_seconds",
			Help: "Time to a replica's answer, by route and status.", Buckets: latencyBuckets}, []string{"route", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "doorstep_refusals_total",
			Help: "Answers of the node's own, by status and reason."}, []string{"status", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "doorstep_attempts_total",
			Help: "Tries at replicas, by outcome."}, []string{"outcome"}),
		runs: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "doorstep_item_run_seconds",
			Help: "Time that a run of an item of a batch job took, by outcome.", Buckets: runBuckets}, []string{"outcome"}),
		queueTimes: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "doorstep_item_queue_seconds",
			Help: "Time that an item of a batch job waited at its owner for a replica.", Buckets: runBuckets}),
		scoring: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "doorstep_scoring_call_seconds",
			Help: "Time that an attempt of an item's scoring call took, by outcome.", Buckets: latencyBuckets}, []string{"outcome"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "doorstep_batch_jobs_total",
			Help: "Batch jobs handed in, by outcome."}, []string{"outcome"}),
		storeCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "doorstep_store_call_seconds",
			Help: "Calls to the record store, by kind and outcome.", Buckets: latencyBuckets}, []string{"call", "outcome"}),
		crossRegion: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "doorstep_sent_to_other_regions_total",
			Help: "Requests, items and scoring calls sent to replicas in another region."}, []string{"kind"}),
	}
	m.registry.MustRegister(m.answers, m.refusals, m.attempts, m.runs, m.queueTimes, m.scoring, m.jobs, m.storeCalls, m.crossRegion)
	m.registerGauges(a)
	m.registerDistances(a)
	return m
}

func (m *metrics) registerGauges(a *Agent) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return value()
		}))
	}
	gauge("doorstep_configuration_version", "Version of the configuration in force, 0 before the first.", func() float64 {
		if a.node.Routes() == nil {
			return 0
		}
		return float64(a.node.Routes().Version())
	})
	gauge("doorstep_configuration_age_seconds", "Time since the store last confirmed the configuration, or told of a newer one.", func() float64 {
		return a.node.ConfigurationAge(a.clock.Now()).Seconds()
	})
	gauge("doorstep_discovery_age_seconds", "Time since the store last confirmed the list of replicas, or told of a change.", func() float64 {
		return a.node.DiscoveryAge(a.clock.Now()).Seconds()
	})
	gauge("doorstep_replicas", "Replicas listed.", func() float64 { return float64(a.node.Endpoints().Len()) })
	gauge("doorstep_zones_evacuated", "Zones whose replicas get nothing, as the platform takes them out of use.", func() float64 {
		return float64(len(a.node.EvacuatedZones()))
	})
	m.registerWithheld(a)
	m.registerOverdue(a)
	gauge("doorstep_ready", "1 while the node wants new connections.", func() float64 {
		if a.node.Ready(a.clock.Now()) {
			return 1
		}
		return 0
	})
	gauge("doorstep_order_lease_held", "1 while the node orders versions.", func() float64 {
		if a.node.Lease().Held(a.clock.Now()) {
			return 1
		}
		return 0
	})
	usage := func(name, help string, value func(figures cluster.UsageStats) int) {
		gauge(name, help, func() float64 { return float64(value(a.node.Usage())) })
	}
	usage("doorstep_usage_unwritten", "Requests counted for reports of use that are not on record yet.", func(f cluster.UsageStats) int { return f.Unwritten })
	usage("doorstep_usage_windows_reported", "Windows of use that the platform took from this node.", func(f cluster.UsageStats) int { return f.Reported })
	usage("doorstep_usage_windows_late", "Those of them that were overdue.", func(f cluster.UsageStats) int { return f.Late })
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "doorstep_replica_crashes_total",
		Help: "Replicas that ended while a request of this node ran there, once for each request."}, func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.node.Quarantine().Stats().Crashes + a.node.Jobs().Crashes())
	}))
	gauge("doorstep_requests_suspected", "Requests that were at a replica that ended and were not answered since.", func() float64 {
		return float64(a.node.Quarantine().Stats().Suspects)
	})
	gauge("doorstep_requests_quarantined", "Requests that are kept from replicas, as they crash those that run them.", func() float64 {
		return float64(a.node.Quarantine().Stats().Held)
	})
	m.registerCold(a, gauge)
	counts := func(name, help string, value func(counts batch.Counts) int) {
		gauge(name, help, func() float64 { return float64(value(a.node.Jobs().Counts())) })
	}
	counts("doorstep_batch_jobs_open", "Jobs known that are neither ended nor complete.", func(c batch.Counts) int { return c.Open })
	counts("doorstep_batch_jobs_owned", "Jobs whose items this node runs.", func(c batch.Counts) int { return c.Owned })
	counts("doorstep_batch_items_running", "Items under way.", func(c batch.Counts) int { return c.Running })
	counts("doorstep_batch_items_waiting", "Items that wait for a replica.", func(c batch.Counts) int { return c.Waiting })
	counts("doorstep_batch_items_scoring", "Items whose whole text waits for its score.", func(c batch.Counts) int { return c.Scoring })
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "doorstep_log_lines_dropped_total",
		Help: "Log lines left out, as the ring was full or the budget spent."}, func() float64 { return float64(a.log.omitted.Load()) }))
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "doorstep_replica_connections_total",
		Help: "Connections opened to replicas."}, func() float64 { return float64(a.upstream.Opened()) }))
}

// registerOverdue registers the number of items that have been waiting for a replica for too long, by reason.
func (m *metrics) registerOverdue(a *Agent) {
	for _, reason := range batch.WaitReasons {
		options := prometheus.GaugeOpts{
			Name: "doorstep_batch_items_overdue", Help: "Items that have been waiting for a replica for seconds, by the reason.",
			ConstLabels: prometheus.Labels{"reason": string(reason)},
		}
		m.registry.MustRegister(prometheus.NewGaugeFunc(options, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return float64(a.node.Jobs().OverdueItems(a.clock.Now())[reason])
		}))
	}
}

// registerWithheld registers the number of replicas that get no new work, by reason.
func (m *metrics) registerWithheld(a *Agent) {
	for _, reason := range []endpoint.UnschedulableReason{endpoint.UnschedulableLeaving, endpoint.UnschedulableDrained, endpoint.UnschedulableEvacuated} {
		options := prometheus.GaugeOpts{
			Name: "doorstep_replicas_withheld", Help: "Replicas that get no new work, by the reason.",
			ConstLabels: prometheus.Labels{"reason": string(reason)},
		}
		m.registry.MustRegister(prometheus.NewGaugeFunc(options, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return float64(a.node.WithheldReplicas()[reason])
		}))
	}
}

func (m *metrics) answer(route *port.Route, status int, took time.Duration) {
	m.answers.WithLabelValues(route.Name, strconv.Itoa(status)).Observe(took.Seconds())
}

func (m *metrics) refusal(status int, reason string) {
	if !slices.Contains(labelledReasons, reason) {
		reason = "other"
	}
	m.refusals.WithLabelValues(strconv.Itoa(status), reason).Inc()
}

// labelledReasons are the reasons used as metric labels. Others may contain client input and
// are reported as "other" to bound the number of labels.
var labelledReasons = []string{
	reasonNoConfiguration, reasonNoRoute, reasonHeaderTooLarge, reasonNoID, reasonBodyTooLarge, reasonIncompleteBody, reasonNoJob, reasonStoreTimeout,
	reasonStoreUnavailable, reasonIDInUse, reasonInvalidJob, reasonNoKey, reasonUnknownKey, reasonUnconfirmed, reasonQuarantined, reasonCold, reasonNoAllowedRegion, relay.ReasonDeadline, relay.ReasonNoAttempt, relay.ReasonEvacuated,
}

var attemptOutcomes = map[relay.Outcome]string{relay.Answered: "answered", relay.Errored: "errored", relay.NotRun: "not_run", relay.Broken: "broken", relay.Unreached: "unreached", relay.Refused: "refused"}

func (m *metrics) attempt(outcome relay.Outcome) {
	m.attempts.WithLabelValues(attemptOutcomes[outcome]).Inc()
}

func (m *metrics) scoringCall(outcome relay.Outcome, took time.Duration) {
	m.scoring.WithLabelValues(attemptOutcomes[outcome]).Observe(took.Seconds())
}

func (m *metrics) run(outcome task.RunOutcome, waited, took time.Duration) {
	names := map[task.RunOutcome]string{
		task.RunCompleted: "completed", task.RunInterrupted: "interrupted", task.RunFailed: "failed",
		task.RunImpossible: "impossible", task.RunRefused: "refused", task.RunUnreachable: "unreachable", task.RunTimedOut: "silent", task.RunSlow: "slow",
		task.RunTooLong: "too_long",
	}
	m.runs.WithLabelValues(names[outcome]).Observe(took.Seconds())
	m.queueTimes.Observe(waited.Seconds())
}

func (m *metrics) accepted(outcome batch.Outcome) {
	names := map[batch.Outcome]string{batch.Applied: "accepted", batch.NotApplied: "refused", batch.Indeterminate: "unsure", batch.NoReplica: "unserved", batch.Invalid: "invalid"}
	m.jobs.WithLabelValues(names[outcome]).Inc()
}

func (m *metrics) storeCall(kind string, status port.RecordStatus, took time.Duration) {
	names := map[port.RecordStatus]string{
		port.RecordUnknown: "unknown", port.RecordDone: "done", port.RecordConflict: "conflict",
		port.RecordRefused: "refused", port.RecordCompacted: "compacted", port.RecordAbsent: "absent",
	}
	m.storeCalls.WithLabelValues(kind, names[status]).Observe(took.Seconds())
}

// serveMetrics serves the metrics if an address is configured. The node runs without them
// if the address is unavailable.
func (a *Agent) serveMetrics(ctx context.Context) {
	if a.settings.Listen.Metrics == "" {
		return
	}
	listener, err := net.Listen("tcp", a.settings.Listen.Metrics)
	if err != nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(a.metrics.registry, promhttp.HandlerOpts{}))
	server := a.newServer(mux)
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// registerCold registers the metrics of cold replicas.
func (m *metrics) registerCold(a *Agent, gauge func(name, help string, value func() float64)) {
	gauge("doorstep_replicas_cold", "Replicas that are cold by their records.", func() float64 { return float64(a.node.Cold().Replicas) })
	counter := func(name, help string, value func(figures cluster.ColdStats) int) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return float64(value(a.node.Cold()))
		}))
	}
	counter("doorstep_cold_claims_granted_total", "Claims of requests to cold replicas that were granted.", func(f cluster.ColdStats) int { return f.Granted })
	counter("doorstep_cold_claims_denied_total", "Wishes for requests to cold replicas that were not granted.", func(f cluster.ColdStats) int { return f.Denied })
	counter("doorstep_cold_requests_total", "Requests sent to cold replicas.", func(f cluster.ColdStats) int { return f.Sent })
	counter("doorstep_replica_buckets_empty_total", "Times that a replica was passed over, as its token bucket was empty.", func(f cluster.ColdStats) int { return f.Throttled })
}
