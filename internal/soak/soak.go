// Package soak runs the real programs as separate processes on loopback, injects faults
// from outside them, and checks the promises to callers and replicas while it runs.
//
// The nodes are started from their binary. The platform's store and replicas are the
// repository's stand-ins, within the soak's own process. Every connection between a node
// and its surroundings passes a Proxy of its own.
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
	// readyWithin bounds the start of a node.
	readyWithin = 15 * time.Second
	// stopGrace is how long a node may take for its planned stop.
	stopGrace = 10 * time.Second
	// settleFor is how long the deployment may take to complete all jobs once the
	// faults have ended.
	settleFor = 30 * time.Second
)

// Soak is one run. Its fields are set before Run.
type Soak struct {
	// Binary is the node's program, Dir takes settings and logs.
	Binary, Dir string
	// Seed decides the faults and the load.
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// NodeCount and ReplicaCount are the sizes; replicas are counted by service.
	NodeCount, ReplicaCount int
	// Apart, unless 0, spreads nodes and replicas over two regions that lie so far apart each way;
	// the store stands in one of them. Faults of the way between them come beside all others.
	Apart time.Duration
	// Say is told what happens.
	Say func(format string, values ...any)

	check     *Checker
	homes     homes
	way       Way
	store     *platformtest.Store
	server    *http.Server
	storeAddr string
	// duties is the platform's service for calls that one node at a time may make.
	duties       *platformtest.Duties
	dutiesServer *http.Server
	dutiesAddr   string
	nodes        []*node
	mu           sync.Mutex
	replicas     []*replica
	named        int
	version      atomic.Int64
	config       atomic.Int64
	// configuredAt is when the newest configuration was written, in nanoseconds since
	// started.
	configuredAt atomic.Int64
	started      time.Time
	// disturbedAt is when the last fault that touches nodes or the store ended, in
	// nanoseconds since started; faulty counts those under way.
	disturbedAt atomic.Int64
	faulty      atomic.Int32
	links       linkHarm
}

// node is one process of the system with its links.
type node struct {
	name     string
	zone     string
	process  *Process
	settings string
	// toStore is its link to the store, toClients that of its clients.
	toStore, toClients *Proxy
	address            string
	// starting is held while it is started: two faults that end at once must not start it
	// twice, as the first process would be forgotten and left behind.
	starting sync.Mutex
	// lives counts its starts; planned is set during a planned stop.
	lives   atomic.Int32
	planned atomic.Bool
}

// replica is a stand-in replica behind its link.
type replica struct {
	*platformtest.Replica
	link *Proxy
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Violations []string
	Counts     map[string]int
	Faults     map[string]int
}

// Run runs the soak; an error means that it could not be carried out.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	s.check = NewChecker()
	s.started = time.Now()
	s.way.Apart = s.Apart
	defer s.end()
	if err := s.build(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var load sync.WaitGroup
	s.startLoad(ctx, &load)
	regions := make(chan int, 1)
	go func() { regions <- s.disturbRegions(ctx) }()
	evacuated := s.startEvacuations(ctx)
	faults := s.disturb(ctx)
	faults["evacuations"] = evacuated()
	if count := <-regions; count > 0 {
		faults["regions"] = count
	}
	s.heal()
	healedAt := time.Now()
	s.settle(ctx, healedAt)
	s.drainEach()
	s.evacuateInCalm()
	s.check.CheckWhole(time.Now(), healedAt, settleFor)
	cancel()
	load.Wait()
	for _, window := range s.duties.Conflicts() {
		s.check.Violate("window %d was reported with counts that differ", window)
	}
	s.check.Add("windows of use reported", len(s.duties.Reports()))
	s.stopAll()
	return Report{Seed: s.Seed, Violations: s.check.Violations(), Counts: s.check.Counts(), Faults: faults}, nil
}

func (s *Soak) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }

func (s *Soak) build() error {
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return err
	}
	s.store = platformtest.NewStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.storeAddr = listener.Addr().String()
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	s.duties = &platformtest.Duties{}
	dutiesListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.dutiesAddr = dutiesListener.Addr().String()
	s.dutiesServer = &http.Server{Handler: s.duties, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.dutiesServer.Serve(dutiesListener) }()
	s.version.Store(1)
	s.configure()
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
			return fmt.Errorf("%s did not serve within %s", n.name, readyWithin)
		}
	}
	return nil
}

const (
	// tenant is the one of all callers, lastingKey the key that none of the configurations
	// takes away.
	tenant     = "houses"
	lastingKey = "lasting-key"
)

// generationKey is the key that one configuration alone allows.
func generationKey(version int64) string { return fmt.Sprintf("key-of-%d", version) }

// configure writes the next configuration; its version names a route of its own.
func (s *Soak) configure() int64 {
	version := s.config.Load() + 1
	s.store.Put("op", "config", platformtest.WithTenants(withHomes(coldServices(platformtest.ProbeConfiguration(int(version)))), platformtest.Tenant{
		Name: tenant, Keys: []string{lastingKey, generationKey(version)},
	}))
	s.config.Store(version)
	return version
}

