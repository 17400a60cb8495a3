// Package placement chooses the instance for a request at the daemon that received it.
//
// Each answer and refusal of another daemon carries the load of its upstream. The expected
// time until an answer is the measured time on the way, the expected wait by the last report and by
// what was sent since, and the run time with the measured slowness of the upstream. The
// expected loss of an instance is the risk of a late answer, which grows with the part of the
// latency objective that the expected time takes, and the cost of the bytes that cross a link.
// The candidate with the least loss gets the request; candidates are those of the own data
// centre and a few random others, so that daemons do not all choose the same one.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
)

// Tuning of the choice.
const (
	// farCandidates is the number of random instances of other data centres that are compared,
	// and nearCandidates that of the own one.
	farCandidates  = 6
	nearCandidates = 12
	// lateLoss is the loss of an answer that takes exactly its objective, in shares of its worth.
	lateLoss = 0.5
	// defaultBytes is the expected size of an answer before one was seen.
	defaultBytes = 2000
	// reportLife is the age at which a load report has lost its weight: about a few run times.
	reportLife = 500 * time.Millisecond
	// defaultRun is the expected run time before an answer was seen.
	defaultRun = 80 * time.Millisecond
	// runWeight is the weight of one answer in the mean run time of a route.
	runWeight = 1.0 / 32
	// maxSlow and minSlow bound the slowness of an instance against the mean of its service.
	maxSlow, minSlow = 10, 0.3
	// slowDecay returns the slowness of an instance that got no request to 1.
	slowDecay = 3 * time.Second
	// coldSlow is the expected slowness of an instance that reports to be cold.
	coldSlow = 2
	// busyShare adds this part of a run time at full occupation, because upstreams slow down
	// as they fill.
	busyShare = 0.3
	// leavingTime is the time for which a leaving instance is left out before it is tried
	// again: its daemon may have restarted.
	leavingTime = time.Second
	// suspectTime and maxSuspectTime bound the time for which an instance is left out after a failure.
	suspectTime    = 400 * time.Millisecond
	maxSuspectTime = 3 * time.Second
	// failureWeight is the weight of one outcome in the share of failed requests.
	failureWeight = 1.0 / 10
	// failurePenalty is the time that a certain failure counts for.
	failurePenalty = 600 * time.Millisecond
	// failureDecay returns the share of failures of an instance that got no request to 0.
	failureDecay = 4 * time.Second
)

// Costs are the expected times to an instance and back, and what a kilobyte across costs in
// shares of the worth of a request.
type Costs struct {
	DataCentre, Region, Remote time.Duration
	RegionKB, RemoteKB         float64
}

// DefaultCosts fit data centres about a millisecond and regions about 8 ms apart, one way, and
// links billed so that some 25 kB between regions cost as much as a request is worth.
var DefaultCosts = Costs{
	DataCentre: 300 * time.Microsecond, Region: 2500 * time.Microsecond, Remote: 18 * time.Millisecond,
	RegionKB: 0.02, RemoteKB: 0.04,
}

// Outcome is what became of a request at an instance.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota
	// Refused by the daemon beside the instance for its load.
	Refused
	// Leaving: the daemon takes no new work.
	Leaving
	// Failed: the upstream failed the request.
	Failed
	// Unreachable: the daemon's connection failed.
	Unreachable
	// Silent: the time ran out without an answer. It speaks against an instance that has
	// answered nothing else meanwhile.
	Silent
	// Cancelled: the caller left; nothing is learnt.
	Cancelled
)

// Report is what an answer or refusal says about an instance.
type Report struct {
	Outcome Outcome
	// Load is valid if Slots is above 0.
	Load intake.Load
	// Run is the time that the upstream took, 0 if unknown.
	Run time.Duration
	// Expected is the time that the daemon beside the instance expects a run of the route to
	// take there, 0 if unknown. It sees every run of the instance.
	Expected time.Duration
	// Bytes is the size of the answer.
	Bytes int
	// Way is the time that the request and its answer took between the daemons, 0 if unknown.
	Way time.Duration
}

// stat is what is known of one instance.
type stat struct {
	inFlight int
	load     intake.Load
	loadAt   time.Time
	sent     int // since the last report
	slow     float64
	slowAt   time.Time
	failures float64
	failedAt time.Time
	strikes  int
	outUntil time.Time
}

// routeStat is what is known of the requests of a route.
type routeStat struct {
	run   float64 // mean run time in nanoseconds
	bytes float64 // mean size of an answer
}

// Placer chooses instances. It is safe for concurrent use.
type Placer struct {
	self  model.Place
	costs Costs

	mu     sync.Mutex
	random *rand.Rand
	view   *catalog.View
	groups map[string][]*catalog.Instance
	stats  map[model.InstanceID]*stat
	runs   map[string]*routeStat
	means  map[string]float64 // mean run time by service, nanoseconds
	// host is the own one, and byteTime the time that a byte takes over the link of a host.
	host     string
	byteTime float64 // nanoseconds
	// unreachable holds the hosts whose daemons do not answer.
	unreachable map[string]bool
	warm        map[model.InstanceID]time.Time
	ways        map[model.Place]measured
}

