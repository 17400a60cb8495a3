// Package distribution runs the dissemination core of one daemon: it feeds the core with
// events of links, store and clock, performs its actions, and publishes the snapshot and
// the membership view that result.
package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/dissemination"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/pkg/audit"
	"mangoshed.example/mangoshed/pkg/peer"
	"mangoshed.example/mangoshed/pkg/platform"
)

// Config configures a Runner.
type Config struct {
	// Core configures the dissemination core.
	Core dissemination.Config
	// Transport carries the links. The runner starts it and shuts it down.
	Transport *peer.Transport
	// Platform is the client of the store and of the instance list.
	Platform platform.Client
	// Trail receives the audit entries.
	Trail *audit.Trail
	// Log receives one line per event of interest.
	Log *zap.Logger
	// Registry receives the metrics; nil registers none.
	Registry prometheus.Registerer
	// Backoff bounds the pauses between failed calls to the platform; default 200 ms
	// to 10 s.
	Backoff Backoff

	// The callbacks run on the runner's goroutine, in order, and must not block. Each
	// may be nil. They may call the runner's methods except Shutdown.

	// OnApply reports a new snapshot; previous is nil for the first one.
	OnApply func(current, previous *snapshot.Snapshot)
	// OnMembers reports a changed view of the instances.
	OnMembers func(membership.View)
	// OnReady says whether the daemon may take new work.
	OnReady func(bool)
	// OnStale says that the daemon was paused and has not re-checked its view yet.
	OnStale func(bool)
	// OnDeliver hands over a message that another daemon published.
	OnDeliver func(topic string, data []byte, from model.InstanceID)
}

// Runner owns a dissemination core. Its methods are safe for concurrent use.
type Runner struct {
	cfg     Config
	core    *dissemination.Core
	queue   *queue
	store   *store
	metrics *metrics

	snapshot  atomic.Pointer[snapshot.Snapshot]
	view      atomic.Pointer[membership.View]
	roles     roles
	ready     atomic.Bool
	stale     atomic.Bool
	lastHeard atomic.Int64 // Unix nanoseconds of the last message of a peer or the store

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	done   chan struct{}

	applied *dissemination.Apply // of the batch of actions being performed
}

// New returns a runner that has not started.
func New(cfg Config) *Runner {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Trail == nil {
		cfg.Trail = audit.NewTrail(cfg.Log, 0)
	}
	cfg.Backoff.setDefaults()
	r := &Runner{cfg: cfg, core: dissemination.New(cfg.Core), queue: newQueue(), done: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.roles.role = RoleNone
	r.view.Store(&membership.View{})
	r.heard()
	r.metrics = newMetrics(r)
	r.store = newStore(r, rand.New(rand.NewPCG(cfg.Core.Seed, 0)))
	return r
}

// Start starts the links and the core.
func (r *Runner) Start() error {
	if r.cfg.Registry != nil {
		if err := r.metrics.register(r.cfg.Registry); err != nil {
			return err
		}
	}
	if err := r.cfg.Transport.Start(handler{r}); err != nil {
		return err
	}
	go r.run()
	return nil
}

// Snapshot returns the version in force, nil before the first one.
func (r *Runner) Snapshot() *snapshot.Snapshot { return r.snapshot.Load() }

// Members returns the current view of the instances.
func (r *Runner) Members() membership.View { return *r.view.Load() }

// Ready says whether the daemon may take new work.
func (r *Runner) Ready() bool { return r.ready.Load() }

// Stale says whether the daemon was paused and has not re-checked its view yet.
func (r *Runner) Stale() bool { return r.stale.Load() }

// Staleness returns the time since the last message of a peer or of the store.
func (r *Runner) Staleness() time.Duration {
	return time.Since(time.Unix(0, r.lastHeard.Load()))
}

func (r *Runner) heard() { r.lastHeard.Store(time.Now().UnixNano()) }

// Leave announces that the instance is leaving.
func (r *Runner) Leave() { r.queue.put(dissemination.Leave{}, 0) }

// Publish floods a small message to all daemons.
func (r *Runner) Publish(topic string, data []byte) {
	r.queue.put(dissemination.Publish{Topic: topic, Data: data}, len(data))
}

// Shutdown ends the core, then the links after their queues were sent. When ctx ends
// earlier, the links are closed at once.
func (r *Runner) Shutdown(ctx context.Context) {
	r.cancel()
	<-r.done
	r.store.watch(false)
	r.cfg.Transport.Shutdown(ctx)
	r.tasks.Wait()
}

// Kill ends the runner without a word to the peers, as the death of the process would. It
// is for tests and the demo.
func (r *Runner) Kill() {
	r.cfg.Transport.Kill()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.Shutdown(ctx)
}

// run feeds the core until Shutdown.
func (r *Runner) run() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, e := range r.queue.take() {
			r.handle(e)
		}
		now := time.Now()
		if next := r.core.NextTick(); !now.Before(next) {
			r.handle(dissemination.Tick{})
		}
		timer.Reset(max(time.Until(r.core.NextTick()), minTick))
		select {
		case <-r.ctx.Done():
			for _, e := range r.queue.take() { // for example a Leave just before
				r.handle(e)
			}
			return
		case <-r.queue.signal:
		case <-timer.C:
		}
	}
}

