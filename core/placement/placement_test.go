package placement

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
)

var (
	now  = time.Unix(1000, 0)
	home = model.Place{Region: "a", DataCentre: "a1"}
	next = model.Place{Region: "a", DataCentre: "a2"}
	far  = model.Place{Region: "b", DataCentre: "b1"}
)

func view(places ...model.Place) *catalog.View {
	v := &catalog.View{Revision: 1}
	for i, place := range places {
		inst := catalog.Instance{Slots: 9}
		inst.ID, inst.Service, inst.Place = model.InstanceID(fmt.Sprintf("i%02d", i)), "s", place
		inst.ForwardAddr = fmt.Sprintf("10.0.0.%d:1", i)
		v.Instances = append(v.Instances, inst)
	}
	return v
}

func placer(v *catalog.View) *Placer {
	p := New(home, DefaultCosts, 1)
	p.Update(now, v)
	return p
}

func query() Query { return Query{Service: "s", Route: "r", Slack: 250 * time.Millisecond, Bytes: 700} }

// answer ends a choice with a response that reports a load.
func answer(p *Placer, at time.Time, c Choice, load intake.Load, run time.Duration) {
	p.Done(at, c, "r", Report{Outcome: Answered, Load: load, Run: run, Expected: run, Bytes: 1000})
}

func choose(t *testing.T, p *Placer, at time.Time, q Query) Choice {
	c, ok := p.Choose(at, q)
	require.True(t, ok)
	return c
}

// visit sends one request to every instance, so that the placer has a load report from each.
func visit(t *testing.T, p *Placer, at time.Time, loads map[model.InstanceID]intake.Load) {
	q := query()
	for range loads {
		c := choose(t, p, at, q)
		answer(p, at, c, loads[c.Instance.ID], 60*time.Millisecond)
		q.Exclude = append(q.Exclude, c.Instance.ID)
	}
}

func free() intake.Load { return intake.Load{Running: 2, Slots: 9} }

func full(wait time.Duration) intake.Load {
	return intake.Load{Running: 9, Slots: 9, Queued: 8, Next: wait / 8, Wait: wait}
}

// Guards against traffic over billed links while the daemon's own data centre has free slots.
func TestStaysInTheOwnDataCentreWhileThereIsRoom(t *testing.T) {
	p := placer(view(home, next, far))
	visit(t, p, now, map[model.InstanceID]intake.Load{"i00": free(), "i01": free(), "i02": free()})
	for range 6 {
		require.Equal(t, home, choose(t, p, now, query()).Instance.Place)
	}
}

// Simulates a data centre whose instance is full while others have free slots. Guards against
// waiting for the nearest instance until the objective is missed, and against sending large
// bodies to another data centre to avoid a short wait.
func TestLeavesAFullDataCentre(t *testing.T) {
	p := placer(view(home, next, far))
	visit(t, p, now, map[model.InstanceID]intake.Load{"i00": full(200 * time.Millisecond), "i01": free(), "i02": free()})
	require.Equal(t, next, choose(t, p, now, query()).Instance.Place)
	upload := query()
	upload.Bytes, upload.Slack = 100_000, 400*time.Millisecond
	require.Equal(t, home, choose(t, p, now, upload).Instance.Place)
}

// Guards against choosing another region while the daemon's own region has free slots.
func TestPrefersTheOwnRegion(t *testing.T) {
	p := placer(view(far, far, next))
	for range 20 {
		c := choose(t, p, now, query())
		require.Equal(t, next, c.Instance.Place)
		answer(p, now, c, free(), 60*time.Millisecond)
	}
}

// Guards against requests to instances that are shutting down or unreachable, and against
// excluding such instances for ever.
func TestExcludesLeavingAndUnreachableInstancesForATime(t *testing.T) {
	for _, outcome := range []Outcome{Leaving, Unreachable} {
		p := placer(view(home, home))
		c := choose(t, p, now, query())
		p.Done(now, c, "r", Report{Outcome: outcome})
		for range 20 {
			other := choose(t, p, now, query())
			require.NotEqual(t, c.Instance.ID, other.Instance.ID)
			answer(p, now, other, free(), 60*time.Millisecond)
		}
		later := now.Add(maxSuspectTime)
		seen := map[model.InstanceID]bool{}
		for range 40 {
			seen[choose(t, p, later, query()).Instance.ID] = true
		}
		require.Len(t, seen, 2)
	}
}

// Guards against a refusal only because all instances are excluded for a time after failures: one
// of them is tried nevertheless. Instances in Query.Exclude are never chosen.
func TestTriesExcludedInstancesIfThereAreNoOthers(t *testing.T) {
	p := placer(view(home))
	c := choose(t, p, now, query())
	p.Done(now, c, "r", Report{Outcome: Unreachable})
	require.Equal(t, c.Instance.ID, choose(t, p, now, query()).Instance.ID)
	q := query()
	q.Exclude = []model.InstanceID{c.Instance.ID}
	_, ok := p.Choose(now, q)
	require.False(t, ok)
}

