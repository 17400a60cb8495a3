// Package drain decides how a daemon that is told to stop spends its grace period: how long it
// takes new requests and when the process ends.
//
// A request that is taken must be answered before the process ends. How long it will wait for
// a slot and run is not known, but the end is, so that the queues beside the instances are told
// of it: what has no slot in time is given back as not run.
package drain

import "time"

const (
	// notice is the time in which callers learn to go elsewhere. Platforms probe once a second
	// and act on two misses.
	notice = 2500 * time.Millisecond
	// linger is the time for which new requests are refused before the connections on which they
	// come are closed, at most half of the rest of the plan: an answer tells other daemons more
	// than a broken connection.
	linger = 200 * time.Millisecond
	// slack is the time before the end of the grace period at which what still runs is given
	// up, at most the slackShare-th part of the period.
	slack      = 700 * time.Millisecond
	slackShare = 8
	// runReserve is the number of usual runs that must fit at least between the start of a run and
	// the end of the process: run times scatter by about half of their mean.
	runReserve = 2
)

// Plan is the course of one planned stop.
type Plan struct {
	// Began is the time of the order to stop.
	Began time.Time
	// Closes is the time from which on new requests are refused.
	Closes time.Time
	// Lingers is the time until which the process stays, also if it has nothing to finish.
	Lingers time.Time
	// Ends is the time at which what still runs is given up.
	Ends time.Time
	// Over is the end of the grace period: the platform may kill the process from then on.
	Over time.Time
}

// New returns the plan of a stop that begins at a time and must end within the grace period.
func New(began time.Time, grace time.Duration) Plan {
	rest := min(slack, grace/slackShare)
	lasts := grace - rest
	closes := min(notice, lasts/2)
	return Plan{
		Began: began, Closes: began.Add(closes), Lingers: began.Add(closes + min(linger, (lasts-closes)/2)),
		Ends: began.Add(lasts), Over: began.Add(grace),
	}
}

// ExitsAfter returns the time by which the process has ended when what runs is given up at a time,
// which may be later than planned: half of what is left of the grace period is for the answers,
// half for the end of the process. After the grace period it has passed.
func (p Plan) ExitsAfter(givenUp time.Time) time.Time { return givenUp.Add(p.Over.Sub(givenUp) / 2) }

// Takes reports whether new requests are taken at a time.
func (p Plan) Takes(now time.Time) bool { return now.Before(p.Closes) }

// StartBy returns the time before which an upstream must begin a run of which a usual one takes so
// long, and few take longer than the slow one, for the answer to come before a process ends.
func StartBy(ends time.Time, run, slow time.Duration) time.Time {
	return ends.Add(-max(runReserve*run, slow))
}
