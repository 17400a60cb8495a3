// Package placement selects the instance for a request at the daemon that received it.
//
// Every response and refusal from another daemon reports the load of its upstream. The expected
// time until a response is the sum of the measured network round trip, the expected wait
// according to the last report and the requests sent since, and the run time scaled by the
// measured slowness of the instance. The expected loss of an instance is the risk of a late
// response, which grows with the part of the latency objective that the expected time uses up,
// plus the cost of the bytes that cross a billed link. The request goes to the candidate with the
// least expected loss. Candidates are instances of the daemon's own data centre and a few random
// ones of others, so that the daemons do not all choose the same instance.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/trial"
)

// Parameters of the selection.
const (
	// farCandidates is the number of random instances of other data centres that are compared,
	// nearCandidates that of the daemon's own data centre.
	farCandidates  = 6
	nearCandidates = 12
	// lateLoss is the loss of a response that takes exactly its latency objective, as a fraction
	// of the request's value.
	lateLoss = 0.5
	// defaultBytes is the expected size of a response before one was received.
	defaultBytes = 2000
	// reportLifetime is the age at which a load report has no weight any more: about a few run
	// times.
	reportLifetime = 500 * time.Millisecond
	// LeastRunShare is the part of the mean run time that a typical run takes at least.
	LeastRunShare = 0.5
	// defaultRun is the expected run time before a response was received.
	defaultRun = 80 * time.Millisecond
	// runWeight is the weight of one response in the mean run time and response size of a route
	// and in the mean run time of a service.
	runWeight = 1.0 / 32
	// maxSlowness and minSlowness bound the slowness of an instance, the ratio of its run time to
	// the mean over all instances.
	maxSlowness, minSlowness = 10, 0.3
	// slownessDecay is the time in which the slowness of an instance that gets no requests
	// returns to 1.
	slownessDecay = 3 * time.Second
	// coldSlowness is the least slowness assumed for an instance that is still warming up.
	coldSlowness = 2
	// busyShare is the part of a run time that is added at full utilisation, because upstreams
	// slow down as they fill.
	busyShare = 0.3
	// leavingExclusion is the time for which an instance whose daemon is shutting down is
	// excluded. It is tried again afterwards, because the daemon may have restarted.
	leavingExclusion = time.Second
	// evacuatedExclusion is the time for which the instances of a data centre are excluded after one of
	// its daemons has reported an evacuation. By then the view says whether it is evacuated.
	evacuatedExclusion = time.Second
	// suspectTime is the time for which an instance is excluded after a failure. It doubles with
	// each further failure in a row, up to maxSuspectTime.
	suspectTime    = 400 * time.Millisecond
	maxSuspectTime = 3 * time.Second
)

// neededSlotLoss is added to the loss of a request without a list of regions that would wait for an
// instance in a region that another route of the service lists: it displaces requests that cannot go
// elsewhere. With 0.1, some of those still failed beside free slots in another region. A request that has
// more than about 6 kB with its response still waits instead of crossing a link between regions.
const neededSlotLoss = 0.25

// FreeSlotWait is the expected wait up to which an instance is assumed to have a free slot.
const FreeSlotWait = time.Millisecond

// Costs holds the expected network round trips to instances in the same data centre, in the same
// region and in other regions (Remote), and the costs of sending a kilobyte to another data
// centre or region, as fractions of a request's value.
type Costs struct {
	DataCentre, Region, Remote time.Duration
	RegionKB, RemoteKB         float64
}

// DefaultCosts are the costs for data centres about a millisecond and regions about 8 ms apart,
// one way, and for links at whose price some 25 kB between regions cost as much as a request is
// worth.
var DefaultCosts = Costs{
	DataCentre: 300 * time.Microsecond, Region: 2500 * time.Microsecond, Remote: 18 * time.Millisecond,
	RegionKB: 0.02, RemoteKB: 0.04,
}

// Outcome is the result of a request at an instance.
type Outcome uint8

const (
	// Answered means that the upstream responded without a server error.
	Answered Outcome = iota
	// Refused means that the daemon beside the instance refused the request because of its load.
	Refused
	// Leaving means that the daemon beside the instance is shutting down and accepts no new work.
	Leaving
	// Failed means that the upstream failed the request.
	Failed
	// Unreachable means that the connection to the daemon failed.
	Unreachable
	// TimedOut means that no response arrived before the timeout. The instance is excluded only if
	// it has reported no load since the request was sent.
	TimedOut
	// Cancelled means that the caller cancelled the request. The outcome is not recorded.
	Cancelled
)

