// Package agent runs a cluster.Node as a process: it serves requests, carries out the
// node's tasks and drives its clock. It decides nothing that lasts.
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
	"github.com/doorstep/doorstep/internal/version/experiment"
)

const (
	// tickEvery paces the node's clock.
	tickEvery = 25 * time.Millisecond
	// headerTimeout, idleTimeout and headerBytes bound what a connection may do before
	// the configuration's own limits are known; these are applied to each request.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 64 << 10
	// lastRequests is how long requests that run at the end of a planned stop may take.
	lastRequests = 3 * time.Second
	// pruneEvery paces the closing of idle connections to replicas.
	pruneEvery = 2 * time.Second
)

// watchCall is the kind of a call that the store holds until something changes.
const watchCall = "watch"

// Protocol is the form of the calls between clients, nodes and replicas.
type Protocol interface {
	cluster.DeploymentDecoder
	ReadinessPath() string
	RequestID(header http.Header) string
	SetRequestID(header http.Header, id string)
	Deadline(header http.Header) (time.Duration, bool)
	Wait(header http.Header) time.Duration
	Address(header http.Header, replica string, left time.Duration)
	Resume(header http.Header, lastEvent string)
	LastEvent(header http.Header) string
	Urge(header http.Header)
	Key(header http.Header) (port.KeyDigest, bool)
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
	EncodeOrder(order port.OrderVersion) (path string, body []byte)
	DecodeOrderStatus(status int) port.VersionOrderStatus
	ReportPath() string
	DecodeReport(content []byte) port.ReplicaReport
	Describe(model, prompt string, maxTokens int) http.Header
	experiment.Targets
}

// Agent is one running node.
type Agent struct {
	settings *settings.Settings
	protocol Protocol
	store    port.RecordStore
	duties   *dutyCaller
	upstream *upstream.Client
	log      *eventLog
	metrics  *metrics
	base     context.Context
	// steps answers trainers of experiments, by trainers.
	steps    *experiment.Steps
	trainers http.Handler
	// clock gives the times that the node is called with. startedAt and clockAhead, in
	// nanoseconds, give the record store's clock.
	clock      *clock.Clock
	startedAt  time.Time
	clockAhead atomic.Int64

	mu   sync.Mutex
	node *cluster.Node
	// acts is the context of what only the holder of a lease may do: it ends when the machine was
	// suspended, for suspended in all.
	acts      context.Context
	endActs   context.CancelFunc
	suspended time.Duration
	// runs cancels the runs and scoring calls of items under way, waiters are woken by
	// changes of jobs.
	runs    map[uint64]context.CancelFunc
	waiters map[string]chan struct{}
	// replicasKnown is closed once replicas were read, nil while no request waits for that.
	replicasKnown chan struct{}
}

// Options configure an Agent.
type Options struct {
	Settings *settings.Settings
	Protocol Protocol
	Store    port.RecordStore
	// Duties takes the calls that one node at a time may make, nil where there are none.
	Duties port.DutyService
	Log    hclog.Logger
	// Incarnation differs from that of any other life of this node.
	Incarnation uint64
	// Clock is where the node's clock reads the time, the machine's own if it is the zero value.
	Clock clock.Source
	// Reload is told when the settings are to be read again.
	Reload <-chan struct{}
	// ReadSettings reads them.
	ReadSettings func() (*settings.Settings, error)
}

// Run serves until the context ends, and then stops in the planned way. A second
// context, hurry, ends it at once.
func Run(ctx, hurry context.Context, options Options) error {
	requests, err := net.Listen("tcp", options.Settings.Listen.Requests)
	if err != nil {
		return oops.Code("listen_requests").With("address", options.Settings.Listen.Requests).Wrapf(err, "listening for requests")
	}
	readiness, err := net.Listen("tcp", options.Settings.Listen.Readiness)
	if err != nil {
		_ = requests.Close()
		return oops.Code("listen_readiness").With("address", options.Settings.Listen.Readiness).Wrapf(err, "listening for readiness")
	}
	serving, end := context.WithCancel(hurry)
	defer end()
	a := newAgent(serving, options)
	go a.log.run(serving)
	server := a.newServer(http.HandlerFunc(a.serve))
	probes := a.newServer(http.HandlerFunc(a.serveReadiness))
	go func() { _ = server.Serve(requests) }()
	go func() { _ = probes.Serve(readiness) }()
	a.serveMetrics(serving)
	a.loop(ctx, serving, options)
	if hurry.Err() == nil {
		leaving, cancel := context.WithTimeout(hurry, lastRequests)
		defer cancel()
		_ = server.Shutdown(leaving)
		_ = probes.Shutdown(leaving)
	}
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
		duties: newDutyCaller(options), runs: map[uint64]context.CancelFunc{}, waiters: map[string]chan struct{}{},
	}
	a.startedAt = a.clock.Now()
	a.acts, a.endActs = context.WithCancel(base)
	a.log = newEventLog(options.Log, func() time.Duration { return time.Duration(a.clockAhead.Load()) + a.since(a.startedAt) })
	a.metrics = newMetrics(a)
	a.spanRegions()
	a.steps = a.newSteps()
	a.trainers = a.newTrainerMux()
	a.node = cluster.New(a.startedAt, cluster.Options{
		Name: options.Settings.Name, Topology: options.Settings.Topology(), Cold: options.Settings.Cold, Incarnation: options.Incarnation, Decoder: options.Protocol,
		OrderPause: options.Settings.Orders.Pause(), Duties: dutiesOf(options.Settings),
		WallAhead: func() time.Duration { return -a.clock.Suspended() }, LargeList: options.Settings.Store.LargeList,
		ProcessorShare: options.Settings.Processor.Share,
	})
	return a
}

