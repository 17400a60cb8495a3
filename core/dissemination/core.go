// Package dissemination decides how versions of the table, the membership and small
// published messages travel between daemons. It is a state machine: events and the time
// go in, actions come out. It opens no sockets and reads no clock.
package dissemination

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/topology"
)

const (
	// maxTick bounds the time between ticks, so that a pause is told from idleness.
	maxTick = 400 * time.Millisecond
	// planInterval bounds the processor time for the topology at the design size.
	planInterval = time.Second
	// defaultCoalesce is the default of Config.Coalesce.
	defaultCoalesce = 20 * time.Millisecond
)

// Config configures a Core.
type Config struct {
	// Self is the daemon's own instance, with its incarnation.
	Self model.Instance
	// StoreRegion is the region of the platform's store.
	StoreRegion string
	// Verifier holds the operator's keys; nil requires no signatures.
	Verifier *snapshot.Verifier
	// Seed feeds the jitter.
	Seed uint64
	// Seeds are daemons that a new daemon asks first. Without seeds it reads the store.
	Seeds []model.Instance
	// FleetSize is the number of daemons assumed before the first instance list
	// arrives, default 1 plus the seeds. It spreads the reads of the store after a mass
	// restart.
	FleetSize int
	// Coalesce is the time for which a change waits for further ones before it
	// crosses the paid link; default 20 ms, negative for none.
	Coalesce time.Duration
}

// Core is the distribution state machine of one daemon. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	self model.Instance // state and incarnation change

	now     time.Time
	next    time.Time // earliest deadline
	actions []Action

	plan      topology.Plan
	planAt    time.Time // earliest next evaluation
	planDirty bool

	links []*link // sorted by peer, so that runs with equal seeds are equal
	peers map[model.InstanceID]*peerState
	eager *link // the parent that sends every version
	// missing holds the entries of other regions that a reader expects as subscribers.
	missing map[model.InstanceID]time.Time

	history  history
	rejected ring[mark]
	reported ring[string]
	pulledAt time.Time // last pull on any link

	members membersState
	store   storeState
	boot    bootstrap
	recheck recheck
	contact contact
	floods  floods

	heartbeat   uint64
	heartbeatAt time.Time
	detachments int // parents given up since the heartbeat advanced
	ready       bool
	watching    bool
	crossed     bool // the version held was sent across the paid link
}

// New returns a Core.
func New(cfg Config) *Core {
	if cfg.Coalesce == 0 {
		cfg.Coalesce = defaultCoalesce
	}
	c := &Core{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, hashID(cfg.Self.ID))),
		self:  cfg.Self,
		plan:  topology.Plan{ReaderRank: -1},
		peers: map[model.InstanceID]*peerState{},
	}
	c.members.table = membership.New()
	return c
}

// Handle processes an event at the given time and returns the actions to perform in order.
func (c *Core) Handle(now time.Time, ev Event) []Action {
	c.actions = nil
	c.advanceTime(now)
	switch ev := ev.(type) {
	case Tick:
	case LinkUp:
		c.onLinkUp(ev.Peer)
	case LinkDown:
		c.onLinkDown(ev.Peer)
	case Frame:
		c.onFrame(ev.Peer, ev.Data)
	case StoreManifest:
		c.onStoreManifest(ev)
	case StoreSegments:
		c.onStoreSegments(ev)
	case StoreList:
		c.onStoreList(ev)
	case Leave:
		c.onLeave()
	case Publish:
		c.onPublish(ev)
	}
	c.advance()
	return c.actions
}

// NextTick returns the time at which the runner sends Tick at the latest.
func (c *Core) NextTick() time.Time { return c.next }

// advance performs everything that is due.
func (c *Core) advance() {
	c.next = c.now.Add(maxTick)
	c.refreshPlan()
	c.advanceBootstrap()
	c.reconcile()
	c.advanceRecheck()
	c.advanceHeartbeat()
	for _, l := range c.links {
		c.advanceSubscriber(l)
		c.advanceAdvert(l)
		c.advanceBeacon(l)
		c.advanceMembers(l)
	}
	c.confirm()
	c.advanceContact()
	c.advanceStore()
	c.advanceFloods()
	c.advanceView()
	c.updateReady()
}

// due reports whether a deadline has passed; the zero time means no deadline. A
// deadline in the future is taken into account by NextTick.
func (c *Core) due(at time.Time) bool {
	if at.IsZero() {
		return false
	}
	if !c.now.Before(at) {
		return true
	}
	if at.Before(c.next) {
		c.next = at
	}
	return false
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// jitter returns a random part of a duration.
func (c *Core) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}

// refreshPlan evaluates the topology after a change of the view, at most once a second.
func (c *Core) refreshPlan() {
	if !c.planDirty || c.members.table.Revision() == 0 {
		return
	}
	if !c.planAt.IsZero() && !c.due(c.planAt) {
		return
	}
	c.planDirty = false
	c.planAt = c.now.Add(planInterval)
	c.plan = topology.BuildFor(c.members.table.View(), c.self, c.cfg.StoreRegion)
	if watch := c.plan.ReaderRank >= 0; watch != c.watching {
		c.watching = watch
		c.emit(Watch{On: watch})
	}
	for _, l := range c.links {
		l.place = c.placeOf(l.peer)
	}
}

// fleetSize returns the number of daemons that share budgets.
func (c *Core) fleetSize() int {
	if c.members.table.Revision() > 0 {
		return max(1, c.members.table.Len())
	}
	return max(1+len(c.cfg.Seeds), c.cfg.FleetSize)
}

// record emits an audit record once per contents.
func (c *Core) record(r Record) {
	if !c.reported.add(fmt.Sprintf("%s/%d/%s/%s", r.Kind, r.Version, r.Digest.Prefix(), r.Reason)) {
		return
	}
	c.emit(r)
}

func (c *Core) updateReady() {
	ready := c.history.held() != nil && c.members.table.Revision() > 0 &&
		!c.boot.active && !c.recheck.active && c.self.State == model.Live
	if ready != c.ready {
		c.ready = ready
		c.emit(Ready{On: ready})
	}
}
