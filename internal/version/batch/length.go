package batch

import (
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

const (
	// lengthsKept is how many of a model's texts its lengths are told by: those of some three steps.
	lengthsKept = 384
	// lengthsKnown is how many there must be to tell anything, alikeKnown how many of them must
	// have passed a text's events for its own chances to be told.
	lengthsKnown = 48
	alikeKnown   = 6
	// nearLongest is the part of the longest text from which on a text counts as one of the
	// longest.
	nearLongest = 0.9
	// modelsKept is of how many models lengths are kept, some 6 KB each.
	modelsKept = 64
)

// textLength is what a finished text came to.
type textLength struct {
	// hint is what its caller estimated, in tokens, 0 for none.
	hint int
	// events are those that it has.
	events int
}

// lengths is the survival of a model's texts: how many of those that passed some events went on
// to others, and how far off callers' estimates were.
type lengths struct {
	finished []textLength
	next     int
	// learnedAt is when they last took the texts of a job.
	learnedAt time.Time
}

// learn takes a finished text; the oldest is forgotten.
func (l *lengths) learn(one textLength) {
	if len(l.finished) < lengthsKept {
		l.finished = append(l.finished, one)
		return
	}
	l.finished[l.next] = one
	l.next = (l.next + 1) % lengthsKept
}

// known reports whether enough texts are known.
func (l *lengths) known() bool { return len(l.finished) >= lengthsKnown }

// longest returns the most events of a text, 0 if too few texts are known.
func (l *lengths) longest() int {
	if !l.known() {
		return 0
	}
	return slices.MaxFunc(l.finished, func(a, b textLength) int { return a.events - b.events }).events
}

// survival is what is expected of a text that has made some events.
type survival struct {
	// chance is that of reaching the events asked for, from 0 to 1.
	chance float64
	// left is the mean of the events that it makes from there on.
	left float64
	// known is false if too few comparable texts are known.
	known bool
}

// survive tells of a text with a caller's hint that has made events whether it will have most.
// Each known text stands for what this one becomes if its caller is off by the same factor;
// without hints for what it becomes itself.
func (l *lengths) survive(hint, made, most int) survival {
	if !l.known() {
		return survival{}
	}
	passed, reached, left := 0, 0, 0
	longest := l.longest()
	for _, one := range l.finished {
		events := one.events
		if hint > 0 && one.hint > 0 {
			events = min(events*hint/one.hint, longest)
		}
		switch {
		case events <= made:
		case events < most && one.events >= longest:
			// It was cut: how far off its caller was isn't known.
		default:
			passed++
			left += events - made
			if events >= most {
				reached++
			}
		}
	}
	if passed < alikeKnown {
		return survival{}
	}
	// The rule of succession: none of six says less than none of sixty.
	return survival{chance: float64(reached+1) / float64(passed+2), left: float64(left) / float64(passed), known: true}
}

// learnLengths takes the texts of a job that is over. Before that its finished texts are its
// short ones; those that it was ended without have at least the events made so far. A job that was
// ended before the half of its texts were whole tells nothing: most were cut for no reason of theirs.
func (o *ownedJob) learnLengths(now time.Time) {
	var texts []textLength
	finished := 0
	for i := range o.items {
		one := &o.items[i]
		if one.state >= itemFinished {
			finished++
		}
		if events := max(one.length, len(one.events)+len(one.progress)); events > 0 {
			texts = append(texts, textLength{hint: one.hint, events: events})
		}
	}
	if 2*finished < len(o.items) || len(texts) == 0 {
		return
	}
	known := o.jobs.keepLengths(now, o.job.Model)
	for _, one := range texts {
		known.learn(one)
	}
}

// lengthsOf returns the lengths of a model's texts.
func (j *Jobs) lengthsOf(model string) *lengths {
	if known := j.lengths[model]; known != nil {
		return known
	}
	return &lengths{}
}

// keepLengths returns the lengths of a model whose job is over, in the place of those learned longest
// ago if they are of too many.
func (j *Jobs) keepLengths(now time.Time, model string) *lengths {
	known := j.lengthsOf(model)
	known.learnedAt = now
	j.lengths[model] = known
	if len(j.lengths) > modelsKept {
		oldest := slices.MinFunc(sortedKeys(j.lengths), func(a, b string) int {
			return j.lengths[a].learnedAt.Compare(j.lengths[b].learnedAt)
		})
		delete(j.lengths, oldest)
	}
	return known
}

// markLong marks the items whose texts may be among the longest: those that comparable texts of
// the model became, or while too few are known a part of the items, by their callers' hints.
// The items are in the order of the hints.
func (o *ownedJob) markLong(order, hints []int) {
	known := o.jobs.lengthsOf(o.job.Model)
	most := int(nearLongest * float64(known.longest()))
	for place, index := range order {
		one := &o.items[index]
		expected := known.survive(hints[index], 0, most)
		switch {
		case hints[index] <= 0:
		case expected.known:
			one.long = expected.chance >= decideChance
		default:
			one.long = place < len(order)/longPart
		}
	}
}

// longestEvents returns how many events a job's longest texts are expected to have: the most
// that this node saw of the model, or else what the items may have, 0 if neither is known.
func (j *Jobs) longestEvents(job *doorstepv1.BatchJob) int {
	if longest := j.lengthsOf(job.Model).longest(); longest > 0 {
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
