package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveTrials offers a call of the route each 100 ms for so long, while another call is always running. As
// senders do, it offers a call that is busy again as one that may wait. Each started call takes the given time.
// It returns the numbers of started calls in each second.
func serveTrials(t *testing.T, q *Queue, seconds, deadline int, run time.Duration) []int {
	other, _ := call("other", 0, 0, 60_000, 60_000)
	require.Equal(t, Started, q.Offer(at(0), other, false))
	started := make([]int, seconds)
	for ms := 0; ms < 1000*seconds; ms += 100 {
		c, _ := call("r", 0, ms, 400, deadline)
		if q.Offer(at(ms), c, false) != Started && q.Offer(at(ms), c, true) != Started {
			continue
		}
		started[ms/1000]++
		end := c.started.Add(min(run, time.Duration(deadline)*time.Millisecond))
		q.Done(end, c, !end.After(at(ms+deadline-1)))
	}
	return started
}

// Guards against a route that an upstream refuses for good beside free slots, because its runs were slow once
// and its calls have less time than that: only a run would change the estimate.
func TestRouteWithAnOutdatedEstimateIsTried(t *testing.T) {
	q := New(9)
	setRunTime(q, "r", 1560)
	setRunTime(q, "other", 60_000)
	started := serveTrials(t, q, 5, 500, 130*time.Millisecond)
	require.Equal(t, 10, started[4], "%v", started)
}

// Guards against trials that are used up by calls which may not wait, while no slot is free: those that may
// wait would never be tried.
func TestTrialIsKeptForACallThatCanStart(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 1560)
	setRunTime(q, "other", 100)
	other, _ := call("other", 0, 0, 1000, 1000)
	require.Equal(t, Started, q.Offer(at(0), other, false))
	for range 10 {
		c, _ := call("r", 0, 0, 400, 500)
		require.Equal(t, Busy, q.Offer(at(0), c, false))
	}
	c, o := call("r", 0, 0, 400, 500)
	require.Equal(t, Waiting, q.Offer(at(0), c, true))
	q.Done(at(100), other, true)
	require.Equal(t, []Verdict{Started}, o.verdicts)
}

// Guards against slots that are lost to calls of a route whose runs do take longer than its calls have.
func TestSlowRouteIsTriedRarely(t *testing.T) {
	q := New(9)
	setRunTime(q, "r", 1560)
	setRunTime(q, "other", 60_000)
	total := 0
	for _, n := range serveTrials(t, q, 40, 500, 1560*time.Millisecond) {
		total += n
	}
	require.LessOrEqual(t, total, 10)
}

// Guards against a trial with a call that was refused elsewhere and has little time left: it would fail, and a
// call that may not be repeated would end with an unknown outcome.
func TestReturningCallsAreNotTried(t *testing.T) {
	q := New(9)
	setRunTime(q, "r", 1560)
	setRunTime(q, "other", 60_000)
	other, _ := call("other", 0, 0, 60_000, 60_000)
	require.Equal(t, Started, q.Offer(at(0), other, false))
	for ms := 0; ms < 5000; ms += 100 {
		returning, _ := call("r", 0, ms, 400, 500)
		returning.Returning = true
		require.Equal(t, Overloaded, q.Offer(at(ms), returning, false))
		short, _ := call("r", 0, ms, 400, 40)
		require.Equal(t, Overloaded, q.Offer(at(ms), short, false))
	}
}
