package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/doorstep/doorstep/platform/platformtest"
)

// Figures of the deployment "Shared Remittance Platform, Dakar Rollouts".
const (
	host           = "ficu95.example"
	contactTimeout = 3 * time.Second
	heartbeat      = 1200 * time.Millisecond
	drainTimeout   = 2 * time.Second
	memoryMb       = 344
)

var zones = []string{"plateau", "almadies", "diamniadio"}

// run is one run of a case.
type run struct {
	program string
	trouble bool
	folder  string
	store   *platformtest.Store
	started time.Time

	mu     sync.Mutex
	record *os.File
	nodes  []*node
	closed bool
}

func newRun(program, record string, trouble bool) (*run, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &run{program: program, trouble: trouble, folder: folder, record: file, store: platformtest.NewStore(), started: time.Now()}
	r.note("trouble: %t", trouble)
	return r, nil
}

// note writes a line of the record, with the seconds since the start.
func (r *run) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes.
func (r *run) close() {
	r.mu.Lock()
	nodes := r.nodes
	r.closed = true
	r.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	_ = os.RemoveAll(r.folder)
}

// serveStore opens an address of the store for one node. before may answer a call in the store's place.
func (r *run) serveStore(before func(w http.ResponseWriter, request *http.Request) bool) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			if before == nil || !before(w, request) {
				r.store.ServeHTTP(w, request)
			}
		}))
	}()
	return listener.Addr().String(), nil
}

// node is a process of the project's own program.
type node struct {
	run            *run
	name, zone     string
	address, ready string
	settings       string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newNode writes the settings of a node as platform/settings.tmpl lays them out, and starts it.
func (r *run) newNode(number int, before func(w http.ResponseWriter, request *http.Request) bool) (*node, error) {
	zone := zones[number%len(zones)]
	n := &node{run: r, name: fmt.Sprintf("frontend-%s-%d", zone, number), zone: zone}
	store, err := r.serveStore(before)
	if err != nil {
		return nil, err
	}
	var metrics string
	for _, address := range []*string{&n.address, &n.ready, &metrics} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	n.settings = filepath.Join(r.folder, n.name+".yaml")
	text := fmt.Sprintf(`name: %q
zone: %q
region: "dakar"
zones:
  - {name: "plateau", region: "dakar" }
  - {name: "almadies", region: "dakar" }
  - {name: "diamniadio", region: "dakar" }
listen:
  requests: %q
  readiness: %q
  metrics: %q
store:
  address: %q
orders:
  pause_ms: 3000
cold:
  overshoot: 1
  slack: 0
tenants:
  strict: false
  revocation_ms: 0
shutdown:
  grace_s: 8
processor:
  share: 0.8
memory:
  limit_mb: %d
log:
  level: info
  json: true
`, n.name, n.zone, n.address, n.ready, metrics, store, memoryMb)
	if err := os.WriteFile(n.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	return n, n.start()
}

// start starts the process.
func (n *node) start() error {
	n.run.mu.Lock()
	closed := n.run.closed
	n.run.mu.Unlock()
	if closed {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(n.run.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(n.run.program)
	command.Env = append(os.Environ(), "DOORSTEP_SETTINGS="+n.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = command, exited
	n.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	n.run.note("node %s starts, process %d", n.name, command.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(signal)
	}
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// running reports the process id, 0 if the process has ended.
func (n *node) running() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return 0
	}
	select {
	case <-n.exited:
		return 0
	default:
		return n.command.Process.Pid
	}
}

// log returns what the process has logged.
func (n *node) log() string {
	content, _ := os.ReadFile(filepath.Join(n.run.folder, n.name+".log"))
	return string(content)
}

// awaitReady waits until all nodes answer the platform's readiness question with 200.
func (r *run) awaitReady(nodes []*node) bool {
	until := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				r.note("node %s does not get ready: %s", n.name, n.log())
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + n.ready + "/doorstep/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// startNodes starts nodes and waits until they are ready.
func (r *run) startNodes(count int) []*node {
	var nodes []*node
	for i := range count {
		n, err := r.newNode(i, nil)
		if err != nil {
			r.note("node %d: %v", i, err)
			return nil
		}
		nodes = append(nodes, n)
	}
	if !r.awaitReady(nodes) {
		return nil
	}
	return nodes
}

// route and service are entries of a configuration.
type route struct {
	Name       string  `json:"name"`
	Hostname   string  `json:"hostname"`
	PathPrefix string  `json:"path_prefix"`
	Kind       string  `json:"route_kind"`
	TimeoutMs  int     `json:"timeout_ms"`
	TargetMs   int     `json:"target_latency_ms"`
	Priority   int     `json:"priority"`
	Attempts   int     `json:"max_attempts"`
	Service    string  `json:"service"`
	MaxQueueS  float64 `json:"max_queue_s,omitempty"`
	ResultMs   int     `json:"result_deadline_ms,omitempty"`
}

type service struct {
	Name            string         `json:"name"`
	ConnectionLimit int            `json:"connection_limit"`
	Engine          map[string]any `json:"engine,omitempty"`
}

// configure writes a configuration, as the operator does.
func (r *run) configure(version int, routes []route, services []service) {
	content, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	r.store.Put("op", "config", content)
}
