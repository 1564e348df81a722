package simulation

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/simulation/check"
	"github.com/doorstep/doorstep/internal/simulation/virtual"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/internal/standin/topology"
)

// The letter's size, whose proportions every scale run keeps.
const (
	fullNodes       = 390
	fullReplicas    = 600
	fullSamples     = 2048
	fullRequests    = 1000
	fullExperiments = 3
	// fullFailures and fullReplacements are machines a day.
	fullFailures     = 16
	fullReplacements = 320
)

const (
	scaleWarmUp = 30 * time.Second
	scaleWatch  = 50 * time.Millisecond
	// scaleCompression is how much faster machines fail and are replaced than in
	// real life.
	scaleCompression = 20
	// framingBytes is what a message costs beside its own bytes: the length prefix
	// and TCP/IP headers.
	framingBytes = 2 + 40
	// scaleWeightsRate is how many fetches a second the weight store serves.
	scaleWeightsRate = 200
	// scaleRequestPart is the part of the callers' rate that is simulated: it is
	// the data's load, which the control figures leave out.
	scaleRequestPart = 0.05
)

// ScaleOptions configure a scale run.
type ScaleOptions struct {
	// Nodes is the number of nodes, Seconds of virtual time after the warm-up.
	Nodes   int
	Seconds int
	Seed    uint64
	// TrainTime is how long trainers train a step: it paces new weights.
	TrainTime time.Duration
}

// ScaleRow is what an installation of one size costs.
type ScaleRow struct {
	// Nodes and Replicas are the size.
	Nodes    int `json:"nodes"`
	Replicas int `json:"replicas"`
	// BytesPerSecond is the control traffic that a node sends to other nodes,
	// protobuf with framing; BytesByRole splits it.
	BytesPerSecond float64            `json:"bytes_per_second"`
	BytesByRole    map[string]float64 `json:"bytes_by_role"`
	// DataBytesPerSecond is the finished rollouts that a node sends.
	DataBytesPerSecond float64 `json:"data_bytes_per_second"`
	// CoreShare is the part of a core that a node's decisions take, CoreShareMax
	// that of the busiest node. The I/O around them is not in it.
	CoreShare    float64 `json:"core_share"`
	CoreShareMax float64 `json:"core_share_max"`
	// HeapBytes is the heap that a node's state takes.
	HeapBytes float64 `json:"heap_bytes"`
	// TableOperationsPerSecond and ObjectOperationsPerSecond are of all nodes together.
	TableOperationsPerSecond  float64 `json:"table_operations_per_second"`
	ObjectOperationsPerSecond float64 `json:"object_operations_per_second"`
	// OutsideBytesPerSecond is what a node exchanges with engines for load reports
	// and with the platform for tables and the machine list: JSON and HTTP headers.
	OutsideBytesPerSecond float64 `json:"outside_bytes_per_second"`
	// EnginePollsPerSecond is how many load reports a node asks for.
	EnginePollsPerSecond float64 `json:"engine_polls_per_second"`
	// ConfigurationSecondsP50 and Max are from an operator's asking to the revision
	// being held by every node that runs.
	ConfigurationSecondsP50 float64 `json:"configuration_seconds_p50"`
	ConfigurationSecondsMax float64 `json:"configuration_seconds_max"`
	// WeightsSeconds is the longest from a version's upload to its being in force
	// on every replica of its policy; WeightsCount is over how many versions.
	WeightsSeconds float64 `json:"weights_seconds"`
	WeightsCount   int     `json:"weights_count"`
	// DetectionSeconds is the longest from a node's death to every node knowing.
	DetectionSeconds float64 `json:"detection_seconds"`
	// Failures counts nodes killed, Violations the breaches found.
	Failures   int               `json:"failures"`
	Violations []check.Violation `json:"violations"`
}

// scaleMeter measures a scale run.
type scaleMeter struct {
	counting   bool
	bytes      map[string]uint64
	polls      uint64
	outside    uint64
	listBytes  uint64
	startedOps int
	startedObj int
	watches    []*scaleWatchItem
	finished   map[string][]time.Duration
	failures   int
}

// scaleWatchItem is something whose completion is waited for.
type scaleWatchItem struct {
	kind  string
	since time.Time
	done  func() bool
}

// roleOf sorts messages into roles.
func roleOf(envelope *doorstepv1.Envelope) string {
	switch envelope.Body.(type) {
	case *doorstepv1.Envelope_Ping, *doorstepv1.Envelope_Ack, *doorstepv1.Envelope_PingRequest:
		return "membership"
	case *doorstepv1.Envelope_ConfigurationPush, *doorstepv1.Envelope_ConfigurationPull, *doorstepv1.Envelope_ConfigurationHeld:
		return "configuration"
	case *doorstepv1.Envelope_HeadAnnounced, *doorstepv1.Envelope_VersionPublished:
		return "weights"
	case *doorstepv1.Envelope_RolloutResult:
		return "data"
	case *doorstepv1.Envelope_QueryRequest, *doorstepv1.Envelope_QueryResponse:
		return "queries"
	}
	return "coordination"
}

