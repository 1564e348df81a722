package quarantine

import "time"

const (
	// answeredTTL is the minimum time for which an answered request is remembered.
	answeredTTL = time.Minute
	// maxAnswered limits the fingerprints in each of the two generations.
	maxAnswered = 4096
)

// answeredSet remembers recently answered requests in two generations.
type answeredSet struct {
	newer, older map[Fingerprint]struct{}
	rotatedAt    time.Time
}

func (s *answeredSet) add(now time.Time, fingerprint Fingerprint) {
	if s.newer == nil || len(s.newer) >= maxAnswered || now.Sub(s.rotatedAt) >= answeredTTL {
		s.older, s.newer = s.newer, map[Fingerprint]struct{}{}
		s.rotatedAt = now
	}
	s.newer[fingerprint] = struct{}{}
}

func (s *answeredSet) has(now time.Time, fingerprint Fingerprint) bool {
	age := now.Sub(s.rotatedAt)
	if _, ok := s.newer[fingerprint]; ok {
		return age < 2*answeredTTL
	}
	_, ok := s.older[fingerprint]
	return ok && age < answeredTTL
}
