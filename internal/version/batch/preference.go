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
const distanceWorth = 100 * time.Millisecond

// distance returns how long calls to the store take of late, 0 in a deployment of one region.
func (j *Jobs) distance() time.Duration {
	if !j.options.Topology.Several() {
		return 0
	}
	return j.options.Latency()
}

// place tells the other nodes where this one stands, nil in a deployment of one region.
func (j *Jobs) place() *doorstepv1.OwnerPlace {
	if !j.options.Topology.Several() {
		return nil
	}
	return &doorstepv1.OwnerPlace{Zone: j.options.Topology.Zone, StoreLatencyMs: int32(j.distance().Milliseconds())}
}

// placeOf returns the place of an owner as its newest head tells it, nil if none does. The store's
// revisions tell which one is newer: heads that one watch brings change at one moment here, and nodes
// that went by it gave jobs to different owners.
func (j *Jobs) placeOf(owner ownerID) *doorstepv1.OwnerPlace {
	if owner == j.self() {
		return j.place()
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

func storeLatency(place *doorstepv1.OwnerPlace) time.Duration {
	return time.Duration(place.GetStoreLatencyMs()) * time.Millisecond
}

// nearer returns the owner whose calls to the store are the quickest, of this node and those that
// were heard of just now, if they take less time than the chosen one's by distanceWorth; else the
// chosen one. One that does not tell its place is neither left nor taken for its distance, and one
// that may lie outside the regions, of which nil are any, is not taken.
func (j *Jobs) nearer(now time.Time, chosen ownerID, regions []string) ownerID {
	place := j.placeOf(chosen)
	if j.distance() == 0 || place == nil || storeLatency(place) <= distanceWorth {
		return chosen
	}
	best, least := chosen, storeLatency(place)-distanceWorth
	unlisted := map[ownerID]int32{}
	for _, known := range j.heads {
		if known.Owner != "" && !known.Ended {
			unlisted[ownerID{known.Owner, known.OwnerIncarnation}] += known.Total - known.Listed
		}
	}
	consider := func(one ownerID, latency time.Duration) {
		if unlisted[one] <= ownerItems && (latency < least || latency == least && best != chosen && one.name < best.name) {
			best, least = one, latency
		}
	}
	consider(j.self(), j.distance())
	for _, known := range j.heads {
		if known.Owner != "" && known.OwnerPlace != nil && !known.Ended && j.observing && now.Sub(known.changedAt) <= freshOwner && j.ownerWithin(known.BatchJobHead, regions) {
			consider(ownerID{known.Owner, known.OwnerIncarnation}, storeLatency(known.OwnerPlace))
		}
	}
	if best != chosen {
		j.options.Queue.Log(event.JobAssignedNearer, "instead_of", chosen.name, "owner", best.name, "store_latency_ms", storeLatency(place).Milliseconds())
	}
	return best
}

// logAcross tells of a take-over from an owner of another region.
func (j *Jobs) logAcross(id, former string, place *doorstepv1.OwnerPlace) {
	region := j.options.Topology.RegionOf(place.GetZone())
	if former == "" || region == "" || region == j.options.Topology.Region {
		return
	}
	j.options.Queue.Log(event.JobTakenAcross, "job", id, "former", former, "former_region", region, "region", j.options.Topology.Region,
		"former_store_latency_ms", place.GetStoreLatencyMs(), "store_latency_ms", j.distance().Milliseconds())
}
