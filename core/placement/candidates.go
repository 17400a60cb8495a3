package placement

import (
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
)

// group holds the live instances of one service outside evacuated data centres. The order of both
// lists is random: sample changes it.
type group struct {
	// near are the instances of the daemon's own data centre, far those of all others.
	near, far []*catalog.Instance
}

// group returns the group of a service and creates it if there is none.
func (p *Placer) group(service string) *group {
	g := p.groups[service]
	if g == nil {
		g = &group{}
		p.groups[service] = g
	}
	return g
}

// add adds an instance.
func (g *group) add(inst *catalog.Instance, self model.Place) {
	if inst.Place == self {
		g.near = append(g.near, inst)
		return
	}
	g.far = append(g.far, inst)
}

// candidates returns the instances to compare: all that may get the request, or a random sample of
// them if there are many. Instances that are excluded for a time are returned only if there are no
// others. The work does not grow with the number of instances while most of them can be used.
func (p *Placer) candidates(now time.Time, q Query) []*catalog.Instance {
	g := p.groups[q.Service]
	if g == nil {
		return nil
	}
	s := sampler{p: p, now: now, q: q}
	if len(g.near)+len(g.far) <= nearCandidates {
		s.add(g.near, nearCandidates)
		s.add(g.far, nearCandidates)
	} else {
		s.add(g.near, nearCandidates)
		s.add(g.far, farCandidates)
	}
	if len(s.available) == 0 {
		return s.excluded
	}
	return s.available
}

// sampler draws the candidates of one query.
type sampler struct {
	p   *Placer
	now time.Time
	q   Query
	// available holds the instances drawn so far that may get the request now, excluded those that
	// are excluded for a time.
	available, excluded []*catalog.Instance
}

// add draws instances of the list at random until n of them are available, or none is left. It
// reorders the list.
func (s *sampler) add(list []*catalog.Instance, n int) {
	for i := range list {
		if n == 0 {
			return
		}
		j := i + s.p.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
		inst := list[i]
		stats := s.p.stats[inst.ID]
		switch {
		case contains(s.q.Exclude, inst.ID) || s.p.unreachable[inst.Host()] || stats.leaving:
		case s.now.Before(stats.excludedUntil) || s.now.Before(s.p.evacuatedUntil[inst.Place.DataCentre]):
			s.excluded = append(s.excluded, inst)
		default:
			s.available = append(s.available, inst)
			n--
		}
	}
}

func contains(list []model.InstanceID, id model.InstanceID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}
