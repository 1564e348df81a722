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

var errStoreTimeout = errors.New("the record store did not respond in time")

// queryReader reads the rows of one query from the record store. It stops at the first error.
type queryReader struct {
	client *client
	ctx    context.Context
	// revision and clock are the store's revision and monotonic clock at the latest read.
	revision uint64
	clock    time.Duration
	err      error
}

// rows returns the rows of a subject. Values are in the order of the subject's columns.
func (q *queryReader) rows(subject string) [][]string {
	switch subject {
	case "experiments":
		return q.experiments()
	case "policies":
		return q.policies()
	case "versions":
		return q.versions()
	case "replicas":
		return q.replicas()
	case "nodes":
		return q.nodes()
	case "jobs":
		return q.jobs()
	case "samples":
		return q.samples()
	case "leases":
		return q.leases()
	case "usage":
		return q.usage()
	case "quarantine":
		return q.quarantine()
	case "cold":
		return q.cold()
	case "drains":
		return q.drains()
	case "routes":
		return q.routes()
	case "history":
		return q.history()
	}
	return nil
}

// read returns the records of a partition, starting at a key. It retries until the context ends.
func (q *queryReader) read(table, partition, from string) []port.Record {
	var records []port.Record
	for q.err == nil {
		result := q.client.store.Range(q.ctx, port.RecordRange{Table: table, Partition: partition, From: from})
		switch {
		case result.Status == port.RecordDone:
		case q.ctx.Err() != nil:
			q.err = errStoreTimeout
			return nil
		default:
			time.Sleep(100 * time.Millisecond)
			continue
		}
		q.revision, q.clock = uint64(result.Revision), result.Clock
		records = append(records, result.Records...)
		if !result.More || len(result.Records) == 0 {
			break
		}
		from = records[len(records)-1].Key + "\x00"
	}
	return records
}

// decode decodes a record and sets err if it is invalid.
func (q *queryReader) decode(record port.Record, into proto.Message) {
	if err := proto.Unmarshal(record.Value, into); err != nil && q.err == nil {
		q.err = fmt.Errorf("record %s/%s: %w", record.Table, record.Key, err)
	}
}

func (q *queryReader) deployment() port.DeploymentUpdate {
	var deployment port.DeploymentUpdate
	for _, table := range q.client.decoder.DeploymentTables() {
		part := q.client.decoder.DecodeDeployment(q.read(table, "", ""))
		q.checkReadable(table, part)
		if part.Routes != nil {
			deployment.Routes = part.Routes
		}
		deployment.Replicas = append(deployment.Replicas, part.Replicas...)
		deployment.Targets = append(deployment.Targets, part.Targets...)
		deployment.Evacuations = append(deployment.Evacuations, part.Evacuations...)
	}
	return deployment
}

// checkReadable sets err if a record could not be decoded. It ignores undecodable entries in the list of
// replicas because other writers add entries there.
func (q *queryReader) checkReadable(table string, part port.DeploymentUpdate) {
	for _, record := range part.Unreadable {
		replicaEntry := slices.ContainsFunc(part.Removed, func(gone port.RemovedReplica) bool { return gone.ID == record.Key })
		if !replicaEntry && q.err == nil {
			q.err = fmt.Errorf("record %s/%s: %s", table, record.Key, record.Reason)
		}
	}
}

func (q *queryReader) configuration() *doorstepv1.Configuration {
	key := configuration.Key()
	for _, record := range q.read(key.Table, key.Partition, key.Key) {
		if record.Key == key.Key {
			decoded := &doorstepv1.Configuration{}
			q.decode(record, decoded)
			return decoded
		}
	}
	return configuration.Empty()
}

func experimentStateName(state doorstepv1.ExperimentState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "EXPERIMENT_STATE_"))
}

func formatNumber[N int | int32 | int64 | uint32 | uint64](n N) string { return fmt.Sprint(n) }

func (q *queryReader) experiments() [][]string {
	var rows [][]string
	for _, e := range q.configuration().Experiments {
		rows = append(rows, []string{
			e.Name, e.Policy, e.Service, experimentStateName(e.State), strings.Join(e.Trainers, ","), formatNumber(e.Samples), formatNumber(e.StalenessBound),
			formatNumber(e.IdleWeight), formatNumber(e.Share), e.Prompts, formatNumber(e.MaxTokens), e.Scoring,
		})
	}
	return rows
}

func (q *queryReader) policies() [][]string {
	newest := map[string]int64{}
	for _, target := range q.deployment().Targets {
		newest[target.Model] = target.Version
	}
	var rows [][]string
	for _, e := range q.configuration().Experiments {
		rows = append(rows, []string{e.Policy, e.Name, formatNumber(newest[e.Policy]), experimentStateName(e.State)})
		delete(newest, e.Policy)
	}
	for _, policy := range slices.Sorted(maps.Keys(newest)) {
		rows = append(rows, []string{policy, "", formatNumber(newest[policy]), ""})
	}
	return rows
}

func (q *queryReader) versions() [][]string {
	type loadedVersion struct {
		policy  string
		version int64
	}
	replicas := map[loadedVersion]int{}
	for _, replica := range q.deployment().Replicas {
		for policy, version := range replica.Versions {
			replicas[loadedVersion{policy, version}]++
		}
	}
	var rows [][]string
	for loaded, count := range replicas {
		rows = append(rows, []string{loaded.policy, formatNumber(loaded.version), formatNumber(count)})
	}
	slices.SortFunc(rows, func(a, b []string) int { return slices.Compare(a, b) })
	return rows
}

// usage returns the usage reports, including those not yet accepted by the platform, by window and tenant.
func (q *queryReader) usage() [][]string {
	var rows [][]string
	for _, record := range q.read(usage.Table, usage.ReportPartition, "") {
		report := &doorstepv1.UsageReport{}
		q.decode(record, report)
		for _, tenant := range slices.Sorted(maps.Keys(report.Requests)) {
			rows = append(rows, []string{strings.TrimLeft(record.Key, "0"), tenant, strconv.FormatInt(report.Requests[tenant], 10), strconv.FormatBool(report.Accepted)})
		}
	}
	return rows
}

func (q *queryReader) routes() [][]string {
	table := q.deployment().Routes
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
			formatNumber(route.MaxAttempts),
		})
	}
	return rows
}

func (q *queryReader) history() [][]string {
	var rows [][]string
	for _, record := range q.read(configuration.HistoryTable, configuration.Partition, configuration.RevisionPrefix) {
		if !strings.HasPrefix(record.Key, configuration.RevisionPrefix) {
			break
		}
		change := &doorstepv1.Change{}
		q.decode(record, change)
		at := time.UnixMilli(change.UnixMilliseconds).UTC().Format(time.RFC3339)
		rows = append(rows, []string{formatNumber(change.ToRevision), formatNumber(change.FromRevision), change.Operator, at, change.Token, change.Statement})
	}
	return rows
}
