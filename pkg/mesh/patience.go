package mesh

import (
	"sync"
	"time"
)

const (
	// patienceScatter is the part by which the patience of callers of one route differs; one
	// that has less time left than that has spent it on earlier attempts.
	patienceScatter = 0.15
	// maxPatienceRoutes bounds the routes whose patience is kept.
	maxPatienceRoutes = 4096
)

// patience learns how long the callers of each route wait in all: a route's timeout says how
// long one attempt may take, while a caller that was refused comes again with what it has left.
// It is safe for concurrent use.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// spent returns the time that a caller has probably spent on earlier attempts, 0 for a new one.
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
	// In the middle of what callers of the route have.
	return time.Duration((1-patienceScatter/2)*float64(longest)) - left
}
