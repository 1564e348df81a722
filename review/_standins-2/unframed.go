package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// replicaProcess is the argument that makes this program a single replica.
	replicaProcess   = "text-replica"
	unframedReplicas = 6
	unframedItems    = 12
	unframedEvents   = 40
	// crashAfter is when a replica is killed, after the batch job was accepted. crashTime is how long it is away.
	crashAfter = 1500 * time.Millisecond
	crashTime  = 4500 * time.Millisecond
)

// serveUnframed is a replica in a process of its own. Its answers carry no length and finish when their connections do.
func serveUnframed(address, id string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println("listening:", err)
		os.Exit(exitNotRun)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go answerUnframed(conn, id)
	}
}

func answerUnframed(conn net.Conn, id string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	attempt := request.Header.Get("X-Attempt-Id")
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt, id)
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	fmt.Printf("replica %s begins item %s after event %d\n", id, attempt, after)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: 3e1b.%s.%s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, id, attempt)
	for event := after + 1; event <= unframedEvents; event++ {
		time.Sleep(eventPace)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: event %d of %s\n\n", event, event, attempt); err != nil {
			fmt.Printf("replica %s drops item %s before event %d\n", id, attempt, event)
			return
		}
	}
	fmt.Printf("replica %s has made the last event of item %s\n", id, attempt)
}

// unframedReplica is the process of a replica with its entry in the store.
type unframedReplica struct {
	run           *run
	address, zone string

	mu      sync.Mutex
	command *exec.Cmd
	// begun counts the runs of the current incarnation.
	begun int
}

// start starts an incarnation.
func (u *unframedReplica) start() error {
	id := fmt.Sprintf("i-%08x", incarnations.Add(1))
	command := exec.Command(os.Args[0], replicaProcess, u.address, id)
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	u.mu.Lock()
	u.command = command
	u.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			u.run.note("%s", lines.Text())
			if strings.Contains(lines.Text(), " begins ") {
				u.mu.Lock()
				u.begun++
				u.mu.Unlock()
			}
		}
		_ = command.Wait()
		close(ended)
	}()
	for range 100 {
		if conn, err := net.Dial("tcp", u.address); err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	go func() {
		for sequence := 0; ; sequence++ {
			u.run.store.Put("servers", id, fmt.Appendf(nil,
				`{"service":%q,"address":%q,"zone":%q,"version":"1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":%d,"stage":"bidirectional","models":[{"name":%q,"version":1,"adapters":[]}]}`,
				modelService, u.address, u.zone, sequence, modelName))
			select {
			case <-ended:
				time.Sleep(3 * heartbeat)
				u.run.store.Remove("servers", id)
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

func (u *unframedReplica) kill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.command != nil {
		_ = u.command.Process.Signal(syscall.SIGKILL)
	}
}

// busiest returns the replica with the most runs.
func busiest(replicas []*unframedReplica) *unframedReplica {
	most, found := -1, replicas[0]
	for _, one := range replicas {
		one.mu.Lock()
		if one.begun > most {
			most, found = one.begun, one
		}
		one.mu.Unlock()
	}
	return found
}

// crashedUnframed: a replica crashes while it makes texts, and its answers carry no length.
func crashedUnframed(r *run) int {
	r.configure(1, []route{{
		Name: "fraud-narrative", Hostname: host, PathPrefix: "/pufi791/", Kind: "rollout", TimeoutMs: 10000, TargetMs: 400, Priority: 1, Attempts: 3,
		Service: modelService, MaxQueueS: 60, ResultMs: 30000,
	}}, []service{{Name: modelService, ConnectionLimit: 170, Engine: map[string]any{"models": []map[string]any{{"name": modelName, "version": 1}}, "stride": 58, "kv_cache_tokens": 52385}}})
	var replicas []*unframedReplica
	for i := range unframedReplicas {
		address, err := freeAddress()
		if err != nil {
			return exitNotRun
		}
		one := &unframedReplica{run: r, address: address, zone: zones[i%len(zones)]}
		if err := one.start(); err != nil {
			r.note("replica: %v", err)
			return exitNotRun
		}
		defer one.kill()
		replicas = append(replicas, one)
	}
	nodes := r.startNodes(2)
	if nodes == nil {
		return exitNotRun
	}
	time.Sleep(contactTimeout)
	var items []map[string]any
	for i := range unframedItems {
		items = append(items, map[string]any{
			"id": fmt.Sprintf("e5b2907c14da6f%02x", i), "path": fmt.Sprintf("/pufi791/3/%d", i), "body": base64.StdEncoding.EncodeToString([]byte("prompt")), "token_count": 2600, "group_size": "g1",
			"headers": map[string]string{"X-Model-Name": modelName, "X-Token-Usage": "271,2320", "X-Prompt-Prefix": "9c2e41:255,5d07b8:16"},
		})
	}
	content, err := json.Marshal(map[string]any{"training_step": 0, "model": modelName, "min_version": 1, "desired_count": 1, "requests": items})
	if err != nil {
		panic(err)
	}
	answer := sendAs(nodes[0], jobID, http.MethodPost, "/pufi791/7c41e0", content, 5*time.Second, map[string]string{"Content-Type": "application/json"})
	r.note("batch job %s at %s: status %d", jobID, nodes[0].name, answer.status)
	if answer.status != http.StatusAccepted {
		return exitNotRun
	}
	time.Sleep(crashAfter)
	if r.trouble {
		victim := busiest(replicas)
		r.note("the replica with most of the items is killed")
		victim.kill()
		time.AfterFunc(crashTime, func() { _ = victim.start() })
	}
	return checkTexts(r, nodes[1])
}

// checkTexts reads all results and applies rule MIXED: the text of a completed result is the item's whole output.
func checkTexts(r *run, n *node) int {
	code, read := exitHeld, 0
	for until := time.Now().Add(60 * time.Second); read < unframedItems; {
		if time.Now().After(until) {
			r.note("only %d of %d results", read, unframedItems)
			return exitNotRun
		}
		answer := sendAs(n, "", http.MethodGet, fmt.Sprintf("/doorstep/lots/%s?watch_after_revision=%d", jobID, read), nil, 3*time.Second, map[string]string{"X-Wait-Ms": "1000"})
		var page struct {
			Results []struct{ ID, State, Message string } `json:"results"`
		}
		if answer.status != http.StatusOK || json.Unmarshal(answer.body, &page) != nil {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		for _, one := range page.Results {
			read++
			events := len(strings.Split(one.Message, "\n"))
			r.note("position %d: item %s %s with %d of %d events", read-1, one.ID, one.State, events, unframedEvents)
			if one.State == "completed" && events != unframedEvents {
				r.note("rule MIXED is broken here")
				code = exitBroken
			}
		}
	}
	return code
}
