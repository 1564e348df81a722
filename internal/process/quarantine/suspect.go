package quarantine

import (
	"maps"
	"slices"
	"time"
)

// suspect is a request that was at replicas that ended.
type suspect struct {
	route, tenant string
	// crashes holds the crashes by the replicas' IDs, trials the trials by their numbers.
	crashes, trials map[string]*entry
	// due says that the crashes are to be written.
	due bool
	// notedAt is when this node last noted a crash.
	notedAt time.Time
}

// entry is a record, or one that is to be written.
type entry struct {
	at       time.Duration
	recorded bool
}

// entries returns those of a kind.
func (s *suspect) entries(kind entryKind) map[string]*entry {
	if kind == trialEntry {
		return s.trials
	}
	return s.crashes
}

// names returns the names of all entries, in their order.
func (s *suspect) names(fingerprint Fingerprint) []entryName {
	var names []entryName
	for _, kind := range []entryKind{crashEntry, trialEntry} {
		for _, which := range slices.Sorted(maps.Keys(s.entries(kind))) {
			names = append(names, entryName{fingerprint, kind, which})
		}
	}
	return names
}

// last returns when the last crash or trial was.
func (s *suspect) last() time.Duration {
	last := time.Duration(0)
	for _, kind := range []entryKind{crashEntry, trialEntry} {
		for _, one := range s.entries(kind) {
			last = max(last, one.at)
		}
	}
	return last
}

func (s *suspect) held() bool { return len(s.crashes) >= CrashLimit }

// over reports whether a suspect's records are of no use any more.
func (s *suspect) over(clock time.Duration) bool {
	age := clock - s.last()
	return age > keptFor || !s.held() && age > suspectedFor
}

// recorded reports whether a record tells of the suspect.
func (s *suspect) recorded() bool {
	for _, kind := range []entryKind{crashEntry, trialEntry} {
		for _, one := range s.entries(kind) {
			if one.recorded {
				return true
			}
		}
	}
	return false
}
