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
	// controlTimeout bounds orders and reports, controlBytes their answers.
	controlTimeout = 900 * time.Millisecond
	controlBytes   = 1 << 20
	// tellEvery is how often the node is told of a run's events at the least: what it does not
	// know of it can't keep.
	tellEvery = 250 * time.Millisecond
)

// run sends an item to a replica and reads its stream to the end.
func (a *Agent) run(ctx context.Context, t task.Run) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	startedAt := time.Now()
	result := a.stream(ctx, cancel, t)
	a.metrics.run(result.Outcome, t.Waited, time.Since(startedAt))
	a.do(func(now time.Time) {
		delete(a.runs, t.ID)
		t.Done(now, result)
	})
}

func (a *Agent) stream(ctx context.Context, cancel context.CancelFunc, t task.Run) task.RunResult {
	header := t.Header
	a.protocol.SetRequestID(header, t.Item)
	a.protocol.Address(header, t.Replica, t.Limit)
	a.mark(header, a.jobCaller(t.Tenant))
	if t.Urgent {
		a.protocol.Urge(header)
	}
	if t.After > 0 {
		a.protocol.Resume(header, strconv.FormatInt(t.After, 10))
	}
	silence := time.AfterFunc(t.FirstEventTimeout, cancel)
	defer silence.Stop()
	startedAt := time.Now()
	answer, err := a.upstream.Do(ctx, &upstream.Call{
		Address: t.Address, Method: http.MethodPost, Target: t.Target, Host: t.Host, Header: header, Body: t.Body,
		ID: t.Item, IDOf: a.protocol.RequestID, Late: a.lateAfter(t.SendBy),
	})
	if err != nil {
		if ctx.Err() != nil {
			return task.RunResult{Outcome: task.RunTimedOut}
		}
		return task.RunResult{Outcome: task.RunUnreachable, Crashed: a.crashedBy(ctx, t.Address, err)}
	}
	defer answer.Close()
	a.learnLoad(t.Replica, answer.Header)
	result := task.RunResult{Outcome: runOutcome(answer.Status, a.protocol.NotExecuted(answer.Status, answer.Header)), Status: answer.Status}
	if result.Outcome != task.RunCompleted {
		_, _ = io.Copy(io.Discard, answer)
		return result
	}
	reading := runReading{events: a.protocol.NewEventReader(answer), version: a.protocol.Version(answer.Header), last: t.After, toldAt: time.Now()}
	for {
		one, err := reading.next()
		result.Pace = reading.rhythm.pace()
		if errors.Is(err, io.EOF) {
			return result
		}
		if err != nil {
			result.Outcome = task.RunInterrupted
			result.Crashed = a.crashedBy(ctx, t.Address, err)
			return result
		}
		silence.Reset(t.NextEventTimeout)
		if len(result.Events) == 0 {
			result.FirstEvent = time.Since(startedAt)
		}
		result.Events = append(result.Events, one)
		if reading.tell && a.tooSlow(t, result.Events, reading.newPace()) {
			result.Outcome = task.RunSlow
			return result
		}
	}
}

func (a *Agent) tooSlow(t task.Run, events []port.ReplicaEvent, pace time.Duration) bool {
	stop := false
	a.do(func(now time.Time) { stop = t.Progress(now, events, pace) })
	return stop
}

// runReading reads the events of a run: each must follow the one before.
type runReading struct {
	events  port.EventReader
	version int64
	last    int64
	rhythm  rhythm
	// paced says that the last event made the pace known anew, tell that the node is to be
	// told of the events so far, toldAt when that was so last.
	paced, tell bool
	toldAt      time.Time
}

// next returns the next event with the version that made it.
func (r *runReading) next() (port.ReplicaEvent, error) {
	one, err := r.events.Next()
	if err != nil {
		return one, err
	}
	if one.ID != r.last+1 {
		return one, errEventMissing
	}
	now := time.Now()
	r.paced = r.rhythm.note(now)
	r.tell = r.paced || now.Sub(r.toldAt) >= tellEvery
	if r.tell {
		r.toldAt = now
	}
	r.last = one.ID
	if one.Version > 0 {
		r.version = one.Version
	}
	return port.ReplicaEvent{ID: one.ID, Data: one.Data, Version: r.version}, nil
}

// newPace returns the pace if the last event made it known anew, else 0.
func (r *runReading) newPace() time.Duration {
	if !r.paced {
		return 0
	}
	return r.rhythm.pace()
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

func (a *Agent) learnLoad(replica string, header http.Header) {
	running, waiting, _, ok := a.protocol.Load(header)
	if !ok {
		return
	}
	a.do(func(now time.Time) {
		if one := a.node.Endpoints().Find(replica); one != nil {
			one.UpdateLoad(now, running, waiting)
		}
	})
}

// order sends a version order.
func (a *Agent) order(ctx context.Context, t task.OrderVersion) {
	path, body := a.protocol.EncodeOrder(t.Order)
	status := port.VersionOrderUnknown
	code, _, err := a.control(ctx, t.Order.Replica, t.Order.Address, http.MethodPost, path, body, t.Limit)
	if err == nil {
		status = a.protocol.DecodeOrderStatus(code)
	}
	a.do(func(now time.Time) { t.Done(now, status) })
}

// report asks a replica for its state.
func (a *Agent) report(t task.FetchReport) {
	var report port.ReplicaReport
	code, content, err := a.control(a.base, t.Replica, t.Address, http.MethodGet, a.protocol.ReportPath(), nil, controlTimeout)
	if err == nil && code == http.StatusOK {
		report = a.protocol.DecodeReport(content)
	}
	a.do(func(now time.Time) { t.Done(now, report) })
}

// control makes a short call to a replica, bound to its incarnation and within a limit.
func (a *Agent) control(ctx context.Context, replica, address, method, path string, body []byte, limit time.Duration) (int, []byte, error) {
	limit = min(limit, controlTimeout)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	header := http.Header{}
	a.protocol.Address(header, replica, limit)
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	answer, err := a.upstream.Do(ctx, &upstream.Call{Address: address, Method: method, Target: path, Host: address, Header: header, Body: body})
	if err != nil {
		return 0, nil, err
	}
	defer answer.Close()
	content, err := io.ReadAll(io.LimitReader(answer, controlBytes))
	return answer.Status, content, err
}
