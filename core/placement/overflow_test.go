package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
)

// stayingPlacer returns a placer with two instances in its data centre and two in the next one, which knows
// that those here have the load near and those there are idle.
func stayingPlacer(t *testing.T, near intake.Load) *Placer {
	p := placer(view(home, home, next, next))
	p.SetStayShare(0.8)
	visit(t, p, now, map[model.InstanceID]intake.Load{"i00": near, "i01": near, "i02": free(), "i03": free()})
	return p
}

// chosenPlaces returns how many of n requests that do not end are placed in each data centre.
func chosenPlaces(t *testing.T, p *Placer, n int) map[model.Place]int {
	places := make(map[model.Place]int)
	for range n {
		places[choose(t, p, now, query()).Instance.Place]++
	}
	return places
}

// Guards against requests that leave the data centre although an instance there can serve them in time.
func TestRequestsStayWhileTheDataCentreServesThemInTime(t *testing.T) {
	busy := intake.Load{Running: 7, Slots: 9, Next: 0, Wait: 0}
	require.Equal(t, map[model.Place]int{home: 4}, chosenPlaces(t, stayingPlacer(t, busy), 4), "four slots are free")
	short := intake.Load{Running: 9, Slots: 9, Next: 20 * time.Millisecond, Wait: 20 * time.Millisecond}
	require.Equal(t, map[model.Place]int{home: 2}, chosenPlaces(t, stayingPlacer(t, short), 2), "a short wait is in time")
}

// Guards against requests that stay although they would be late, and against more of them leaving than
// the data centre cannot serve.
func TestOnlyTheExcessLeavesTheDataCentre(t *testing.T) {
	nearlyFull := intake.Load{Running: 8, Slots: 9}
	places := chosenPlaces(t, stayingPlacer(t, nearlyFull), 40)
	require.Positive(t, places[next])
	require.GreaterOrEqual(t, places[home], 10, "those that can still wait for the near instances in time stay")
	full := intake.Load{Running: 9, Slots: 9, Queued: 20, Next: 300 * time.Millisecond, Wait: 600 * time.Millisecond}
	require.Equal(t, map[model.Place]int{next: 4}, chosenPlaces(t, stayingPlacer(t, full), 4))
}

// Guards against requests that leave because near instances have failed last, while all instances of the
// service shed requests alike: that moves load without a gain.
func TestSheddingByAllInstancesMovesNoLoad(t *testing.T) {
	share := func(stay float64) (left int) {
		p := placer(view(home, home, next, next))
		p.SetStayShare(stay)
		at := now
		for i := range 400 {
			at = at.Add(5 * time.Millisecond)
			c := choose(t, p, at, query())
			r := Report{Outcome: Answered, Load: free(), Run: 60 * time.Millisecond, Expected: 60 * time.Millisecond, Bytes: 1000}
			if i%2 == 0 {
				r.Outcome = Failed
			}
			p.Done(at, c, "r", r)
			if c.Instance.Place == next {
				left++
			}
		}
		return left
	}
	require.Positive(t, share(0), "the load that this answers")
	require.Zero(t, share(0.8))
}

// Guards against an instance that alone fails requests and keeps those of its data centre.
func TestFailingInstanceDoesNotKeepItsDataCentre(t *testing.T) {
	p := placer(view(home, next, next, next))
	p.SetStayShare(0.8)
	at, left := now, 0
	for range 200 {
		at = at.Add(5 * time.Millisecond)
		c := choose(t, p, at, query())
		r := Report{Outcome: Answered, Load: free(), Run: 60 * time.Millisecond, Expected: 60 * time.Millisecond, Bytes: 1000}
		if c.Instance.Place == home {
			r.Outcome = Failed
		} else {
			left++
		}
		p.Done(at, c, "r", r)
	}
	require.Greater(t, left, 100)
}
