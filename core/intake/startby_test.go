package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a call that keeps waiting, or starts, when its sender may exit before the
// response.
func TestRefusesAWaitingCallBeforeItsSenderExits(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 100)
	running := fillSlots(t, q, at(0), "r")
	c, got := call("r", 1, 0, 5000, 10_000)
	c.SenderEnds = at(500) // two runs of 100 ms have to fit
	require.Equal(t, Waiting, q.Offer(at(0), c, true))
	next, ok := q.NextTick()
	require.True(t, ok)
	require.Equal(t, at(300), next)
	q.Advance(at(140))
	require.Empty(t, got.verdicts)
	q.Advance(at(300))
	require.Equal(t, []Verdict{Overloaded}, got.verdicts)
	q.Done(at(310), running[0], true)

	late, _ := call("r", 1, 310, 5000, 10_000)
	late.SenderEnds = at(510)
	require.Equal(t, Overloaded, q.Offer(at(310), late, true), "a slot is free, but it is too late to start")
}

// Guards against calls that keep waiting at another daemon when their sender begins to shut down.
func TestRefusesWaitingCallsAfterTheirSenderBeginsToShutDown(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 100)
	fillSlots(t, q, at(0), "r")
	stays, staysOutcome := call("r", 1, 0, 5000, 10_000)
	stays.ID = "stays"
	require.Equal(t, Waiting, q.Offer(at(0), stays, true))
	c, got := call("r", 1, 0, 5000, 10_000)
	c.ID = "c"
	require.Equal(t, Waiting, q.Offer(at(0), c, true))
	q.SenderEndsAt(at(10), at(1000), []string{"c", "unknown"})
	require.Empty(t, got.verdicts)
	q.Advance(at(990))
	require.Equal(t, []Verdict{Overloaded}, got.verdicts)
	require.Empty(t, staysOutcome.verdicts)
}

// Guards against a call that waits although it will clearly not get a slot before its sender
// exits.
func TestCallThatCannotStartInItsSendersTimeIsRefusedAtOnce(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 1000)
	fillSlots(t, q, at(0), "r")
	c, _ := call("r", 1, 0, 5000, 10_000)
	c.SenderEnds = at(2900)
	require.Equal(t, Overloaded, q.Offer(at(0), c, true))
	inTime, _ := call("r", 1, 0, 5000, 10_000)
	inTime.SenderEnds = at(3100)
	require.Equal(t, Waiting, q.Offer(at(0), inTime, true))
}

// Guards against a run that starts at a stopping daemon although it would probably last longer
// than the process.
func TestRunThatOutlastsTheProcessDoesNotBegin(t *testing.T) {
	q := New(2)
	setRunTime(q, "long", 800)
	setRunTime(q, "short", 100)
	q.EndAt(at(0), at(2000))
	early, _ := call("long", 1, 0, 5000, 10_000)
	require.Equal(t, Started, q.Offer(at(399), early, true))
	late, _ := call("long", 1, 0, 5000, 10_000)
	require.Equal(t, Overloaded, q.Offer(at(400), late, true), "a slot is free, but it is too late to start")
	short, _ := call("short", 1, 0, 5000, 10_000)
	require.Equal(t, Started, q.Offer(at(1700), short, true))
}

// Guards against calls that wait at a stopping daemon until it is too late for their run.
func TestRefusesWaitingCallsBeforeTheProcessExits(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 500)
	fillSlots(t, q, at(0), "r")
	c, got := call("r", 1, 0, 5000, 10_000)
	require.Equal(t, Waiting, q.Offer(at(0), c, true))
	q.EndAt(at(10), at(1200))
	require.Empty(t, got.verdicts)
	q.Advance(at(200))
	require.Equal(t, []Verdict{Overloaded}, got.verdicts)
}

// Guards against late calls that are refused because earlier ones were refused for the shutdown
// of their sender.
func TestRefusalsForStoppingSendersDoNotAffectOtherCalls(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 400)
	running := fillSlots(t, q, at(0), "r")[0]
	now := 0
	for range 10 {
		c, got := call("r", 1, now, 100, 10_000) // late
		c.SenderEnds = at(now + 450 + 800)
		require.Equal(t, Waiting, q.Offer(at(now), c, true))
		ahead, _ := call("r", 1, now, 5000, 10_000)
		require.Equal(t, Waiting, q.Offer(at(now), ahead, true))
		now += 400
		q.Done(at(now), running, true)
		require.True(t, ahead.running)
		running = ahead
		q.Advance(at(now + 50))
		require.Equal(t, []Verdict{Overloaded}, got.verdicts)
		now += 50
	}
	for range 2 {
		c, _ := call("r", 1, now, 100, 10_000)
		require.Equal(t, Waiting, q.Offer(at(now), c, true))
	}
}

