// Package retry decides whether a failed attempt of a call is retried, and limits the
// number of retries. It reads no clock and no random source: callers pass the time and
// random numbers.
package retry

import (
	"time"

	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// MaxAttempts is the maximum number of attempts of a call, including the first one.
	MaxAttempts = 3
	// BaseBackoff is the maximum backoff before the second attempt; it doubles for each
	// further attempt. It is about the service time of a short call, so that a full queue
	// has free places again.
	BaseBackoff = 4 * time.Millisecond
)

// Attempt describes a failed attempt of a call.
type Attempt struct {
	// Number is the number of the attempt, from 1.
	Number int
	// Kind and Run are those of the refusal that the attempt ended with.
	Kind refusal.Kind
	Run  refusal.Run
	// Repeatable is set if the route table allows the request to run more than once.
	Repeatable bool
	// Replayable is set if the request body can be sent again from its start.
	Replayable bool
	// Depth is the position of the call in a chain of calls, from 0.
	Depth int
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
}

// Reason is why a call is or is not retried. It is the label of a metric.
type Reason string

// Reasons. All except Again mean that the call is not retried.
const (
	Again      Reason = "again"
	Final      Reason = "final"      // another instance would give the same response
	Attempts   Reason = "attempts"   // all attempts are used up
	MayHaveRun Reason = "may_repeat" // the request may have run and must not run twice
	Depth      Reason = "depth"      // only the first call of a chain is retried if the request may have run
	Consumed   Reason = "consumed"   // the body cannot be sent again
	Time       Reason = "time"       // the deadline is too near
	Exhausted  Reason = "budget"     // the retry budget is used up
)

// Verdict is the decision whether a failed attempt is retried.
type Verdict struct {
	Reason Reason
	// Wait is the backoff before the next attempt; it is 0 unless Reason is Again.
	Wait time.Duration
}

// Retry reports whether another attempt is made.
func (v Verdict) Retry() bool { return v.Reason == Again }

// Decide returns the verdict on a failed attempt. random is a uniformly distributed number.
// A retry consumes one retry of the budget, unless the attempt was refused as NotRun by an
// instance that is shutting down: the request has run nowhere, so that sending it to another
// instance does not multiply the load, and MaxAttempts limits how often that happens.
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
		// The shutdown of an instance does not indicate that the others are overloaded.
		wait = 0
	}
	if a.Remaining <= wait {
		return Verdict{Reason: Time}
	}
	refusedByLeaving := a.Kind == refusal.Leaving && a.Run == refusal.NotRun
	if !refusedByLeaving && !budget.takeRetry() {
		return Verdict{Reason: Exhausted}
	}
	return Verdict{Reason: Again, Wait: wait}
}

// transient reports whether another instance may respond differently. Limited is final because
// the rate limit applies to all instances together. A refusal of kind Deadline with NotRun
// means that the instance is too loaded to finish in the remaining time; another one may not be.
func transient(kind refusal.Kind, run refusal.Run) bool {
	switch kind {
	case refusal.Overloaded, refusal.Leaving, refusal.NoVersion, refusal.NotOwner, refusal.UpstreamFailed, refusal.Cut:
		return true
	case refusal.Deadline:
		return run == refusal.NotRun
	}
	return false
}

// Backoff returns the backoff after the attempt with the given number, from 1. It is uniformly
// distributed between 0 and BaseBackoff x 2^(number-1).
func Backoff(number int, random uint64) time.Duration {
	limit := uint64(BaseBackoff) << min(max(number, 1)-1, 10)
	return time.Duration(random % (limit + 1))
}
