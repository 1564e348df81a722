// Package virtual is a clock for simulations: events happen in the order of their
// times, all in one goroutine.
package virtual

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time; serial keeps the order of
// events at the same time.
type event struct {
	at     time.Time
	serial uint64
	do     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is for container/heap.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// Clock is a virtual time and what is to happen on it.
type Clock struct {
	// Now is the present time.
	Now    time.Time
	serial uint64
	events eventHeap
}

// After schedules do for a time from now.
func (c *Clock) After(delay time.Duration, do func()) {
	c.serial++
	heap.Push(&c.events, event{at: c.Now.Add(max(delay, 0)), serial: c.serial, do: do})
}

// Every schedules do at an interval until it returns false.
func (c *Clock) Every(interval time.Duration, do func() bool) {
	c.After(interval, func() {
		if do() {
			c.Every(interval, do)
		}
	})
}

// Step runs the next event; false means that there is none.
func (c *Clock) Step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.Now = next.at
	next.do()
	return true
}

// Pending returns how many events are still to happen.
func (c *Clock) Pending() int { return len(c.events) }
