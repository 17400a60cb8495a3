package placement

import (
	"time"

	"mangoshed.example/mangoshed/core/trial"
)

// Done reports the outcome of the request for which a choice was made.
func (p *Placer) Done(now time.Time, c Choice, route string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats[c.Instance.ID]
	if s == nil {
		return // the instance is no longer in the view
	}
	s.inFlight = max(0, s.inFlight-1)
	if r.Load.Slots > 0 {
		s.load, s.loadAt, s.sent = r.Load, now, 0
		s.limit = r.Limit
	}
	// The report may come from the process before, if the choice is older than the present one.
	s.leaving = s.leaving || r.Leaving && c.Instance.Incarnation == s.incarnation
	if r.Evacuated {
		// Without this, a request would be refused by one instance after the other until the view
		// includes the evacuation.
		p.evacuatedUntil[c.Instance.Place.DataCentre] = now.Add(evacuatedExclusion)
	}
	s.updatePace(r.Pace)
	p.updateSlowness(now, s, route, r)
	p.measureRoundTrip(now, c.Instance, r.RoundTrip)
	switch r.Outcome {
	case Answered:
		s.failuresInRow, s.excludedUntil = 0, time.Time{}
		p.recordOutcome(now, c.Instance.Service, s, 0)
		p.recordRun(now, c, route, r)
	case Refused:
		s.failuresInRow = 0
	case Leaving:
		s.excludedUntil = now.Add(leavingExclusion)
	case Failed:
		p.recordOutcome(now, c.Instance.Service, s, 1)
	case TimedOut:
		p.recordOutcome(now, c.Instance.Service, s, 1)
		if s.loadAt.Before(c.at) {
			s.excludeAfterFailure(now)
		}
	case Unreachable:
		s.excludeAfterFailure(now)
	case Cancelled:
	}
}

// excludeAfterFailure excludes an instance for a time that doubles with each failure in a row.
func (s *instanceStats) excludeAfterFailure(now time.Time) {
	s.failuresInRow++
	s.excludedUntil = now.Add(min(suspectTime<<min(s.failuresInRow-1, 8), maxSuspectTime))
}

// updateSlowness sets the slowness of an instance: the run time that its daemon expects, divided
// by the mean over all instances.
func (p *Placer) updateSlowness(now time.Time, s *instanceStats, route string, r Report) {
	averages, ok := p.runs[route]
	if !ok || r.Expected <= 0 {
		return
	}
	s.slowness, s.slownessAt = min(max(float64(r.Expected)/averages.run, minSlowness), maxSlowness), now
}

// recordRun updates the mean run time and response size of a route with the response to the request of a choice.
func (p *Placer) recordRun(now time.Time, c Choice, route string, r Report) {
	if r.Run <= 0 {
		return
	}
	runTime := float64(r.Run)
	averages, ok := p.runs[route]
	if !ok {
		if len(p.runs) >= maxRoutes {
			clear(p.runs)
		}
		averages = &routeAverages{run: runTime, bytes: float64(r.Bytes)}
		p.runs[route] = averages
	}
	averages.trials.Confirm(now)
	weight := runWeight
	if c.trial {
		weight = trial.Weight
	}
	service := c.Instance.Service
	mean := p.meanServiceRun(service)
	p.means[service] = mean + runWeight*(min(runTime, 4*mean)-mean)
	// The cap keeps one very slow response from dominating the mean.
	averages.run += weight * (min(runTime, 4*averages.run) - averages.run)
	averages.bytes += runWeight * (float64(r.Bytes) - averages.bytes)
}

// maxRoutes bounds the number of routes with a mean run time.
const maxRoutes = 4096
