package retry

import (
	"sync"
	"time"
)

// windowSteps is the number of buckets into which the sliding window is divided.
const windowSteps = 20

// A repeated run makes its calls to other services again, and there they count as repeats as well. The
// budget of a service therefore pays for two kinds of repeats: calls that are sent again, and runs at
// other services that make them again. As long as it is unknown which services a run calls, its repeat
// is charged to the budgets of all services.

// runShare is the share of the calls to a service that counts as requests where the runs that make
// them began, for repeats of these runs. The rest counts where the calls began, for repeats of the
// calls themselves, which need no second run of the caller.
const runShare = 0.25

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
	requests [windowSteps]float64
	retries  [windowSteps]float64
}

// Request describes a request that is sent for the first time.
type Request struct {
	Service string
	// Nested is set if a run of another service makes the request.
	Nested bool
	// Calls are the calls that its run will probably make.
	Calls Calls
}

// Repeat describes a request that is to be sent again.
type Repeat struct {
	Service string
	// Calls are the calls that the repeated run will probably make.
	Calls Calls
	// Chance says how much depends on the repeat.
	Chance Chance
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

// RecordRequest counts a request.
func (b *FleetBudget) RecordRequest(now time.Time, r Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := 1.0
	if r.Nested {
		own = 1 - runShare
	}
	b.window(now, r.Service).addRequests(own)
	for service, calls := range r.Calls {
		b.window(now, service).addRequests(runShare * calls)
	}
}

func (w *window) addRequests(n float64) { w.requests[w.step%windowSteps] += n }

// Take charges one repeat to the budgets of its service and of those that its run calls, or to all
// budgets if its calls are unknown. It returns false and charges nothing if one of them has too little
// left for a repeat with that chance.
func (b *FleetBudget) Take(now time.Time, r Repeat) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, r.Service)
	charges := b.charges(r)
	for service, n := range charges {
		if !b.allows(b.window(now, service), n, r.Chance.budgetShare()) {
			return false
		}
	}
	b.charge(now, charges, 1)
	return true
}

// Refund takes back the charge for a repeat that has reached no upstream. If its calls are unknown, only
// its own service gets the charge back, because others may have become known since.
func (b *FleetBudget) Refund(now time.Time, r Repeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Calls == nil {
		r.Calls = Calls{}
	}
	b.charge(now, b.charges(r), -1)
}

// charge adds the charges, multiplied by sign, to the retries of their services.
func (b *FleetBudget) charge(now time.Time, charges Calls, sign float64) {
	for service, n := range charges {
		w := b.window(now, service)
		w.retries[w.step%windowSteps] += sign * n
	}
}

// charges returns the repeats for which a repeat counts, by service.
func (b *FleetBudget) charges(r Repeat) Calls {
	charges := Calls{r.Service: 1}
	for service, calls := range r.Calls {
		charges[service] += calls
	}
	if r.Calls == nil {
		for service := range b.services {
			charges[service] = 1
		}
	}
	return charges
}

// allows reports whether n more retries stay within a share of the window's budget.
func (b *FleetBudget) allows(w *window, n, share float64) bool {
	requests, retries := 0.0, 0.0
	for i := range windowSteps {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return retries+n <= share*usableShare*(b.rules.Ratio*requests+b.rules.Allowance/float64(b.daemons))
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
