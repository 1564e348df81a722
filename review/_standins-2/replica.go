package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a replica of a plain service. Each start is a new incarnation with a new id at the same address.
type replica struct {
	run           *run
	service, zone string
	address       string
	slots         int
	// serve runs a request. It returns the status and the body.
	serve func(one *replica, request *http.Request, body []byte) (int, []byte)

	mu          sync.Mutex
	id          string
	listener    net.Listener
	connections map[net.Conn]bool
	up          bool
	draining    bool
	stopped     chan struct{}
	busy        chan struct{}
	crashes     int
}

var incarnations atomic.Int64

func newReplica(r *run, service, zone string, slots int, serve func(*replica, *http.Request, []byte) (int, []byte)) (*replica, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	one := &replica{run: r, service: service, zone: zone, address: address, slots: slots, serve: serve}
	return one, one.start()
}

// start starts an incarnation.
func (one *replica) start() error {
	listener, err := net.Listen("tcp", one.address)
	if err != nil {
		return err
	}
	one.mu.Lock()
	one.id = fmt.Sprintf("i-%08x", incarnations.Add(1))
	one.listener, one.connections, one.up, one.draining = listener, map[net.Conn]bool{}, true, false
	one.stopped, one.busy = make(chan struct{}), make(chan struct{}, one.slots)
	stopped := one.stopped
	one.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(one.handle), ConnState: one.observe}
	go func() { _ = server.Serve(listener) }()
	go one.beat(stopped)
	return nil
}

func (one *replica) observe(conn net.Conn, state http.ConnState) {
	one.mu.Lock()
	defer one.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(one.connections, conn)
		return
	}
	one.connections[conn] = true
}

func (one *replica) name() string {
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.id
}

// beat keeps the entry in the platform's store. It goes after three heartbeats of silence.
func (one *replica) beat(stopped chan struct{}) {
	id := one.name()
	for sequence := 0; ; sequence++ {
		one.put(id, sequence)
		select {
		case <-stopped:
			time.Sleep(3 * heartbeat)
			one.run.store.Remove("servers", id)
			return
		case <-time.After(heartbeat):
		}
	}
}

func (one *replica) put(id string, sequence int) {
	one.mu.Lock()
	state := "ready"
	if one.draining {
		state = "draining"
	}
	current := one.id == id && one.up
	one.mu.Unlock()
	if !current {
		return
	}
	entry, err := json.Marshal(map[string]any{
		"service": one.service, "address": one.address, "zone": one.zone, "version": "1", "slots": one.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": sequence,
	})
	if err != nil {
		panic(err)
	}
	one.run.store.Put("servers", id, entry)
}

// crash ends the incarnation at once: nothing listens any more, and its connections are reset.
func (one *replica) crash(why string) {
	one.mu.Lock()
	if !one.up {
		one.mu.Unlock()
		return
	}
	one.up = false
	one.crashes++
	id := one.id
	close(one.stopped)
	_ = one.listener.Close()
	for conn := range one.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	one.mu.Unlock()
	one.run.note("replica %s crashes: %s", id, why)
}

// leave ends the incarnation as planned: it says that it drains, serves on for a while, and ends.
func (one *replica) leave() {
	one.mu.Lock()
	one.draining = true
	id := one.id
	one.mu.Unlock()
	one.put(id, -1)
	one.run.note("replica %s drains", id)
	time.Sleep(drainTimeout + time.Second)
	one.mu.Lock()
	one.up = false
	close(one.stopped)
	_ = one.listener.Close()
	one.mu.Unlock()
	one.run.store.Remove("servers", id)
	one.run.note("replica %s has ended", id)
}

func (one *replica) handle(w http.ResponseWriter, request *http.Request) {
	id := one.name()
	w.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	one.mu.Lock()
	busy := one.busy
	one.mu.Unlock()
	timeout, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	if err != nil {
		timeout = 30_000
	}
	select {
	case busy <- struct{}{}:
	case <-time.After(time.Duration(timeout) * time.Millisecond):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-request.Context().Done():
		return
	}
	defer func() { <-busy }()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(busy), one.slots))
	status, content := one.serve(one, request, body)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("3e1b.%s.%s", id, request.Header.Get("X-Attempt-Id")))
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}
