package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against taking a caller that was refused for a new one, because its route's timeout is
// shorter than its patience, and against taking new ones that wait less than others for it.
func TestPatienceTellsReturningCallers(t *testing.T) {
	var p callerTimeouts
	require.Zero(t, p.timeOnEarlierAttempts("r", 1800*time.Millisecond))
	require.Zero(t, p.timeOnEarlierAttempts("r", 2*time.Second))
	require.Zero(t, p.timeOnEarlierAttempts("r", 1750*time.Millisecond))
	require.Equal(t, 850*time.Millisecond, p.timeOnEarlierAttempts("r", time.Second))
	require.Zero(t, p.timeOnEarlierAttempts("r", unknownRemaining), "a caller that does not say how long it waits")
	require.Zero(t, p.timeOnEarlierAttempts("other", time.Second))
}
