// Package intake implements admission control in front of an upstream: it decides which requests
// the daemon forwards to its upstream, in which order, and when it refuses one.
//
// An upstream has a fixed number of slots, each of which executes one request at a time; one such
// execution is called a run. The queue never starts more runs than there are slots, because some
// upstreams send no response to requests beyond their capacity. Nested calls, for which a run of
// another upstream is waiting, go first, because that run occupies a slot there; they may yield to more
// urgent calls. The other calls
// are ordered by value density, the value of a response divided by the slot time that it needs:
// high priority before low, short before long, calls that can still meet their latency objective
// before late ones, and returning callers before new ones. While the rate that a cold upstream takes is
// what is short, the order is that of the value alone. A request that cannot be answered
// before its deadline is refused as soon as that is known, so that its caller can try another
// instance or retry later.
//
// Queue is a state machine: it gets the current time as an argument, starts no goroutine and is
// not safe for concurrent use.
package intake

import (
	"slices"
	"time"

	"mangoshed.example/mangoshed/core/trial"
)

// Parameters of admission and ordering.
const (
	// DefaultSlots is the number of slots until the platform's instance list specifies it for the
	// upstream.
	DefaultSlots = 4
	// lateFactor multiplies the expected wait of a request that will miss its latency objective,
	// because requests that can meet theirs overtake it. A factor of 2 allows for as many
	// overtaking requests as there are ahead of it already.
	lateFactor = 2
	// goalShare is the part of the time to the latency objective that the expected wait and run
	// time may use when a request is accepted. The rest is a margin for the variation of run
	// times and for the transfer of the response.
	goalShare = 0.7
	// lateOutcomeWeight is the weight of one outcome in lateShare, the moving average of the share
	// of late calls that got a slot. While lateShare is below minLateShare, calls that will be
	// late are admitted only one at a time.
	lateOutcomeWeight = 1.0 / 16
	minLateShare      = 0.6
	// minRetryAfter is the shortest delay that a refusal asks for: about one run of a short
	// request.
	minRetryAfter = 30 * time.Millisecond
	// maxRetryAfter bounds the delay, because a longer expected wait is too uncertain to report.
	maxRetryAfter = 2 * time.Second
	// defaultRun is the expected run time of a route that has neither a recorded run time nor a
	// latency objective.
	defaultRun = 100 * time.Millisecond
	// estimateWeight is the weight of one sample in the moving average: about the last 12 runs
	// count.
	estimateWeight = 1.0 / 12
	// pruneInterval is the time between two checks for late calls that will not get a slot before
	// their deadline.
	pruneInterval = 20 * time.Millisecond
	// remainingDivisor: a running call is assumed to need at least 1/remainingDivisor of its
	// expected run time to complete, also if it is overdue.
	remainingDivisor = 6
	// lateValue is the value of a late response relative to one within the latency objective.
	lateValue = 0.4
	// returningValue multiplies the value of calls that were refused before, so that they precede
	// new calls of the same kind: a second refusal is worse than a first.
	returningValue = 1.4
	// densityTolerance is the ratio of value densities up to which two calls count as equal,
	// because run times are estimates.
	densityTolerance = 1.15
	// A running call counts as overdue once it has run for overdueFactor times its expected run
	// time; run times scatter by about half of their mean. slowdownSamples is the number of
	// on-time runs that are averaged with the overdue calls.
	overdueFactor   = 1.5
	slowdownSamples = 9
	// nestedLoadWindow is the time constant of the moving average of the nested load. Slots are
	// reserved for nested calls once that load reaches minNestedLoad slots; at most
	// 1/nestedSlotDivisor of all slots is reserved.
	nestedLoadWindow  = time.Second
	minNestedLoad     = 0.2
	nestedSlotDivisor = 3
	// incompleteRunFactor bounds by how much a call that ended without a response can raise the
	// run time estimate: the run may have been slow, or its response may have been lost.
	incompleteRunFactor = 2
	// objectiveDivisor: the first guess of a run time is the latency objective divided by it.
	objectiveDivisor = 4
)

