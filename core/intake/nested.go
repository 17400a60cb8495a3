package intake

import (
	"math"
	"time"
)

// recordNestedArrival adds the expected run time of a new nested call to the nested load.
func (q *Queue) countNested(now time.Time, c *Call) {
	q.nestedLoad = q.offered(now) + q.expected(c).Seconds()/nestedMemory.Seconds()
	q.nestedAt = now
}

// nestedSlotsNeeded returns the average number of slots that nested calls need.
func (q *Queue) offered(now time.Time) float64 {
	return q.nestedLoad * math.Exp(-now.Sub(q.nestedAt).Seconds()/nestedMemory.Seconds())
}

// reservedSlots returns the number of free slots that are reserved for nested calls. Each nested
// call holds a slot elsewhere while it waits, and long runs on this upstream complete too rarely
// to free slots for a steady stream of nested calls.
func (q *Queue) kept(now time.Time) int {
	offered := q.offered(now)
	if offered < minNestedLoad {
		return 0
	}
	reserve := min(int(math.Ceil(offered)), q.slots/nestedShare)
	return min(max(0, reserve-q.nestedRunning), max(0, q.slots-len(q.running)))
}

// hasFreeSlot reports whether a slot is free for the call.
func (q *Queue) free(now time.Time, c *Call) bool {
	if c.Nested {
		return len(q.running) < q.slots
	}
	return len(q.running)+q.kept(now) < q.slots
}
