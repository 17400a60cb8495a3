// Package topology derives a distribution tree from the membership view. The tree carries new
// versions of the configuration table to all daemons. All functions are pure: daemons with equal
// views derive the same roles without exchanging messages.
//
// In each data centre, the member with the highest priority is the relay. In each region, one of
// the relays is the entry, which receives new versions for the region. Up to three readers watch
// the store. Every other daemon receives versions from an eager parent, which pushes them, and
// can pull them from a lazy parent.
package topology

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
)

const (
	// fanOut is the factor by which the size of a level grows within a data centre.
	fanOut = 8
	// topSize is the size of level 0: the relay and the spare relay.
	topSize = 2
	// maxEager bounds the eager children of a member outside level 0. With 19,000 daemons it
	// reduces the traffic of the busiest daemon from 2.2 KB/s to 1.9 KB/s.
	maxEager = fanOut + 4
	// maxReaders bounds the number of daemons that watch the store, for every fleet size.
	maxReaders = 3
)

// SharedRank is the maximum number of parents that a daemon ranks from the level above. The relays
// and entries, which many daemons share as parents, come after these, so that a daemon dials them
// only after up to eight unreachable parents.
const SharedRank = 8

// Plan holds the role and the parents of one daemon in the distribution tree.
type Plan struct {
	// Self is the daemon's own instance; it is empty if Build does not find it in the view.
	Self model.Instance
	// Size is the number of instances in the view that are not leaving; Self always counts.
	Size int
	// Level is the daemon's level in the tree of its data centre: 0 for the relay and the spare
	// relay.
	Level int
	// Parents holds the possible parents in order of preference: the first that can be reached is
	// the eager parent, the next one the lazy parent. Each of them has a higher rank in the tree
	// than the daemon, so that daemons with equal views form no cycle. Only readers list each
	// other, because they read versions from the store.
	Parents []model.Instance
	// Readers holds the daemons that watch the store. The first one is the primary reader.
	Readers []model.Instance
	// Entries is set only for readers. It holds the entries of other regions that are not readers.
	Entries []model.Instance
	// ReaderRank is the daemon's index in Readers, or -1.
	ReaderRank int
	// Relay and SpareRelay form level 0 of the daemon's data centre.
	Relay, SpareRelay model.InstanceID
	// Entry receives the versions for the daemon's region; SpareEntry replaces it on failure.
	Entry, SpareEntry model.InstanceID
}

// IsEntry reports whether the daemon is the entry of its region.
func (p *Plan) IsEntry() bool { return p.Self.ID != "" && p.Self.ID == p.Entry }

// IsSpareEntry reports whether the daemon is the spare entry of its region.
func (p *Plan) IsSpareEntry() bool { return p.Self.ID != "" && p.Self.ID == p.SpareEntry }

// Build derives the plan of one daemon. It makes one pass over the view, which takes about 1.5 ms
// with 19,000 instances.
func Build(view membership.View, self model.InstanceID, storeRegion string) Plan {
	instance, ok := findInstance(view, self)
	if !ok {
		return Plan{ReaderRank: -1}
	}
	return newIndex(view, self, storeRegion, func(p model.Place) bool { return p == instance.Place }).plan(instance)
}

// BuildFor derives the plan of a daemon that may have started too recently to be in the platform's
// list of instances. An unlisted daemon has no role and no children. Its parents are those that a
// member with the lowest priority in its data centre would have.
func BuildFor(view membership.View, self model.Instance, storeRegion string) Plan {
	if _, ok := findInstance(view, self.ID); ok {
		return Build(view, self.ID, storeRegion)
	}
	x := newIndex(view, self.ID, storeRegion, func(p model.Place) bool { return p == self.Place })
	return x.planUnlisted(self)
}

