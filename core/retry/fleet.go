package retry

import (
	"sync"
	"time"
)

// windowSteps is the number of buckets into which the sliding window is divided.
const windowSteps = 20

// A retried request also repeats the calls that it makes to other services, where they count as
// retries as well. Which service calls which is not known here, so that every retry is charged
// to the budgets of all services. That is sufficient: if each request to service A makes f calls
// to service B, then B gets at least f times the requests of A. The f x ratio x requests(A)
// calls that retries at A repeat at B are therefore within ratio x requests(B).

// usableShare is the fraction of the fleet's budget that the daemons together may use. The rest is
// a reserve for daemons that disagree on the number of daemons, and for requests that the
// receiving upstream counts later than their sender does.
const usableShare = 0.8

// FleetBudget limits the retries that all daemons together send to a service, without
// coordination: each daemon uses the retries that its own requests permit and an equal share of
// the allowance. It is safe for concurrent use.
type FleetBudget struct {
	mu       sync.Mutex
	rules    FleetRules
	daemons  int
	epoch    time.Time // start of step 0, with a monotonic clock reading
	services map[string]*window
}

// FleetRules are the limits on retries that the operator's platform sets.
type FleetRules struct {
	// Ratio is the maximum ratio of retries to requests in a window.
	Ratio float64
	// Allowance is the number of retries per window that the whole fleet may send in addition to
	// those that Ratio permits.
	Allowance float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// window counts the requests and retries to a service in the last windowSteps steps.
type window struct {
	step     int64
	requests [windowSteps]int
	retries  [windowSteps]int
}

// NewFleetBudget returns a budget for one daemon of a fleet.
func NewFleetBudget(rules FleetRules, now time.Time) *FleetBudget {
	return &FleetBudget{rules: rules, daemons: 1, epoch: now, services: make(map[string]*window)}
}

// SetDaemons sets the number of daemons that share the allowance.
func (b *FleetBudget) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(1, n)
}

// RecordRequest counts a request to the service.
func (b *FleetBudget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.step%windowSteps]++
}

// Take charges one retry to the budgets of all services. It returns false and charges nothing if
// one of the budgets is exhausted.
func (b *FleetBudget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, service)
	for name := range b.services {
		if !b.allows(b.window(now, name)) {
			return false
		}
	}
	for _, w := range b.services {
		w.retries[w.step%windowSteps]++
	}
	return true
}

// allows reports whether the budget allows one more retry in the window.
func (b *FleetBudget) allows(w *window) bool {
	requests, retries := 0, 0
	for i := range windowSteps {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return float64(retries+1) <= usableShare*(b.rules.Ratio*float64(requests)+b.rules.Allowance/float64(b.daemons))
}

// window returns the window of a service after advancing it to the step of now.
func (b *FleetBudget) window(now time.Time, service string) *window {
	step := int64(now.Sub(b.epoch)) / max(1, int64(b.rules.Window/windowSteps))
	w := b.services[service]
	if w == nil {
		w = &window{step: step}
		b.services[service] = w
	}
	for n := 0; w.step < step && n < windowSteps; n++ {
		w.step++
		w.requests[w.step%windowSteps], w.retries[w.step%windowSteps] = 0, 0
	}
	w.step = max(w.step, step)
	return w
}
