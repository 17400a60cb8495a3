package intake

import "time"

// SetColdRule sets the rate that the upstream takes while it is cold. It reports whether there was none
// before: the upstream then counts as cold.
func (q *Queue) SetColdRule(now time.Time, r ColdRule) bool {
	began := q.cold.setRule(now, r)
	q.advance(now)
	return began
}

// AssumeCold records an event after which the upstream may be cold, such as a time in which it was not in
// use. replaced says that all requests until now are known to have gone to a process that is gone.
func (q *Queue) AssumeCold(now time.Time, replaced bool) {
	q.cold.assume(now, replaced)
	q.advance(now)
}

// ConnectionRefused records that the upstream does not accept connections. It counts as cold until
// it accepts them, and from then on like a new process.
func (q *Queue) ConnectionRefused(now time.Time) { q.cold.refused(now) }

// Responded records a response of the upstream to a request that was sent at the given time.
func (q *Queue) Responded(now, sent time.Time) {
	if q.cold.accepted(now, sent) {
		q.advance(now)
	}
}

// ReportCold records the remaining time of the cold phase, 0 for none, that the upstream has reported in
// the response to a health request that was sent at the given time. Reports that are older than the last
// event are ignored.
func (q *Queue) ReportCold(now, sent time.Time, remaining time.Duration) {
	q.cold.report(now, sent, remaining)
	q.advance(now)
}

// Cold reports whether the upstream counts as cold and a rate applies, and when that ends; the end is
// zero while the upstream does not accept connections.
func (q *Queue) Cold(now time.Time) (until time.Time, active bool) {
	if !q.cold.active(now) {
		return time.Time{}, false
	}
	if q.cold.down {
		return time.Time{}, true
	}
	return q.cold.until, true
}

// ColdRate returns the rate in requests per second to which calls are limited because the upstream counts
// as cold; 0 if they are not.
func (q *Queue) ColdRate(now time.Time) float64 {
	if !q.cold.active(now) {
		return 0
	}
	return q.cold.rate.rate
}

// ColdRuleRate returns the rate that holds while the upstream is cold, also if it is not; 0 if none does.
func (q *Queue) ColdRuleRate() float64 { return q.cold.rate.rate }

// ShortOfColdRate reports whether no call may start now because the upstream is cold.
func (q *Queue) ShortOfColdRate(now time.Time) bool { return q.ColdWait(now) > 0 }

// ColdWait returns the time until the rate of the cold upstream allows another request; 0 if it does now.
func (q *Queue) ColdWait(now time.Time) time.Duration { return q.cold.wait(now, 1) }

// PermittedRate returns the lower one of the upstream's limit and the rate while it is cold, in calls per
// second; 0 if there is neither.
func (q *Queue) PermittedRate(now time.Time) float64 {
	limit, rate := q.Limit(now), q.ColdRate(now)
	if limit == 0 || rate > 0 && rate < limit {
		return rate
	}
	return limit
}

// NextHealth returns the time of the next health request to the upstream; ok is false if none is needed.
// A closed queue needs none, because nothing may be sent to the upstream.
func (q *Queue) NextHealth(now time.Time) (at time.Time, ok bool) {
	if q.closed {
		return time.Time{}, false
	}
	return q.cold.nextHealth(now)
}

// AskHealth charges a health request if one is due now; it reports whether to send it.
func (q *Queue) AskHealth(now time.Time) bool { return !q.closed && q.cold.ask(now) }

// Closed reports whether the queue refuses all calls.
func (q *Queue) Closed() bool { return q.closed }
