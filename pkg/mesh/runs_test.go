package mesh

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/core/route"
)

// Guards against a run that counts as failed by its calls although they succeeded in the end, or the
// reverse.
func TestRunsRecordTheirCalls(t *testing.T) {
	r := newRuns()
	r.begin("p", 0)
	first, second := r.call("p", "records", retry.Calls{"photos": 0.5}), r.call("p", "records", nil)
	require.False(t, first.attemptFailed(), "the only call that was refused")
	require.False(t, first.attemptFailed())
	require.True(t, second.attemptFailed())
	first.ended(true)
	require.False(t, second.attemptFailed(), "the other call has succeeded since")
	second.ended(true)
	require.False(t, r.end("p", "view", true))
	require.False(t, r.active("p"))
	require.Nil(t, r.call("p", "records", nil), "the run has ended")

	for range 7 {
		r.begin("q", 0)
		failed := r.call("q", "records", nil)
		failed.attemptFailed()
		failed.ended(false)
		require.True(t, r.end("q", "view", true))
	}
	require.InDelta(t, 9.0/8, r.report("view")["records"], 0.01)
	require.InDelta(t, 0.5/8, r.report("view")["photos"], 0.01)
	r.begin("other", 0)
	require.False(t, r.end("other", "view", true))
	require.Nil(t, r.report("view"), "one run of eight reports its calls")

	var none *nestedCall
	require.False(t, none.attemptFailed())
	none.ended(false)
}

// Guards against reports that another daemon cannot read, and against taking odd texts for one.
func TestEncodeCalls(t *testing.T) {
	for _, c := range []struct {
		calls      retry.Calls
		callFailed bool
		text       string
	}{
		{nil, false, ""},
		{nil, true, "failed;unknown"},
		{retry.Calls{}, false, "ok"},
		{retry.Calls{"a b": 1.25, "c": 2}, true, "failed;a+b=1.25;c=2.00"},
	} {
		require.Equal(t, c.text, encodeCalls(c.calls, c.callFailed))
		calls, callFailed := decodeCalls(c.text)
		require.Equal(t, c.calls, calls)
		require.Equal(t, c.callFailed, callFailed)
	}
	many := strings.Repeat(";a=1", maxReportedServices+1)
	for _, text := range []string{"failed;a", "failed;a=x", "ok;a=NaN", "ok;a=-1", "ok;a=1e9", "ok;=1", "ok;%zz=1", "what", "ok" + many} {
		calls, callFailed := decodeCalls(text)
		require.Nil(t, calls, text)
		require.False(t, callFailed, text)
	}
}

// Guards against repeats of runs that failed because of their calls while the budget is short, and
// against the loss of those on which a request depends.
func TestShortBudgetRepeatsWhatDependsOnIt(t *testing.T) {
	now := time.Now()
	i := newRetryIngress(t, now) // 8 repeats in a second
	i.calls.Learn("read", retry.Calls{})
	failed := Result{Arrived: true, CallFailed: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "a call failed")}
	granted := 0
	for i.shouldRetry(t.Context(), newRetryRequest(now, route.Safe), &failed) {
		granted++
	}
	require.Equal(t, 2, granted)
	shed := Result{Arrived: true, Refusal: notRun(refusal.Overloaded, "shed", 0)}
	for i.shouldRetry(t.Context(), newRetryRequest(now, route.Unsafe), &shed) {
		granted++
	}
	require.Equal(t, 4, granted)
	for {
		returning := newRetryRequest(now, route.Unsafe)
		returning.returning = true
		if !i.shouldRetry(t.Context(), returning, &shed) {
			require.True(t, returning.repeatDenied)
			break
		}
		granted++
	}
	require.Equal(t, 8, granted)
}

// A late second copy of the first answer bears the ID of the second attempt as well, so that the ID does
// not tell them apart. Guards against a second attempt at the upstream that received the first one.
func TestNoSecondAttemptAtAnUpstreamThatReceivedTheRequest(t *testing.T) {
	now := time.Now()
	for name, res := range map[string]Result{
		"refused by the upstream": {Arrived: true, Refusal: notRun(refusal.Overloaded, "shed", 0)},
		"misdirected":             {Arrived: true, Refusal: notRun(refusal.NoInstance, "another instance", 0)},
		"connection failed":       {Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "reset")},
		"run interrupted":         interruptedRun(),
	} {
		t.Run(name, func(t *testing.T) {
			i, req := newRetryIngress(t, now), newRetryRequest(now, route.Safe)
			i.recordAttempt(req, &Job{Instance: "first", MayWait: true}, &res)
			interrupted := interruptedRun()
			i.recordAttempt(req, &Job{Instance: "second"}, &interrupted)
			require.Equal(t, []model.InstanceID{"first", "second"}, req.excluded())
		})
	}
}

// Guards against calls that are as urgent as the service that they call says, whatever the request needs
// that makes them, and against an unknown request that makes its calls the most urgent ones.
func TestCallsAreAsUrgentAsTheRequestThatMakesThem(t *testing.T) {
	r := newRuns()
	r.begin("least", 2)
	r.begin("most", 0)
	require.Equal(t, 1, r.callPriority("least", 0), "the run has taken a slot already")
	require.Equal(t, 0, r.callPriority("most", 3))
	require.Equal(t, 3, r.callPriority("unknown", 3))
}
