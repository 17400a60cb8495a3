package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against daemons that together send more retries in a window than the platform allows,
// for any timing of requests and failures.
func TestFleetBudgetHoldsOverAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := FleetRules{Ratio: 0.2, Allowance: 60, Window: 10 * time.Second}
		start := time.Unix(0, 0)
		daemons := rapid.IntRange(1, 12).Draw(t, "daemons")
		budgets := make([]*FleetBudget, daemons)
		for i := range budgets {
			budgets[i] = NewFleetBudget(rules, start)
			budgets[i].SetDaemons(daemons)
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 1500).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond
			b := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.IntRange(0, 2).Draw(t, "event") > 0 {
				b.RecordRequest(start.Add(now), Request{Service: "s"})
				events = append(events, event{at: now})
			}
			if b.Take(start.Add(now), Repeat{Service: "s"}) {
				events = append(events, event{at: now, repeat: true})
			}
		}
		for i, e := range events {
			requests, repeats := 0, 0
			for _, o := range events[:i+1] {
				switch {
				case o.at <= e.at-2*rules.Window:
				case o.repeat && o.at > e.at-rules.Window:
					repeats++
				case !o.repeat:
					// The platform applies the ratio to the requests of the current or the
					// previous window, whichever has more. Their sum is an upper bound.
					requests++
				}
			}
			require.LessOrEqual(t, float64(repeats), rules.Ratio*float64(requests)+rules.Allowance)
		}
	})
}

// Guards against a budget that is never refilled.
func TestFleetBudgetRecovers(t *testing.T) {
	start := time.Unix(0, 0)
	b := NewFleetBudget(FleetRules{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}, start)
	granted := 0
	for b.Take(start, Repeat{Service: "a"}) {
		granted++
	}
	require.Equal(t, 8, granted) // usableShare x Allowance
	require.False(t, b.Take(start.Add(5*time.Second), Repeat{Service: "a"}))
	require.True(t, b.Take(start.Add(11*time.Second), Repeat{Service: "a"}))
}

// Guards against exceeding the budget of a service whose calls are repeated because the requests
// that make them are retried at another service, for any number of calls per request.
func TestFleetBudgetCoversTheCallsOfRetriedRequests(t *testing.T) {
	for calls := range 5 {
		start := time.Unix(0, 0)
		b := NewFleetBudget(FleetRules{Ratio: 0.2, Allowance: 0, Window: 10 * time.Second}, start)
		requests, repeated, retriedRequests := 0, 0, 0
		for ms := range 10_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			b.RecordRequest(now, Request{Service: "caller"})
			b.RecordRequest(now, Request{Service: "called"}) // a direct request
			requests++
			for range calls {
				b.RecordRequest(now, Request{Service: "called"})
				requests++
			}
			if b.Take(now, Repeat{Service: "caller"}) {
				repeated += calls
				retriedRequests++
			}
			if b.Take(now, Repeat{Service: "called"}) {
				repeated++
			}
		}
		require.LessOrEqual(t, float64(repeated), 0.2*float64(requests), "%d calls", calls)
		require.LessOrEqual(t, float64(retriedRequests), 0.2*10_000)
		require.Positive(t, retriedRequests)
	}
}
