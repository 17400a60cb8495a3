package routing

import (
	"slices"
	"sync/atomic"

	"mangoshed.example/mangoshed/core/model"
)

// maxDraws bounds the random draws in a zone. If they find no eligible instance, all
// instances of the zone are scanned.
const maxDraws = 4

// randomSource is a deterministic random number generator that is safe for concurrent use (SplitMix64).
type randomSource struct{ state atomic.Uint64 }

func (s *randomSource) next() uint64 {
	x := s.state.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *randomSource) intn(n int) int { return int((s.next() >> 32) * uint64(n) >> 32) }

func (s *randomSource) float() float64 { return float64(s.next()>>11) / (1 << 53) }

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
	random  *randomSource
	exclude []model.InstanceID
	now     int64
	pass    pass
}

// eligibility says whether and how a search may choose an instance.
type eligibility uint8

const (
	ineligible eligibility = iota
	eligible               // takes part in the choice with its full share
	rampingUp              // a new instance, which gets only a part of its share
	probeDue               // a suspect whose probe is due: it gets this call
)

// unavailable reports whether no pass may choose the instance: it is shutting down, or the query
// excludes it.
func (s *search) unavailable(t target) bool {
	return t.node.leaving.Load() || slices.Contains(s.exclude, t.inst.ID)
}

// eligibility classifies the instance for the current pass. For a suspect it may claim the
// probe that is due, so that no concurrent search claims the same one.
func (s *search) eligibility(t target) eligibility {
	n := t.node
	switch {
	case s.unavailable(t):
		return ineligible
	case s.pass == alsoSuspect:
		return eligible
	case n.suspect():
		if n.claimProbe(s.now) {
			return probeDue
		}
		return ineligible
	case n.ramp(s.now) < 1:
		if s.pass == withCapacity && n.full(s.now) {
			return ineligible
		}
		return rampingUp
	}
	return eligible
}

// zone chooses an instance of the zone. It returns an empty target if none is eligible: in
// the first pass also if all instances are full.
func (s *search) zone(z *zone) (target, Reason) {
	t, reason := s.draw(z)
	if t.node == nil {
		t, reason = s.scan(z)
	}
	if t.node == nil || reason != "" || s.pass != withCapacity || !t.node.full(s.now) {
		return t, reason
	}
	switch free := s.sampleFree(z); {
	case free.offered == 0:
		return target{}, ""
	case t.node.certainlyFull(s.now):
		return s.chooseSampled(free), ""
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
	var firstIndex int // index of first
	for draw := range maxDraws {
		i := s.random.intn(n)
		if first.node != nil {
			i = (firstIndex + 1 + s.random.intn(n-1)) % n
		}
		t := z.targets[i]
		switch s.eligibility(t) {
		case probeDue:
			return t, Probe
		case rampingUp:
			if draw == 0 && s.random.float() < t.node.ramp(s.now) {
				return t, Ramping
			}
		case eligible:
			if first.node != nil {
				return s.chooseByLoad(first, t), ""
			}
			if first, firstIndex = t, i; n == 1 {
				return t, ""
			}
		}
	}
	return first, ""
}

// sampleFree returns a random sample of the instances of the zone that have a free slot and are
// not suspect.
func (s *search) sampleFree(z *zone) (free pair) {
	for _, t := range z.targets {
		if !t.node.full(s.now) && !t.node.suspect() && !s.unavailable(t) {
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
		switch s.eligibility(t) {
		case probeDue:
			return t, Probe
		case eligible:
			settled.offer(t, s.random)
		case rampingUp:
			ramping.offer(t, s.random)
		}
	}
	if settled.offered > 0 {
		return s.chooseSampled(settled), ""
	}
	if ramping.offered > 0 {
		return s.chooseSampled(ramping), Ramping
	}
	return target{}, ""
}

// chooseSampled chooses one of the sampled instances, of which there must be at least one.
func (s *search) chooseSampled(p pair) target {
	if p.offered == 1 {
		return p.items[0]
	}
	return s.chooseByLoad(p.items[0], p.items[1])
}

// chooseByLoad returns one of two instances at random. The probability of each is proportional to
// the cost of the other. The cost of an instance is its load plus 1, multiplied by its latency if
// the latencies of both instances are known. Always choosing the less loaded instance gives 1% more
// goodput when load reports are fresh, but a third less when they are 100 ms old, because all
// daemons act on the same reports.
func (s *search) chooseByLoad(a, b target) target {
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
	items   [2]target
	offered int
}

// offer adds an instance to the population of the sample (reservoir sampling).
func (p *pair) offer(t target, random *randomSource) {
	p.offered++
	if p.offered <= 2 {
		p.items[p.offered-1] = t
	} else if i := random.intn(p.offered); i < 2 {
		p.items[i] = t
	}
}

// zones chooses a zone by weight, then an instance in it. The share of a zone without an
// eligible instance is divided among the other zones by their weights.
func (s *search) zones(zones []zone) (target, Reason) {
	return pickWeighted(s.random, len(zones),
		func(i int) uint32 { return zones[i].weight },
		func(i int) (target, Reason) { return s.zone(&zones[i]) })
}

// regions chooses a region by weight, then a zone and an instance in it.
func (s *search) regions(regions []region) (target, Reason) {
	return pickWeighted(s.random, len(regions),
		func(i int) uint32 { return regions[i].weight },
		func(i int) (target, Reason) { return s.zones(regions[i].zones) })
}

// pickWeighted tries up to n options in a random order by weight until try returns an instance.
func pickWeighted(random *randomSource, n int, weight func(int) uint32, try func(int) (target, Reason)) (target, Reason) {
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
			if t, reason := try(i); t.node != nil {
				return t, reason
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
		if t, reason := s.pickNearest(svc); t.node != nil {
			switch {
			case p == alsoSuspect:
				return t, Suspects
			case p == alsoFull && reason != Probe && reason != Ramping:
				return t, Full
			}
			return t, reason
		}
	}
	return target{}, ""
}

// pickNearest searches the own data centre, then the own region, then the other regions.
func (s *search) pickNearest(svc *service) (target, Reason) {
	step := Local
	t, reason := s.zone(&svc.local)
	if t.node == nil {
		step = Region
		t, reason = s.zones(svc.region)
	}
	if t.node == nil {
		step = Remote
		t, reason = s.regions(svc.remote)
	}
	if reason == "" {
		reason = step
	}
	return t, reason
}