// Guards against a choice whose cost grows with the service, and against missing the only instances
// that may be chosen in a large one.
func TestLargeServiceIsSampled(t *testing.T) {
	var places []model.Place
	for n := range 1000 {
		place := home
		if n%8 != 0 {
			place = model.Place{Region: "b", DataCentre: "b1"}
		}
		places = append(places, place)
	}
	p := placer(view(places...))
	q := query()
	g := p.group(q.Service)
	drawn, _ := p.candidates(now, q)
	require.Len(t, drawn, nearCandidates+farCandidates)
	require.Len(t, g.near, 125)
	for _, inst := range drawn[:nearCandidates] {
		require.Equal(t, home, inst.Place)
	}
	// All but one are excluded for a time, and that one is far away.
	left := g.far[len(g.far)-1].ID
	for id, s := range p.stats {
		if id != left {
			s.excludedUntil = now.Add(time.Second)
		}
	}
	require.Equal(t, left, choose(t, p, now, q).Instance.ID)
}

// BenchmarkChoose measures one choice in services of different sizes.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{12, 195, 1000, 19_000} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			places := make([]model.Place, size)
			for n := range places {
				places[n] = model.Place{Region: strconv.Itoa(n % 2), DataCentre: strconv.Itoa(n % 8)}
			}
			p := New(places[0], DefaultCosts, 1)
			p.Update(now, view(places...))
			b.ReportAllocs()
			for b.Loop() {
				c, _ := p.Choose(now, query())
				p.Done(now, c, "r", Report{Outcome: Refused, Load: free()})
			}
		})
	}
}

// Simulates an upstream that has become six times slower. Guards against sending it as many
// requests as healthy ones get, and against never trying it again.
func TestSlowInstanceGetsLess(t *testing.T) {
	p := placer(view(home, home, home))
	at := now
	count := map[model.InstanceID]int{}
	for n := range 600 {
		at = at.Add(10 * time.Millisecond)
		c := choose(t, p, at, query())
		run := 60 * time.Millisecond
		if c.Instance.ID == "i00" {
			run *= 6
		}
		if n >= 100 {
			count[c.Instance.ID]++
		}
		answer(p, at, c, intake.Load{Running: 4, Slots: 9}, run)
	}
	require.Less(t, count["i00"]*4, count["i01"])
	require.Positive(t, count["i00"])
}

// Simulates a fleet so large that a daemon sends to each instance only once in several seconds.
// Guards against detecting slow instances from the daemon's own requests only.
func TestOneAnswerShowsASlowInstance(t *testing.T) {
	p := placer(view(home, home, home))
	for range 30 {
		answer(p, now, choose(t, p, now, query()), intake.Load{Running: 4, Slots: 9}, 60*time.Millisecond)
	}
	c := choose(t, p, now, query())
	// A refusal reports the expected run time as well as a response does.
	p.Done(now, c, "r", Report{Outcome: Refused, Load: intake.Load{Running: 4, Slots: 9}, Expected: 700 * time.Millisecond})
	for range 30 {
		next := choose(t, p, now, query())
		require.NotEqual(t, c.Instance.ID, next.Instance.ID)
		answer(p, now, next, intake.Load{Running: 4, Slots: 9}, 60*time.Millisecond)
	}
}

// Simulates uploads over slow links that arrive at the host of one of the instances that can take
// them. Guards against sending them over two links while the instance on the same host is about
// as good.
func TestLargeBodiesStayOnTheirHost(t *testing.T) {
	p := placer(view(home, home, home, home))
	p.SetLink(p.view.Instances[2].Host(), 9e6)
	q := query()
	q.Bytes, q.Slack = 60_000, 600*time.Millisecond
	for range 20 {
		c := choose(t, p, now, q)
		require.Equal(t, p.view.Instances[2].ID, c.Instance.ID)
		answer(p, now, c, intake.Load{Running: 6, Slots: 9}, 150*time.Millisecond)
	}
	full := choose(t, p, now, q)
	answer(p, now, full, intake.Load{Running: 9, Slots: 9, Queued: 12, Next: 40 * time.Millisecond, Wait: 400 * time.Millisecond}, 150*time.Millisecond)
	require.NotEqual(t, p.view.Instances[2].ID, choose(t, p, now, q).Instance.ID, "the instance on the same host is full")
}

