package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
)

// reportRun reports an answer of an instance with its load and the run time that its daemon expects.
func reportRun(p *Placer, inst *catalog.Instance, at time.Time, load intake.Load, expected time.Duration) {
	p.Done(at, Choice{Instance: inst, at: at}, "r", Report{Outcome: Answered, Load: load, Run: 100 * time.Millisecond, Expected: expected})
}

// Guards against a daemon that forgets the speed and the load of an instance between two requests to it,
// which are one to two seconds apart in a fleet of 64 daemons and 46 instances.
func TestSpeedAndLoadAreKnownForSeconds(t *testing.T) {
	v := view(home, home, home)
	p := placer(v)
	run := 100 * time.Millisecond
	reportRun(p, &v.Instances[0], now, free(), run)
	reportRun(p, &v.Instances[0], now, free(), run)
	reportRun(p, &v.Instances[1], now, free(), 170*time.Millisecond)
	reportRun(p, &v.Instances[2], now, full(200*time.Millisecond), run)
	for range 20 {
		c := choose(t, p, now.Add(time.Second), query())
		require.Equal(t, v.Instances[0].ID, c.Instance.ID)
		p.Done(now.Add(time.Second), c, "r", Report{Outcome: Cancelled, Load: free()})
	}
}

// Guards against requests that queue at a fast instance, where they delay others, while a slower one has
// free slots.
func TestSlowerInstanceWithAFreeSlotIsUsed(t *testing.T) {
	v := view(home, home)
	p := placer(v)
	reportRun(p, &v.Instances[0], now, full(20*time.Millisecond), 70*time.Millisecond)
	reportRun(p, &v.Instances[0], now, full(20*time.Millisecond), 70*time.Millisecond)
	reportRun(p, &v.Instances[1], now, free(), 130*time.Millisecond)
	require.Equal(t, v.Instances[1].ID, choose(t, p, now, query()).Instance.ID)
}

// Guards against a restarted instance that is avoided because of the load of the process before.
func TestLoadBelongsToOneIncarnation(t *testing.T) {
	v := view(home)
	p := placer(v)
	reportRun(p, &v.Instances[0], now, full(200*time.Millisecond), 100*time.Millisecond)
	next := view(home)
	next.Instances[0].Incarnation++
	p.Update(now, next)
	require.Zero(t, choose(t, p, now, query()).Wait)
}
