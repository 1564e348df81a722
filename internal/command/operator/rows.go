package operator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/cluster"
	"github.com/doorstep/doorstep/internal/process/coldstart"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/version/batch"
	"github.com/doorstep/doorstep/internal/version/configuration"
	"github.com/doorstep/doorstep/internal/version/experiment"
	"github.com/doorstep/doorstep/internal/version/usage"
)

// silentAfter is the age at which a node's status no longer says that it runs: nodes tell
// of themselves every 20 s.
const silentAfter = 50 * time.Second

// errStore says that a query could not be answered.
var errStore = errors.New("the record store did not answer in time")

// gathering reads what one query is about. The first failure ends it.
type gathering struct {
	client *client
	ctx    context.Context
	// revision is the store's at the newest read, clock its steady clock.
	revision uint64
	clock    time.Duration
	err      error
}

// rows returns the rows of a subject, in the order of its columns.
func (g *gathering) rows(subject string) [][]string {
	switch subject {
	case "experiments":
		return g.experiments()
	case "policies":
		return g.policies()
	case "versions":
		return g.versions()
	case "replicas":
		return g.replicas()
	case "nodes":
		return g.nodes()
	case "jobs":
		return g.jobs()
	case "samples":
		return g.samples()
	case "leases":
		return g.leases()
	case "usage":
		return g.usage()
	case "quarantine":
		return g.quarantine()
	case "cold":
		return g.cold()
	case "drains":
		return g.drains()
	case "routes":
		return g.routes()
	case "history":
		return g.history()
	}
	return nil
}

// read reads a partition of a table, from a key on.
func (g *gathering) read(table, partition, from string) []port.Record {
	var records []port.Record
	for g.err == nil {
		result := g.client.store.Range(g.ctx, port.RecordRange{Table: table, Partition: partition, From: from})
		switch {
		case result.Status == port.RecordDone:
		case g.ctx.Err() != nil:
			g.err = errStore
			return nil
		default:
			time.Sleep(100 * time.Millisecond)
			continue
		}
		g.revision, g.clock = uint64(result.Revision), result.Clock
		records = append(records, result.Records...)
		if !result.More || len(result.Records) == 0 {
			break
		}
		from = records[len(records)-1].Key + "\x00"
	}
	return records
}

// decode decodes a record; one that can't be read ends the query.
func (g *gathering) decode(record port.Record, into proto.Message) {
	if err := proto.Unmarshal(record.Value, into); err != nil && g.err == nil {
		g.err = fmt.Errorf("record %s/%s: %w", record.Table, record.Key, err)
	}
}

func (g *gathering) deployment() port.Deployment {
	var whole port.Deployment
	for _, table := range g.client.decoder.DeploymentTables() {
		part, err := g.client.decoder.DecodeDeployment(g.read(table, "", ""))
		if err != nil && g.err == nil {
			g.err = err
		}
		if part.Routes != nil {
			whole.Routes = part.Routes
		}
		whole.Replicas = append(whole.Replicas, part.Replicas...)
		whole.Targets = append(whole.Targets, part.Targets...)
		whole.Evacuations = append(whole.Evacuations, part.Evacuations...)
	}
	return whole
}

func (g *gathering) configuration() *doorstepv1.Configuration {
	key := configuration.Key()
	for _, record := range g.read(key.Table, key.Partition, key.Key) {
		if record.Key == key.Key {
			held := &doorstepv1.Configuration{}
			g.decode(record, held)
			return held
		}
	}
	return configuration.Empty()
}

func stateName(state doorstepv1.ExperimentState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "EXPERIMENT_STATE_"))
}

func number[N int | int32 | int64 | uint32 | uint64](n N) string { return fmt.Sprint(n) }

func (g *gathering) experiments() [][]string {
	var rows [][]string
	for _, e := range g.configuration().Experiments {
		rows = append(rows, []string{
			e.Name, e.Policy, e.Service, stateName(e.State), strings.Join(e.Trainers, ","), number(e.Samples), number(e.StalenessBound),
			number(e.IdleWeight), number(e.Share), e.Prompts, number(e.MaxTokens), e.Scoring,
		})
	}
	return rows
}

func (g *gathering) policies() [][]string {
	newest := map[string]int64{}
	for _, target := range g.deployment().Targets {
		newest[target.Model] = target.Version
	}
	var rows [][]string
	for _, e := range g.configuration().Experiments {
		rows = append(rows, []string{e.Policy, e.Name, number(newest[e.Policy]), stateName(e.State)})
		delete(newest, e.Policy)
	}
	for _, policy := range slices.Sorted(maps.Keys(newest)) {
		rows = append(rows, []string{policy, "", number(newest[policy]), ""})
	}
	return rows
}

