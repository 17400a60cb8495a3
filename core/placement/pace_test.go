package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
)

// answerWithPace makes the placer choose, and has the instance answer with a pace at a time.
func answerWithPace(p *Placer, inst *catalog.Instance, at time.Time, pace intake.HostPace) {
	p.Done(at, Choice{Instance: inst, at: at}, "r", Report{
		Outcome: Answered, Run: 100 * time.Millisecond, Expected: 100 * time.Millisecond, Load: intake.Load{Slots: 9}, Pace: pace,
	})
}

// Guards against requests to an instance whose host is slow now, while the others are not, and against one
// that is avoided for longer than its pace has weight.
func TestInstanceOnASlowHostIsPassedOver(t *testing.T) {
	v := view(home, home)
	p := placer(v)
	choose := func(at time.Time) int {
		chosen := 0
		for range 40 {
			c, ok := p.Choose(at, query())
			require.True(t, ok)
			if c.Instance.ID == v.Instances[0].ID {
				chosen++
			}
			p.Done(at, c, "r", Report{Outcome: Cancelled, Load: intake.Load{Slots: 9}})
		}
		return chosen
	}
	slow := intake.HostPace{Factor: 2.5, At: now}
	answerWithPace(p, &v.Instances[0], now, slow)
	answerWithPace(p, &v.Instances[1], now, intake.HostPace{Factor: 1, At: now})
	require.Zero(t, choose(now))
	require.Positive(t, choose(now.Add(intake.HostPaceLifetime)), "the speed of the instance is the usual one")
}

// Guards against an earlier pace that replaces a later one because its result took longer, and against the
// pace of a process that has been replaced.
func TestLaterPaceCounts(t *testing.T) {
	v := view(home)
	p := placer(v)
	inst := &v.Instances[0]
	answerWithPace(p, inst, now, intake.HostPace{Factor: 2, At: now})
	answerWithPace(p, inst, now, intake.HostPace{Factor: 5, At: now.Add(-time.Millisecond)})
	answerWithPace(p, inst, now, intake.HostPace{})
	require.InDelta(t, 2.0, p.stats[inst.ID].pace.Factor, 1e-9)
	next := view(home)
	next.Instances[0].Incarnation = 1
	p.Update(now, next)
	require.Zero(t, p.stats[inst.ID].pace)
}
