package routing

import (
	"slices"
	"sync/atomic"

	"mangoshed.example/mangoshed/core/model"
)

// samples bounds the random draws in a zone before all of its instances are looked at.
const samples = 4

// source is a deterministic random source that is safe for concurrent use (SplitMix64).
type source struct{ state atomic.Uint64 }

func (s *source) next() uint64 {
	x := s.state.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *source) intn(n int) int { return int((s.next() >> 32) * uint64(n) >> 32) }

func (s *source) float() float64 { return float64(s.next()>>11) / (1 << 53) }

// pass says which instances a search accepts.
type pass uint8

const (
	withCapacity pass = iota
	alsoFull
	alsoSuspect
)

// search is one choice of an instance.
type search struct {
	random  *source
	exclude []model.InstanceID
	now     int64
	pass    pass
}

type fitness uint8

const (
	unfit fitness = iota
	fit
	rampingUp
	probing
)

// out reports whether the instance gets nothing in any pass.
func (s *search) out(t target) bool {
	return t.node.leaving.Load() || slices.Contains(s.exclude, t.inst.ID)
}

func (s *search) fitness(t target) fitness {
	n := t.node
	switch {
	case s.out(t):
		return unfit
	case s.pass == alsoSuspect:
		return fit
	case n.suspect():
		if n.probe(s.now) {
			return probing
		}
		return unfit
	case n.ramp(s.now) < 1:
		if s.pass == withCapacity && n.full(s.now) {
			return unfit
		}
		return rampingUp
	}
	return fit
}

// zone chooses an instance of the zone. It returns none if the pass asks for capacity and
// all instances are full.
func (s *search) zone(z *zone) (target, Reason) {
	t, why := s.draw(z)
	if t.node == nil {
		t, why = s.scan(z)
	}
	if t.node == nil || why != "" || s.pass != withCapacity || !t.node.full(s.now) {
		return t, why
	}
	switch room := s.room(z); {
	case room.seen == 0:
		return target{}, ""
	case t.node.crowded(s.now):
		return s.best(room), ""
	}
	return t, ""
}

// draw makes a power of two choices among settled instances. A full one takes part: while
// load reports lag, leaving it out sends everybody to the few that look free. Only one that
// is crowded is replaced, in zone. An instance that ramps up does not take part, because it
// would win against all others; the first draw gives it exactly its part of a share.
func (s *search) draw(z *zone) (target, Reason) {
	n := len(z.targets)
	if n == 0 {
		return target{}, ""
	}
	var first target
	var at int // of the first
	for draw := range samples {
		i := s.random.intn(n)
		if first.node != nil {
			i = (at + 1 + s.random.intn(n-1)) % n
		}
		t := z.targets[i]
		switch s.fitness(t) {
		case probing:
			return t, Probe
		case rampingUp:
			if draw == 0 && s.random.float() < t.node.ramp(s.now) {
				return t, Ramping
			}
		case fit:
			if first.node != nil {
				return s.choose(first, t), ""
			}
			if first, at = t, i; n == 1 {
				return t, ""
			}
		}
	}
	return first, ""
}

// room samples the instances of the zone that have capacity.
func (s *search) room(z *zone) (free pair) {
	for _, t := range z.targets {
		if !t.node.full(s.now) && !t.node.suspect() && !s.out(t) {
			free.offer(t, s.random)
		}
	}
	return free
}

// scan looks at all instances of the zone.
func (s *search) scan(z *zone) (target, Reason) {
	var settled, ramping pair
	for _, t := range z.targets {
		switch s.fitness(t) {
		case probing:
			return t, Probe
		case fit:
			settled.offer(t, s.random)
		case rampingUp:
			ramping.offer(t, s.random)
		}
	}
	if settled.seen > 0 {
		return s.best(settled), ""
	}
	if ramping.seen > 0 {
		return s.best(ramping), Ramping
	}
	return target{}, ""
}

func (s *search) best(p pair) target {
	if p.seen == 1 {
		return p.kept[0]
	}
	return s.choose(p.kept[0], p.kept[1])
}

// choose takes each of the two with a probability in proportion to the other's load and,
// if both are known, latency. Always taking the lighter one is better by 1% of goodput
// when load reports are fresh, but worse by a third when they are 100 ms old, because all
// daemons follow the same reports.
func (s *search) choose(a, b target) target {
	costA, _, _ := a.node.load(s.now)
	costB, _, _ := b.node.load(s.now)
	costA, costB = costA+1, costB+1
	latencyA, latencyB := a.node.recentLatency(s.now), b.node.recentLatency(s.now)
	if latencyA > 0 && latencyB > 0 {
		costA, costB = costA*latencyA, costB*latencyB
	}
	if s.random.float()*(costA+costB) < costA {
		return b
	}
	return a
}

// pair is a uniformly random sample of two of the instances that it was offered.
type pair struct {
	kept [2]target
	seen int
}

func (p *pair) offer(t target, random *source) {
	p.seen++
	if p.seen <= 2 {
		p.kept[p.seen-1] = t
	} else if i := random.intn(p.seen); i < 2 {
		p.kept[i] = t
	}
}

// zones chooses a zone by weight, then an instance. A zone without an acceptable
// instance drops out and its share goes to the others by their weights.
func (s *search) zones(zones []zone) (target, Reason) {
	return weighted(s.random, len(zones),
		func(i int) uint32 { return zones[i].weight },
		func(i int) (target, Reason) { return s.zone(&zones[i]) })
}

func (s *search) regions(regions []region) (target, Reason) {
	return weighted(s.random, len(regions),
		func(i int) uint32 { return regions[i].weight },
		func(i int) (target, Reason) { return s.zones(regions[i].zones) })
}

// weighted tries up to n options in a random order by weight until one has an instance.
func weighted(random *source, n int, weight func(int) uint32, try func(int) (target, Reason)) (target, Reason) {
	var tried [4]uint64 // more bits than table.MaxDataCentres
	for range n {
		var total uint64
		for i := range n {
			if tried[i/64]&(1<<(i%64)) == 0 {
				total += uint64(weight(i))
			}
		}
		if total == 0 {
			break
		}
		point := random.next() % total
		for i := range n {
			if tried[i/64]&(1<<(i%64)) != 0 {
				continue
			}
			if w := uint64(weight(i)); point >= w {
				point -= w
				continue
			}
			if t, why := try(i); t.node != nil {
				return t, why
			}
			tried[i/64] |= 1 << (i % 64)
			break
		}
	}
	return target{}, ""
}

// service walks outwards: own data centre, own region, other regions.
func (s *search) service(svc *service) (target, Reason) {
	for p := withCapacity; p <= alsoSuspect; p++ {
		s.pass = p
		if t, why := s.outwards(svc); t.node != nil {
			switch {
			case p == alsoSuspect:
				return t, Suspects
			case p == alsoFull && why != Probe && why != Ramping:
				return t, Full
			}
			return t, why
		}
	}
	return target{}, ""
}

func (s *search) outwards(svc *service) (target, Reason) {
	step := Local
	t, why := s.zone(&svc.local)
	if t.node == nil {
		step = Region
		t, why = s.zones(svc.region)
	}
	if t.node == nil {
		step = Remote
		t, why = s.regions(svc.remote)
	}
	if why == "" {
		why = step
	}
	return t, why
}
