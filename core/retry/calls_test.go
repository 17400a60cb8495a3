package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against calls that are taken for known before enough runs have shown them, and against a mean
// that does not follow a change.
func TestCallMeter(t *testing.T) {
	m := NewCallMeter()
	for range minMeteredRuns - 1 {
		m.RunEnded("view", Calls{"records": 2})
	}
	require.Nil(t, m.Calls("view"))
	m.RunEnded("view", Calls{"records": 2})
	require.Equal(t, Calls{"records": 2}, m.Calls("view"))
	for range 8 {
		m.RunEnded("claim", nil)
	}
	require.NotNil(t, m.Calls("claim"))
	require.Empty(t, m.Calls("claim"))
	for range 1000 {
		m.RunEnded("view", Calls{"records": 1, "photos": 1})
	}
	require.InDelta(t, 1, m.Calls("view")["records"], 0.01)
	require.InDelta(t, 1, m.Calls("view")["photos"], 0.01)
}

// Guards against repeats of one service that use up the budgets of services which they do not call, and
// against runs whose calls are charged to nobody.
func TestRepeatIsChargedWhereItCalls(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewFleetBudget(FleetRules{Allowance: 10, Window: 10 * time.Second}, now) // 8 repeats for each service
	view := Repeat{Service: "board", Calls: Calls{"records": 2}}
	for range 4 {
		require.True(t, b.Take(now, view))
	}
	require.False(t, b.Take(now, view), "the calls of four runs use up the budget of records")
	require.False(t, b.Take(now, Repeat{Service: "records", Calls: Calls{}}))
	for range 4 {
		require.True(t, b.Take(now, Repeat{Service: "board", Calls: Calls{}}), "runs without calls")
	}
	require.False(t, b.Take(now, Repeat{Service: "photos"}), "unknown calls are charged to all services")
	charge := Repeat{Service: "photos", Calls: Calls{}}
	for range 8 {
		require.True(t, b.Take(now, charge))
	}
	require.False(t, b.Take(now, charge))
	b.Refund(now, charge)
	require.True(t, b.Take(now, charge), "a repeat that was not sent costs nothing")
}

// Guards against exceeding the budget of a service when the calls of its runs are known: the requests
// that the calls bring are shared between repeats of the calls and of the runs.
func TestFleetBudgetSharesTheCallsOfRuns(t *testing.T) {
	for calls := range 5 {
		start := time.Unix(0, 0)
		rules := FleetRules{Ratio: 0.2, Window: 10 * time.Second}
		ingress, beside := NewFleetBudget(rules, start), NewFleetBudget(rules, start)
		known := Calls{"called": float64(calls)}
		requests, repeated, repeatedRuns := 0, 0, 0
		for ms := range 10_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			ingress.RecordRequest(now, Request{Service: "caller", Calls: known})
			for range calls {
				beside.RecordRequest(now, Request{Service: "called", Nested: true, Calls: Calls{}})
				requests++
			}
			if ingress.Take(now, Repeat{Service: "caller", Calls: known}) {
				repeated += calls
				repeatedRuns++
			}
			if beside.Take(now, Repeat{Service: "called", Calls: Calls{}}) {
				repeated++
			}
		}
		require.LessOrEqual(t, float64(repeated), 0.2*float64(requests), "%d calls", calls)
		require.LessOrEqual(t, float64(repeatedRuns), 0.2*10_000)
		if calls > 0 {
			require.Greater(t, float64(repeated), 0.1*float64(requests), "most of the budget can be used")
		}
	}
}
