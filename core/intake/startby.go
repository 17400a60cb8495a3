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

// SenderEndsAt says when the sender of waiting calls ends. Those that get no slot in time are
// refused before that.
func (q *Queue) SenderEndsAt(now, end time.Time, ids []string) {
	sent := make(map[string]bool, len(ids))
	for _, id := range ids {
		sent[id] = true
	}
	for _, c := range q.waiting {
		if sent[c.ID] {
			c.SenderEnds = end
		}
	}
	q.advance(now)
}

// startBy returns the time from which on the call must not start; false if there is none.
func (q *Queue) startBy(c *Call) (time.Time, bool) {
	end := c.SenderEnds
	if end.IsZero() || !q.endAt.IsZero() && q.endAt.Before(end) {
		end = q.endAt
	}
	if end.IsZero() {
		return end, false
	}
	if c.Repeated {
		return end.Add(-q.expected(c)), true
	}
	return drain.StartBy(end, q.expected(c), q.slow(c)), true
}

// tooLate reports whether the call must not start at a time any more.
func (q *Queue) tooLate(c *Call, at time.Time) bool {
	by, ok := q.startBy(c)
	return ok && !at.Before(by)
}