// Simulates an upstream that fails half of its requests. Guards against failing more callers
// because the failing instance has free slots.
func TestFailingInstanceGetsLess(t *testing.T) {
	p := placer(view(home, home, home))
	at := now
	count := map[model.InstanceID]int{}
	for n := range 600 {
		at = at.Add(10 * time.Millisecond)
		c := choose(t, p, at, query())
		count[c.Instance.ID]++
		if c.Instance.ID == "i00" && n%2 == 0 {
			p.Done(at, c, "r", Report{Outcome: Failed, Load: intake.Load{Running: 1, Slots: 9}})
			continue
		}
		answer(p, at, c, intake.Load{Running: 4, Slots: 9}, 60*time.Millisecond)
	}
	require.Less(t, count["i00"]*3, count["i01"])
}

// Guards against losing the statistics at each change of the instance list.
func TestUpdateKeepsTheStatistics(t *testing.T) {
	p := placer(view(home, next))
	visit(t, p, now, map[model.InstanceID]intake.Load{"i00": full(300 * time.Millisecond), "i01": free()})
	p.Update(now, view(home, next, far))
	require.Equal(t, next, choose(t, p, now, query()).Instance.Place)
}

// Guards against sending all requests to one instance when many are equally good.
func TestSpreadsOverEqualInstances(t *testing.T) {
	places := make([]model.Place, 30)
	for i := range places {
		places[i] = home
	}
	p := placer(view(places...))
	count := map[model.InstanceID]int{}
	for n := range 900 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		c := choose(t, p, at, query())
		count[c.Instance.ID]++
		answer(p, at, c, free(), 60*time.Millisecond)
	}
	require.Len(t, count, 30)
	for id, n := range count {
		require.Less(t, n, 90, id)
	}
}

// exchange ends a choice with a response after a given network round trip.
func exchange(p *Placer, at time.Time, c Choice, roundTrip time.Duration) {
	p.Done(at, c, "r", Report{Outcome: Answered, Load: free(), Run: 60 * time.Millisecond, Bytes: 400, RoundTrip: roundTrip})
}

// fillLink makes the placer measure a round trip to the instances of the view.
func fillLink(t *testing.T, p *Placer, at time.Time, roundTrip time.Duration) {
	for range 40 {
		exchange(p, at, choose(t, p, at, query()), roundTrip)
	}
}

// Simulates a saturated link between regions, over which responses take 200 ms. Guards against a
// choice by the round trip of the idle link, and against avoiding the region for ever.
func TestFullLinkIsAvoidedWhileItIsFull(t *testing.T) {
	p := placer(view(far))
	fillLink(t, p, now, 200*time.Millisecond)
	p.Update(now, view(far, home))
	visit(t, p, now, map[model.InstanceID]intake.Load{"i01": full(100 * time.Millisecond)})
	require.Equal(t, home, choose(t, p, now, query()).Instance.Place)
	require.Equal(t, DefaultCosts.Remote, p.roundTrip(now.Add(roundTripHold+roundTripDecay), &view(far).Instances[0]))
}

// Guards against sending a request if neither a response nor a refusal can arrive before the
// caller's deadline: without a refusal in time, a request that was not run has to be reported as
// one that may have run.
func TestNothingIsChosenThatCannotAnswerInTime(t *testing.T) {
	p := placer(view(far))
	fillLink(t, p, now, 200*time.Millisecond)
	q := query()
	q.Remaining = 210 * time.Millisecond
	c, ok := p.Choose(now, q)
	require.False(t, ok)
	require.NotNil(t, c.Instance, "the choice names the best instance")
	q.Remaining = 400 * time.Millisecond
	c = choose(t, p, now, q)
	require.InDelta(t, 200, c.RoundTrip.Milliseconds(), 40)
	q.DeferredBody = true
	_, ok = p.Choose(now, q)
	require.False(t, ok, "the body is sent after a first round trip")
	require.True(t, p.stats["i00"].inFlight == 1, "a request that is not sent is not in flight")
}

// Guards against avoiding a data centre because one of its hosts is behind a slow link.
func TestOneSlowLinkDoesNotRaiseTheRoundTripOfItsDataCentre(t *testing.T) {
	p := placer(view(next, next, next, next))
	for n := range 200 {
		roundTrip := 3 * time.Millisecond
		if n%4 == 0 {
			roundTrip = 500 * time.Millisecond
		}
		exchange(p, now, choose(t, p, now, query()), roundTrip)
	}
	require.Less(t, p.roundTrip(now, &view(next).Instances[0]), 10*time.Millisecond)
}

// Simulates a pause of the process with many requests in flight. Guards against a daemon that
// refuses everything afterwards, because every measured round trip seems too long and, with no
// requests sent, none is measured again.
func TestRoundTripIsMeasuredAgainAfterAPause(t *testing.T) {
	p := placer(view(far))
	fillLink(t, p, now, 5*time.Second)
	q := query()
	q.Remaining = 900 * time.Millisecond
	for range 40 {
		exchange(p, now, choose(t, p, now, q), 18*time.Millisecond)
	}
	require.Equal(t, DefaultCosts.Remote, p.roundTrip(now, &view(far).Instances[0]))
}
