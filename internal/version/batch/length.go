package batch

import (
	"slices"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

const (
	// lengthsKept is how many of a model's finished texts its lengths are told by: those of some
	// three steps.
	lengthsKept = 384
	// lengthsKnown is how many there must be to tell anything, alikeKnown how many of them must
	// be comparable with a text for its own chances to be told.
	lengthsKnown = 48
	alikeKnown   = 6
	// alikeHints is by what factor hints may differ for texts to be comparable: hints are off
	// by as much themselves.
	alikeHints = 1.5
	// nearLongest is the part of the longest text from which on a text counts as one of the
	// longest.
	nearLongest = 0.9
)

// textLength is what a finished text came to.
type textLength struct {
	// hint is what its caller estimated, in tokens, 0 for none.
	hint int
	// events are those that it has.
	events int
}

// lengths is the survival of a model's texts: how long those became that a caller's estimate
// and their events so far made alike.
type lengths struct {
	finished []textLength
	next     int
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
	// chance is the part of comparable texts that reached the events asked for, from 0 to 1.
	chance float64
	// left is the mean of the events that comparable texts made from there on.
	left float64
	// known is false if too few comparable texts are known.
	known bool
}

// survive tells of a text with a caller's hint that has made events whether it will have most.
// Comparable are texts with a hint like its own that passed as many events; where those are
// few, all that passed them.
func (l *lengths) survive(hint, made, most int) survival {
	if !l.known() {
		return survival{}
	}
	if alike := l.among(made, most, func(one textLength) bool { return alikeHint(hint, one.hint) }); alike.known {
		return alike
	}
	return l.among(made, most, func(textLength) bool { return true })
}

func alikeHint(a, b int) bool {
	return float64(a) <= alikeHints*float64(b) && float64(b) <= alikeHints*float64(a)
}

// among tells the same by the texts that are comparable.
func (l *lengths) among(made, most int, comparable func(textLength) bool) survival {
	passed, reached, left := 0, 0, 0
	for _, one := range l.finished {
		if one.events <= made || !comparable(one) {
			continue
		}
		passed++
		left += one.events - made
		if one.events >= most {
			reached++
		}
	}
	if passed < alikeKnown {
		return survival{}
	}
	return survival{chance: float64(reached) / float64(passed), left: float64(left) / float64(passed), known: true}
}

// lengthsOf returns the lengths of a model's texts.
func (j *Jobs) lengthsOf(model string) *lengths {
	known := j.lengths[model]
	if known == nil {
		known = &lengths{}
		j.lengths[model] = known
	}
	return known
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
