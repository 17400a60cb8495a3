package trial

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against trials beside results that arrive, and against many trials of a route that stays too slow.
func TestTrialsAreSpacedOut(t *testing.T) {
	var p Pacer
	now := time.Unix(1000, 0)
	for range 100 {
		p.Confirm(now)
		now = now.Add(MinPause - time.Millisecond)
		require.False(t, p.Take(now))
	}
	trials := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if p.Take(now) {
			trials++
		}
	}
	require.LessOrEqual(t, trials, 12)
	require.GreaterOrEqual(t, trials, int(time.Minute/MaxPause))
	p.Confirm(now)
	require.True(t, p.Take(now.Add(MinPause)), "the pause is short again")
}
