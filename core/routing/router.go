// Package routing chooses the data centre and the instance for a call. Route tables are
// derived from a table version and the list of members, and are swapped atomically. The state
// that responses reveal about an instance (load, latency, failures) is kept across swaps.
package routing

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/table"
)

// Reason says why an instance was chosen. It is the value of a metric label.
type Reason string

// Reasons in the order of the search, then those for instances in a special state.
const (
	Local    Reason = "local"    // own data centre
	Region   Reason = "region"   // own region: no capacity in the own data centre
	Remote   Reason = "remote"   // other region: no capacity in the own region
	Ramping  Reason = "ramping"  // a new instance got a call of its reduced share
	Probe    Reason = "probe"    // the call is the single probe of a suspect instance
	Full     Reason = "full"     // all instances are full; the nearest one may queue the call
	Suspects Reason = "suspects" // all instances are suspect
)

// Query holds the parameters of a choice.
type Query struct {
	Service string
	// Exclude lists instances that already refused or failed this call.
	Exclude []model.InstanceID
}

// Decision is the result of a choice. Each decision must be passed to Report once the call
// has ended.
type Decision struct {
	Instance model.Instance
	Row      *table.Row
	Version  model.Version
	Reason   Reason

	node *node
	base time.Time
	at   int64
}

// Outcome is the result of a call to an instance.
type Outcome struct {
	// Load is the reported load. It has zero slots if the response reported none.
	Load Load
	// Latency is the time until the response header.
	Latency time.Duration
	// Failed says that the connection was refused, reset or closed early.
	Failed bool
	// Refused is the kind of the instance's refusal. It is empty if there was none.
	Refused refusal.Kind
	// TimedOut says that the deadline passed before the response. The timeout counts as a
	// failure of the instance only if the instance was chosen for this call at least
	// unresponsiveAfter ago and has responded to no call since then. This happens, for
	// example, when a network partition leaves the connection open.
	TimedOut bool
	// Cancelled says that the caller cancelled the call, which does not affect the state
	// of the instance.
	Cancelled bool
}

// Router chooses instances. It is safe for concurrent use.
type Router struct {
	self   model.Instance
	random randomSource
	update sync.Mutex
	routes atomic.Pointer[routes]
}

// Refusals that Pick returns. They are shared and must not be modified.
var (
	noVersion = &refusal.Refusal{
		Kind: refusal.NoVersion, Run: refusal.NotRun, RetryAfter: time.Second,
		Remedy: "the daemon has no table yet; try again when it is ready",
	}
	noService = &refusal.Refusal{
		Kind: refusal.NoService, Run: refusal.NotRun,
		Remedy: "the table has no row for this service; check the Host header or publish a row",
	}
	noInstance = &refusal.Refusal{
		Kind: refusal.NoInstance, Run: refusal.NotRun, RetryAfter: time.Second,
		Remedy: "no live instance of the service with a weight over 0 can be reached; check the weights and the instances",
	}
)

// New returns a router for the daemon that runs next to the instance self. Routers with the
// same seed and the same calls make the same choices.
func New(self model.Instance, seed uint64) *Router {
	r := &Router{self: self}
	r.random.state.Store(seed)
	return r
}

// Update derives new route tables from a table version and the members and swaps them in.
// The members must be sorted by ID and must not be modified afterwards. Only the services
// that changed are rebuilt. Calls in progress keep their instance.
func (r *Router) Update(snap *snapshot.Snapshot, members []model.Instance, now time.Time) {
	r.swap(snap.Version(), snap.Table(), members, now)
}

// swap derives new route tables and makes them current.
func (r *Router) swap(version model.Version, tab *table.Table, members []model.Instance, now time.Time) {
	r.update.Lock()
	defer r.update.Unlock()
	r.routes.Store(derive(r.routes.Load(), r.self.Place, version, tab, members, now))
}

// Service returns the table row of a service, or the refusal for its calls.
func (r *Router) Service(name string) (*table.Row, *refusal.Refusal) {
	routes := r.routes.Load()
	if routes == nil {
		return nil, noVersion
	}
	svc, ok := routes.services[name]
	if !ok {
		return nil, noService
	}
	return svc.row, nil
}

// Pick chooses an instance and counts a call as in flight there until Report. If there is no
// eligible instance, it returns a refusal that says that the call has not run.
func (r *Router) Pick(q Query, now time.Time) (Decision, *refusal.Refusal) {
	routes := r.routes.Load()
	if routes == nil {
		return Decision{}, noVersion
	}
	svc, ok := routes.services[q.Service]
	if !ok {
		return Decision{}, noService
	}
	s := search{random: &r.random, exclude: q.Exclude, now: int64(now.Sub(routes.base))}
	t, reason := s.service(svc)
	if t.node == nil {
		return Decision{}, noInstance
	}
	t.node.inFlight.Add(1)
	return Decision{Instance: *t.inst, Row: svc.row, Version: routes.version, Reason: reason, node: t.node, base: routes.base, at: s.now}, nil
}

// ObserveSelf records the current load of the instance next to this daemon. The daemon's own
// guard counts the calls from all daemons on arrival, whereas responses report them later.
func (r *Router) ObserveSelf(load Load, now time.Time) {
	routes := r.routes.Load()
	if routes == nil || load.Slots <= 0 {
		return
	}
	group := routes.groups[r.self.Service]
	i, found := slices.BinarySearchFunc(group, r.self.ID, func(t target, id model.InstanceID) int {
		return strings.Compare(string(t.inst.ID), string(id))
	})
	if found {
		group[i].node.loadIsLocal.Store(true)
		group[i].node.recordLoad(load, int64(now.Sub(routes.base)))
	}
}

// Observe records a response whose header has arrived, with the load that it reports. The
// body may still be in transit; Report follows at its end.
func (r *Router) Observe(d Decision, load Load, now time.Time) {
	if d.node == nil {
		return
	}
	at := int64(now.Sub(d.base))
	d.node.lastResponse.Store(at)
	if load.Slots > 0 {
		d.node.recordLoad(load, at)
	}
}

// Report records the outcome of a call and counts it as no longer in flight. It must be called
// exactly once for each decision.
func (r *Router) Report(d Decision, o Outcome, now time.Time) {
	if d.node == nil {
		return
	}
	at := int64(now.Sub(d.base))
	n := d.node
	n.inFlight.Add(-1)
	switch {
	case o.Failed, o.TimedOut && n.unresponsive(d.at, at):
		n.recordFailure(at, d.Reason == Probe)
		return
	case o.Cancelled, o.TimedOut:
		return
	case o.Refused == refusal.Leaving:
		n.leaving.Store(true)
	default:
		n.failures.Store(0)
		if o.Refused == "" && o.Latency > 0 {
			n.recordLatency(o.Latency, at)
		}
	}
	r.Observe(d, o.Load, now)
	if o.Refused == refusal.Overloaded && o.Load.Slots == 0 {
		// The instance is full but did not report its number of slots. It counts as full
		// until this assumed report expires.
		_, slots, _ := n.load(at)
		slots = max(slots, 1)
		n.recordLoad(Load{InFlight: slots + int(n.inFlight.Load()), Slots: slots}, at)
	}
}
