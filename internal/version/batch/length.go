package batch

import (
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

const (
	// maxLengthSamples limits the samples kept per model to the texts of about three steps.
	maxLengthSamples = 384
	// minLengthSamples is the number of samples required for any estimate, minComparableSamples
	// the number of those that must exceed a text's current length.
	minLengthSamples     = 48
	minComparableSamples = 6
	// longTextFraction is the fraction of the longest text, or of the longest hint, from which a text counts as long.
	longTextFraction = 0.9
	// maxLengthHistories limits the number of models with a history, which takes some 6 KB each.
	maxLengthHistories = 64
)

// lengthSample is the length of a finished text.
type lengthSample struct {
	// hint is the caller's estimate in tokens, or 0.
	hint int
	// events is the actual number of events.
	events int
}

// lengthHistory holds the most recent text lengths of a model, for survival estimates and for
// the error of the callers' hints.
type lengthHistory struct {
	samples []lengthSample
	next    int
	// updatedAt is when the samples of a job were last added.
	updatedAt time.Time
}

// add records a sample, replacing the oldest one if the history is full.
func (h *lengthHistory) add(sample lengthSample) {
	if len(h.samples) < maxLengthSamples {
		h.samples = append(h.samples, sample)
		return
	}
	h.samples[h.next] = sample
	h.next = (h.next + 1) % maxLengthSamples
}

// sufficient reports whether there are enough samples for an estimate.
func (h *lengthHistory) sufficient() bool { return len(h.samples) >= minLengthSamples }

// longest returns the length of the longest text in events, or 0 without enough samples.
func (h *lengthHistory) longest() int {
	if !h.sufficient() {
		return 0
	}
	return slices.MaxFunc(h.samples, func(a, b lengthSample) int { return a.events - b.events }).events
}

// lengthEstimate is the expected remaining length of a partially generated text.
type lengthEstimate struct {
	// probability is that of reaching the target length, from 0 to 1.
	probability float64
	// meanRemaining is the mean number of remaining events.
	meanRemaining float64
	// known is false if there are too few comparable samples.
	known bool
}

// estimate predicts whether a text with a length hint and a number of generated events reaches
// the target length. Each sample is scaled by the ratio of the hints, which assumes the same
// relative error; without hints it is used as it is.
func (h *lengthHistory) estimate(hint, generated, target int) lengthEstimate {
	if !h.sufficient() {
		return lengthEstimate{}
	}
	passed, reached, remaining := 0, 0, 0
	longest := h.longest()
	for _, sample := range h.samples {
		events := sample.events
		if hint > 0 && sample.hint > 0 {
			events = min(events*hint/sample.hint, longest)
		}
		switch {
		case events <= generated:
		case events < target && sample.events >= longest:
			// The sample was truncated, so the error of its hint is unknown.
		default:
			passed++
			remaining += events - generated
			if events >= target {
				reached++
			}
		}
	}
	if passed < minComparableSamples {
		return lengthEstimate{}
	}
	// The rule of succession accounts for the number of samples: none of six says less than none of sixty.
	return lengthEstimate{probability: float64(reached+1) / float64(passed+2), meanRemaining: float64(remaining) / float64(passed), known: true}
}

// recordLengths adds the text lengths of a completed or ended job to the model's history. Texts
// that were running count with the events generated so far. Jobs ended before half of their
// texts were complete are ignored, as most texts were cut off.
func (o *ownedJob) recordLengths(now time.Time) {
	var samples []lengthSample
	finished := 0
	for i := range o.items {
		it := &o.items[i]
		if it.state >= itemFinished {
			finished++
		}
		if events := max(it.finalEvents, len(it.events)+len(it.progress)); events > 0 {
			samples = append(samples, lengthSample{hint: it.lengthHint, events: events})
		}
	}
	if 2*finished < len(o.items) || len(samples) == 0 {
		return
	}
	history := o.jobs.updatedLengthHistory(now, o.job.Model)
	for _, sample := range samples {
		history.add(sample)
	}
}

// lengthHistoryOf returns the length history of a model, empty if there is none.
func (j *Jobs) lengthHistoryOf(model string) *lengthHistory {
	if history := j.lengthHistories[model]; history != nil {
		return history
	}
	return &lengthHistory{}
}

// updatedLengthHistory returns a model's length history for an update, evicting the least
// recently updated one if there are too many.
func (j *Jobs) updatedLengthHistory(now time.Time, model string) *lengthHistory {
	history := j.lengthHistoryOf(model)
	history.updatedAt = now
	j.lengthHistories[model] = history
	if len(j.lengthHistories) > maxLengthHistories {
		oldest := slices.MinFunc(sortedKeys(j.lengthHistories), func(a, b string) int {
			return j.lengthHistories[a].updatedAt.Compare(j.lengthHistories[b].updatedAt)
		})
		delete(j.lengthHistories, oldest)
	}
	return history
}

// markLong marks the items whose texts may be among the longest, which determine when the job completes. It goes
// by the model's length history, or without enough samples by the hints alone: a text then needs one of the longest hints
// and one above the job's average, as there is none to single out if all are alike.
func (o *ownedJob) markLong(hints []int) {
	history := o.jobs.lengthHistoryOf(o.job.Model)
	target := int(longTextFraction * float64(history.longest()))
	longestHint, sum := 0, 0.0
	for _, hint := range hints {
		longestHint = max(longestHint, hint)
		sum += float64(hint)
	}
	for index := range o.items {
		it := &o.items[index]
		estimate := history.estimate(hints[index], 0, target)
		switch {
		case hints[index] <= 0:
		case estimate.known:
			it.long = estimate.probability >= minDelayProbability
		default:
			hint := float64(hints[index])
			it.long = hint >= longTextFraction*float64(longestHint) && hint > sum/float64(len(hints))
		}
	}
}

// longestEvents returns the expected length of a job's longest text in events: the longest in
// the model's history, or else the maximum that the items allow, or 0 if unknown.
func (j *Jobs) longestEvents(job *doorstepv1.BatchJob) int {
	if longest := j.lengthHistoryOf(job.Model).longest(); longest > 0 {
		return longest
	}
	route := j.options.Route(job.Host, job.Path)
	if route == nil {
		return 0
	}
	longest := 0
	for _, content := range job.Items {
		longest = max(longest, j.options.MaxEvents(route, itemHeader(content)))
	}
	return longest
}
