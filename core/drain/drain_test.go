package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a plan that leaves no time to finish accepted requests, or that exceeds the
// grace period.
func TestPlanLeavesTimeToFinish(t *testing.T) {
	began := time.Unix(0, 0)
	for _, grace := range []time.Duration{time.Millisecond, 500 * time.Millisecond, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		p := New(began, grace)
		require.True(t, p.Accepts(began), grace)
		require.False(t, p.Accepts(p.RejectFrom), grace)
		require.GreaterOrEqual(t, p.AbortAt.Sub(p.RejectFrom), p.RejectFrom.Sub(began), grace)
		require.True(t, p.RejectFrom.Before(p.EarliestExit) && p.EarliestExit.Before(p.AbortAt), grace)
		exitBy := p.ExitBy(p.AbortAt)
		require.True(t, p.AbortAt.Before(exitBy), grace)
		require.Less(t, exitBy.Sub(began), grace, grace)
		// Requests are aborted in the last sixth of the grace period only.
		require.GreaterOrEqual(t, p.AbortAt.Sub(began), grace*5/6, grace)
	}
}

// Guards against a process that was paused around AbortAt and then leaves no time for the last
// responses, though a part of the grace period is left.
func TestLateEndLeavesTimeForAnswers(t *testing.T) {
	p := New(time.Unix(0, 0), 6*time.Second)
	require.Equal(t, 6*time.Second, p.GraceEnd.Sub(p.Began))
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond, 699 * time.Millisecond} {
		abort := p.AbortAt.Add(late)
		require.True(t, p.ExitBy(abort).After(abort), late)
		require.True(t, p.ExitBy(abort).Before(p.GraceEnd), late)
	}
	require.False(t, p.ExitBy(p.GraceEnd).After(p.GraceEnd))
}

// Guards against a run that starts so late that the process exits before its response.
func TestStartByLeavesTimeForTheRun(t *testing.T) {
	exit := time.Unix(10, 0)
	for _, run := range []time.Duration{0, 50 * time.Millisecond, time.Second, time.Minute} {
		require.Equal(t, 2*run, exit.Sub(StartBy(exit, run, 0)))
		require.Equal(t, 2*run, exit.Sub(StartBy(exit, run, run)))
		require.Equal(t, 5*run, exit.Sub(StartBy(exit, run, 5*run)), "slow runs take several times the typical run time")
	}
}
