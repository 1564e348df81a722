package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	smuggledID   = "00000000000000ff"
	smuggledPath = "/other/tenant"
	// smuggledTime is how long the replicas are watched after the batch job was handed in. The item takes 7.2 s.
	smuggledTime = 10 * time.Second
)

// smuggledRequest: an item of a batch job holds a second request in its body, and a header that lets it out.
func smuggledRequest(r *run) int {
	r.configure(1, []route{{
		Name: "fraud-narrative", Hostname: host, PathPrefix: "/pufi791/", Kind: "rollout", TimeoutMs: 10000, TargetMs: 400, Priority: 1, Attempts: 3,
		Service: modelService, MaxQueueS: 60, ResultMs: 30000,
	}}, []service{{Name: modelService, ConnectionLimit: 170, Engine: map[string]any{"models": []map[string]any{{"name": modelName, "version": 1}}, "stride": 58, "kv_cache_tokens": 52385}}})
	var mu sync.Mutex
	unasked := 0
	check := func(request *http.Request) {
		id := request.Header.Get("X-Attempt-Id")
		r.note("a replica begins %s %s of host %s, id %s, expected instance %q", request.Method, request.URL.Path, request.Host, id, request.Header.Get("X-Expect-Instance"))
		if id != itemID {
			mu.Lock()
			unasked++
			mu.Unlock()
			r.note("rule UNASKED is broken here: no client sent a request with this id")
		}
	}
	if _, err := startTextReplicas(r, check); err != nil {
		r.note("replicas: %v", err)
		return exitNotRun
	}
	nodes := r.startNodes(2)
	if nodes == nil {
		return exitNotRun
	}
	time.Sleep(contactTimeout)
	headers := map[string]string{"X-Model-Name": modelName, "X-Token-Usage": "271,3480", "X-Prompt-Prefix": "9c2e41:255,5d07b8:16"}
	if r.trouble {
		headers["Transfer-Encoding"] = "chunked"
	}
	body := fmt.Sprintf("0\r\n\r\nPOST %s HTTP/1.1\r\nHost: another.example\r\nX-Attempt-Id: %s\r\nContent-Length: 5\r\n\r\nhello", smuggledPath, smuggledID)
	content, err := json.Marshal(map[string]any{
		"training_step": 0, "model": modelName, "min_version": 1, "desired_count": 1,
		"requests": []map[string]any{{
			"id": itemID, "path": "/pufi791/3/91c4", "body": base64.StdEncoding.EncodeToString([]byte(body)), "token_count": 4000, "group_size": "g1", "headers": headers,
		}},
	})
	if err != nil {
		panic(err)
	}
	answer := sendAs(nodes[0], jobID, http.MethodPost, "/pufi791/7c41e0", content, 5*time.Second, map[string]string{"Content-Type": "application/json"})
	r.note("batch job %s with the item's headers %v at %s: status %d", jobID, headers, nodes[0].name, answer.status)
	if !r.trouble && answer.status != http.StatusAccepted {
		return exitNotRun
	}
	time.Sleep(smuggledTime)
	mu.Lock()
	defer mu.Unlock()
	if unasked > 0 {
		return exitBroken
	}
	return exitHeld
}
