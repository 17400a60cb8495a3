package routing

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/table"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var (
	north1 = model.Place{Region: "north", DataCentre: "n1"}
	north2 = model.Place{Region: "north", DataCentre: "n2"}
	south1 = model.Place{Region: "south", DataCentre: "s1"}
)

// row returns a row for the layout of the three places above, with the given weights.
func row(service string, n1, n2, s1, north, south uint32) table.Row {
	return table.Row{
		Service: service, Deadline: time.Second,
		DataCentres: []table.Cell{{Weight: n1}, {Weight: n2}, {Weight: s1}},
		Regions:     []table.Cell{{Weight: north}, {Weight: south}},
	}
}

func tableOf(rows ...table.Row) *table.Table {
	return &table.Table{Rows: rows, Layout: table.Layout{
		DataCentres: []model.Place{north1, north2, south1}, Regions: []string{"north", "south"},
	}}
}

func instance(service string, place model.Place, number int) model.Instance {
	id := fmt.Sprintf("%s-%s-%03d", service, place.DataCentre, number)
	return model.Instance{ID: model.InstanceID(id), Service: service, Place: place}
}

// sixteenInstances returns 16 instances sorted by ID: 8 in north1, 4 in north2 and 4 in south1.
func sixteenInstances() []model.Instance {
	var list []model.Instance
	for _, group := range []struct {
		place model.Place
		n     int
	}{{north1, 8}, {north2, 4}, {south1, 4}} {
		for i := range group.n {
			list = append(list, instance("shifts", group.place, i))
		}
	}
	return list
}

func newRouter(members []model.Instance, rows ...table.Row) *Router {
	r := New(model.Instance{ID: "self", Place: north1}, 1)
	r.swap(1, tableOf(rows...), members, start)
	return r
}

// nodeOf returns the router's node of an instance.
func (r *Router) nodeOf(id model.InstanceID) *node {
	for _, group := range r.routes.Load().groups {
		for _, t := range group {
			if t.inst.ID == id {
				return t.node
			}
		}
	}
	return nil
}

// Guards against the choice of a farther instance while a nearer one has capacity, and
// against calls to instances that have weight 0, are leaving, suspect or excluded. A full
// instance may be chosen although one as near has capacity, because load reports lag.
func TestPickPrefersTheNearestCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Uint32Range(0, 3)
		cells := row("shifts", weight.Draw(t, "n1"), weight.Draw(t, "n2"), weight.Draw(t, "s1"), 1, weight.Draw(t, "south"))
		members := sixteenInstances()
		states := rapid.SliceOfN(rapid.IntRange(0, 4), len(members), len(members)).Draw(t, "states")
		var exclude []model.InstanceID
		for i := range members {
			if states[i] == 1 {
				members[i].State = model.Leaving
			}
		}
		r := newRouter(members, cells)
		best := map[model.Distance]int{}
		for i, m := range members {
			n := r.nodeOf(m.ID)
			switch states[i] {
			case 2:
				n.recordLoad(Load{InFlight: 9, Slots: 9}, 0)
			case 3:
				n.recordFailure(0, false)
			case 4:
				exclude = append(exclude, m.ID)
			}
			k := map[model.Place]int{north1: 0, north2: 1, south1: 2}[m.Place]
			if states[i] == 0 && cells.DataCentres[k].Weight > 0 && (m.Place.Region == "north" || cells.Regions[1].Weight > 0) {
				best[m.Place.DistanceTo(north1)]++
			}
		}
		d, refused := r.Pick(Query{Service: "shifts", Exclude: exclude}, start)
		if len(best) == 0 {
			require.True(t, refused != nil || d.Reason == Full || d.Reason == Suspects)
			return
		}
		require.Nil(t, refused)
		want := model.SameDataCentre
		for best[want] == 0 {
			want++
		}
		require.Equal(t, want, d.Instance.Place.DistanceTo(north1))
		for i, m := range members {
			if m.ID == d.Instance.ID {
				require.Contains(t, []int{0, 2}, states[i])
			}
		}
	})
}

// Guards against shares of the data centres in a region that do not follow their weights.
func TestSpillFollowsWeights(t *testing.T) {
	r := New(model.Instance{Place: south1}, 7)
	members := []model.Instance{instance("shifts", north1, 0), instance("shifts", north2, 0)}
	r.swap(1, tableOf(row("shifts", 1, 3, 1, 1, 1)), members, start)
	counts := map[model.Place]int{}
	for range 8000 {
		d, refused := r.Pick(Query{Service: "shifts"}, start)
		require.Nil(t, refused)
		require.Equal(t, Remote, d.Reason)
		counts[d.Instance.Place]++
		r.Report(d, Outcome{}, start)
	}
	require.InDelta(t, 6000, counts[north2], 200)
}