// Report holds the information about an instance from a response or refusal.
type Report struct {
	Outcome Outcome
	// Load is valid if Slots is above 0.
	Load intake.Load
	// Run is the run time at the upstream, 0 if unknown.
	Run time.Duration
	// Expected is the run time that the daemon beside the instance expects for the route, 0 if
	// unknown. That daemon observes every run of the instance.
	Expected time.Duration
	// Bytes is the size of the response.
	Bytes int
	// RoundTrip is the time that the request and its response spent on the network between the
	// daemons, 0 if unknown.
	RoundTrip time.Duration
	// Limit is the number of requests per second that the instance takes from all daemons together,
	// 0 if there is no limit. Leaving means that the instance leaves and must get no new requests.
	Limit   float64
	Leaving bool
	// Evacuated means that the data centre of the instance is evacuated.
	Evacuated bool
	// Pace is the pace of the instance's host. Run and Expected are times at the usual pace.
	Pace intake.HostPace
}

// instanceStats holds the load, slowness and failures of one incarnation of an instance.
type instanceStats struct {
	incarnation   uint64
	inFlight      int
	load          intake.Load
	loadAt        time.Time
	sent          int // requests since the last load report
	slowness      float64
	slownessAt    time.Time
	failures      failureRate
	failuresInRow int
	excludedUntil time.Time
	// warmUntil is the end of the warm-up time, zero if the instance has none.
	warmUntil time.Time
	// limit and leaving are those of the last report.
	limit   float64
	leaving bool
	// pace is the last known pace of the instance's host. Unlike the slowness it changes many times a
	// second.
	pace intake.HostPace
}

// routeAverages holds the averages over all instances for the requests of one route.
type routeAverages struct {
	run   float64 // mean run time in nanoseconds
	bytes float64 // mean size of a response
	// trials spaces out the requests that are sent although the mean run time leaves them too little time.
	trials trial.Pacer
}

// Placer selects instances. It is safe for concurrent use.
type Placer struct {
	self  model.Place
	costs Costs

	mu     sync.Mutex
	random *rand.Rand
	view   *catalog.View
	groups map[string]*group
	// needed holds, by service, the regions that routes of the table list.
	needed map[string]map[string]bool
	lists  [][]*catalog.Instance // buffer of candidates
	stats  map[model.InstanceID]*instanceStats
	runs   map[string]*routeAverages
	means  map[string]float64 // mean run time by service, in nanoseconds
	// failures holds the mean failure rates of services.
	failures map[string]*failureRate
	// stayShare is the part of the time to the latency objective within which an instance of the daemon's
	// own data centre is chosen without a look at the others; 0 compares all.
	stayShare float64
	// host is the host of this daemon; byteTime is the time that a byte takes over a host's link.
	host       string
	byteTime   float64 // nanoseconds
	hosts      Hosts   // nil if all hosts count as reachable
	roundTrips map[model.Place]measuredRoundTrip
	// evacuatedUntil holds the end of evacuatedExclusion by data centre.
	evacuatedUntil map[string]time.Time
}

// New returns a placer for requests that arrive at a place. Placers with equal seeds make equal
// choices.
func New(self model.Place, costs Costs, seed uint64) *Placer {
	return &Placer{
		self: self, costs: costs, random: rand.New(rand.NewPCG(seed, seed)), stats: make(map[model.InstanceID]*instanceStats),
		runs: make(map[string]*routeAverages), means: make(map[string]float64), groups: make(map[string]*group),
		roundTrips: make(map[model.Place]measuredRoundTrip), failures: make(map[string]*failureRate),
		evacuatedUntil: make(map[string]time.Time),
	}
}

// Update sets a new view. The statistics of an instance that is in both views are kept, unless it has started
// again under its ID. Instances that are leaving or in an evacuated data centre are never chosen, even if there
// are no others.
func (p *Placer) Update(now time.Time, v *catalog.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.stats
	p.view = v
	p.groups = make(map[string]*group)
	p.stats = make(map[model.InstanceID]*instanceStats, len(v.Instances))
	for i := range v.Instances {
		inst := &v.Instances[i]
		s := old[inst.ID]
		if s == nil {
			s = &instanceStats{slowness: 1, incarnation: inst.Incarnation}
		}
		if inst.Incarnation > s.incarnation {
			*s = instanceStats{slowness: 1, incarnation: inst.Incarnation, inFlight: s.inFlight}
		}
		p.stats[inst.ID] = s
		switch {
		case inst.Warm <= 0:
			s.warmUntil = time.Time{}
		case s.warmUntil.IsZero():
			s.warmUntil = now.Add(inst.Warm)
		}
		if inst.State == model.Live && !v.IsEvacuated(inst.Place.DataCentre) {
			p.group(inst.Service).add(inst, p.self)
		}
	}
	p.needed = nil
	if v.Table != nil && v.Table.Regional() {
		for _, g := range p.groups {
			g.indexRegions()
		}
		p.needed = neededRegions(v.Table)
	}
}

