package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a replica began to work on.
type run struct {
	replica, id, method, path, host string
	after                           int
	began, ended                    time.Duration
	// whole is set if the replica made the whole answer; the caller may have closed the connection before.
	whole, open, failed bool
	events              int
	version             int
}

// replica is a stand-in of a replica. It is sound but for what its hooks do.
type replica struct {
	id, service, zone, address string
	slots                      int
	record                     *recorder
	store                      *store
	// work is how long a request without a stream takes; events and gap shape a stream.
	work   func(path string) time.Duration
	events func(id string) int
	gap    time.Duration
	models []modelState
	// spoil, if set, tells at which event an answer is spoiled, 0 for none.
	spoil func(id string, first, last int) int
	// endless, if set, tells whether an answer goes on behind its last event without end.
	endless func(id string) bool
	// orderDelay is how long a load takes.
	mu       sync.Mutex
	running  int
	sequence int
	fence    int64
	loading  bool
	runs     []*run
	answers  int
	// fail, if set, tells whether the replica answers a request with a 500 of its own.
	fail    func(id string) bool
	crashMu sync.Mutex
	starts  int
	server  *http.Server
}

type modelState struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

const (
	endlessBlock = 128 << 10
	endlessPause = time.Millisecond
	endlessBytes = 4 << 10
)

// loadTime is how long a change of version takes.
const loadTime = 900 * time.Millisecond

func startReplica(rec *recorder, s *store, id, service, zone string, slots int) *replica {
	r := &replica{id: id, service: service, zone: zone, slots: slots, record: rec, store: s,
		work:   func(string) time.Duration { return 25 * time.Millisecond },
		events: func(id string) int { return 10 + int(hash(id)%26) },
		gap:    20 * time.Millisecond}
	listener := listen()
	r.address = listener.Addr().String()
	r.server = &http.Server{Handler: r}
	go r.server.Serve(listener)
	return r
}

func hash(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

// enlist writes the replica's entry.
func (r *replica) enlist() { r.store.put("servers", r.id, r.entry()) }

func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "1", "slots": r.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence}
	if r.models != nil {
		entry["models"] = append([]modelState{}, r.models...)
		entry["stage"] = "bidirectional"
	}
	return entry
}

func (r *replica) versionOf(model string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.models {
		if one.Name == model {
			return one.Version
		}
	}
	return 0
}