// Guards against a burst of calls to a new instance, whose reported load is low, and against
// a ramp that does not end.
func TestNewInstanceRampsUp(t *testing.T) {
	members := sixteenInstances()
	r := newRouter(members[1:], row("shifts", 1, 1, 1, 1, 1))
	joined := start.Add(time.Minute)
	r.swap(1, tableOf(row("shifts", 1, 1, 1, 1, 1)), members, joined)
	for _, m := range members[1:8] {
		r.nodeOf(m.ID).recordLoad(Load{InFlight: 5, Slots: 9}, int64(time.Minute))
	}
	share := func(at time.Time) int {
		count := 0
		for range 8000 {
			d, refused := r.Pick(Query{Service: "shifts"}, at)
			require.Nil(t, refused)
			if d.Instance.ID == members[0].ID {
				count++
			}
			r.Report(d, Outcome{}, at)
		}
		return count
	}
	require.InDelta(t, 100, share(joined), 40, "a tenth of an eighth of 8,000 calls")
	require.InDelta(t, 550, share(joined.Add(RampUp/2)), 90)
	require.Greater(t, share(joined.Add(RampUp)), 900)
}

// Guards against a burst of calls from one daemon that queues at one instance although others
// have free slots, because no response has reported the load yet.
func TestUnansweredCallsFillInstances(t *testing.T) {
	const settled, young = -int64(RampUp), 0 // start of a ramp that has ended, and of one that starts now
	for name, c := range map[string]struct {
		rampFrom []int64 // of the instances of the own data centre
		at       time.Duration
		calls    int
		local    []int // expected calls at these instances
	}{
		"new instances get one call each":   {[]int64{young, young}, 0, 6, []int{1, 1}},
		"half-way through the ramp":         {[]int64{young, young}, RampUp / 2, 15, []int{4, 4}},
		"after the ramp":                    {[]int64{settled, settled, settled}, 0, 36, []int{9, 9, 9}},
		"one during and one after its ramp": {[]int64{settled, young}, RampUp / 2, 22, []int{9, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			members := []model.Instance{instance("shifts", north2, 0)}
			for i := range c.rampFrom {
				members = append([]model.Instance{instance("shifts", north1, len(c.rampFrom)-1-i)}, members...)
			}
			r := newRouter(members, row("shifts", 1, 1, 1, 1, 1))
			for i, from := range c.rampFrom {
				r.nodeOf(members[i].ID).rampFrom.Store(from)
			}
			served, regional := map[model.InstanceID]int{}, 0
			for range c.calls {
				d, refused := r.Pick(Query{Service: "shifts"}, start.Add(c.at))
				require.Nil(t, refused)
				served[d.Instance.ID]++
				if d.Reason == Region {
					regional++
				}
			}
			for i, want := range c.local {
				require.Equal(t, want, served[members[i].ID], members[i].ID)
				c.calls -= want
			}
			require.Equal(t, c.calls, regional, "the other calls go to the other data centre of the region")
		})
	}
}

// Guards against calls that a daemon sends to its own instance although calls from other
// daemons fill all slots of that instance.
func TestOwnInstanceCountsTheCallsOfOthers(t *testing.T) {
	members := sixteenInstances()[:2]
	r := New(members[1], 1)
	r.ObserveSelf(Load{InFlight: 9, Slots: 9}, start) // before the first update: no effect
	r.swap(1, tableOf(row("shifts", 1, 1, 1, 1, 1)), members, start)
	own := r.nodeOf(members[1].ID)
	require.False(t, own.full(0))
	own.inFlight.Store(2)
	r.ObserveSelf(Load{InFlight: 7, Slots: 9, Queued: 1}, start)
	calls, slots, fresh := own.load(0)
	require.Equal(t, 8.0, calls, "calls from this daemon count once")
	require.Equal(t, 9, slots)
	require.True(t, fresh)
	r.ObserveSelf(Load{InFlight: 9, Slots: 9}, start)
	require.True(t, own.full(0))
	for range 9 {
		d, refused := r.Pick(Query{Service: "shifts"}, start)
		require.Nil(t, refused)
		require.Equal(t, members[0].ID, d.Instance.ID)
	}
	other := New(model.Instance{ID: "files-1", Service: "files", Place: north1}, 1)
	other.swap(1, tableOf(row("shifts", 1, 1, 1, 1, 1)), members, start)
	other.ObserveSelf(Load{InFlight: 9, Slots: 9}, start) // has no row: no effect
}

