package mesh

import (
	"sync"
	"time"
)

const (
	// timeoutSpread is the fraction by which the timeouts of a route's callers differ. A caller
	// whose remaining time is shorter by more than that has spent time on earlier attempts.
	timeoutSpread = 0.15
	// timeoutRise and timeoutFall bound by how much one caller raises or lowers the estimate of a route's
	// timeout, as fractions of the estimate. One caller with a far longer timeout raises it by less than
	// timeoutSpread. Retrying callers, which may be most of them, lower it by less than a new one raises it.
	timeoutRise, timeoutFall = 0.1, 0.01
	// minTimeoutRise is the least such rise, so that an estimate of 0 can rise.
	minTimeoutRise = time.Millisecond
	// learningCallers is the number of first callers of a route that move the estimate by more than that.
	learningCallers = 32
	// maxTimeoutRoutes limits the routes for which the timeout is recorded.
	maxTimeoutRoutes = 4096
)

// callerTimeouts learns the total time that the callers of each route wait, in order to recognise
// callers that retry. A route's timeout cannot serve for that: it limits a single attempt, while a
// caller that was refused retries with the rest of its own timeout. It is safe for concurrent use.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]timeoutEstimate
}

// timeoutEstimate is the estimated timeout of a route's callers. It follows the longest remaining times in
// small steps in both directions, so that neither a single caller nor one of long ago determines it.
type timeoutEstimate struct {
	timeout time.Duration
	callers int // that the estimate includes
}

// raise includes a caller whose remaining time is longer than the estimate.
func (e *timeoutEstimate) raise(remaining time.Duration) {
	e.callers++
	if e.callers <= learningCallers {
		e.timeout = remaining
		return
	}
	e.timeout = min(remaining, e.timeout+max(minTimeoutRise, time.Duration(timeoutRise*float64(e.timeout))))
}

// lower includes a caller that has spent time on earlier attempts, as far as the estimate tells.
func (e *timeoutEstimate) lower(remaining time.Duration) {
	e.callers++
	step := time.Duration(timeoutFall * float64(e.timeout))
	if e.callers <= learningCallers {
		step = max(step, (e.timeout-remaining)/time.Duration(e.callers))
	}
	e.timeout = max(remaining, e.timeout-step)
}

// timeOnEarlierAttempts estimates the time that a caller has spent on earlier attempts. It returns
// 0 for a caller that makes its first attempt.
func (c *callerTimeouts) timeOnEarlierAttempts(route string, remaining time.Duration) time.Duration {
	if remaining >= unknownRemaining {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e, known := c.routes[route]
	if !known {
		if c.routes == nil || len(c.routes) >= maxTimeoutRoutes {
			c.routes = make(map[string]timeoutEstimate)
		}
		e.timeout = remaining
	}
	// The caller's timeout is unknown, so this assumes the middle of the range for the route.
	spent := time.Duration((1-timeoutSpread/2)*float64(e.timeout)) - remaining
	switch {
	case remaining > e.timeout:
		e.raise(remaining)
		spent = 0
	case float64(remaining) >= (1-timeoutSpread)*float64(e.timeout):
		e.callers++
		spent = 0
	default:
		e.lower(remaining)
	}
	c.routes[route] = e
	return spent
}
