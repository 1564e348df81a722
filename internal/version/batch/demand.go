package batch

import (
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// demandFor is how long a job counts as demand after its acceptance.
const demandFor = 20 * time.Second

// Demand returns the tokens that the jobs of late are expected to make, by model.
func (j *Jobs) Demand(now time.Time) map[string]int64 {
	demand := map[string]int64{}
	for _, known := range j.heads {
		if known.Model != "" && j.age(now, known.AcceptedAtMs) < demandFor {
			demand[known.Model] += known.ExpectedTokens
		}
	}
	return demand
}

// Longest returns how many events the longest texts of the jobs of late have, by model, as the
// owners of the newest tell it; models without such a job are left out.
func (j *Jobs) Longest(now time.Time) map[string]int64 {
	longest, newest := map[string]int64{}, map[string]int64{}
	for _, known := range j.heads {
		if known.Model == "" || known.LongestEvents <= 0 || j.age(now, known.AcceptedAtMs) >= demandFor || known.AcceptedAtMs < newest[known.Model] {
			continue
		}
		longest[known.Model], newest[known.Model] = int64(known.LongestEvents), known.AcceptedAtMs
	}
	return longest
}

// expectedTokens adds up what a job's items are expected to make; an item without a
// hint counts as one token.
func (j *Jobs) expectedTokens(job *doorstepv1.BatchJob) int64 {
	total := int64(0)
	for _, item := range job.Items {
		total += int64(max(j.options.LengthHint(itemHeader(item)), 1))
	}
	return total
}

// Outstanding counts, by model, the items of open jobs that have no position yet.
func (j *Jobs) Outstanding() map[string]int {
	outstanding := map[string]int{}
	for _, known := range j.heads {
		if !known.Ended && known.Model != "" {
			outstanding[known.Model] += int(known.Total - known.Listed)
		}
	}
	return outstanding
}
