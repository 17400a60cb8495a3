package routing

import (
	"slices"
	"sync/atomic"

	"mangoshed.example/mangoshed/core/model"
)

// samples bounds the random draws in a zone. If they find no eligible instance, all
// instances of the zone are scanned.
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

// pass says which instances a search accepts. Each pass accepts those of the pass before
// it and more.
type pass uint8

const (
	withCapacity pass = iota // instances with a free slot, and suspects whose probe is due
	alsoFull                 // also instances whose slots are all taken
	alsoSuspect              // also all suspects
)

// search holds the inputs and the current pass of one choice of an instance.
type search struct {
	random  *source
	exclude []model.InstanceID
	now     int64
	pass    pass
}

// fitness says whether and how a search may choose an instance.
type fitness uint8

const (
	unfit     fitness = iota
	fit                  // takes part in the choice with its full share
	rampingUp            // a new instance, which gets only a part of its share
	probing              // a suspect whose probe is due: it gets this call
)

// out reports whether no pass may choose the instance: it is shutting down, or the query
// excludes it.
func (s *search) out(t target) bool {
	return t.node.leaving.Load() || slices.Contains(s.exclude, t.inst.ID)
}

// fitness classifies the instance for the current pass. For a suspect it may claim the
// probe that is due, so that no concurrent search claims the same one.
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

// zone chooses an instance of the zone. It returns an empty target if none is eligible: in
// the first pass also if all instances are full.
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

// draw chooses between two random instances (power of two choices) that have completed
// their ramp. Full instances take part: load reports lag, and without the full instances all
// daemons would send their calls to the few instances that look free. Only if the chosen
// instance is certain to be full, zone replaces it. An instance that is still ramping up does
// not take part, because its low load would win every comparison; instead the first draw
// gives it exactly its reduced share.
func (s *search) draw(z *zone) (target, Reason) {
	n := len(z.targets)
	if n == 0 {
		return target{}, ""
	}
	var first target
	var at int // index of first
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

// room returns a random sample of the instances of the zone that have a free slot and are
// not suspect.
func (s *search) room(z *zone) (free pair) {
	for _, t := range z.targets {
		if !t.node.full(s.now) && !t.node.suspect() && !s.out(t) {
			free.offer(t, s.random)
		}
	}
	return free
}

// scan examines all instances of the zone. It prefers instances that have completed their
// ramp to those that are still ramping up.
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

// best chooses one of the sampled instances, of which there must be at least one.
func (s *search) best(p pair) target {
	if p.seen == 1 {
		return p.kept[0]
	}
	return s.choose(p.kept[0], p.kept[1])
}

// choose returns one of two instances at random. The probability of each is proportional to
// the cost of the other: its load, times its latency if both latencies are known. Always
// choosing the less loaded instance gives 1% more goodput when load reports are fresh, but a
// third less when they are 100 ms old, because all daemons act on the same reports.
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

// pair is a uniform random sample of up to two of the instances passed to offer.
type pair struct {
	kept [2]target
	seen int
}

// offer adds an instance to the population of the sample (reservoir sampling).
func (p *pair) offer(t target, random *source) {
	p.seen++
	if p.seen <= 2 {
		p.kept[p.seen-1] = t
	} else if i := random.intn(p.seen); i < 2 {
		p.kept[i] = t
	}
}

// zones chooses a zone by weight, then an instance in it. The share of a zone without an
// eligible instance is divided among the other zones by their weights.
func (s *search) zones(zones []zone) (target, Reason) {
	return weighted(s.random, len(zones),
		func(i int) uint32 { return zones[i].weight },
		func(i int) (target, Reason) { return s.zone(&zones[i]) })
}

// regions chooses a region by weight, then a zone and an instance in it.
func (s *search) regions(regions []region) (target, Reason) {
	return weighted(s.random, len(regions),
		func(i int) uint32 { return regions[i].weight },
		func(i int) (target, Reason) { return s.zones(regions[i].zones) })
}

// weighted tries up to n options in a random order by weight until try returns an instance.
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

// service chooses an instance of a service. An instance that only a later pass accepts is
// used only if the passes before find none in any data centre.
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

// outwards searches the own data centre, then the own region, then the other regions.
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
