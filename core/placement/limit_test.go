package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
)

// limited is the load of an instance whose limit allows no request for a second.
func limited() intake.Load {
	return intake.Load{Running: 9, Slots: 9, Next: time.Second, Wait: time.Second}
}

// visitLimited reports a limit of two requests per second from the instance i00, and free slots from the
// others.
func visitLimited(t *testing.T, p *Placer) Choice {
	var chosen Choice
	q := query()
	for range 2 {
		c := choose(t, p, now, q)
		report := Report{Outcome: Answered, Load: free(), Run: 60 * time.Millisecond, Expected: 60 * time.Millisecond}
		if c.Instance.ID == "i00" {
			report.Load, report.Limit, chosen = limited(), 2, c
		}
		p.Done(now, c, "r", report)
		q.Exclude = append(q.Exclude, c.Instance.ID)
	}
	return chosen
}

// Guards against requests that go to an instance over its limit, are refused there and go elsewhere only
// then, once its report has become older than reports of load count.
func TestInstanceOverItsLimitIsPassedOver(t *testing.T) {
	p := placer(view(home, next))
	visitLimited(t, p)
	for _, age := range []time.Duration{0, reportLifetime, 900 * time.Millisecond} {
		for range 3 {
			c := choose(t, p, now.Add(age), query())
			require.Equal(t, next, c.Instance.Place, "after %s", age)
			p.Done(now.Add(age), c, "r", Report{Outcome: Answered, Load: free()})
		}
	}
	c := choose(t, p, now.Add(1100*time.Millisecond), query())
	require.Equal(t, home, c.Instance.Place, "the limit allows a request again")
	require.InDelta(t, 2, c.Limit, 0)
	again := choose(t, p, now.Add(1100*time.Millisecond), query())
	require.Equal(t, next, again.Instance.Place, "one, not all")
}

// Guards against a limit of an instance that holds for the next process under its ID.
func TestLimitBelongsToOneIncarnation(t *testing.T) {
	v := view(home, next)
	p := placer(v)
	visitLimited(t, p)
	restarted := view(home, next)
	restarted.Instances[0].Incarnation++
	p.Update(now, restarted)
	c := choose(t, p, now, Query{Service: "s", Route: "r", Exclude: []model.InstanceID{"i01"}})
	require.Zero(t, c.Limit)
}

// Guards against requests to an instance that has said that it leaves, as long as the store still lists it
// as live, and against a mark that outlives the process.
func TestLeavingInstanceIsNeverChosen(t *testing.T) {
	p := placer(view(home))
	first, second := choose(t, p, now, query()), choose(t, p, now, query())
	p.Done(now, first, "r", Report{Outcome: Answered, Load: free(), Leaving: true})
	later := now.Add(time.Hour)
	p.Update(later, view(home))
	_, ok := p.Choose(later, query())
	require.False(t, ok)
	restarted := view(home)
	restarted.Instances[0].Incarnation++
	p.Update(later, restarted)
	p.Done(later, second, "r", Report{Outcome: Answered, Load: free(), Leaving: true})
	choose(t, p, later, query())
}
