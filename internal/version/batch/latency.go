package batch

import (
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/process/event"
)

// minLatencyGain is the reduction of the store latency above which a job is assigned to another
// node. Below it, the delay until that node has observed the job (the latency of its watch and up to
// 40 ms in which changes are batched) and read its content outweighs the gain. Regions 20 ms apart
// stay far below it; an owner behind a saturated link does not.
const minLatencyGain = 100 * time.Millisecond

// storeLatency returns the recent latency of store calls, or 0 in a single-region deployment.
func (j *Jobs) storeLatency() time.Duration {
	if !j.options.Topology.MultiRegion() {
		return 0
	}
	return j.options.StoreLatency()
}

// ownPlace returns this node's zone and store latency for publication in head records, or nil
// in a single-region deployment.
func (j *Jobs) ownPlace() *doorstepv1.OwnerPlace {
	if !j.options.Topology.MultiRegion() {
		return nil
	}
	return &doorstepv1.OwnerPlace{Zone: j.options.Topology.Zone, StoreLatencyMs: int32(j.storeLatency().Milliseconds())}
}

// placeOf returns the place of an owner from its head record with the highest revision, or nil
// if none includes one. Revisions give all nodes the same order, unlike the time at which a
// watch delivered the records.
func (j *Jobs) placeOf(owner ownerID) *doorstepv1.OwnerPlace {
	if owner == j.self() {
		return j.ownPlace()
	}
	var newest *head
	for _, known := range j.heads {
		if known.Owner == owner.name && known.OwnerIncarnation == owner.incarnation && known.OwnerPlace != nil &&
			(newest == nil || known.revision > newest.revision) {
			newest = known
		}
	}
	if newest == nil {
		return nil
	}
	return newest.OwnerPlace
}

func placeLatency(place *doorstepv1.OwnerPlace) time.Duration {
	return time.Duration(place.GetStoreLatencyMs()) * time.Millisecond
}

// closerOwner returns the active owner with the lowest store latency, including this node, if
// it improves on the chosen owner by more than minLatencyGain, and the chosen owner otherwise.
// A chosen owner without a known place is kept. Other owners without one, and those that may lie
// outside the given regions, are not considered; nil regions mean any.
func (j *Jobs) closerOwner(now time.Time, chosen ownerID, regions []string) ownerID {
	place := j.placeOf(chosen)
	if j.storeLatency() == 0 || place == nil || placeLatency(place) <= minLatencyGain {
		return chosen
	}
	closest, minLatency := chosen, placeLatency(place)-minLatencyGain
	unlisted := map[ownerID]int32{}
	for _, known := range j.heads {
		if known.Owner != "" && !known.Ended {
			unlisted[ownerID{known.Owner, known.OwnerIncarnation}] += known.Total - known.Listed
		}
	}
	consider := func(candidate ownerID, latency time.Duration) {
		if unlisted[candidate] <= maxOwnerItems && (latency < minLatency || latency == minLatency && closest != chosen && candidate.name < closest.name) {
			closest, minLatency = candidate, latency
		}
	}
	consider(j.self(), j.storeLatency())
	for _, known := range j.heads {
		if known.Owner != "" && known.OwnerPlace != nil && !known.Ended && j.observing && now.Sub(known.changedAt) <= ownerActiveWithin && j.ownerWithin(known.BatchJobHead, regions) {
			consider(ownerID{known.Owner, known.OwnerIncarnation}, placeLatency(known.OwnerPlace))
		}
	}
	if closest != chosen {
		j.options.Queue.Log(event.JobAssignedNearer, "instead_of", chosen.name, "owner", closest.name, "store_latency_ms", placeLatency(place).Milliseconds())
	}
	return closest
}

// logCrossRegionTakeover logs a takeover from an owner in another region.
func (j *Jobs) logCrossRegionTakeover(id, former string, place *doorstepv1.OwnerPlace) {
	region := j.options.Topology.RegionOf(place.GetZone())
	if former == "" || region == "" || region == j.options.Topology.Region {
		return
	}
	j.options.Queue.Log(event.JobTakenOverAcrossRegions, "job", id, "former", former, "former_region", region, "region", j.options.Topology.Region,
		"former_store_latency_ms", place.GetStoreLatencyMs(), "store_latency_ms", j.storeLatency().Milliseconds())
}
