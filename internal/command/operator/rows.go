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
	"github.com/doorstep/doorstep/internal/version/configuration"
	"github.com/doorstep/doorstep/internal/version/usage"
)

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

func (g *gathering) deployment() port.DeploymentUpdate {
	var whole port.DeploymentUpdate
	for _, table := range g.client.decoder.DeploymentTables() {
		part := g.client.decoder.DecodeDeployment(g.read(table, "", ""))
		g.checkReadable(table, part)
		if part.Routes != nil {
			whole.Routes = part.Routes
		}
		whole.Replicas = append(whole.Replicas, part.Replicas...)
		whole.Targets = append(whole.Targets, part.Targets...)
		whole.Evacuations = append(whole.Evacuations, part.Evacuations...)
	}
	return whole
}

// checkReadable ends the query if a record can't be read, but for entries in the list of replicas: others
// than replicas write there too.
func (g *gathering) checkReadable(table string, part port.DeploymentUpdate) {
	for _, one := range part.Unreadable {
		entry := slices.ContainsFunc(part.Removed, func(gone port.RemovedReplica) bool { return gone.ID == one.Key })
		if !entry && g.err == nil {
			g.err = fmt.Errorf("record %s/%s: %s", table, one.Key, one.Reason)
		}
	}
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
