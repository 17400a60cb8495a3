// Package intake decides which requests the daemon beside an upstream passes to it, in which
// order, and when it refuses one.
//
// An upstream runs a fixed number of requests at once. The queue never hands it more, because
// some upstreams do not answer what they cannot hold. Calls that a run of another upstream waits
// for go first, because they hold a slot there. The others go in the order of what a slot earns
// in the time that they take it: urgent ones before less urgent ones, short ones
// before long ones, those that can still meet their latency objective before late ones, and
// returning callers before new ones. A request that cannot be answered in its time is refused
// as soon as that is known, so that its caller can go elsewhere or come back.
//
// Queue is a state machine: it takes the time as an argument, starts no goroutine and is not
// safe for concurrent use.
package intake

import (
	"slices"
	"time"
)

// Tuning of the decisions.
const (
	// DefaultSlots is used until the platform's list names the slots of the upstream.
	DefaultSlots = 4
	// lateFactor multiplies the expected wait of a request that will miss its objective,
	// because requests that can meet theirs overtake it. Twice covers an equal amount of them.
	lateFactor = 2
	// goalShare is the part of the time to the objective that the expected wait and run may
	// take when a request is accepted. The rest covers the scatter of run times and the way back.
	goalShare = 0.7
	// lateWeight is the weight of one outcome in the share of late calls that got a slot, and
	// minLateShare the share below which no more calls are let in that will be late.
	lateWeight   = 1.0 / 16
	minLateShare = 0.6
	// minRetryAfter is the shortest pause that a refusal asks for: about one run of a short request.
	minRetryAfter = 30 * time.Millisecond
	// maxRetryAfter bounds the pause; an expected wait further ahead is a guess.
	maxRetryAfter = 2 * time.Second
	// defaultRun is the expected run time of a route that has not run here yet and has no objective.
	defaultRun = 100 * time.Millisecond
	// estimateWeight is the weight of one sample: about the last 12 runs count.
	estimateWeight = 1.0 / 12
	// pruneTime is the time between two looks for late calls that will get no slot in time.
	pruneTime = 20 * time.Millisecond
	// leastRest is the part of an expected run that a call which has run for longer still needs.
	leastRest = 6
	// lateWorth is the worth of a late answer against one in time.
	lateWorth = 0.4
	// returningWorth puts callers that were refused before ahead of new ones of their kind: a
	// second refusal is worse than a first.
	returningWorth = 1.4
	// sameDensity is the ratio of earnings up to which two calls count as equal; run times are estimates.
	sameDensity = 1.15
	// overdueFactor is the part of its expected time from which on a running call counts as
	// overdue: run times scatter by about half of their mean. paceSamples is the number of runs
	// in time that one overdue call is weighed against.
	overdueFactor = 1.5
	paceSamples   = 9
	// nestedMemory is the time over which the load of nested calls is averaged, minNestedLoad
	// the load in slots from which on slots are kept for them, and nestedShare the largest part
	// of all slots, as 1 in that many.
	nestedMemory  = time.Second
	minNestedLoad = 0.2
	nestedShare   = 3
	// uncompletedFactor bounds what a call that ended without an answer teaches about run
	// times: it may have been slow, or its answer may have been lost.
	uncompletedFactor = 2
	// expectedShare of a latency objective is the first guess of a run time.
	expectedShare = 4
)

// Verdict is the decision about a call.
type Verdict uint8

// The verdicts.
const (
	// Waiting calls are in the queue.
	Waiting Verdict = iota
	// Started calls hold a slot until Done.
	Started
	// Busy refuses because the call cannot start at once and may not wait here.
	Busy
	// Overloaded refuses because the call cannot be answered in its time.
	Overloaded
	// Closed refuses because the upstream takes no new work.
	Closed
)

// String returns the name that logs and metrics use.
func (v Verdict) String() string {
	return [...]string{"waiting", "started", "busy", "overloaded", "closed"}[v]
}

