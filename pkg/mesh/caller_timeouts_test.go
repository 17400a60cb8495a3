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

// Guards against a caller with a very long timeout, or one that a route had before, that makes a daemon
// treat all later callers of the route as retrying ones, with objectives that have passed long ago.
func TestOneLongTimeoutDoesNotMakeLaterCallersRetryingOnes(t *testing.T) {
	t.Run("among others", func(t *testing.T) {
		var c callerTimeouts
		for range 100 {
			require.Zero(t, c.timeOnEarlierAttempts("r", time.Second))
		}
		c.timeOnEarlierAttempts("r", 50*time.Minute)
		for range 100 {
			require.Zero(t, c.timeOnEarlierAttempts("r", time.Second))
		}
	})
	t.Run("first", func(t *testing.T) {
		var c callerTimeouts
		c.timeOnEarlierAttempts("r", 50*time.Minute)
		for range 1000 {
			c.timeOnEarlierAttempts("r", time.Second)
		}
		require.Zero(t, c.timeOnEarlierAttempts("r", time.Second))
	})
	t.Run("after callers without time", func(t *testing.T) {
		var c callerTimeouts
		for range 100 {
			c.timeOnEarlierAttempts("r", 0)
		}
		for range 100 {
			require.Zero(t, c.timeOnEarlierAttempts("r", time.Second))
		}
		require.Equal(t, 425*time.Millisecond, c.timeOnEarlierAttempts("r", 500*time.Millisecond))
	})
	t.Run("shortened", func(t *testing.T) {
		var c callerTimeouts
		for range 100 {
			c.timeOnEarlierAttempts("r", 4*time.Second)
		}
		for range 200 {
			c.timeOnEarlierAttempts("r", time.Second)
		}
		require.Zero(t, c.timeOnEarlierAttempts("r", time.Second))
	})
}

// Guards against retrying callers that lower the estimate so far that they are no longer recognised, while
// two of three requests are retries.
func TestRetryingCallersDoNotHideThemselves(t *testing.T) {
	var c callerTimeouts
	for n := range 3000 {
		require.Zero(t, c.timeOnEarlierAttempts("r", time.Second), "a new caller")
		for range 2 {
			spent := c.timeOnEarlierAttempts("r", 500*time.Millisecond)
			if n > 3 {
				require.InDelta(t, 425*time.Millisecond, spent, float64(50*time.Millisecond))
			}
		}
	}
}
