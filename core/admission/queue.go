// Package admission decides which requests a daemon forwards to its own upstream. It limits the
// requests in flight to a number of slots, which it ramps up after a cold start, and queues
// further requests in a bounded queue ordered by deadline. It refuses requests early that would
// miss their deadline, and enforces rate limits.
//
// The types are state machines. They take the time as an argument, start no goroutine and are
// not safe for concurrent use.
package admission

import (
	"slices"
	"sort"
	"time"
)

// Class separates requests that may be retried from those that may not, so that neither kind
// starves the other.
type Class uint8

// Classes of requests. The queue serves them alternately.
const (
	Repeatable Class = iota
	NonRepeatable
	classCount
)

// String returns the metric label of the class.
func (c Class) String() string {
	if c == NonRepeatable {
		return "non_repeatable"
	}
	return "repeatable"
}

// Verdict is the admission decision about a ticket.
type Verdict uint8

// Verdicts. All except Granted and Queued refuse the request before it has run.
const (
	// Queued means that the request waits for a slot.
	Queued Verdict = iota
	// Granted means that the request holds a slot until Release.
	Granted
	// Full refuses the request because the queue of its class is full.
	Full
	// Late refuses the request because its deadline has passed, or because the time until then is
	// shorter than the expected queueing and service time.
	Late
	// Closed refuses the request because the queue is closed, or because it was cancelled.
	Closed
)

// Defaults of Config.
const (
	DefaultSlots = 9
	DefaultRamp  = 5 * time.Second
)

// waitMargin is the factor by which the expected queueing time is multiplied before it is compared
// with the time until the deadline, because queueing times vary widely. At a load of twice the
// capacity and with deadlines of 2 to 6 service times, a factor of 1 wastes 19% of the capacity on
// requests that start too late; a factor of 8 wastes 5 to 7%.
const waitMargin = 8

// Config configures a Queue. A zero field selects the default.
type Config struct {
	// Slots is the maximum number of requests in flight to the upstream; default 9.
	Slots int
	// QueuePerClass is the maximum number of queued requests of each class; default the number of
	// slots. At 0.8 of the capacity, the default refuses 1% of the requests, a third of it 4%.
	QueuePerClass int
	// Ramp is the time in which the available slots of a cold upstream grow from a tenth of Slots
	// to all of them; default 5 s. A negative value disables the ramp.
	Ramp time.Duration
}

// Ticket represents one request. The caller sets the exported fields before Submit.
type Ticket struct {
	Class Class
	// Deadline is the time after which the caller has no use for a response.
	Deadline time.Time
	// OnVerdict, if not nil, is called once with the final verdict if Submit returned Queued, unless
	// the ticket is cancelled. The Queue method that reaches the verdict calls it synchronously.
	OnVerdict func(Verdict)

	verdict   Verdict
	grantedAt time.Time
}

// Load is the load of a queue, as reported in responses.
type Load struct{ InFlight, Slots, Queued int }

// Queue grants slots to requests. Queued requests are ordered by deadline within their class, and
// the classes are served alternately.
type Queue struct {
	cfg         Config
	inFlight    int
	waiting     [classCount][]*Ticket
	lastServed  Class
	serviceTime [classCount]estimate
	rampStart   time.Time
	closed      bool
}

// NewQueue returns a queue whose cold-start ramp begins at now.
func NewQueue(cfg Config, now time.Time) *Queue {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.QueuePerClass <= 0 {
		cfg.QueuePerClass = cfg.Slots
	}
	if cfg.Ramp == 0 {
		cfg.Ramp = DefaultRamp
	}
	return &Queue{cfg: cfg, rampStart: now}
}

// RestartRamp begins the cold-start ramp again, after the upstream has recovered.
func (q *Queue) RestartRamp(now time.Time) { q.rampStart = now }