// since returns how long ago a time of the clock was.
func (a *Agent) since(then time.Time) time.Duration { return a.clock.Now().Sub(then) }

func (a *Agent) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: a.log.standard(),
	}
}

// loop drives the node until the planned stop is complete.
func (a *Agent) loop(ctx, serving context.Context, options Options) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	prune := time.NewTicker(pruneEvery)
	defer prune.Stop()
	stopping := ctx.Done()
	for {
		left := false
		select {
		case <-serving.Done():
			return
		case <-stopping:
			stopping = nil
			a.do(func(now time.Time) { a.node.Stop(now) })
		case <-options.Reload:
			a.reload(options)
		case <-prune.C:
			a.upstream.CloseExpired(time.Now())
		case <-ticker.C:
			a.do(func(now time.Time) {
				a.node.Tick(now)
				left = a.node.MayLeave(now)
			})
		}
		if left {
			return
		}
	}
}

// reload reads the settings again. What they hold takes effect at a start; a file that
// differs is told of in the log.
func (a *Agent) reload(options Options) {
	read, err := options.ReadSettings()
	if err != nil {
		a.log.add(event.SettingsReloaded, "error", err.Error())
		return
	}
	a.log.add(event.SettingsReloaded, "differs", !reflect.DeepEqual(read, options.Settings))
}

// do calls the node under the lock and starts the tasks that it leaves. Starting a
// task never blocks.
func (a *Agent) do(call func(now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, suspended := a.clock.Read()
	if suspended > a.suspended {
		a.resume(suspended)
	}
	call(now)
	for _, one := range a.node.Take() {
		a.start(one)
	}
}

// start starts one task; its outcome comes back through do.
func (a *Agent) start(one task.Task) {
	switch t := one.(type) {
	case task.Commit:
		go a.finishRecord("commit", t.Done, func() port.RecordResult { return a.store.Commit(a.base, t.Transaction) })
	case task.Range:
		go a.finishRecord("range", t.Done, func() port.RecordResult { return a.store.Range(a.base, t.Query) })
	case task.Watch:
		go a.finishRecord(watchCall, t.Done, func() port.RecordResult { return a.store.Watch(a.base, t.Table, t.After, t.Wait) })
	case task.Run:
		a.noteSent(sentItem, t.Replica)
		running, cancel := context.WithCancel(a.base)
		a.runs[t.ID] = cancel
		go a.run(running, t)
	case task.ScoringCall:
		a.noteSent(sentScoring, t.Replica)
		calling, cancel := context.WithTimeout(a.base, t.Limit)
		a.runs[t.ID] = cancel
		go a.callScoring(calling, t)
	case task.StopRun:
		if cancel := a.runs[t.ID]; cancel != nil {
			cancel()
		}
	case task.OrderVersion:
		go a.order(a.acts, t)
	case task.FetchReport:
		go a.report(t)
	case task.ReportUsage:
		go a.reportUsage(a.acts, t)
	case task.OrderReplicas:
		go a.orderReplicas(a.acts, t)
	case task.Timer:
		time.AfterFunc(t.After, func() { a.do(t.Do) })
	case task.NotifyJob:
		if waiter := a.waiters[t.Job]; waiter != nil {
			close(waiter)
			delete(a.waiters, t.Job)
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

func (a *Agent) finishRecord(kind string, done func(now time.Time, result port.RecordResult), call func() port.RecordResult) {
	startedAt := a.clock.Now()
	result := call()
	a.metrics.storeCall(kind, result.Status, a.since(startedAt))
	a.do(func(now time.Time) {
		if kind != watchCall {
			a.node.NoteLatency(now.Sub(startedAt))
		}
		if result.Clock > 0 {
			a.node.NoteClock(now, startedAt, result.Clock)
			a.clockAhead.Store(int64(a.node.StoreClock(a.startedAt)))
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
