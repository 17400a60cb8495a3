// Package routing chooses the data centre and the instance for a call. Route tables
// are derived from a table version and the members in one step and are swapped
// atomically; what is learnt about an instance from its answers outlives the swap.
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

// Reason says why an instance was chosen; it labels a metric.
type Reason string

// The reasons.
const (
	Local    Reason = "local"    // own data centre
	Region   Reason = "region"   // own region: no capacity in the own data centre
	Remote   Reason = "remote"   // other region: no capacity in the own region
	Ramping  Reason = "ramping"  // a new instance got its part of a share
	Probe    Reason = "probe"    // the one request that tests a suspect
	Full     Reason = "full"     // all instances are full; the nearest may queue the call
	Suspects Reason = "suspects" // all instances are suspect
)

// Query asks for an instance.
type Query struct {
	Service string
	// Exclude lists instances that already refused or failed this call.
	Exclude []model.InstanceID
}

// Decision is a chosen instance. Report ends it.
type Decision struct {
	Instance model.Instance
	Row      *table.Row
	Version  model.Version
	Reason   Reason

	node *node
	base time.Time
	at   int64
}

// Outcome is what became of a call to an instance.
type Outcome struct {
	// Load is the reported load; zero slots mean that none was reported.
	Load Load
	// Latency is the time to the answer's header.
	Latency time.Duration
	// Failed says that the connection was refused, reset or cut.
	Failed bool
	// Refused is the kind of the instance's refusal, empty if it answered.
	Refused refusal.Kind
	// TimedOut says that the deadline passed before the answer. It speaks against an
	// instance that has answered no other call meanwhile, as one that a partition
	// hides behind an open connection.
	TimedOut bool
	// Cancelled says that the caller gave up, which tells nothing about the instance.
	Cancelled bool
}

// Router chooses instances. It is safe for concurrent use.
type Router struct {
	self   model.Instance
	random source
	update sync.Mutex
	routes atomic.Pointer[routes]
}

// The refusals of Pick are shared and must not be changed.
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

// New returns a router for calls that arrive at the daemon beside self. Equal seeds
// make equal choices.
func New(self model.Instance, seed uint64) *Router {
	r := &Router{self: self}
	r.random.state.Store(seed)
	return r
}

// Update derives new route tables from a table version and the members, which are
// sorted by ID and must not change afterwards, and swaps them in. Only the services that
// changed are built anew. Calls in progress keep the instance that they have.
func (r *Router) Update(snap *snapshot.Snapshot, members []model.Instance, now time.Time) {
	r.swap(snap.Version(), snap.Table(), members, now)
}

// swap derives and publishes new route tables.
func (r *Router) swap(version model.Version, tab *table.Table, members []model.Instance, now time.Time) {
	r.update.Lock()
	defer r.update.Unlock()
	r.routes.Store(derive(r.routes.Load(), r.self.Place, version, tab, members, now))
}

// Service returns the row of a service, or the refusal of its calls.
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

// Pick chooses an instance and counts a call in flight there until Report. Without an
// acceptable instance it returns a refusal (not run).
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
	t, why := s.service(svc)
	if t.node == nil {
		return Decision{}, noInstance
	}
	t.node.inFlight.Add(1)
	return Decision{Instance: *t.inst, Row: svc.row, Version: routes.version, Reason: why, node: t.node, base: routes.base, at: s.now}, nil
}

// ObserveSelf takes the present load of the instance beside this daemon. Its guard counts
// the calls of all daemons as they arrive, while answers report them later.
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
		group[i].node.firstHand.Store(true)
		group[i].node.report(load, int64(now.Sub(routes.base)))
	}
}

// Observe takes the load that came with the header of an answer whose body still runs.
func (r *Router) Observe(d Decision, load Load, now time.Time) {
	if d.node == nil {
		return
	}
	at := int64(now.Sub(d.base))
	d.node.answeredAt.Store(at)
	if load.Slots > 0 {
		d.node.report(load, at)
	}
}

// Report ends a decision. It must be called exactly once for each decision.
func (r *Router) Report(d Decision, o Outcome, now time.Time) {
	if d.node == nil {
		return
	}
	at := int64(now.Sub(d.base))
	n := d.node
	n.inFlight.Add(-1)
	switch {
	case o.Failed, o.TimedOut && n.silent(d.at, at):
		n.fail(at, d.Reason == Probe)
		return
	case o.Cancelled, o.TimedOut:
		return
	case o.Refused == refusal.Leaving:
		n.leaving.Store(true)
	default:
		n.strikes.Store(0)
		if o.Refused == "" && o.Latency > 0 {
			n.took(o.Latency, at)
		}
	}
	r.Observe(d, o.Load, now)
	if o.Refused == refusal.Overloaded && o.Load.Slots == 0 {
		// The instance is full but did not say of how many; it counts as full until
		// the report is too old.
		_, slots, _ := n.load(at)
		slots = max(slots, 1)
		n.report(Load{InFlight: slots + int(n.inFlight.Load()), Slots: slots}, at)
	}
}
