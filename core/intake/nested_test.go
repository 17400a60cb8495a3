package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against nested calls of runs of little value that take all slots from the most urgent calls: an
// overloaded service got 1,026 nested calls of runs of priority 2 a second beside calls of priority 0 and 1.
func TestMoreUrgentCallsPrecedeNestedOnes(t *testing.T) {
	q := New(1)
	first := &Call{Route: "r", Goal: start.Add(time.Second), Deadline: start.Add(5 * time.Second), Objective: time.Second}
	require.Equal(t, Started, q.Offer(start, first, true))
	var order []string
	wait := func(name string, priority int, nested bool) {
		yields := 0
		if nested {
			yields = 1
		}
		c := &Call{Route: "r", Priority: priority, Nested: nested, YieldsTo: yields, Goal: start.Add(time.Second), Deadline: start.Add(5 * time.Second), Objective: time.Second}
		c.Decide = func(v Verdict) {
			require.Equal(t, Started, v)
			order = append(order, name)
			q.Done(start, c, false)
		}
		require.Equal(t, Waiting, q.Offer(start, c, true))
	}
	wait("equal", 1, false)
	wait("nested", 0, true)
	wait("urgent", 0, false)
	q.Done(start, first, false)
	require.Equal(t, []string{"urgent", "nested", "equal"}, order)
}

// Guards against slots that are reserved for nested calls and kept from more urgent calls.
func TestReservedSlotsAreFreeForMoreUrgentCalls(t *testing.T) {
	q := New(3)
	offer := func(priority int) Verdict {
		return q.Offer(start, &Call{
			Route: "r", Priority: priority, Goal: start.Add(time.Second), Deadline: start.Add(5 * time.Second), Objective: time.Second,
		}, false)
	}
	nested := &Call{Route: "r", Nested: true, YieldsTo: 1, Goal: start.Add(time.Second), Deadline: start.Add(5 * time.Second), Objective: time.Second}
	require.Equal(t, Started, q.Offer(start, nested, false))
	q.Done(start, nested, false)
	require.Equal(t, Started, offer(1))
	require.Equal(t, Started, offer(1))
	require.Equal(t, Busy, offer(1), "the last slot is reserved")
	require.Equal(t, Started, offer(0))
}