// Verdict is the decision about a call.
type Verdict uint8

const (
	// Waiting means that the call is in the queue.
	Waiting Verdict = iota
	// Started means that the call holds a slot until Done.
	Started
	// Busy means that the call is refused because it cannot start at once and may not wait here.
	Busy
	// Overloaded means that the call is refused because it cannot be answered before its deadline.
	Overloaded
	// Closed means that the call is refused because the upstream accepts no new work.
	Closed
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"waiting", "started", "busy", "overloaded", "closed"}[v]
}

// Call is one request. The caller sets the exported fields before Offer.
type Call struct {
	// Route is the key of the run time estimate.
	Route string
	// Priority is 0 for the most urgent calls; greater values have less precedence.
	Priority int
	// Returning is true if the caller was refused before.
	Returning bool
	// Nested is true if a run of another upstream is waiting for the response.
	Nested bool
	// YieldsTo is the priority below which other calls precede a nested call; 0 for none.
	YieldsTo int
	// Repeated is true if an earlier attempt may have run elsewhere. Such a call fails unless
	// this run succeeds.
	Repeated bool
	// Goal is the time at which the response misses the latency objective, Deadline the time at
	// which it becomes useless.
	Goal, Deadline time.Time
	// ID is the sender's identifier of the call.
	ID string
	// SenderEnds is the time at which the process that waits for the response exits; zero if
	// unknown.
	SenderEnds time.Time
	// Objective is the latency objective of the route. It is used for the first guess of the run
	// time.
	Objective time.Duration
	// AwaitingBody is set while the body of a started call is still arriving, or the call waits with it for
	// the rate of a cold upstream. The age of the call then says nothing about the upstream.
	AwaitingBody bool
	// Decide is the callback for the verdict on a waiting call. It is called once, synchronously,
	// from the Queue method that makes the decision.
	Decide func(Verdict)

	// pressing is set if the call may wait here because no other instance has room for it.
	pressing     bool
	queued       time.Time
	started      time.Time
	running      bool
	admittedLate bool
	// trial is set if the call tests the estimate of its route; its own expected run time is the first guess.
	trial bool
	// work is how long the call had run at workAt, in time at the usual pace; see SetHostPace.
	work   time.Duration
	workAt time.Time
}

// Queue assigns the slots of one upstream to calls.
type Queue struct {
	slots      int
	running    []*Call
	waiting    []*Call                 // in order of arrival
	estimate   map[string]float64      // moving average of run times by route, in nanoseconds
	trials     map[string]*trial.Pacer // of the estimates, by route
	runHistory map[string]*runHistory  // recent run times by route
	closed     bool
	// lateShare is the moving average of the share of calls admitted as late that got a slot;
	// lateWaiting is the number of such calls in the queue.
	lateShare   float64
	lateWaiting int
	prunedAt    time.Time
	// slowdown multiplies the estimates while running calls exceed their expected run times.
	slowdown float64
	// nestedRunning is the number of running nested calls. nestedLoad is the average number of
	// slots that nested calls need, as of nestedAt; it decays from then on.
	nestedRunning int
	nestedLoad    float64
	nestedAt      time.Time
	// nestedYieldsTo is that of the last nested call.
	nestedYieldsTo int
	ends           []time.Duration // buffer reused by wait
	// abortAt is the time at which running calls are aborted because the process exits; zero
	// while no shutdown is planned.
	abortAt time.Time
	// pace is the limit that the upstream has named. pacedUntil is the time at which a waiting call may
	// start by it, and by the rate of a cold upstream, while slots are free; zero if neither keeps a call
	// waiting.
	pace       pace
	pacedUntil time.Time
	// hostPace is the last pace of the upstream's host, hostPaceNow its factor as of the last event.
	hostPace    HostPace
	hostPaceNow float64
	// cold limits the calls while the upstream is cold. byValue is set while that rate is what is short.
	cold    cold
	byValue bool
}

