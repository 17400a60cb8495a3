package loadsim

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	seq uint64 // order of events at the same time
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// clock is the virtual time and what is still to happen.
type clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

// at schedules a function.
func (c *clock) at(t time.Time, run func()) {
	c.seq++
	heap.Push(&c.events, event{t, c.seq, run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// play runs all events.
func (c *clock) play() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
