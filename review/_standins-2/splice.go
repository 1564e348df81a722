package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	modelService = "lm-pool"
	modelName    = "daka510000"
	jobID        = "7c41e09b52d6a3f8"
	itemID       = "e5b2907c14da6f38"
	// splicedItems is the number of items of the batch job, splicedNodes that of the nodes. One of three nodes is turned
	// away, within the share of 0.35 of the pages.
	splicedItems = 6
	splicedNodes = 3
	// textEvents is the length of an item's text, eventPace the time between two events, which differs between items by
	// paceStep.
	textEvents = 90
	eventPace  = 80 * time.Millisecond
	paceStep   = 5 * time.Millisecond
	// keptParts is how many parts of the text the store holds before the trouble begins.
	keptParts = 4
	// restartTime is how long a killed process is away.
	restartTime = 3500 * time.Millisecond
)

// splicedItem returns the id of an item of the batch job.
func splicedItem(number int) string { return fmt.Sprintf("e5b2907c14da6f%02x", number) }

// paceOf returns the time between two events of an item: replicas vary in speed.
func paceOf(item string) time.Duration {
	for number := range splicedItems {
		if item == splicedItem(number) {
			return eventPace + time.Duration(number-splicedItems/2)*paceStep
		}
	}
	return eventPace
}

// textRun is one run of an item at a replica.
type textRun struct {
	item  string
	after int
}

// textReplicas are the replicas of a model. They note which run makes which event, as a sampling model makes
// another text each time.
type textReplicas struct {
	run  *run
	last atomic.Int64
	// check, if set, is called with each request that a replica begins.
	check func(request *http.Request)

	mu   sync.Mutex
	runs map[int]textRun
}

func (m *textReplicas) handle(id string, w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/doorstep/report" {
		_, _ = fmt.Fprintf(w, `{"stage":"bidirectional","models":[{"name":%q,"version":1,"adapters":[]}],"utilization":false,"sequence":0,"queued_requests":0,"running_requests":0,"kv_cache_used":0,"kv_cache_total":52385,"handles":0}`, modelName)
		return
	}
	if m.check != nil {
		m.check(request)
	}
	_, _ = io.Copy(io.Discard, request.Body)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	number := int(m.last.Add(1))
	m.mu.Lock()
	m.runs[number] = textRun{attempt, after}
	m.mu.Unlock()
	m.run.note("replica %s begins run %d of item %s after event %d", id, number, attempt, after)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("3e1b.%s.%s.%d", id, attempt, number))
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for event := after + 1; event <= textEvents; event++ {
		select {
		case <-request.Context().Done():
			m.run.note("run %d is dropped before event %d", number, event)
			return
		case <-time.After(paceOf(attempt)):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: run %d event %d\n\n", event, number, event); err != nil || flush.Flush() != nil {
			return
		}
	}
	m.run.note("run %d has made its last event", number)
}

// startTextReplicas starts the replicas, which keep their entries in the store.
func startTextReplicas(r *run, check func(request *http.Request)) (*textReplicas, error) {
	m := &textReplicas{run: r, check: check, runs: map[int]textRun{}}
	for i, zone := range zones {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		id := fmt.Sprintf("i-7f3a91c%d", i)
		server := &http.Server{Addr: address, Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { m.handle(id, w, request) })}
		go func() { _ = server.ListenAndServe() }()
		go func() {
			for sequence := 0; ; sequence++ {
				r.store.Put("servers", id, fmt.Appendf(nil,
					`{"service":%q,"address":%q,"zone":%q,"version":"1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":%d,"stage":"bidirectional","models":[{"name":%q,"version":1,"adapters":[]}]}`,
					modelService, address, zone, sequence, modelName))
				time.Sleep(heartbeat)
			}
		}()
	}
	return m, nil
}

// transaction is what the store's stand-in reads of a writing call.
type transaction struct {
	Put []struct {
		Table string `json:"table"`
		Key   string `json:"private_key"`
	} `json:"put"`
}

var partKey = regexp.MustCompile(`^` + jobID + `/t/([0-9]+)/[0-9a-f]+-[0-9]+/([0-9]+)$`)

// storeGate is one node's way to the platform's store. It can turn the node away, as the platform may.
type storeGate struct {
	run  *run
	name string

	mu sync.Mutex
	// turnedAway: all calls are answered with 503.
	turnedAway bool
	// onHead is called after a write of the job's head record was answered, onPart after one of a part of the text;
	// onTexts is called before the texts are read.
	onHead  func()
	onPart  func(number int)
	onTexts func()
}

