package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that leaves no time to finish what was taken, or that outlasts the
// grace period.
func TestPlanLeavesTimeToFinish(t *testing.T) {
	began := time.Unix(0, 0)
	for _, grace := range []time.Duration{time.Millisecond, 500 * time.Millisecond, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		p := New(began, grace)
		require.True(t, p.Takes(began), grace)
		require.False(t, p.Takes(p.Closes), grace)
		require.GreaterOrEqual(t, p.Ends.Sub(p.Closes), p.Closes.Sub(began), grace)
		require.True(t, p.Closes.Before(p.Lingers) && p.Lingers.Before(p.Ends), grace)
		require.True(t, p.Ends.Before(p.Exits), grace)
		require.Less(t, p.Exits.Sub(began), grace, grace)
		// What runs is cut in the last sixth of the grace period only.
		require.GreaterOrEqual(t, p.Ends.Sub(began), grace*5/6, grace)
	}
}

// Guards against a run that starts so late that the process ends before its answer.
func TestStartByLeavesTimeForTheRun(t *testing.T) {
	ends := time.Unix(10, 0)
	for _, run := range []time.Duration{0, 50 * time.Millisecond, time.Second, time.Minute} {
		require.Equal(t, 2*run, ends.Sub(StartBy(ends, run, 0)))
		require.Equal(t, 2*run, ends.Sub(StartBy(ends, run, run)))
		require.Equal(t, 5*run, ends.Sub(StartBy(ends, run, 5*run)), "runs are known to take several times the usual time")
	}
}
