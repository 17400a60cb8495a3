// Package topology derives the distribution tree from the membership view. All
// functions are pure: daemons with equal views agree on every role without a word.
package topology

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
)

const (
	// fanOut is the growth of the levels within a data centre.
	fanOut = 8
	// topSize is the size of level 0: the relay and the spare relay.
	topSize = 2
	// maxReaders bounds the standing watches of the store at any fleet size.
	maxReaders = 3
	// maxCandidates bounds the ranked parents of the level above, so that a daemon
	// tries the relays and entries after eight dead parents.
	maxCandidates = 8
)

// Plan is the place of one daemon in the distribution tree.
type Plan struct {
	// Self is the daemon's own instance; empty when the view lacks it.
	Self model.Instance
	// Size is the number of live instances in the view.
	Size int
	// Level is the distance from the relays within the data centre: 0 for the relay
	// and the spare relay.
	Level int
	// Parents holds the ranked parents: the first that can be reached is the eager
	// parent, the next the lazy one. No daemon of a lower or equal rank is among
	// them, so that daemons with equal views form no cycle; only the readers, which
	// have the store, list each other.
	Parents []model.Instance
	// Readers holds the daemons that watch the store, the primary reader first.
	Readers []model.Instance
	// ReaderRank is the daemon's index in Readers, or -1.
	ReaderRank int
	// Relay and SpareRelay are level 0 of the daemon's data centre.
	Relay, SpareRelay model.InstanceID
	// Entry and SpareEntry receive the versions for the daemon's region.
	Entry, SpareEntry model.InstanceID
}

// IsEntry reports whether the daemon receives the versions for its region.
func (p *Plan) IsEntry() bool { return p.Self.ID != "" && p.Self.ID == p.Entry }

// IsSpareEntry reports whether the daemon stands in for the entry.
func (p *Plan) IsSpareEntry() bool { return p.Self.ID != "" && p.Self.ID == p.SpareEntry }

// Build derives the plan of one daemon. It takes one pass over the view: about 1 ms
// at 19,000 instances.
func Build(view membership.View, self model.InstanceID, storeRegion string) Plan {
	at, ok := slices.BinarySearchFunc(view.Instances, self, func(i model.Instance, id model.InstanceID) int {
		switch {
		case i.ID < id:
			return -1
		case i.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return Plan{ReaderRank: -1}
	}
	place := view.Instances[at].Place
	x := newIndex(view, self, storeRegion, func(p model.Place) bool { return p == place })
	return x.plan(view.Instances[at])
}

// plan derives the plan of a member from an index that holds its data centre.
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
	position := slices.IndexFunc(dc.members, func(m member) bool { return m.id() == self.ID })
	level, from, to := levelOf(position)
	p.Level = level
	p.Parents = x.parents(&p, dc, r, from, min(to, len(dc.members)))
	return p
}

// levelOf returns the level of a position in the data centre's order of priority and
// the positions of the level above.
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

// parents ranks the parents of a member; from and to delimit the level above it.
func (x *index) parents(p *Plan, dc *dataCentre, r *region, from, to int) []model.Instance {
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
		ranking.add(rendezvous(p.Self.ID, dc.members[from:to])...)
		ranking.add(dc.top...)
		ranking.add(r.entry, r.spareEntry)
	}
	return ranking.parents
}

// ranking collects parents without repetition and without the daemon itself.
type ranking struct {
	self    model.InstanceID
	parents []model.Instance
}

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

// rendezvous orders candidates by hash(child, candidate) and returns the first ones.
// The death of a candidate moves only its own children.
func rendezvous(child model.InstanceID, candidates []member) []member {
	seed := xxhash.Sum64String(string(child))
	scored := make([]member, 0, len(candidates))
	var buffer [16]byte
	for _, c := range candidates {
		binary.LittleEndian.PutUint64(buffer[:8], seed)
		binary.LittleEndian.PutUint64(buffer[8:], c.priority)
		scored = append(scored, member{priority: xxhash.Sum64(buffer[:]), instance: c.instance})
	}
	slices.SortFunc(scored, member.before)
	return scored[:min(len(scored), maxCandidates)]
}
