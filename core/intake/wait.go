package intake

import (
	"slices"
	"time"
)

// admitToQueue reports whether the call can probably be answered before its deadline if it waits.
// It sets admittedLate if the response will probably miss the latency objective.
func (q *Queue) admitToQueue(now time.Time, c *Call) bool {
	run := q.expected(c)
	wait := q.wait(now, q.ahead(now, c))
	if q.tooLateToStart(c, now.Add(wait)) {
		return false
	}
	if wait+run <= time.Duration(goalShare*float64(c.Goal.Sub(now))) {
		return true
	}
	if c.Nested {
		// Only other nested calls precede this call.
		return wait+run <= c.Deadline.Sub(now)
	}
	// The call will be late, and then more of the waiting calls precede it than do now. While
	// late calls rarely get a slot, only one of them is admitted at a time, to detect when that
	// changes.
	if q.lateShare < minLateShare && q.lateWaiting > 0 {
		return false
	}
	c.admittedLate = lateFactor*q.wait(now, q.aheadOfLate(now, c))+run <= c.Deadline.Sub(now)
	return c.admittedLate
}

// aheadOfLate returns the waiting calls that precede the call once it is late.
func (q *Queue) aheadOfLate(now time.Time, c *Call) []*Call {
	late := *c
	late.Goal = now
	return q.ahead(now, &late)
}

// ahead returns the waiting calls that precede the call.
func (q *Queue) ahead(now time.Time, c *Call) []*Call {
	var list []*Call
	for _, other := range q.waiting {
		if other != c && q.before(now, other, c) {
			list = append(list, other)
		}
	}
	return list
}

// wait estimates the time until a slot is free for a call that the calls in ahead precede. It
// simulates the expected completion of the running calls and of those ahead, and allows for the
// upstream's limit and the rate while it is cold.
func (q *Queue) wait(now time.Time, ahead []*Call) time.Duration {
	return max(q.slotWait(now, ahead), q.pace.wait(now, len(ahead)+1), q.cold.wait(now, len(ahead)+1))
}

// slotWait is wait without these rates.
func (q *Queue) slotWait(now time.Time, ahead []*Call) time.Duration {
	free := q.slots - len(q.running)
	if free > len(ahead) {
		return 0
	}
	ends := q.ends[:0]
	for _, c := range q.running {
		run := q.expected(c)
		ends = append(ends, max(run-q.pacedRun(q.workDone(now, c)), run/remainingDivisor))
	}
	for range free {
		ends = append(ends, 0)
	}
	q.ends = ends
	slices.Sort(ends)
	for _, c := range ahead {
		// The call starts in the first slot to become free; ends stays sorted.
		end := ends[0] + q.expected(c)
		at, _ := slices.BinarySearch(ends[1:], end)
		copy(ends, ends[1:1+at])
		ends[at] = end
	}
	return ends[0]
}
