package quarantine

import "time"

// Stats are the node's quarantine statistics.
type Stats struct {
	// Crashes counts replica crashes, once for each of this node's requests on the replica. Suspects and
	// Held are the current numbers of suspected and held requests.
	Crashes, Suspects, Held int
}

// Stats returns the quarantine statistics.
func (q *Quarantine) Stats() Stats {
	stats := Stats{Crashes: q.crashes, Suspects: len(q.suspects)}
	for _, s := range q.suspects {
		if s.held() {
			stats.Held++
		}
	}
	return stats
}

// Report describes a suspected request to operators.
type Report struct {
	Request, Route, Tenant string
	// Crashes counts the crashed replicas, Trials the trials.
	Crashes, Trials int
	Decision        Decision
	// Last is the time of the last crash or trial by the record store's clock.
	Last time.Duration
}

// Reports returns all suspects ordered by fingerprint.
func (q *Quarantine) Reports(now time.Time) []Report {
	var reports []Report
	for _, fingerprint := range q.sortedFingerprints() {
		s := q.suspects[fingerprint]
		reports = append(reports, Report{
			Request: fingerprint.String(), Route: s.route, Tenant: s.tenant, Crashes: len(s.crashes), Trials: len(s.trials),
			Decision: q.Check(now, fingerprint), Last: s.lastEventAt(),
		})
	}
	return reports
}
