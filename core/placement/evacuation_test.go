package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
)

// Guards against a request that is refused by one instance of an evacuated data centre after the other, or waits at one
// whose daemon does not know of the evacuation either, until the view of its daemon includes it, and against an
// exclusion that stays.
func TestReportedEvacuationExcludesTheDataCentre(t *testing.T) {
	p := placer(view(home, home, home, next))
	c := choose(t, p, now, query())
	require.Equal(t, home, c.Instance.Place)
	p.Done(now, c, "r", Report{Outcome: Leaving, Evacuated: true})
	for range 50 {
		require.Equal(t, next, choose(t, p, now, query()).Instance.Place)
	}
	at := now.Add(evacuatedExclusion)
	require.Equal(t, home, choose(t, p, at, query()).Instance.Place, "the view says whether it is evacuated")
}

// Guards against a request that is sent to an evacuated data centre, because it is the nearest one, the only one
// with room or the only one that is left, and against one that gets no requests after the evacuation.
func TestEvacuatedDataCentreIsNeverChosen(t *testing.T) {
	v := view(home, home, next, far)
	p := placer(v)
	evacuated := *v
	evacuated.Evacuated = []catalog.Evacuation{{DataCentre: "a1", Revision: 2}, {DataCentre: "nowhere", Revision: 1}}
	at := now
	p.Update(at, &evacuated)
	for range 200 {
		c := choose(t, p, at, query())
		require.NotEqual(t, home, c.Instance.Place)
		p.Done(at, c, "r", Report{Outcome: Unreachable}) // both others are excluded for a time
		at = at.Add(10 * time.Millisecond)
	}
	evacuated.Evacuated = []catalog.Evacuation{{DataCentre: "a1"}, {DataCentre: "a2"}, {DataCentre: "b1"}}
	p.Update(at, &evacuated)
	c, ok := p.Choose(at, query())
	require.False(t, ok)
	require.Nil(t, c.Instance, "nothing is left")
	p.Update(at, v)
	require.Equal(t, home, choose(t, p, at, query()).Instance.Place)
}
