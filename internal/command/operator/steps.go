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

// stepsCommand tells from saved logs where the time of batch jobs went.
func stepsCommand() *cli.Command {
	return &cli.Command{
		Name:  "steps",
		Usage: "tell from saved logs where the time of each training step went",
		Flags: []cli.Flag{
			logsFlag(),
			&cli.DurationFlag{Name: "late", Usage: "show only steps whose last item took longer"},
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

// stepRecord is what the logs of all nodes tell of one batch job. Times are the record
// store's clock, in milliseconds.
type stepRecord struct {
	id, model  string
	step       int
	items      int
	acceptedMs float64
	endedMs    float64
	// owners counts the nodes that took the job over or were given it, after the first.
	owners int
	// ends counts the runs that did not complete, by outcome.
	ends map[task.RunOutcome]int
	done []itemRecord
	// needless counts the moves of items whose text ended a few events later.
	needless int
}

// needlessEvents is how many events a text makes at the most after a move that was needless.
const needlessEvents = 8

// itemRecord is a completed item.
type itemRecord struct {
	id, group, replica string
	// startMs is when its first run was sent, lastEndMs when a run ended before it was whole,
	// 0 if the first run completed, doneMs when its text was whole.
	startMs, lastEndMs, doneMs float64
	events, lastRunEvents      int
	// paceMs is the time between two events of its last run.
	paceMs float64
}

// Steps writes a row for each job, in the order of their acceptance: when its items began,
// when they were whole, what ended runs early, and for the item that was whole last what its
// time went into.
func Steps(w io.Writer, late time.Duration, logs ...io.Reader) error {
	lines, err := readLogs(logs)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCEPTED\tJOB\tMODEL\tSTEP\tITEMS\tSTART, MEDIAN\tLAST\tWHOLE, 95%\tLAST\tENDED\tOWNERS\tRUNS REFUSED\tUNREACHABLE\tSILENT\tBROKEN\tSLOW\tNEEDLESSLY\tLAST ITEM")
	for _, one := range stepsOf(lines) {
		if one.lastWhole() >= late {
			one.write(table)
		}
	}
	return table.Flush()
}

// stepsOf gathers the jobs whose acceptance is in the logs.
func stepsOf(lines []*logLine) []*stepRecord {
	steps := map[string]*stepRecord{}
	broken := map[string]float64{}
	for _, line := range lines {
		id := line.text("job")
		if line.number == event.JobAccepted && steps[id] == nil {
			steps[id] = &stepRecord{
				id: id, model: line.text("model"), step: int(line.float("step")), items: int(line.float("items")), acceptedMs: line.clockMs,
				ends: map[task.RunOutcome]int{},
			}
		}
		one := steps[id]
		if one == nil {
			continue
		}
		item := id + "/" + line.text("item")
		switch line.number {
		case event.JobTaken, event.JobAssigned:
			one.owners++
		case event.JobEnded:
			one.endedMs = cmp.Or(one.endedMs, line.clockMs)
		case event.ItemRetried:
			one.ends[task.RunOutcome(line.float("outcome"))]++
			broken[item] = line.clockMs
		case event.ItemCompleted:
			if line.float("moves") > 0 {
				one.ends[task.RunSlow]++
				if line.float("last_run_events") <= needlessEvents {
					one.needless++
				}
			}
			one.done = append(one.done, itemRecord{
				id: line.text("item"), group: line.text("group"), replica: line.text("replica"), startMs: line.clockMs - line.float("since_ms"), lastEndMs: broken[item],
				doneMs: line.clockMs, events: int(line.float("events")), lastRunEvents: int(line.float("last_run_events")),
				paceMs: line.float("pace_us") / 1000,
			})
		}
	}
	return slices.SortedFunc(maps.Values(steps), func(a, b *stepRecord) int {
		return cmp.Or(cmp.Compare(a.acceptedMs, b.acceptedMs), cmp.Compare(a.id, b.id))
	})
}

// since returns a time as a duration after the job's acceptance.
func (s *stepRecord) since(clockMs float64) time.Duration {
	return time.Duration((clockMs - s.acceptedMs) * float64(time.Millisecond))
}

// lastWhole returns when the last item was whole, 0 if none was.
func (s *stepRecord) lastWhole() time.Duration {
	if len(s.done) == 0 {
		return 0
	}
	return s.since(s.last().doneMs)
}

// last returns the item that was whole last.
func (s *stepRecord) last() itemRecord {
	return slices.MaxFunc(s.done, func(a, b itemRecord) int { return cmp.Compare(a.doneMs, b.doneMs) })
}

// quantile returns a quantile of the items' times, of all items whether whole or not; it is
// empty if fewer are whole.
func (s *stepRecord) quantile(part float64, at func(one itemRecord) float64) string {
	index := int(part * float64(s.items))
	if index >= len(s.done) {
		return "-"
	}
	times := make([]float64, len(s.done))
	for i, one := range s.done {
		times[i] = at(one)
	}
	slices.Sort(times)
	return elapsed(s.since(times[index]))
}

func (s *stepRecord) write(w io.Writer) {
	start := func(one itemRecord) float64 { return one.startMs }
	whole := func(one itemRecord) float64 { return one.doneMs }
	lastStart, lastWhole, ended := "-", "-", "-"
	if len(s.done) > 0 {
		lastWhole = elapsed(s.lastWhole())
		lastStart = elapsed(s.since(start(slices.MaxFunc(s.done, func(a, b itemRecord) int { return cmp.Compare(start(a), start(b)) }))))
	}
	if s.endedMs > 0 {
		ended = elapsed(s.since(s.endedMs))
	}
	fmt.Fprintf(w, "%.3f s\t%s\t%s\t%d\t%d of %d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.acceptedMs/1000, s.id, s.model, s.step, len(s.done), s.items,
		s.quantile(0.5, start), lastStart, s.quantile(0.95, whole), lastWhole, ended, s.owners,
		s.ends[task.RunRefused], s.ends[task.RunUnreachable], s.ends[task.RunTimedOut], s.ends[task.RunInterrupted]+s.ends[task.RunFailed], s.ends[task.RunSlow], s.needless, s.cause())
}

// cause tells what the time of the item that was whole last went into.
func (s *stepRecord) cause() string {
	if len(s.done) == 0 {
		return "none is whole"
	}
	one := s.last()
	text := one.id
	if one.group != "" {
		text += " of group " + one.group
	}
	text += fmt.Sprintf(": waited %s", elapsed(s.since(one.startMs)))
	lastRun := one.startMs
	if one.lastEndMs > one.startMs {
		text += fmt.Sprintf(", %s in runs that ended early", elapsed(time.Duration((one.lastEndMs-one.startMs)*float64(time.Millisecond))))
		lastRun = one.lastEndMs
	}
	return text + fmt.Sprintf(", %s for its last %d of %d events at %s (%.0f ms an event)",
		elapsed(time.Duration((one.doneMs-lastRun)*float64(time.Millisecond))), one.lastRunEvents, one.events, one.replica, one.paceMs)
}

// elapsed prints a duration to a hundredth of a second.
func elapsed(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) + " s" }
