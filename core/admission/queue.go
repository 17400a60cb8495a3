// Package admission decides which requests a daemon passes to its own upstream: slots, a
// bounded queue ordered by deadline, early refusal, a cold-start ramp and rate limits.
//
// The types are state machines. They take the time as an argument, start no goroutine and are
// not safe for concurrent use.
package admission

import (
	"slices"
	"sort"
	"time"
)

// Class separates requests so that neither kind starves the other.
type Class uint8

// Classes of requests. The queue serves them in turn.
const (
	Repeatable Class = iota
	NonRepeatable
	classes
)

// String returns the label that metrics use for the class.
func (c Class) String() string {
	if c == NonRepeatable {
		return "non_repeatable"
	}
	return "repeatable"
}

// Verdict is the decision about a ticket.
type Verdict uint8

// Verdicts. Every verdict but Granted and Queued refuses the request before it has run.
const (
	// Queued is the verdict of a ticket that still waits.
	Queued Verdict = iota
	// Granted gives the request a slot until Release.
	Granted
	// Full refuses because the queue of the class is full.
	Full
	// Late refuses because the remaining time is shorter than the expected wait and service time.
	Late
	// Closed refuses because the queue takes no new work.
	Closed
)

// Defaults of Config.
const (
	DefaultSlots = 9
	DefaultRamp  = 5 * time.Second
)

// waitMargin multiplies the expected wait that a new request must be able to afford. Waits
// scatter: at twice the capacity and deadlines of 2 to 6 service times, a factor of 1 wastes 19%
// of the capacity on requests that are started too late, and 8 wastes 5 to 7%.
const waitMargin = 8

// Config sets the bounds of a Queue. A zero field takes the default.
type Config struct {
	// Slots is the number of requests that the upstream runs at once; default 9.
	Slots int
	// QueuePerClass bounds the waiting requests of each class; default the number of slots. A
	// third of it refuses 4% of the requests at 0.8 of the capacity, this 1%.
	QueuePerClass int
	// Ramp is the time in which the slots of a cold upstream grow from a tenth to all;
	// default 5 s, negative switches the ramp off.
	Ramp time.Duration
}

// Ticket is one request in the queue. The caller sets the exported fields before Submit.
type Ticket struct {
	Class Class
	// Deadline is the time after which an answer is useless.
	Deadline time.Time
	// Decide receives the verdict of a ticket that Submit left Queued. It is called once, from
	// inside the method that decides.
	Decide func(Verdict)

	verdict Verdict
	granted time.Time
}

// Load is the state of a queue as answers carry it.
type Load struct{ InFlight, Slots, Queued int }

// Queue hands out slots. Waiting requests are ordered by deadline within their class, and the
// classes are served in turn.
type Queue struct {
	cfg      Config
	inFlight int
	waiting  [classes][]*Ticket
	turn     Class
	service  [classes]estimate
	warmFrom time.Time
	closed   bool
}

// NewQueue returns a queue whose ramp starts at now.
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
	return &Queue{cfg: cfg, warmFrom: now}
}

// Restart begins the cold-start ramp again, after the upstream came back.
func (q *Queue) Restart(now time.Time) { q.warmFrom = now }

// Slots returns the number of slots in use at now: a tenth (at least one) of all when the
// upstream is cold, all after the ramp.
func (q *Queue) Slots(now time.Time) int {
	warm := now.Sub(q.warmFrom)
	if q.cfg.Ramp < 0 || warm >= q.cfg.Ramp {
		return q.cfg.Slots
	}
	share := 0.1 + 0.9*max(0, warm.Seconds())/q.cfg.Ramp.Seconds()
	return max(1, int(share*float64(q.cfg.Slots)))
}

// Load returns the requests in flight, the slots and the waiting requests.
func (q *Queue) Load(now time.Time) Load {
	return Load{InFlight: q.inFlight, Slots: q.Slots(now), Queued: len(q.waiting[0]) + len(q.waiting[1])}
}

// Occupied reports whether a new request could not start at once.
func (q *Queue) Occupied(now time.Time) bool {
	q.Advance(now)
	return q.inFlight > 0 && !q.free(now)
}

// free reports whether a slot is free that nobody waits for.
func (q *Queue) free(now time.Time) bool {
	return q.inFlight < q.Slots(now) && len(q.waiting[0])+len(q.waiting[1]) == 0
}

// Submit decides about a new request: Granted, Queued or a refusal.
func (q *Queue) Submit(now time.Time, t *Ticket) Verdict {
	q.Advance(now)
	t.verdict = q.verdict(now, t)
	switch t.verdict {
	case Granted:
		q.grant(now, t)
	case Queued:
		at := q.position(t)
		q.waiting[t.Class] = slices.Insert(q.waiting[t.Class], at, t)
	}
	return t.verdict
}