// New returns an open queue with a number of slots, or with DefaultSlots if slots is not
// positive.
func New(slots int) *Queue {
	if slots <= 0 {
		slots = DefaultSlots
	}
	return &Queue{slots: slots, estimate: make(map[string]float64), trials: make(map[string]*trial.Pacer), runHistory: make(map[string]*runHistory), lateShare: 1, slowdown: 1, hostPaceNow: 1}
}

// Resize sets the number of slots; values that are not positive are ignored.
func (q *Queue) Resize(now time.Time, slots int) {
	if slots > 0 && slots != q.slots {
		q.slots = slots
		q.advance(now)
	}
}

// SetLimit sets the number of calls per second that the upstream takes from all callers together. It
// reports whether there was no limit before.
func (q *Queue) SetLimit(now time.Time, perSecond float64) bool {
	began := q.pace.set(now, perSecond)
	q.advance(now)
	return began
}

// LiftLimit removes the limit in steps, since the upstream no longer names one. It reports whether it
// named one until now.
func (q *Queue) LiftLimit(now time.Time) bool {
	lifted := q.pace.lift(now)
	if lifted {
		q.advance(now)
	}
	return lifted
}

// ResetLimit removes the limit at once, because another process is at the upstream's address.
func (q *Queue) ResetLimit(now time.Time) {
	q.pace.reset()
	q.advance(now)
}

// Limit returns the number of calls per second that the queue starts at most, 0 if there is no limit.
func (q *Queue) Limit(now time.Time) float64 { return q.pace.current(now) }

// Charge counts a request to the upstream that was not admitted as a call, such as a call that is sent
// again on another connection. It returns false, and counts nothing, if the upstream is cold and its rate
// allows no further request.
func (q *Queue) Charge(now time.Time) bool {
	if q.ShortOfColdRate(now) {
		return false
	}
	q.pace.take(now)
	q.cold.take(now)
	return true
}

// Load is the load of an upstream as daemons report it to each other in responses.
type Load struct {
	Running, Slots, Queued int
	// Next is the expected time until a slot is free, Wait the expected time until all waiting
	// calls have started.
	Next, Wait time.Duration
}

// Load returns the current load. Slots reserved for nested calls, and those for which the upstream's
// limit, or the rate while it is cold, allows no call now, count as running.
func (q *Queue) Load(now time.Time) Load {
	q.updateSlowdown(now)
	l := Load{Running: len(q.running) + q.reservedSlots(now), Slots: q.slots, Queued: len(q.waiting)}
	if available := min(q.pace.available(now), q.cold.available(now)); available < q.slots-l.Running {
		l.Running = q.slots - available
	}
	if l.Running >= q.slots || len(q.waiting) > 0 {
		l.Next, l.Wait = q.wait(now, nil), q.wait(now, q.waiting)
	}
	return l
}

// Offer decides about a new call. If mayWait is false, a call that cannot start at once is
// refused.
func (q *Queue) Offer(now time.Time, c *Call, mayWait bool) Verdict {
	q.updateSlowdown(now)
	q.refuseExpired(now)
	if q.closed {
		return Closed
	}
	q.cold.arrive(now)
	if !q.pacedUntil.IsZero() && !now.Before(q.pacedUntil) {
		q.advance(now) // calls that wait for a rate go first
	}
	q.updateOrder(now)
	c.queued, c.pressing = now, mayWait || c.Nested
	c.trial = false
	if startable := q.hasFreeSlot(now, c) && (len(q.waiting) == 0 || c.Nested); startable || mayWait {
		c.trial = q.takeTrial(now, c)
	}
	if q.tooLateToStart(c, now) {
		return Overloaded
	}
	if c.Nested {
		q.recordNestedArrival(now, c)
	}
	if q.hasFreeSlot(now, c) && (len(q.waiting) == 0 || c.Nested) {
		// An idle upstream starts the call even if it will probably be late: the estimate may be
		// wrong, and refusing everything would keep it from being corrected.
		if now.Add(q.expected(c)/2).After(c.Deadline) && len(q.running) > 0 {
			return Overloaded
		}
		// The sender of a call that may not wait can find a faster upstream at the cost of one
		// more round trip.
		if !mayWait && len(q.running) > 0 && now.Add(q.expected(c)).After(c.Goal) && now.Before(c.Goal) {
			return Busy
		}
		q.start(now, c)
		return Started
	}
	if !mayWait {
		return Busy
	}
	if !q.admitToQueue(now, c) {
		return Overloaded
	}
	q.waiting = append(q.waiting, c)
	if c.admittedLate {
		q.lateWaiting++
	}
	q.updatePacedUntil(now)
	return Waiting
}

