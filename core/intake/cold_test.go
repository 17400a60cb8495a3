package intake

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// coldRule is the rule of the deployment on which 31 upstreams crashed 119 times: 29 requests a second.
func coldRule() ColdRule {
	return ColdRule{PerSecond: 14, Start: 3 * time.Second, Ratio: 1.5, Allowance: 8, Health: true}
}

// requireWithinColdBound requires that no window of a second has more requests than the rule allows, even
// if each of them arrives up to 100 ms after it was sent.
func requireWithinColdBound(t *testing.T, rule ColdRule, sent []time.Time) {
	const window = time.Second + 100*time.Millisecond
	first := 0
	for last, at := range sent {
		for at.Sub(sent[first]) > window {
			first++
		}
		require.LessOrEqual(t, float64(last-first+1), rule.bound(), "in %s before %s", window, at)
	}
}

// coldUpstream plays calls against queues in front of an upstream that is cold all the time, and records
// what it gets.
type coldUpstream struct {
	rule    ColdRule
	rng     *rand.Rand
	now     time.Time
	q       *Queue
	sent    []time.Time
	running []*Call
	ends    []time.Time
	refused int
	// silent is set while the health path does not respond.
	silent bool
}

func newColdUpstream(seed uint64, rule ColdRule) *coldUpstream {
	u := &coldUpstream{rule: rule, rng: rand.New(rand.NewPCG(seed, 3)), now: start}
	u.startDaemon()
	return u
}

// startDaemon replaces the daemon by another one at once, so that both share a window.
func (u *coldUpstream) startDaemon() {
	u.q, u.running, u.ends = New(9), nil, nil
	u.q.SetColdRule(u.now, u.rule)
}

// step advances the time by a millisecond and does what is due.
func (u *coldUpstream) step() {
	u.now = u.now.Add(time.Millisecond)
	for i := 0; i < len(u.running); {
		if u.now.Before(u.ends[i]) {
			i++
			continue
		}
		c := u.running[i]
		u.running, u.ends = slices.Delete(u.running, i, i+1), slices.Delete(u.ends, i, i+1)
		u.q.Done(u.now, c, true)
	}
	if at, ok := u.q.NextTick(); ok && !u.now.Before(at) {
		u.q.Advance(u.now)
	}
	if u.q.AskHealth(u.now) {
		u.sent = append(u.sent, u.now)
		if !u.silent {
			u.q.ReportCold(u.now, u.now, u.rule.Start)
		}
	}
}

func (u *coldUpstream) offer() {
	c := &Call{Route: "r", Priority: u.rng.IntN(2), Goal: u.now.Add(300 * time.Millisecond), Deadline: u.now.Add(1200 * time.Millisecond), Objective: 300 * time.Millisecond, Nested: u.rng.IntN(8) == 0}
	begin := func() {
		u.sent = append(u.sent, u.now)
		u.running, u.ends = append(u.running, c), append(u.ends, u.now.Add(time.Duration(20+u.rng.IntN(150))*time.Millisecond))
	}
	c.Decide = func(v Verdict) {
		if v == Started {
			begin()
			return
		}
		u.refused++
	}
	switch u.q.Offer(u.now, c, u.rng.IntN(2) == 0) {
	case Started:
		begin()
	case Waiting:
	default:
		u.refused++
	}
}

