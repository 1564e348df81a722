// Package soak runs doorstepd processes on loopback, injects external faults, and checks the guarantees to
// clients and replicas.
//
// The record store, the platform's services and the replicas are stand-ins in the process of the test. Connections
// from nodes to the store and to replicas, and from clients to nodes, pass through a Proxy.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorstep/doorstep/platform/platformtest"
)

const (
	// startTimeout is the maximum time until a started node serves requests.
	startTimeout = 15 * time.Second
	// stopTimeout is the maximum duration of a graceful shutdown, the nodes' default grace period.
	stopTimeout = 8 * time.Second
	// recoveryTimeout is how long the deployment may take to complete all jobs after the last fault.
	recoveryTimeout = 30 * time.Second
)

// Soak is one test run. Its exported fields are set before Run.
type Soak struct {
	// Binary is the path of doorstepd, Dir the directory for settings and logs.
	Binary, Dir string
	// Seed determines the faults and the load.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// NodeCount is the number of nodes, ReplicaCount the number of replicas per service.
	NodeCount, ReplicaCount int
	// RegionLatency, if positive, spreads nodes and replicas over two regions with this one-way latency between
	// them, and injects faults into the link between the regions. The store is in the first region.
	RegionLatency time.Duration
	// Logf receives progress messages.
	Logf func(format string, values ...any)

	checker    *Checker
	restricted restrictedRequests
	regionLink interRegionLink
	store      *platformtest.Store
	// duties is the platform's service for calls that only one node at a time may make.
	duties        *platformtest.Duties
	dutiesServer  *http.Server
	dutiesAddr    string
	nodes         []*node
	mu            sync.Mutex
	replicas      []*replica
	replicaSeq    int
	targetVersion atomic.Int64
	configVersion atomic.Int64
	// configuredAt is when the latest configuration was written, in nanoseconds since startedAt.
	configuredAt atomic.Int64
	startedAt    time.Time
	// lastDisturbance is when the last fault that affects nodes or the store ended, in nanoseconds since startedAt.
	// activeFaults is the number of such faults in progress.
	lastDisturbance atomic.Int64
	activeFaults    atomic.Int32
	linkFaults      linkFaultCounter
}

// node is a doorstepd process with its links.
type node struct {
	name     string
	zone     string
	process  *Process
	settings string
	// toStore is the link to the store, toClients the link from the clients. gate is the store's end of toStore.
	toStore, toClients *Proxy
	gate               *platformtest.StoreGate
	gateServer         *http.Server
	address            string
	// startMu prevents concurrent starts, which would leave a process running after the test.
	startMu sync.Mutex
	// starts counts the starts of the process. stopping is set during a graceful shutdown.
	starts   atomic.Int32
	stopping atomic.Bool
}

// replica is a stand-in replica with its link.
type replica struct {
	*platformtest.Replica
	link *Proxy
}

// Report is the result of a run. Its field names are part of the JSON output.
type Report struct {
	Seed       uint64
	Violations []string
	Counts     map[string]int
	Faults     map[string]int
}

// Run executes the test. It returns an error if the test could not be carried out; violations are in the report.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	s.checker = NewChecker()
	s.startedAt = time.Now()
	s.regionLink.Latency = s.RegionLatency
	defer s.close()
	if err := s.setUp(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var load sync.WaitGroup
	s.startLoad(ctx, &load)
	regions := make(chan int, 1)
	go func() { regions <- s.injectRegionFaults(ctx) }()
	evacuated := s.startEvacuations(ctx)
	refusals := make(chan struct{})
	go func() {
		defer close(refusals)
		s.injectRefusals(ctx)
	}()
	faults := s.injectFaults(ctx)
	<-refusals
	faults["evacuations"] = evacuated()
	if count := <-regions; count > 0 {
		faults["regions"] = count
	}
	s.clearFaults()
	clearedAt := time.Now()
	s.awaitRecovery(ctx, clearedAt)
	s.drainOnePerService()
	s.evacuateUndisturbed()
	s.crashDuringJob(ctx)
	s.checker.CheckCompletion(time.Now(), clearedAt, recoveryTimeout)
	cancel()
	load.Wait()
	for _, window := range s.duties.Conflicts() {
		s.checker.AddViolation("usage window %d was reported with different counts", window)
	}
	s.checker.Add("windows of use reported", len(s.duties.Reports()))
	s.stopAll()
	return Report{Seed: s.Seed, Violations: s.checker.Violations(), Counts: s.checker.Counts(), Faults: faults}, nil
}

func (s *Soak) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }

