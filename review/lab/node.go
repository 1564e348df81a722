package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cannotRun ends the program with the status of a case that could not run.
func cannotRun(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", values...)
	endNodes()
	os.Exit(2)
}

// memoryMB is the memory of a machine in the sheet of the site.
const memoryMB = 334

// node is one machine: a process of the deploy file's command, started again when it ends.
type node struct {
	name, zone         string
	address, readiness string
	settings, log      string
	record             *recorder
	mu                 sync.Mutex
	process            *exec.Cmd
	stopped            bool
	// ownEnds counts the times at which the process ended without a signal of the case.
	ownEnds int
	// ended is closed when the latest process has ended.
	ended chan struct{}
}

var (
	nodesMu sync.Mutex
	nodes   []*node
)

func freeAddress() string {
	listener := listen()
	defer listener.Close()
	return listener.Addr().String()
}

// startNode starts a machine with settings as deploy/system.toml's template lays them out.
func startNode(r *recorder, dir, name, zone, store string) *node {
	n := &node{name: name, zone: zone, address: freeAddress(), readiness: freeAddress(), record: r,
		settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log")}
	text := fmt.Sprintf(`name: %q
zone: %q
region: "trakya"
zones:
  - {name: "edirne-a", region: "trakya" }
  - {name: "edirne-b", region: "trakya" }
  - {name: "kesan", region: "trakya" }
  - {name: "uzunkopru", region: "trakya" }
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
processor:
  share: 0.8
memory:
  limit_mb: %d
log:
  level: info
  json: true
`, name, zone, n.address, n.readiness, freeAddress(), store, memoryMB)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		cannotRun("writing settings: %v", err)
	}
	nodesMu.Lock()
	nodes = append(nodes, n)
	nodesMu.Unlock()
	n.start()
	return n
}

func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return
	}
	output, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("opening a log: %v", err)
	}
	root := os.Getenv("ROOT")
	process := exec.Command(filepath.Join(root, "target/doorstepd"))
	process.Dir = root
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOORSTEP_SETTINGS=" + n.settings}
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		cannotRun("starting %s: %v", n.name, err)
	}
	_ = output.Close()
	n.process, n.ended = process, make(chan struct{})
	n.record.log("node %s: started, process %d", n.name, process.Process.Pid)
	go n.await(process, n.ended)
}

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

func (n *node) await(process *exec.Cmd, ended chan struct{}) {
	err := process.Wait()
	close(ended)
	n.mu.Lock()
	stopped := n.stopped
	if !stopped {
		n.ownEnds++
	}
	n.mu.Unlock()
	if stopped {
		n.record.log("node %s: process %d ended: %v", n.name, process.Process.Pid, err)
		return
	}
	n.record.say("node %s: process %d ended by itself: %v", n.name, process.Process.Pid, err)
	time.Sleep(restartDelay)
	n.start()
}

// signal sends a signal to the process; a stop is not an end by itself.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		n.stopped = true
	}
	n.record.log("node %s: sent signal %v to process %d", n.name, signal, n.process.Process.Pid)
	_ = n.process.Process.Signal(signal)
}

// restart starts a stopped machine again.
func (n *node) restart() {
	n.mu.Lock()
	n.stopped = false
	n.mu.Unlock()
	n.start()
}

func (n *node) ends() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownEnds
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + n.readiness + "/doorstep/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func awaitReady(list []*node) {
	for _, n := range list {
		for until := time.Now().Add(15 * time.Second); !n.ready(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(until) {
				cannotRun("%s did not get ready", n.name)
			}
		}
	}
}

// endNodes ends all processes that the case started.
func endNodes() {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	for _, n := range nodes {
		n.mu.Lock()
		n.stopped = true
		if n.process != nil {
			_ = n.process.Process.Kill()
		}
		n.mu.Unlock()
	}
	for _, n := range nodes {
		<-n.ended
	}
}

// crashLines returns the first lines of the last crash in a node's log.
func (n *node) crashLines() string {
	content, _ := os.ReadFile(n.log)
	at := strings.Index(string(content), "panic: ")
	if at < 0 {
		return ""
	}
	var lines []string
	for _, line := range strings.Split(string(content[at:]), "\n") {
		// Lines that begin with a tab hold paths.
		if !strings.HasPrefix(line, "\t") && len(lines) < 6 {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

// call makes one call of a client on a new connection.
func call(method, address, host, path, id string, header map[string]string, body []byte, timeout time.Duration) (int, http.Header, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, nil, err
	}
	request.Host = host
	if id != "" {
		request.Header.Set("X-Attempt-Id", id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header, content, err
}

func encode(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}
