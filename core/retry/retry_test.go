package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangoshed.example/mangoshed/core/refusal"
)

func drawAttempt(t *rapid.T) Attempt {
	return Attempt{
		Number: rapid.IntRange(1, 5).Draw(t, "number"),
		Kind: rapid.SampledFrom([]refusal.Kind{
			refusal.Overloaded, refusal.Leaving, refusal.UpstreamFailed, refusal.Cut, refusal.Limited,
			refusal.Duplicate, refusal.UnknownOutcome, refusal.Quarantined, refusal.BadRequest, refusal.Deadline,
		}).Draw(t, "kind"),
		Run:        rapid.SampledFrom([]refusal.Run{refusal.NotRun, refusal.MayHaveRun}).Draw(t, "run"),
		Repeatable: rapid.Bool().Draw(t, "repeatable"),
		Replayable: rapid.Bool().Draw(t, "replayable"),
		Depth:      rapid.IntRange(0, 26).Draw(t, "depth"),
		Remaining:  time.Duration(rapid.Int64Range(-1, int64(50*time.Millisecond)).Draw(t, "remaining")),
	}
}

// Guards against running a request twice that must not be repeated, and against retries that
// multiply along a chain of calls, start after the deadline or exceed MaxAttempts.
func TestRetriesOnlyWhatIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawAttempt(t)
		v := Decide(a, NewBudget(), rapid.Uint64().Draw(t, "random"))
		if !v.Retry() {
			require.Zero(t, v.Wait)
			return
		}
		if a.Run == refusal.MayHaveRun {
			require.True(t, a.Repeatable)
			require.Zero(t, a.Depth)
		}
		require.True(t, a.Replayable)
		require.Less(t, a.Number, MaxAttempts)
		require.Less(t, v.Wait, a.Remaining)
		require.LessOrEqual(t, v.Wait, BaseBackoff<<(a.Number-1))
		require.NotContains(t, []refusal.Kind{
			refusal.Duplicate, refusal.UnknownOutcome, refusal.Quarantined, refusal.Limited, refusal.BadRequest,
		}, a.Kind)
		require.True(t, a.Kind != refusal.Deadline || a.Run == refusal.NotRun)
	})
}

// Guards against more retries than a tenth of the calls plus the initial budget, in any order of
// calls and retries.
func TestBudgetLimitsRetriesToATenthOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget()
		calls, retries := 0, 0
		for range rapid.IntRange(0, 2000).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "call") {
				budget.RecordCall()
				calls++
			} else if budget.takeRetry() {
				retries++
			}
			require.LessOrEqual(t, retries*CallsPerRetry, calls+initialRetries*CallsPerRetry)
			require.LessOrEqual(t, budget.Retries(), BurstRetries)
		}
	})
}

// Guards against a wrong reason when the budget is exhausted, and against a backoff after a refusal
// by an instance that is shutting down.
func TestVerdictNamesTheReason(t *testing.T) {
	ok := Attempt{
		Number: 1, Kind: refusal.Overloaded, Run: refusal.NotRun, Replayable: true, Remaining: time.Second,
	}
	empty := &Budget{}
	require.Equal(t, Exhausted, Decide(ok, empty, 0).Reason)
	require.Equal(t, Again, Decide(ok, NewBudget(), 0).Reason)
	leaving := ok
	leaving.Kind = refusal.Leaving
	require.Zero(t, Decide(leaving, NewBudget(), 12345).Wait)
}

// Guards against failing calls that were queued at an instance when it started to shut down,
// because there are more of them than retries in the budget.
func TestCallsRefusedByLeavingInstanceUseNoBudget(t *testing.T) {
	refusedByLeaving := Attempt{Number: 1, Kind: refusal.Leaving, Run: refusal.NotRun, Replayable: true, Remaining: time.Second}
	require.Equal(t, Again, Decide(refusedByLeaving, &Budget{}, 0).Reason)
	budget := NewBudget()
	before := budget.Retries()
	require.True(t, Decide(refusedByLeaving, budget, 0).Retry())
	require.Equal(t, before, budget.Retries())
	mayHaveRun := refusedByLeaving
	mayHaveRun.Run, mayHaveRun.Repeatable = refusal.MayHaveRun, true
	require.Equal(t, Exhausted, Decide(mayHaveRun, &Budget{}, 0).Reason)
	last := refusedByLeaving
	last.Number = MaxAttempts
	require.Equal(t, Attempts, Decide(last, NewBudget(), 0).Reason)
}
