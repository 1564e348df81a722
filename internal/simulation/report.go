package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/simulation/check"
	"github.com/doorstep/doorstep/internal/version/configuration"
)

// leastCompleted is the least part of callers that must be left with a completed
// answer, whatever the faults: a run that refuses everything has failed.
const leastCompleted = 0.5

// Report is the outcome of a run.
type Report struct {
	// Topology, Seed and Steps repeat what was run.
	Topology string `json:"topology"`
	Seed     uint64 `json:"seed"`
	Steps    int64  `json:"steps"`
	// Violations are the breaches found; Digest is the same for the same run.
	Violations []check.Violation `json:"violations"`
	Digest     string            `json:"digest"`
	// Samples, Staleness and Requests are counts and measures.
	Samples          SampleCounts `json:"samples"`
	TrainerIdleRatio float64      `json:"trainer_idle_ratio"`
	// IdleBound is the idle ratio of a clairvoyant schedule, see idleBound.
	IdleBound float64           `json:"idle_bound"`
	Staleness StalenessMeasures `json:"staleness"`
	Requests  RequestCounts     `json:"requests"`
	// FaultsInjected counts by kind.
	FaultsInjected map[string]int        `json:"faults_injected"`
	Configuration  ConfigurationMeasures `json:"configuration"`
	// Callers are latencies of completed and refused tries, in milliseconds.
	Callers LatencyMeasures `json:"callers"`
	// PrefixHitRatio is over all model engines.
	PrefixHitRatio float64 `json:"prefix_hit_ratio"`
	// Seconds is the virtual time that the run took.
	Seconds float64 `json:"seconds"`
}

// SampleCounts count the trainers' samples.
type SampleCounts struct {
	// Delivered counts samples taken, Lost those missing from taken steps, Doubled
	// those taken twice.
	Delivered int `json:"delivered"`
	Lost      int `json:"lost"`
	Doubled   int `json:"doubled"`
}

// StalenessMeasures are in versions behind the trainer.
type StalenessMeasures struct {
	// Mean, P99 and Max are over all delivered samples.
	Mean float64 `json:"mean"`
	P99  int64   `json:"p99"`
	Max  int64   `json:"max"`
}

// RequestCounts count tries by what callers were told.
type RequestCounts struct {
	// Completed, NotRun and Unknown are the outcomes.
	Completed int `json:"completed"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
}

// ConfigurationMeasures are about operators' commands.
type ConfigurationMeasures struct {
	// Accepted counts accepted commands; SlowestSeconds is the longest from asking
	// to acceptance.
	Accepted       int     `json:"accepted"`
	SlowestSeconds float64 `json:"slowest_seconds"`
}

// LatencyMeasures are in milliseconds.
type LatencyMeasures struct {
	// P50 and P99 are quantiles.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// report checks the run and measures it.
func (w *World) report() *Report {
	r := &Report{
		Topology: w.options.Topology.Name, Seed: w.options.Seed, Steps: w.options.Steps,
		FaultsInjected: w.injected, Seconds: w.elapsed().Seconds(),
	}
	at := w.elapsed()
	models := w.engineModels()
	runs := check.NewRuns(models)
	used := map[string]bool{}
	e := w.options.Topology.Experiment
	for _, one := range w.trainers {
		check.Batches(&w.violations, at, one.model, e.Samples, int64(e.Staleness), runs, used)
		if !one.model.Finished() {
			w.violations.Add(check.Progress, at, "trainer %s took %d of %d steps", one.model.Options().Name, len(one.model.Batches), w.options.Steps)
		}
	}
	check.Tries(&w.violations, at, w.callers.tries, runs)
	w.closeLeaves()
	check.Leaves(&w.violations, at, w.leaves, models)
	w.checkConfiguration(at)
	w.checkGoodput(at)
	w.measure(r)
	r.Violations = w.violations.List()
	if r.Violations == nil {
		r.Violations = []check.Violation{}
	}
	r.Digest = fmt.Sprintf("%016x", w.digest.Sum64())
	return r
}

// closeLeaves ends the spans of engines that are still leaving or drained.
func (w *World) closeLeaves() {
	w.operator.undrained()
	for _, engine := range w.engines {
		if from, leaving := engine.model.Leaving(); leaving {
			w.leaves = append(w.leaves, check.Leave{Replica: engine.machine.Name, From: from, To: w.Now, Bound: check.LeavingBound, Why: "leaving"})
		}
	}
}

func (w *World) checkConfiguration(at time.Duration) {
	rows := w.platform.table.Rows(configuration.HistoryPrefix)
	recorded := check.History(&w.violations, at, rows, w.operator.told)
	check.Linearizable(&w.violations, at, w.operator.told, recorded, epochStart)
}

func (w *World) checkGoodput(at time.Duration) {
	total := 0
	for _, count := range w.callers.finals {
		total += count
	}
	completed := w.callers.finals[port.Completed]
	if total > 0 && float64(completed) < leastCompleted*float64(total) {
		w.violations.Add(check.Progress, at, "%d of %d callers were left with an answer", completed, total)
	}
}

func (w *World) measure(r *Report) {
	var ages []int64
	e := w.options.Topology.Experiment
	service, _ := w.options.Topology.FindService(e.Service)
	for _, one := range w.trainers {
		r.IdleBound += idleBound(one.model, e.TrainTime, service.TokenTime, int64(e.Staleness)) / float64(len(w.trainers))
		r.TrainerIdleRatio += one.model.IdleRatio() / float64(len(w.trainers))
		for _, batch := range one.model.Batches {
			slots := map[uint32]int{}
			for _, sample := range batch.Samples {
				slots[sample.Slot]++
				oldest := batch.Version
				for _, segment := range sample.Segments {
					oldest = min(oldest, segment.Version)
				}
				ages = append(ages, batch.Version-oldest)
			}
			r.Samples.Delivered += len(batch.Samples)
			r.Samples.Lost += max(w.options.Topology.Experiment.Samples-len(slots), 0)
			r.Samples.Doubled += len(batch.Samples) - len(slots)
		}
	}
	slices.Sort(ages)
	if len(ages) > 0 {
		sum := int64(0)
		for _, age := range ages {
			sum += age
		}
		r.Staleness = StalenessMeasures{Mean: float64(sum) / float64(len(ages)), P99: ages[len(ages)*99/100], Max: ages[len(ages)-1]}
	}
	for _, try := range w.callers.tries {
		switch try.Outcome.Kind {
		case port.Completed:
			r.Requests.Completed++
		case port.NotRun:
			r.Requests.NotRun++
		case port.Unknown:
			r.Requests.Unknown++
		}
	}
	r.Configuration = ConfigurationMeasures{Accepted: len(w.acceptances), SlowestSeconds: w.operator.slowest.Seconds()}
	r.Callers = quantiles(w.callers.latency)
	hits, total := 0, 0
	for _, engine := range w.engines {
		if !engine.plain {
			hits += engine.model.Hits
			total += engine.model.Hits + engine.model.Misses
		}
	}
	r.PrefixHitRatio = float64(hits) / float64(max(total, 1))
}

func quantiles(latencies []time.Duration) LatencyMeasures {
	if len(latencies) == 0 {
		return LatencyMeasures{}
	}
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	at := func(q float64) float64 {
		return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
	}
	return LatencyMeasures{P50: at(0.5), P99: at(0.99)}
}
