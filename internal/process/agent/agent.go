// Package agent runs a cluster.Node as a process: it serves requests, executes the node's
// tasks and calls it periodically. It holds no durable state.
package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/connection/upstream"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/clock"
	"github.com/doorstep/doorstep/internal/process/cluster"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/settings"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/request/relay"
	"github.com/doorstep/doorstep/internal/version/experiment"
)

const (
	// tickInterval is the period between calls to the node's Tick.
	tickInterval = 25 * time.Millisecond
	// headerTimeout, idleTimeout and maxHeaderBytes limit connections at the HTTP server. The
	// configured size limits are applied per request.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// pruneInterval is the period between sweeps of idle replica connections.
	pruneInterval = 2 * time.Second
)

// watchKind labels long-polling store calls, which are excluded from latency tracking.
const watchKind = "watch"

// Protocol encodes and decodes the messages between clients, nodes and replicas.
type Protocol interface {
	cluster.DeploymentDecoder
	ReadinessPath() string
	RequestID(header http.Header) string
	SetRequestID(header http.Header, id string)
	Deadline(header http.Header) (time.Duration, bool)
	MaxWait(header http.Header) time.Duration
	SetReplicaAndDeadline(header http.Header, replica string, left time.Duration)
	SetLastEvent(header http.Header, lastEvent string)
	LastEvent(header http.Header) string
	SetPriority(header http.Header, rank int)
	APIKey(header http.Header) (port.KeyDigest, bool)
	SetTenant(header http.Header, tenant string)
	Signature(header http.Header) string
	NotExecuted(status int, header http.Header) bool
	Load(header http.Header) (running, waiting, slots int, ok bool)
	Version(header http.Header) int64
	Model(header http.Header) string
	NewEventReader(stream io.Reader) port.EventReader
	DecodeJob(id string, content []byte) (*doorstepv1.BatchJob, error)
	DecodeJobCall(method string, target *url.URL) port.JobCall
	EncodeResults(total, from int, results []*doorstepv1.BatchResult) []byte
	EncodeOrder(order port.VersionOrder) (path string, body []byte)
	DecodeOrderStatus(status int) port.VersionOrderStatus
	ReportPath() string
	DecodeReport(content []byte) port.ReplicaReport
	RolloutHeader(model, prompt string, maxTokens int) http.Header
	experiment.Targets
}

// Agent is a running node.
type Agent struct {
	settings *settings.Settings
	protocol Protocol
	store    port.RecordStore
	duties   *dutyCaller
	upstream *upstream.Client
	// responseBudget is the memory left for buffered responses.
	responseBudget *byteBudget
	log            *eventLog
	metrics        *metrics
	base           context.Context
	// connections tracks the connections with a request in progress. pulls is cancelled once the node is about to exit.
	connections activeConnections
	pulls       context.Context
	cancelPulls context.CancelFunc
	// shutdown is the schedule of the graceful shutdown, nil before its start. answering ends when all requests must be
	// answered.
	shutdown     atomic.Pointer[relay.Shutdown]
	answering    context.Context
	endAnswering context.CancelFunc
	// steps implements the trainer API, which trainerMux routes to.
	steps      *experiment.Steps
	trainerMux http.Handler
	// clock supplies the times passed to the node. startedAt plus storeClockOffset, in
	// nanoseconds, maps it to the record store's clock.
	clock            *clock.Clock
	startedAt        time.Time
	storeClockOffset atomic.Int64

	mu   sync.Mutex
	node *cluster.Node
	// leaseContext covers calls that only a lease holder may make. It is cancelled when the
	// machine resumes from suspension; totalSuspended is the time suspended so far.
	leaseContext       context.Context
	cancelLeaseContext context.CancelFunc
	totalSuspended     time.Duration
	// runCancels cancels in-flight item runs and scoring calls, by task ID. jobWaiters are
	// closed when a job changes.
	runCancels map[uint64]context.CancelFunc
	jobWaiters map[string]chan struct{}
	// replicasKnown is closed once replicas have been read; nil while no request waits for it.
	replicasKnown chan struct{}
}

