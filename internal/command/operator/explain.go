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

// contextMs is how far around an id's own lines a node's other events are shown.
const contextMs = 2000

// logLine is one line of a node's log.
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

// float returns a field that holds a number, 0 if there is none.
func (l *logLine) float(name string) float64 {
	value, _ := l.fields[name].(float64)
	return value
}

// about reports whether the line names an id.
func (l *logLine) about(id string) bool {
	return l.text("request") == id || l.text("item") == id || l.text("job") == id
}

// explainCommand tells from saved logs what became of a request, an item or a job.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from saved logs what became of a request, an item or a batch job",
		ArgsUsage: "ID",
		Flags:     []cli.Flag{logsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" {
				return command.Fail(command.ExitUsage, fmt.Errorf("an ID is needed; see --help"))
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
	return &cli.StringSliceFlag{Name: "logs", Usage: "a log `FILE` in JSON; one for each, - for standard input", Required: true}
}

// openLogs opens the logs that the flag names.
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

// Explain writes the timeline of an id over the logs of all nodes, and its cause in a
// sentence.
func Explain(output io.Writer, id string, logs ...io.Reader) error {
	lines, err := readLogs(logs)
	if err != nil {
		return err
	}
	timeline := timelineOf(lines, id)
	if len(timeline) == 0 {
		return fmt.Errorf("no line names %q: its log may be sampled (event %d), or another node's", id, event.LogLinesDropped)
	}
	printTimeline(output, timeline)
	_, err = fmt.Fprintf(output, "cause: %s\n", causeOf(timeline, id))
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
	// All lines carry the record store's clock, so they order across nodes whatever
	// the nodes' own time of day shows.
	slices.SortStableFunc(lines, func(a, b *logLine) int { return cmp.Compare(a.clockMs, b.clockMs) })
	return lines, nil
}

// readLog reads lines of JSON; what stands before the brace, or is no event, is passed
// over.
func readLog(from io.Reader) ([]*logLine, error) {
	const longestLine = 1 << 20
	var lines []*logLine
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, longestLine)
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

// timelineOf returns the lines about an id and, from the nodes that wrote them, what
// these nodes learned or lost around that time.
func timelineOf(lines []*logLine, id string) []*logLine {
	spans := map[string][2]float64{}
	for _, one := range lines {
		if one.about(id) {
			span, ok := spans[one.node]
			if !ok {
				span = [2]float64{one.clockMs, one.clockMs}
			}
			spans[one.node] = [2]float64{min(span[0], one.clockMs), max(span[1], one.clockMs)}
		}
	}
	var timeline []*logLine
	for _, one := range lines {
		span, ok := spans[one.node]
		near := ok && one.clockMs >= span[0]-contextMs && one.clockMs <= span[1]+contextMs
		if one.about(id) || near && isContext(one.number) {
			timeline = append(timeline, one)
		}
	}
	return timeline
}

// isContext reports whether an event tells what a node believes or depends on.
func isContext(number int) bool {
	return slices.Contains([]int{
		event.ProcessStarted, event.ProcessStopping, event.ProcessStopped, event.SettingsReloaded, event.RoutesApplied,
		event.ReplicaLeaving, event.ReplicaRemoved, event.ReplicaEjected, event.StoreLost, event.StoreRegained, event.LogLinesDropped,
	}, number)
}

