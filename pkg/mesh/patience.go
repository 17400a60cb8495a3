package mesh

import (
	"sync"
	"time"
)

const (
	// patienceScatter is the fraction by which the timeouts of a route's callers differ. A caller
	// whose remaining time is shorter by more than that has spent time on earlier attempts.
	patienceScatter = 0.15
	// maxPatienceRoutes limits the routes for which the timeout is recorded.
	maxPatienceRoutes = 4096
)

// patience learns the total time that the callers of each route wait, in order to recognise callers
// that retry. A route's timeout cannot serve for that: it limits a single attempt, while a caller
// that was refused retries with the rest of its own timeout. It is safe for concurrent use.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// spent estimates the time that a caller has spent on earlier attempts. It returns 0 for a caller
// that makes its first attempt.
func (p *patience) spent(route string, left time.Duration) time.Duration {
	if left >= noRemaining {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.longest[route]
	if left > longest {
		if p.longest == nil || len(p.longest) >= maxPatienceRoutes {
			p.longest = make(map[string]time.Duration)
		}
		p.longest[route] = left
		return 0
	}
	if float64(left) >= (1-patienceScatter)*float64(longest) {
		return 0
	}
	// The caller's timeout is unknown, so this assumes the middle of the range for the route.
	return time.Duration((1-patienceScatter/2)*float64(longest)) - left
}