func (q *Queue) start(now time.Time, c *Call) {
	c.started, c.running, c.work, c.workAt = now, true, 0, time.Time{}
	q.running = append(q.running, c)
	q.pace.take(now)
	q.cold.take(now)
	if c.Nested {
		q.nestedRunning++
	}
}

// Done frees the slot of a started call and returns its run time at the usual pace of the upstream's
// host. A completed call updates the estimate of its route's run time with it. A call that was aborted
// updates it only if it had already run for longer than the estimate.
func (q *Queue) Done(now time.Time, c *Call, completed bool) time.Duration {
	if !c.running {
		return 0
	}
	q.release(c)
	work := q.workDone(now, c)
	if known, ok := q.estimate[c.Route]; completed {
		q.recordRun(c, work, now.Sub(c.started))
		q.trialsOf(c.Route).Confirm(now)
	} else if ok && float64(work) > known {
		q.recordRun(c, time.Duration(min(float64(work), incompleteRunFactor*known)), now.Sub(c.started))
	}
	q.advance(now)
	return work
}

// RestartRun makes the run time of a started call that has not been sent yet begin now.
func (q *Queue) RestartRun(now time.Time, c *Call) {
	c.started, c.work, c.workAt = now, 0, time.Time{}
}

// Withdraw frees the slot of a started call that was not passed on to the upstream.
func (q *Queue) Withdraw(now time.Time, c *Call) {
	if c.running {
		q.release(c)
		q.advance(now)
	}
}

// release frees the slot of a started call.
func (q *Queue) release(c *Call) {
	c.running = false
	if c.Nested {
		q.nestedRunning--
	}
	q.running = slices.DeleteFunc(q.running, func(o *Call) bool { return o == c })
}

// Cancel removes a waiting call whose caller no longer needs the response. It returns false if
// the call is not in the queue.
func (q *Queue) Cancel(now time.Time, c *Call) bool {
	i := slices.Index(q.waiting, c)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.uncountLate(c)
	q.advance(now)
	return true
}

// uncountLate removes a call that no longer waits from the number of waiting late calls.
func (q *Queue) uncountLate(c *Call) {
	if c.admittedLate {
		q.lateWaiting--
	}
}

// recordLateOutcome updates lateShare when a call admitted as late stops waiting; slot says
// whether it got a slot.
func (q *Queue) recordLateOutcome(c *Call, slot bool) {
	q.uncountLate(c)
	if !c.admittedLate {
		return
	}
	outcome := 0.0
	if slot {
		outcome = 1
	}
	q.lateShare += lateOutcomeWeight * (outcome - q.lateShare)
}

// Close refuses all waiting and new calls. Running calls keep their slots.
func (q *Queue) Close() {
	q.closed = true
	q.refuseWaiting()
}

// Open accepts new calls again after Close.
func (q *Queue) Open() { q.closed = false }

func (q *Queue) refuseWaiting() {
	waiting := q.waiting
	q.waiting = nil
	for _, c := range waiting {
		q.uncountLate(c)
		c.Decide(Closed)
	}
}

