package intake

import (
	"math"
	"time"
)

// The tiers of calls: those of a tier precede all of the next one.
const (
	urgentCalls = iota
	nestedCalls
	otherCalls
)

// tier returns the tier of a call. Without a nested call the run that waits for it fails, so nested calls
// precede all others but those to which the last nested call yields. If the most urgent calls waited as
// well, runs of little value would take their slots under overload.
func (q *Queue) tier(c *Call) int {
	switch {
	case c.Nested:
		return nestedCalls
	case c.Priority < q.nestedYieldsTo:
		return urgentCalls
	}
	return otherCalls
}

// recordNestedArrival adds the expected run time of a new nested call to the nested load.
func (q *Queue) recordNestedArrival(now time.Time, c *Call) {
	q.nestedLoad = q.nestedSlotsNeeded(now) + q.expected(c).Seconds()/nestedLoadWindow.Seconds()
	q.nestedAt, q.nestedYieldsTo = now, c.YieldsTo
}

// nestedSlotsNeeded returns the average number of slots that nested calls need.
func (q *Queue) nestedSlotsNeeded(now time.Time) float64 {
	return q.nestedLoad * math.Exp(-now.Sub(q.nestedAt).Seconds()/nestedLoadWindow.Seconds())
}

// reservedSlots returns the number of free slots that are reserved for nested calls. Each nested
// call holds a slot elsewhere while it waits, and long runs on this upstream complete too rarely
// to free slots for a steady stream of nested calls.
func (q *Queue) reservedSlots(now time.Time) int {
	needed := q.nestedSlotsNeeded(now)
	if needed < minNestedLoad {
		return 0
	}
	reserve := min(int(math.Ceil(needed)), q.slots/nestedSlotDivisor)
	return min(max(0, reserve-q.nestedRunning), max(0, q.slots-len(q.running)))
}

// hasFreeSlot reports whether a slot is free for the call, and the upstream's limit and the rate while it
// is cold allow one more.
func (q *Queue) hasFreeSlot(now time.Time, c *Call) bool {
	if !q.pace.allows(now, c.pressing) || q.ShortOfColdRate(now) {
		return false
	}
	if q.tier(c) < otherCalls {
		return len(q.running) < q.slots
	}
	return len(q.running)+q.reservedSlots(now) < q.slots
}
