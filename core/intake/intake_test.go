package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// at returns the time that is a number of milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// outcome records the verdicts on a call that waited.
type outcome struct{ verdicts []Verdict }

func call(route string, priority, arrived, goal, deadline int) (*Call, *outcome) {
	o := &outcome{}
	return &Call{
		Route: route, Priority: priority, Goal: at(arrived + goal), Deadline: at(arrived + deadline), Objective: time.Duration(goal) * time.Millisecond,
		Decide: func(v Verdict) { o.verdicts = append(o.verdicts, v) },
	}, o
}

// setRunTime sets the estimate of a route and all of its recent run times.
func setRunTime(q *Queue, route string, ms int) {
	took := time.Duration(ms) * time.Millisecond
	q.estimate[route] = float64(took)
	for range recentRuns {
		q.recordRecentRun(route, took)
	}
}

// fillSlots starts calls in all slots.
func fillSlots(t *testing.T, q *Queue, now time.Time, route string) []*Call {
	var calls []*Call
	for range q.slots {
		c, _ := call(route, 1, 0, 10_000, 20_000)
		require.Equal(t, Started, q.Offer(now, c, false))
		calls = append(calls, c)
	}
	return calls
}

// Simulates an upstream that becomes twelve times slower while all slots are in use. Guards
// against reporting the old, short run time until the first slow run has completed, seconds
// later.
func TestOverdueRunsRaiseTheEstimate(t *testing.T) {
	q := New(9)
	setRunTime(q, "r", 200)
	running := fillSlots(t, q, at(0), "r")
	require.Equal(t, 200*time.Millisecond, q.Expected(at(100), "r"))
	require.Greater(t, q.Expected(at(1000), "r"), 500*time.Millisecond)
	// Runs that are aborted before they complete also update the estimate.
	for _, c := range running {
		q.Done(at(1500), c, false)
	}
	require.Greater(t, q.Expected(at(1500), "r"), 300*time.Millisecond)
	c, _ := call("r", 1, 1500, 10_000, 20_000)
	require.Equal(t, Started, q.Offer(at(1500), c, false))
	for range 60 {
		q.Done(at(1600), c, true)
		c, _ = call("r", 1, 1600, 10_000, 20_000)
		require.Equal(t, Started, q.Offer(at(1500), c, false))
	}
	require.Less(t, q.Expected(at(1600), "r"), 150*time.Millisecond, "the estimate falls again")
}

// Simulates an overloaded service that other upstreams call while their runs hold slots. Guards
// against nested calls that wait behind calls with a higher priority or behind late calls until
// the run that needs them fails.
func TestNestedCallsGoFirst(t *testing.T) {
	q := New(2)
	setRunTime(q, "check", 30)
	setRunTime(q, "long", 300)
	setRunTime(q, "urgent", 20)
	running := fillSlots(t, q, at(0), "long")
	urgent, urgentOutcome := call("urgent", 0, 10, 500, 2000)
	require.Equal(t, Waiting, q.Offer(at(10), urgent, true))
	q.lateShare = 0 // late calls have not been getting slots
	q.lateWaiting = 1
	check, outcome := call("check", 2, 20, 60, 400)
	check.Nested = true
	require.Equal(t, Waiting, q.Offer(at(20), check, true))
	q.Done(at(100), running[0], true)
	require.Equal(t, []Verdict{Started}, outcome.verdicts)
	require.Empty(t, urgentOutcome.verdicts)
}

