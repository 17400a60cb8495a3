package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
)

// restartedView returns a view of two equal instances, of which the first has started again under its ID.
func restartedView() *catalog.View {
	v := view(home, home)
	v.Instances[0].Incarnation++
	return v
}

// Guards against an instance that has started again under its ID and gets as many requests as a warm one,
// because it had finished warming up before.
func TestRestartedInstanceWarmsUpAgain(t *testing.T) {
	cold := view(home, home)
	cold.Instances[0].Warm = 4 * time.Second
	p := placer(cold)
	later := now.Add(time.Minute)
	restarted := restartedView()
	restarted.Instances[0].Warm = 4 * time.Second
	p.Update(later, restarted)
	for range 20 {
		c := choose(t, p, later, query())
		require.Equal(t, model.InstanceID("i01"), c.Instance.ID)
		p.Done(later, c, "r", Report{Outcome: Cancelled})
	}
	seen := make(map[model.InstanceID]bool)
	for range 40 {
		c := choose(t, p, later.Add(4*time.Second), query())
		seen[c.Instance.ID] = true
		p.Done(later.Add(4*time.Second), c, "r", Report{Outcome: Cancelled})
	}
	require.Len(t, seen, 2, "it is warm")
}

// Guards against an instance that has started again under its ID and is left out for the failures and the
// slowness of the process before.
func TestRestartedInstanceIsNotChargedWithEarlierFailures(t *testing.T) {
	p := placer(view(home, home))
	for range 30 {
		for _, outcome := range []Outcome{Failed, Unreachable} {
			q := query()
			q.Exclude = []model.InstanceID{"i01"}
			p.Done(now, choose(t, p, now, q), "r", Report{Outcome: outcome})
		}
	}
	p.Update(now, restartedView())
	seen := make(map[model.InstanceID]bool)
	for range 40 {
		c := choose(t, p, now, query())
		seen[c.Instance.ID] = true
		p.Done(now, c, "r", Report{Outcome: Cancelled})
	}
	require.Len(t, seen, 2)
}
