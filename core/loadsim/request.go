package loadsim

import (
	"time"

	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/retry"
)

// request is one request at the daemon that takes it.
type request struct {
	kind           *Kind
	node           *node
	goal, deadline time.Time
	returning      bool
	parent         *run // the run that makes the request; nil for that of a caller
	unanswered     bool // counts in the parent's number
	ended          func(outcome)

	attempts   int // that reached an upstream
	mayHaveRun bool
	refusals   int
	queueFull  int
	excluded   []model.InstanceID
}

// outcome is the final outcome of a request.
type outcome struct {
	answered, notRun bool
	retryAfter       time.Duration
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	answered bool
	// arrived is set if the request reached the upstream, ran if it may have run there.
	arrived, ran bool
	// callFailed is set if the run failed because of one of its calls.
	callFailed bool
	retryAfter time.Duration
	ranFor     time.Duration
	// calls are the mean calls of the route's runs at the instance.
	calls retry.Calls
}

// run is a run at an upstream.
type run struct {
	unanswered int // calls without an answer after a failed attempt
	callFailed bool
	pending    int // calls that have not ended
	made       retry.Calls
}

// send sends a request for the first time.
func (s *sim) send(r *request) {
	r.node.budget.RecordRequest(s.now, retry.Request{Service: r.kind.Service, Nested: r.parent != nil, Calls: r.node.calls.Of(r.kind.Name)})
	s.attempt(r)
}

// attempt sends a request to an instance.
func (s *sim) attempt(r *request) {
	c, ok := r.node.placer.Choose(s.now, placement.Query{
		Service: r.kind.Service, Route: r.kind.Name, Exclude: r.excluded, Slack: r.goal.Sub(s.now), Remaining: r.deadline.Sub(s.now),
	})
	if !ok {
		s.conclude(r, attemptResult{})
		return
	}
	mayWait := !r.mayHaveRun && (c.Wait > placement.FreeSlotWait || r.refusals >= retry.FreeSlotAttempts)
	target := s.byID[c.Instance.ID]
	s.after(delay(r.node, target), func() {
		s.arrive(r, target, mayWait, func(res attemptResult) {
			res.calls = target.meter.Calls(r.kind.Name)
			load, expected, limit := target.queue.Load(s.now), target.queue.Expected(s.now, r.kind.Name), target.queue.Limit(s.now)
			pace := target.queue.HostPace()
			_, leaving := s.trouble(target, Leave)
			s.after(delay(target, r.node), func() {
				r.node.placer.Done(s.now, c, r.kind.Name, placement.Report{
					Outcome: placementOutcome(res, leaving), Load: load, Run: res.ranFor, Expected: expected, RoundTrip: 2 * delay(r.node, target), Limit: limit, Pace: pace,
				})
				r.node.calls.Learn(r.kind.Name, res.calls)
				s.attemptEnded(r, target, mayWait, res)
			})
		})
	})
}

// placementOutcome translates a result for the placer.
func placementOutcome(res attemptResult, leaving bool) placement.Outcome {
	switch {
	case res.answered:
		return placement.Answered
	case !res.arrived && leaving:
		return placement.Leaving
	case !res.arrived:
		return placement.Refused
	}
	return placement.Failed
}

// attemptEnded decides what follows an attempt.
func (s *sim) attemptEnded(r *request, target *node, mayWait bool, res attemptResult) {
	if res.answered {
		s.conclude(r, res)
		return
	}
	r.mayHaveRun = r.mayHaveRun || res.ran
	if !res.arrived {
		r.refusals++
		if mayWait {
			r.queueFull++
			r.excluded = append(r.excluded, target.instance.ID)
		}
		if r.refusals < retry.MaxRefusals && r.queueFull < retry.MaxQueueRefusals && (!r.mayHaveRun || r.refusals < retry.FreeSlotAttempts) {
			s.attempt(r)
			return
		}
		s.conclude(r, res)
		return
	}
	r.attempts++
	r.excluded = append(r.excluded, target.instance.ID)
	if res.ran && !r.kind.MayRepeat || r.attempts >= r.kind.MaxAttempts || !s.takeRepeat(r, res) {
		s.conclude(r, res)
		return
	}
	s.attempt(r)
}

// takeRepeat charges the budget for another attempt.
func (s *sim) takeRepeat(r *request, res attemptResult) bool {
	failed := retry.FailedAttempt{NotRun: !r.mayHaveRun, Returning: r.returning, Nested: r.parent != nil, CallFailed: res.callFailed}
	if r.parent != nil {
		if !r.unanswered {
			r.unanswered = true
			r.parent.unanswered++
		}
		failed.SiblingFailed = r.parent.unanswered > 1
	}
	granted := r.node.budget.Take(s.now, retry.Repeat{Service: r.kind.Service, Calls: r.node.calls.Of(r.kind.Name), Chance: failed.Chance()})
	if granted {
		s.result.Repeats++
	}
	return granted
}