// Simulates an upstream whose long runs occupy every slot while short nested calls arrive at a
// steady rate. Guards against letting each nested call wait for the end of a long run, and
// against slots that stay reserved when there are no nested calls.
func TestSlotsAreKeptForNestedCalls(t *testing.T) {
	q := New(9)
	setRunTime(q, "long", 500)
	setRunTime(q, "check", 30)
	var waits, served int
	type ending struct {
		call *Call
		at   int
	}
	var running []ending
	started := func(c *Call, ms, work int) { running = append(running, ending{c, ms + work}) }
	offer := func(ms int, route string, work int, nested bool) {
		c, _ := call(route, 1, ms, 2000, 3000)
		c.Nested = nested
		begun := ms
		c.Decide = func(v Verdict) {
			if v == Started {
				started(c, begun, work)
			}
		}
		switch q.Offer(at(ms), c, true) {
		case Started:
			started(c, ms, work)
		case Waiting:
			if nested && ms > 2000 {
				waits++
			}
		}
		if nested && ms > 2000 {
			served++
		}
	}
	for ms := 0; ms < 8000; ms++ {
		previous := running
		running = nil
		for _, e := range previous {
			if e.at <= ms {
				q.Done(at(ms), e.call, true)
			} else {
				running = append(running, e)
			}
		}
		if ms%20 == 0 {
			offer(ms, "long", 500, false) // a load of 25 slots
		}
		if ms%16 == 0 {
			offer(ms, "check", 30, true) // a load of two slots
		}
	}
	require.Less(t, waits*4, served, "number of nested calls that had to wait")
	require.LessOrEqual(t, q.reservedSlots(at(8000)), 3)
	require.Zero(t, q.reservedSlots(at(20_000)), "no slots are reserved without nested calls")
}

// Simulates an upstream that has become slow while others have free slots. Guards against
// accepting calls that would be answered in time elsewhere, and against never trying the slow
// upstream again.
func TestSlowUpstreamRefusesCallsThatOthersCanServe(t *testing.T) {
	q := New(9)
	setRunTime(q, "r", 2600)
	probe, _ := call("r", 1, 0, 700, 3000)
	require.Equal(t, Started, q.Offer(at(0), probe, false), "an idle upstream starts the call to find out whether it is still slow")
	second, _ := call("r", 1, 10, 700, 3000)
	require.Equal(t, Busy, q.Offer(at(10), second, false))
	require.Equal(t, Started, q.Offer(at(20), second, true), "no faster upstream is available")
	late, _ := call("r", 1, 30, 0, 3000)
	require.Equal(t, Started, q.Offer(at(30), late, false), "the call is late on every upstream")
}

// Guards against starting more runs than the upstream has slots: some upstreams never respond to
// requests beyond them.
func TestNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(rapid.IntRange(1, 5).Draw(t, "slots"))
		now := start
		var running []*Call
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "offer") {
				c := &Call{
					Route: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "route")), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Goal: now.Add(200 * time.Millisecond), Deadline: now.Add(500 * time.Millisecond), Objective: 200 * time.Millisecond,
				}
				c.Decide = func(v Verdict) {
					if v == Started {
						running = append(running, c)
					}
				}
				if q.Offer(now, c, rapid.Bool().Draw(t, "may wait")) == Started {
					running = append(running, c)
				}
			} else if len(running) > 0 {
				c := running[0]
				running = running[1:]
				q.Done(now, c, true)
			}
			require.LessOrEqual(t, len(q.running), q.slots)
			require.Equal(t, len(q.running), len(running))
			if len(q.waiting) > 0 {
				require.Len(t, q.running, q.slots, "a slot is free while calls wait")
			}
		}
	})
}

// Guards against verdicts that are lost or delivered twice: each waiting call gets exactly one.
func TestEveryWaitingCallIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(2)
		now := start
		decided := make(map[*Call]int)
		waited := make(map[*Call]bool)
		var running []*Call
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				c := &Call{Route: "r", Goal: now.Add(150 * time.Millisecond), Deadline: now.Add(400 * time.Millisecond), Objective: 150 * time.Millisecond}
				c.Decide = func(v Verdict) {
					decided[c]++
					if v == Started {
						running = append(running, c)
					}
				}
				switch q.Offer(now, c, true) {
				case Started:
					running = append(running, c)
				case Waiting:
					waited[c] = true
				}
			case 2:
				if len(running) > 0 {
					c := running[0]
					running = running[1:]
					q.Done(now, c, rapid.Bool().Draw(t, "completed"))
				}
			case 3:
				q.Advance(now)
			}
		}
		q.Close()
		for c := range waited {
			require.Equal(t, 1, decided[c])
		}
		require.Len(t, decided, len(waited))
		require.Zero(t, q.lateWaiting)
	})
}