// Options configures an Agent.
type Options struct {
	Settings *settings.Settings
	Protocol Protocol
	Store    port.RecordStore
	// Duties receives calls that only one node may make at a time; nil if there are none.
	Duties port.DutyService
	Log    hclog.Logger
	// Incarnation is unique to each start of this node.
	Incarnation uint64
	// Clock is the time source; the zero value selects the system clock.
	Clock clock.Source
	// Reload signals that the settings should be read again.
	Reload <-chan struct{}
	// ReadSettings loads the settings.
	ReadSettings func() (*settings.Settings, error)
}

// Run serves until ctx ends and then shuts down gracefully. Cancelling abort stops it
// immediately.
func Run(ctx, abort context.Context, options Options) error {
	requests, err := net.Listen("tcp", options.Settings.Listen.Requests)
	if err != nil {
		return oops.Code("listen_requests").With("address", options.Settings.Listen.Requests).Wrapf(err, "listening for requests")
	}
	readiness, err := net.Listen("tcp", options.Settings.Listen.Readiness)
	if err != nil {
		_ = requests.Close()
		return oops.Code("listen_readiness").With("address", options.Settings.Listen.Readiness).Wrapf(err, "listening for readiness")
	}
	serving, stopServing := context.WithCancel(abort)
	defer stopServing()
	a := newAgent(serving, options)
	go a.log.run(serving)
	server := a.newServer(http.HandlerFunc(a.serve))
	server.ConnState = a.connections.observe
	probes := a.newServer(http.HandlerFunc(a.serveReadiness))
	go func() { _ = server.Serve(requests) }()
	go func() { _ = probes.Serve(readiness) }()
	a.serveMetrics(serving)
	a.loop(ctx, serving, options, server)
	_ = server.Close()
	_ = probes.Close()
	a.log.add(event.ProcessStopped, "node", options.Settings.Name)
	a.log.drain()
	return nil
}

func newAgent(base context.Context, options Options) *Agent {
	if options.Clock.Now == nil {
		options.Clock = clock.System()
	}
	a := &Agent{
		clock:    clock.New(options.Clock),
		settings: options.Settings, protocol: options.Protocol, store: options.Store, upstream: upstream.New(), base: base,
		responseBudget: newByteBudget(options.Settings.Memory.LimitMb),
		duties:         newDutyCaller(options), runCancels: map[uint64]context.CancelFunc{}, jobWaiters: map[string]chan struct{}{},
	}
	a.startedAt = a.clock.Now()
	a.pulls, a.cancelPulls = context.WithCancel(base)
	a.answering, a.endAnswering = context.WithCancel(base)
	a.leaseContext, a.cancelLeaseContext = context.WithCancel(base)
	a.log = newEventLog(options.Log, func() time.Duration { return time.Duration(a.storeClockOffset.Load()) + a.since(a.startedAt) })
	a.metrics = newMetrics(a)
	a.configureRegions()
	a.steps = a.newSteps()
	a.trainerMux = a.newTrainerMux()
	a.node = cluster.New(a.startedAt, cluster.Options{
		GracePeriod: options.Settings.Shutdown.Grace(),
		Name:        options.Settings.Name, Topology: options.Settings.Topology(), Cold: options.Settings.Cold, Incarnation: options.Incarnation, Decoder: options.Protocol,
		OrderPause: options.Settings.Orders.Pause(), Duties: dutiesFromSettings(options.Settings),
		WallClockOffset: func() time.Duration { return -a.clock.Suspended() }, LargeList: options.Settings.Store.LargeList,
		ProcessorShare: options.Settings.Processor.Share,
	})
	return a
}

// since returns the time elapsed on the agent's clock since then.
func (a *Agent) since(then time.Time) time.Duration { return a.clock.Now().Sub(then) }

func (a *Agent) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: a.log.discardLogger(),
	}
}