// Guards against an instance that counts with the few slots of its ramp until its calls end,
// and against counting more slots than an instance reported after its ramp.
func TestOldReportsOfARampAreLowerBounds(t *testing.T) {
	n := newNode(0)
	n.recordLoad(Load{Slots: 1}, 0)
	require.Equal(t, 1, n.slots(0))
	require.Equal(t, 4, n.slots(int64(RampUp/2)))
	require.Equal(t, 9, n.slots(int64(RampUp)))
	n.recordLoad(Load{Slots: 3}, int64(RampUp))
	require.Equal(t, 3, n.slots(int64(RampUp+time.Hour)))
	n.recordLoad(Load{Slots: 40}, 0)
	require.Equal(t, 40, n.slots(int64(RampUp)))
}

// Guards against a full share for an instance that has just started, which happens if the
// list contains the instance before its announcement arrives.
func TestLateAnnouncementStartsTheRamp(t *testing.T) {
	for name, c := range map[string]struct {
		started time.Duration // before the start of the router; after it if negative
		ramp    float64
	}{
		"1 s before the router": {time.Second, rampStart + (1-rampStart)*1.5/RampUp.Seconds()},
		"after the router":      {-250 * time.Millisecond, rampStart + (1-rampStart)*0.25/RampUp.Seconds()},
		"an hour before":        {time.Hour, 1},
		"clock ahead":           {-time.Minute, 1},
	} {
		t.Run(name, func(t *testing.T) {
			members := sixteenInstances()
			r := newRouter(members, row("shifts", 1, 1, 1, 1, 1))
			n := r.nodeOf(members[0].ID)
			require.Equal(t, 1.0, n.ramp(0))
			n.inFlight.Add(1)
			announced := sixteenInstances()
			announced[0].Incarnation = uint64(start.Add(-c.started).UnixMilli())
			at := start.Add(500 * time.Millisecond)
			r.swap(1, tableOf(row("shifts", 1, 1, 1, 1, 1)), announced, at)
			require.Same(t, n, r.nodeOf(members[0].ID), "calls in flight must still be counted")
			require.InDelta(t, c.ramp, n.ramp(int64(at.Sub(start))), 1e-9)
		})
	}
}

// Guards against more than one call that probes a suspect at a time, and against a suspicion
// period that never ends or does not grow.
func TestSuspectGetsOneProbe(t *testing.T) {
	members := sixteenInstances()[:2]
	r := newRouter(members, row("shifts", 1, 1, 1, 1, 1))
	n := r.nodeOf(members[0].ID)
	n.recordFailure(0, false)
	picks := func(at time.Time) (probes []Decision) {
		for range 200 {
			d, refused := r.Pick(Query{Service: "shifts"}, at)
			require.Nil(t, refused)
			if d.Instance.ID == members[0].ID {
				require.Equal(t, Probe, d.Reason)
				probes = append(probes, d)
				continue
			}
			r.Report(d, Outcome{}, at)
		}
		return probes
	}
	require.Empty(t, picks(start.Add(suspicionMin-1)))
	due := start.Add(suspicionMin)
	probes := picks(due)
	require.Len(t, probes, 1)
	r.Report(probes[0], Outcome{Failed: true}, due)
	require.Empty(t, picks(due.Add(2*suspicionMin-1)), "a failed probe doubles the suspicion period")
	probes = picks(due.Add(2 * suspicionMin))
	require.Len(t, probes, 1)
	r.Report(probes[0], Outcome{}, due.Add(2*suspicionMin))
	require.False(t, n.suspect())
}

// Guards against a slow instance that gets as many calls as a fast one, and against one that
// gets few calls for ever.
func TestSlowInstanceGetsLess(t *testing.T) {
	members := sixteenInstances()[:2]
	r := newRouter(members, row("shifts", 1, 1, 1, 1, 1))
	r.nodeOf(members[0].ID).recordLatency(100*time.Millisecond, 0)
	r.nodeOf(members[1].ID).recordLatency(10*time.Millisecond, 0)
	for at, want := range map[time.Duration]int{0: 2200 / 11, maxLatencyAge: 1100} {
		count := 0
		for range 2200 {
			d, _ := r.Pick(Query{Service: "shifts"}, start.Add(at))
			if d.Instance.ID == members[0].ID {
				count++
			}
			r.Report(d, Outcome{}, start.Add(at))
		}
		require.InDelta(t, want, count, 120)
	}
}

// Guards against calls that continue to go to an instance behind a network partition, and
// against making an instance suspect although it responds to other calls.
func TestTimeoutsMarkUnresponsiveInstancesSuspect(t *testing.T) {
	r := newRouter(sixteenInstances()[:1], row("shifts", 1, 1, 1, 1, 1))
	n := r.nodeOf(sixteenInstances()[0].ID)
	for _, c := range []struct {
		wait     time.Duration
		answered bool
		suspect  bool
	}{{unresponsiveAfter - 1, false, false}, {unresponsiveAfter, true, false}, {unresponsiveAfter, false, true}} {
		late, _ := r.Pick(Query{Service: "shifts"}, start)
		other, _ := r.Pick(Query{Service: "shifts"}, start)
		if c.answered {
			r.Observe(other, Load{}, start.Add(time.Millisecond))
		}
		r.Report(late, Outcome{TimedOut: true}, start.Add(c.wait))
		require.Equal(t, c.suspect, n.suspect())
		r.Report(other, Outcome{Cancelled: true}, start.Add(c.wait))
		n.lastResponse.Store(-1)
	}
	require.Zero(t, n.inFlight.Load())
}