// Guards against calls that wait behind others of lower value density: a call that another
// upstream's request is waiting for must not queue behind long ones of the same priority.
func TestOrderOfWaitingCalls(t *testing.T) {
	q := New(1)
	setRunTime(q, "long", 240)
	setRunTime(q, "short", 15)
	setRunTime(q, "mid", 70)
	running := fillSlots(t, q, start, "mid")
	var order []string
	offer := func(name, route string, priority, goal int, returning bool) {
		c, _ := call(route, priority, 0, goal, 5000)
		c.Returning = returning
		c.Decide = func(v Verdict) {
			require.Equal(t, Started, v)
			order = append(order, name)
			running = append(running, c)
		}
		require.Equal(t, Waiting, q.Offer(start, c, true), name)
	}
	offer("long", "long", 2, 3000, false)
	offer("mid, less urgent", "mid", 2, 3000, false)
	offer("mid", "mid", 1, 3000, false)
	offer("mid, returning", "mid", 1, 3000, true)
	offer("short", "short", 1, 3000, false)
	for n := 0; len(running) > 0; n++ {
		c := running[0]
		running = running[1:]
		q.Done(at(20*n), c, false)
	}
	require.Equal(t, []string{"short", "mid, returning", "mid", "mid, less urgent", "long"}, order)
}

// Guards against callers that wait until their deadline in vain: a call that cannot be answered
// in time is refused at once.
func TestRefusesCallsThatCannotMeetTheirDeadline(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 100)
	fillSlots(t, q, start, "r")
	c, _ := call("r", 1, 0, 50, 150)
	require.Equal(t, Overloaded, q.Offer(start, c, true))
	ok, _ := call("r", 1, 0, 500, 1000)
	require.Equal(t, Busy, q.Offer(start, ok, false))
	require.Equal(t, Waiting, q.Offer(start, ok, true))
}

// Guards against calls that stay in the queue after their deadline can no longer be met.
func TestRemovesCallsThatCanNoLongerMeetTheirDeadline(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 100)
	running := fillSlots(t, q, start, "r")
	c, o := call("r", 1, 0, 400, 500)
	require.Equal(t, Waiting, q.Offer(start, c, true))
	next, ok := q.NextTick()
	require.True(t, ok)
	require.Equal(t, at(400), next)
	q.Advance(at(401))
	require.Equal(t, []Verdict{Overloaded}, o.verdicts)
	q.Done(at(402), running[0], true)
	require.Empty(t, q.running)
}

// Simulates a late call that calls with a higher priority overtake. Guards against letting its
// caller wait until the deadline for a slot that it cannot get.
func TestRefusesALateCallBeforeItsTimeIsOver(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 100)
	running := fillSlots(t, q, start, "r")
	late, o := call("r", 1, 0, 10, 900)
	require.Equal(t, Waiting, q.Offer(start, late, true))
	for range 8 {
		c, _ := call("r", 0, 0, 5000, 5000)
		c.Decide = func(Verdict) {}
		require.Equal(t, Waiting, q.Offer(at(50), c, true))
	}
	q.Done(at(120), running[0], true)
	require.Equal(t, []Verdict{Overloaded}, o.verdicts)
}

// Guards against an estimate of the wait that adds up all running calls: the next of nine slots
// becomes free long before all nine do.
func TestWaitIsThatOfTheNextSlot(t *testing.T) {
	q := New(9)
	setRunTime(q, "r", 240)
	for n := range 9 {
		c, _ := call("r", 1, 0, 10_000, 20_000)
		require.Equal(t, Started, q.Offer(at(20*n), c, false))
	}
	load := q.Load(at(160))
	require.Equal(t, 80*time.Millisecond, load.Next) // the first call started at 0 and takes 240 ms
	short, _ := call("short", 1, 160, 200, 400)
	setRunTime(q, "short", 15)
	require.Equal(t, Waiting, q.Offer(at(160), short, true))
}

