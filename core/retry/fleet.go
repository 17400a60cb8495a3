package retry

import (
	"sync"
	"time"
)

// windowParts is the number of steps in which a window slides.
const windowParts = 20

// A repeated run repeats the calls that it makes, which count as repeats at the services called.
// What calls what is not known here, so that every repeat is taken from the budgets of all
// services. That is enough: a service that is called f times by each run of another one has
// at least f times the requests of that one, so that f x ratio x its requests stay within the
// ratio of the called service.

// shareUsed is the part of the fleet's budget that the daemons use together. The rest covers
// daemons that disagree on their number and arrivals that an upstream counts later than its sender.
const shareUsed = 0.8

// FleetBudget bounds the repeated sends to a service over all daemons without coordination:
// each daemon takes the part of its own requests and its share of the allowance. It is safe
// for concurrent use.
type FleetBudget struct {
	mu       sync.Mutex
	rules    FleetRules
	daemons  int
	base     time.Time // steps count from here, by the monotonic clock
	services map[string]*window
}

// FleetRules are the bounds of the operator's platform.
type FleetRules struct {
	// Ratio of repeated sends to requests.
	Ratio float64
	// Allowance is the number of further repeated sends in each window, for the whole fleet.
	Allowance float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// window counts the requests and the repeated sends of the last steps.
type window struct {
	step     int64
	requests [windowParts]int
	repeats  [windowParts]int
}

// NewFleetBudget returns a budget for one daemon of a fleet.
func NewFleetBudget(rules FleetRules, now time.Time) *FleetBudget {
	return &FleetBudget{rules: rules, daemons: 1, base: now, services: make(map[string]*window)}
}

// SetDaemons sets the number of daemons that share the allowance.
func (b *FleetBudget) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(1, n)
}

// Request counts a request for the service.
func (b *FleetBudget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.step%windowParts]++
}

// Take takes one repeated send to the service from the budgets of all services; false if one
// of them is used up.
func (b *FleetBudget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, service)
	for name := range b.services {
		if !b.room(b.window(now, name)) {
			return false
		}
	}
	for _, w := range b.services {
		w.repeats[w.step%windowParts]++
	}
	return true
}

// room reports whether the window has room for one more repeat.
func (b *FleetBudget) room(w *window) bool {
	requests, repeats := 0, 0
	for i := range windowParts {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return float64(repeats+1) <= shareUsed*(b.rules.Ratio*float64(requests)+b.rules.Allowance/float64(b.daemons))
}

// window returns the counts of a service, moved on to now.
func (b *FleetBudget) window(now time.Time, service string) *window {
	step := int64(now.Sub(b.base)) / max(1, int64(b.rules.Window/windowParts))
	w := b.services[service]
	if w == nil {
		w = &window{step: step}
		b.services[service] = w
	}
	for n := 0; w.step < step && n < windowParts; n++ {
		w.step++
		w.requests[w.step%windowParts], w.repeats[w.step%windowParts] = 0, 0
	}
	w.step = max(w.step, step)
	return w
}
