package intake

import (
	"math"
	"time"
)

// countNested takes the arrival of a nested call into the load of such calls.
func (q *Queue) countNested(now time.Time, c *Call) {
	q.nestedLoad = q.offered(now) + q.expected(c).Seconds()/nestedMemory.Seconds()
	q.nestedAt = now
}

// offered returns the number of slots that nested calls need on average.
func (q *Queue) offered(now time.Time) float64 {
	return q.nestedLoad * math.Exp(-now.Sub(q.nestedAt).Seconds()/nestedMemory.Seconds())
}

// kept returns the number of free slots that are kept for nested calls. Each of them holds a
// slot elsewhere while it waits, and long runs here end too seldom for a steady stream of them.
func (q *Queue) kept(now time.Time) int {
	offered := q.offered(now)
	if offered < minNestedLoad {
		return 0
	}
	reserve := min(int(math.Ceil(offered)), q.slots/nestedShare)
	return min(max(0, reserve-q.nestedRunning), max(0, q.slots-len(q.running)))
}

// free reports whether a slot is free for the call.
func (q *Queue) free(now time.Time, c *Call) bool {
	if c.Nested {
		return len(q.running) < q.slots
	}
	return len(q.running)+q.kept(now) < q.slots
}