// Advance refuses waiting calls that can no longer be answered in time and starts calls in free
// slots.
func (q *Queue) Advance(now time.Time) { q.advance(now) }

func (q *Queue) advance(now time.Time) {
	defer q.updatePacedUntil(now)
	q.updateSlowdown(now)
	q.refuseExpired(now)
	if now.Sub(q.prunedAt) >= pruneInterval {
		q.prunedAt = now
		q.prune(now)
	}
	q.updateOrder(now)
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		best := 0
		for i := range q.waiting {
			if q.before(now, q.waiting[i], q.waiting[best]) {
				best = i
			}
		}
		c := q.waiting[best]
		if !q.hasFreeSlot(now, c) {
			return
		}
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.recordLateOutcome(c, true)
		q.start(now, c)
		c.Decide(Started)
	}
}

// updatePacedUntil sets pacedUntil.
func (q *Queue) updatePacedUntil(now time.Time) {
	q.pacedUntil = time.Time{}
	if len(q.waiting) == 0 || len(q.running) >= q.slots {
		return
	}
	wait := q.cold.wait(now, 1)
	if !q.pace.allows(now, true) {
		wait = max(wait, q.pace.wait(now, 1))
	}
	if wait > 0 {
		q.pacedUntil = now.Add(wait)
	}
}

// refuseExpired refuses the waiting calls that would complete after their deadline even if they
// started now, and those that are too late to start before a shutdown.
func (q *Queue) refuseExpired(now time.Time) {
	var refused []*Call
	q.waiting = slices.DeleteFunc(q.waiting, func(c *Call) bool {
		expired := q.tooLateToStart(c, now) || now.Add(q.expected(c)).After(c.Deadline)
		if expired {
			refused = append(refused, c)
		}
		return expired
	})
	for _, c := range refused {
		q.refuse(c, q.tooLateToStart(c, now))
	}
}

// prune refuses late calls that will not get a slot before their deadline because of the calls
// ahead of them, so that their callers need not wait until the deadline.
func (q *Queue) prune(now time.Time) {
	for i := 0; i < len(q.waiting); {
		c := q.waiting[i]
		if !q.late(now, c) || q.canFinishInTime(now, c) {
			i++
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.refuse(c, q.tooLateToStart(c, now.Add(q.wait(now, q.ahead(now, c)))))
	}
}

// refuse refuses a call that has left the queue. A call that is too late to start before a
// shutdown is not counted in lateShare: its refusal is unrelated to how often late calls get a
// slot.
func (q *Queue) refuse(c *Call, tooLateToStart bool) {
	if tooLateToStart {
		q.uncountLate(c)
	} else {
		q.recordLateOutcome(c, false)
	}
	c.Decide(Overloaded)
}

// canFinishInTime reports whether a waiting call gets a slot in time if no other calls arrive.
func (q *Queue) canFinishInTime(now time.Time, c *Call) bool {
	wait := q.wait(now, q.ahead(now, c))
	return wait+q.expected(c) <= c.Deadline.Sub(now) && !q.tooLateToStart(c, now.Add(wait))
}

// NextTick returns the time of the next refusal by refuseExpired, or at which the upstream's limit, or
// the rate while it is cold, allows another call. Advance has to be called then; ok is false if no call waits.
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
	if ok && !q.pacedUntil.IsZero() && q.pacedUntil.Before(next) {
		next = q.pacedUntil
	}
	return next, ok
}

// RetryAfter returns the delay after which the caller of a refused call should retry: as late as
// the latency objective allows, because returning callers have precedence, or until the queue is
// expected to be empty if that is earlier.
func (q *Queue) RetryAfter(now time.Time, c *Call) time.Duration {
	wait := q.wait(now, q.waiting)
	if slack := time.Duration(goalShare*float64(c.Goal.Sub(now))) - q.expected(c); slack > minRetryAfter {
		wait = min(wait, slack)
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