// Call is one request. The exported fields are set before Offer.
type Call struct {
	// Route is the key of the run-time estimate.
	Route    string
	Priority int
	// Returning says that the caller was refused before.
	Returning bool
	// Nested says that a run of another upstream waits for the answer.
	Nested bool
	// Repeated says that the call may have run elsewhere: it has failed unless this run succeeds.
	Repeated bool
	// Goal is the time by which the answer meets its objective; Deadline that after which it
	// is useless.
	Goal, Deadline time.Time
	// ID names the call to its sender.
	ID string
	// SenderEnds is the time at which the process that waits for the answer ends; zero if that
	// is not known.
	SenderEnds time.Time
	// Objective is the latency objective of the route, for the first guess of its run time.
	Objective time.Duration
	// Decide receives the verdict of a call that waits. It is called once, from inside the
	// method that decides.
	Decide func(Verdict)

	queued       time.Time
	started      time.Time
	running      bool
	admittedLate bool
}

// Queue hands out the slots of one upstream.
type Queue struct {
	slots    int
	running  []*Call
	waiting  []*Call            // in the order of their arrival
	estimate map[string]float64 // mean run times by route, in nanoseconds
	recent   map[string]*recent // the last run times by route
	closed   bool
	// lateShare is the share of calls admitted as late that got a slot; lateWaiting counts
	// those that wait.
	lateShare   float64
	lateWaiting int
	prunedAt    time.Time
	// pace multiplies the estimates while running calls take longer than they say.
	pace float64
	// nestedRunning counts the nested calls that run, nestedLoad is the number of slots that
	// they need on average, decaying since nestedAt.
	nestedRunning int
	nestedLoad    float64
	nestedAt      time.Time
	ends          []time.Duration // scratch of wait
	// endAt is the time at which runs are given up because the process ends; zero before that is
	// known.
	endAt time.Time
}

// New returns a queue with the slots.
func New(slots int) *Queue {
	if slots <= 0 {
		slots = DefaultSlots
	}
	return &Queue{slots: slots, estimate: make(map[string]float64), recent: make(map[string]*recent), lateShare: 1, pace: 1}
}

// Resize sets the number of slots.
func (q *Queue) Resize(now time.Time, slots int) {
	if slots > 0 && slots != q.slots {
		q.slots = slots
		q.advance(now)
	}
}

// Load is the state of a queue as answers between daemons carry it.
type Load struct {
	Running, Slots, Queued int
	// Next is the expected time until a slot is free, Wait that until all that waits has started.
	Next, Wait time.Duration
}

// Load returns the present load.
func (q *Queue) Load(now time.Time) Load {
	q.measure(now)
	l := Load{Running: len(q.running) + q.kept(now), Slots: q.slots, Queued: len(q.waiting)}
	if l.Running >= q.slots || len(q.waiting) > 0 {
		l.Next, l.Wait = q.wait(now, nil), q.wait(now, q.waiting)
	}
	return l
}

// Offer decides about a new call. Without mayWait a call that cannot start at once is refused.
func (q *Queue) Offer(now time.Time, c *Call, mayWait bool) Verdict {
	q.measure(now)
	q.expel(now)
	if q.closed {
		return Closed
	}
	c.queued = now
	if q.tooLate(c, now) {
		return Overloaded
	}
	if c.Nested {
		q.countNested(now, c)
	}
	if q.free(now, c) && (len(q.waiting) == 0 || c.Nested) {
		// An idle upstream also takes what will probably be late: the estimate may be wrong, and
		// refusing everything would keep it from being corrected.
		if now.Add(q.expected(c)/2).After(c.Deadline) && len(q.running) > 0 {
			return Overloaded
		}
		// A call that looks for a free slot finds a faster upstream for the price of a question.
		if !mayWait && len(q.running) > 0 && now.Add(q.expected(c)).After(c.Goal) && now.Before(c.Goal) {
			return Busy
		}
		q.start(now, c)
		return Started
	}
	if !mayWait {
		return Busy
	}
	if !q.worthWaiting(now, c) {
		return Overloaded
	}
	q.waiting = append(q.waiting, c)
	if c.admittedLate {
		q.lateWaiting++
	}
	return Waiting
}

