// Package virtual provides a virtual clock for simulations. Scheduled events run in the
// order of their times, all in one goroutine.
package virtual

import (
	"container/heap"
	"time"
)

// event is a callback scheduled for a virtual time. sequence orders events that have the
// same time.
type event struct {
	at       time.Time
	sequence uint64
	callback func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// Clock is a virtual clock with a queue of scheduled events.
type Clock struct {
	// Now is the current virtual time.
	Now      time.Time
	sequence uint64
	events   eventHeap
}

// After schedules callback to run after delay. A negative delay counts as zero.
func (c *Clock) After(delay time.Duration, callback func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.Now.Add(max(delay, 0)), sequence: c.sequence, callback: callback})
}

// Every runs callback at an interval until it returns false.
func (c *Clock) Every(interval time.Duration, callback func() bool) {
	c.After(interval, func() {
		if callback() {
			c.Every(interval, callback)
		}
	})
}

// Step advances the clock to the next event and runs it. It returns false if there is none.
func (c *Clock) Step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.Now = next.at
	next.callback()
	return true
}

// Pending returns the number of scheduled events.
func (c *Clock) Pending() int { return len(c.events) }
