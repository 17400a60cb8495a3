package mesh

import (
	"sync"
	"time"
)

const (
	// timeoutSpread is the fraction by which the timeouts of a route's callers differ. A caller
	// whose remaining time is shorter by more than that has spent time on earlier attempts.
	timeoutSpread = 0.15
	// maxTimeoutRoutes limits the routes for which the timeout is recorded.
	maxTimeoutRoutes = 4096
)

// callerTimeouts learns the total time that the callers of each route wait, in order to recognise
// callers that retry. A route's timeout cannot serve for that: it limits a single attempt, while a
// caller that was refused retries with the rest of its own timeout. It is safe for concurrent use.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// timeOnEarlierAttempts estimates the time that a caller has spent on earlier attempts. It returns
// 0 for a caller that makes its first attempt.
func (c *callerTimeouts) timeOnEarlierAttempts(route string, remaining time.Duration) time.Duration {
	if remaining >= unknownRemaining {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := c.longest[route]
	if remaining > longest {
		if c.longest == nil || len(c.longest) >= maxTimeoutRoutes {
			c.longest = make(map[string]time.Duration)
		}
		c.longest[route] = remaining
		return 0
	}
	if float64(remaining) >= (1-timeoutSpread)*float64(longest) {
		return 0
	}
	// The caller's timeout is unknown, so this assumes the middle of the range for the route.
	return time.Duration((1-timeoutSpread/2)*float64(longest)) - remaining
}
