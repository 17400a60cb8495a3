package intake

import "time"

// before reports whether a precedes b.
func (q *Queue) before(now time.Time, a, b *Call) bool {
	if ta, tb := q.tier(a), q.tier(b); ta != tb {
		return ta < tb
	}
	da, db := q.rank(now, a), q.rank(now, b)
	if da > db*densityTolerance || db > da*densityTolerance {
		return da > db
	}
	if a.Returning != b.Returning {
		return a.Returning
	}
	return a.queued.Before(b.queued)
}

// valueDensity returns the value of the call per second of slot time.
func (q *Queue) valueDensity(now time.Time, c *Call) float64 {
	return q.value(now, c) / max(q.expected(c), time.Millisecond).Seconds()
}

// value returns the value of the call's response, relative to that of other calls.
func (q *Queue) value(now time.Time, c *Call) float64 {
	value := 1 / float64(1+c.Priority)
	if q.late(now, c) {
		value *= lateValue
	}
	if c.Returning {
		value *= returningValue
	}
	return value
}

// late reports whether the call misses its latency objective even if it starts now.
func (q *Queue) late(now time.Time, c *Call) bool {
	return now.Add(q.expected(c)).After(c.Goal)
}

// updateOrder decides whether calls are ordered by value rather than by value density: while the upstream
// is cold and its rate is too low to fill the slots, slot time is not short.
func (q *Queue) updateOrder(now time.Time) {
	q.byValue = false
	if len(q.waiting) == 0 || !q.cold.active(now) {
		return
	}
	var sum time.Duration
	for _, c := range q.waiting {
		sum += q.expected(c)
	}
	for _, c := range q.running {
		sum += q.expected(c)
	}
	mean := sum.Seconds() / float64(len(q.waiting)+len(q.running))
	q.byValue = q.cold.rate.rate*mean < float64(q.slots)
}

// rank returns the figure by which waiting calls are ordered.
func (q *Queue) rank(now time.Time, c *Call) float64 {
	if q.byValue {
		return q.value(now, c)
	}
	return q.valueDensity(now, c)
}
