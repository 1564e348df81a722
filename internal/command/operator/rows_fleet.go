package operator

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/cluster"
	"github.com/doorstep/doorstep/internal/process/coldstart"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/version/configuration"
)

// statusTimeout is the age at which a node's status is stale. Nodes write their status every 20 s.
const statusTimeout = 50 * time.Second

func (q *queryReader) replicas() [][]string {
	config, deployment := q.configuration(), q.deployment()
	evacuated := map[string]bool{}
	for _, evacuation := range deployment.Evacuations {
		evacuated[evacuation.Zone] = !evacuation.Lifted
	}
	var rows [][]string
	for _, replica := range deployment.Replicas {
		known := endpoint.Endpoint{ReplicaRecord: replica, Evacuated: evacuated[replica.Zone]}
		known.OperatorDrained = configuration.IsDrained(config, doorstepv1.DrainKind_DRAIN_KIND_REPLICA, replica.ID) ||
			configuration.IsDrained(config, doorstepv1.DrainKind_DRAIN_KIND_ZONE, replica.Zone)
		state := "ready"
		if reason := known.UnschedulableReason(); reason != endpoint.Schedulable {
			state = string(reason)
		} else if replica.ColdFor > 0 {
			state = "cold"
		}
		policies := slices.Sorted(maps.Keys(replica.Versions))
		if len(policies) == 0 {
			rows = append(rows, []string{replica.ID, replica.Service, replica.Zone, replica.Address, formatNumber(replica.Slots), "", "", state})
		}
		for _, policy := range policies {
			rows = append(rows, []string{
				replica.ID, replica.Service, replica.Zone, replica.Address, formatNumber(replica.Slots), policy,
				formatNumber(replica.Versions[policy]), state,
			})
		}
	}
	return rows
}

func (q *queryReader) nodes() [][]string {
	config := q.configuration()
	var rows [][]string
	for _, record := range q.read(cluster.StatusTable, cluster.StatusTable, "") {
		status := &doorstepv1.NodeStatus{}
		q.decode(record, status)
		age := q.clock - time.Duration(status.AtMs)*time.Millisecond
		state := "not ready"
		switch {
		case age > statusTimeout:
			state = "silent"
		case configuration.IsDrained(config, doorstepv1.DrainKind_DRAIN_KIND_NODE, record.Key) ||
			configuration.IsDrained(config, doorstepv1.DrainKind_DRAIN_KIND_ZONE, status.Zone):
			state = "drained"
		case status.Ready:
			state = "ready"
		}
		rows = append(rows, []string{
			record.Key, status.Zone, state, formatNumber(status.Configuration), formatNumber(status.JobsOwned), formatNumber(status.ItemsRunning), formatSeconds(age),
		})
	}
	return rows
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(d, 0).Seconds(), 'f', 1, 64)
}

func (q *queryReader) leases() [][]string {
	var rows [][]string
	for _, record := range q.read(port.SharedTable, cluster.LeasePartition, "") {
		if record.Key == cluster.UsageClockKey {
			continue
		}
		lease := &doorstepv1.OrderLease{}
		q.decode(record, lease)
		rows = append(rows, []string{record.Key, lease.Holder, strconv.FormatBool(lease.Ordering)})
	}
	return rows
}

// quarantineStates are the displayed names of quarantine states.
var quarantineStates = map[quarantine.State]string{quarantine.Allowed: "suspected", quarantine.Held: "held", quarantine.OnTrial: "on trial"}

func (q *queryReader) quarantine() [][]string {
	records := q.read(port.SharedTable, quarantine.Partition, "")
	known := quarantine.New(quarantine.Options{Queue: &task.Queue{}, StoreClock: func(time.Time) time.Duration { return q.clock }})
	known.Lift(time.Time{}, configuration.QuarantineLifts(q.configuration()))
	for _, record := range records {
		known.OnRecord(record)
	}
	var rows [][]string
	for _, report := range known.Reports(time.Time{}) {
		rows = append(rows, []string{
			report.Request, report.Route, report.Tenant, formatNumber(report.Crashes), formatNumber(report.Trials), quarantineStates[report.Decision.State],
			formatNumber(int(report.Decision.Remaining.Seconds())), formatNumber(int((q.clock - report.Last).Seconds())),
		})
	}
	return rows
}

// cold returns the request windows of cold replicas with the node that sent last, the number of requests sent
// by all nodes, and the remaining seconds, which are negative if the window is over.
func (q *queryReader) cold() [][]string {
	var rows [][]string
	for _, record := range q.read(coldstart.Table, coldstart.Table, "") {
		window := &doorstepv1.ColdWindow{}
		q.decode(record, window)
		left := time.Duration(window.UntilMs)*time.Millisecond - q.clock
		rows = append(rows, []string{record.Key, window.Service, window.Node, formatNumber(window.Taken), strconv.FormatFloat(left.Seconds(), 'f', 1, 64)})
	}
	return rows
}

func (q *queryReader) drains() [][]string {
	var rows [][]string
	for _, drain := range q.configuration().Drains {
		rows = append(rows, []string{strings.ToLower(strings.TrimPrefix(drain.Kind.String(), "DRAIN_KIND_")), drain.Name})
	}
	return rows
}
