// Package retry decides whether a failed attempt of a call is followed by another one.
// It is pure: randomness and the remaining time are arguments.
package retry

import (
	"time"

	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// MaxAttempts bounds the attempts of a call, the first one included.
	MaxAttempts = 3
	// BaseBackoff is the upper bound of the wait before the second attempt; it doubles
	// for each further one. It is about the service time of a short call, so that a
	// full queue has moved on.
	BaseBackoff = 4 * time.Millisecond
)

// Attempt describes the outcome of a failed attempt.
type Attempt struct {
	// Number counts the attempts of the call, from 1.
	Number int
	// Kind and Run are those of the refusal that the attempt ended with.
	Kind refusal.Kind
	Run  refusal.Run
	// Repeatable says that the table lets a request run more than once.
	Repeatable bool
	// Replayable says that the request's body can be sent again from its start.
	Replayable bool
	// Depth is the position of the call in a chain of calls, from 0.
	Depth int
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
}

// Reason says why a call is or is not tried again; it labels a metric.
type Reason string

// The reasons.
const (
	Again      Reason = "again"
	Final      Reason = "final"      // another instance would answer the same
	Attempts   Reason = "attempts"   // all attempts are used up
	MayHaveRun Reason = "may_repeat" // it may have run and must not run twice
	Depth      Reason = "depth"      // only the first call of a chain repeats what may have run
	Consumed   Reason = "consumed"   // the body cannot be sent again
	Time       Reason = "time"       // the deadline is too near
	Exhausted  Reason = "budget"     // the retry budget is used up
)

// Verdict is the decision on an attempt.
type Verdict struct {
	Reason Reason
	// Wait is the time before the next attempt; it is 0 unless Reason is Again.
	Wait time.Duration
}

// Retry reports whether another attempt is made.
func (v Verdict) Retry() bool { return v.Reason == Again }

// Decide returns the verdict on a failed attempt. random is a uniformly distributed
// number. A positive verdict takes one retry from the budget, unless an instance that
// leaves gave the request back: it has run nowhere, so that sending it elsewhere multiplies
// no load, and MaxAttempts bounds how often that happens.
func Decide(a Attempt, budget *Budget, random uint64) Verdict {
	switch {
	case !transient(a.Kind, a.Run):
		return Verdict{Reason: Final}
	case a.Number >= MaxAttempts:
		return Verdict{Reason: Attempts}
	case a.Run != refusal.NotRun && !a.Repeatable:
		return Verdict{Reason: MayHaveRun}
	case a.Run != refusal.NotRun && a.Depth > 0:
		return Verdict{Reason: Depth}
	case !a.Replayable:
		return Verdict{Reason: Consumed}
	}
	wait := Backoff(a.Number, random)
	if a.Kind == refusal.Leaving {
		// A leaving instance says nothing about the load of the others.
		wait = 0
	}
	if a.Remaining <= wait {
		return Verdict{Reason: Time}
	}
	givenBack := a.Kind == refusal.Leaving && a.Run == refusal.NotRun
	if !givenBack && !budget.take() {
		return Verdict{Reason: Exhausted}
	}
	return Verdict{Reason: Again, Wait: wait}
}

// transient reports whether another instance may answer differently. Limited is final
// because the limit holds over all instances. A deadline refused as not run says that the
// instance is too loaded for the remaining time; another one may not be.
func transient(kind refusal.Kind, run refusal.Run) bool {
	switch kind {
	case refusal.Overloaded, refusal.Leaving, refusal.NoVersion, refusal.NotOwner, refusal.UpstreamFailed, refusal.Cut:
		return true
	case refusal.Deadline:
		return run == refusal.NotRun
	}
	return false
}

// Backoff returns the wait after the attempt with the number, from 1: uniformly
// distributed between 0 and BaseBackoff x 2^(number-1).
func Backoff(number int, random uint64) time.Duration {
	limit := uint64(BaseBackoff) << min(max(number, 1)-1, 10)
	return time.Duration(random % (limit + 1))
}
