// Package drain schedules the graceful shutdown of a daemon within its grace period: how long it
// accepts new requests and when the process exits.
//
// A request that is accepted must be answered before the process exits. The time that it will
// wait for a slot and run is not known in advance, but the time of the exit is. The queues beside
// the instances therefore get that time and refuse, as not run, the requests that get no slot
// early enough.
package drain

import "time"

const (
	// notice is the time for which new requests are still accepted, so that callers can switch to
	// other daemons. Platforms probe once a second and act on two failed probes.
	notice = 2500 * time.Millisecond
	// linger is the time for which new requests are refused before the connections on which they
	// arrive are closed, at most half of the time left until AbortAt: other daemons learn more
	// from a refusal than from a broken connection.
	linger = 200 * time.Millisecond
	// abortReserve is the time between AbortAt, when running requests are aborted, and the end of
	// the grace period. It is at most 1/abortReserveDivisor of the grace period.
	abortReserve        = 700 * time.Millisecond
	abortReserveDivisor = 8
	// runReserve is the least number of typical runs that must fit between the start of a run and
	// the exit of the process: run times scatter by about half of their mean.
	runReserve = 2
)

// Plan is the schedule of one graceful shutdown.
type Plan struct {
	// Began is the time at which the shutdown was requested.
	Began time.Time
	// RejectFrom is the time from which on new requests are refused.
	RejectFrom time.Time
	// EarliestExit is the time until which the process keeps running even if no requests are
	// left.
	EarliestExit time.Time
	// AbortAt is the time at which requests that still run are aborted.
	AbortAt time.Time
	// GraceEnd is the end of the grace period, from which on the platform may kill the process.
	GraceEnd time.Time
}

// New returns the plan of a shutdown that begins at a time and must complete within the grace
// period.
func New(began time.Time, grace time.Duration) Plan {
	reserve := min(abortReserve, grace/abortReserveDivisor)
	untilAbort := grace - reserve
	untilReject := min(notice, untilAbort/2)
	return Plan{
		Began: began, RejectFrom: began.Add(untilReject), EarliestExit: began.Add(untilReject + min(linger, (untilAbort-untilReject)/2)),
		AbortAt: began.Add(untilAbort), GraceEnd: began.Add(grace),
	}
}

// ExitBy returns the time by which the process exits if the running requests are aborted at a
// time, which may be later than AbortAt. Half of what is left of the grace period is for sending
// the responses, half for the exit of the process. After the grace period the result is in the
// past.
func (p Plan) ExitBy(abort time.Time) time.Time { return abort.Add(p.GraceEnd.Sub(abort) / 2) }

// Accepts reports whether new requests are accepted at a time.
func (p Plan) Accepts(now time.Time) bool { return now.Before(p.RejectFrom) }

// StartBy returns the time before which an upstream must start a run so that the response arrives
// before a process exits. A typical run takes run, and few take longer than slow.
func StartBy(exit time.Time, run, slow time.Duration) time.Time {
	return exit.Add(-max(runReserve*run, slow))
}