// SetLink sets the name of this daemon's host and the rate of its link in bits per second. The
// links of other hosts are assumed to have the same rate; a request to another host passes over
// both links.
func (p *Placer) SetLink(host string, bitsPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host = host
	if bitsPerSecond > 0 {
		p.byteTime = bitsPerByte / bitsPerSecond * float64(time.Second)
	}
}

// bitsPerByte converts a link's rate from bits to bytes.
const bitsPerByte = 8

// Query describes the request that needs an instance.
type Query struct {
	Service string
	Route   string
	// Slack is the time left until the latency objective, Remaining the time left until the
	// caller's deadline; 0 means no bound.
	Slack, Remaining time.Duration
	// DeferredBody is true if the body is sent only after the instance has assigned a slot, which
	// takes a second round trip.
	DeferredBody bool
	// Bytes is the size of the request.
	Bytes int
	// Exclude lists instances that must not be chosen.
	Exclude []model.InstanceID
	// Regions lists the only regions whose instances may be chosen; empty means all regions.
	Regions []string
	// ExcludeRegions lists regions whose instances must not be chosen.
	ExcludeRegions []string
	// Trial allows instances that cannot respond before the caller's deadline if a run takes as long as the
	// mean says. See TakeTrial.
	Trial bool
	// NeedsAllowance excludes instances whose limit on requests per second is known to allow none now.
	NeedsAllowance bool
}

// Choice is a chosen instance. The request ends with a call of Done.
type Choice struct {
	Instance *catalog.Instance
	// Expected is the expected time until the response.
	Expected time.Duration
	// Wait is the expected wait for a slot. It is included in Expected.
	Wait time.Duration
	// RoundTrip is the expected time of the request and its response on the network between the
	// daemons. It is included in Expected.
	RoundTrip time.Duration
	// Distance is that from the daemon's data centre to the instance's.
	Distance model.Distance
	// Limit is the limit of the instance in the last report.
	Limit float64
	// Unusable counts the instances of the service that could not be chosen. It is set if Instance is nil.
	Unusable Unusable
	tooLate  bool
	trial    bool
	at       time.Time
}

// Choose returns the candidate with the least expected loss and counts a request in flight there
// until Done. It returns false if there is no candidate, or none that can respond before the
// caller's deadline; in the latter case the choice still names the best instance.
func (p *Placer) Choose(now time.Time, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.best(now, q)
	if best.Instance == nil || best.tooLate {
		return best, false
	}
	s := p.stats[best.Instance.ID]
	best.at = now
	s.inFlight++
	s.sent++
	return best, true
}

// loss returns the expected loss of a choice as a fraction of the request's value.
func (p *Placer) loss(q Query, c Choice) float64 {
	part := float64(c.Expected) / float64(max(q.Slack, minSlack))
	loss := lateLoss * part * part
	kb := (float64(q.Bytes) + p.averages(q.Route).bytes) / 1000
	switch c.Distance {
	case model.SameRegion:
		loss += kb * p.costs.RegionKB
	case model.CrossRegion:
		loss += kb * p.costs.RemoteKB
	}
	if len(q.Regions) == 0 && c.Wait > FreeSlotWait && p.needed[q.Service][c.Instance.Place.Region] {
		loss += neededSlotLoss
	}
	return loss
}

// minSlack is the least slack used for the loss, so that it still distinguishes instances for
// requests that are already late.
const minSlack = 50 * time.Millisecond

// score returns an instance as a choice with its expected times.
func (p *Placer) score(now time.Time, q Query, inst *catalog.Instance) Choice {
	s := p.stats[inst.ID]
	averages := p.averages(q.Route)
	run := averages.run
	slowness := 1 + (s.slowness-1)*decay(now.Sub(s.slownessAt), slownessDecay)
	if now.Before(s.warmUntil) {
		slowness = max(slowness, coldSlowness)
	}
	slowness *= s.pace.Current(now)
	wait, busy := p.wait(now, s, inst, run*slowness)
	roundTrip := p.roundTrip(now, inst)
	networkTime := roundTrip
	if q.DeferredBody {
		networkTime += roundTrip
	}
	expected := networkTime + p.transfer(inst, float64(q.Bytes)+averages.bytes) + wait + time.Duration(run*slowness*(1+busyShare*busy*busy))
	expected += time.Duration(p.excessFailures(now, inst.Service, s) * float64(failurePenalty))
	// A small random part keeps daemons with equal views from making the same choice.
	expected += time.Duration(p.random.Float64() * run / 16)
	needed := networkTime
	if !q.Trial {
		needed += time.Duration(run * LeastRunShare)
	}
	tooLate := q.Remaining > 0 && needed > q.Remaining
	return Choice{trial: q.Trial, Instance: inst, Expected: expected, Wait: wait, RoundTrip: roundTrip, Distance: inst.Place.DistanceTo(p.self), Limit: s.limit, tooLate: tooLate}
}

