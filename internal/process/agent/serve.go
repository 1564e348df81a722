package agent

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
)

const (
	// comeBack is told to callers that this node can't serve for the moment.
	comeBack = 300 * time.Millisecond
	// bodyWithin bounds the reading of a body where no route says how long.
	bodyWithin = 30 * time.Second
)

// Reasons of refusals.
const (
	reasonNoConfiguration = "no configuration yet"
	reasonNoRoute         = "no such route"
	reasonLargeHead       = "the head is too large"
	reasonNoID            = "the request has no id"
	reasonLargeBody       = "the body is too large"
	reasonCutBody         = "the body did not come whole"
	reasonNoJob           = "no such batch job"
	reasonIDInUse         = "the id of the batch job is in use"
	reasonStoreSilent     = "the store did not answer"
	reasonStoreRefuses    = "the store can't be reached"
)

// serve takes every call of clients.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	id := a.protocol.RequestID(r.Header)
	a.mu.Lock()
	table := a.node.Routes()
	stopping := a.node.Stopping()
	a.mu.Unlock()
	if stopping {
		w.Header().Set("Connection", "close")
	}
	if table == nil {
		a.refuse(w, id, http.StatusServiceUnavailable, comeBack, reasonNoConfiguration)
		return
	}
	if call := a.protocol.DecodeJobCall(r.Method, r.URL); call.Kind != port.NoJobCall {
		a.serveJobCall(w, r, table, call)
		return
	}
	route := table.Match(r.Host, r.URL.Path)
	if route == nil && isTrainerCall(r) {
		a.serveTrainer(w, r, table)
		return
	}
	if route == nil {
		a.refuse(w, id, http.StatusNotFound, 0, reasonNoRoute)
		return
	}
	who, ok := a.admit(w, r, id, table, route.AllowAnonymous)
	if !ok {
		return
	}
	limits := table.Limits()
	if limits.HeaderBytes > 0 && headSize(r) > limits.HeaderBytes {
		a.refuse(w, id, http.StatusRequestHeaderFieldsTooLarge, 0, reasonLargeHead)
		return
	}
	if id == "" {
		a.refuse(w, id, http.StatusBadRequest, 0, reasonNoID)
		return
	}
	body, ok := a.readBody(w, r, id, limits.BodyBytes)
	if !ok {
		return
	}
	switch route.Kind {
	case port.RouteBatch:
		a.acceptJob(w, r, route, who, id, body)
	case port.RouteStreaming:
		a.forwardStream(w, a.newExchange(r, route, who, id, body))
	case port.RouteIdempotent, port.RouteNonIdempotent:
		a.forward(w, a.newExchange(r, route, who, id, body))
	}
}

// headSize returns the bytes of a request's head, but for its line ends.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// readBody reads the whole body before anything is sent on, so that a request that
// ends early runs nowhere.
func (a *Agent) readBody(w http.ResponseWriter, r *http.Request, id string, limit int64) ([]byte, bool) {
	if limit > 0 {
		if r.ContentLength > limit {
			w.Header().Set("Connection", "close")
			a.refuse(w, id, http.StatusRequestEntityTooLarge, 0, reasonLargeBody)
			return nil, false
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyWithin))
	body, err := io.ReadAll(r.Body)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, true
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.refuse(w, id, http.StatusRequestEntityTooLarge, 0, reasonLargeBody)
	} else {
		a.refuse(w, id, http.StatusRequestTimeout, 0, reasonCutBody)
	}
	return nil, false
}

// refuse answers with a failure of this node's own.
func (a *Agent) refuse(w http.ResponseWriter, id string, status int, after time.Duration, reason string, fields ...any) {
	if id != "" {
		a.protocol.SetRequestID(w.Header(), id)
	}
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	content, err := json.Marshal(struct {
		Error string `json:"error"`
	}{reason})
	if err != nil {
		panic("a refusal must encode: " + err.Error())
	}
	w.WriteHeader(status)
	_, _ = w.Write(content)
	a.metrics.refusal(status, reason)
	a.log.add(event.RequestRefused, append([]any{"request", id, "status", status, "reason", reason, "retry_after_ms", after.Milliseconds()}, fields...)...)
}