// worthWaiting reports whether the call will be answered in its time.
func (q *Queue) worthWaiting(now time.Time, c *Call) bool {
	run := q.expected(c)
	wait := q.wait(now, q.ahead(now, c))
	if q.tooLate(c, now.Add(wait)) {
		return false
	}
	if wait+run <= time.Duration(goalShare*float64(c.Goal.Sub(now))) {
		return true
	}
	if c.Nested {
		// Only other nested calls go before it.
		return wait+run <= c.Deadline.Sub(now)
	}
	// The call will be late: more calls than now wait go before it. As long as such calls get
	// no slot in the end, only one is let in at a time, to see when that changes.
	if q.lateShare < minLateShare && q.lateWaiting > 0 {
		return false
	}
	c.admittedLate = lateFactor*q.wait(now, q.aheadOfLate(now, c))+run <= c.Deadline.Sub(now)
	return c.admittedLate
}

// aheadOfLate returns the waiting calls that go before the call once it is late.
func (q *Queue) aheadOfLate(now time.Time, c *Call) []*Call {
	late := *c
	late.Goal = now
	return q.ahead(now, &late)
}

// ahead returns the waiting calls that go before the call.
func (q *Queue) ahead(now time.Time, c *Call) []*Call {
	var list []*Call
	for _, other := range q.waiting {
		if other != c && q.before(now, other, c) {
			list = append(list, other)
		}
	}
	return list
}

// wait estimates the time until a slot is free for a call behind the others: it plays the
// expected ends of what runs and what waits.
func (q *Queue) wait(now time.Time, ahead []*Call) time.Duration {
	free := q.slots - len(q.running)
	if free > len(ahead) {
		return 0
	}
	ends := q.ends[:0]
	for _, c := range q.running {
		run := q.expected(c)
		ends = append(ends, max(run-now.Sub(c.started), run/leastRest))
	}
	for range free {
		ends = append(ends, 0)
	}
	q.ends = ends
	slices.Sort(ends)
	for _, c := range ahead {
		// The first slot to be free takes the call; the ends stay sorted.
		end := ends[0] + q.expected(c)
		at, _ := slices.BinarySearch(ends[1:], end)
		copy(ends, ends[1:1+at])
		ends[at] = end
	}
	return ends[0]
}

// before reports whether a goes before b.
func (q *Queue) before(now time.Time, a, b *Call) bool {
	if a.Nested != b.Nested {
		return a.Nested
	}
	da, db := q.density(now, a), q.density(now, b)
	if da > db*sameDensity || db > da*sameDensity {
		return da > db
	}
	if a.Returning != b.Returning {
		return a.Returning
	}
	return a.queued.Before(b.queued)
}

// density returns what the call earns for each second of a slot.
func (q *Queue) density(now time.Time, c *Call) float64 {
	worth := 1 / float64(1+c.Priority)
	if q.late(now, c) {
		worth *= lateWorth
	}
	if c.Returning {
		worth *= returningWorth
	}
	return worth / max(q.expected(c), time.Millisecond).Seconds()
}

// late reports whether the call misses its objective even if it starts now.
func (q *Queue) late(now time.Time, c *Call) bool {
	return now.Add(q.expected(c)).After(c.Goal)
}

func (q *Queue) start(now time.Time, c *Call) {
	c.started, c.running = now, true
	q.running = append(q.running, c)
	if c.Nested {
		q.nestedRunning++
	}
}

// Done frees the slot of a started call. A completed call teaches the queue its run time, and
// one that was broken off that it takes longer than it had.
func (q *Queue) Done(now time.Time, c *Call, completed bool) {
	if !c.running {
		return
	}
	c.running = false
	if c.Nested {
		q.nestedRunning--
	}
	q.running = slices.DeleteFunc(q.running, func(o *Call) bool { return o == c })
	took := now.Sub(c.started)
	if known, ok := q.estimate[c.Route]; completed {
		q.learn(c.Route, took)
	} else if ok && float64(took) > known {
		q.learn(c.Route, time.Duration(min(float64(took), uncompletedFactor*known)))
	}
	q.advance(now)
}

// Cancel removes a waiting call whose caller has gone. It returns false if the call does not wait.
func (q *Queue) Cancel(now time.Time, c *Call) bool {
	i := slices.Index(q.waiting, c)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.left(c)
	q.advance(now)
	return true
}

