package batch

import (
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
)

// Homes tell where jobs may be kept and run, by the configuration in force. The zero value allows any
// region.
type Homes struct {
	// Of returns the homes of a route's and a tenant's requests; the route may be nil.
	Of func(route *port.Route, tenant string) port.Homes
	// Named returns the route of a name, nil when there is none.
	Named func(name string) *port.Route
	// Known reports whether there is a configuration to go by; nil if there always is.
	Known func() bool
	// Served reports whether there is a replica in the homes of a route's and a tenant's requests.
	Served func(route *port.Route, tenant string) bool
}

func (h Homes) of(route *port.Route, tenant string) port.Homes {
	if h.Of == nil {
		return port.Homes{}
	}
	return h.Of(route, tenant)
}

// ofHead returns the homes of a job that is known by its head alone.
func (h Homes) ofHead(head *doorstepv1.BatchJobHead) port.Homes {
	var route *port.Route
	if h.Named != nil && head.Route != "" {
		route = h.Named(head.Route)
	}
	return h.of(route, head.Tenant)
}

func (h Homes) served(route *port.Route, tenant string) bool {
	return h.Served == nil || route == nil || h.Served(route, tenant)
}

func (h Homes) known() bool { return h.Known == nil || h.Known() }

// here reports whether this node may hold a job's content: it lies in a home, or in the region in
// which the client handed the job in.
func (j *Jobs) here(homes port.Homes, acceptedIn string) bool {
	region := j.options.Topology.Region
	return homes.Allow(region) || region != "" && region == acceptedIn
}

// ownerRegions returns the regions whose nodes may own a job, nil for any.
func ownerRegions(homes port.Homes, acceptedIn string) []string {
	if !homes.Bound {
		return nil
	}
	regions := slices.Clone(homes.Regions)
	if acceptedIn != "" && !slices.Contains(regions, acceptedIn) {
		regions = append(regions, acceptedIn)
	}
	return regions
}

// bindRegions fixes in a new head where the job may be owned.
func (j *Jobs) bindRegions(head *doorstepv1.BatchJobHead, job *doorstepv1.BatchJob, homes port.Homes) {
	topology := j.options.Topology
	if topology.Several() || homes.Bound {
		head.Route, head.AcceptedIn = job.Route, topology.Region
	}
	head.Regions = ownerRegions(homes, topology.Region)
}

// mayOwn reports whether this node may read and run a job: its head and the configuration in force
// both bind, as either may be the newer. A node that has just started, and knows the heads before the
// configuration, takes nothing: its former life's jobs and those that are handed over wait for nobody.
func (j *Jobs) mayOwn(head *doorstepv1.BatchJobHead) bool {
	h, topology := j.options.Homes, j.options.Topology
	if len(head.Regions) > 0 && (topology.Region == "" || !slices.Contains(head.Regions, topology.Region)) {
		return false
	}
	if topology.Several() && !h.known() {
		return false
	}
	return j.here(h.ofHead(head), head.AcceptedIn)
}

// ownerWithin reports whether the owner of a job surely lies in regions, of which nil are any. An owner
// that hands its job over tells the new regions before it has left: its place counts as well.
func (j *Jobs) ownerWithin(known *doorstepv1.BatchJobHead, regions []string) bool {
	if len(regions) == 0 {
		return true
	}
	outside := func(region string) bool { return !slices.Contains(regions, region) }
	if region := j.options.Topology.RegionOf(known.OwnerPlace.GetZone()); region != "" && outside(region) {
		return false
	}
	return len(known.Regions) > 0 && !slices.ContainsFunc(known.Regions, outside)
}

// homes returns the regions in which the job must stay, by the configuration in force.
func (o *ownedJob) homes() port.Homes { return o.jobs.options.Homes.of(o.route(), o.job.Tenant) }

// keepHomes hands the job over once a newer configuration keeps it from this node's region, and tells
// of homes without a replica.
func (o *ownedJob) keepHomes(now time.Time) {
	homes := o.homes()
	if o.releasing || !homes.Bound && !o.unserved {
		return
	}
	h := o.jobs.options.Homes
	if !o.jobs.here(homes, o.head.AcceptedIn) {
		o.jobs.options.Queue.Log(event.JobLeavesRegion, "job", o.id, "region", o.jobs.options.Topology.Region, "homes", homes.Regions)
		o.release(now)
		return
	}
	served := h.served(o.route(), o.job.Tenant)
	if !served && !o.unserved {
		o.jobs.options.Queue.Log(event.JobWithoutReplica, "job", o.id, "homes", homes.Regions)
	}
	o.unserved = !served
}

// tellRegions brings a head up to date with the route and the homes.
func (o *ownedJob) tellRegions(next *doorstepv1.BatchJobHead) {
	if route := o.route(); route != nil && next.Route != "" {
		next.Route = route.Name
	}
	tellRegions(next, o.homes())
}

// tellRegions brings a head up to date with the homes. It keeps what it told last where there are
// none any more, or none that a node could lie in.
func tellRegions(next *doorstepv1.BatchJobHead, homes port.Homes) {
	if regions := ownerRegions(homes, next.AcceptedIn); len(regions) > 0 {
		next.Regions = regions
	}
}
