package placement

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

var third = model.Place{Region: "c", DataCentre: "c1"}

// in returns a query for a route with a list of regions.
func in(regions ...string) Query {
	q := query()
	q.Regions = regions
	return q
}

// lostHosts are hosts that do not respond.
type lostHosts []string

func (l lostHosts) Unreachable(host string) bool { return slices.Contains(l, host) }

// Guards against a choice outside the listed regions when the instances in them are busy, excluded for a
// time after failures, unreachable, leaving or absent.
func TestOnlyListedRegionsAreChosen(t *testing.T) {
	places := []model.Place{home, next, far, far, third}
	excludeForATime := func(p *Placer) {
		for _, s := range p.stats {
			s.excludedUntil = now.Add(time.Second)
		}
	}
	for name, c := range map[string]struct {
		prepare func(p *Placer)
		regions []string
		want    string // region, or empty if there is no choice
	}{
		"usual":                 {func(*Placer) {}, []string{"b"}, "b"},
		"own region":            {func(*Placer) {}, []string{"a"}, "a"},
		"excluded for a time":   {excludeForATime, []string{"b"}, "b"},
		"no such region":        {func(*Placer) {}, []string{"x"}, ""},
		"no instance reachable": {func(p *Placer) { p.SetHosts(lostHosts{"10.0.0.2", "10.0.0.3"}) }, []string{"b"}, ""},
		"all leave":             {func(p *Placer) { p.stats["i02"].leaving, p.stats["i03"].leaving = true, true }, []string{"b"}, ""},
		"own region leaves":     {func(p *Placer) { p.stats["i00"].leaving, p.stats["i01"].leaving = true, true }, []string{"a"}, ""},
		"full": {func(p *Placer) {
			p.stats["i04"].load, p.stats["i04"].loadAt = full(time.Second), now
		}, []string{"c"}, "c"},
	} {
		p := placer(view(places...))
		c.prepare(p)
		for range 20 {
			got, ok := p.Choose(now, in(c.regions...))
			require.Equal(t, c.want != "", ok, name)
			if ok {
				require.Equal(t, c.want, got.Instance.Place.Region, name)
				p.Done(now, got, "r", Report{Outcome: Cancelled})
			}
		}
	}
}

// Guards against a request that is sent again to a region whose daemon has refused it by a newer list, and
// against giving up while another region is left.
func TestExcludedRegionIsNotChosen(t *testing.T) {
	p := placer(view(home, next, far, third))
	q := in("a", "c")
	q.ExcludeRegions = []string{"a"}
	require.Equal(t, third, choose(t, p, now, q).Instance.Place)
	q = query()
	q.ExcludeRegions = []string{"a"}
	seen := map[string]bool{}
	for range 40 {
		c := choose(t, p, now, q)
		seen[c.Instance.Place.Region] = true
		answer(p, now, c, free(), 60*time.Millisecond)
	}
	require.Equal(t, map[string]bool{"b": true, "c": true}, seen)
	q.ExcludeRegions = []string{"a", "b", "c"}
	_, ok := p.Choose(now, q)
	require.False(t, ok)
}

// Guards against instances of one listed region that never get a request because another listed region
// has far more of them, or that are compared more than once.
func TestListedRegionsAreDrawnTogether(t *testing.T) {
	var places []model.Place
	for range 40 {
		places = append(places, far)
	}
	for range 10 {
		places = append(places, third)
	}
	p := placer(view(places...))
	count := map[string]int{}
	for range 500 {
		drawn, _ := p.candidates(now, in("b", "c"))
		require.Len(t, drawn, farCandidates)
		seen := map[model.InstanceID]bool{}
		for _, inst := range drawn {
			require.False(t, seen[inst.ID])
			seen[inst.ID] = true
			count[inst.Place.Region]++
		}
	}
	require.InDelta(t, 500*farCandidates/5, count["c"], 150)
}

// Simulates a region that is full, with free slots in others. Guards against requests without a list that
// wait there: requests that cannot go elsewhere need the slots.
func TestRequestsWithoutAListLeaveAFullRegion(t *testing.T) {
	p := placer(view(home, next, far))
	busy := full(200 * time.Millisecond)
	visit(t, p, now, map[model.InstanceID]intake.Load{"i00": busy, "i01": busy, "i02": free()})
	for range 6 {
		require.Equal(t, far, choose(t, p, now, query()).Instance.Place)
	}
	require.Equal(t, "a", choose(t, p, now, in("a")).Instance.Place.Region)
}

// Guards against the first choice after each change of the fleet that goes through all instances of the
// service to find those of a region.
func TestRegionsAreIndexedWithTheView(t *testing.T) {
	for _, list := range [][]string{nil, {"b"}} {
		v := view(home, next, far, far)
		var err error
		v.Table, err = route.New(1, []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, MaxAttempts: 1, Shares: []route.Share{{Service: "s", Weight: 1}}, Regions: list,
		}}, []route.Service{{Name: "s"}}, route.Limits{})
		require.NoError(t, err)
		p := placer(v)
		require.Equal(t, list != nil, p.groups["s"].farByRegion != nil)
		require.Equal(t, far, choose(t, p, now, in("b")).Instance.Place)
	}
}

// BenchmarkChooseInRegion measures a choice among 12 instances of a listed region, beside more and more
// instances in other regions. The cost must not grow with them.
func BenchmarkChooseInRegion(b *testing.B) {
	for _, outside := range []int{0, 1000, 19_000} {
		b.Run(strconv.Itoa(outside), func(b *testing.B) {
			places := make([]model.Place, 12+outside)
			for n := range places {
				places[n] = model.Place{Region: "listed", DataCentre: strconv.Itoa(n % 3)}
				if n >= 12 {
					places[n] = model.Place{Region: strconv.Itoa(n % 5), DataCentre: strconv.Itoa(n % 40)}
				}
			}
			p := New(model.Place{Region: "0", DataCentre: "0"}, DefaultCosts, 1)
			p.Update(now, view(places...))
			b.ReportAllocs()
			for b.Loop() {
				c, _ := p.Choose(now, in("listed"))
				p.Done(now, c, "r", Report{Outcome: Refused, Load: free()})
			}
		})
	}
}

// BenchmarkUpdate measures a new view of a large fleet.
func BenchmarkUpdate(b *testing.B) {
	places := make([]model.Place, 19_000)
	for n := range places {
		places[n] = model.Place{Region: strconv.Itoa(n % 5), DataCentre: strconv.Itoa(n % 40)}
	}
	v := view(places...)
	p := New(places[0], DefaultCosts, 1)
	b.ReportAllocs()
	for b.Loop() {
		p.Update(now, v)
	}
}