// Guards against calls in flight that are not counted, or are counted twice, while route
// tables are swapped.
func TestConcurrentUse(t *testing.T) {
	members := sixteenInstances()
	r := newRouter(members, row("shifts", 1, 1, 1, 1, 1))
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 500 {
				at := start.Add(time.Duration(i) * time.Millisecond)
				if i%10 == worker {
					r.swap(model.Version(i), tableOf(row("shifts", 1, uint32(i%3), 1, 1, 1)), members[worker:], at)
				}
				if d, refused := r.Pick(Query{Service: "shifts"}, at); refused == nil {
					r.Report(d, Outcome{Load: Load{InFlight: i % 12, Slots: 9}, Failed: i%50 == 0}, at)
				}
			}
		})
	}
	group.Wait()
	for _, c := range r.Explain("shifts", start).Instances {
		require.Zero(t, r.nodeOf(c.ID).inFlight.Load())
	}
}

// Guards against new calls to an instance that has refused a call because it is leaving, and
// against an instance that gets no calls after its restart.
func TestLeavingGetsNothingUntilRestart(t *testing.T) {
	members := sixteenInstances()[:1]
	members[0].Incarnation = 5
	r := newRouter(members, row("shifts", 1, 1, 1, 1, 1))
	d, refused := r.Pick(Query{Service: "shifts"}, start)
	require.Nil(t, refused)
	r.Report(d, Outcome{Refused: refusal.Leaving}, start)
	_, refused = r.Pick(Query{Service: "shifts"}, start)
	require.Equal(t, refusal.NoInstance, refused.Kind)
	require.Equal(t, refusal.NotRun, refused.Run)
	restarted := []model.Instance{members[0]}
	restarted[0].Incarnation = 6
	r.swap(1, tableOf(row("shifts", 1, 1, 1, 1, 1)), restarted, start)
	_, refused = r.Pick(Query{Service: "shifts"}, start)
	require.Nil(t, refused)
}

// Guards against the use of stale load: within 1 s the estimate decreases to the calls from
// this daemon.
func TestLoadFades(t *testing.T) {
	n := newNode(-int64(RampUp))
	n.inFlight.Store(2)
	n.recordLoad(Load{InFlight: 8, Slots: 9, Queued: 4}, 0)
	for _, step := range []struct {
		age   time.Duration
		calls float64
		full  bool
	}{{0, 12, true}, {maxLoadAge / 2, 7, false}, {maxLoadAge, 2, false}} {
		calls, _, _ := n.load(int64(step.age))
		require.InDelta(t, step.calls, calls, 0.01)
		require.Equal(t, step.full, n.full(int64(step.age)))
	}
	_, ok := ParseLoad("3/9")
	require.False(t, ok)
	load, ok := ParseLoad(Load{InFlight: 3, Slots: 9, Queued: 1}.String())
	require.True(t, ok)
	require.Equal(t, Load{InFlight: 3, Slots: 9, Queued: 1}, load)
}

// Guards against an incremental update whose result differs from that of a full build.
func TestIncrementalUpdateEqualsRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(model.Instance{Place: north1}, 1)
		services := []string{"files", "records", "shifts"}
		for step := range 5 {
			at := start.Add(time.Duration(step) * time.Hour)
			var members []model.Instance
			var rows []table.Row
			for _, s := range services {
				for i, place := range []model.Place{north1, north1, north2, south1} {
					inst := instance(s, place, i)
					inst.State = model.State(rapid.IntRange(0, 1).Draw(t, "state"))
					if rapid.Bool().Draw(t, "listed") {
						members = append(members, inst)
					}
				}
				if rapid.IntRange(0, 4).Draw(t, "row") > 0 {
					rows = append(rows, row(s, rapid.Uint32Range(0, 2).Draw(t, "w"), 1, 1, 1, 1))
				}
			}
			r.swap(model.Version(step+1), tableOf(rows...), members, at)
			fresh := New(model.Instance{Place: north1}, 1)
			fresh.swap(model.Version(step+1), tableOf(rows...), members, start)
			for _, s := range services {
				want, got := fresh.Explain(s, start), r.Explain(s, at.Add(RampUp))
				require.Equal(t, want, got)
			}
		}
	})
}