// Guards against an upstream that crashes because it gets more requests than a cold one takes: bursts,
// idle times, health requests, requests sent again, restarts of the daemon, crashes, unconfirmed drops of
// connections, and several of these at once.
func TestColdUpstreamStaysWithinItsBound(t *testing.T) {
	rules := []ColdRule{coldRule(), {PerSecond: 14, Ratio: 1, Health: true}, {PerSecond: 2, Ratio: 1.5, Allowance: 1, Health: true}, {PerSecond: 200, Ratio: 1.2, Allowance: 30, Health: true}}
	for seed := range uint64(40) {
		rule := rules[seed%uint64(len(rules))]
		rule.Start = time.Hour // it is cold all the time
		u := newColdUpstream(seed, rule)
		perSecond := 0.0
		for range 30_000 {
			u.step()
			if u.rng.IntN(700) == 0 {
				perSecond = []float64{0, 5, 60, 400}[u.rng.IntN(4)]
			}
			if u.rng.Float64() < perSecond/1000 {
				u.offer()
			}
			if u.rng.IntN(900) == 0 {
				for range 50 {
					u.offer()
				}
			}
			u.silent = u.rng.IntN(2) == 0
			for u.rng.IntN(1500) == 0 {
				switch u.rng.IntN(6) {
				case 0:
					u.startDaemon()
				case 1:
					u.q.ConnectionRefused(u.now)
				case 2:
					u.q.Responded(u.now, u.now)
				case 3:
					u.q.AssumeCold(u.now, true)
				case 4:
					u.q.AssumeCold(u.now, false)
				case 5:
					if u.q.Charge(u.now) {
						u.sent = append(u.sent, u.now)
					}
				}
			}
		}
		requireWithinColdBound(t, u.rule, u.sent)
	}
}

// Guards against daemons that start one after the other, of which each sends what it may at once, and against
// health requests beside the allowance.
func TestRestartsInOneWindowStayWithinTheBound(t *testing.T) {
	rule := coldRule()
	rule.Start = time.Hour
	for _, every := range []int{150, 400, 990, 1101, 1300} {
		u := newColdUpstream(7, rule)
		for ms := range 12_000 {
			u.step()
			if ms%every == every-1 {
				u.startDaemon()
			}
			if ms%4000 >= 2000 { // the allowance grows until then
				u.offer()
				u.offer()
			}
		}
		requireWithinColdBound(t, rule, u.sent)
	}
}

// Guards against a limit that leaves unused what the platform tolerates: callers gain from each request.
func TestColdRateUsesTheTolerance(t *testing.T) {
	u := newColdUpstream(1, coldRule())
	for range 20_000 {
		u.step()
		u.offer()
	}
	require.Greater(t, float64(len(u.sent)), 0.95*20*1.5*14)
	require.Positive(t, u.refused)
}

// Guards against a rate that the table introduces, changes or removes and that takes effect late, or with
// an allowance from before.
func TestColdRuleBeginsChangesAndEnds(t *testing.T) {
	u := newColdUpstream(2, coldRule())
	play := func(ms int) {
		u.sent = nil
		for range ms {
			u.step()
			u.offer()
		}
	}
	play(2000)
	u.rule.PerSecond = 4
	require.False(t, u.q.SetColdRule(u.now, u.rule), "it changes")
	play(5000)
	requireWithinColdBound(t, u.rule, u.sent)
	u.q.SetColdRule(u.now, ColdRule{})
	_, cold := u.q.Cold(u.now)
	require.False(t, cold)
	_, asks := u.q.NextHealth(u.now)
	require.False(t, asks, "services without a rate are not asked")
	play(1000)
	require.Greater(t, len(u.sent), 70, "nothing is held back")
	require.True(t, u.q.SetColdRule(u.now, u.rule))
	play(5000)
	requireWithinColdBound(t, u.rule, u.sent)
	require.NotEmpty(t, u.sent)
}

