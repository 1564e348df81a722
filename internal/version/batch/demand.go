package batch

import (
	"cmp"
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// demandFor is how long a job counts as demand after its acceptance.
const demandWindow = 20 * time.Second

// Demand returns the tokens that the jobs of late are expected to make, by model.
func (j *Jobs) Demand(now time.Time) map[string]int64 {
	demand := map[string]int64{}
	for _, known := range j.heads {
		if known.Model != "" && j.age(now, known.AcceptedAtMs) < demandWindow {
			demand[known.Model] += known.ExpectedTokens
		}
	}
	return demand
}

const (
	// overlapFor is how far apart two jobs of a model may be accepted whose items run side by side:
	// steps are due within 8 s, and trainers ask for the next before that.
	overlapWindow = 8 * time.Second
	// needFor is how long a job tells what its model needs: trainers may take minutes between two steps.
	capacityWindow = 10 * time.Minute
)

// ItemsAtOnce returns the most items that the jobs of late may have had running at once, by model.
func (j *Jobs) ItemsAtOnce(now time.Time) map[string]int {
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
			for newest.AcceptedAtMs-heads[first].AcceptedAtMs >= overlapWindow.Milliseconds() {
				sum -= int(heads[first].Total)
				first++
			}
			peak[model] = max(peak[model], sum)
		}
	}
	return peak
}

// Longest returns how many events the longest texts of the jobs of late have, by model, as the
// owners of the newest tell it; models without such a job are left out. Of jobs accepted in the same
// millisecond the longer texts count, whichever head comes first.
func (j *Jobs) Longest(now time.Time) map[string]int64 {
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

// Owner is a node that runs the items of an open job, of weights not older than MinVersion.
type Owner struct {
	Name, Job, Model string
	MinVersion       int64
}

// Owners returns the owners of all open jobs, an empty name where a job has none, in the order of their
// names.
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

// CompareOwners orders owners by their names first.
func CompareOwners(a, b Owner) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Job, b.Job))
}