func (g *storeGate) turnAway(on bool) {
	g.mu.Lock()
	g.turnedAway = on
	g.mu.Unlock()
	g.run.note("the store turns %s away: %t", g.name, on)
}

func (g *storeGate) hooks() (func(), func(int), func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.onHead, g.onPart, g.onTexts
}

func (g *storeGate) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

func (g *storeGate) before(w http.ResponseWriter, request *http.Request) bool {
	onHead, onPart, onTexts := g.hooks()
	if request.URL.Path == "/doorstep/rows-get" && strings.HasPrefix(request.URL.Query().Get("range_start"), jobID+"/t/") && onTexts != nil {
		onTexts()
	}
	g.mu.Lock()
	away := g.turnedAway
	g.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	if request.URL.Path != "/doorstep/rows-tx" {
		return false
	}
	content, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	var read transaction
	_ = json.Unmarshal(content, &read)
	request.Body = io.NopCloser(bytes.NewReader(content))
	answered := &statusWriter{ResponseWriter: w}
	g.run.store.ServeHTTP(answered, request)
	if answered.status != http.StatusOK {
		return true
	}
	for _, put := range read.Put {
		if put.Table == "shared" && put.Key == jobID && onHead != nil {
			onHead()
		}
		if found := partKey.FindStringSubmatch(put.Key); found != nil {
			number, _ := strconv.Atoi(found[2])
			g.run.note("%s keeps part %d of the text of item %s", g.name, number, found[1])
			if onPart != nil {
				onPart(number)
			}
		}
	}
	return true
}

type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// splicedText: a node loses a batch job, gets it back without the texts that it kept, and fails.
func splicedText(r *run) int {
	r.configure(1, []route{{
		Name: "fraud-narrative", Hostname: host, PathPrefix: "/pufi791/", Kind: "rollout", TimeoutMs: 10000, TargetMs: 400, Priority: 1, Attempts: 3,
		Service: modelService, MaxQueueS: 60, ResultMs: 60000,
	}}, []service{{Name: modelService, ConnectionLimit: 170, Engine: map[string]any{"models": []map[string]any{{"name": modelName, "version": 1}}, "stride": 58, "kv_cache_tokens": 52385}}})
	replicas, err := startTextReplicas(r, nil)
	if err != nil {
		r.note("replicas: %v", err)
		return exitNotRun
	}
	var gates []*storeGate
	var nodes []*node
	for i := range splicedNodes {
		gate := &storeGate{run: r, name: fmt.Sprintf("frontend-%s-%d", zones[i], i)}
		n, err := r.newNode(i, gate.before)
		if err != nil {
			r.note("node: %v", err)
			return exitNotRun
		}
		gates, nodes = append(gates, gate), append(nodes, n)
	}
	if !r.awaitReady(nodes) {
		return exitNotRun
	}
	time.Sleep(contactTimeout)
	first := nodes[0]
	kept := make(chan int, 64)
	gates[0].set(func() { gates[0].onPart = func(number int) { kept <- number } })
	if !handIn(r, first) {
		return exitNotRun
	}
	if r.trouble && !r.spliceTroubles(nodes, gates, kept) {
		return exitNotRun
	}
	texts := awaitTexts(r, nodes[1])
	if len(texts) != splicedItems {
		return exitNotRun
	}
	code := exitHeld
	for _, item := range slices.Sorted(maps.Keys(texts)) {
		if replicas.verdict(item, texts[item]) == exitBroken {
			code = exitBroken
		}
	}
	return code
}

