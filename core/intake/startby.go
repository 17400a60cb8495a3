package intake

import (
	"time"

	"mangoshed.example/mangoshed/core/drain"
)

// EndAt says when runs are given up because the process ends. Calls that would probably run for
// longer are refused from now on.
func (q *Queue) EndAt(now, end time.Time) {
	q.endAt = end
	q.advance(now)
}

// startBy returns the time from which on the call must not start, zero if there is none.
func (q *Queue) startBy(c *Call) time.Time {
	if q.endAt.IsZero() {
		return c.StartBy
	}
	own := q.endAt.Add(-drain.RunReserve * q.expected(c))
	if c.StartBy.IsZero() || own.Before(c.StartBy) {
		return own
	}
	return c.StartBy
}

// tooLate reports whether the call must not start at a time any more.
func (q *Queue) tooLate(c *Call, at time.Time) bool {
	by := q.startBy(c)
	return !by.IsZero() && !at.Before(by)
}
