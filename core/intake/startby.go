package intake

import (
	"time"

	"mangoshed.example/mangoshed/core/drain"
)

// EndAt sets the time at which running calls are aborted because the process exits. From now on,
// calls that would probably still be running then are refused.
func (q *Queue) EndAt(now, end time.Time) {
	q.abortAt = end
	q.advance(now)
}

// SenderEndsAt sets the time at which the sender of the waiting calls with these IDs exits. Those
// that get no slot early enough are refused before then.
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

// startBy returns the time from which on the call must not start, because this process or the
// sender exits too soon after it; the result is false if there is no such time.
func (q *Queue) startBy(c *Call) (time.Time, bool) {
	end := c.SenderEnds
	if end.IsZero() || !q.abortAt.IsZero() && q.abortAt.Before(end) {
		end = q.abortAt
	}
	if end.IsZero() {
		return end, false
	}
	if c.Repeated {
		return end.Add(-q.expected(c)), true
	}
	return drain.StartBy(end, q.expected(c), q.slowRun(c)), true
}

// tooLateToStart reports whether the call must not start at a given time.
func (q *Queue) tooLateToStart(c *Call, at time.Time) bool {
	by, ok := q.startBy(c)
	return ok && !at.Before(by)
}
