package batch

import (
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/process/event"
)

// distanceWorth is by how much longer an owner's calls to the store must take than another's for
// a job to be given to that one. To be run by a node that did not accept it, a job waits for that
// node's watch (the time to the store, and up to 40 ms in which changes gather) and for the
// reading of its content; what an owner near the store gains is the way of the last listing.
// Regions 20 ms apart stay far below; an owner behind a full link does not.
const minLatencyGain = 100 * time.Millisecond

// distance returns how long calls to the store take of late, 0 in a deployment of one region.
func (j *Jobs) storeLatency() time.Duration {
	if !j.options.Topology.Several() {
		return 0
	}
	return j.options.Latency()
}

// place tells the other nodes where this one stands, nil in a deployment of one region.
func (j *Jobs) ownPlace() *doorstepv1.OwnerPlace {
	if !j.options.Topology.Several() {
		return nil
	}
	return &doorstepv1.OwnerPlace{Zone: j.options.Topology.Zone, StoreLatencyMs: int32(j.storeLatency().Milliseconds())}
}

// placeOf returns the place of an owner as its newest head tells it, nil if none does. The store's
// revisions tell which one is newer: heads that one watch brings change at one moment here, and nodes
// that went by it gave jobs to different owners.
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

// nearer returns the owner whose calls to the store are the quickest, of this node and those that
// were heard of just now, if they take less time than the chosen one's by distanceWorth; else the
// chosen one. One that does not tell its place is neither left nor taken for its distance, and one
// that may lie outside the regions, of which nil are any, is not taken.
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
		j.options.Queue.Log(event.JobGivenNearer, "instead_of", chosen.name, "owner", closest.name, "store_latency_ms", placeLatency(place).Milliseconds())
	}
	return closest
}

// logAcross tells of a take-over from an owner of another region.
func (j *Jobs) logCrossRegionTakeover(id, former string, place *doorstepv1.OwnerPlace) {
	region := j.options.Topology.RegionOf(place.GetZone())
	if former == "" || region == "" || region == j.options.Topology.Region {
		return
	}
	j.options.Queue.Log(event.JobTakenAcross, "job", id, "former", former, "former_region", region, "region", j.options.Topology.Region,
		"former_store_latency_ms", place.GetStoreLatencyMs(), "store_latency_ms", j.storeLatency().Milliseconds())
}
