package batch

import (
	"cmp"
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// demandWindow is how long a job counts as demand after its acceptance. It spans several steps, as a model's share of
// the replicas should not change with each of them.
const demandWindow = 20 * time.Second

// Demand returns the expected number of tokens of recent jobs by model.
func (j *Jobs) Demand(now time.Time) map[string]int64 {
	demand := map[string]int64{}
	for _, known := range j.heads {
		if known.Model != "" && j.age(now, known.AcceptedAtMs) < demandWindow {
			demand[known.Model] += known.ExpectedTokens
		}
	}
	return demand
}

// capacityWindow is how long a job counts towards the peak of its model. Trainers may take minutes
// between steps.
const capacityWindow = 10 * time.Minute

// PeakItems returns the peak number of concurrent items of recent jobs by model. Jobs run
// concurrently if one is accepted before the results of the other are due.
func (j *Jobs) PeakItems(now time.Time) map[string]int {
	overlap := capacityWindow
	if limit := j.options.ResultTime(); limit > 0 {
		overlap = limit
	}
	byModel := map[string][]*head{}
	for _, known := range j.heads {
		if known.Model != "" && j.age(now, known.AcceptedAtMs) < capacityWindow {
			byModel[known.Model] = append(byModel[known.Model], known)
		}
	}
	peak := make(map[string]int, len(byModel))
	for model, heads := range byModel {
		slices.SortFunc(heads, func(a, b *head) int { return cmp.Compare(a.AcceptedAtMs, b.AcceptedAtMs) })
		first, sum := 0, 0
		for _, newest := range heads {
			sum += int(newest.Total)
			for newest.AcceptedAtMs-heads[first].AcceptedAtMs >= overlap.Milliseconds() {
				sum -= int(heads[first].Total)
				first++
			}
			peak[model] = max(peak[model], sum)
		}
	}
	return peak
}

// LongestEvents returns the expected maximum number of events per text by model, as published in
// the newest recent job of each model. For jobs accepted in the same millisecond the larger value
// counts.
func (j *Jobs) LongestEvents(now time.Time) map[string]int64 {
	longest, newest := map[string]int64{}, map[string]int64{}
	for _, known := range j.heads {
		if known.Model == "" || known.LongestEvents <= 0 || j.age(now, known.AcceptedAtMs) >= demandWindow {
			continue
		}
		switch cmp.Compare(known.AcceptedAtMs, newest[known.Model]) {
		case 0:
			longest[known.Model] = max(longest[known.Model], int64(known.LongestEvents))
		case 1:
			longest[known.Model], newest[known.Model] = int64(known.LongestEvents), known.AcceptedAtMs
		}
	}
	return longest
}

// expectedTokens sums the length hints of a job's items; an item without a hint counts as one
// token.
func (j *Jobs) expectedTokens(job *doorstepv1.BatchJob) int64 {
	total := int64(0)
	for _, item := range job.Items {
		total += int64(max(j.options.LengthHint(itemHeader(item)), 1))
	}
	return total
}

// Work is the remaining work of a model's open jobs.
type Work struct {
	// Items is the number of unlisted items, Tokens the number of tokens that they are expected to generate; 0 if
	// unknown.
	Items  int
	Tokens int64
}

// RemainingWork returns the work of all open jobs by model. The tokens of a model are unknown if one of its jobs
// has no length hints.
func (j *Jobs) RemainingWork() map[string]Work {
	remaining, unknown := map[string]Work{}, map[string]bool{}
	for _, known := range j.heads {
		left := int64(known.Total - known.Listed)
		if known.Ended || known.Model == "" || left <= 0 {
			continue
		}
		work := remaining[known.Model]
		work.Items += int(left)
		// An item without a hint counts as one token.
		unknown[known.Model] = unknown[known.Model] || known.ExpectedTokens <= int64(known.Total)
		work.Tokens += known.ExpectedTokens * left / int64(known.Total)
		remaining[known.Model] = work
	}
	for model := range unknown {
		if unknown[model] {
			remaining[model] = Work{Items: remaining[model].Items}
		}
	}
	return remaining
}

// Owner is the owner of an open job that requires model weights of at least MinVersion.
type Owner struct {
	Name, Job, Model string
	MinVersion       int64
}

// Owners returns the owners of all open jobs in the order of CompareOwners. Name is empty for a
// job without an owner.
func (j *Jobs) Owners() []Owner {
	var owners []Owner
	for id, known := range j.heads {
		if !known.Ended && !known.complete() {
			owners = append(owners, Owner{Name: known.Owner, Job: id, Model: known.Model, MinVersion: known.MinVersion})
		}
	}
	slices.SortFunc(owners, CompareOwners)
	return owners
}

// CompareOwners orders owners by name, then by job.
func CompareOwners(a, b Owner) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Job, b.Job))
}