// Guards against a cold phase that does not end with the upstream's word, that ends with an older one, or
// that lasts longer than cold_start without one.
func TestColdPhase(t *testing.T) {
	q := New(4)
	q.SetColdRule(at(0), ColdRule{PerSecond: 14, Ratio: 1.5, Allowance: 8, Health: true})
	requireCold := func(ms int, want bool) {
		t.Helper()
		_, cold := q.Cold(at(ms))
		require.Equal(t, want, cold)
	}
	requireCold(2999, true)
	requireCold(3000, false)
	q.ReportCold(at(100), at(50), 500*time.Millisecond)
	requireCold(599, true)
	requireCold(600, false)
	q.AssumeCold(at(1000), true)
	q.ReportCold(at(1001), at(999), 0)
	requireCold(1002, true)
	q.ReportCold(at(1003), at(1002), -time.Second)
	q.ReportCold(at(1003), at(1002), 100*time.Hour)
	requireCold(3999, true)
	requireCold(4000, false)
	q.ReportCold(at(5000), at(4999), 2*time.Second)
	requireCold(6999, true)
	q.ConnectionRefused(at(6000))
	q.ConnectionRefused(at(20_000))
	requireCold(60_000, true)
	q.Responded(at(60_000), at(5000))
	requireCold(70_000, true)
	q.Responded(at(70_000), at(69_990))
	requireCold(72_999, true)
	requireCold(73_000, false)
}

// Guards against sends before an upstream became cold that are forgotten, so that it gets them and its
// whole allowance within a second, and against those of a process before that are held against a new one.
func TestRequestsBeforeTheColdPhaseCount(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		for _, doubt := range []bool{false, true} {
			u := newColdUpstream(3, coldRule())
			u.q.ReportCold(u.now, u.now, 0)
			for range 4000 {
				u.now = u.now.Add(time.Millisecond)
				u.q.cold.arrive(u.now)
				u.q.cold.take(u.now)
			}
			if doubt {
				u.q.AssumeCold(u.now, false) // a connection that may have been closed long before
			}
			u.q.AssumeCold(u.now, replaced)
			if replaced {
				require.Less(t, u.q.cold.wait(u.now, 1), 100*time.Millisecond)
			} else {
				require.InDelta(t, 1, u.q.cold.wait(u.now, 1).Seconds(), 0.06)
			}
		}
	}
}

// Guards against an allowance that is given again when another process shows late in a cold phase.
func TestDebtIsDroppedOnce(t *testing.T) {
	u := newColdUpstream(6, coldRule())
	u.q.ReportCold(u.now, u.now, 0)
	for range 100 {
		u.q.cold.take(u.now)
	}
	u.q.AssumeCold(u.now, false)
	u.q.ReportCold(u.now, u.now, time.Hour)
	for range 2 {
		u.now = u.now.Add(10 * time.Second)
		sent := 0
		for u.q.Charge(u.now) {
			sent++
		}
		require.Positive(t, sent)
		u.q.AssumeCold(u.now, true)
		require.False(t, u.q.Charge(u.now))
		u.q.ReportCold(u.now, u.now, time.Hour)
	}
}

// Guards against health requests that are billed for nothing: without calls, to an upstream that refuses
// connections, or for a closed queue; and against an event after which none is sent.
func TestHealthRequestsAreFew(t *testing.T) {
	count := func(u *coldUpstream, ms int, calls bool) int {
		n := 0
		for range ms {
			before := len(u.sent)
			u.step()
			n += len(u.sent) - before
			if calls && u.now.UnixMilli()%100 == 0 {
				before = len(u.sent)
				u.offer()
				u.sent = u.sent[:before]
			}
		}
		return n
	}
	u := newColdUpstream(4, coldRule())
	require.Equal(t, 1, count(u, 9000, false))
	require.InDelta(t, 10, count(u, 10_000, true), 1)
	u.q.AssumeCold(u.now, true)
	require.Equal(t, 1, count(u, 500, false))
	u.silent = true
	u.q.ConnectionRefused(u.now)
	require.InDelta(t, 4, count(u, 1000, false), 1)
	u.q.Close()
	require.Zero(t, count(u, 20_000, false), "nothing is sent to an upstream that gets no requests")
	u.q.Open()
	u.rule.Health = false
	u.q.SetColdRule(u.now, u.rule)
	require.Zero(t, count(u, 20_000, false), "no health path")
}

