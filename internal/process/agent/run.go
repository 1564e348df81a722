package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/doorstep/doorstep/internal/connection/upstream"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// controlTimeout bounds orders and reports; maxControlBytes bounds their responses, and failures of items.
	controlTimeout  = 900 * time.Millisecond
	maxControlBytes = 1 << 20
	// progressInterval is the longest time between progress reports to the node, which can
	// persist only the events reported to it.
	progressInterval = 250 * time.Millisecond
	// runEndMargin is added to the time granted to a replica, which stops by then, before its run is cancelled.
	runEndMargin = time.Second
)

// run sends an item to a replica and reads its event stream to the end.
func (a *Agent) run(ctx context.Context, t task.Run) {
	ctx, cancel := context.WithTimeout(ctx, t.Limit+runEndMargin)
	defer cancel()
	startedAt := time.Now()
	result := a.stream(ctx, cancel, t)
	a.metrics.run(result.Outcome, t.Waited, time.Since(startedAt))
	a.do(func(now time.Time) {
		delete(a.runCancels, t.ID)
		t.Done(now, result)
	})
}

func (a *Agent) stream(ctx context.Context, cancel context.CancelFunc, t task.Run) task.RunResult {
	header := a.itemHeader(t)
	eventTimeout := time.AfterFunc(t.FirstEventTimeout, cancel)
	defer eventTimeout.Stop()
	startedAt := time.Now()
	answer, err := a.upstream.Do(ctx, &upstream.Call{
		Address: t.Address, Method: http.MethodPost, Target: t.Target, Host: t.Host, Header: header, Body: t.Body,
		ID: t.Item, IDOf: a.protocol.RequestID, DeadlinePassed: a.pastDeadline(t.SendBy),
	})
	if err != nil {
		if ctx.Err() != nil {
			return task.RunResult{Outcome: task.RunTimedOut}
		}
		return task.RunResult{Outcome: task.RunUnreachable, Crashed: a.crashedWithError(ctx, t.Address, err)}
	}
	defer answer.Close()
	a.updateLoad(t.Replica, answer.Header)
	result := task.RunResult{Outcome: runOutcome(answer.Status, a.protocol.NotExecuted(answer.Status, answer.Header)), Status: answer.Status}
	if result.Outcome != task.RunCompleted {
		if err := discardControl(answer); err != nil && result.Outcome != task.RunRefused {
			// A part of a failure is no answer, and says nothing of the item.
			result.Outcome = task.RunInterrupted
			result.Crashed = a.crashedWithError(ctx, t.Address, err)
		}
		return result
	}
	if !isEventStream(answer) || a.protocol.Signature(answer.Header) == "" {
		// An empty body would otherwise look like the end of the text.
		result.Outcome = task.RunInterrupted
		return result
	}
	buffers := a.newResponseBuffers()
	defer buffers.end()
	reading := runReader{
		events: a.protocol.NewEventReader(answer), version: a.protocol.Version(answer.Header), last: t.After, reportedAt: time.Now(),
		limits: textLimits{lastID: t.MaxEventID, bytes: t.MaxBytes, buffers: buffers},
	}
	for {
		received, err := reading.next()
		result.Pace = reading.estimator.pace()
		switch {
		case errors.Is(err, io.EOF):
			return result
		case errors.Is(err, errTextTooLong), err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
			result.Outcome, result.Events = task.RunTooLong, nil
			return result
		case err != nil:
			result.Outcome = task.RunInterrupted
			result.Crashed = a.crashedWithError(ctx, t.Address, err)
			return result
		}
		eventTimeout.Reset(t.NextEventTimeout)
		if len(result.Events) == 0 {
			result.FirstEvent = time.Since(startedAt)
		}
		result.Events = append(result.Events, received)
		if reading.reportDue && a.reportProgress(t, result.Events, reading.newPace()) {
			result.Outcome = task.RunSlow
			return result
		}
	}
}

// itemHeader returns the header with which an item's run is sent: what the item holds for its replica, and what this node
// decides in its place.
func (a *Agent) itemHeader(t task.Run) http.Header {
	header := t.Header
	dropConnectionHeaders(header)
	a.protocol.SetRequestID(header, t.Item)
	a.protocol.SetReplicaAndDeadline(header, t.Replica, t.Limit)
	a.setTenantHeader(header, a.jobCaller(t.Tenant))
	a.protocol.SetPriority(header, t.Priority)
	a.protocol.SetLastEvent(header, "")
	if t.After > 0 {
		a.protocol.SetLastEvent(header, strconv.FormatInt(t.After, 10))
	}
	return header
}