// left counts a call that does not wait any more.
func (q *Queue) left(c *Call) {
	if c.admittedLate {
		q.lateWaiting--
	}
}

// settle counts a call that does not wait any more and whether it got a slot.
func (q *Queue) settle(c *Call, slot bool) {
	q.left(c)
	if !c.admittedLate {
		return
	}
	outcome := 0.0
	if slot {
		outcome = 1
	}
	q.lateShare += lateWeight * (outcome - q.lateShare)
}

// Close refuses all waiting and new calls. Started ones keep their slots.
func (q *Queue) Close() {
	q.closed = true
	q.refuseWaiting()
}

// Open takes new calls again.
func (q *Queue) Open() { q.closed = false }

func (q *Queue) refuseWaiting() {
	waiting := q.waiting
	q.waiting = nil
	for _, c := range waiting {
		q.left(c)
		c.Decide(Closed)
	}
}

// Advance refuses waiting calls that cannot be answered any more and fills free slots.
func (q *Queue) Advance(now time.Time) { q.advance(now) }

func (q *Queue) advance(now time.Time) {
	q.measure(now)
	q.expel(now)
	if now.Sub(q.prunedAt) >= pruneTime {
		q.prunedAt = now
		q.prune(now)
	}
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		best := 0
		for i := range q.waiting {
			if q.before(now, q.waiting[i], q.waiting[best]) {
				best = i
			}
		}
		c := q.waiting[best]
		if !q.free(now, c) {
			return
		}
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.settle(c, true)
		q.start(now, c)
		c.Decide(Started)
	}
}

// expel refuses the waiting calls that would end after their deadline even if they started now,
// and those that must not start any more.
func (q *Queue) expel(now time.Time) {
	var gone []*Call
	q.waiting = slices.DeleteFunc(q.waiting, func(c *Call) bool {
		hopeless := q.tooLate(c, now) || now.Add(q.expected(c)).After(c.Deadline)
		if hopeless {
			gone = append(gone, c)
		}
		return hopeless
	})
	for _, c := range gone {
		q.giveUp(c, q.tooLate(c, now))
	}
}

// prune refuses late calls that the others ahead of them leave no time, so that their callers
// need not wait until it has run out.
func (q *Queue) prune(now time.Time) {
	for i := 0; i < len(q.waiting); {
		c := q.waiting[i]
		if !q.late(now, c) || q.canBeAnswered(now, c) {
			i++
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.giveUp(c, q.tooLate(c, now.Add(q.wait(now, q.ahead(now, c)))))
	}
}

// giveUp refuses a call that has waited. One that must not start any more because a process
// ends says nothing about the slots that late calls get.
func (q *Queue) giveUp(c *Call, tooLate bool) {
	if tooLate {
		q.left(c)
	} else {
		q.settle(c, false)
	}
	c.Decide(Overloaded)
}

// canBeAnswered reports whether a waiting call gets a slot in time if no others come.
func (q *Queue) canBeAnswered(now time.Time, c *Call) bool {
	wait := q.wait(now, q.ahead(now, c))
	return wait+q.expected(c) <= c.Deadline.Sub(now) && !q.tooLate(c, now.Add(wait))
}

// NextTick returns the time of the next expulsion; ok is false when nothing waits.
func (q *Queue) NextTick() (next time.Time, ok bool) {
	for _, c := range q.waiting {
		at := c.Deadline.Add(-q.expected(c))
		if by, ok := q.startBy(c); ok && by.Before(at) {
			at = by
		}
		if !ok || at.Before(next) {
			next, ok = at, true
		}
	}
	return next, ok
}

// RetryAfter returns the time after which a refused caller should come back: as late as the
// objective allows, because a returning caller goes first, otherwise when the queue is empty.
func (q *Queue) RetryAfter(now time.Time, c *Call) time.Duration {
	wait := q.wait(now, q.waiting)
	if slack := time.Duration(goalShare*float64(c.Goal.Sub(now))) - q.expected(c); slack > minRetryAfter {
		wait = min(wait, slack)
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