func (s *Soak) setUp() error {
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return err
	}
	s.store = platformtest.NewStore()
	s.duties = &platformtest.Duties{}
	dutiesListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.dutiesAddr = dutiesListener.Addr().String()
	s.dutiesServer = &http.Server{Handler: s.duties, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.dutiesServer.Serve(dutiesListener) }()
	s.targetVersion.Store(1)
	s.writeConfiguration()
	for range s.ReplicaCount {
		for _, kind := range []struct{ service, model string }{
			{platformtest.PlainService, ""}, {platformtest.ModelService, platformtest.Model}, {platformtest.ScoringService, ""},
		} {
			if err := s.addReplica(kind.service, kind.model); err != nil {
				return err
			}
		}
	}
	for i := range s.NodeCount {
		if err := s.addNode(fmt.Sprintf("node-%d", i)); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if !s.waitReady(n) {
			return fmt.Errorf("%s was not ready within %s", n.name, startTimeout)
		}
	}
	return nil
}

const (
	// tenant is the tenant of all clients, permanentKey the API key that all configurations contain.
	tenant       = "houses"
	permanentKey = "lasting-key"
)

// generationKey returns the API key that only one version of the configuration contains.
func generationKey(version int64) string { return fmt.Sprintf("key-of-%d", version) }

// writeConfiguration writes and returns the next version of the configuration, which contains a route named after
// the version.
func (s *Soak) writeConfiguration() int64 {
	version := s.configVersion.Load() + 1
	s.store.Put("op", "config", platformtest.WithTenants(withAllowedRegion(withColdLimits(platformtest.WithLongRequests(platformtest.ProbeConfiguration(int(version))))), platformtest.Tenant{
		Name: tenant, Keys: []string{permanentKey, generationKey(version)},
	}))
	s.configVersion.Store(version)
	return version
}

func (s *Soak) addReplica(service, model string) error {
	s.mu.Lock()
	s.replicaSeq++
	id := fmt.Sprintf("%s-%d", service, s.replicaSeq)
	s.mu.Unlock()
	zone := s.zoneFor(service)
	link := &Proxy{Direction: s.replicaDirection(zone)}
	cold := &coldReplica{id: id, link: link}
	cfg := platformtest.ReplicaConfig{
		ID: id, Service: service, Model: model, Zone: zone, Version: s.targetVersion.Load(), Runs: s.checker.Runs, EventInterval: 15 * time.Millisecond,
		MapAddress: func(address string) string {
			if link.Target != "" {
				return link.listener.Addr().String()
			}
			link.Target = address
			listed, err := link.Listen()
			if err != nil {
				panic("listening on loopback: " + err.Error())
			}
			return listed
		},
		CrashOn: crashBody(service), OnCrash: func(string) { s.onCrash(id) },
		ColdFor: s.coldDurationAtStart(), OnArrival: func(string) { s.checker.RecordColdArrival(cold) },
		OnRun: func(request string) {
			if violation := s.restricted.checkRegion(id, zone, request); violation != "" {
				s.checker.AddViolation("%s", violation)
			}
			s.checker.RecordRun(id, request)
		},
		OnTextComplete: s.checker.RecordCompletedItem,
		OnFailed:       s.checker.RecordFailure,
		OnOrder:        s.checker.RecordOrder,
	}
	started, err := platformtest.StartReplicaConfig(s.store, cfg)
	if err != nil {
		return err
	}
	started.OnHeader(s.checker.CheckHeader)
	cold.replica.Store(started)
	s.mu.Lock()
	s.replicas = append(s.replicas, &replica{Replica: started, link: link})
	s.mu.Unlock()
	return nil
}

// largeListSetting returns the large_list setting of a node. It is 1 for every second node, so that these
// nodes watch the list of replicas only while they need it, as nodes of a large deployment do.
func largeListSetting(number int) int { return number % 2 }

