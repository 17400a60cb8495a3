package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against treating a retrying caller as a new one because its remaining time still exceeds the
// route's timeout, and against treating a new caller with a slightly shorter timeout as a retrying one.
func TestRetryingCallersAreRecognised(t *testing.T) {
	var c callerTimeouts
	require.Zero(t, c.timeOnEarlierAttempts("r", 1800*time.Millisecond))
	require.Zero(t, c.timeOnEarlierAttempts("r", 2*time.Second))
	require.Zero(t, c.timeOnEarlierAttempts("r", 1750*time.Millisecond))
	require.Equal(t, 850*time.Millisecond, c.timeOnEarlierAttempts("r", time.Second))
	require.Zero(t, c.timeOnEarlierAttempts("r", unknownRemaining), "a caller that sends no remaining time")
	require.Zero(t, c.timeOnEarlierAttempts("other", time.Second))
}
