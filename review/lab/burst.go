package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["burst"] = playBurst }

const (
	// bodyBytes is max_body_bytes of the sheet.
	bodyBytes = 33554432
	// Ten uploads at once share a machine's link of 1,000 Mbit/s.
	uploadsAtOnce = 10
	linkBytesPerS = 125_000_000
	bursts        = 9
)

// anonymousMB returns the memory of a process that is no part of a file.
func anonymousMB(pid int) int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(content), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// limitMemory kills the node's process whenever it exceeds the memory of its machine, as the platform does.
func (n *node) limitMemory() {
	killed, highest := 0, 0
	for {
		time.Sleep(10 * time.Millisecond)
		n.mu.Lock()
		process, stopped := n.process, n.stopped
		n.mu.Unlock()
		if stopped {
			return
		}
		pid := process.Process.Pid
		used := anonymousMB(pid)
		if used > highest {
			highest = used
			n.record.log("node %s: %d MB", n.name, used)
		}
		if used > memoryMB && pid != killed {
			killed = pid
			n.record.say("node %s: process %d uses %d MB of %d MB and is killed", n.name, pid, used, memoryMB)
			_ = process.Process.Signal(syscall.SIGKILL)
		}
	}
}

// pacedBody is a body that is sent at the pace that its share of the link allows.
type pacedBody struct {
	left   *bytes.Reader
	began  time.Time
	sent   int
	perSec float64
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if due := time.Duration(float64(b.sent) / b.perSec * float64(time.Second)); due > time.Since(b.began) {
		time.Sleep(due - time.Since(b.began))
	}
	count, err := b.left.Read(p[:min(len(p), 64<<10)])
	b.sent += count
	return count, err
}

// upload sends a request with a long body.
func upload(address, id string, content []byte, perSec float64) (int, error) {
	request, err := http.NewRequest("POST", "http://"+address+"/quote/"+id, io.NopCloser(&pacedBody{left: bytes.NewReader(content), began: time.Now(), perSec: perSec}))
	if err != nil {
		return 0, err
	}
	request.Host, request.ContentLength = host, int64(len(content))
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "12000")
	client := http.Client{Timeout: 13 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// playBurst has clients send requests with bodies as long as max_body_bytes allows, some at once or one by one.
func playBurst(c *setting) bool {
	s := startStore()
	configure(s, 3, []map[string]any{
		{"name": "quote", "hostname": host, "path_prefix": "/quote/", "route_kind": "idempotent", "timeout_ms": 10000, "target_latency_ms": 400, "max_attempts": 3, "service": "rezervasyon"},
	}, []map[string]any{{"name": "rezervasyon", "connection_limit": 110, "health_path": "/health"}})
	for i, zone := range []string{"edirne-a", "edirne-b", "kesan", "uzunkopru"} {
		startReplica(c.record, s, fmt.Sprintf("i-%d", i), "rezervasyon", zone, 6).enlist()
	}
	var list []*node
	for _, zone := range []string{"edirne-a", "edirne-b", "kesan"} {
		n := startNode(c.record, c.dir, "frontend-"+zone+"-1", zone, s.address)
		list = append(list, n)
		go n.limitMemory()
	}
	awaitReady(list)
	time.Sleep(time.Second)
	content := bytes.Repeat([]byte("x"), bodyBytes)
	var mu sync.Mutex
	answered, unanswered := 0, 0
	send := func(burst, number int, perSec float64) {
		for try := range 2 {
			n := list[(burst+try)%len(list)]
			id := fmt.Sprintf("b%02x%02x%d", burst, number, try)
			status, err := upload(n.address, id, content, perSec)
			c.record.log("client: %s at %s: status %d, %v", id, n.name, status, err)
			if err == nil && status == http.StatusOK {
				mu.Lock()
				answered++
				mu.Unlock()
				return
			}
		}
		mu.Lock()
		unanswered++
		mu.Unlock()
	}
	for burst := range bursts {
		var waiting sync.WaitGroup
		for number := range uploadsAtOnce {
			if !c.trouble {
				send(burst, number, linkBytesPerS)
				continue
			}
			waiting.Add(1)
			go func() {
				defer waiting.Done()
				send(burst, number, linkBytesPerS/uploadsAtOnce)
			}()
		}
		waiting.Wait()
		time.Sleep(3 * time.Second)
	}
	machines := 0
	for _, n := range list {
		if n.ends() >= 3 {
			machines++
		}
		c.record.say("node %s: ended %d times", n.name, n.ends())
	}
	c.record.say("%d requests answered, %d not; %d of %d machines on which processes ended three times", answered, unanswered, machines, len(list))
	return machines >= 2
}