func (s *Soak) addNode(name string) error {
	zone := zones[len(s.nodes)%len(zones)]
	gate := &platformtest.StoreGate{Store: s.store}
	gateListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	gateServer := &http.Server{Handler: gate, ReadHeaderTimeout: time.Minute}
	go func() { _ = gateServer.Serve(gateListener) }()
	toStore := &Proxy{Target: gateListener.Addr().String(), Direction: func(net.Conn) direction { return s.directionBetween(zone, nearZone) }}
	n := &node{name: name, zone: zone, toStore: toStore, gate: gate, gateServer: gateServer, settings: filepath.Join(s.Dir, name+".yaml")}
	var addresses [3]string
	for i := range addresses {
		address, err := platformtest.FreeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	store, err := n.toStore.Listen()
	if err != nil {
		return err
	}
	n.toClients = &Proxy{Target: addresses[0]}
	if n.address, err = n.toClients.Listen(); err != nil {
		return err
	}
	settings := fmt.Sprintf(`name: %s
zone: %s
%slisten: {requests: %q, readiness: %q, metrics: %q}
store: {address: %q, large_list: %d}
orders: {pause_ms: 3000}
cold: {overshoot: 1.5, slack: 5}
duties: {address: %q, kinds: "usage_reporting", fenced: true, calls_per_s: 50, usage_window_s: 2, usage_late_s: 8}
log: {level: info, json: true}
`, name, zone, regionSettings(zone), addresses[0], addresses[1], addresses[2], store, largeListSetting(len(s.nodes)), s.dutiesAddr)
	if err := os.WriteFile(n.settings, []byte(settings), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.Dir, name+".log"))
	if err != nil {
		return err
	}
	n.process = &Process{Path: s.Binary, Args: []string{"--settings", n.settings}, Log: log}
	s.mu.Lock()
	s.nodes = append(s.nodes, n)
	s.mu.Unlock()
	return n.start()
}

// start starts the process unless it is running.
func (n *node) start() error {
	n.startMu.Lock()
	defer n.startMu.Unlock()
	if n.process.Running() {
		return nil
	}
	n.starts.Add(1)
	n.stopping.Store(false)
	return n.process.Start()
}

func (s *Soak) waitReady(n *node) bool {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response := platformtest.Client{}.Send(context.Background(), platformtest.Call{
			Address: n.address, Method: http.MethodPost, Path: platformtest.ProbePath(int(s.configVersion.Load())),
			ID: fmt.Sprintf("ready-%s-%d", n.name, time.Now().UnixNano()), Key: permanentKey, Deadline: time.Second,
		})
		if response.Err == nil && response.Status == http.StatusOK {
			return true
		}
	}
	return false
}

// markDisturbance records that nodes or the store were affected by a fault until now.
func (s *Soak) markDisturbance() { s.lastDisturbance.Store(int64(time.Since(s.startedAt))) }

// undisturbedFor returns how long no fault has affected nodes or the store.
func (s *Soak) undisturbedFor() time.Duration {
	if s.activeFaults.Load() > 0 {
		return 0
	}
	return time.Since(s.startedAt) - time.Duration(s.lastDisturbance.Load())
}

// clearFaults ends all faults and starts all stopped nodes.
func (s *Soak) clearFaults() {
	s.store.Unresponsive.Store(false)
	s.store.Unavailable.Store(false)
	s.store.DropResponses.Store(false)
	s.store.DelayCommits.Store(false)
	s.store.AddedLatency.Store(0)
	for _, n := range s.nodes {
		n.gate.Refusing.Store(false)
		n.gate.RefusedReads.Store(nil)
		for _, link := range []*Proxy{n.toStore, n.toClients} {
			link.SetMode(LinkOpen)
			link.SetDelay(0)
		}
		_ = n.start()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		r.link.SetMode(LinkOpen)
		r.link.SetDelay(0)
		clearReplicaFaults(r)
	}
	s.markDisturbance()
}

// awaitRecovery waits until all jobs that were accepted before clearedAt are complete, and reports the others after
// recoveryTimeout. The load continues meanwhile, so newer jobs may still be running.
func (s *Soak) awaitRecovery(ctx context.Context, clearedAt time.Time) {
	for end := clearedAt.Add(recoveryTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if len(s.checker.IncompleteJobs(clearedAt)) == 0 {
			return
		}
	}
	s.checker.CheckCompletion(time.Now(), clearedAt, recoveryTimeout)
}

// stopAll stops all nodes gracefully.
func (s *Soak) stopAll() {
	var stops sync.WaitGroup
	for _, n := range s.nodes {
		stops.Go(func() {
			if !n.process.Running() {
				return
			}
			if err := n.process.Stop(stopTimeout); err != nil {
				s.checker.AddViolation("%s: %s", n.name, err)
			}
		})
	}
	stops.Wait()
}

// close releases all resources of the run.
func (s *Soak) close() {
	for _, n := range s.nodes {
		if n.process.Running() {
			n.process.Resume()
			n.process.Kill()
		}
		n.toStore.Close()
		_ = n.gateServer.Close()
		n.toClients.Close()
		_ = n.process.Log.Close()
	}
	for _, r := range s.replicas {
		r.Stop()
		r.link.Close()
	}
	if s.dutiesServer != nil {
		_ = s.dutiesServer.Close()
	}
}
