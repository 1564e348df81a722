package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: rows, transactions, ranges and feeds. It is sound:
// every answer is linearizable and nothing is lost.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	changes []row
	version int64
	changed chan struct{}
	started time.Time
	address string
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type storeAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Ver     int64 `json:"ver"`
	NowMs   int64 `json:"now_ms"`
}

const (
	storeLatency = 4 * time.Millisecond
	pageRows     = 500
	pageBytes    = 1 << 20
	// A transaction holds 100 entries and 1 MB at the most, a row 65,536 bytes.
	transactionRows  = 100
	transactionBytes = 1 << 20
	rowBytes         = 65536
)

func startStore() *store {
	s := &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now(), version: 1}
	listener := listen()
	s.address = listener.Addr().String()
	go http.Serve(listener, s)
	return s
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listening: %v", err)
	}
	return listener
}

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: content, Ver: s.version})
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Ver: s.version, Deleted: true})
}

func (s *store) apply(one row) {
	if one.Deleted {
		delete(s.rows, one.id())
	} else {
		s.rows[one.id()] = one
	}
	s.changes = append(s.changes, one)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch r.Method + " " + r.URL.Path {
	case "POST /doorstep/rows-tx":
		s.commit(w, r)
	case "GET /doorstep/rows-get":
		s.get(w, r)
	case "GET /doorstep/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expected_revision"`
		Put      []row `json:"put"`
		Removals []row `json:"removals"`
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(content) > transactionBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if err := json.Unmarshal(content, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(body.Expected)+len(body.Put)+len(body.Removals) > transactionRows {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, one := range append(append([]row{}, body.Put...), body.Removals...) {
		if len(one.Value) > rowBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if one.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	conflict := false
	var present []row
	for _, expected := range body.Expected {
		have, ok := s.rows[expected.id()]
		if ok {
			present = append(present, have)
		}
		conflict = conflict || have.Ver != expected.Ver
	}
	if conflict {
		answer := storeAnswer{Rows: present, Ver: s.version, NowMs: s.now()}
		s.mu.Unlock()
		write(w, http.StatusPreconditionFailed, answer)
		return
	}
	s.version++
	for _, one := range body.Put {
		one.Ver, one.Deleted = s.version, false
		s.apply(one)
	}
	for _, one := range body.Removals {
		one.Ver, one.Deleted, one.Value = s.version, true, nil
		s.apply(one)
	}
	answer := storeAnswer{Rows: []row{}, Ver: s.version, NowMs: s.now()}
	s.mu.Unlock()
	write(w, http.StatusOK, answer)
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() + 1 }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	from, to := query.Get("range_start"), query.Get("target_version")
	s.mu.Lock()
	rows := []row{}
	for key, one := range s.rows {
		if key.table == query.Get("table") && key.part == query.Get("part") && key.key >= from && (to == "" || key.key < to) {
			rows = append(rows, one)
		}
	}
	answer := storeAnswer{Ver: s.version, NowMs: s.now()}
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	bytes := 0
	for i, one := range rows {
		bytes += len(one.Value)*4/3 + 200
		if i >= limit || i > 0 && bytes > pageBytes {
			rows, answer.HasMore = rows[:i], true
			break
		}
	}
	answer.Rows = rows
	write(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("watch_after_revision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		answer := storeAnswer{Rows: []row{}, Ver: s.version, NowMs: s.now()}
		first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Ver > after })
		for _, one := range s.changes[first:] {
			if one.Table == query.Get("table") {
				answer.Rows = append(answer.Rows, one)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Rows) > 0 {
			write(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			write(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
