// Package drain decides how a daemon that is told to stop spends its grace period: how long it
// takes new requests, until when an upstream may begin to run one, and when the process ends.
//
// A request that is taken must be answered before the process ends. How long it will wait for
// a slot and run is not known, but the time of the end is, so that the wait is bounded by it:
// what has no slot in time is given back as not run.
package drain

import "time"

const (
	// notice is the time in which callers learn to go elsewhere. Platforms probe once a second
	// and act on two misses.
	notice = 2500 * time.Millisecond
	// slack is the time before the end of the grace period at which what still runs is given
	// up, at most the slackShare-th part of the period.
	slack      = 700 * time.Millisecond
	slackShare = 8
)

// RunReserve is the number of usual runs that must fit between the start of a run and the end of
// the process: run times scatter by about half of their mean.
const RunReserve = 2

// Plan is the course of one planned stop.
type Plan struct {
	// Began is the time of the order to stop.
	Began time.Time
	// Closes is the time from which on new requests are refused.
	Closes time.Time
	// Ends is the time at which what still runs is given up.
	Ends time.Time
	// Exits is the time by which the process has ended. The answers to what was given up leave
	// before it.
	Exits time.Time
}

// New returns the plan of a stop that begins at a time and must end within the grace period.
func New(began time.Time, grace time.Duration) Plan {
	rest := min(slack, grace/slackShare)
	lasts := grace - rest
	return Plan{
		Began: began, Closes: began.Add(min(notice, lasts/2)), Ends: began.Add(lasts), Exits: began.Add(lasts + rest/2),
	}
}

// Takes reports whether new requests are taken at a time.
func (p Plan) Takes(now time.Time) bool { return now.Before(p.Closes) }

// StartBy returns the time by which an upstream must begin to run a request that is sent to it
// now, for the answer to come before the process ends: after half of what is left of the plan,
// and early enough for twice the usual run, which is 0 if unknown.
func (p Plan) StartBy(now time.Time, run time.Duration) time.Time {
	left := p.Ends.Sub(now)
	return now.Add(min(left/2, left-RunReserve*run))
}

// StartWithin returns the longest wait for a slot of a request that is sent by a daemon which
// was not told to stop: an order to stop that comes right after it leaves as much time for the
// wait as for the run. A usual run does not shorten it, because no stop is known.
func StartWithin(grace time.Duration) time.Duration {
	now := time.Time{}
	return New(now, grace).StartBy(now, 0).Sub(now)
}