// Slots returns the number of slots available at now: a tenth of all slots (at least one) at the
// beginning of the ramp, and all after it.
func (q *Queue) Slots(now time.Time) int {
	elapsed := now.Sub(q.rampStart)
	if q.cfg.Ramp < 0 || elapsed >= q.cfg.Ramp {
		return q.cfg.Slots
	}
	fraction := 0.1 + 0.9*max(0, elapsed.Seconds())/q.cfg.Ramp.Seconds()
	return max(1, int(fraction*float64(q.cfg.Slots)))
}

// Load returns the number of requests in flight, available slots and queued requests.
func (q *Queue) Load(now time.Time) Load {
	return Load{InFlight: q.inFlight, Slots: q.Slots(now), Queued: len(q.waiting[0]) + len(q.waiting[1])}
}

// Occupied reports whether a new request would have to wait for a slot.
func (q *Queue) Occupied(now time.Time) bool {
	q.Advance(now)
	return q.inFlight > 0 && !q.hasFreeSlot(now)
}

// hasFreeSlot reports whether a slot is free and no request is queued for it.
func (q *Queue) hasFreeSlot(now time.Time) bool {
	return q.inFlight < q.Slots(now) && len(q.waiting[0])+len(q.waiting[1]) == 0
}

// Submit grants a slot to a new request, queues it or refuses it.
func (q *Queue) Submit(now time.Time, t *Ticket) Verdict {
	q.Advance(now)
	t.verdict = q.verdict(now, t)
	switch t.verdict {
	case Granted:
		q.grant(now, t)
	case Queued:
		index := q.insertIndex(t)
		q.waiting[t.Class] = slices.Insert(q.waiting[t.Class], index, t)
	}
	return t.verdict
}

// verdict returns the verdict on a new ticket without changing the queue.
func (q *Queue) verdict(now time.Time, t *Ticket) Verdict {
	required := q.serviceTime[t.Class].likelyMax()
	slots := q.Slots(now)
	slotFree := q.hasFreeSlot(now)
	switch {
	case q.closed:
		return Closed
	case !t.Deadline.After(now):
		return Late
	// An idle upstream also receives a request that will probably miss its deadline. The estimate
	// may be wrong, and if every request were refused, it would never be corrected.
	case q.inFlight == 0 || slotFree && t.Deadline.Sub(now) >= required:
		return Granted
	case slotFree || t.Deadline.Sub(now) < waitMargin*q.expectedWait(t, slots)+required:
		return Late
	case len(q.waiting[t.Class]) >= q.cfg.QueuePerClass:
		return Full
	}
	return Queued
}

// expectedWait estimates the time until the ticket is granted a slot. It counts the requests of its
// class with an earlier deadline, and as many of the other class, because the classes alternate.
func (q *Queue) expectedWait(t *Ticket, slots int) time.Duration {
	aheadCount := q.insertIndex(t)
	otherCount := min(len(q.waiting[1-t.Class]), aheadCount+1)
	ownWork := float64(aheadCount+1) * q.serviceTime[t.Class].mean
	return time.Duration((ownWork + float64(otherCount)*q.serviceTime[1-t.Class].mean) / float64(slots))
}

// insertIndex returns the index in the queue of its class at which the ticket is to be inserted: that
// of the first ticket with a later deadline.
func (q *Queue) insertIndex(t *Ticket) int {
	queue := q.waiting[t.Class]
	return sort.Search(len(queue), func(i int) bool { return queue[i].Deadline.After(t.Deadline) })
}

func (q *Queue) grant(now time.Time, t *Ticket) {
	q.inFlight++
	t.verdict, t.grantedAt = Granted, now
}

// Release frees the slot of a granted ticket. The duration of a completed request updates the
// estimate of the service time; that of a cancelled or failed one does not.
func (q *Queue) Release(now time.Time, t *Ticket, completed bool) {
	if t.verdict != Granted || t.grantedAt.IsZero() {
		return
	}
	if completed {
		q.serviceTime[t.Class].add(float64(now.Sub(t.grantedAt)))
	}
	t.grantedAt = time.Time{}
	q.inFlight--
	q.Advance(now)
}

