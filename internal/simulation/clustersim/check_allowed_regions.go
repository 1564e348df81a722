package clustersim

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// changeAllowedRegions restricts the route of a model, and in half of the cases that of scoring calls,
// to a set of regions for a while. One of the sets has no replicas.
func changeAllowedRegions(w *World, duration time.Duration) {
	sets := [][]string{{"region-0"}, {"region-1"}, {"region-0", "region-1"}, {"region-2"}}
	allowed := sets[w.random.IntN(len(sets))]
	w.operator.setAllowedRegions(models[0], allowed)
	if w.random.IntN(2) == 0 {
		w.operator.setAllowedRegions(scorerName, allowed)
	}
	w.After(duration, func() {
		w.operator.setAllowedRegions(models[0], nil)
		w.operator.setAllowedRegions(scorerName, nil)
	})
}

// setAllowedRegions changes the allowed regions of a route.
func (o *operator) setAllowedRegions(route string, allowed []string) {
	for i := range o.table.Routes {
		if o.table.Routes[i].Name == route {
			o.table.Routes[i].AllowedRegions = allowed
		}
	}
	o.table.Version++
	o.write()
}

// allowedRegionsHistory records the allowed regions of all configuration versions and the regions in
// which jobs were submitted.
type allowedRegionsHistory struct {
	// versions holds the allowed regions of each route by configuration version.
	versions map[int64]map[string]port.AllowedRegions
	// submitRegions holds the regions of the nodes to which each job was submitted.
	submitRegions map[string][]string
	// versionSince holds, by node, the time since which the allowed regions it uses have not changed.
	versionSince map[string]nodeVersion
}

type nodeVersion struct {
	version int64
	at      time.Time
}

func newAllowedRegionsHistory() allowedRegionsHistory {
	return allowedRegionsHistory{versions: map[int64]map[string]port.AllowedRegions{}, submitRegions: map[string][]string{}, versionSince: map[string]nodeVersion{}}
}

// recordTable records the allowed regions of a configuration version.
func (h allowedRegionsHistory) recordTable(table port.RouteTable) {
	byRoute := map[string]port.AllowedRegions{}
	for _, route := range table.Routes {
		byRoute[route.Name] = port.NewAllowedRegions(route.AllowedRegions)
	}
	h.versions[table.Version] = byRoute
}

// recordSubmission records that a job is submitted to a node.
func (h allowedRegionsHistory) recordSubmission(job string, n *node) {
	h.submitRegions[job] = append(h.submitRegions[job], regions[n.zone])
}

// forNode returns the allowed regions of a route in the configuration version that a node uses.
func (h allowedRegionsHistory) forNode(n *node, route string) port.AllowedRegions {
	if n.node.Routes() == nil {
		return port.AllowedRegions{}
	}
	return h.versions[n.node.Routes().Version()][route]
}

// mayHoldContent reports whether a node may hold the content of a job: in the regions allowed by the
// configuration version it uses, and in those in which the job was submitted.
func (h allowedRegionsHistory) mayHoldContent(n *node, record *jobRecord) bool {
	region := regions[n.zone]
	return h.forNode(n, record.content.Route).Allows(region) || slices.Contains(h.submitRegions[record.content.Id], region)
}

// checkAllowedRegions checks that a request of a job and the node that sends it are in allowed
// regions, by the configuration version that the node uses. An empty route stands for the job's route.
func (c *checker) checkAllowedRegions(w *World, n *node, record *jobRecord, route, request, zone string) {
	if record == nil {
		return
	}
	if route == "" {
		route = record.content.Route
	}
	if allowed := c.allowedRegions.forNode(n, route); !allowed.Allows(regions[zone]) {
		c.reportViolation(w, "homes-kept", "%s sends %s to %s, allowed regions are %v", n.name, request, regions[zone], allowed.Regions)
	}
	if !c.allowedRegions.mayHoldContent(n, record) {
		c.reportViolation(w, "homes-kept", "%s in %s runs %s, allowed regions are %v", n.name, regions[n.zone], record.content.Id, c.allowedRegions.forNode(n, record.content.Route).Regions)
	}
}

// recordVersion records the configuration version that a node uses.
func (h allowedRegionsHistory) recordVersion(n *node, version int64, at time.Time) {
	before, found := h.versionSince[n.name]
	if found && (before.version == version || reflect.DeepEqual(h.versions[before.version], h.versions[version])) {
		at = before.at
	}
	h.versionSince[n.name] = nodeVersion{version, at}
}

// contentReadGracePeriod is how long reads of a job's content that began under an older configuration
// may continue.
const contentReadGracePeriod = 2 * time.Second

// checkContentRead checks that a node that reads a job's content and texts is in an allowed region.
// Results may be read anywhere.
func (c *checker) checkContentRead(w *World, n *node, query port.RecordRange) {
	job, rest, _ := strings.Cut(query.From, "/")
	record := c.jobs[job]
	if query.Table != batch.DataTable || record == nil || strings.HasPrefix(rest, "r/") || n.node.Routes() == nil {
		return
	}
	if w.Now.Sub(c.allowedRegions.versionSince[n.name].at) > contentReadGracePeriod && !c.allowedRegions.mayHoldContent(n, record) {
		c.reportViolation(w, "homes-kept", "%s in %s reads the content of %s", n.name, regions[n.zone], record.content.Id)
	}
}
