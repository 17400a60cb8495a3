package routing

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/admission"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
)

const (
	simSlots       = 9
	simServiceTime = 10 * time.Millisecond // mean service time; exponentially distributed
	simDeadline    = 400 * time.Millisecond
	simLength      = 6 * time.Second
	simCapacity    = float64(simSlots) / 0.010 // calls/s of one upstream
)

// scenario is a simulated load on one or two data centres, each in a region of its own and
// with six upstreams.
type scenario struct {
	name    string
	load    float64 // as a share of the capacity of all upstreams
	regions int
	slow    func(upstream int, at time.Duration) float64 // multiplies service times
	dead    func(upstream int, at time.Duration) bool    // refuses connections
	joinAt  time.Duration                                // start of upstream 0; 0 means from the beginning
	stale   time.Duration                                // age of load reports on arrival
	check   func(t *testing.T, mangoshed result)
}

// result holds what callers measured in the last three quarters of a run.
type result struct {
	goodput   float64 // calls with a response in time, as a share of min(load, capacity)
	p50, p99  time.Duration
	extraLoad float64 // attempts at upstreams per call
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// sim simulates callers, ingress daemons and upstreams in virtual time.
type sim struct {
	scenario
	mangoshed bool
	events    simHeap
	seq       int
	now       time.Duration
	random    *rand.Rand
	upstreams []*simUpstream
	byID      map[model.InstanceID]*simUpstream
	routers   []*Router
	budgets   []*retry.Budget
	calls     int
	attempts  int
	latencies []time.Duration
}

type simUpstream struct {
	inst    model.Instance
	number  int
	busy    int
	backlog []*simJob        // unbounded queue of the baseline policy
	queue   *admission.Queue // queue of the mangoshed policy
	reports []Load           // past load, one entry per 10 ms
}

type simJob struct {
	deadline time.Duration
	noWait   bool
	done     func(ok bool, refused refusal.Kind, load Load)
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) clock() time.Time { return start.Add(s.now) }

func (s *sim) measuring() bool { return s.now > simLength/4 }

// arrive handles a call at an upstream, which has nine slots. The baseline policy queues all
// calls without a slot; the mangoshed policy uses the admission queue of the guard.
func (s *sim) arrive(u *simUpstream, j *simJob) {
	switch {
	case s.dead != nil && s.dead(u.number, s.now):
		j.done(false, refusal.UpstreamFailed, Load{})
	case s.mangoshed && j.noWait && u.queue.Occupied(s.clock()):
		j.done(false, refusal.NoSlot, s.loadOf(u))
	case s.mangoshed:
		ticket := &admission.Ticket{Class: admission.NonRepeatable, Deadline: start.Add(j.deadline)}
		handleVerdict := func(v admission.Verdict) {
			switch v {
			case admission.Granted:
				s.serve(u, j, func() { u.queue.Release(s.clock(), ticket, true) })
			case admission.Queued:
			default:
				j.done(false, refusal.Overloaded, s.loadOf(u))
			}
		}
		ticket.OnVerdict = handleVerdict
		handleVerdict(u.queue.Submit(s.clock(), ticket))
		if at, ok := u.queue.NextTick(s.clock()); ok {
			s.after(at.Sub(s.clock()), func() { u.queue.Advance(s.clock()) })
		}
	case u.busy < simSlots:
		s.serveNext(u, j)
	default:
		u.backlog = append(u.backlog, j)
	}
}

func (s *sim) serveNext(u *simUpstream, j *simJob) {
	u.busy++
	s.serve(u, j, func() {
		u.busy--
		if len(u.backlog) > 0 {
			next := u.backlog[0]
			u.backlog = u.backlog[1:]
			s.serveNext(u, next)
		}
	})
}

func (s *sim) serve(u *simUpstream, j *simJob, release func()) {
	factor := 1.0
	if s.slow != nil {
		factor = s.slow(u.number, s.now)
	}
	s.after(time.Duration(s.random.ExpFloat64()*factor*float64(simServiceTime)), func() {
		release()
		j.done(true, "", s.loadOf(u))
	})
}

func (s *sim) current(u *simUpstream) Load {
	if !s.mangoshed {
		return Load{InFlight: u.busy, Slots: simSlots, Queued: len(u.backlog)}
	}
	return Load(u.queue.Load(s.clock()))
}

// loadOf returns the load that the upstream reports, which is s.stale old.
func (s *sim) loadOf(u *simUpstream) Load {
	at := int((s.now - s.stale) / (10 * time.Millisecond))
	if s.stale == 0 || at < 0 || at >= len(u.reports) {
		return s.current(u)
	}
	return u.reports[at]
}

func (s *sim) call(ingress int) {
	if s.measuring() {
		s.calls++
	}
	s.budgets[ingress].RecordCall()
	s.attempt(ingress, 1, s.now, nil, nil)
}

// pick chooses an instance as an ingress daemon does: up to three instances are asked for a
// free slot before the call waits in the queue of one.
func (s *sim) pick(ingress int, exclude, asked []model.InstanceID) (d Decision, noWait, ok bool) {
	router := s.routers[ingress]
	router.ObserveSelf(Load(s.byID[router.self.ID].queue.Load(s.clock())), s.clock())
	d, refused := router.Pick(Query{Service: "shifts", Exclude: append(slices.Clone(exclude), asked...)}, s.clock())
	room := refused == nil && d.Reason != Full && d.Reason != Suspects && d.Reason != Probe
	if len(asked) > 0 && !room {
		router.Report(d, Outcome{Cancelled: true}, s.clock())
		d, refused = router.Pick(Query{Service: "shifts", Exclude: exclude}, s.clock())
		return d, false, refused == nil
	}
	return d, room && len(asked) < 3, refused == nil
}

func (s *sim) attempt(ingress, number int, startedAt time.Duration, exclude, asked []model.InstanceID) {
	var u *simUpstream
	var d Decision
	noWait := false
	deadline := startedAt + simDeadline
	if s.mangoshed {
		var ok bool
		if d, noWait, ok = s.pick(ingress, exclude, asked); !ok {
			return
		}
		u = s.byID[d.Instance.ID]
	} else {
		for u = nil; u == nil || u.number == 0 && s.now < s.joinAt; {
			u = s.upstreams[s.random.IntN(len(s.upstreams))]
		}
		deadline = s.now + simDeadline/4
	}
	if s.measuring() {
		s.attempts++
	}
	wire := 250 * time.Microsecond
	if u.inst.Place != s.routers[ingress].self.Place {
		wire = 8 * time.Millisecond
	}
	pending, sent := true, s.now
	finish := func(ok bool, kind refusal.Kind, load Load) {
		if s.mangoshed {
			s.routers[ingress].Report(d, Outcome{Load: load, Latency: s.now - sent, Failed: kind == refusal.UpstreamFailed, Refused: kind}, s.clock())
		}
		if !pending {
			return
		}
		pending = false
		if ok {
			if s.measuring() {
				s.latencies = append(s.latencies, s.now-startedAt)
			}
			return
		}
		if !s.mangoshed {
			if number <= 3 {
				s.attempt(ingress, number+1, startedAt, nil, nil)
			}
			return
		}
		if kind == refusal.NoSlot {
			s.attempt(ingress, number, startedAt, exclude, append(slices.Clone(asked), u.inst.ID))
			return
		}
		verdict := retry.Decide(retry.Attempt{
			Number: number, Kind: kind, Run: refusal.NotRun, Replayable: true, Remaining: deadline - s.now,
		}, s.budgets[ingress], s.random.Uint64())
		if verdict.Retry() {
			s.after(verdict.Wait, func() { s.attempt(ingress, number+1, startedAt, append(exclude, u.inst.ID), nil) })
		}
	}
	s.after(deadline-s.now, func() {
		if pending && !s.mangoshed {
			finish(false, refusal.Deadline, Load{})
		}
		pending = false
	})
	s.after(wire, func() {
		s.arrive(u, &simJob{deadline: deadline - wire, noWait: noWait, done: func(ok bool, kind refusal.Kind, load Load) {
			s.after(wire, func() { finish(ok, kind, load) })
		}})
	})
}

func (s *sim) run() result {
	places := []model.Place{north1, south1}[:s.regions]
	s.byID = make(map[model.InstanceID]*simUpstream)
	var members []model.Instance
	for k, place := range places {
		for i := range 6 {
			u := &simUpstream{inst: instance("shifts", place, i), number: k*6 + i}
			u.queue = admission.NewQueue(admission.Config{}, start.Add(-time.Hour))
			s.upstreams, s.byID[u.inst.ID] = append(s.upstreams, u), u
			members = append(members, u.inst)
		}
	}
	tab := tableOf(row("shifts", 1, 1, 1, 1, 1))
	for i, m := range members {
		r := New(m, uint64(i+1))
		if s.joinAt > 0 {
			r.swap(1, tab, members[1:], start)
			s.after(s.joinAt, func() {
				s.upstreams[0].queue.RestartRamp(s.clock())
				r.swap(1, tab, members, s.clock())
			})
		} else {
			r.swap(1, tab, members, start)
		}
		s.routers, s.budgets = append(s.routers, r), append(s.budgets, retry.NewBudget())
	}
	capacity := simCapacity * float64(len(members))
	var next func()
	next = func() {
		s.call(s.random.IntN(len(members)))
		s.after(time.Duration(s.random.ExpFloat64()/(capacity*s.load)*1e9), next)
	}
	var sample func()
	sample = func() {
		for _, u := range s.upstreams {
			u.reports = append(u.reports, s.current(u))
		}
		s.after(10*time.Millisecond, sample)
	}
	s.after(0, next)
	if s.stale > 0 {
		s.after(0, sample)
	}
	for s.now < simLength {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
	alive := capacity
	if s.dead != nil {
		alive /= 2
	}
	seconds := (simLength * 3 / 4).Seconds()
	r := result{extraLoad: float64(s.attempts) / float64(s.calls)}
	r.goodput = float64(len(s.latencies)) / seconds / math.Min(capacity*s.load, alive)
	if n := len(s.latencies); n > 0 {
		r.p50, r.p99 = s.latencies[n/2], s.latencies[n*99/100]
	}
	return r
}

// Guards against goodput and retry load that miss the targets of the design under overload,
// failures and stale load reports. It also logs the results of a baseline policy for
// comparison: uniform choice, no limits, up to three retries on any error.
func TestPolicyUnderLoad(t *testing.T) {
	goodput := func(t *testing.T, mangoshed result) { require.Greater(t, mangoshed.goodput, 0.9) }
	for _, c := range []scenario{
		{name: "twice the capacity", load: 2, regions: 1, check: goodput},
		{
			name: "one of six slow", load: 0.6, regions: 1, check: goodput,
			slow: func(u int, _ time.Duration) float64 { return []float64{1, 10}[1-min(u, 1)] },
		},
		{
			name: "cold start", load: 0.7, regions: 1, check: goodput, joinAt: simLength / 4,
			slow: func(u int, at time.Duration) float64 {
				if u > 0 {
					return 1
				}
				return 1 + 9*math.Exp(-(at-simLength/4).Seconds())
			},
		},
		{
			name: "lost region at full load", load: 0.9, regions: 2,
			dead: func(u int, at time.Duration) bool { return u >= 6 && at > simLength/4 },
			check: func(t *testing.T, mangoshed result) {
				require.Greater(t, mangoshed.goodput, 0.9)
				require.LessOrEqual(t, mangoshed.extraLoad, 1.2)
			},
		},
		{name: "fresh load", load: 0.8, regions: 1, check: goodput},
		{name: "load 100 ms old", load: 0.8, regions: 1, stale: 100 * time.Millisecond, check: goodput},
		{name: "load 800 ms old", load: 0.8, regions: 1, stale: 800 * time.Millisecond, check: goodput},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var mangoshed result
			for _, policy := range []bool{false, true} {
				s := &sim{scenario: c, mangoshed: policy, random: rand.New(rand.NewPCG(1, 2))}
				mangoshed = s.run()
				t.Logf("%s: policy=%t goodput=%.3f p50=%s p99=%s attempts/call=%.2f",
					c.name, policy, mangoshed.goodput, mangoshed.p50.Round(100*time.Microsecond), mangoshed.p99.Round(100*time.Microsecond), mangoshed.extraLoad)
			}
			c.check(t, mangoshed)
		})
	}
}