// New returns a placer for requests that arrive at a place. Equal seeds make equal choices.
func New(self model.Place, costs Costs, seed uint64) *Placer {
	return &Placer{
		self: self, costs: costs, random: rand.New(rand.NewPCG(seed, seed)), stats: make(map[model.InstanceID]*stat),
		runs: make(map[string]*routeStat), means: make(map[string]float64), groups: make(map[string][]*catalog.Instance), warm: make(map[model.InstanceID]time.Time),
		unreachable: make(map[string]bool), ways: make(map[model.Place]measured),
	}
}

// Update takes a new view. What is known of instances that stay is kept.
func (p *Placer) Update(now time.Time, v *catalog.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.stats
	p.view = v
	p.groups = make(map[string][]*catalog.Instance)
	p.stats = make(map[model.InstanceID]*stat, len(v.Instances))
	warm := make(map[model.InstanceID]time.Time)
	for i := range v.Instances {
		inst := &v.Instances[i]
		s := old[inst.ID]
		if s == nil {
			s = &stat{slow: 1}
		}
		p.stats[inst.ID] = s
		if inst.Warm > 0 {
			if at, ok := p.warm[inst.ID]; ok {
				warm[inst.ID] = at
			} else {
				warm[inst.ID] = now.Add(inst.Warm)
			}
		}
		if inst.State == model.Live {
			p.groups[inst.Service] = append(p.groups[inst.Service], inst)
		}
	}
	p.warm = warm
}

// SetLink names the own host and the rate of its link in bits a second. The links of the other
// hosts are taken to be alike: a request to another host takes its way over both.
func (p *Placer) SetLink(host string, bitsPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host = host
	if bitsPerSecond > 0 {
		p.byteTime = bitsPerByte / bitsPerSecond * float64(time.Second)
	}
}

// bitsPerByte converts the rate of a link.
const bitsPerByte = 8

// SetReachable says whether the daemon of a host answers. Its instances are left out until it
// does; one that does answer is given another chance at once.
func (p *Placer) SetReachable(host string, reachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reachable {
		p.unreachable[host] = true
		return
	}
	delete(p.unreachable, host)
	if p.view == nil {
		return
	}
	for i := range p.view.Instances {
		if inst := &p.view.Instances[i]; inst.Host() == host {
			s := p.stats[inst.ID]
			s.strikes, s.outUntil = 0, time.Time{}
		}
	}
}

// Query asks for an instance.
type Query struct {
	Service string
	Route   string
	// Slack is the time that is left until the objective, and Left until the caller gives up; 0
	// sets no bound.
	Slack, Left time.Duration
	// Asks says that the body is sent once the instance has a slot, so that the way is taken twice.
	Asks bool
	// Bytes is the size of the request.
	Bytes int
	// Exclude lists instances that are out of the question.
	Exclude []model.InstanceID
}

// Choice is a chosen instance. Done ends it.
type Choice struct {
	Instance *catalog.Instance
	// Expected is the expected time until the answer.
	Expected time.Duration
	// Wait is the expected wait for a slot, a part of Expected.
	Wait time.Duration
	// Way is the time that the request and its answer take between the daemons, a part of
	// Expected.
	Way     time.Duration
	tooLate bool
	at      time.Time
}

// Choose returns the instance with the least expected loss among a few. It counts a request in
// flight there until Done. It returns false without any, and with one that cannot answer before
// the caller gives up.
func (p *Placer) Choose(now time.Time, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best Choice
	least := 0.0
	for _, inst := range p.candidates(p.usable(now, q)) {
		c := p.score(now, q, inst)
		loss := p.loss(q, c)
		if best.Instance == nil || best.tooLate && !c.tooLate || best.tooLate == c.tooLate && loss < least {
			best, least = c, loss
		}
	}
	if best.Instance == nil || best.tooLate {
		return best, false
	}
	s := p.stats[best.Instance.ID]
	best.at = now
	s.inFlight++
	s.sent++
	return best, true
}

// loss returns what a choice is expected to cost in shares of the worth of the request.
func (p *Placer) loss(q Query, c Choice) float64 {
	part := float64(c.Expected) / float64(max(q.Slack, minSlack))
	loss := lateLoss * part * part
	kb := (float64(q.Bytes) + p.stat(q.Route).bytes) / 1000
	switch c.Instance.Place.DistanceTo(p.self) {
	case model.SameRegion:
		loss += kb * p.costs.RegionKB
	case model.CrossRegion:
		loss += kb * p.costs.RemoteKB
	}
	return loss
}

// minSlack keeps the choice among instances meaningful for requests that are late already.
const minSlack = 50 * time.Millisecond

