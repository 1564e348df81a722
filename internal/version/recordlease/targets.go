package recordlease

import (
	"time"

	"github.com/cespare/xxhash/v2"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// targetBuckets is how many buckets the targets of acts fall into. The record holds a bit
// for each: 32 bytes whatever the number of targets. Two targets that share a bucket wait
// for one another's pause, which costs time and no more.
const targetBuckets = 256

// targetSet is a set of buckets.
type targetSet [targetBuckets / 8]byte

func bucketOf(target string) int { return int(xxhash.Sum64String(target) % targetBuckets) }

func (s *targetSet) add(bucket int) { s[bucket/8] |= 1 << (bucket % 8) }

func (s *targetSet) has(bucket int) bool { return s[bucket/8]&(1<<(bucket%8)) != 0 }

func (s *targetSet) empty() bool { return *s == targetSet{} }

// within reports whether another set holds all of this one.
func (s *targetSet) within(other *targetSet) bool {
	for i := range s {
		if s[i]&^other[i] != 0 {
			return false
		}
	}
	return true
}

// intersect drops what another set does not hold.
func (s *targetSet) intersect(other *targetSet) {
	for i := range s {
		s[i] &= other[i]
	}
}

// unite adds what another set holds.
func (s *targetSet) unite(other *targetSet) {
	for i := range s {
		s[i] |= other[i]
	}
}

// targetsOf returns the targets that a record's holder may have acted on of late. A record
// that says that it acts, and not on what, was written by a node that kept no targets: it may
// have acted on any.
func targetsOf(row *doorstepv1.OrderLease) targetSet {
	var set targetSet
	if copy(set[:], row.Targets) == 0 && row.Ordering {
		for i := range set {
			set[i] = 0xff
		}
	}
	return set
}

// setTargets writes a set into a record.
func setTargets(row *doorstepv1.OrderLease, set targetSet) {
	row.Ordering = !set.empty()
	row.Targets = nil
	if row.Ordering {
		row.Targets = set[:]
	}
}

// actTimes holds for each bucket when it was last acted on.
type actTimes [targetBuckets]time.Time

// since returns the buckets that were acted on less than a span ago.
func (a *actTimes) since(now time.Time, span time.Duration) targetSet {
	var set targetSet
	for bucket, at := range a {
		if !at.IsZero() && now.Sub(at) <= span {
			set.add(bucket)
		}
	}
	return set
}

// raise notes acts on the buckets of a set that may have been as late as a time.
func (a *actTimes) raise(set *targetSet, at time.Time) {
	for bucket := range a {
		if set.has(bucket) && a[bucket].Before(at) {
			a[bucket] = at
		}
	}
}
