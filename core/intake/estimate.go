package intake

import "time"

// updateSlowdown compares the running calls with their estimates. When an upstream becomes slow,
// the age of its running calls shows it long before the first of them completes.
func (q *Queue) measure(now time.Time) {
	sum, n := float64(paceSamples), float64(paceSamples)
	for _, c := range q.running {
		e, ok := q.estimate[c.Route]
		if !ok || e <= 0 {
			continue
		}
		if ratio := float64(now.Sub(c.started)) / e; ratio > overdueFactor {
			sum, n = sum+ratio, n+1
		}
	}
	q.pace = sum / n
}

// expected returns the expected run time of the call on this upstream.
func (q *Queue) expected(c *Call) time.Duration {
	if e, ok := q.estimate[c.Route]; ok {
		return time.Duration(e * q.pace)
	}
	return firstGuess(c)
}

// firstGuess returns the expected run time of a route for which no run time has been recorded
// yet.
func firstGuess(c *Call) time.Duration {
	if c.Objective > 0 {
		return c.Objective / expectedShare
	}
	return defaultRun
}

// Expected returns the expected run time of a route, or 0 if no run time has been recorded.
func (q *Queue) Expected(now time.Time, route string) time.Duration {
	q.measure(now)
	return time.Duration(q.estimate[route] * q.pace)
}

func (q *Queue) learn(route string, took time.Duration) {
	q.remember(route, took)
	e, ok := q.estimate[route]
	if !ok {
		if len(q.estimate) >= maxEstimates {
			clear(q.estimate)
		}
		q.estimate[route] = float64(took)
		return
	}
	q.estimate[route] = e + estimateWeight*(float64(took)-e)
}

// maxEstimates bounds the number of routes with an estimate. Without it, a routing table that
// renames its routes in every version would grow the map without limit.
const maxEstimates = 4096
