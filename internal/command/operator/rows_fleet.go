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

// silentAfter is the age at which a node's status no longer says that it runs: nodes tell
// of themselves every 20 s.
const silentAfter = 50 * time.Second

func (g *gathering) replicas() [][]string {
	drained, deployment := g.configuration(), g.deployment()
	evacuated := map[string]bool{}
	for _, one := range deployment.Evacuations {
		evacuated[one.Zone] = !one.Lifted
	}
	var rows [][]string
	for _, one := range deployment.Replicas {
		known := endpoint.Endpoint{ReplicaRecord: one, Evacuated: evacuated[one.Zone]}
		known.OperatorDrained = configuration.IsDrained(drained, doorstepv1.DrainKind_DRAIN_KIND_REPLICA, one.ID) ||
			configuration.IsDrained(drained, doorstepv1.DrainKind_DRAIN_KIND_ZONE, one.Zone)
		state := "ready"
		if reason := known.UnschedulableReason(); reason != endpoint.Schedulable {
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
		case configuration.IsDrained(drained, doorstepv1.DrainKind_DRAIN_KIND_NODE, record.Key) ||
			configuration.IsDrained(drained, doorstepv1.DrainKind_DRAIN_KIND_ZONE, status.Zone):
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

// quarantineStates names the states of requests that crashed replicas.
var quarantineStates = map[quarantine.State]string{quarantine.Allowed: "suspected", quarantine.Held: "held", quarantine.OnTrial: "on trial"}

func (g *gathering) quarantine() [][]string {
	records := g.read(port.SharedTable, quarantine.Partition, "")
	known := quarantine.New(quarantine.Options{Queue: &task.Queue{}, StoreClock: func(time.Time) time.Duration { return g.clock }})
	known.Lift(time.Time{}, configuration.QuarantineLifts(g.configuration()))
	for _, record := range records {
		known.OnRecord(record)
	}
	var rows [][]string
	for _, one := range known.Reports(time.Time{}) {
		rows = append(rows, []string{
			one.Request, one.Route, one.Tenant, number(one.Crashes), number(one.Trials), quarantineStates[one.Decision.State],
			number(int(one.Decision.Remaining.Seconds())), number(int((g.clock - one.Last).Seconds())),
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