// findInstance returns the instance with the ID. The instances of a view are sorted by ID.
func findInstance(view membership.View, id model.InstanceID) (model.Instance, bool) {
	at, ok := slices.BinarySearchFunc(view.Instances, id, func(i model.Instance, id model.InstanceID) int {
		return cmp.Compare(i.ID, id)
	})
	if !ok {
		return model.Instance{}, false
	}
	return view.Instances[at], true
}

// planUnlisted derives the plan of a daemon that is not in the view.
func (x *index) planUnlisted(self model.Instance) Plan {
	p := Plan{Self: self, Size: x.size, ReaderRank: -1, Level: 1}
	ranking := ranking{self: self.ID}
	if dc := x.places[self.Place]; dc != nil {
		p.Relay = dc.top[0].id()
		level, from, to := levelOf(max(topSize, len(dc.members)))
		p.Level = level
		child := member{priority: xxhash.Sum64String(string(self.ID)), instance: &self}
		above := rendezvous(child, dc.members[from:min(to, len(dc.members))])
		ranking.add(above[:min(len(above), SharedRank)]...)
		ranking.add(dc.top...)
	}
	if r := x.regions[self.Place.Region]; r != nil {
		p.Entry = r.entry.id()
		ranking.add(r.entry, r.spareEntry)
	}
	if len(ranking.parents) == 0 {
		ranking.add(x.readers...)
	}
	for _, reader := range x.readers {
		p.Readers = append(p.Readers, *reader.instance)
	}
	p.Parents = ranking.parents
	return p
}

// BuildAll derives the plans of all live members by the same rules as Build, for analysis of a
// whole fleet.
func BuildAll(view membership.View, storeRegion string) map[model.InstanceID]Plan {
	x := newIndex(view, "", storeRegion, func(model.Place) bool { return true })
	all := make(map[model.InstanceID]Plan, len(view.Instances))
	for _, i := range view.Instances {
		if i.State == model.Live {
			all[i.ID] = x.plan(i)
		}
	}
	return all
}

// plan derives the plan of a member. The index must hold all members of its data centre.
func (x *index) plan(self model.Instance) Plan {
	dc, r := x.places[self.Place], x.regions[self.Place.Region]
	p := Plan{Self: self, Size: x.size, ReaderRank: -1, Relay: dc.top[0].id(), Entry: r.entry.id()}
	if len(dc.top) > 1 {
		p.SpareRelay = dc.top[1].id()
	}
	if r.spareEntry.instance != nil {
		p.SpareEntry = r.spareEntry.id()
	}
	for i, reader := range x.readers {
		p.Readers = append(p.Readers, *reader.instance)
		if reader.id() == self.ID {
			p.ReaderRank = i
		}
	}
	if p.ReaderRank >= 0 {
		p.Entries = x.entries(self.Place.Region)
	}
	position := slices.IndexFunc(dc.members, func(m member) bool { return m.id() == self.ID })
	level, from, to := levelOf(position)
	p.Level = level
	var above []member
	switch {
	case level == 1 && p.Relay == x.readers[0].id() && len(dc.top) > 1:
		// The primary reader sends to all regions. With level 1 as eager children in addition, its
		// traffic would exceed 2 KB/s.
		above = []member{dc.top[1], dc.top[0]}
	case level > 0:
		above = dc.levelAbove(position, from, to)
	}
	p.Parents = x.parents(&p, dc, r, above)
	return p
}

// entries returns, in order of priority, the entries of all regions except one, without those that
// are readers.
func (x *index) entries(except string) []model.Instance {
	var entries []member
	for name, r := range x.regions {
		isReader := slices.ContainsFunc(x.readers, func(m member) bool { return m.id() == r.entry.id() })
		if name != except && !isReader {
			entries = append(entries, r.entry)
		}
	}
	slices.SortFunc(entries, member.compare)
	instances := make([]model.Instance, len(entries))
	for i, m := range entries {
		instances[i] = *m.instance
	}
	return instances
}

