package placement

import "time"

// Done ends a choice with what became of the request.
func (p *Placer) Done(now time.Time, c Choice, route string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats[c.Instance.ID]
	if s == nil {
		return // the instance has left the view
	}
	s.inFlight = max(0, s.inFlight-1)
	if r.Load.Slots > 0 {
		s.load, s.loadAt, s.sent = r.Load, now, 0
	}
	p.pace(now, s, route, r)
	p.measure(now, c.Instance, r.Way)
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
	case Silent:
		p.fail(now, s, 1)
		if s.loadAt.Before(c.at) {
			s.strike(now)
		}
	case Unreachable:
		s.strike(now)
	case Cancelled:
	}
}

// strike leaves an instance out for a time that grows with each failure in a row.
func (s *stat) strike(now time.Time) {
	s.strikes++
	s.outUntil = now.Add(min(suspectTime<<min(s.strikes-1, 8), maxSuspectTime))
}

// fail counts an outcome into the share of failures.
func (p *Placer) fail(now time.Time, s *stat, outcome float64) {
	share := s.failures * decay(now.Sub(s.failedAt), failureDecay)
	s.failures, s.failedAt = share+failureWeight*(outcome-share), now
}

// pace takes how fast an instance is: what its daemon expects of a run against the mean of all
// instances.
func (p *Placer) pace(now time.Time, s *stat, route string, r Report) {
	known, ok := p.runs[route]
	if !ok || r.Expected <= 0 {
		return
	}
	s.slow, s.slowAt = min(max(float64(r.Expected)/known.run, minSlow), maxSlow), now
}

// learn takes the run time and the size of an answer.
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
	// One very slow answer moves the mean of the route by little.
	known.run += runWeight * (min(took, 4*known.run) - known.run)
	known.bytes += runWeight * (float64(r.Bytes) - known.bytes)
}

// maxRoutes bounds the routes with a mean run time.
const maxRoutes = 4096