// loop drives the node until its graceful shutdown is complete.
func (a *Agent) loop(ctx, serving context.Context, options Options, server *http.Server) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	stopping := ctx.Done()
	var drained <-chan struct{}
	for {
		canExit, mustAnswer, mustExit := false, false, false
		select {
		case <-serving.Done():
			return
		case <-drained:
			return
		case <-stopping:
			stopping = nil
			a.do(func(now time.Time) { a.node.Stop(now) })
			a.startShutdown()
		case <-options.Reload:
			a.reload(options)
		case <-prune.C:
			a.upstream.CloseExpired(time.Now())
		case <-ticker.C:
			a.do(func(now time.Time) {
				a.node.Tick(now)
				canExit, mustAnswer, mustExit = a.node.CanExit(now), a.node.MustAnswer(now), a.node.MustExit(now)
			})
		}
		if mustExit {
			return
		}
		if mustAnswer {
			a.answerAll()
		}
		if (canExit || mustAnswer) && drained == nil {
			drained = a.drain(serving, server)
		}
	}
}

// reload reads the settings again and logs whether they differ from those in use. Changes
// take effect at the next start.
func (a *Agent) reload(options Options) {
	read, err := options.ReadSettings()
	if err != nil {
		a.log.add(event.SettingsReloaded, "error", err.Error())
		return
	}
	a.log.add(event.SettingsReloaded, "differs", !reflect.DeepEqual(read, options.Settings))
}

// do calls the node while holding the lock and starts the tasks that it queued. Starting a
// task never blocks.
func (a *Agent) do(call func(now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, suspended := a.clock.Read()
	if suspended > a.totalSuspended {
		a.handleResume(suspended)
	}
	call(now)
	for _, next := range a.node.Take() {
		a.start(next)
	}
}

// start starts a task, which reports its result through do.
func (a *Agent) start(next task.Task) {
	switch t := next.(type) {
	case task.Commit:
		go a.callStore("commit", t.Done, func() port.RecordResult { return a.store.Commit(a.base, t.Transaction) })
	case task.Range:
		go a.callStore("range", t.Done, func() port.RecordResult { return a.store.Range(a.base, t.Query) })
	case task.Watch:
		go a.callStore(watchKind, t.Done, func() port.RecordResult { return a.store.Watch(a.base, t.Table, t.After, t.Wait) })
	case task.Run:
		a.countCrossRegion(sentItem, t.Replica)
		running, cancel := context.WithCancel(a.base)
		a.runCancels[t.ID] = cancel
		go a.run(running, t)
	case task.ScoringCall:
		a.countCrossRegion(sentScoring, t.Replica)
		calling, cancel := context.WithTimeout(a.base, t.Limit)
		a.runCancels[t.ID] = cancel
		go a.callScoring(calling, t)
	case task.StopRun:
		if cancel := a.runCancels[t.ID]; cancel != nil {
			cancel()
		}
	case task.OrderVersion:
		go a.orderVersion(a.leaseContext, t)
	case task.FetchReport:
		go a.fetchReport(t)
	case task.ReportUsage:
		go a.reportUsage(a.leaseContext, t)
	case task.OrderReplicas:
		go a.orderReplicas(a.leaseContext, t)
	case task.Timer:
		time.AfterFunc(t.After, func() { a.do(t.Do) })
	case task.NotifyJob:
		if waiter := a.jobWaiters[t.Job]; waiter != nil {
			close(waiter)
			delete(a.jobWaiters, t.Job)
		}
	case task.NotifyReplicasRead:
		if a.replicasKnown != nil {
			close(a.replicasKnown)
			a.replicasKnown = nil
		}
	case task.CloseIdleConnections:
		a.upstream.CloseIdle(t.Address)
	case task.Log:
		a.log.add(t.Event, t.Fields...)
	}
}

func (a *Agent) callStore(kind string, done func(now time.Time, result port.RecordResult), call func() port.RecordResult) {
	startedAt := a.clock.Now()
	result := call()
	a.metrics.storeCall(kind, result.Status, a.since(startedAt))
	a.do(func(now time.Time) {
		if kind != watchKind {
			a.node.ObserveStoreLatency(now.Sub(startedAt))
		}
		if result.Clock > 0 {
			a.node.ObserveStoreClock(now, startedAt, result.Clock)
			a.storeClockOffset.Store(int64(a.node.StoreClock(a.startedAt)))
		}
		done(now, result)
	})
}

func (a *Agent) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != a.protocol.ReadinessPath() {
		http.NotFound(w, r)
		return
	}
	a.mu.Lock()
	ready := a.node.Ready(a.clock.Now())
	a.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
