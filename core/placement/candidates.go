package placement

import (
	"maps"
	"slices"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

// group holds the live instances of one service outside evacuated data centres. The order of both
// lists is random: sample changes it.
type group struct {
	// near are the instances of the daemon's own data centre, far those of all others.
	near, far []*catalog.Instance
	// farByRegion holds the instances of far by region. It is nil until it is needed.
	farByRegion map[string][]*catalog.Instance
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

// indexRegions sets farByRegion.
func (g *group) indexRegions() {
	g.farByRegion = make(map[string][]*catalog.Instance)
	for _, inst := range g.far {
		g.farByRegion[inst.Place.Region] = append(g.farByRegion[inst.Place.Region], inst)
	}
}

// neededRegions returns the regions that the routes of a table list, by the service of the route.
func neededRegions(t *route.Table) map[string]map[string]bool {
	needed := make(map[string]map[string]bool)
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, share := range r.Shares {
			for _, region := range r.Regions {
				if needed[share.Service] == nil {
					needed[share.Service] = make(map[string]bool)
				}
				needed[share.Service][region] = true
			}
		}
	}
	return needed
}

// allowed returns the lists of instances that the regions of a query allow: that of the daemon's own
// data centre, and those of the others, appended to far.
func (g *group) allowed(q *Query, self model.Place, far [][]*catalog.Instance) (near []*catalog.Instance, allFar [][]*catalog.Instance) {
	if len(q.Regions) == 0 && len(q.ExcludeRegions) == 0 {
		return g.near, append(far, g.far)
	}
	if g.farByRegion == nil {
		// The table has no list, but the request has one from an earlier table, or a daemon with a later
		// table has refused it. Both end within the time in which a table takes effect.
		g.indexRegions()
	}
	if q.allows(self.Region) {
		near = g.near
	}
	if len(q.Regions) > 0 {
		for _, region := range q.Regions {
			if list := g.farByRegion[region]; len(list) > 0 && q.allows(region) {
				far = append(far, list)
			}
		}
		return near, far
	}
	// In a fixed order, so that placers with equal seeds make equal choices.
	for _, region := range slices.Sorted(maps.Keys(g.farByRegion)) {
		if q.allows(region) {
			far = append(far, g.farByRegion[region])
		}
	}
	return near, far
}

// allows reports whether the query allows instances in a region.
func (q *Query) allows(region string) bool {
	return (len(q.Regions) == 0 || slices.Contains(q.Regions, region)) && !slices.Contains(q.ExcludeRegions, region)
}

// candidates returns the instances to compare: all that may get the request, or a random sample of
// them if there are many. Instances that are excluded for a time are returned only if there are no
// others. The work does not grow with the number of instances while most of them can be used, and never
// with the number of those in regions that the query does not allow. The second result counts the
// instances that were passed over; without candidates, these are all that the query allows.
func (p *Placer) candidates(now time.Time, q Query) ([]*catalog.Instance, Unusable) {
	g := p.groups[q.Service]
	if g == nil {
		return nil, Unusable{}
	}
	near, far := g.allowed(&q, p.self, p.lists[:0])
	p.lists = far
	s := sampler{p: p, now: now, q: q}
	s.add(nearCandidates, near)
	if len(near)+total(far) <= nearCandidates {
		s.add(nearCandidates, far...)
	} else {
		s.add(farCandidates, far...)
	}
	if len(s.available) == 0 {
		return s.excluded, s.unusable
	}
	return s.available, s.unusable
}

// Unusable counts instances that a request could not be sent to, by the reason.
type Unusable struct {
	// Tried counts those that the query excludes, Unreachable those whose daemon does not respond, Leaving
	// those that are leaving by their own word, and OverLimit those whose limit allows no request now.
	Tried, Unreachable, Leaving, OverLimit int
}

// sampler draws the candidates of one query.
type sampler struct {
	p   *Placer
	now time.Time
	q   Query
	// available holds the instances drawn so far that may get the request now, excluded those that
	// are excluded for a time.
	available, excluded []*catalog.Instance
	unusable            Unusable
}

// add draws instances of all lists together at random until n of them are available, or none is left.
// It reorders the lists.
func (s *sampler) add(n int, lists ...[]*catalog.Instance) {
	for left := total(lists); left > 0 && n > 0; left-- {
		inst := draw(lists, s.p.random.IntN(left))
		stats := s.p.stats[inst.ID]
		switch {
		case contains(s.q.Exclude, inst.ID):
			s.unusable.Tried++
		case s.p.unreachable(inst.Host()):
			s.unusable.Unreachable++
		case stats.leaving:
			s.unusable.Leaving++
		case s.now.Before(stats.excludedUntil) || s.now.Before(s.p.evacuatedUntil[inst.Place.DataCentre]):
			s.excluded = append(s.excluded, inst)
		default:
			s.available = append(s.available, inst)
			n--
		}
	}
}

// total returns the number of instances in all lists.
func total(lists [][]*catalog.Instance) int {
	n := 0
	for _, list := range lists {
		n += len(list)
	}
	return n
}

// draw removes the instance at an index into all lists together and returns it. It changes the slices in
// lists, and the order of the elements of the list with the instance.
func draw(lists [][]*catalog.Instance, index int) *catalog.Instance {
	for i, list := range lists {
		if index < len(list) {
			list[0], list[index] = list[index], list[0]
			lists[i] = list[1:]
			return list[0]
		}
		index -= len(list)
	}
	return nil // not reached: the index is below the number of all instances
}

func contains(list []model.InstanceID, id model.InstanceID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}
