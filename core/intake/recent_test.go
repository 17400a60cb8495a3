package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a slow run time that is not the 95th percentile of the recent run times.
func TestSlowRunOfTheRecentOnes(t *testing.T) {
	var r runHistory
	require.Zero(t, r.slowRun())
	for n := range 2 * recentRuns {
		r.add(time.Duration(n+1) * time.Millisecond)
		switch n + 1 {
		case 1:
			require.Equal(t, time.Millisecond, r.slowRun())
		case 19:
			require.Equal(t, 19*time.Millisecond, r.slowRun())
		case 20:
			require.Equal(t, 19*time.Millisecond, r.slowRun())
		case 40:
			require.Equal(t, 38*time.Millisecond, r.slowRun())
		case 80:
			require.Equal(t, 78*time.Millisecond, r.slowRun())
		}
	}
}