// Guards against an upstream that restarts while it is idle and gets the next burst at once.
func TestBurstAfterAnIdleTimeIsHeldBack(t *testing.T) {
	u := newColdUpstream(5, coldRule())
	u.q.ReportCold(u.now, u.now, 0)
	u.now = u.now.Add(coldIdle)
	for range 100 {
		u.offer()
	}
	_, cold := u.q.Cold(u.now)
	require.True(t, cold)
	require.LessOrEqual(t, len(u.sent), 8)
	u.step()
	require.True(t, u.q.cold.asked, "the upstream is asked at once")
	u.q.ReportCold(u.now, u.now, 0)
	require.Greater(t, len(u.sent), 8)
}

// Guards against a call that arrives when a waiting one may start by a rate, but before Advance: the tick for
// that would be lost, and the waiting call stays until its deadline.
func TestArrivalAtATickLosesNoTick(t *testing.T) {
	for name, limit := range map[string]func(*Queue){
		"cold":  func(q *Queue) { q.SetColdRule(at(0), coldRule()) },
		"named": func(q *Queue) { q.SetLimit(at(0), 1) },
	} {
		q := New(9)
		limit(q)
		first, _ := call("r", 1, 0, 5000, 9000)
		q.Offer(at(0), first, true) // the named limit allows one at once
		waiting, decided := call("r", 1, 0, 5000, 9000)
		require.Equal(t, Waiting, q.Offer(at(1), waiting, true), name)
		due, ok := q.NextTick()
		require.True(t, ok)
		due = due.Add(2 * time.Second)
		last, _ := call("r", 1, 0, 5000, 9000)
		q.Offer(due, last, true)
		require.Equal(t, []Verdict{Started}, decided.verdicts, name)
	}
}

// Guards against a Retry-After and load reports that do not fit the rate, and against requests that wait
// although they cannot meet their deadline.
func TestColdRateShowsInLoadAndRetryAfter(t *testing.T) {
	q := New(9)
	rule := coldRule()
	rule.Start = time.Minute
	q.SetColdRule(at(0), rule)
	newCall := func(deadline int) *Call {
		c, _ := call("r", 0, 0, 200, deadline)
		return c
	}
	require.Equal(t, Busy, q.Offer(at(0), newCall(1200), false), "the allowance is empty after a start")
	rate := q.PermittedRate(at(0))
	require.InDelta(t, 20.4, rate, 0.1)
	var waiting int
	for n := range 100 {
		if q.Offer(at(0).Add(time.Duration(n)), newCall(1200), true) == Waiting {
			waiting++
		}
	}
	require.InDelta(t, rate, waiting, 10, "what can be answered within its deadline waits")
	l := q.Load(at(0))
	require.Equal(t, l.Slots, l.Running)
	require.InDelta(t, 1/rate, l.Next.Seconds(), 0.001)
	require.InDelta(t, float64(waiting+1)/rate, l.Wait.Seconds(), 0.001)
	require.Greater(t, q.RetryAfter(at(0), newCall(1200)), 50*time.Millisecond)
	next, ok := q.NextTick()
	require.True(t, ok)
	require.WithinDuration(t, at(0).Add(l.Next), next, time.Microsecond)
	q.Advance(next)
	require.Len(t, q.running, 1)
	require.False(t, q.Charge(next), "a request that is sent again has to fit the rate too")
	q.SetLimit(next, 3)
	require.InDelta(t, 3, q.PermittedRate(next), 0)
}

// Guards against a warm upstream that is limited for a second after each restart of its daemon, because
// the first health request waits for the allowance.
func TestFirstHealthRequestIsSentAtOnce(t *testing.T) {
	u := newColdUpstream(1, coldRule())
	require.True(t, u.q.AskHealth(u.now))
	u.q.ReportCold(u.now, u.now, 0)
	_, cold := u.q.Cold(u.now)
	require.False(t, cold)

	u.startDaemon()
	require.True(t, u.q.AskHealth(u.now))
	u.q.AssumeCold(u.now, false)
	require.False(t, u.q.AskHealth(u.now), "the allowance is empty")
}