func eventText(id string, number int) string {
	return fmt.Sprintf("%s piece %d of a draft", id, number)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if wanted := q.Header.Get("X-Expect-Instance"); wanted != "" && wanted != r.id {
		w.Header().Set("X-Attempt-Id", q.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.Method + " " + q.URL.Path {
	case "GET /doorstep/report":
		r.report(w)
		return
	case "POST /doorstep/order":
		r.order(w, q)
		return
	case "GET /health":
		w.Header().Set("X-Instance-Id", r.id)
		return
	}
	r.serve(w, q)
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	body := map[string]any{"stage": "bidirectional", "models": append([]modelState{}, r.models...), "utilization": r.loading, "sequence": r.sequence,
		"queued_requests": 0, "running_requests": r.running, "kv_cache_used": 0, "kv_cache_total": 83311, "handles": 0}
	r.mu.Unlock()
	write(w, http.StatusOK, body)
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var body struct {
		Operation, Model, Holder string
		Version                  int
		FencingToken             int64 `json:"fencing_token"`
		ExpectedRevision         *int  `json:"expected_revision"`
	}
	if err := json.NewDecoder(q.Body).Decode(&body); err != nil || body.Operation != "version" || body.Holder == "" || body.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusBadRequest
	for i := range r.models {
		if r.models[i].Name != body.Model {
			continue
		}
		switch {
		case r.models[i].Version == body.Version:
			status = http.StatusOK
		case r.loading || body.ExpectedRevision != nil && *body.ExpectedRevision != r.sequence:
			status = http.StatusConflict
		default:
			status = http.StatusAccepted
			r.sequence++
			r.loading = true
			model := i
			time.AfterFunc(loadTime, func() {
				r.mu.Lock()
				r.models[model].Version, r.loading = body.Version, false
				r.mu.Unlock()
				r.enlist()
			})
		}
	}
	r.record.log("replica %s: order %s version %d by %s, fence %d: %d", r.id, body.Model, body.Version, body.Holder, body.FencingToken, status)
	w.WriteHeader(status)
}

// begin takes a slot, or refuses the request as a full replica does.
func (r *replica) begin(w http.ResponseWriter, q *http.Request) *run {
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", r.running, r.slots))
	if id == "" || r.running >= 4*r.slots || r.loading {
		w.Header().Set("X-Not-Executed", "1")
		if id == "" {
			w.WriteHeader(http.StatusBadRequest)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return nil
	}
	r.running++
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	one := &run{replica: r.id, id: id, method: q.Method, path: q.URL.RequestURI(), host: q.Host, after: after, began: r.record.at(), open: true}
	r.runs = append(r.runs, one)
	return one
}

func (r *replica) end(one *run, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	one.open, one.whole, one.ended = false, whole, r.record.at()
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	one := r.begin(w, q)
	if one == nil {
		return
	}
	w.Header().Set("X-Server-Stamp", "stamp."+r.id+"."+one.id)
	deadline := time.Now().Add(30 * time.Second)
	if left, err := strconv.Atoi(q.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(left) * time.Millisecond)
	}
	if r.fail != nil && r.fail(one.id) {
		one.failed = true
		r.record.log("replica %s: answers %s after event %d with a 500 of its own", r.id, one.id, one.after)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprint(w, "failed")
		r.end(one, true)
		return
	}
	r.record.log("replica %s: runs %s %s %s after %d, %d bytes", r.id, one.id, q.Method, q.URL.RequestURI(), one.after, len(body))
	if strings.HasPrefix(q.URL.Path, "/plan/") || strings.HasPrefix(q.URL.Path, "/stream/") {
		r.stream(w, q, one, deadline)
		return
	}
	select {
	case <-time.After(min(r.work(q.URL.Path), time.Until(deadline))):
	case <-q.Context().Done():
		r.end(one, false)
		r.record.log("replica %s: %s: the caller closed the connection", r.id, one.id)
		return
	}
	if time.Now().After(deadline) {
		r.end(one, false)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = fmt.Fprintf(w, "answer to %s by %s", one.id, r.id)
	r.end(one, true)
	r.record.log("replica %s: answered %s", r.id, one.id)
}

// stream answers with events; those up to Last-Event-Id are left out.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, one *run, deadline time.Time) {
	total := r.events(one.id)
	model := q.Header.Get("X-Model-Name")
	if model != "" {
		one.version = r.versionOf(model)
		w.Header().Set("X-Weight-Versions", strconv.Itoa(one.version))
	}
	spoiled := 0
	if r.spoil != nil {
		spoiled = r.spoil(one.id, one.after+1, total)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for number := one.after + 1; number <= total; number++ {
		select {
		case <-time.After(r.gap):
		case <-q.Context().Done():
			r.end(one, false)
			r.record.log("replica %s: %s: the caller closed the connection after event %d", r.id, one.id, one.events)
			return
		}
		if time.Now().After(deadline) {
			r.end(one, false)
			panic(http.ErrAbortHandler)
		}
		if number == spoiled {
			r.record.say("replica %s: event %d of %s is spoiled, the answer breaks off", r.id, number, one.id)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\xff\xfe\x80\xc3\x28\n\n", number, one.id)
			_ = control.Flush()
			r.end(one, false)
			panic(http.ErrAbortHandler)
		}
		version := ""
		if now := r.versionOf(model); model != "" && now != one.version {
			one.version = now
			version = fmt.Sprintf("x-weight-versions: %d\n", now)
		}
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", version, number, eventText(one.id, number)); err != nil {
			r.end(one, false)
			return
		}
		_ = control.Flush()
		one.events = number
	}
	if r.endless != nil && r.endless(one.id) {
		r.sendWithoutEnd(w, q, one, total)
		return
	}
	r.end(one, true)
}

// sendWithoutEnd goes on behind the last event of an answer until the caller closes the connection.
func (r *replica) sendWithoutEnd(w http.ResponseWriter, q *http.Request, one *run, last int) {
	r.record.say("replica %s: the answer to %s does not end", r.id, one.id)
	sent := 0
	for q.Context().Err() == nil {
		var block bytes.Buffer
		for block.Len() < endlessBlock {
			last++
			fmt.Fprintf(&block, "id: %d\ndata: %s\n\n", last, endlessText)
		}
		count, err := w.Write(block.Bytes())
		sent += count
		if err != nil {
			break
		}
		time.Sleep(endlessPause)
	}
	r.record.say("replica %s: the connection of %s was closed after %d events, %d bytes too many", r.id, one.id, last, sent)
	r.end(one, false)
}

// listenAgain starts the replica's server anew at its address.
func (r *replica) listenAgain() {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		cannotRun("replica %s: %v", r.id, err)
	}
	r.crashMu.Lock()
	r.server = &http.Server{Handler: r}
	server := r.server
	r.starts++
	r.id = fmt.Sprintf("%s.%d", strings.Split(r.id, ".")[0], r.starts)
	r.crashMu.Unlock()
	r.record.log("replica %s: started", r.id)
	go server.Serve(listener)
	r.enlist()
}

// taken returns the runs of a request.
func (r *replica) taken(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []run
	for _, one := range r.runs {
		if one.id == id {
			list = append(list, *one)
		}
	}
	return list
}

// endlessText is the text of an event that is one too many.
var endlessText = strings.Repeat("more", endlessBytes/4)
