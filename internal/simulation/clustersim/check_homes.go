package clustersim

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// homesChange has the operators bind the requests of one model, and of the calls that score texts, to
// a region for a while, or to a region in which nothing stands; then to none again.
func homesChange(w *World, lasts time.Duration) {
	homes := [][]string{{"region-0"}, {"region-1"}, {"region-0", "region-1"}, {"region-2"}}
	to := homes[w.random.IntN(len(homes))]
	w.operator.bind(models[0], to)
	if w.random.IntN(2) == 0 {
		w.operator.bind(scorerName, to)
	}
	w.After(lasts, func() {
		w.operator.bind(models[0], nil)
		w.operator.bind(scorerName, nil)
	})
}

// bind changes the homes of a route.
func (o *operator) bind(route string, homes []string) {
	for i := range o.table.Routes {
		if o.table.Routes[i].Name == route {
			o.table.Routes[i].AllowedRegions = homes
		}
	}
	o.table.Version++
	o.write()
}

// homesRecord is what was told and seen of homes.
type homesRecord struct {
	// versions are the homes of each route by the version of the configuration.
	versions map[int64]map[string]port.AllowedRegions
	// handedIn are the regions of the nodes that each job was handed to.
	handedIn map[string][]string
	// since is when each node came to go by its present homes.
	since map[string]nodeVersion
}

type nodeVersion struct {
	version int64
	at      time.Time
}

func newHomesRecord() homesRecord {
	return homesRecord{versions: map[int64]map[string]port.AllowedRegions{}, handedIn: map[string][]string{}, since: map[string]nodeVersion{}}
}

// written notes the homes of a version that the operators write.
func (h homesRecord) written(table port.RouteTable) {
	byRoute := map[string]port.AllowedRegions{}
	for _, route := range table.Routes {
		byRoute[route.Name] = port.NewAllowedRegions(route.AllowedRegions)
	}
	h.versions[table.Version] = byRoute
}

// handed notes that a job is handed to a node.
func (h homesRecord) handed(job string, n *node) {
	h.handedIn[job] = append(h.handedIn[job], regions[n.zone])
}

// of returns the homes of a route by the version that a node goes by.
func (h homesRecord) of(n *node, route string) port.AllowedRegions {
	if n.node.Routes() == nil {
		return port.AllowedRegions{}
	}
	return h.versions[n.node.Routes().Version()][route]
}

// mayHold reports whether a node may hold the content of a job, by the version that it goes by.
func (h homesRecord) mayHold(n *node, known *jobRecord) bool {
	region := regions[n.zone]
	return h.of(n, known.content.Route).Allows(region) || slices.Contains(h.handedIn[known.content.Id], region)
}

// sentTo checks what a node sends to a replica for a job, by a route or, if it is empty, by the job's: the node goes by some version, whether or
// not it is in touch, and by that version both must lie where the job may be.
func (c *checker) sentTo(w *World, n *node, known *jobRecord, route, request, zone string) {
	if known == nil {
		return
	}
	if route == "" {
		route = known.content.Route
	}
	if homes := c.homes.of(n, route); !homes.Allows(regions[zone]) {
		c.violate(w, "homes-kept", "%s sends %s to %s, its homes are %v", n.name, request, regions[zone], homes.Regions)
	}
	if !c.homes.mayHold(n, known) {
		c.violate(w, "homes-kept", "%s in %s runs %s, its homes are %v", n.name, regions[n.zone], known.content.Id, c.homes.of(n, known.content.Route).Regions)
	}
}

// wentBy notes the version that a node goes by.
func (h homesRecord) wentBy(n *node, version int64, at time.Time) {
	before, known := h.since[n.name]
	if known && (before.version == version || reflect.DeepEqual(h.versions[before.version], h.versions[version])) {
		at = before.at
	}
	h.since[n.name] = nodeVersion{version, at}
}

// readsWithin is how long the reads of a content may go on that began under an older version.
const readsWithin = 2 * time.Second

// reads checks the reads of jobs' contents and texts, which owners make here, and nodes that collect a job's
// records. Results alone are read anywhere, for clients.
func (c *checker) reads(w *World, n *node, query port.RecordRange) {
	job, rest, _ := strings.Cut(query.From, "/")
	known := c.jobs[job]
	if query.Table != batch.DataTable || known == nil || strings.HasPrefix(rest, "r/") || n.node.Routes() == nil {
		return
	}
	if w.Now.Sub(c.homes.since[n.name].at) > readsWithin && !c.homes.mayHold(n, known) {
		c.violate(w, "homes-kept", "%s in %s reads the content of %s", n.name, regions[n.zone], known.content.Id)
	}
}
