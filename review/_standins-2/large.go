package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	scanService  = "scan-api"
	scanDeadline = 10 * time.Second
	// scanWork is how long a replica works on a request. Three replicas of six slots complete 12 a second.
	scanWork = 1500 * time.Millisecond
	// scanBytes is the size of a request's body: three quarters of the limit of the configuration.
	scanBytes = 24 << 20
	// In calm times each node gets callers callers, each of which sends its next request callerPause after the last answer.
	// A burst is burstFactor times as many for burstTime. Bursts come burstGap after one another.
	callers     = 4
	callerPause = 2 * time.Second
	burstFactor = 5
	burstTime   = 5 * time.Second
	burstGap    = 15 * time.Second
	bursts      = 4
	// A process over its memory limit is killed, and started again after restartDelay.
	restartDelay = 500 * time.Millisecond
	// The rules allow so many ends of a process in a day, and so many requests that a machine passes on and cuts.
	allowedEnds = 2
	allowedCuts = 3
)

// scanLog is what clients, replicas and the platform see.
type scanLog struct {
	run *run

	mu     sync.Mutex
	begun  map[string]bool
	ends   map[string]int
	peaks  map[string]int
	cut    map[string]int
	served int
	failed map[string]int
}

// memoryOf returns the resident memory of a process in megabytes.
func memoryOf(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// limitMemory acts as the platform: it kills a process over its limit, and starts processes that have ended.
func (l *scanLog) limitMemory(n *node, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		pid := n.running()
		if pid == 0 {
			continue
		}
		used := memoryOf(pid)
		l.mu.Lock()
		l.peaks[n.name] = max(l.peaks[n.name], used)
		l.mu.Unlock()
		if used <= memoryMb {
			continue
		}
		n.signal(syscall.SIGKILL)
		l.mu.Lock()
		l.ends[n.name]++
		l.mu.Unlock()
		l.run.note("node %s has %d MB, over its limit of %d MB, and is killed", n.name, used, memoryMb)
		n.kill()
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			l.run.note("node %s does not start again: %v", n.name, err)
		}
	}
}

// call sends requests on one connection, kept as long as the node keeps it, until the time given.
func (l *scanLog) call(n *node, until time.Time, body []byte) {
	client := http.Client{Timeout: scanDeadline + time.Second, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for time.Now().Before(until) {
		l.one(&client, n, body)
		time.Sleep(callerPause)
	}
}

func (l *scanLog) one(client *http.Client, n *node, body []byte) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequest(http.MethodPost, "http://"+n.address+"/scan/"+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	// No silent repetition by the client library: a repetition would be another client attempt.
	request.GetBody = nil
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(scanDeadline.Milliseconds(), 10))
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	answer, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && answer.StatusCode == http.StatusOK:
		l.served++
	case err == nil:
		l.failed[strconv.Itoa(answer.StatusCode)]++
	default:
		l.failed["closed"]++
		if kept && l.begun[id] {
			l.cut[n.name]++
			l.run.note("client attempt %s on a kept connection to %s: begun by a replica, and closed without an answer", id, n.name)
		}
	}
}

// largeBodies: a burst of requests with large bodies.
func largeBodies(r *run) int {
	r.configure(1, []route{{
		Name: "scan", Hostname: host, PathPrefix: "/scan/", Kind: "non_idempotent", TimeoutMs: 10000, TargetMs: 2000, Priority: 2, Attempts: 3, Service: scanService,
	}}, []service{{Name: scanService, ConnectionLimit: 100}})
	l := &scanLog{run: r, begun: map[string]bool{}, ends: map[string]int{}, peaks: map[string]int{}, cut: map[string]int{}, failed: map[string]int{}}
	serve := func(_ *replica, request *http.Request, body []byte) (int, []byte) {
		if len(body) != scanBytes {
			return http.StatusBadRequest, nil
		}
		l.mu.Lock()
		l.begun[request.Header.Get("X-Attempt-Id")] = true
		l.mu.Unlock()
		time.Sleep(scanWork)
		return http.StatusOK, []byte("scanned")
	}
	for _, zone := range zones {
		if _, err := newReplica(r, scanService, zone, 6, serve); err != nil {
			r.note("replica: %v", err)
			return exitNotRun
		}
	}
	nodes := r.startNodes(3)
	if nodes == nil {
		return exitNotRun
	}
	body := bytes.Repeat([]byte("scan"), scanBytes/4)
	stop := make(chan struct{})
	began := time.Now()
	end := began.Add(5*time.Second + bursts*burstGap)
	var wait sync.WaitGroup
	for _, n := range nodes {
		go l.limitMemory(n, stop)
		for i := range callers {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * callerPause / callers)
				l.call(n, end, body)
			})
		}
	}
	for number := range bursts {
		time.Sleep(time.Until(began.Add(5*time.Second + time.Duration(number)*burstGap)))
		if !r.trouble {
			continue
		}
		r.note("a burst of %d times the traffic begins, for %v", burstFactor, burstTime)
		until := time.Now().Add(burstTime)
		for _, n := range nodes {
			for i := range (burstFactor - 1) * callers {
				wait.Go(func() {
					time.Sleep(time.Duration(i) * callerPause / ((burstFactor - 1) * callers))
					l.call(n, until, body)
				})
			}
		}
	}
	wait.Wait()
	close(stop)
	l.mu.Lock()
	defer l.mu.Unlock()
	r.note("served %d, not served %v, peak memory in MB %v, ends over the memory limit %v, passed on and cut %v", l.served, l.failed, l.peaks, l.ends, l.cut)
	ended, cut := 0, false
	for _, n := range nodes {
		if l.ends[n.name] > allowedEnds {
			ended++
		}
		cut = cut || l.cut[n.name] > allowedCuts
	}
	if ended >= 2 || cut {
		return exitBroken
	}
	return exitHeld
}
