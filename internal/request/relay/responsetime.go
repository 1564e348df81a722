package relay

import "time"

const (
	// The mean and the deviation are moving averages with the weights of RFC 6298; Longest is deviationFactor
	// deviations above the mean.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
	// minVariation is the least difference between Mean and Longest. Timers and scheduling alone delay answers
	// by that much.
	minVariation = 20 * time.Millisecond
)

// ResponseTime is how long the replicas currently take to answer a route's requests; zero if unknown.
type ResponseTime struct {
	// Mean is the average time, Longest the time within which almost all requests are answered.
	Mean, Longest time.Duration
}

// ResponseTimes estimates the response times of routes by their names, from complete answers only. It must be
// used under the node's lock.
type ResponseTimes struct{ byRoute map[string]*responseAverage }

type responseAverage struct{ mean, deviation time.Duration }

// NewResponseTimes returns estimates without any answers.
func NewResponseTimes() *ResponseTimes {
	return &ResponseTimes{byRoute: map[string]*responseAverage{}}
}

// Of returns the response time of a route, zero before its first answer.
func (t *ResponseTimes) Of(route string) ResponseTime {
	average := t.byRoute[route]
	if average == nil {
		return ResponseTime{}
	}
	return ResponseTime{Mean: average.mean, Longest: average.mean + max(deviationFactor*average.deviation, minVariation)}
}

// Record adds the time that a replica took for a complete answer.
func (t *ResponseTimes) Record(route string, took time.Duration) {
	average := t.byRoute[route]
	if average == nil {
		t.byRoute[route] = &responseAverage{mean: took, deviation: took / 2}
		return
	}
	difference := took - average.mean
	average.deviation += time.Duration(deviationWeight * float64(difference.Abs()-average.deviation))
	average.mean += time.Duration(meanWeight * float64(difference))
}

// Retain drops the estimates of routes that are not kept.
func (t *ResponseTimes) Retain(keep func(route string) bool) {
	for route := range t.byRoute {
		if !keep(route) {
			delete(t.byRoute, route)
		}
	}
}