func (s *Soak) addReplica(service, model string) error {
	s.mu.Lock()
	s.named++
	id := fmt.Sprintf("%s-%d", service, s.named)
	s.mu.Unlock()
	zone := s.zoneFor(service)
	link := &Proxy{Uses: s.toReplica(zone)}
	cold := &coldReplica{id: id, link: link}
	cfg := platformtest.ReplicaConfig{
		ID: id, Service: service, Model: model, Zone: zone, Version: s.version.Load(), VersionInEvents: true, EventInterval: 15 * time.Millisecond,
		MapAddress: func(address string) string {
			if link.Target != "" {
				return link.listener.Addr().String()
			}
			link.Target = address
			listed, err := link.Listen()
			if err != nil {
				panic("no loopback port: " + err.Error())
			}
			return listed
		},
		CrashOn: poisonBody(service), OnCrash: func(string) { s.crashed(id) },
		ColdFor: s.coldFor(), OnArrival: func(string) { s.check.coldArrived(cold) },
		OnRun: func(request string) {
			if wrong := s.homes.kept(id, zone, request); wrong != "" {
				s.check.Violate("%s", wrong)
			}
			s.check.Ran(id, request)
		},
		OnTextComplete: s.check.MadeWhole,
		OnFailed:       s.check.Failed,
		OnOrder:        s.check.Ordered,
	}
	one, err := platformtest.StartReplicaConfig(s.store, cfg)
	if err != nil {
		return err
	}
	one.OnHeader(s.check.Head)
	cold.of.Store(one)
	s.mu.Lock()
	s.replicas = append(s.replicas, &replica{Replica: one, link: link})
	s.mu.Unlock()
	return nil
}

// largeListOf lets every second node follow the list of replicas only while it has use for it, as nodes of
// a large deployment do.
func largeListOf(number int) int { return number % 2 }

func (s *Soak) addNode(name string) error {
	zone := zones[len(s.nodes)%len(zones)]
	toStore := &Proxy{Target: s.storeAddr, Uses: func(net.Conn) side { return s.between(zone, nearZone) }}
	n := &node{name: name, zone: zone, toStore: toStore, settings: filepath.Join(s.Dir, name+".yaml")}
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
`, name, zone, regionsFor(zone), addresses[0], addresses[1], addresses[2], store, largeListOf(len(s.nodes)), s.dutiesAddr)
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

// start starts the node unless it runs.
func (n *node) start() error {
	n.starting.Lock()
	defer n.starting.Unlock()
	if n.process.Running() {
		return nil
	}
	n.lives.Add(1)
	n.planned.Store(false)
	return n.process.Start()
}

func (s *Soak) waitReady(n *node) bool {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer := platformtest.Client{}.Send(context.Background(), platformtest.Call{
			Address: n.address, Method: http.MethodPost, Path: platformtest.ProbePath(int(s.config.Load())),
			ID: fmt.Sprintf("ready-%s-%d", n.name, time.Now().UnixNano()), Key: lastingKey, Deadline: time.Second,
		})
		if answer.Err == nil && answer.Status == http.StatusOK {
			return true
		}
	}
	return false
}

// touched notes that nodes or the store were disturbed until now.
func (s *Soak) touched() { s.disturbedAt.Store(int64(time.Since(s.started))) }

// calmFor returns for how long neither nodes nor the store were disturbed.
func (s *Soak) calmFor() time.Duration {
	if s.faulty.Load() > 0 {
		return 0
	}
	return time.Since(s.started) - time.Duration(s.disturbedAt.Load())
}

// heal ends every fault that is left.
func (s *Soak) heal() {
	s.store.Unresponsive.Store(false)
	s.store.Unavailable.Store(false)
	s.store.DropResponses.Store(false)
	s.store.DelayCommits.Store(false)
	s.store.AddedLatency.Store(0)
	for _, n := range s.nodes {
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
		healReplica(r)
	}
	s.touched()
}

// settle waits until all jobs are whole that were accepted before the last fault ended. The
// load goes on meanwhile, so there may always be younger ones under way.
func (s *Soak) settle(ctx context.Context, healedAt time.Time) {
	for end := healedAt.Add(settleFor); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if len(s.check.Missing(healedAt)) == 0 {
			return
		}
	}
	s.check.CheckWhole(time.Now(), healedAt, settleFor)
}

// stopAll stops every node in the planned way.
func (s *Soak) stopAll() {
	var stops sync.WaitGroup
	for _, n := range s.nodes {
		stops.Go(func() {
			if !n.process.Running() {
				return
			}
			if err := n.process.Stop(stopGrace); err != nil {
				s.check.Violate("%s: %s", n.name, err)
			}
		})
	}
	stops.Wait()
}

// end frees what the run holds, whatever became of it.
func (s *Soak) end() {
	for _, n := range s.nodes {
		if n.process.Running() {
			n.process.Resume()
			n.process.Kill()
		}
		n.toStore.Close()
		n.toClients.Close()
		_ = n.process.Log.Close()
	}
	for _, r := range s.replicas {
		r.Stop()
		r.link.Close()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	if s.dutiesServer != nil {
		_ = s.dutiesServer.Close()
	}
}