// wait returns the expected wait for a slot and the expected utilisation from 0 to 1. As a load
// report ages, its weight decreases in favour of the number of this daemon's own requests in
// flight.
func (p *Placer) wait(now time.Time, s *instanceStats, inst *catalog.Instance, run float64) (time.Duration, float64) {
	slots := float64(max(1, inst.Slots))
	if s.load.Slots == 0 {
		return excessWait(float64(s.inFlight), slots, run), min(1, float64(s.inFlight)/slots)
	}
	slots = float64(s.load.Slots)
	weight := decay(now.Sub(s.loadAt), reportLifetime)
	occupied := float64(s.load.Running+s.load.Queued+s.sent) * weight
	busy := min(1, max(occupied, float64(s.inFlight))/slots)
	mean := p.meanServiceRun(inst.Service)
	// Shorter requests go before longer ones, so that only a part of the queue is ahead of them.
	part := min(1, run/max(mean, 1))
	reported := float64(s.load.Next) + part*float64(s.load.Wait-s.load.Next)
	free := float64(s.load.Slots - s.load.Running - s.load.Queued)
	if free > float64(s.sent) {
		reported = 0
	} else {
		reported += (float64(s.sent) - max(0, free)) * run / slots
	}
	return max(time.Duration(reported*weight), excessWait(float64(s.inFlight), slots, run), s.limitWait(now, free)), busy
}

// limitWait returns the wait that the limit of an instance causes: that of the last report, less the
// time since, and that of the requests sent since. Unlike the wait for a slot, it does not depend on
// run times, so that a report does not lose its weight.
func (s *instanceStats) limitWait(now time.Time, free float64) time.Duration {
	if s.limit <= 0 {
		return 0
	}
	behind := max(0, float64(s.sent)-max(0, free)) / s.limit * float64(time.Second)
	return max(0, min(time.Duration(behind), maxLimitWait)+s.load.Wait-now.Sub(s.loadAt))
}

// lacksAllowance reports whether the limit of an instance allows no request now, as far as the last report
// tells.
func (s *instanceStats) lacksAllowance(now time.Time) bool {
	return s.limitWait(now, float64(s.load.Slots-s.load.Running-s.load.Queued)) > FreeSlotWait
}

// maxLimitWait bounds the expected wait for the limit of an instance.
const maxLimitWait = time.Minute

// excessWait returns the wait for a slot if a request would exceed the number of slots, 0
// otherwise.
func excessWait(occupied, slots, run float64) time.Duration {
	if over := occupied + 1 - slots; over > 0 {
		return time.Duration(over * run / slots)
	}
	return 0
}

// meanServiceRun returns the mean run time of a service in nanoseconds.
func (p *Placer) meanServiceRun(service string) float64 {
	if mean, ok := p.means[service]; ok {
		return mean
	}
	return float64(defaultRun)
}

// decay falls linearly from 1 at age 0 to 0 at the age lifetime.
func decay(age, lifetime time.Duration) float64 {
	return max(0, 1-float64(age)/float64(lifetime))
}

// averages returns the averages of a route, or defaults if there are none.
func (p *Placer) averages(route string) routeAverages {
	if r, ok := p.runs[route]; ok {
		return *r
	}
	return routeAverages{run: float64(defaultRun), bytes: defaultBytes}
}

// MeanRun returns the mean run time of a route over all instances.
func (p *Placer) MeanRun(route string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.averages(route).run)
}

// TakeTrial reports whether a request may be sent although the mean run time of its route leaves it too little
// time. Without that, a mean that refuses all requests of a route, because its upstreams were slow while its
// timeout was longer, would never change again.
func (p *Placer) TakeTrial(now time.Time, route string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.runs[route]
	return ok && r.trials.Take(now)
}

// transfer returns the time that bytes take over the links between this host and that of an
// instance.
func (p *Placer) transfer(inst *catalog.Instance, bytes float64) time.Duration {
	if inst.Host() == p.host {
		return 0
	}
	return time.Duration(2 * bytes * p.byteTime)
}
