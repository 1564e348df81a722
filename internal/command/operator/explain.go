package operator

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/process/event"
)

// contextWindowMs is how long before the first and after the last line of an ID a node's context events are
// included.
const contextWindowMs = 2000

// logLine is one event from a node's log.
type logLine struct {
	node    string
	number  int
	clockMs float64
	message string
	fields  map[string]any
}

func (l *logLine) text(name string) string {
	if value, ok := l.fields[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// float returns a numeric field, 0 if it is missing.
func (l *logLine) float(name string) float64 {
	value, _ := l.fields[name].(float64)
	return value
}

// mentions reports whether the line refers to the request, item or job with the ID.
func (l *logLine) mentions(id string) bool {
	return l.text("request") == id || l.text("item") == id || l.text("job") == id || slices.Contains(strings.Fields(l.text("item_ids")), id)
}

// explainCommand reports the outcome of a request, an item or a job from saved logs.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain the outcome of a request, an item or a batch job from saved logs",
		ArgsUsage: "ID",
		Flags:     []cli.Flag{logsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" {
				return command.Fail(command.ExitUsage, fmt.Errorf("missing ID; see --help"))
			}
			logs, closeLogs, err := openLogs(c.StringSlice("logs"))
			if err != nil {
				return command.Fail(command.ExitUsage, err)
			}
			defer closeLogs()
			if err := Explain(c.Root().Writer, id, logs...); err != nil {
				return command.Fail(command.ExitFailed, err)
			}
			return nil
		},
	}
}

func logsFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "logs", Usage: "a log `FILE` in JSON; repeatable, - for standard input", Required: true}
}

// openLogs opens the log files; the path - means standard input.
func openLogs(paths []string) (logs []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, path := range paths {
		if path == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files = append(files, file)
		logs = append(logs, file)
	}
	return logs, closeAll, nil
}

// Explain writes the timeline of an ID from the logs of all nodes, followed by a one-line summary of its
// outcome.
func Explain(output io.Writer, id string, logs ...io.Reader) error {
	lines, err := readLogs(logs)
	if err != nil {
		return err
	}
	timeline := buildTimeline(lines, id)
	if len(timeline) == 0 {
		return fmt.Errorf("no log line mentions %q: its lines may have been dropped by sampling (event %d) or be in another node's log", id, event.LogLinesDropped)
	}
	printTimeline(output, timeline)
	_, err = fmt.Fprintf(output, "cause: %s\n", describeCause(timeline, id))
	return err
}

func readLogs(logs []io.Reader) ([]*logLine, error) {
	var lines []*logLine
	for _, log := range logs {
		read, err := readLog(log)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	// Lines are sorted by the record store's clock because the nodes' wall clocks may differ.
	slices.SortStableFunc(lines, func(a, b *logLine) int { return cmp.Compare(a.clockMs, b.clockMs) })
	return lines, nil
}

// readLog reads events in JSON, one per line. It ignores any prefix before the opening brace, as added by log
// collectors, and skips lines that are not events.
func readLog(r io.Reader) ([]*logLine, error) {
	const maxLineBytes = 1 << 20
	var lines []*logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue
		}
		number, isEvent := fields["event"].(float64)
		if !isEvent {
			continue
		}
		clock, _ := fields["clock_ms"].(float64)
		module, _ := fields["@module"].(string)
		message, _ := fields["@message"].(string)
		lines = append(lines, &logLine{
			node: strings.TrimPrefix(module, "doorstepd."), number: int(number), clockMs: clock, message: message, fields: fields,
		})
	}
	return lines, scanner.Err()
}

// buildTimeline returns the lines that mention an ID and the context events of the same nodes around that
// time.
func buildTimeline(lines []*logLine, id string) []*logLine {
	spans := map[string][2]float64{}
	for _, line := range lines {
		if line.mentions(id) {
			span, ok := spans[line.node]
			if !ok {
				span = [2]float64{line.clockMs, line.clockMs}
			}
			spans[line.node] = [2]float64{min(span[0], line.clockMs), max(span[1], line.clockMs)}
		}
	}
	var timeline []*logLine
	for _, line := range lines {
		span, ok := spans[line.node]
		near := ok && line.clockMs >= span[0]-contextWindowMs && line.clockMs <= span[1]+contextWindowMs
		if line.mentions(id) || near && isContextEvent(line.number) {
			timeline = append(timeline, line)
		}
	}
	return timeline
}

// isContextEvent reports whether an event describes the state of a node rather than a single request or item.
func isContextEvent(number int) bool {
	return slices.Contains([]int{
		event.ProcessStarted, event.ProcessStopping, event.ProcessStopped, event.SettingsReloaded, event.RoutesApplied,
		event.ReplicaLeaving, event.ReplicaRemoved, event.ReplicaEjected, event.StoreLost, event.StoreRecovered, event.LogLinesDropped,
	}, number)
}

