package recordlease

import (
	"time"

	"github.com/cespare/xxhash/v2"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// targetBuckets is the number of hash buckets for the targets of acts. A bitmap of them fits into
// 32 bytes of the record. Targets that share a bucket also share a pause, which only costs time.
const targetBuckets = 256

// targetSet is a bitmap of buckets.
type targetSet [targetBuckets / 8]byte

func bucketOf(target string) int { return int(xxhash.Sum64String(target) % targetBuckets) }

func (s *targetSet) add(bucket int) { s[bucket/8] |= 1 << (bucket % 8) }

func (s *targetSet) has(bucket int) bool { return s[bucket/8]&(1<<(bucket%8)) != 0 }

func (s *targetSet) empty() bool { return *s == targetSet{} }

// subsetOf reports whether other contains all buckets of s.
func (s *targetSet) subsetOf(other *targetSet) bool {
	for i := range s {
		if s[i]&^other[i] != 0 {
			return false
		}
	}
	return true
}

func (s *targetSet) intersect(other *targetSet) {
	for i := range s {
		s[i] &= other[i]
	}
}

func (s *targetSet) union(other *targetSet) {
	for i := range s {
		s[i] |= other[i]
	}
}

// targetsOf returns the targets that the record's holder may have recently acted on. A record with
// Ordering set but without targets was written by a version that does not declare them, so any
// target may be affected.
func targetsOf(record *doorstepv1.OrderLease) targetSet {
	var set targetSet
	if copy(set[:], record.Targets) == 0 && record.Ordering {
		for i := range set {
			set[i] = 0xff
		}
	}
	return set
}

// setTargets stores the set in a record.
func setTargets(record *doorstepv1.OrderLease, set targetSet) {
	record.Ordering = !set.empty()
	record.Targets = nil
	if record.Ordering {
		record.Targets = set[:]
	}
}

// actTimes holds the time of the last act by bucket.
type actTimes [targetBuckets]time.Time

// since returns the buckets that were acted on within the span.
func (a *actTimes) since(now time.Time, span time.Duration) targetSet {
	var set targetSet
	for bucket, at := range a {
		if !at.IsZero() && now.Sub(at) <= span {
			set.add(bucket)
		}
	}
	return set
}

// advance sets the buckets' last act to at if it was earlier.
func (a *actTimes) advance(set *targetSet, at time.Time) {
	for bucket := range a {
		if set.has(bucket) && a[bucket].Before(at) {
			a[bucket] = at
		}
	}
}
