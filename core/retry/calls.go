package retry

import "sync"

// Calls is the mean number of calls to other services, by service, that one run of a route causes,
// including the calls that its calls make. nil means that the number is unknown, an empty map that
// runs make no calls.
type Calls map[string]float64

const (
	// minMeteredRuns is the number of runs of a route before its mean number of calls is known.
	minMeteredRuns = 8
	// meterWeight is the weight of one run in the mean number of calls.
	meterWeight = 1.0 / 64
	// maxMeteredRoutes bounds the number of routes for which calls are counted or known.
	maxMeteredRoutes = 4096
)

// CallMeter measures how many calls the runs of each route make at one upstream. It is not safe for
// concurrent use.
type CallMeter struct{ routes map[string]*meteredRoute }

type meteredRoute struct {
	runs int
	mean Calls
}

// NewCallMeter returns a meter without runs.
func NewCallMeter() *CallMeter { return &CallMeter{routes: make(map[string]*meteredRoute)} }

// RunEnded records the calls that one run of a route has made.
func (m *CallMeter) RunEnded(route string, made Calls) {
	r := m.routes[route]
	if r == nil {
		if len(m.routes) >= maxMeteredRoutes {
			clear(m.routes)
		}
		r = &meteredRoute{mean: make(Calls)}
		m.routes[route] = r
	}
	r.runs++
	weight := max(meterWeight, 1/float64(r.runs))
	for service := range made {
		if _, ok := r.mean[service]; !ok {
			r.mean[service] = 0
		}
	}
	for service, mean := range r.mean {
		r.mean[service] = mean + weight*(made[service]-mean)
	}
}

// Calls returns a copy of the mean number of calls of a route, or nil if too few runs have ended.
func (m *CallMeter) Calls(route string) Calls {
	r := m.routes[route]
	if r == nil || r.runs < minMeteredRuns {
		return nil
	}
	calls := make(Calls, len(r.mean))
	for service, mean := range r.mean {
		if mean >= minReportedCalls {
			calls[service] = mean
		}
	}
	return calls
}

// minReportedCalls is the mean number of calls from which on a service is named.
const minReportedCalls = 0.01

// CallTable holds the calls of routes as the daemons beside the upstreams report them. The zero value
// is empty. It is safe for concurrent use.
type CallTable struct {
	mu     sync.Mutex
	routes map[string]Calls
}

// Learn records a report about a route. A report of nil changes nothing.
func (t *CallTable) Learn(route string, calls Calls) {
	if calls == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil || len(t.routes) >= maxMeteredRoutes {
		t.routes = make(map[string]Calls)
	}
	t.routes[route] = calls
}

// Of returns the calls of a route, or nil if they are unknown. The map must not be changed.
func (t *CallTable) Of(route string) Calls {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routes[route]
}
