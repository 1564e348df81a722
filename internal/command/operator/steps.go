package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// stepsCommand breaks down the duration of batch jobs from saved logs.
func stepsCommand() *cli.Command {
	return &cli.Command{
		Name:  "steps",
		Usage: "break down the duration of each training step from saved logs",
		Flags: []cli.Flag{
			logsFlag(),
			&cli.DurationFlag{Name: "late", Usage: "show only steps whose last item took at least this long"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			logs, closeLogs, err := openLogs(c.StringSlice("logs"))
			if err != nil {
				return command.Fail(command.ExitUsage, err)
			}
			defer closeLogs()
			if err := Steps(c.Root().Writer, c.Duration("late"), logs...); err != nil {
				return command.Fail(command.ExitFailed, err)
			}
			return nil
		},
	}
}

// stepRecord is one batch job as recorded in the logs of all nodes. Times are milliseconds of the record store's
// clock.
type stepRecord struct {
	id, model  string
	step       int
	items      int
	acceptedMs float64
	endedMs    float64
	// ownerChanges counts how often the job was taken over or assigned to another node.
	ownerChanges int
	// runEnds counts runs that did not complete by outcome.
	runEnds   map[task.RunOutcome]int
	completed []itemRecord
	// needlessMoves counts moves after which the item's text ended within needlessMoveEvents.
	needlessMoves int
}

// needlessMoveEvents is the maximum number of events after a move for the move to count as needless.
const needlessMoveEvents = 8

// itemRecord is a completed item.
type itemRecord struct {
	id, group, replica string
	// startMs is when the first run was sent, lastFailureMs when the last incomplete run ended (0 if there was
	// none), completedMs when the text was complete.
	startMs, lastFailureMs, completedMs float64
	events, lastRunEvents               int
	// paceMs is the time between two events of the last run.
	paceMs float64
}

// Steps writes a row for each job in order of acceptance: when its items started and completed, why runs ended
// early, and how the time of the item that completed last was spent. It omits jobs whose last item completed
// sooner than late after acceptance.
func Steps(w io.Writer, late time.Duration, logs ...io.Reader) error {
	lines, err := readLogs(logs)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCEPTED\tJOB\tMODEL\tSTEP\tITEMS\tSTART, MEDIAN\tLAST\tWHOLE, 95%\tLAST\tENDED\tOWNERS\tRUNS REFUSED\tUNREACHABLE\tSILENT\tBROKEN\tSLOW\tNEEDLESSLY\tLAST ITEM")
	for _, step := range collectSteps(lines) {
		if step.lastCompletion() >= late {
			step.write(table)
		}
	}
	return table.Flush()
}

// collectSteps returns the jobs whose acceptance is in the logs, ordered by acceptance.
func collectSteps(lines []*logLine) []*stepRecord {
	steps := map[string]*stepRecord{}
	lastFailures := map[string]float64{}
	for _, line := range lines {
		id := line.text("job")
		if line.number == event.JobAccepted && steps[id] == nil {
			steps[id] = &stepRecord{
				id: id, model: line.text("model"), step: int(line.float("step")), items: int(line.float("items")), acceptedMs: line.clockMs,
				runEnds: map[task.RunOutcome]int{},
			}
		}
		step := steps[id]
		if step == nil {
			continue
		}
		item := id + "/" + line.text("item")
		switch line.number {
		case event.JobTakenOver, event.JobAssigned:
			step.ownerChanges++
		case event.JobEnded:
			step.endedMs = cmp.Or(step.endedMs, line.clockMs)
		case event.ItemRetried:
			step.runEnds[task.RunOutcome(line.float("outcome"))]++
			lastFailures[item] = line.clockMs
		case event.ItemCompleted:
			if line.float("moves") > 0 {
				step.runEnds[task.RunSlow]++
				if line.float("last_run_events") <= needlessMoveEvents {
					step.needlessMoves++
				}
			}
			step.completed = append(step.completed, itemRecord{
				id: line.text("item"), group: line.text("group"), replica: line.text("replica"), startMs: line.clockMs - line.float("since_ms"), lastFailureMs: lastFailures[item],
				completedMs: line.clockMs, events: int(line.float("events")), lastRunEvents: int(line.float("last_run_events")),
				paceMs: line.float("pace_us") / 1000,
			})
		}
	}
	return slices.SortedFunc(maps.Values(steps), func(a, b *stepRecord) int {
		return cmp.Or(cmp.Compare(a.acceptedMs, b.acceptedMs), cmp.Compare(a.id, b.id))
	})
}

// since returns the duration from the job's acceptance to a time.
func (s *stepRecord) since(clockMs float64) time.Duration {
	return time.Duration((clockMs - s.acceptedMs) * float64(time.Millisecond))
}

// lastCompletion returns when the last item completed, 0 if none did.
func (s *stepRecord) lastCompletion() time.Duration {
	if len(s.completed) == 0 {
		return 0
	}
	return s.since(s.lastCompleted().completedMs)
}

// lastCompleted returns the item that completed last.
func (s *stepRecord) lastCompleted() itemRecord {
	return slices.MaxFunc(s.completed, func(a, b itemRecord) int { return cmp.Compare(a.completedMs, b.completedMs) })
}

// quantile returns a quantile of a time over all items of the job, "-" if too few items have completed.
func (s *stepRecord) quantile(q float64, at func(item itemRecord) float64) string {
	index := int(q * float64(s.items))
	if index >= len(s.completed) {
		return "-"
	}
	times := make([]float64, len(s.completed))
	for i, item := range s.completed {
		times[i] = at(item)
	}
	slices.Sort(times)
	return formatDuration(s.since(times[index]))
}

func (s *stepRecord) write(w io.Writer) {
	start := func(item itemRecord) float64 { return item.startMs }
	completion := func(item itemRecord) float64 { return item.completedMs }
	lastStart, lastCompletion, ended := "-", "-", "-"
	if len(s.completed) > 0 {
		lastCompletion = formatDuration(s.lastCompletion())
		lastStart = formatDuration(s.since(start(slices.MaxFunc(s.completed, func(a, b itemRecord) int { return cmp.Compare(start(a), start(b)) }))))
	}
	if s.endedMs > 0 {
		ended = formatDuration(s.since(s.endedMs))
	}
	fmt.Fprintf(w, "%.3f s\t%s\t%s\t%d\t%d of %d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.acceptedMs/1000, s.id, s.model, s.step, len(s.completed), s.items,
		s.quantile(0.5, start), lastStart, s.quantile(0.95, completion), lastCompletion, ended, s.ownerChanges,
		s.runEnds[task.RunRefused], s.runEnds[task.RunUnreachable], s.runEnds[task.RunTimedOut], s.runEnds[task.RunInterrupted]+s.runEnds[task.RunFailed], s.runEnds[task.RunSlow], s.needlessMoves, s.cause())
}

// cause describes how the time of the item that completed last was spent.
func (s *stepRecord) cause() string {
	if len(s.completed) == 0 {
		return "no item completed"
	}
	item := s.lastCompleted()
	text := item.id
	if item.group != "" {
		text += " of group " + item.group
	}
	text += fmt.Sprintf(": waited %s", formatDuration(s.since(item.startMs)))
	lastRun := item.startMs
	if item.lastFailureMs > item.startMs {
		text += fmt.Sprintf(", %s in runs that ended early", formatDuration(time.Duration((item.lastFailureMs-item.startMs)*float64(time.Millisecond))))
		lastRun = item.lastFailureMs
	}
	return text + fmt.Sprintf(", %s for its last %d of %d events at %s (%.0f ms per event)",
		formatDuration(time.Duration((item.completedMs-lastRun)*float64(time.Millisecond))), item.lastRunEvents, item.events, item.replica, item.paceMs)
}

// formatDuration formats a duration in seconds with two decimals.
func formatDuration(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) + " s"
}