func (g *gathering) versions() [][]string {
	type held struct {
		policy  string
		version int64
	}
	counts := map[held]int{}
	for _, replica := range g.deployment().Replicas {
		for policy, version := range replica.Versions {
			counts[held{policy, version}]++
		}
	}
	var rows [][]string
	for one, count := range counts {
		rows = append(rows, []string{one.policy, number(one.version), number(count)})
	}
	slices.SortFunc(rows, func(a, b []string) int { return slices.Compare(a, b) })
	return rows
}

func (g *gathering) replicas() [][]string {
	drained, deployment := g.configuration(), g.deployment()
	evacuated := map[string]bool{}
	for _, one := range deployment.Evacuations {
		evacuated[one.Zone] = !one.Lifted
	}
	var rows [][]string
	for _, one := range deployment.Replicas {
		known := endpoint.Endpoint{ReplicaRecord: one, Evacuated: evacuated[one.Zone]}
		known.Held = configuration.Drained(drained, doorstepv1.DrainKind_DRAIN_KIND_REPLICA, one.ID) ||
			configuration.Drained(drained, doorstepv1.DrainKind_DRAIN_KIND_ZONE, one.Zone)
		state := "ready"
		if reason := known.Withheld(); reason != endpoint.NotWithheld {
			state = string(reason)
		} else if one.ColdFor > 0 {
			state = "cold"
		}
		policies := slices.Sorted(maps.Keys(one.Versions))
		if len(policies) == 0 {
			rows = append(rows, []string{one.ID, one.Service, one.Zone, one.Address, number(one.Slots), "", "", state})
		}
		for _, policy := range policies {
			rows = append(rows, []string{one.ID, one.Service, one.Zone, one.Address, number(one.Slots), policy, number(one.Versions[policy]), state})
		}
	}
	return rows
}

func (g *gathering) nodes() [][]string {
	drained := g.configuration()
	var rows [][]string
	for _, record := range g.read(cluster.StatusTable, cluster.StatusTable, "") {
		status := &doorstepv1.NodeStatus{}
		g.decode(record, status)
		age := g.clock - time.Duration(status.AtMs)*time.Millisecond
		state := "not ready"
		switch {
		case age > silentAfter:
			state = "silent"
		case configuration.Drained(drained, doorstepv1.DrainKind_DRAIN_KIND_NODE, record.Key) ||
			configuration.Drained(drained, doorstepv1.DrainKind_DRAIN_KIND_ZONE, status.Zone):
			state = "drained"
		case status.Ready:
			state = "ready"
		}
		rows = append(rows, []string{
			record.Key, status.Zone, state, number(status.Configuration), number(status.JobsOwned), number(status.ItemsRunning), seconds(age),
		})
	}
	return rows
}

func seconds(d time.Duration) string { return strconv.FormatFloat(max(d, 0).Seconds(), 'f', 1, 64) }

// heads returns the heads of all jobs by their ids.
func (g *gathering) heads() map[string]*doorstepv1.BatchJobHead {
	heads := map[string]*doorstepv1.BatchJobHead{}
	for n := range batch.Partitions {
		for _, record := range g.read(port.SharedTable, batch.PartitionName(n), "") {
			head := &doorstepv1.BatchJobHead{}
			g.decode(record, head)
			heads[record.Key] = head
		}
	}
	return heads
}

func jobState(head *doorstepv1.BatchJobHead) string {
	switch {
	case head.Ended:
		return "ended"
	case head.Listed >= head.Total:
		return "whole"
	case head.Owner == "":
		return "waiting"
	}
	return "running"
}

func (g *gathering) jobs() [][]string {
	heads := g.heads()
	var rows [][]string
	for _, id := range slices.Sorted(maps.Keys(heads)) {
		head := heads[id]
		age := g.clock - time.Duration(head.AcceptedAtMs)*time.Millisecond
		rows = append(rows, []string{id, head.Model, head.Owner, number(head.Listed), number(head.Total), jobState(head), seconds(age)})
	}
	return rows
}

func (g *gathering) samples() [][]string {
	heads := g.heads()
	var rows [][]string
	for _, e := range g.configuration().Experiments {
		for _, record := range g.read(experiment.ProgressTable, e.Name, "") {
			progress := &doorstepv1.TrainerProgress{}
			g.decode(record, progress)
			rows = append(rows, sampleRow(e.Name, record.Key, progress, heads))
		}
	}
	return rows
}

