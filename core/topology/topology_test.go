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

// fleet returns a view of n instances, spread over dcs data centres and the number of regions.
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

// without returns the view without the instances that drop selects.
func without(view membership.View, drop func(model.Instance) bool) membership.View {
	kept := membership.View{Revision: view.Revision + 1}
	for _, i := range view.Instances {
		if !drop(i) {
			kept.Instances = append(kept.Instances, i)
		}
	}
	return kept
}

// depth returns the number of hops from the primary reader along eager parents, or -1 if they form
// a cycle.
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

// changeCounts counts members whose roles, eager parents or lazy parents differ.
type changeCounts struct{ roles, eager, lazy int }

// countChanges counts the members of both trees whose roles or parents differ.
func countChanges(before, after map[model.InstanceID]Plan) changeCounts {
	var c changeCounts
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

// parent returns the ID of the parent with the rank, or an empty ID if there is none.
func parent(p Plan, rank int) model.InstanceID {
	if rank < len(p.Parents) {
		return p.Parents[rank].ID
	}
	return ""
}

// Checks the shape of the tree at the design size: logarithmic depth, a bounded number of
// children, a constant number of watches and no cycle.
func TestShapeAtDesignSize(t *testing.T) {
	t.Parallel()
	view := fleet(designSize, designDCs, designRegions)
	all := BuildAll(view, storeRegion)
	eager, lazy := map[model.InstanceID]int{}, map[model.InstanceID]int{}
	readers, maxDepth, total := 0, 0, 0
	for id, p := range all {
		hops := depth(all, id)
		require.GreaterOrEqual(t, hops, 0, "cycle at %s", id)
		maxDepth, total = max(maxDepth, hops), total+hops
		if p.ReaderRank >= 0 {
			readers++
		}
		eager[parent(p, 0)]++
		lazy[parent(p, 1)]++
	}
	maxChildren, sum := 0, 0
	for id, n := range eager {
		maxChildren, sum = max(maxChildren, n+lazy[id]), sum+n
	}
	require.Equal(t, 3, readers)
	require.LessOrEqual(t, maxDepth, 6)
	require.LessOrEqual(t, maxChildren, 48)
	t.Logf("depth max %d mean %.2f; children eager mean %.1f, eager and lazy max %d; watches %d x 2",
		maxDepth, float64(total)/designSize, float64(sum)/float64(len(eager)), maxChildren, readers)
}

// Guards against moves of other daemons when a daemon without children fails. The limit of eager
// children allows an exception: it assigns some members to a parent of lower score, and such a
// member may move back to the one with the highest score.
func TestDeathOfLeaf(t *testing.T) {
	t.Parallel()
	view := fleet(designSize/designDCs, 1, 1)
	before := BuildAll(view, storeRegion)
	leaves, moved, maxMoved := 0, 0, 0
	for i, instance := range view.Instances {
		id := instance.ID
		if i%6 > 0 || before[id].Level < 3 {
			continue
		}
		c := countChanges(before, BuildAll(without(view, func(i model.Instance) bool { return i.ID == id }), storeRegion))
		require.Zero(t, c.roles)
		leaves, moved, maxMoved = leaves+1, moved+c.eager, max(maxMoved, c.eager)
	}
	t.Logf("%d leaves: eager parents moved by a failure: mean %.3f, max %d", leaves, float64(moved)/float64(leaves), maxMoved)
	require.LessOrEqual(t, moved*10, leaves)
	require.LessOrEqual(t, maxMoved, 2)
}

// Guards against failures that move many daemons: the failure of a parent should move little more
// than its children, and the loss of a data centre should move only relays of other data centres.
func TestFailuresMoveFewMembers(t *testing.T) {
	t.Parallel()
	view := fleet(designSize, designDCs, designRegions)
	before := BuildAll(view, storeRegion)
	var level1, remote, reader model.Instance
	for id, p := range before {
		switch {
		case p.ReaderRank == 0:
			reader = p.Self
		case p.Level == 1 && (level1.ID == "" || id < level1.ID):
			level1 = p.Self
		case p.Level == 3 && p.Self.Place.Region != storeRegion && (remote.ID == "" || id < remote.ID):
			remote = p.Self
		}
	}
	entry := before[before[remote.ID].Entry].Self
	cases := []struct {
		name  string
		drop  func(model.Instance) bool
		limit int
	}{
		{"level 1", func(i model.Instance) bool { return i.ID == level1.ID }, 64},
		{"primary reader", func(i model.Instance) bool { return i.ID == reader.ID }, 96},
		// The entries of the other regions, the relays of the region, and level 1 of the data
		// centre to which the primary reader moves.
		{"data centre of the primary reader", func(i model.Instance) bool { return i.Place == reader.Place }, designRegions - 1 + 4 + fanOut},
		{"data centre of another entry", func(i model.Instance) bool { return i.Place == entry.Place }, 8},
		{"store region", func(i model.Instance) bool { return i.Place.Region == storeRegion }, 40},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			after := BuildAll(without(view, c.drop), storeRegion)
			moved := countChanges(before, after)
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

// Guards against a graceful shutdown that interrupts distribution: a leaving parent must lose its
// children while it still runs. Also guards against moves after a restart: with the same ID it must
// get the same role again.
func TestLeavingLosesRolesAndRestartRestoresThem(t *testing.T) {
	t.Parallel()
	view := fleet(240, 4, 2)
	before := BuildAll(view, storeRegion)
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
	require.Equal(t, changeCounts{}, countChanges(before, BuildAll(view, storeRegion)))
}

// Checks small fleets, in which a daemon has several roles.
func TestSmallFleets(t *testing.T) {
	t.Parallel()
	for n := 1; n <= 30; n++ {
		view := fleet(n, 4, 2)
		for _, p := range BuildAll(view, storeRegion) {
			require.Equal(t, p, Build(view, p.Self.ID, storeRegion))
			require.True(t, p.ReaderRank == 0 || len(p.Parents) > 0, "n=%d %s", n, p.Self.ID)
		}
	}
	require.Equal(t, Plan{ReaderRank: -1}, Build(membership.View{}, "x", storeRegion))
}

// Guards against a new daemon without parents while the platform's list does not contain it yet.
// It must have no role, and parents in its data centre or region or, if these have no members, the
// readers as parents.
func TestUnlistedDaemonHasParents(t *testing.T) {
	view := fleet(400, 4, 2)
	for _, place := range []model.Place{view.Instances[0].Place, {Region: "r1", DataCentre: "new"}, {Region: "new", DataCentre: "new"}} {
		p := BuildFor(view, model.Instance{ID: "unlisted", Place: place}, storeRegion)
		require.GreaterOrEqual(t, len(p.Parents), 2, "%s", place)
		require.Equal(t, -1, p.ReaderRank)
		require.False(t, p.IsEntry() || p.IsSpareEntry())
		require.Greater(t, p.Level, 0)
	}
	listed := view.Instances[3]
	require.Equal(t, Build(view, listed.ID, storeRegion), BuildFor(view, listed, storeRegion))
	require.Empty(t, BuildFor(membership.View{}, listed, storeRegion).Parents)
}

func BenchmarkBuild(b *testing.B) {
	view := fleet(designSize, designDCs, designRegions)
	b.ReportAllocs()
	for b.Loop() {
		Build(view, view.Instances[777].ID, storeRegion)
	}
}