// candidates returns the instances to compare, chosen at random beyond a number.
func (p *Placer) candidates(usable []*catalog.Instance) []*catalog.Instance {
	if len(usable) <= nearCandidates {
		return usable
	}
	var near, far []*catalog.Instance
	for _, inst := range usable {
		if inst.Place == p.self {
			near = append(near, inst)
		} else {
			far = append(far, inst)
		}
	}
	return append(p.some(near, nearCandidates), p.some(far, farCandidates)...)
}

// some returns n random instances of the list, or all.
func (p *Placer) some(list []*catalog.Instance, n int) []*catalog.Instance {
	if len(list) <= n {
		return list
	}
	for i := range n {
		j := i + p.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// usable returns the instances that may get the request; those that are out for a time only
// if there is no other.
func (p *Placer) usable(now time.Time, q Query) []*catalog.Instance {
	var in, out []*catalog.Instance
	for _, inst := range p.groups[q.Service] {
		if contains(q.Exclude, inst.ID) || p.unreachable[inst.Host()] {
			continue
		}
		if now.Before(p.stats[inst.ID].outUntil) {
			out = append(out, inst)
			continue
		}
		in = append(in, inst)
	}
	if len(in) == 0 {
		return out
	}
	return in
}

func contains(list []model.InstanceID, id model.InstanceID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

// score returns the expected times at an instance.
func (p *Placer) score(now time.Time, q Query, inst *catalog.Instance) Choice {
	s := p.stats[inst.ID]
	known := p.stat(q.Route)
	run := known.run
	slow := 1 + (s.slow-1)*decay(now.Sub(s.slowAt), slowDecay)
	if at, ok := p.warm[inst.ID]; ok && now.Before(at) {
		slow = max(slow, coldSlow)
	}
	wait, busy := p.wait(now, s, inst, run*slow)
	way := p.way(now, inst)
	trips := way
	if q.Asks {
		trips += way
	}
	expected := trips + p.transfer(inst, float64(q.Bytes)+known.bytes) + wait + time.Duration(run*slow*(1+busyShare*busy*busy))
	expected += time.Duration(s.failures * decay(now.Sub(s.failedAt), failureDecay) * float64(failurePenalty))
	// A small random part keeps daemons with equal views from choosing alike.
	expected += time.Duration(p.random.Float64() * run / 16)
	// A usual run takes at least half of the mean.
	tooLate := q.Left > 0 && trips+time.Duration(run/2) > q.Left
	return Choice{Instance: inst, Expected: expected, Wait: wait, Way: way, tooLate: tooLate}
}

// wait returns the expected wait for a slot and the expected occupation from 0 to 1. A report
// loses weight with its age in favour of what this daemon itself has in flight.
func (p *Placer) wait(now time.Time, s *stat, inst *catalog.Instance, run float64) (time.Duration, float64) {
	slots := float64(max(1, inst.Slots))
	if s.load.Slots == 0 {
		return excess(float64(s.inFlight), slots, run), min(1, float64(s.inFlight)/slots)
	}
	slots = float64(s.load.Slots)
	weight := decay(now.Sub(s.loadAt), reportLife)
	occupied := float64(s.load.Running+s.load.Queued+s.sent) * weight
	busy := min(1, max(occupied, float64(s.inFlight))/slots)
	mean := p.meanRun(inst.Service)
	// Shorter requests go before longer ones, so that they see a part of the queue only.
	part := min(1, run/max(mean, 1))
	reported := float64(s.load.Next) + part*float64(s.load.Wait-s.load.Next)
	free := float64(s.load.Slots - s.load.Running - s.load.Queued)
	if free > float64(s.sent) {
		reported = 0
	} else {
		reported += (float64(s.sent) - max(0, free)) * run / slots
	}
	return max(time.Duration(reported*weight), excess(float64(s.inFlight), slots, run)), busy
}

// excess returns the wait behind more requests than there are slots.
func excess(occupied, slots, run float64) time.Duration {
	if over := occupied + 1 - slots; over > 0 {
		return time.Duration(over * run / slots)
	}
	return 0
}

// meanRun returns the mean run time of the answers of a service in nanoseconds.
func (p *Placer) meanRun(service string) float64 {
	if mean, ok := p.means[service]; ok {
		return mean
	}
	return float64(defaultRun)
}

// decay falls linearly from 1 to 0 over a life time.
func decay(age, life time.Duration) float64 {
	return max(0, 1-float64(age)/float64(life))
}

// stat returns what is known of a route.
func (p *Placer) stat(route string) routeStat {
	if r, ok := p.runs[route]; ok {
		return *r
	}
	return routeStat{run: float64(defaultRun), bytes: defaultBytes}
}

// Run returns the mean run time of a route over all instances.
func (p *Placer) Run(route string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.stat(route).run)
}

// transfer returns the time that bytes take over the links to an instance.
func (p *Placer) transfer(inst *catalog.Instance, bytes float64) time.Duration {
	if inst.Host() == p.host {
		return 0
	}
	return time.Duration(2 * bytes * p.byteTime)
}