// Checks, over random loads, that no call starts too late for its sender and that every call gets
// a verdict.
func TestCallsStartInTheirSendersTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(rapid.IntRange(1, 3).Draw(t, "slots"))
		now := start
		var running []*Call
		decided := make(map[*Call]bool)
		began := func(c *Call) {
			require.True(t, now.Add(2*q.expected(c)).Before(c.SenderEnds))
			running = append(running, c)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			if next, ok := q.NextTick(); ok && !next.After(now) {
				q.Advance(now)
			}
			for c, done := range decided {
				require.True(t, done || now.Add(2*q.expected(c)).Before(c.SenderEnds), "a call still waits when it is too late to start")
			}
			if len(running) > 0 && rapid.Bool().Draw(t, "done") {
				c := running[0]
				running = running[1:]
				q.Done(now, c, true)
				continue
			}
			c := &Call{
				Route: "r", Nested: rapid.Bool().Draw(t, "nested"), Goal: now.Add(time.Second), Deadline: now.Add(10 * time.Second),
				SenderEnds: now.Add(time.Duration(rapid.IntRange(-10, 1000).Draw(t, "sender ends")) * time.Millisecond), Objective: time.Second,
			}
			c.Decide = func(v Verdict) {
				decided[c] = true
				if v == Started {
					began(c)
				}
			}
			switch q.Offer(now, c, true) {
			case Started:
				began(c)
			case Waiting:
				decided[c] = false
			}
		}
	})
}

// runFor runs a call of route "r" for a number of milliseconds.
func runFor(t *testing.T, q *Queue, from, ms int) {
	c, _ := call("r", 1, from, 8000, 10_000)
	require.Equal(t, Started, q.Offer(at(from), c, true))
	q.Done(at(from+ms), c, true)
}

// Simulates a route of which one run in eight takes 2 to 5 s and the others 0.5 s. Guards against
// a stopping daemon that starts a run when the time left is enough for two typical runs only, and
// then aborts it.
func TestStoppingDaemonLeavesTimeForASlowRun(t *testing.T) {
	q := New(1)
	now := 0
	for n := range recentRuns {
		took := 500
		if n%8 == 0 {
			took = 2000 + 700*(n/8)
		}
		runFor(t, q, now, took)
		now += took
	}
	c, _ := call("r", 1, now, 8000, 10_000)
	require.Less(t, q.expected(c), 1500*time.Millisecond)
	q.EndAt(at(now), at(now+3400))
	require.Equal(t, Overloaded, q.Offer(at(now), c, true), "one run in twenty takes over 3.4 s")
	q.EndAt(at(now), at(now+3500))
	require.Equal(t, Started, q.Offer(at(now), c, true))
}

// Guards against a daemon that stops soon after its start and takes the few runs recorded so far
// as representative.
func TestStoppingDaemonDoesNotRelyOnFewRuns(t *testing.T) {
	q := New(1)
	for n := range minRuns - 1 {
		runFor(t, q, 200*n, 200)
	}
	c, _ := call("r", 1, 4000, 8000, 10_000)
	q.EndAt(at(4000), at(8000))
	require.Equal(t, Overloaded, q.Offer(at(4000), c, true), "the latency objective suggests slow runs of 4 s")
	q.EndAt(at(4000), at(8001))
	runFor(t, q, 4000, 200)
	q.EndAt(at(4200), at(4601))
	require.Equal(t, Started, q.Offer(at(4200), c, true), "all of the twenty recorded runs took 0.2 s")
}

// Guards against an upstream that was slow once and for that reason never again gets a run during
// a shutdown.
func TestSlowRunsAreForgotten(t *testing.T) {
	q := New(1)
	runFor(t, q, 0, 5000)
	now := 5000
	for range recentRuns {
		runFor(t, q, now, 200)
		now += 200
	}
	c, _ := call("r", 1, now, 8000, 10_000)
	require.Equal(t, 200*time.Millisecond, q.slowRun(c))
}

// Guards against a call that fails because its first run was aborted and a second one is not
// started, as it might be aborted as well.
func TestRepeatedCallStartsIfAUsualRunFits(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 500)
	c, _ := call("r", 1, 0, 5000, 10_000)
	c.SenderEnds = at(900)
	require.Equal(t, Overloaded, q.Offer(at(0), c, true))
	c.Repeated = true
	require.Equal(t, Started, q.Offer(at(0), c, true))
	late, _ := call("r", 1, 0, 5000, 10_000)
	late.SenderEnds, late.Repeated = at(500), true
	require.Equal(t, Overloaded, q.Offer(at(0), late, true))
}