// Guards against refusals with a retry delay outside its bounds, where the estimate of the wait
// is too uncertain.
func TestRetryAfterIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(1)
		setRunTime(q, "r", rapid.IntRange(1, 100_000).Draw(t, "run"))
		c, _ := call("r", 1, 0, 10_000, 20_000)
		q.Offer(start, c, false)
		other, _ := call("r", 1, 0, rapid.IntRange(0, 5000).Draw(t, "goal"), 10_000)
		after := q.RetryAfter(start, other)
		require.GreaterOrEqual(t, after, minRetryAfter)
		require.LessOrEqual(t, after, maxRetryAfter)
	})
}

// load is a stream of calls to one route.
type load struct {
	route     string
	priority  int
	run       int // milliseconds
	every     int // milliseconds between calls
	goal, end int // milliseconds from the arrival
}

// replay offers streams of calls to a queue in steps of a millisecond. It returns, for each
// route, the share of calls answered within their objective and the share answered at all.
func replay(q *Queue, length int, streams []load) (inGoal, answered map[string]float64) {
	type run struct {
		c    *Call
		end  int
		goal int
	}
	counts, good, all := map[string]float64{}, map[string]float64{}, map[string]float64{}
	var running []*run
	for now := range length {
		for i := 0; i < len(running); {
			r := running[i]
			if now < r.end {
				i++
				continue
			}
			running = append(running[:i], running[i+1:]...)
			all[r.c.Route]++
			if now <= r.goal {
				good[r.c.Route]++
			}
			q.Done(at(now), r.c, true)
		}
		q.Advance(at(now))
		for _, s := range streams {
			if now%s.every != 0 {
				continue
			}
			counts[s.route]++
			c, _ := call(s.route, s.priority, now, s.goal, s.end)
			begin := func(at int) { running = append(running, &run{c: c, end: at + s.run, goal: now + s.goal}) }
			moment := now
			c.Decide = func(v Verdict) {
				if v == Started {
					begin(moment)
				}
			}
			if q.Offer(at(now), c, true) == Started {
				begin(now)
			}
		}
		// A waiting call that gets a slot starts at the current step.
		for _, c := range q.waiting {
			c := c
			route, goal := c.Route, int(c.Goal.Sub(start).Milliseconds())
			runTime := 0
			for _, s := range streams {
				if s.route == route {
					runTime = s.run
				}
			}
			step := now
			c.Decide = func(v Verdict) {
				if v == Started {
					running = append(running, &run{c: c, end: step + 1 + runTime, goal: goal})
				}
			}
		}
	}
	for route, n := range counts {
		good[route] /= n
		all[route] /= n
	}
	return good, all
}

// Simulates an upstream of 9 slots under 1.4 times its capacity: long reads of low priority,
// uploads and short inner calls. Guards against inner calls and high-priority requests that fail
// because long requests hold the slots, and against slots that are used for responses that arrive
// too late.
func TestOverloadServesTheMostValuableCalls(t *testing.T) {
	q := New(9)
	streams := []load{
		{route: "inner", priority: 1, run: 15, every: 7, goal: 60, end: 200},
		{route: "upload", priority: 1, run: 72, every: 40, goal: 300, end: 1200},
		{route: "read", priority: 2, run: 240, every: 28, goal: 800, end: 1500},
	}
	for _, s := range streams {
		setRunTime(q, s.route, s.run)
	}
	inGoal, answered := replay(q, 30_000, streams)
	require.Greater(t, answered["inner"], 0.99)
	require.Greater(t, inGoal["upload"], 0.95)
	// The slots that inner calls and uploads leave free are enough for three quarters of the
	// reads.
	freeSlots := 9 - 15.0/7 - 72.0/40
	fair := min(1, freeSlots/(240.0/28))
	require.Greater(t, answered["read"], 0.85*fair)
	require.Greater(t, inGoal["read"], 0.8*answered["read"])
}
