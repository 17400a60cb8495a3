package topology

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
)

const (
	designSize    = 19000
	designDCs     = 39
	designRegions = 10
	storeRegion   = "r0"
)

// fleet returns a view of n instances in dcs data centres of regions regions.
func fleet(n, dcs, regions int) membership.View {
	view := membership.View{Revision: 1}
	for i := range n {
		dc := i % dcs
		view.Instances = append(view.Instances, model.Instance{
			ID:    model.InstanceID(fmt.Sprintf("instance-%06d", i)),
			Place: model.Place{Region: fmt.Sprintf("r%d", dc%regions), DataCentre: fmt.Sprintf("dc%d", dc)},
		})
	}
	return view
}

func without(view membership.View, drop func(model.Instance) bool) membership.View {
	kept := membership.View{Revision: view.Revision + 1}
	for _, i := range view.Instances {
		if !drop(i) {
			kept.Instances = append(kept.Instances, i)
		}
	}
	return kept
}

func plans(view membership.View) map[model.InstanceID]Plan {
	x := newIndex(view, "", storeRegion, func(model.Place) bool { return true })
	all := map[model.InstanceID]Plan{}
	for _, i := range view.Instances {
		all[i.ID] = x.plan(i)
	}
	return all
}

// depth returns the number of hops from the primary reader along eager parents, or
// -1 when they form a cycle.
func depth(all map[model.InstanceID]Plan, id model.InstanceID) int {
	for hops := range 32 {
		p := all[id]
		if p.ReaderRank == 0 {
			return hops
		}
		id = p.Parents[0].ID
	}
	return -1
}

type change struct{ roles, eager, lazy int }

// compare counts the surviving members whose roles or parents differ.
func compare(before, after map[model.InstanceID]Plan) change {
	var c change
	for id, a := range after {
		b, ok := before[id]
		if !ok {
			continue
		}
		if a.Level != b.Level || a.ReaderRank != b.ReaderRank || a.IsEntry() != b.IsEntry() || a.IsSpareEntry() != b.IsSpareEntry() {
			c.roles++
		}
		if parent(a, 0) != parent(b, 0) {
			c.eager++
		}
		if parent(a, 1) != parent(b, 1) {
			c.lazy++
		}
	}
	return c
}

func parent(p Plan, rank int) model.InstanceID {
	if rank < len(p.Parents) {
		return p.Parents[rank].ID
	}
	return ""
}

// Guards the shape of the tree at the design size: logarithmic depth, bounded
// children, a constant number of watches and no cycle.
func TestShapeAtDesignSize(t *testing.T) {
	view := fleet(designSize, designDCs, designRegions)
	all := plans(view)
	eager, lazy := map[model.InstanceID]int{}, map[model.InstanceID]int{}
	readers, deepest, total := 0, 0, 0
	for id, p := range all {
		hops := depth(all, id)
		require.GreaterOrEqual(t, hops, 0, "cycle at %s", id)
		deepest, total = max(deepest, hops), total+hops
		if p.ReaderRank >= 0 {
			readers++
		}
		eager[parent(p, 0)]++
		lazy[parent(p, 1)]++
	}
	most, sum := 0, 0
	for id, n := range eager {
		most, sum = max(most, n+lazy[id]), sum+n
	}
	require.Equal(t, 3, readers)
	require.LessOrEqual(t, deepest, 6)
	require.LessOrEqual(t, most, 48)
	t.Logf("depth max %d mean %.2f; children eager mean %.1f, eager and lazy max %d; watches %d x 2",
		deepest, float64(total)/designSize, float64(sum)/float64(len(eager)), most, readers)
}

// Guards the rule that a failure moves few daemons: a death of a leaf moves nobody, a
// death of a parent moves about its children, and a lost data centre moves no other
// data centre's members except relays.
func TestFailuresMoveFewMembers(t *testing.T) {
	view := fleet(designSize, designDCs, designRegions)
	before := plans(view)
	var leaf, inner, reader model.Instance
	for id, p := range before {
		switch {
		case p.ReaderRank == 0:
			reader = p.Self
		case p.Level == 3 && (leaf.ID == "" || id < leaf.ID):
			leaf = p.Self
		case p.Level == 1 && (inner.ID == "" || id < inner.ID):
			inner = p.Self
		}
	}
	entry := before[before[leaf.ID].Entry].Self
	cases := []struct {
		name  string
		drop  func(model.Instance) bool
		limit int
	}{
		{"leaf", func(i model.Instance) bool { return i.ID == leaf.ID }, 0},
		{"level 1", func(i model.Instance) bool { return i.ID == inner.ID }, 64},
		{"primary reader", func(i model.Instance) bool { return i.ID == reader.ID }, 96},
		{"data centre of an entry", func(i model.Instance) bool { return i.Place == entry.Place }, 16},
		{"store region", func(i model.Instance) bool { return i.Place.Region == storeRegion }, 40},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			after := plans(without(view, c.drop))
			moved := compare(before, after)
			require.LessOrEqual(t, moved.eager, c.limit)
			readers := 0
			for id, p := range after {
				require.GreaterOrEqual(t, depth(after, id), 0)
				if p.ReaderRank >= 0 {
					readers++
				}
			}
			require.Equal(t, 3, readers)
			t.Logf("%s: roles moved %d, eager parents moved %d, lazy parents moved %d", c.name, moved.roles, moved.eager, moved.lazy)
		})
	}
}

// Guards the graceful stop: a leaving parent loses its children while it still
// runs, and a restart under the same ID gives it the same role again.
func TestLeavingLosesRolesAndRestartRestoresThem(t *testing.T) {
	view := fleet(240, 4, 2)
	before := plans(view)
	primary := before[view.Instances[0].ID].Readers[0].ID
	leaving := without(view, func(model.Instance) bool { return false })
	for i := range leaving.Instances {
		if leaving.Instances[i].ID == primary {
			leaving.Instances[i].State = model.Leaving
		}
	}
	for _, i := range leaving.Instances {
		p := Build(leaving, i.ID, storeRegion)
		if i.ID == primary {
			require.NotEmpty(t, p.Parents, "a leaving daemon keeps receiving versions")
			continue
		}
		for _, candidate := range p.Parents {
			require.NotEqual(t, primary, candidate.ID)
		}
	}
	require.Equal(t, change{}, compare(before, plans(view)))
}

// Guards small fleets, in which one daemon has several roles.
func TestSmallFleets(t *testing.T) {
	for n := 1; n <= 30; n++ {
		view := fleet(n, 4, 2)
		for _, p := range plans(view) {
			require.Equal(t, p, Build(view, p.Self.ID, storeRegion))
			require.True(t, p.ReaderRank == 0 || len(p.Parents) > 0, "n=%d %s", n, p.Self.ID)
		}
	}
	require.Equal(t, Plan{ReaderRank: -1}, Build(membership.View{}, "x", storeRegion))
}

func BenchmarkBuild(b *testing.B) {
	view := fleet(designSize, designDCs, designRegions)
	b.ReportAllocs()
	for b.Loop() {
		Build(view, view.Instances[777].ID, storeRegion)
	}
}