func printTimeline(output io.Writer, timeline []*logLine) {
	for _, one := range timeline {
		var names []string
		for name := range one.fields {
			if !strings.HasPrefix(name, "@") && name != "event" && name != "clock_ms" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		var shown []string
		for _, name := range names {
			shown = append(shown, name+"="+one.text(name))
		}
		fmt.Fprintf(output, "%10.3f s  %-24s %d %s  %s\n", one.clockMs/1000, one.node, one.number, one.message, strings.Join(shown, " "))
	}
}

// causeOf says in a sentence what decided over the id.
func causeOf(timeline []*logLine, id string) string {
	var own []*logLine
	for _, one := range timeline {
		if one.about(id) {
			own = append(own, one)
		}
	}
	last := own[len(own)-1]
	if slices.ContainsFunc(own, func(one *logLine) bool { return one.text("job") == id }) {
		return jobCause(timeline, own)
	}
	for _, one := range slices.Backward(own) {
		switch one.number {
		case event.RequestRefused:
			return refusalCause(timeline, one)
		case event.RequestAnswered:
			return fmt.Sprintf("answered by replica %s with status %s after %s attempts and %s ms", one.text("replica"), one.text("status"), one.text("attempts"), one.text("took_ms"))
		case event.ItemTerminated:
			return fmt.Sprintf("the item was given up: %s, after %s failed runs and %s failed scoring calls%s",
				one.text("reason"), one.text("failures"), one.text("scoring_failures"), scoringCause(own))
		case event.ItemCompleted:
			return fmt.Sprintf("the item was completed at replica %s, %s ms after its first run, in %s runs with %s interruptions and %s moves; %s us an event%s",
				one.text("replica"), one.text("since_ms"), one.text("runs"), one.text("interruptions"), one.text("moves"), one.text("pace_us"), scoringCause(own))
		}
	}
	return "undecided in these logs; last: " + last.message
}

// scoringCause says what became of an item's scoring call, if its text was whole and to be
// scored.
func scoringCause(own []*logLine) string {
	cause := ""
	for _, one := range own {
		switch one.number {
		case event.ItemCompleted:
			if one.text("to_score") == "true" {
				cause = "; never scored"
			}
		case event.ScoringUnrouted:
			cause = fmt.Sprintf("; never scored: no route for %s%s", one.text("host"), one.text("path"))
		case event.ScoringRetried:
			cause = fmt.Sprintf("; never scored: last, replica %s %s, %s failures", one.text("replica"), attemptCause(one), one.text("failures"))
		case event.ItemScored:
			return fmt.Sprintf("; scored by replica %s %s ms after that, in %s attempts", one.text("replica"), one.text("since_whole_ms"), one.text("attempts"))
		}
	}
	return cause
}

// jobCause sums up what became of a batch job.
func jobCause(timeline, own []*logLine) string {
	count := map[int]int{}
	var accepted, end *logLine
	cause := ""
	for _, one := range own {
		count[one.number]++
		switch one.number {
		case event.JobAccepted:
			if accepted == nil {
				accepted = one
			}
		case event.JobCompleted, event.JobEnded:
			end = one
		case event.JobRefused:
			cause = fmt.Sprintf("; %s refused it at %.3f s, %s", one.node, one.clockMs/1000, storeCause(timeline, one))
		}
	}
	if accepted == nil {
		return "the job was not accepted" + cause
	}
	state := "it is neither complete nor ended in these logs"
	if end != nil {
		state = fmt.Sprintf("%s at %.3f s", end.message, end.clockMs/1000)
	}
	return fmt.Sprintf("the job of %s items was accepted by %s at %.3f s; %s; taken over %d times, %d runs did not complete, %d items given up%s",
		accepted.text("items"), accepted.node, accepted.clockMs/1000, state, count[event.JobTaken], count[event.ItemRetried], count[event.ItemTerminated], cause)
}

// refusalCause joins a refusal with the attempts before it and what its node knew.
func refusalCause(timeline []*logLine, refused *logLine) string {
	cause := fmt.Sprintf("%s answered %s itself: %s", refused.node, refused.text("status"), refused.text("reason"))
	if tried := refused.text("replicas"); tried != "" {
		cause += "; tried " + tried
	}
	for _, one := range timeline {
		switch {
		case one.number == event.AttemptEnded && one.text("request") == refused.text("request"):
			cause += fmt.Sprintf("; replica %s: %s", one.text("replica"), attemptCause(one))
		case one.number == event.ReplicaLeaving && one.node == refused.node:
			cause += fmt.Sprintf("; replica %s was leaving", one.text("replica"))
		}
	}
	if version := versionAt(timeline, refused); version != "" {
		cause += "; the node went by configuration " + version
	}
	if lost := storeCause(timeline, refused); lost != "" {
		cause += "; " + lost
	}
	return cause
}

func attemptCause(one *logLine) string {
	if text := one.text("error"); text != "" {
		return text
	}
	if status := one.text("status"); status == strconv.Itoa(http.StatusInternalServerError) {
		return "answered " + status
	}
	return "answered " + one.text("status") + " and did not run it"
}

// versionAt returns the configuration that a line's node went by, if these logs tell.
func versionAt(timeline []*logLine, at *logLine) string {
	version := ""
	for _, one := range timeline {
		if one.number == event.RoutesApplied && one.node == at.node && one.clockMs <= at.clockMs {
			version = one.text("version")
		}
	}
	return version
}

// storeCause says whether a line's node had lost the record store.
func storeCause(timeline []*logLine, at *logLine) string {
	lost := false
	for _, one := range timeline {
		if one.node == at.node && one.clockMs <= at.clockMs {
			switch one.number {
			case event.StoreLost:
				lost = true
			case event.StoreRegained:
				lost = false
			}
		}
	}
	if lost {
		return "its record store had not answered since"
	}
	return ""
}