func sampleRow(name, trainer string, progress *doorstepv1.TrainerProgress, heads map[string]*doorstepv1.BatchJobHead) []string {
	step := experiment.Step{Experiment: name, Trainer: trainer, Number: progress.Acknowledged + 1}
	draw := progress.Draw
	if draw == nil {
		return []string{name, trainer, number(step.Number), "", "", "", "", "not drawn"}
	}
	state, listed := "drawn", int32(0)
	if head := heads[step.JobID(draw.Attempt)]; head != nil {
		state, listed = jobState(head), head.Listed
	}
	if progress.Sealed {
		state = "sealed"
	}
	return []string{name, trainer, number(step.Number), number(draw.Attempt), draw.Policy, number(listed), number(draw.Samples), state}
}

func (g *gathering) leases() [][]string {
	var rows [][]string
	for _, record := range g.read(port.SharedTable, cluster.LeasePartition, "") {
		if record.Key == cluster.UsageClockKey {
			continue
		}
		lease := &doorstepv1.OrderLease{}
		g.decode(record, lease)
		rows = append(rows, []string{record.Key, lease.Holder, strconv.FormatBool(lease.Ordering)})
	}
	return rows
}

// usage lists what was reported, or is about to be, by window and tenant.
func (g *gathering) usage() [][]string {
	var rows [][]string
	for _, record := range g.read(usage.Table, usage.ReportPartition, "") {
		report := &doorstepv1.UsageReport{}
		g.decode(record, report)
		for _, tenant := range slices.Sorted(maps.Keys(report.Requests)) {
			rows = append(rows, []string{strings.TrimLeft(record.Key, "0"), tenant, strconv.FormatInt(report.Requests[tenant], 10), strconv.FormatBool(report.Accepted)})
		}
	}
	return rows
}

// quarantineStates names the states of requests that crashed replicas.
var quarantineStates = map[quarantine.State]string{quarantine.Clear: "suspected", quarantine.Held: "held", quarantine.OnTrial: "on trial"}

func (g *gathering) quarantine() [][]string {
	records := g.read(port.SharedTable, quarantine.Partition, "")
	known := quarantine.New(quarantine.Options{Queue: &task.Queue{}, StoreClock: func(time.Time) time.Duration { return g.clock }})
	known.Lift(time.Time{}, configuration.Lifts(g.configuration()))
	for _, record := range records {
		known.OnRecord(record)
	}
	var rows [][]string
	for _, one := range known.Reports(time.Time{}) {
		rows = append(rows, []string{
			one.Request, one.Route, one.Tenant, number(one.Crashes), number(one.Trials), quarantineStates[one.Verdict.State],
			number(int(one.Verdict.Left.Seconds())), number(int((g.clock - one.Last).Seconds())),
		})
	}
	return rows
}

// cold lists the windows of cold replicas: who took requests last, how many all nodes have taken, and how
// many seconds are left, less than 0 where a window is over.
func (g *gathering) cold() [][]string {
	var rows [][]string
	for _, record := range g.read(coldstart.Table, coldstart.Table, "") {
		window := &doorstepv1.ColdWindow{}
		g.decode(record, window)
		left := time.Duration(window.UntilMs)*time.Millisecond - g.clock
		rows = append(rows, []string{record.Key, window.Service, window.Node, number(window.Taken), strconv.FormatFloat(left.Seconds(), 'f', 1, 64)})
	}
	return rows
}

func (g *gathering) drains() [][]string {
	var rows [][]string
	for _, drain := range g.configuration().Drains {
		rows = append(rows, []string{strings.ToLower(strings.TrimPrefix(drain.Kind.String(), "DRAIN_KIND_")), drain.Name})
	}
	return rows
}

func (g *gathering) routes() [][]string {
	table := g.deployment().Routes
	if table == nil {
		return nil
	}
	var rows [][]string
	for _, route := range table.Routes {
		var services []string
		for _, backend := range route.Backends {
			services = append(services, backend.Service)
		}
		rows = append(rows, []string{
			route.Name, route.Host, route.PathPrefix, string(route.Kind), strings.Join(services, ","), route.Timeout.String(),
			number(route.MaxAttempts),
		})
	}
	return rows
}

func (g *gathering) history() [][]string {
	var rows [][]string
	for _, record := range g.read(configuration.HistoryTable, configuration.Partition, configuration.RevisionPrefix) {
		if !strings.HasPrefix(record.Key, configuration.RevisionPrefix) {
			break
		}
		change := &doorstepv1.Change{}
		g.decode(record, change)
		at := time.UnixMilli(change.UnixMilliseconds).UTC().Format(time.RFC3339)
		rows = append(rows, []string{number(change.ToRevision), number(change.FromRevision), change.Operator, at, change.Token, change.Statement})
	}
	return rows
}
