package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	statusService  = "status-api"
	statusDeadline = 1500 * time.Millisecond
	statusWork     = 25 * time.Millisecond
	deadlyPath     = "/lohu930/deadly"
	// stopTime is how long a replica takes to stop the work on a request whose time is up.
	stopTime = 10 * time.Millisecond
	// replicaReturn is how long a crashed replica is away.
	replicaReturn = 3 * time.Second
	// releasedReplicas are replaced by two releases of half of them each, one replica a second.
	releasedReplicas = 4
	// allowedRetries is the number of retries that may reach replicas later than the contact timeout after the third
	// crash.
	allowedRetries = 3
)

func statusConfiguration(r *run) {
	r.configure(1, []route{{
		Name: "status-ping", Hostname: host, PathPrefix: "/lohu930/", Kind: "idempotent", TimeoutMs: 1500, TargetMs: 150, Priority: 2, Attempts: 3, Service: statusService,
	}}, []service{{Name: statusService, ConnectionLimit: 100}})
}

// deadlyLog counts what reaches the replicas of a request that crashes them.
type deadlyLog struct {
	run *run

	mu      sync.Mutex
	crashed map[string]bool
	third   time.Time
	late    map[string]int
}

func newDeadlyLog(r *run) *deadlyLog {
	return &deadlyLog{run: r, crashed: map[string]bool{}, late: map[string]int{}}
}

// arrived notes that a client attempt with the request reached a replica.
func (l *deadlyLog) arrived(replica, attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.third.IsZero() && time.Since(l.third) > contactTimeout {
		l.late[attempt]++
	}
	l.run.note("replica %s begins the request, client attempt %s (third crash so far: %t)", replica, attempt, !l.third.IsZero())
}

func (l *deadlyLog) crash(replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed[replica] = true
	if len(l.crashed) == 3 {
		l.third = time.Now()
		l.run.note("this is the third replica that it has crashed")
	}
}

// verdict applies rule BUDGET.
func (l *deadlyLog) verdict() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run.note("it crashed %d incarnations; %d of its retries reached replicas later than %v after the third crash (allowed: %d)",
		len(l.crashed), len(l.late), contactTimeout, allowedRetries)
	if len(l.late) > allowedRetries {
		return exitBroken
	}
	return exitHeld
}

// crashAndReturn crashes a replica and starts it again some seconds later.
func crashAndReturn(one *replica, why string) {
	one.crash(why)
	time.AfterFunc(replicaReturn, func() {
		if err := one.start(); err != nil {
			one.run.note("a replica does not return: %v", err)
		}
	})
}

// ordinary sends ordinary requests to all nodes until stop is closed, and notes how many were served.
func ordinary(r *run, nodes []*node, stop chan struct{}) func() {
	var wait sync.WaitGroup
	var mu sync.Mutex
	served, total := 0, 0
	for i, n := range nodes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(600 * time.Millisecond):
				}
				answer := send(n, http.MethodPost, fmt.Sprintf("/lohu930/%d/%d", i, number), []byte("ordinary"), statusDeadline)
				mu.Lock()
				total++
				if answer.status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		}()
	}
	return func() {
		wait.Wait()
		r.note("ordinary requests: %d of %d served", served, total)
	}
}

// deadlyLate: a request crashes each replica that begins to run it, when the time that the replica was given is up.
func deadlyLate(r *run) int {
	statusConfiguration(r)
	log := newDeadlyLog(r)
	serve := func(one *replica, request *http.Request, _ []byte) (int, []byte) {
		if request.URL.Path != deadlyPath {
			time.Sleep(statusWork)
			return http.StatusOK, []byte("the status")
		}
		id, attempt := one.name(), request.Header.Get("X-Attempt-Id")
		log.arrived(id, attempt)
		given, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
		time.Sleep(time.Duration(given)*time.Millisecond + stopTime)
		if r.trouble {
			log.crash(id)
			crashAndReturn(one, "the request "+deadlyPath)
			return 0, nil
		}
		return http.StatusGatewayTimeout, []byte("too late")
	}
	for _, zone := range zones {
		if _, err := newReplica(r, statusService, zone, 6, serve); err != nil {
			r.note("replica: %v", err)
			return exitNotRun
		}
	}
	nodes := r.startNodes(3)
	if nodes == nil {
		return exitNotRun
	}
	stop := make(chan struct{})
	report := ordinary(r, nodes, stop)
	time.Sleep(contactTimeout)
	for i := range 14 {
		answer := send(nodes[i%len(nodes)], http.MethodPost, deadlyPath, []byte("always the same"), statusDeadline)
		r.note("client attempt %s at %s: status %d after %v", answer.id, nodes[i%len(nodes)].name, answer.status, answer.took.Round(time.Millisecond))
		time.Sleep(3500 * time.Millisecond)
	}
	close(stop)
	report()
	return log.verdict()
}

// deadlyAnswered: a request that replicas have answered crashes each replica that begins to run it, from a release on.
func deadlyAnswered(r *run) int {
	statusConfiguration(r)
	log := newDeadlyLog(r)
	serveAs := func(release int) func(one *replica, request *http.Request, _ []byte) (int, []byte) {
		return func(one *replica, request *http.Request, _ []byte) (int, []byte) {
			if request.URL.Path == deadlyPath && release > 1 && r.trouble {
				id := one.name()
				log.arrived(id, request.Header.Get("X-Attempt-Id"))
				log.crash(id)
				crashAndReturn(one, "the request "+deadlyPath)
				return 0, nil
			}
			time.Sleep(statusWork)
			return http.StatusOK, []byte("the status")
		}
	}
	var old []*replica
	for i := range releasedReplicas {
		one, err := newReplica(r, statusService, zones[i%len(zones)], 6, serveAs(1))
		if err != nil {
			r.note("replica: %v", err)
			return exitNotRun
		}
		old = append(old, one)
	}
	nodes := r.startNodes(3)
	if nodes == nil {
		return exitNotRun
	}
	stop := make(chan struct{})
	report := ordinary(r, nodes, stop)
	ask := func(i int) {
		answer := send(nodes[i%len(nodes)], http.MethodPost, deadlyPath, []byte("always the same"), statusDeadline)
		r.note("client attempt %s at %s: status %d after %v", answer.id, nodes[i%len(nodes)].name, answer.status, answer.took.Round(time.Millisecond))
	}
	for i := range 9 {
		ask(i)
		time.Sleep(300 * time.Millisecond)
	}
	for i := range releasedReplicas {
		if i%(releasedReplicas/2) == 0 {
			r.note("a release of half of the replicas begins")
			time.Sleep(time.Second)
		}
		if _, err := newReplica(r, statusService, zones[i%len(zones)], 6, serveAs(2)); err != nil {
			r.note("replica: %v", err)
			return exitNotRun
		}
		go old[i].leave()
		time.Sleep(time.Second)
	}
	time.Sleep(drainTimeout + 2*time.Second)
	for i := range 16 {
		ask(i)
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	report()
	return log.verdict()
}
