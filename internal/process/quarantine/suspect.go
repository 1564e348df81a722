package quarantine

import (
	"maps"
	"slices"
	"time"
)

// suspect is a request that was running on replicas that crashed.
type suspect struct {
	route, tenant string
	// crashes holds the crashes by replica ID, trials the trials by number.
	crashes, trials map[string]*entry
}

// entry is a crash or a trial, with or without a record.
type entry struct {
	at       time.Duration
	recorded bool
}

// entries returns the entries of a kind.
func (s *suspect) entries(kind entryKind) map[string]*entry {
	if kind == trialEntry {
		return s.trials
	}
	return s.crashes
}

// names returns the names of all entries in sorted order.
func (s *suspect) names(fingerprint Fingerprint) []entryName {
	var names []entryName
	for _, kind := range []entryKind{crashEntry, trialEntry} {
		for _, id := range slices.Sorted(maps.Keys(s.entries(kind))) {
			names = append(names, entryName{fingerprint, kind, id})
		}
	}
	return names
}

// lastEventAt returns the time of the last crash or trial.
func (s *suspect) lastEventAt() time.Duration {
	last := time.Duration(0)
	for _, kind := range []entryKind{crashEntry, trialEntry} {
		for _, one := range s.entries(kind) {
			last = max(last, one.at)
		}
	}
	return last
}

func (s *suspect) held() bool { return len(s.crashes) >= CrashLimit }

// expired reports whether a suspect's entries no longer count.
func (s *suspect) expired(clock time.Duration) bool {
	age := clock - s.lastEventAt()
	return age > quarantineTTL || !s.held() && age > suspectTTL
}

// recorded reports whether any entry has a record.
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
