package quarantine

import "time"

// Figures tell what this node knows.
type Figures struct {
	// Crashes counts the replicas that ended while this node had a request there, once for each
	// request; Suspects and Held are the requests that are suspected, and held, at present.
	Crashes, Suspects, Held int
}

// Figures returns the node's figures.
func (q *Quarantine) Figures() Figures {
	figures := Figures{Crashes: q.crashes, Suspects: len(q.suspects)}
	for _, s := range q.suspects {
		if s.held() {
			figures.Held++
		}
	}
	return figures
}

// Report is a suspected request as operators see it.
type Report struct {
	Request, Route, Tenant string
	// Crashes and Trials count its replicas that ended, and its trials.
	Crashes, Trials int
	Verdict         Verdict
	// Last is when the last crash or trial was, by the record store's clock.
	Last time.Duration
}

// Reports returns all suspects in the order of their fingerprints.
func (q *Quarantine) Reports(now time.Time) []Report {
	var reports []Report
	for _, fingerprint := range q.sorted() {
		s := q.suspects[fingerprint]
		reports = append(reports, Report{
			Request: fingerprint.String(), Route: s.route, Tenant: s.tenant, Crashes: len(s.crashes), Trials: len(s.trials),
			Verdict: q.Judge(now, fingerprint), Last: s.last(),
		})
	}
	return reports
}
