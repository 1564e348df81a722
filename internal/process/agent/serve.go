package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// defaultRetryAfter is the Retry-After value for temporary failures, if the caller has enough time left.
const defaultRetryAfter = 300 * time.Millisecond

// retryAfterBy returns the Retry-After value for a temporary failure, given the caller's deadline; zero if unknown.
func retryAfterBy(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return defaultRetryAfter
	}
	return relay.LimitRetryAfter(defaultRetryAfter, time.Until(deadline))
}

// callerDeadline returns when a caller stops waiting, zero if unknown.
func (a *Agent) callerDeadline(arrivedAt time.Time, header http.Header) time.Time {
	timeout, _ := a.protocol.Deadline(header)
	if timeout <= 0 {
		return time.Time{}
	}
	return arrivedAt.Add(timeout)
}

// Reasons for refusals, which are returned to clients and used as metric labels.
const (
	reasonNoConfiguration  = "no configuration yet"
	reasonNoRoute          = "no such route"
	reasonHeaderTooLarge   = "the head is too large"
	reasonNoID             = "the request has no id"
	reasonBodyTooLarge     = "the body is too large"
	reasonIncompleteBody   = "the body did not come whole"
	reasonNoJob            = "no such batch job"
	reasonInvalidJob       = "the batch job can't be stored"
	reasonIDInUse          = "the id of the batch job is in use"
	reasonStoreTimeout     = "the store did not answer"
	reasonStoreUnavailable = "the store can't be reached"
)

// serve handles all client calls.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	id := a.protocol.RequestID(r.Header)
	a.mu.Lock()
	table := a.node.Routes()
	stopping := a.node.Stopping()
	a.mu.Unlock()
	if stopping {
		w.Header().Set("Connection", "close")
	}
	if a.answering.Err() != nil {
		a.refuse(w, id, http.StatusServiceUnavailable, retryAfterBy(a.callerDeadline(arrivedAt, r.Header)), relay.ReasonShutdown)
		return
	}
	if table == nil {
		a.refuse(w, id, http.StatusServiceUnavailable, retryAfterBy(a.callerDeadline(arrivedAt, r.Header)), reasonNoConfiguration)
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
	caller, ok := a.admit(w, r, id, table, route.AllowAnonymous)
	if !ok {
		return
	}
	limits := table.Limits()
	if limits.HeaderBytes > 0 && headerSize(r) > limits.HeaderBytes {
		a.refuse(w, id, http.StatusRequestHeaderFieldsTooLarge, 0, reasonHeaderTooLarge)
		return
	}
	if id == "" {
		a.refuse(w, id, http.StatusBadRequest, 0, reasonNoID)
		return
	}
	timeout, _ := a.protocol.Deadline(r.Header)
	deadline := arrivedAt.Add(relay.TimeAllowed(route, timeout))
	body, ok := a.readBody(w, r, id, limits.BodyBytes, deadline)
	if !ok {
		return
	}
	switch route.Kind {
	case port.RouteBatch:
		a.acceptJob(w, r, deadline, route, caller, id, body)
	case port.RouteStreaming:
		a.forwardStream(w, a.newExchange(r, arrivedAt, route, caller, id, body))
	case port.RouteIdempotent, port.RouteNonIdempotent:
		a.forward(w, a.newExchange(r, arrivedAt, route, caller, id, body))
	}
}

// headerSize returns the size of a request line and headers.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// readBody reads the full body before anything is forwarded, so that a truncated request is
// never run. A body that is incomplete at the request's deadline is of no use to the caller any more, and one that is
// incomplete when the node exits must be sent to another node.
func (a *Agent) readBody(w http.ResponseWriter, r *http.Request, id string, limit int64, deadline time.Time) ([]byte, bool) {
	if limit > 0 {
		if r.ContentLength > limit {
			w.Header().Set("Connection", "close")
			a.refuse(w, id, http.StatusRequestEntityTooLarge, 0, reasonBodyTooLarge)
			return nil, false
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	interrupted := make(chan struct{})
	stopInterrupt := context.AfterFunc(a.answering, func() {
		defer close(interrupted)
		_ = control.SetReadDeadline(time.Now())
	})
	body, err := io.ReadAll(r.Body)
	if !stopInterrupt() {
		// A read deadline that is set after the body was read would cancel the request.
		<-interrupted
	}
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, true
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		a.refuse(w, id, http.StatusRequestEntityTooLarge, 0, reasonBodyTooLarge)
	case a.answering.Err() != nil:
		a.refuse(w, id, http.StatusServiceUnavailable, retryAfterBy(deadline), relay.ReasonShutdown)
	default:
		a.refuse(w, id, http.StatusRequestTimeout, 0, reasonIncompleteBody)
	}
	return nil, false
}

// refuse responds with an error generated by this node.
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
		panic("encode refusal: " + err.Error())
	}
	w.WriteHeader(status)
	_, _ = w.Write(content)
	a.metrics.refusal(status, reason)
	a.log.add(event.RequestRefused, append([]any{"request", id, "status", status, "reason", reason, "retry_after_ms", after.Milliseconds()}, fields...)...)
}