// Cancel removes a ticket from the queue, for example because its caller has disconnected. It
// returns false if the ticket is not queued.
func (q *Queue) Cancel(t *Ticket) bool {
	index := slices.Index(q.waiting[t.Class], t)
	if index < 0 {
		return false
	}
	q.waiting[t.Class] = slices.Delete(q.waiting[t.Class], index, index+1)
	t.verdict = Closed
	return true
}

// Close refuses all queued and new requests. Granted tickets keep their slots.
func (q *Queue) Close() {
	q.closed = true
	for class, queue := range q.waiting {
		q.waiting[class] = nil
		for _, t := range queue {
			q.decide(t, Closed)
		}
	}
}

// Advance refuses queued requests that would miss their deadline and grants free slots to others.
func (q *Queue) Advance(now time.Time) {
	q.expire(now)
	slots := q.Slots(now)
	for q.inFlight < slots {
		t := q.dequeue()
		if t == nil {
			return
		}
		if t.Deadline.Sub(now) < q.serviceTime[t.Class].likelyMax() && q.inFlight > 0 {
			q.decide(t, Late)
			continue
		}
		q.grant(now, t)
		q.decide(t, Granted)
	}
}

// NextTick returns the time at which Advance is to be called if no Submit or Release calls it first:
// the next expiry of a queued request or the next step of the ramp. ok is false if no request is
// queued.
func (q *Queue) NextTick(now time.Time) (next time.Time, ok bool) {
	for _, queue := range q.waiting {
		if len(queue) > 0 && (!ok || queue[0].Deadline.Before(next)) {
			next, ok = queue[0].Deadline, true
		}
	}
	if step := now.Add(q.cfg.Ramp / time.Duration(q.cfg.Slots)); ok && q.Slots(now) < q.cfg.Slots && step.Before(next) {
		next = step
	}
	return next, ok
}

// expire refuses the queued requests whose deadline has passed.
func (q *Queue) expire(now time.Time) {
	for class := range q.waiting {
		for len(q.waiting[class]) > 0 && !q.waiting[class][0].Deadline.After(now) {
			q.decide(q.pop(Class(class)), Late)
		}
	}
}

// dequeue removes and returns the next ticket, alternating between the classes. It returns nil if no
// request is queued.
func (q *Queue) dequeue() *Ticket {
	for range q.waiting {
		q.lastServed = 1 - q.lastServed
		if len(q.waiting[q.lastServed]) > 0 {
			return q.pop(q.lastServed)
		}
	}
	return nil
}

func (q *Queue) pop(class Class) *Ticket {
	t := q.waiting[class][0]
	q.waiting[class] = slices.Delete(q.waiting[class], 0, 1)
	return t
}

// decide sets the final verdict of a ticket that was queued and reports it to the submitter.
func (q *Queue) decide(t *Ticket, v Verdict) {
	t.verdict = v
	if t.OnVerdict != nil {
		t.OnVerdict(v)
	}
}

// estimate holds exponentially weighted moving averages of the service time and of its mean
// deviation, in nanoseconds.
type estimate struct{ mean, deviation float64 }

// estimateWeight is the weight of one sample, so that about the last 16 requests count.
const estimateWeight = 1.0 / 16

func (e *estimate) add(sample float64) {
	if e.mean == 0 {
		e.mean, e.deviation = sample, sample/2
		return
	}
	diff := sample - e.mean
	e.mean += estimateWeight * diff
	e.deviation += estimateWeight * (max(diff, -diff) - e.deviation)
}

// likelyMax returns a service time that most requests do not exceed: the mean plus twice the mean
// deviation. With the mean alone, half of the capacity is spent on requests that miss their deadline
// when deadlines are tight.
func (e *estimate) likelyMax() time.Duration { return time.Duration(e.mean + 2*e.deviation) }
