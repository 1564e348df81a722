package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// result is what a client saw of one attempt. Its status is 0 if there was no answer.
type result struct {
	id     string
	status int
	stamp  string
	body   []byte
	err    error
	took   time.Duration
}

// send makes one client attempt on a connection of its own.
func send(n *node, method, path string, body []byte, deadline time.Duration) result {
	return sendAs(n, fmt.Sprintf("%016x", rand.Uint64()), method, path, body, deadline, nil)
}

func sendAs(n *node, id, method, path string, body []byte, deadline time.Duration, header map[string]string) result {
	began := time.Now()
	request, err := http.NewRequest(method, "http://"+n.address+path, bytes.NewReader(body))
	if err != nil {
		return result{id: id, err: err}
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: deadline + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	answer, err := client.Do(request)
	if err != nil {
		return result{id: id, err: err, took: time.Since(began)}
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return result{id: id, status: answer.StatusCode, stamp: answer.Header.Get("X-Server-Stamp"), body: content, err: err, took: time.Since(began)}
}