// conclude ends a request.
func (s *sim) conclude(r *request, res attemptResult) {
	if r.unanswered && res.answered {
		r.parent.unanswered--
	}
	r.ended(outcome{answered: res.answered, notRun: !r.mayHaveRun && !res.answered, retryAfter: res.retryAfter})
}

// arrive offers a request to the queue of an instance.
func (s *sim) arrive(r *request, n *node, mayWait bool, done func(attemptResult)) {
	if _, leaving := s.trouble(n, Leave); leaving {
		done(attemptResult{})
		return
	}
	s.applyLimit(n)
	call := &intake.Call{
		Route: r.kind.Name, Priority: r.kind.Priority, Returning: r.returning, Nested: r.parent != nil, Repeated: r.mayHaveRun, Goal: r.goal, Deadline: r.deadline,
		Objective: r.kind.Goal,
	}
	refuse := func() { done(attemptResult{retryAfter: n.queue.RetryAfter(s.now, call)}) }
	call.Decide = func(v intake.Verdict) {
		// Not at once, because the queue calls this in the middle of a change.
		s.after(0, func() {
			if v == intake.Started {
				s.runAt(r, n, call, done)
				return
			}
			refuse()
		})
	}
	switch n.queue.Offer(s.now, call, mayWait) {
	case intake.Started:
		s.runAt(r, n, call, done)
	case intake.Waiting:
	default:
		refuse()
	}
	s.scheduleTick(n)
}

// applyLimit tells the queue the limit that its upstream names.
func (s *sim) applyLimit(n *node) {
	if limit, ok := s.trouble(n, Limit); ok {
		n.queue.SetLimit(s.now, limit)
		return
	}
	n.queue.LiftLimit(s.now)
}

// scheduleTick schedules the next refusal of calls that can no longer be answered.
func (s *sim) scheduleTick(n *node) {
	next, ok := n.queue.NextTick()
	if !ok || !n.tickAt.IsZero() && !next.Before(n.tickAt) {
		return
	}
	next = next.Add(time.Millisecond)
	n.tickAt = next
	s.at(next, func() {
		if !n.tickAt.Equal(next) {
			return // an earlier one has been scheduled since
		}
		n.tickAt = time.Time{}
		n.queue.Advance(s.now)
		s.scheduleTick(n)
	})
}

// runAt runs a request at an upstream.
func (s *sim) runAt(r *request, n *node, call *intake.Call, done func(attemptResult)) {
	started := s.now
	end := func(res attemptResult, completed bool) {
		s.reportPace(n)
		if work := n.queue.Done(s.now, call, completed); res.ranFor > 0 {
			res.ranFor = work
		}
		s.scheduleTick(n)
		done(res)
	}
	if share, ok := s.trouble(n, Shed); ok && s.random.Float64() < share {
		end(attemptResult{arrived: true}, false)
		return
	}
	work := s.runTime(r.kind, n)
	share, failing := s.trouble(n, Fail)
	failing = failing && s.random.Float64() < share
	if failing {
		work /= 2
	}
	current := &run{made: make(retry.Calls)}
	finish := func() {
		n.meter.RunEnded(r.kind.Name, current.made)
		answered := !failing && !current.callFailed
		end(attemptResult{answered: answered, arrived: true, ran: true, callFailed: current.callFailed, ranFor: s.now.Sub(started)}, answered)
	}
	s.makeCalls(r, n, current, func() {
		if current.callFailed {
			finish()
			return
		}
		if left := r.deadline.Sub(s.now); s.timeFor(n, work) > left {
			s.after(max(0, left), func() { end(attemptResult{arrived: true, ran: true}, false) })
			return
		}
		s.after(s.timeFor(n, work), finish)
	})
}

// runTime returns the time that a run takes: half to one and a half times the mean.
func (s *sim) runTime(k *Kind, n *node) time.Duration {
	factor := (0.5 + s.random.Float64()) * n.speed
	if slow, ok := s.trouble(n, Slow); ok {
		factor *= slow
	}
	return time.Duration(factor * float64(k.Run))
}

// makeCalls makes the calls of a run and goes on when all have ended. They precede its own work.
func (s *sim) makeCalls(r *request, n *node, current *run, then func()) {
	calls := r.kind.Calls
	if calls == nil || s.random.Float64() >= calls.Share {
		then()
		return
	}
	kind := s.kinds[calls.Kind]
	current.pending = calls.Times
	current.made[kind.Service] += float64(calls.Times)
	for range calls.Times {
		nested := &request{kind: kind, node: n, parent: current, goal: s.now.Add(kind.Goal), deadline: earlier(r.deadline, s.now.Add(kind.Deadline))}
		nested.ended = func(o outcome) {
			current.callFailed = current.callFailed || !o.answered
			if current.pending--; current.pending == 0 {
				then()
			}
		}
		s.send(nested)
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
