package intake

import (
	"time"

	"mangoshed.example/mangoshed/core/trial"
)

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
	if e, ok := q.estimate[c.Route]; ok && !c.trial {
		return q.pacedRun(time.Duration(e * q.slowdown))
	}
	return q.pacedRun(firstGuess(c))
}

// takeTrial reports whether a call tests the estimate of its route, because the call could not finish in time
// if the estimate is right, but could if nothing were known of the route. Without that, an estimate that
// refuses all calls of a route beside the runs of others would never change again. A returning call has less
// time than others, so that its run would prove nothing, and a repeated one fails if it is cut.
func (q *Queue) takeTrial(now time.Time, c *Call) bool {
	e, ok := q.estimate[c.Route]
	if !ok || c.Returning || c.Repeated || len(q.running) == 0 {
		return false
	}
	left := c.Deadline.Sub(now)
	if q.pacedRun(time.Duration(e*q.slowdown))/2 <= left || q.pacedRun(firstGuess(c)) > left {
		return false
	}
	return q.trialsOf(c.Route).Take(now)
}

// trialsOf returns what spaces out the trials of a route with an estimate.
func (q *Queue) trialsOf(route string) *trial.Pacer {
	p := q.trials[route]
	if p == nil {
		p = &trial.Pacer{}
		q.trials[route] = p
	}
	return p
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

// recordRun records the run of a call: its time at the usual pace for the estimate, and the time that it took
// for the slow run, which includes what the pace adds.
func (q *Queue) recordRun(c *Call, runTime, took time.Duration) {
	route := c.Route
	q.recordRecentRun(route, took)
	e, ok := q.estimate[route]
	if !ok {
		if len(q.estimate) >= maxEstimates {
			clear(q.estimate)
			clear(q.trials)
		}
		q.estimate[route] = float64(runTime)
		return
	}
	weight := estimateWeight
	if c.trial {
		weight = trial.Weight
	}
	q.estimate[route] = e + weight*(float64(runTime)-e)
}

// maxEstimates bounds the number of routes with an estimate. Without it, a routing table that
// renames its routes in every version would grow the map without limit.
const maxEstimates = 4096