// verdict decides about a new ticket without changing the queue.
func (q *Queue) verdict(now time.Time, t *Ticket) Verdict {
	need := q.service[t.Class].need()
	slots := q.Slots(now)
	free := q.free(now)
	switch {
	case q.closed:
		return Closed
	case !t.Deadline.After(now):
		return Late
	// An idle upstream also takes a request that will probably be late: the estimate may be
	// wrong, and refusing every request would keep it from ever being corrected.
	case q.inFlight == 0 || free && t.Deadline.Sub(now) >= need:
		return Granted
	case free || t.Deadline.Sub(now) < waitMargin*q.wait(t, slots)+need:
		return Late
	case len(q.waiting[t.Class]) >= q.cfg.QueuePerClass:
		return Full
	}
	return Queued
}

// wait estimates the time until the ticket gets a slot: the requests of its class with an
// earlier deadline, and as many of the other class, because the classes are served in turn.
func (q *Queue) wait(t *Ticket, slots int) time.Duration {
	ahead := q.position(t)
	other := min(len(q.waiting[1-t.Class]), ahead+1)
	own := float64(ahead+1) * q.service[t.Class].mean
	return time.Duration((own + float64(other)*q.service[1-t.Class].mean) / float64(slots))
}

// position returns the index of the first waiting ticket of the class with a later deadline.
func (q *Queue) position(t *Ticket) int {
	queue := q.waiting[t.Class]
	return sort.Search(len(queue), func(i int) bool { return queue[i].Deadline.After(t.Deadline) })
}

func (q *Queue) grant(now time.Time, t *Ticket) {
	q.inFlight++
	t.verdict, t.granted = Granted, now
}

// Release returns the slot of a granted ticket. A completed request teaches the queue its
// service time; a cancelled or failed one does not.
func (q *Queue) Release(now time.Time, t *Ticket, completed bool) {
	if t.verdict != Granted || t.granted.IsZero() {
		return
	}
	if completed {
		q.service[t.Class].add(float64(now.Sub(t.granted)))
	}
	t.granted = time.Time{}
	q.inFlight--
	q.Advance(now)
}

// Cancel removes a waiting ticket, whose caller has gone. It returns false when the ticket does
// not wait.
func (q *Queue) Cancel(t *Ticket) bool {
	at := slices.Index(q.waiting[t.Class], t)
	if at < 0 {
		return false
	}
	q.waiting[t.Class] = slices.Delete(q.waiting[t.Class], at, at+1)
	t.verdict = Closed
	return true
}

// Close refuses all waiting and new requests. Granted ones keep their slots.
func (q *Queue) Close() {
	q.closed = true
	for class, queue := range q.waiting {
		q.waiting[class] = nil
		for _, t := range queue {
			q.decide(t, Closed)
		}
	}
}

// Advance expires waiting requests and hands free slots to the next ones.
func (q *Queue) Advance(now time.Time) {
	q.expire(now)
	slots := q.Slots(now)
	for q.inFlight < slots {
		t := q.next()
		if t == nil {
			return
		}
		if t.Deadline.Sub(now) < q.service[t.Class].need() && q.inFlight > 0 {
			q.decide(t, Late)
			continue
		}
		q.grant(now, t)
		q.decide(t, Granted)
	}
}

// NextTick returns the time of the next expiry or ramp step, when Advance has something to do
// without a Submit or Release; ok is false when nothing waits.
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

func (q *Queue) expire(now time.Time) {
	for class := range q.waiting {
		for len(q.waiting[class]) > 0 && !q.waiting[class][0].Deadline.After(now) {
			q.decide(q.pop(Class(class)), Late)
		}
	}
}

// next removes the next ticket in turn, nil when nothing waits.
func (q *Queue) next() *Ticket {
	for range q.waiting {
		q.turn = 1 - q.turn
		if len(q.waiting[q.turn]) > 0 {
			return q.pop(q.turn)
		}
	}
	return nil
}

func (q *Queue) pop(class Class) *Ticket {
	t := q.waiting[class][0]
	q.waiting[class] = slices.Delete(q.waiting[class], 0, 1)
	return t
}

func (q *Queue) decide(t *Ticket, v Verdict) {
	t.verdict = v
	if t.Decide != nil {
		t.Decide(v)
	}
}

// estimate is an exponentially weighted moving average of service times and of their mean
// deviation, in nanoseconds.
type estimate struct{ mean, deviation float64 }

// estimateWeight is the weight of one sample: about the last 16 requests count.
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

// need returns the service time that most requests keep: the mean and twice the deviation. With
// the mean alone, half of the capacity goes to late requests when deadlines are tight.
func (e *estimate) need() time.Duration { return time.Duration(e.mean + 2*e.deviation) }
