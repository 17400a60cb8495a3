package placement

import (
	"time"

	"mangoshed.example/mangoshed/core/model"
)

// SetStayShare sets the part of the time to a request's latency objective within which an instance of the
// daemon's own data centre has to be expected to respond for the request to stay there without a comparison
// with others; 0 compares all instances.
func (p *Placer) SetStayShare(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stayShare = share
}

// best returns the choice with the least expected loss. A request leaves the data centre only if no
// instance there is expected to respond within stayShare of the time to its objective: what an instance
// elsewhere would gain beyond that is mostly the error of old reports, and its bytes cross a billed link.
func (p *Placer) best(now time.Time, q Query) Choice {
	var best, near Choice
	least, leastNear := 0.0, 0.0
	candidates, unusable := p.candidates(now, q)
	for _, inst := range candidates {
		if q.NeedsAllowance && p.stats[inst.ID].lacksAllowance(now) {
			unusable.OverLimit++
			continue
		}
		c := p.score(now, q, inst)
		loss := p.loss(q, c)
		if best.Instance == nil || best.tooLate && !c.tooLate || best.tooLate == c.tooLate && loss < least {
			best, least = c, loss
		}
		if c.Distance == model.SameDataCentre && !c.tooLate && (near.Instance == nil || loss < leastNear) {
			near, leastNear = c, loss
		}
	}
	if best.Instance == nil {
		best.Unusable = unusable
	}
	if near.Instance != nil && near.Expected <= time.Duration(p.stayShare*float64(q.Slack)) {
		return near
	}
	return best
}
