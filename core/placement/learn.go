package placement

import "time"

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
	}
	p.pace(now, s, route, r)
	p.measure(now, c.Instance, r.RoundTrip)
	switch r.Outcome {
	case Answered:
		s.strikes, s.outUntil = 0, time.Time{}
		p.fail(now, s, 0)
		p.learn(c.Instance.Service, route, r)
	case Refused:
		s.strikes = 0
	case Leaving:
		s.outUntil = now.Add(leavingTime)
	case Failed:
		p.fail(now, s, 1)
	case TimedOut:
		p.fail(now, s, 1)
		if s.loadAt.Before(c.at) {
			s.strike(now)
		}
	case Unreachable:
		s.strike(now)
	case Cancelled:
	}
}

// excludeAfterFailure excludes an instance for a time that doubles with each failure in a row.
func (s *stat) strike(now time.Time) {
	s.strikes++
	s.outUntil = now.Add(min(suspectTime<<min(s.strikes-1, 8), maxSuspectTime))
}

// recordOutcome adds an outcome (0 for success, 1 for failure) to the instance's failure rate.
func (p *Placer) fail(now time.Time, s *stat, outcome float64) {
	share := s.failures * decay(now.Sub(s.failedAt), failureDecay)
	s.failures, s.failedAt = share+failureWeight*(outcome-share), now
}

// updateSlowness sets the slowness of an instance: the run time that its daemon expects, divided
// by the mean over all instances.
func (p *Placer) pace(now time.Time, s *stat, route string, r Report) {
	known, ok := p.runs[route]
	if !ok || r.Expected <= 0 {
		return
	}
	s.slow, s.slowAt = min(max(float64(r.Expected)/known.run, minSlow), maxSlow), now
}

// recordRun updates the mean run time and response size of a route with one response.
func (p *Placer) learn(service, route string, r Report) {
	if r.Run <= 0 {
		return
	}
	took := float64(r.Run)
	known, ok := p.runs[route]
	if !ok {
		if len(p.runs) >= maxRoutes {
			clear(p.runs)
		}
		known = &routeStat{run: took, bytes: float64(r.Bytes)}
		p.runs[route] = known
	}
	mean := p.meanRun(service)
	p.means[service] = mean + runWeight*(min(took, 4*mean)-mean)
	// The cap keeps one very slow response from dominating the mean.
	known.run += runWeight * (min(took, 4*known.run) - known.run)
	known.bytes += runWeight * (float64(r.Bytes) - known.bytes)
}

// maxRoutes bounds the number of routes with a mean run time.
const maxRoutes = 4096
