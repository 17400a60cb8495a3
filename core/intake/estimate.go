package intake

import "time"

// updateSlowdown compares the running calls with their estimates. When an upstream becomes slow,
// the age of its running calls shows it long before the first of them completes. The age is counted at
// the usual pace: what the pace of the host explains does not make a call overdue.
func (q *Queue) updateSlowdown(now time.Time) {
	q.hostPaceNow = q.hostPace.Current(now)
	sum, n := float64(slowdownSamples), float64(slowdownSamples)
	for _, c := range q.running {
		e, ok := q.estimate[c.Route]
		if !ok || e <= 0 || c.AwaitingBody {
			continue
		}
		if ratio := float64(q.workDone(now, c)) / e; ratio > overdueFactor {
			sum, n = sum+ratio, n+1
		}
	}
	q.slowdown = sum / n
}

// expected returns the expected run time of the call on this upstream at the current pace of its host.
func (q *Queue) expected(c *Call) time.Duration {
	if e, ok := q.estimate[c.Route]; ok {
		return q.pacedRun(time.Duration(e * q.slowdown))
	}
	return q.pacedRun(firstGuess(c))
}

// LatestStart returns the time from which on a run of the call could not complete before the call's
// deadline, if a run takes at least 1/remainingDivisor of its expected time.
func (q *Queue) LatestStart(now time.Time, c *Call) time.Time {
	q.updateSlowdown(now)
	return c.Deadline.Add(-q.expected(c) / remainingDivisor)
}

// firstGuess returns the expected run time of a route for which no run time has been recorded
// yet.
func firstGuess(c *Call) time.Duration {
	if c.Objective > 0 {
		return c.Objective / objectiveDivisor
	}
	return defaultRun
}

// Expected returns the expected run time of a route at the usual pace of the upstream's host, or 0 if no
// run time has been recorded.
func (q *Queue) Expected(now time.Time, route string) time.Duration {
	q.updateSlowdown(now)
	return time.Duration(q.estimate[route] * q.slowdown)
}

// recordRun records a run: its time at the usual pace for the estimate, and the time that it took for the
// slow run, which includes what the pace adds.
func (q *Queue) recordRun(route string, runTime, took time.Duration) {
	q.recordRecentRun(route, took)
	e, ok := q.estimate[route]
	if !ok {
		if len(q.estimate) >= maxEstimates {
			clear(q.estimate)
		}
		q.estimate[route] = float64(runTime)
		return
	}
	q.estimate[route] = e + estimateWeight*(float64(runTime)-e)
}

// maxEstimates bounds the number of routes with an estimate. Without it, a routing table that
// renames its routes in every version would grow the map without limit.
const maxEstimates = 4096