func (m *scaleMeter) message(envelope *doorstepv1.Envelope) {
	if m.counting {
		m.bytes[roleOf(envelope)] += uint64(proto.Size(envelope)) + framingBytes
	}
}

// httpBytes is what an HTTP exchange costs beside its bodies: headers both ways, as
// the stand-ins' traffic shows, and TCP/IP headers.
const httpBytes = 320

// poll counts one load report.
func (m *scaleMeter) poll(report port.LoadReport) {
	if !m.counting {
		return
	}
	encoded, err := json.Marshal(report)
	if err != nil {
		panic("a report must encode: " + err.Error())
	}
	m.polls++
	m.outside += httpBytes + uint64(len(encoded))
}

// platform counts one call to the platform with so many bytes of bodies.
func (m *scaleMeter) platform(bodies int) {
	if m.counting {
		m.outside += httpBytes + uint64(bodies)
	}
}

func (m *scaleMeter) watch(kind string, since time.Time, done func() bool) {
	m.watches = append(m.watches, &scaleWatchItem{kind: kind, since: since, done: done})
}

func (m *scaleMeter) look(now time.Time) {
	m.watches = slices.DeleteFunc(m.watches, func(item *scaleWatchItem) bool {
		if !item.done() {
			return false
		}
		m.finished[item.kind] = append(m.finished[item.kind], now.Sub(item.since))
		return true
	})
}

// published watches a version until every replica that should run it does.
func (w *World) published(policy string, version int64) {
	if w.scale == nil || !w.scale.counting {
		return
	}
	w.scale.watch("weights", w.Now, func() bool {
		reached := 0
		for _, engine := range w.engines {
			loaded, at := engine.model.Loaded()
			if loaded != policy || engine.down || engine.model.ChangingPolicy() {
				continue
			}
			if at < version {
				return false
			}
			reached++
		}
		return reached > 0
	})
}

// scaleTopology has the letter's proportions at a number of nodes.
func scaleTopology(nodes int, trainTime time.Duration) *topology.Topology {
	part := float64(nodes) / fullNodes
	t := &topology.Topology{
		Name:             fmt.Sprintf("scale-%d", nodes),
		ZoneLatency:      500 * time.Microsecond,
		RegionLatency:    20 * time.Millisecond,
		ClientLatency:    3 * time.Millisecond,
		Zones:            []string{"north/a", "north/b", "north/c", "south/a", "south/b"},
		NodesPerZone:     int(math.Ceil(float64(nodes) / 5)),
		CallersPerSecond: fullRequests * part * scaleRequestPart,
		Services: []topology.Service{
			{Name: "model", Model: true, Replicas: int(fullReplicas * part), Capacity: 32, TokenTime: 25 * time.Millisecond},
		},
	}
	var experiments []topology.Experiment
	for i := range fullExperiments {
		experiments = append(experiments, topology.Experiment{
			Name: fmt.Sprintf("experiment%d", i), Policy: fmt.Sprintf("policy%d", i), Service: "model", Prompts: "prompts",
			Trainers: []string{fmt.Sprintf("trainer%d", i)}, Samples: int(math.Ceil(fullSamples * part)), Staleness: 2, IdleWeight: 50,
			MaxTokens: 512, TrainTime: trainTime,
		})
	}
	t.Experiment = experiments[0]
	t.MoreExperiments = experiments[1:]
	return t
}

// RunScale runs hollow nodes and replicas in the letter's proportions with the
// real control code, and measures.
func RunScale(options ScaleOptions) *ScaleRow {
	baseline := heapInUse()
	w := NewWorld(Options{Topology: scaleTopology(options.Nodes, options.TrainTime), Seed: options.Seed, Steps: math.MaxInt32})
	w.scale = &scaleMeter{bytes: map[string]uint64{}, finished: map[string][]time.Duration{}}
	w.platform.weights = model.NewWeights(scaleWeightsRate, scaleWeightsRate)
	w.operator.begin()
	w.callers.begin()
	w.Every(scaleWatch, func() bool {
		w.scale.look(w.Now)
		return true
	})
	w.runFor(scaleWarmUp)
	w.beginMeasuring(options)
	w.runFor(time.Duration(options.Seconds) * time.Second)
	return w.scaleRow(options, baseline)
}

func (w *World) runFor(span time.Duration) {
	until := w.Now.Add(span)
	for w.Now.Before(until) {
		if !w.Step() {
			return
		}
	}
}

