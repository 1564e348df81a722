package quarantine

import "time"

const (
	// answeredFor is for how long, at the least, it is remembered that a request was answered.
	answeredFor = time.Minute
	// answeredAtMost bounds the requests that are remembered in that time: 2 x 4,096 fingerprints
	// take 260 KB of heap, as the runtime's statistics tell.
	answeredAtMost = 4096
)

// answeredSet remembers the requests that were answered lately, in two generations.
type answeredSet struct {
	newer, older map[Fingerprint]struct{}
	turnedAt     time.Time
}

func (s *answeredSet) add(now time.Time, fingerprint Fingerprint) {
	if s.newer == nil || len(s.newer) >= answeredAtMost || now.Sub(s.turnedAt) >= answeredFor {
		s.older, s.newer = s.newer, map[Fingerprint]struct{}{}
		s.turnedAt = now
	}
	s.newer[fingerprint] = struct{}{}
}

func (s *answeredSet) has(now time.Time, fingerprint Fingerprint) bool {
	age := now.Sub(s.turnedAt)
	if _, ok := s.newer[fingerprint]; ok {
		return age < 2*answeredFor
	}
	_, ok := s.older[fingerprint]
	return ok && age < answeredFor
}