func printTimeline(output io.Writer, timeline []*logLine) {
	for _, line := range timeline {
		var names []string
		for name := range line.fields {
			if !strings.HasPrefix(name, "@") && name != "event" && name != "clock_ms" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		var fields []string
		for _, name := range names {
			fields = append(fields, name+"="+line.text(name))
		}
		fmt.Fprintf(output, "%10.3f s  %-24s %d %s  %s\n", line.clockMs/1000, line.node, line.number, line.message, strings.Join(fields, " "))
	}
}

// describeCause summarizes the outcome of an ID in one line.
func describeCause(timeline []*logLine, id string) string {
	var own []*logLine
	for _, line := range timeline {
		if line.mentions(id) {
			own = append(own, line)
		}
	}
	last := own[len(own)-1]
	if slices.ContainsFunc(own, func(line *logLine) bool { return line.text("job") == id }) {
		return jobCause(timeline, own)
	}
	for _, line := range slices.Backward(own) {
		switch line.number {
		case event.RequestRefused:
			return refusalCause(timeline, line)
		case event.RequestAnswered:
			return fmt.Sprintf("answered by replica %s with status %s after %s attempts and %s ms", line.text("replica"), line.text("status"), line.text("attempts"), line.text("took_ms"))
		case event.ItemTerminated:
			return fmt.Sprintf("the item was given up: %s, after %s failed runs and %s failed scoring calls%s",
				line.text("reason"), line.text("failures"), line.text("scoring_failures"), scoringCause(own))
		case event.ItemCompleted:
			return fmt.Sprintf("the item was completed at replica %s, %s ms after its first run, in %s runs with %s interruptions and %s moves; %s µs per event%s",
				line.text("replica"), line.text("since_ms"), line.text("runs"), line.text("interruptions"), line.text("moves"), line.text("pace_us"), scoringCause(own))
		case event.ItemsOverdue:
			return fmt.Sprintf("the item was not completed: it waited for a replica at %.3f s, for up to %s ms: %s", line.clockMs/1000, line.text("waited_ms"), line.text("reason"))
		}
	}
	return "no outcome in these logs; last event: " + last.message
}

// scoringCause describes the outcome of an item's scoring call, empty if the item was not to be scored or not
// completed.
func scoringCause(own []*logLine) string {
	cause := ""
	for _, line := range own {
		switch line.number {
		case event.ItemCompleted:
			if line.text("to_score") == "true" {
				cause = "; never scored"
			}
		case event.ScoringWithoutRoute:
			cause = fmt.Sprintf("; never scored: no route for %s%s", line.text("host"), line.text("path"))
		case event.ScoringRetried:
			cause = fmt.Sprintf("; never scored: last, replica %s %s, %s failures", line.text("replica"), attemptCause(line), line.text("failures"))
		case event.ItemScored:
			return fmt.Sprintf("; scored by replica %s %s ms after that, in %s attempts", line.text("replica"), line.text("since_whole_ms"), line.text("attempts"))
		}
	}
	return cause
}

// jobCause summarizes the outcome of a batch job.
func jobCause(timeline, own []*logLine) string {
	count := map[int]int{}
	var accepted, end *logLine
	cause := ""
	for _, line := range own {
		count[line.number]++
		switch line.number {
		case event.JobAccepted:
			if accepted == nil {
				accepted = line
			}
		case event.JobCompleted, event.JobEnded:
			end = line
		case event.JobRefused:
			cause = fmt.Sprintf("; %s refused it at %.3f s, %s", line.node, line.clockMs/1000, storeCause(timeline, line))
		}
	}
	if accepted == nil {
		return "the job was not accepted" + cause
	}
	state := "neither completed nor ended in these logs"
	if end != nil {
		state = fmt.Sprintf("%s at %.3f s", end.message, end.clockMs/1000)
	}
	return fmt.Sprintf("the job of %s items was accepted by %s at %.3f s; %s; taken over %d times, %d runs did not complete, %d items given up%s",
		accepted.text("items"), accepted.node, accepted.clockMs/1000, state, count[event.JobTakenOver], count[event.ItemRetried], count[event.ItemTerminated], cause)
}

// refusalCause describes a refusal with the preceding attempts and the state of the node at that time.
func refusalCause(timeline []*logLine, refused *logLine) string {
	cause := fmt.Sprintf("%s answered %s itself: %s", refused.node, refused.text("status"), refused.text("reason"))
	if tried := refused.text("replicas"); tried != "" {
		cause += "; tried " + tried
	}
	for _, line := range timeline {
		switch {
		case line.number == event.AttemptEnded && line.text("request") == refused.text("request"):
			cause += fmt.Sprintf("; replica %s: %s", line.text("replica"), attemptCause(line))
		case line.number == event.ReplicaLeaving && line.node == refused.node:
			cause += fmt.Sprintf("; replica %s was leaving", line.text("replica"))
		}
	}
	if version := versionAt(timeline, refused); version != "" {
		cause += "; the node used configuration " + version
	}
	if lost := storeCause(timeline, refused); lost != "" {
		cause += "; " + lost
	}
	return cause
}

func attemptCause(line *logLine) string {
	if text := line.text("error"); text != "" {
		return text
	}
	if status := line.text("status"); status == strconv.Itoa(http.StatusInternalServerError) {
		return "answered " + status
	}
	return "answered " + line.text("status") + " and did not run it"
}

// versionAt returns the configuration version in force at a line's node, empty if it is not in the logs.
func versionAt(timeline []*logLine, at *logLine) string {
	version := ""
	for _, line := range timeline {
		if line.number == event.RoutesApplied && line.node == at.node && line.clockMs <= at.clockMs {
			version = line.text("version")
		}
	}
	return version
}

// storeCause describes the record store as unavailable if the line's node had lost it, and is empty otherwise.
func storeCause(timeline []*logLine, at *logLine) string {
	lost := false
	for _, line := range timeline {
		if line.node == at.node && line.clockMs <= at.clockMs {
			switch line.number {
			case event.StoreLost:
				lost = true
			case event.StoreRecovered:
				lost = false
			}
		}
	}
	if lost {
		return "its record store had not answered since"
	}
	return ""
}