// spliceTroubles plays the disruptions.
func (r *run) spliceTroubles(nodes []*node, gates []*storeGate, kept chan int) bool {
	first, firstGate := nodes[0], gates[0]
	if !awaitPart(kept, keptParts-1) {
		return r.fail("the text is not kept")
	}
	// 1. The platform's store turns the owner away. Another node takes the job over, and is killed as the process that last
	// wrote to the store under a condition; so is the third.
	taken := make(chan struct{}, len(nodes))
	for i, other := range nodes[1:] {
		gate := gates[i+1]
		var once sync.Once
		gate.set(func() {
			gate.onHead = func() {
				once.Do(func() {
					other.signal(syscall.SIGKILL)
					r.note("%s has taken the job over, and is killed", other.name)
					time.AfterFunc(restartTime, func() { _ = other.start() })
					taken <- struct{}{}
				})
			}
		})
	}
	firstGate.turnAway(true)
	for range nodes[1:] {
		if !await(taken, 10*time.Second) {
			return r.fail("the job is not taken over")
		}
	}
	// 2. The first node is served again, and takes the job back. As it is about to read the texts, the store turns it away
	// once more, for a moment.
	asked := make(chan struct{})
	var asks sync.Once
	firstGate.set(func() {
		firstGate.onTexts = func() {
			asks.Do(func() {
				firstGate.turnAway(true)
				close(asked)
				time.AfterFunc(400*time.Millisecond, func() { firstGate.turnAway(false) })
			})
		}
	})
	firstGate.turnAway(false)
	if !await(asked, 10*time.Second) {
		return r.fail("the job is not taken back")
	}
	for len(kept) > 0 {
		<-kept
	}
	// 3. The first node is killed while it makes the text anew.
	if !awaitPart(kept, 0) {
		return r.fail("the new text is not kept")
	}
	first.kill()
	r.note("%s is killed", first.name)
	return true
}

func (r *run) fail(why string) bool {
	r.note("the case could not run: %s", why)
	return false
}

func await(done chan struct{}, limit time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

func awaitPart(kept chan int, wanted int) bool {
	limit := time.After(15 * time.Second)
	for {
		select {
		case number := <-kept:
			if number >= wanted {
				return true
			}
		case <-limit:
			return false
		}
	}
}

// handIn hands a batch job in.
func handIn(r *run, n *node) bool {
	var items []map[string]any
	for number := range splicedItems {
		items = append(items, map[string]any{
			"id": splicedItem(number), "path": "/pufi791/3/91c4", "body": base64.StdEncoding.EncodeToString([]byte("prompt")), "token_count": 4000,
			"group_size": fmt.Sprintf("g%d", number),
			"headers":    map[string]string{"X-Model-Name": modelName, "X-Token-Usage": "271,3480", "X-Prompt-Prefix": "9c2e41:255,5d07b8:16"},
		})
	}
	body, err := json.Marshal(map[string]any{"training_step": 0, "model": modelName, "min_version": 1, "desired_count": 1, "requests": items})
	if err != nil {
		panic(err)
	}
	answer := sendAs(n, jobID, http.MethodPost, "/pufi791/7c41e0", body, 5*time.Second, map[string]string{"Content-Type": "application/json"})
	r.note("batch job %s at %s: status %d", jobID, n.name, answer.status)
	return answer.status == http.StatusAccepted
}

// awaitTexts reads the texts of all completed items.
func awaitTexts(r *run, n *node) map[string]string {
	texts, read := map[string]string{}, 0
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until) && read < splicedItems; time.Sleep(300 * time.Millisecond) {
		answer := sendAs(n, "", http.MethodGet, fmt.Sprintf("/doorstep/lots/%s?watch_after_revision=%d", jobID, read), nil, 3*time.Second, map[string]string{"X-Wait-Ms": "1000"})
		var page struct {
			Results []struct{ ID, State, Message string } `json:"results"`
		}
		if answer.status != http.StatusOK || json.Unmarshal(answer.body, &page) != nil {
			continue
		}
		for _, one := range page.Results {
			r.note("position %d at %s: item %s %s", read, n.name, one.ID, one.State)
			read++
			if one.State == "completed" {
				texts[one.ID] = one.Message
			}
		}
	}
	if len(texts) < splicedItems {
		r.note("only %d texts; the log of %s:\n%s", len(texts), n.name, n.log())
	}
	return texts
}

// verdict applies rule ORDER: after event n, the text may continue with another run only if that run was asked with
// Last-Event-Id n.
func (m *textReplicas) verdict(item, text string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, code := 0, exitHeld
	for i, line := range strings.Split(text, "\n") {
		var number, event int
		if _, err := fmt.Sscanf(line, "run %d event %d", &number, &event); err != nil || event != i+1 || m.runs[number].item != item {
			m.run.note("item %s: line %d is %q", item, i+1, line)
			return exitBroken
		}
		if number != before {
			m.run.note("item %s: from event %d on, the text is of run %d, which was asked for the events after %d", item, event, number, m.runs[number].after)
			if m.runs[number].after != event-1 {
				m.run.note("rule ORDER is broken here")
				code = exitBroken
			}
		}
		before = number
	}
	return code
}