// minTick bounds the rate of ticks, whatever the core asks for.
const minTick = time.Millisecond

// handle passes one event to the core and performs the actions.
func (r *Runner) handle(e dissemination.Event) {
	actions := r.core.Handle(time.Now(), e)
	r.applied = nil
	for _, a := range actions {
		if apply, ok := a.(dissemination.Apply); ok {
			r.applied = &apply
		}
	}
	for _, a := range actions {
		r.perform(a)
	}
}

// perform executes one action.
func (r *Runner) perform(action dissemination.Action) {
	switch a := action.(type) {
	case dissemination.Dial:
		r.cfg.Transport.Dial(a.Instance)
	case dissemination.Close:
		r.cfg.Transport.Close(a.Peer, a.Reason)
	case dissemination.Send:
		if err := r.cfg.Transport.Send(a.Peer, a.Data); err != nil {
			// The core can know a link that is gone when its LinkUp was still queued while
			// the core gave up the dial.
			r.queue.put(dissemination.LinkDown{Peer: a.Peer, Err: err}, 0)
		}
	case dissemination.Watch:
		r.store.watch(a.On)
	case dissemination.ReadManifest:
		r.store.readManifest()
	case dissemination.ReadList:
		r.store.readList()
	case dissemination.FetchSegments:
		r.store.fetch(a)
	case dissemination.Apply:
		r.apply(a)
	case dissemination.Members:
		r.members(a.View)
	case dissemination.Ready:
		r.ready.Store(a.On)
		call(r.cfg.OnReady, a.On)
	case dissemination.Stale:
		r.stale.Store(a.On)
		call(r.cfg.OnStale, a.On)
	case dissemination.Record:
		r.record(a)
	case dissemination.Deliver:
		if r.cfg.OnDeliver != nil {
			r.cfg.OnDeliver(a.Topic, a.Data, a.From)
		}
	}
}

// call calls a callback that may be nil.
func call[T any](f func(T), argument T) {
	if f != nil {
		f(argument)
	}
}

// apply puts a snapshot into force.
func (r *Runner) apply(a dissemination.Apply) {
	r.snapshot.Store(a.Snapshot)
	r.metrics.applied(a, time.Now())
	if r.cfg.OnApply != nil {
		r.cfg.OnApply(a.Snapshot, a.Previous)
	}
}

// members publishes a view.
func (r *Runner) members(view membership.View) {
	r.view.Store(&view)
	r.roleDue()
	call(r.cfg.OnMembers, view)
}

// handler passes events of links to the queue.
type handler struct{ r *Runner }

func (h handler) LinkUp(p model.InstanceID) { h.r.queue.put(dissemination.LinkUp{Peer: p}, 0) }

func (h handler) LinkDown(p model.InstanceID, err error) {
	h.r.queue.put(dissemination.LinkDown{Peer: p, Err: err}, 0)
}

func (h handler) Frame(p model.InstanceID, data []byte) {
	h.r.heard()
	if !h.r.queue.put(dissemination.Frame{Peer: p, Data: data}, len(data)) {
		// The peer learns by the closed link that it has to send again. Close cannot be
		// called from a handler.
		h.r.tasks.Go(func() {
			h.r.cfg.Transport.Close(p, "the event queue is full")
			h.r.queue.put(dissemination.LinkDown{Peer: p, Err: errQueueFull}, 0)
		})
	}
}
