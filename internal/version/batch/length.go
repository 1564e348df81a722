package batch

import (
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

const (
	// lengthsKept is how many of a model's texts its lengths are told by: those of some three steps.
	maxLengthSamples = 384
	// lengthsKnown is how many there must be to tell anything, alikeKnown how many of them must
	// have passed a text's events for its own chances to be told.
	minLengthSamples     = 48
	minComparableSamples = 6
	// nearLongest is the part of the longest text from which on a text counts as one of the
	// longest.
	longTextFraction = 0.9
	// modelsKept is of how many models lengths are kept, some 6 KB each.
	maxLengthHistories = 64
)

// textLength is what a finished text came to.
type lengthSample struct {
	// hint is what its caller estimated, in tokens, 0 for none.
	hint int
	// events are those that it has.
	events int
}

// lengths is the survival of a model's texts: how many of those that passed some events went on
// to others, and how far off callers' estimates were.
type lengthHistory struct {
	samples []lengthSample
	next    int
	// learnedAt is when they last took the texts of a job.
	updatedAt time.Time
}

// learn takes a finished text; the oldest is forgotten.
func (l *lengthHistory) add(sample lengthSample) {
	if len(l.samples) < maxLengthSamples {
		l.samples = append(l.samples, sample)
		return
	}
	l.samples[l.next] = sample
	l.next = (l.next + 1) % maxLengthSamples
}

// known reports whether enough texts are known.
func (l *lengthHistory) sufficient() bool { return len(l.samples) >= minLengthSamples }

// longest returns the most events of a text, 0 if too few texts are known.
func (l *lengthHistory) longest() int {
	if !l.sufficient() {
		return 0
	}
	return slices.MaxFunc(l.samples, func(a, b lengthSample) int { return a.events - b.events }).events
}

// survival is what is expected of a text that has made some events.
type lengthEstimate struct {
	// chance is that of reaching the events asked for, from 0 to 1.
	probability float64
	// left is the mean of the events that it makes from there on.
	meanRemaining float64
	// known is false if too few comparable texts are known.
	known bool
}

// survive tells of a text with a caller's hint that has made events whether it will have most.
// Each known text stands for what this one becomes if its caller is off by the same factor;
// without hints for what it becomes itself.
func (l *lengthHistory) estimate(hint, generated, target int) lengthEstimate {
	if !l.sufficient() {
		return lengthEstimate{}
	}
	passed, reached, remaining := 0, 0, 0
	longest := l.longest()
	for _, sample := range l.samples {
		events := sample.events
		if hint > 0 && sample.hint > 0 {
			events = min(events*hint/sample.hint, longest)
		}
		switch {
		case events <= generated:
		case events < target && sample.events >= longest:
			// It was cut: how far off its caller was isn't known.
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
	// The rule of succession: none of six says less than none of sixty.
	return lengthEstimate{probability: float64(reached+1) / float64(passed+2), meanRemaining: float64(remaining) / float64(passed), known: true}
}

// learnLengths takes the texts of a job that is over. Before that its finished texts are its
// short ones; those that it was ended without have at least the events made so far. A job that was
// ended before the half of its texts were whole tells nothing: most were cut for no reason of theirs.
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
	known := o.jobs.updatedLengthHistory(now, o.job.Model)
	for _, one := range samples {
		known.add(one)
	}
}

// lengthsOf returns the lengths of a model's texts.
func (j *Jobs) lengthHistoryOf(model string) *lengthHistory {
	if known := j.lengthHistories[model]; known != nil {
		return known
	}
	return &lengthHistory{}
}

// keepLengths returns the lengths of a model whose job is over, in the place of those learned longest
// ago if they are of too many.
func (j *Jobs) updatedLengthHistory(now time.Time, model string) *lengthHistory {
	known := j.lengthHistoryOf(model)
	known.updatedAt = now
	j.lengthHistories[model] = known
	if len(j.lengthHistories) > maxLengthHistories {
		oldest := slices.MinFunc(sortedKeys(j.lengthHistories), func(a, b string) int {
			return j.lengthHistories[a].updatedAt.Compare(j.lengthHistories[b].updatedAt)
		})
		delete(j.lengthHistories, oldest)
	}
	return known
}

// markLong marks the items whose texts may be among the longest: those that comparable texts of
// the model became, or while too few are known a part of the items, by their callers' hints.
// The items are in the order of the hints.
func (o *ownedJob) markLong(order, hints []int) {
	known := o.jobs.lengthHistoryOf(o.job.Model)
	target := int(longTextFraction * float64(known.longest()))
	for place, index := range order {
		it := &o.items[index]
		expected := known.estimate(hints[index], 0, target)
		switch {
		case hints[index] <= 0:
		case expected.known:
			it.long = expected.probability >= minDelayProbability
		default:
			it.long = place < len(order)/longItemDivisor
		}
	}
}

// longestEvents returns how many events a job's longest texts are expected to have: the most
// that this node saw of the model, or else what the items may have, 0 if neither is known.
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
		longest = max(longest, j.options.MostEvents(route, itemHeader(content)))
	}
	return longest
}
