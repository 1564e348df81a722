package batch

import (
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
)

// Homes provides the home regions in which jobs must be stored and run, according to the
// current configuration. The zero value allows any region.
type Homes struct {
	// RegionsOf returns the home regions of a route's and a tenant's requests; the route may be nil.
	RegionsOf func(route *port.Route, tenant string) port.AllowedRegions
	// RouteByName returns the route with the given name, or nil.
	RouteByName func(name string) *port.Route
	// ConfigurationLoaded reports whether a configuration has been loaded; nil means always.
	ConfigurationLoaded func() bool
	// HasReplica reports whether the home regions of a route's and a tenant's requests have a
	// replica.
	HasReplica func(route *port.Route, tenant string) bool
}

func (h Homes) regionsOf(route *port.Route, tenant string) port.AllowedRegions {
	if h.RegionsOf == nil {
		return port.AllowedRegions{}
	}
	return h.RegionsOf(route, tenant)
}

// regionsOfHead returns the home regions of a job from its head record.
func (h Homes) regionsOfHead(head *doorstepv1.BatchJobHead) port.AllowedRegions {
	var route *port.Route
	if h.RouteByName != nil && head.Route != "" {
		route = h.RouteByName(head.Route)
	}
	return h.regionsOf(route, head.Tenant)
}

func (h Homes) hasReplica(route *port.Route, tenant string) bool {
	return h.HasReplica == nil || route == nil || h.HasReplica(route, tenant)
}

func (h Homes) configurationLoaded() bool {
	return h.ConfigurationLoaded == nil || h.ConfigurationLoaded()
}

// mayHold reports whether this node may hold a job's content, because it is in a home region or
// in the region that accepted the job.
func (j *Jobs) mayHold(homes port.AllowedRegions, acceptedIn string) bool {
	region := j.options.Topology.Region
	return homes.Allows(region) || region != "" && region == acceptedIn
}

// ownerRegions returns the regions whose nodes may own a job; nil means any.
func ownerRegions(homes port.AllowedRegions, acceptedIn string) []string {
	if !homes.Restricted {
		return nil
	}
	regions := slices.Clone(homes.Regions)
	if acceptedIn != "" && !slices.Contains(regions, acceptedIn) {
		regions = append(regions, acceptedIn)
	}
	return regions
}

// bindRegions sets the regions that may own the job in a new head record.
func (j *Jobs) bindRegions(head *doorstepv1.BatchJobHead, job *doorstepv1.BatchJob, homes port.AllowedRegions) {
	topology := j.options.Topology
	if topology.MultiRegion() || homes.Restricted {
		head.Route, head.AcceptedIn = job.Route, topology.Region
	}
	head.Regions = ownerRegions(homes, topology.Region)
}

// mayOwn reports whether this node may read and run a job. Both the head record and the current
// configuration must allow it, as either may be newer. In a multi-region deployment, a node that
// has not loaded its configuration may not own any job.
func (j *Jobs) mayOwn(head *doorstepv1.BatchJobHead) bool {
	h, topology := j.options.Homes, j.options.Topology
	if len(head.Regions) > 0 && (topology.Region == "" || !slices.Contains(head.Regions, topology.Region)) {
		return false
	}
	if topology.MultiRegion() && !h.configurationLoaded() {
		return false
	}
	return j.mayHold(h.regionsOfHead(head), head.AcceptedIn)
}

// ownerWithin reports whether the owner of a job is known to be in one of the regions; nil
// means any. The owner's place is checked as well, because an owner that hands its job over
// updates the regions before it leaves.
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

// homes returns the job's home regions in the current configuration.
func (o *ownedJob) homes() port.AllowedRegions {
	return o.jobs.options.Homes.regionsOf(o.route(), o.job.Tenant)
}

// enforceHomes hands the job over if a new configuration excludes this node's region, and logs
// home regions without a replica.
func (o *ownedJob) enforceHomes(now time.Time) {
	homes := o.homes()
	if o.releasing || !homes.Restricted && !o.noReplica {
		return
	}
	h := o.jobs.options.Homes
	if !o.jobs.mayHold(homes, o.head.AcceptedIn) {
		o.jobs.options.Queue.Log(event.JobLeavesRegion, "job", o.id, "region", o.jobs.options.Topology.Region, "homes", homes.Regions)
		o.release(now)
		return
	}
	served := h.hasReplica(o.route(), o.job.Tenant)
	if !served && !o.noReplica {
		o.jobs.options.Queue.Log(event.JobWithoutReplica, "job", o.id, "homes", homes.Regions)
	}
	o.noReplica = !served
}

// updateRegions updates the route and the regions in a head record.
func (o *ownedJob) updateRegions(next *doorstepv1.BatchJobHead) {
	if route := o.route(); route != nil && next.Route != "" {
		next.Route = route.Name
	}
	updateHeadRegions(next, o.homes())
}

// updateHeadRegions updates the regions in a head record. They are kept unchanged if the job
// has no home regions or no node could be in one.
func updateHeadRegions(next *doorstepv1.BatchJobHead, homes port.AllowedRegions) {
	if regions := ownerRegions(homes, next.AcceptedIn); len(regions) > 0 {
		next.Regions = regions
	}
}