func (w *World) beginMeasuring(options ScaleOptions) {
	m := w.scale
	m.counting = true
	m.startedOps = w.platform.table.Operations
	m.startedObj = w.platform.objects.Operations
	for _, one := range w.nodes {
		one.processor = 0
	}
	day := (24 * time.Hour).Seconds()
	part := float64(options.Nodes) / fullNodes
	span := float64(options.Seconds)
	encoded, err := json.Marshal(w.options.Topology.Machines())
	if err != nil {
		panic("a machine list must encode: " + err.Error())
	}
	m.listBytes = uint64(len(encoded))
	kills := int(math.Ceil(fullFailures * part * scaleCompression * span / day))
	stops := int(math.Ceil(fullReplacements * part * scaleCompression * span / day))
	for i := range kills {
		w.After(time.Duration(span*(float64(i)+0.3)/float64(kills)*0.7*float64(time.Second)), w.killAndWatch)
	}
	for i := range stops {
		w.After(time.Duration(span*(float64(i)+0.5)/float64(stops)*0.9*float64(time.Second)), func() { w.plannedStop(w.anyNode(), 2*time.Second) })
	}
}

// killAndWatch kills a node for good and waits until every node that runs knows.
func (w *World) killAndWatch() {
	victim := w.anyNode()
	if !victim.up() || victim.stopping {
		return
	}
	victim.kill()
	w.scale.failures++
	w.scale.watch("detection", w.Now, func() bool {
		for _, one := range w.nodes {
			if one.up() && one.node.Members().State(victim.index) != doorstepv1.MemberState_MEMBER_STATE_DEAD {
				return false
			}
		}
		return true
	})
	w.After(40*time.Second, victim.start)
}

// watchRevision waits until every node that runs holds the revision.
func (w *World) watchRevision(since time.Time, revision uint64) {
	if w.scale == nil || !w.scale.counting {
		return
	}
	w.scale.watch("configuration", since, func() bool {
		for _, one := range w.nodes {
			if one.up() && one.node.Revision() < revision {
				return false
			}
		}
		return true
	})
}

func (w *World) scaleRow(options ScaleOptions, baseline uint64) *ScaleRow {
	m := w.scale
	nodes := float64(len(w.nodes))
	span := float64(options.Seconds)
	row := &ScaleRow{
		Nodes: len(w.nodes), Replicas: len(w.engines), BytesByRole: map[string]float64{},
		TableOperationsPerSecond:  float64(w.platform.table.Operations-m.startedOps) / span,
		ObjectOperationsPerSecond: float64(w.platform.objects.Operations-m.startedObj) / span,
		OutsideBytesPerSecond:     float64(m.outside) / nodes / span,
		EnginePollsPerSecond:      float64(m.polls) / nodes / span,
		Failures:                  m.failures,
		Violations:                w.violations.List(),
	}
	for role, bytes := range m.bytes {
		perNode := float64(bytes) / nodes / span
		if role == "data" {
			row.DataBytesPerSecond = perNode
			continue
		}
		row.BytesByRole[role] = perNode
		row.BytesPerSecond += perNode
	}
	for _, one := range w.nodes {
		share := one.processor.Seconds() / span
		row.CoreShare += share / nodes
		row.CoreShareMax = max(row.CoreShareMax, share)
	}
	configuration := m.finished["configuration"]
	slices.Sort(configuration)
	if len(configuration) > 0 {
		row.ConfigurationSecondsP50 = configuration[len(configuration)/2].Seconds()
		row.ConfigurationSecondsMax = configuration[len(configuration)-1].Seconds()
	}
	row.WeightsSeconds = longest(m.finished["weights"])
	row.WeightsCount = len(m.finished["weights"])
	row.DetectionSeconds = longest(m.finished["detection"])
	row.HeapBytes = w.nodeHeap(baseline)
	return row
}

func longest(spans []time.Duration) float64 {
	if len(spans) == 0 {
		return 0
	}
	return slices.Max(spans).Seconds()
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// nodeHeap drops everything but the nodes' own state and measures what is left.
func (w *World) nodeHeap(baseline uint64) float64 {
	kept := make([]any, 0, len(w.nodes))
	for _, one := range w.nodes {
		if one.up() {
			kept = append(kept, one.node)
		}
	}
	w.nodes, w.engines, w.byName, w.trainers = nil, nil, nil, nil
	w.callers, w.operator, w.platform, w.Clock = nil, nil, nil, virtual.Clock{}
	w.scale, w.seenWork, w.options = nil, nil, Options{}
	used := heapInUse()
	runtime.KeepAlive(kept)
	return math.Max(float64(used)-float64(baseline), 0) / float64(max(len(kept), 1))
}

// ScaleNotes says how the rows of a scale run were made.
func ScaleNotes(trainTime time.Duration) string {
	return strings.Join([]string{
		fmt.Sprintf("warm-up %s, machines fail and are replaced %d times as fast as in real life,", scaleWarmUp, scaleCompression),
		fmt.Sprintf("callers at %g of the letter's rate, a step trained in %s.", scaleRequestPart, trainTime),
	}, " ")
}
