package topology

import (
	"fmt"
	"testing"

	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
)

// BenchmarkDesignSize reports the shape of the tree at the design size, and the number of members
// that get another parent after a failure.
func BenchmarkDesignSize(b *testing.B) {
	view := fleet(designSize, designDCs, designRegions)
	for b.Loop() {
		before := BuildAll(view, storeRegion)
		reportShape(b, before)
		reportMoves(b, view, before)
	}
	b.ReportMetric(0, "ns/op")
}

// reportShape reports the highest number of children by role, the depth of the tree, and the
// number of links between regions (paid-links).
func reportShape(b *testing.B, all map[model.InstanceID]Plan) {
	eager, lazy, crossRegionLinks := map[model.InstanceID]int{}, map[model.InstanceID]int{}, 0
	maxDepth, total := 0, 0
	for id, p := range all {
		hops := depth(all, id)
		maxDepth, total = max(maxDepth, hops), total+hops
		eager[parent(p, 0)]++
		lazy[parent(p, 1)]++
		for rank := range min(2, len(p.Parents)) {
			if p.Parents[rank].Place.Region != p.Self.Place.Region {
				crossRegionLinks++
			}
		}
	}
	maxChildren, withChildren := 0, 0
	mostEager, mostLazy := map[string]int{}, map[string]int{}
	for id, p := range all {
		children := eager[id] + lazy[id]
		maxChildren = max(maxChildren, children)
		if children > 0 {
			withChildren++
		}
		role := roleOf(p)
		mostEager[role], mostLazy[role] = max(mostEager[role], eager[id]), max(mostLazy[role], lazy[id])
	}
	for role := range mostEager {
		b.ReportMetric(float64(mostEager[role]), "eager-children/"+role)
		b.ReportMetric(float64(mostLazy[role]), "lazy-children/"+role)
	}
	b.ReportMetric(float64(maxDepth), "hops-max")
	b.ReportMetric(float64(total)/float64(len(all)), "hops-mean")
	b.ReportMetric(float64(maxChildren), "children-max")
	b.ReportMetric(float64(withChildren)/float64(len(all)), "share-with-children")
	b.ReportMetric(float64(crossRegionLinks), "paid-links")
}

// roleOf returns the highest role of a member.
func roleOf(p Plan) string {
	switch {
	case p.ReaderRank >= 0:
		return fmt.Sprintf("reader-%d", p.ReaderRank)
	case p.IsEntry():
		return "entry"
	case p.IsSpareEntry():
		return "spare-entry"
	}
	return fmt.Sprintf("level-%d", p.Level)
}

// reportMoves reports the number of members whose eager or lazy parent differs after a failure.
func reportMoves(b *testing.B, view membership.View, before map[model.InstanceID]Plan) {
	var leaf, level1, relay, entry, primary model.Instance
	for id, p := range before {
		switch {
		case p.ReaderRank == 0:
			primary = p.Self
		case p.IsEntry() && (entry.ID == "" || id < entry.ID):
			entry = p.Self
		case p.ReaderRank < 0 && id == p.Relay && !p.IsSpareEntry() && (relay.ID == "" || id < relay.ID):
			relay = p.Self
		case p.Level == 3 && (leaf.ID == "" || id < leaf.ID):
			leaf = p.Self
		case p.Level == 1 && (level1.ID == "" || id < level1.ID):
			level1 = p.Self
		}
	}
	isInstance := func(failed model.Instance) func(model.Instance) bool {
		return func(i model.Instance) bool { return i.ID == failed.ID }
	}
	for _, failure := range []struct {
		name string
		drop func(model.Instance) bool
	}{
		{"leaf", isInstance(leaf)},
		{"level-1", isInstance(level1)},
		{"relay", isInstance(relay)},
		{"entry", isInstance(entry)},
		{"primary-reader", isInstance(primary)},
		{"data-centre", func(i model.Instance) bool { return i.Place == entry.Place }},
		{"region", func(i model.Instance) bool { return i.Place.Region == entry.Place.Region }},
	} {
		moved := countChanges(before, BuildAll(without(view, failure.drop), storeRegion))
		b.ReportMetric(float64(moved.eager), "eager-moves/"+failure.name)
		b.ReportMetric(float64(moved.lazy), "lazy-moves/"+failure.name)
	}
}