// levelAbove ranks the members of the level above, [from, to), as parents of the member at a
// position: its eager parent first, then others in rendezvous order.
func (d *dataCentre) levelAbove(position, from, to int) []member {
	ranked := rendezvous(d.members[position], d.members[from:to])
	eager := 0
	if from >= topSize {
		parent := d.eagerParents(from, to)[position-to]
		eager = slices.IndexFunc(ranked, func(m member) bool { return m.instance == d.members[from+parent].instance })
	}
	first := ranked[eager]
	ranked = slices.Delete(ranked, eager, eager+1)
	return slices.Insert(ranked[:min(len(ranked), SharedRank-1)], 0, first)
}

// eagerParents assigns an eager parent in [from, to) to each member of the next level. In order of
// priority, each member gets its first candidate in rendezvous order that has fewer than maxEager
// children. The result holds, for each member, the index of its parent relative to from.
func (d *dataCentre) eagerParents(from, to int) []int {
	if assigned, ok := d.eagerParentCache[from]; ok {
		return assigned
	}
	end := min(to+(to-from)*fanOut, len(d.members))
	children := make([]int, to-from)
	assigned := make([]int, end-to)
	for i, child := range d.members[to:end] {
		best, score := -1, uint64(0)
		for j, candidate := range d.members[from:to] {
			if children[j] >= maxEager {
				continue
			}
			if s := rendezvousScore(child, candidate); best < 0 || s > score {
				best, score = j, s
			}
		}
		assigned[i] = best
		children[best]++
	}
	if d.eagerParentCache == nil {
		d.eagerParentCache = map[int][]int{}
	}
	d.eagerParentCache[from] = assigned
	return assigned
}

// levelOf returns the level of a position in the data centre's order of priority, and the range
// [from, to) of positions of the level above.
func levelOf(position int) (level, from, to int) {
	start, size := 0, topSize
	for position >= start+size {
		from, to = start, start+size
		start += size
		if level == 0 {
			size = fanOut
		} else {
			size *= fanOut
		}
		level++
	}
	return level, from, to
}

// parents ranks the parents of a member. above holds the ranked members of the level above it.
func (x *index) parents(p *Plan, dc *dataCentre, r *region, above []member) []model.Instance {
	ranking := ranking{self: p.Self.ID}
	switch {
	case p.ReaderRank >= 0 || p.IsEntry():
		ranking.add(x.readers...)
	case p.IsSpareEntry():
		ranking.add(r.entry)
		ranking.add(x.readers...)
	case p.Level == 0:
		if p.Self.ID == p.SpareRelay {
			ranking.add(dc.top[0])
		}
		ranking.add(r.entry, r.spareEntry)
		ranking.add(x.readers...)
	default:
		ranking.add(above...)
		ranking.add(dc.top...)
		ranking.add(r.entry, r.spareEntry)
	}
	return ranking.parents
}

// ranking collects parents without duplicates and without the daemon itself.
type ranking struct {
	self    model.InstanceID
	parents []model.Instance
}

// add appends members that are not in the ranking yet.
func (r *ranking) add(members ...member) {
	for _, m := range members {
		if m.instance == nil || m.id() == r.self {
			continue
		}
		if !slices.ContainsFunc(r.parents, func(i model.Instance) bool { return i.ID == m.id() }) {
			r.parents = append(r.parents, *m.instance)
		}
	}
}

// rendezvous orders candidates by descending score for a child (rendezvous hashing): if a
// candidate fails, only its own children move.
func rendezvous(child member, candidates []member) []member {
	scored := make([]member, 0, len(candidates))
	for _, c := range candidates {
		scored = append(scored, member{priority: rendezvousScore(child, c), instance: c.instance})
	}
	slices.SortFunc(scored, member.compare)
	return scored
}

// rendezvousScore returns the rendezvous score of a candidate for a child.
func rendezvousScore(child, candidate member) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], child.priority)
	binary.LittleEndian.PutUint64(buffer[8:], candidate.priority)
	return xxhash.Sum64(buffer[:])
}