// reportProgress reports a run's events to the node, and returns whether to stop the run because
// it is too slow.
func (a *Agent) reportProgress(t task.Run, events []port.ReplicaEvent, pace time.Duration) bool {
	stop := false
	a.do(func(now time.Time) { stop = t.Progress(now, events, pace) })
	return stop
}

// runReader reads a run's events and checks their limits and that their IDs are consecutive.
type runReader struct {
	events    port.EventReader
	limits    textLimits
	version   int64
	last      int64
	estimator paceEstimator
	// paceUpdated reports that the last event produced a new pace estimate, reportDue that the
	// node should be told of the events so far. reportedAt is when it last was.
	paceUpdated, reportDue bool
	reportedAt             time.Time
}

// next returns the next event with the weight version that generated it.
func (r *runReader) next() (port.ReplicaEvent, error) {
	received, err := r.events.Next()
	if err != nil {
		return received, err
	}
	if received.ID != r.last+1 {
		return received, errEventGap
	}
	event := port.ReplicaEvent{ID: received.ID, Data: received.Data, Version: r.version}
	if received.Version > 0 {
		event.Version = received.Version
	}
	if err := r.limits.add(&event); err != nil {
		return event, err
	}
	now := time.Now()
	r.paceUpdated = r.estimator.observe(now)
	r.reportDue = r.paceUpdated || now.Sub(r.reportedAt) >= progressInterval
	if r.reportDue {
		r.reportedAt = now
	}
	r.last, r.version = event.ID, event.Version
	return event, nil
}

// newPace returns the pace estimate if the last event updated it, or else 0.
func (r *runReader) newPace() time.Duration {
	if !r.paceUpdated {
		return 0
	}
	return r.estimator.pace()
}

func runOutcome(status int, notExecuted bool) task.RunOutcome {
	switch {
	case status == http.StatusOK:
		return task.RunCompleted
	case notExecuted:
		return task.RunRefused
	case status == http.StatusUnprocessableEntity:
		return task.RunImpossible
	case status == http.StatusGatewayTimeout:
		return task.RunInterrupted
	}
	return task.RunFailed
}

func (a *Agent) updateLoad(replica string, header http.Header) {
	running, waiting, _, ok := a.protocol.Load(header)
	if !ok {
		return
	}
	a.do(func(now time.Time) {
		if found := a.node.Endpoints().Find(replica); found != nil {
			found.UpdateLoad(now, running, waiting)
		}
	})
}

// orderVersion sends a version orderVersion to a replica.
func (a *Agent) orderVersion(ctx context.Context, t task.OrderVersion) {
	path, body := a.protocol.EncodeOrder(t.Order)
	status := port.VersionOrderUnknown
	code, _, err := a.callReplica(ctx, t.Order.Replica, t.Order.Address, http.MethodPost, path, body, t.Limit)
	if err == nil {
		status = a.protocol.DecodeOrderStatus(code)
	}
	a.do(func(now time.Time) { t.Done(now, status) })
}

// fetchReport requests a replica's state.
func (a *Agent) fetchReport(t task.FetchReport) {
	var report port.ReplicaReport
	code, content, err := a.callReplica(a.base, t.Replica, t.Address, http.MethodGet, a.protocol.ReportPath(), nil, controlTimeout)
	if err == nil && code == http.StatusOK {
		report = a.protocol.DecodeReport(content)
	}
	a.do(func(now time.Time) { t.Done(now, report) })
}

// callReplica makes a short call to one incarnation of a replica and returns the status and body.
func (a *Agent) callReplica(ctx context.Context, replica, address, method, path string, body []byte, limit time.Duration) (int, []byte, error) {
	limit = min(limit, controlTimeout)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	header := http.Header{}
	a.protocol.SetReplicaAndDeadline(header, replica, limit)
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	answer, err := a.upstream.Do(ctx, &upstream.Call{Address: address, Method: method, Target: path, Host: address, Header: header, Body: body})
	if err != nil {
		return 0, nil, err
	}
	defer answer.Close()
	content, err := readControl(answer)
	return answer.Status, content, err
}

// readControl reads a response of at most maxControlBytes. It fails with errResponseTooLarge rather than return a part.
func readControl(response io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(response, maxControlBytes+1))
	if err == nil && len(content) > maxControlBytes {
		return nil, errResponseTooLarge
	}
	return content, err
}

// discardControl reads a response like readControl, without keeping it.
func discardControl(response io.Reader) error {
	size, err := io.Copy(io.Discard, io.LimitReader(response, maxControlBytes+1))
	if err == nil && size > maxControlBytes {
		return errResponseTooLarge
	}
	return err
}
