package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/admission"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/pkg/caller"
	"mangoshed.example/mangoshed/pkg/forward"
	"mangoshed.example/mangoshed/pkg/platform"
	"mangoshed.example/mangoshed/pkg/upstream"
)

// topicQuarantine is the topic of quarantine reports between daemons.
const topicQuarantine = "quarantine"

// calls holds the parts that carry calls.
type calls struct {
	router        *routing.Router
	guard         *upstream.Guard
	callers       *caller.Server
	forwardServer *forward.Server
	forwardClient *forward.Client
}

func newCalls(d *Daemon) (*calls, error) {
	s := d.cfg.Settings
	c := &calls{
		router:        routing.New(d.self, d.self.Incarnation),
		forwardClient: forward.NewClient(forward.ClientConfig{Identity: d.cfg.Identity, Log: d.log}),
	}
	idle := time.Duration(s.Limits.IdleTimeoutSeconds) * time.Second
	dispatch := &lateTripper{}
	var err error
	c.guard, err = upstream.New(upstream.Config{
		Self: d.self, Address: s.Upstream.Address, Connections: s.Upstream.Connections,
		Admission: admission.Config{Slots: s.Upstream.Slots, QueuePerClass: (s.Upstream.QueueLength + 1) / 2},
		Idle:      idle, MaxKeys: s.Limits.Keys, Dispatch: dispatch, Peers: c.forwardClient,
		Fresh:    d.freshView,
		Publish:  func(data []byte) { d.runner.Publish(topicQuarantine, data) },
		Registry: d.registry, Log: d.log,
	})
	if err != nil {
		return nil, err
	}
	c.callers, err = caller.New(caller.Config{
		Self: d.self, Router: c.router, Local: c.guard, Remote: c.forwardClient, Owners: c.guard,
		LocalLoad: func() routing.Load { return routing.Load(c.guard.LoadNow()) },
		Identity:  d.cfg.Identity, Registry: d.registry, Idle: idle, ErrorLog: d.errorLog("callers"),
	})
	if err != nil {
		c.guard.Close()
		return nil, err
	}
	dispatch.next = c.callers
	c.forwardServer = forward.NewServer(forward.ServerConfig{
		Identity: d.cfg.Identity, Calls: c.guard, Peers: c.guard, Load: c.guard.Load, Idle: idle, ErrorLog: d.errorLog("forward"),
	})
	return c, nil
}

// lateTripper passes requests to a RoundTripper that is created after it: the guard
// dispatches through the ingress, which in turn calls the guard.
type lateTripper struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (l *lateTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	return l.next.RoundTrip(req)
}

// freshView confirms with the platform that the daemon's view is current, or reads the list.
// An unchanged list costs a few hundred bytes; at the design size the whole list has 3 MB.
func (d *Daemon) freshView(ctx context.Context) (membership.View, error) {
	held := d.runner.Members()
	list, err := d.cfg.Platform.List(ctx, held.Revision, false)
	var unchanged *platform.NotModified
	if errors.As(err, &unchanged) && held.Revision > 0 && unchanged.Revision == held.Revision {
		return held, nil
	}
	if err != nil {
		return membership.View{}, err
	}
	return membership.View{Revision: list.Revision, Instances: list.Instances}, nil
}

// update derives the routes, limits and owners of keys from a version and a view.
func (c *calls) update(s *snapshot.Snapshot, view membership.View) {
	c.guard.Update(s, view)
	if s != nil {
		c.router.Update(s, view.Instances, time.Now())
	}
}

// setStale refuses what must not be repeated while the daemon checks its view.
func (c *calls) setStale(stale bool) {
	c.guard.SetStale(stale)
	c.callers.SetStale(stale)
}

func (c *calls) deliver(topic string, data []byte) {
	if topic == topicQuarantine {
		c.guard.Deliver(data)
	}
}

func (c *calls) load() admission.Load { return c.guard.LoadNow() }

func (c *calls) explain(service string) routing.Explanation {
	return c.router.Explain(service, time.Now())
}

// refusalTime is the part of a drain for the refusals of calls of other daemons that outlast
// it. Those of callers are given up before, so that the ingress does not try them elsewhere.
const refusalTime = caller.AnswerTime / 2

// drain refuses new work and waits for what runs. The ingress serves what runs, and the
// calls that this makes, until the guard has drained; the forward server stops last, so that
// refusals and key records still reach the peers. Calls that outlast the drain are given up
// while there is time for the refusals.
func (c *calls) drain(ctx context.Context) error {
	ingress, cancelIngress := reserve(ctx, caller.AnswerTime)
	defer cancelIngress()
	running, cancelRunning := reserve(ctx, refusalTime)
	defer cancelRunning()
	context.AfterFunc(running, c.forwardServer.GiveUp)
	c.callers.Leave(ingress)
	guard := c.guard.Drain(running)
	var handOver sync.WaitGroup
	handOver.Go(func() { c.guard.HandOver(ctx) })
	callers := c.callers.Drain(ingress)
	handOver.Wait()
	return errors.Join(guard, callers, c.forwardServer.Shutdown(ctx))
}

// reserve returns a context that ends before ctx by the time, but not before half of the
// time left. It ends with ctx if that has no deadline.
func reserve(ctx context.Context, at time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-min(at, time.Until(deadline)/2)))
}

// close cuts what is left.
func (c *calls) close() {
	_ = c.callers.Close()
	_ = c.forwardServer.Close()
	c.forwardClient.Close()
	c.guard.Close()
}
