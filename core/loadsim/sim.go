package loadsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/retry"
)

// One-way delays between two daemons, by distance.
const (
	sameDataCentreDelay = 100 * time.Microsecond
	sameRegionDelay     = 900 * time.Microsecond
	crossRegionDelay    = 8 * time.Millisecond
)

// node is an instance with the daemon beside it.
type node struct {
	index    int
	instance catalog.Instance
	placer   *placement.Placer
	budget   *retry.FleetBudget
	calls    retry.CallTable
	queue    *intake.Queue
	meter    *retry.CallMeter
	tickAt   time.Time // of the next scheduled tick of the queue
	speed    float64   // factor of the run times
	pace     *paceTrack
}

// sim is one play of a pattern.
type sim struct {
	clock
	pattern *Pattern
	random  *rand.Rand
	start   time.Time
	nodes   []*node
	byID    map[model.InstanceID]*node
	kinds   map[string]*Kind
	// ranked holds the position of an instance among those of its service, from 0 to 1. A trouble
	// concerns the instances below its share.
	ranked map[model.InstanceID]float64
	result *Result
}

// Play plays a pattern, which must be valid.
func Play(p *Pattern) *Result {
	s := &sim{
		pattern: p, random: rand.New(rand.NewPCG(p.Seed, p.Seed)), start: time.Unix(0, 0),
		byID: make(map[model.InstanceID]*node), kinds: make(map[string]*Kind), ranked: make(map[model.InstanceID]float64),
	}
	s.now = s.start
	s.result = newResult(p)
	for i := range p.Kinds {
		s.kinds[p.Kinds[i].Name] = &p.Kinds[i]
	}
	s.build()
	for i := range p.Kinds {
		if k := &p.Kinds[i]; k.PerSecond > 0 {
			s.scheduleArrival(k)
		}
	}
	s.play()
	return s.result
}

// build creates the nodes.
func (s *sim) build() {
	view := &catalog.View{Revision: 1}
	for _, service := range s.pattern.Services {
		ranks := s.random.Perm(service.Instances)
		for i := range service.Instances {
			inst := catalog.Instance{Slots: service.Slots}
			inst.ID, inst.Service, inst.State = model.InstanceID(fmt.Sprintf("%s-%05d", service.Name, i)), service.Name, model.Live
			dataCentre := i % s.pattern.DataCentres
			inst.Place = model.Place{Region: fmt.Sprint(dataCentre % 2), DataCentre: fmt.Sprint(dataCentre)}
			inst.ForwardAddr = fmt.Sprintf("%d:1", len(view.Instances))
			s.ranked[inst.ID] = float64(ranks[i]) / float64(service.Instances)
			view.Instances = append(view.Instances, inst)
		}
	}
	rules := retry.FleetRules{Ratio: s.pattern.Repeats.Ratio, Allowance: s.pattern.Repeats.Allowance, Window: s.pattern.Repeats.Window}
	for i := range view.Instances {
		inst := view.Instances[i]
		n := &node{
			index: i, instance: inst, placer: placement.New(inst.Place, placement.DefaultCosts, s.pattern.Seed+uint64(i)),
			budget: retry.NewFleetBudget(rules, s.start), queue: intake.New(inst.Slots), meter: retry.NewCallMeter(),
		}
		s.setSpeed(n)
		n.placer.SetLink(inst.Host(), 0)
		n.placer.Update(s.start, view)
		n.budget.SetDaemons(len(view.Instances))
		s.nodes = append(s.nodes, n)
		s.byID[inst.ID] = n
	}
}

// trouble returns the factor of a trouble that concerns an instance now.
func (s *sim) trouble(n *node, what string) (float64, bool) {
	for i := range s.pattern.Troubles {
		t := &s.pattern.Troubles[i]
		if t.What == what && t.Service == n.instance.Service && s.ranked[n.instance.ID] < t.Share && t.active(s.now.Sub(s.start)) {
			return t.Factor, true
		}
	}
	return 0, false
}

// scheduleArrival schedules the next request of a kind; arrivals are a Poisson process.
func (s *sim) scheduleArrival(k *Kind) {
	gap := time.Duration(s.random.ExpFloat64() / (k.PerSecond * s.pattern.burst(s.now.Sub(s.start))) * float64(time.Second))
	s.after(gap, func() {
		if s.now.Sub(s.start) >= s.pattern.Duration {
			return
		}
		s.scheduleArrival(k)
		s.callerSends(k, s.now, 0)
	})
}

// callerSends sends the attempt of a caller that began at a time and has come back as often.
func (s *sim) callerSends(k *Kind, began time.Time, returned int) {
	if returned == 0 {
		s.result.asked(k, began.Sub(s.start))
	}
	deadline := began.Add(k.Deadline)
	r := &request{
		kind: k, node: s.nodes[s.random.IntN(len(s.nodes))], goal: began.Add(k.Goal), deadline: deadline, returning: returned > 0,
	}
	r.ended = func(o outcome) {
		if o.answered {
			s.result.answered(k, began.Sub(s.start), s.now.Sub(began))
			return
		}
		mayReturn := returned < k.Returns && (o.notRun || k.MayRepeat)
		if pause := max(o.retryAfter, minReturn); mayReturn && pause <= deadline.Sub(s.now)/maxWaitDivisor {
			s.after(pause, func() { s.callerSends(k, began, returned+1) })
			return
		}
		s.result.lost(k, began.Sub(s.start), o.notRun)
	}
	s.send(r)
}

const (
	// minReturn is the shortest pause before a caller comes back.
	minReturn = 20 * time.Millisecond
	// maxWaitDivisor: callers wait for at most this part of the time that they have left.
	maxWaitDivisor = 3
)

// delay returns the one-way delay between two daemons.
func delay(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.instance.Place == b.instance.Place:
		return sameDataCentreDelay
	case a.instance.Place.Region == b.instance.Place.Region:
		return sameRegionDelay
	}
	return crossRegionDelay
}
