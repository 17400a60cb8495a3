package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/pkg/caller"
	"mangoshed.example/mangoshed/pkg/forward"
)

// calls holds the parts that carry calls.
type calls struct {
	router        *routing.Router
	callers       *caller.Server
	forwardServer *forward.Server
	forwardClient *forward.Client
}

func newCalls(d *Daemon) (*calls, error) {
	s := d.cfg.Settings
	c := &calls{
		router:        routing.New(d.self, d.self.Incarnation),
		forwardClient: forward.NewClient(forward.ClientConfig{Identity: d.cfg.Identity}),
	}
	idle := time.Duration(s.Limits.IdleTimeoutSeconds) * time.Second
	local := &localTransport{address: s.Upstream.Address, transport: &http.Transport{MaxConnsPerHost: s.Upstream.Connections}}
	var err error
	c.callers, err = caller.New(caller.Config{
		Self: d.self, Router: c.router, Local: local, Remote: c.forwardClient, Owners: c,
		Identity: d.cfg.Identity, Registry: d.registry, Idle: idle, ErrorLog: d.errorLog("callers"),
	})
	if err != nil {
		return nil, err
	}
	c.forwardServer = forward.NewServer(forward.ServerConfig{
		Identity: d.cfg.Identity, Calls: local, Idle: idle, ErrorLog: d.errorLog("forward"),
	})
	return c, nil
}

// localTransport sends calls to the local upstream.
type localTransport struct {
	address   string
	transport *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (l *localTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	out := req.Clone(req.Context())
	out.URL.Scheme, out.URL.Host = "http", l.address
	return l.transport.RoundTrip(out)
}

// Owner implements caller.Owners.
func (c *calls) Owner(string, string) (model.Instance, bool) { return model.Instance{}, false }

// update derives the routes from a version and a view.
func (c *calls) update(s *snapshot.Snapshot, view membership.View) {
	if s != nil {
		c.router.Update(s, view.Instances, time.Now())
	}
}

func (c *calls) setStale(bool) {}

func (c *calls) deliver(string, []byte) {}

func (c *calls) load() routing.Load { return routing.Load{} }

func (c *calls) explain(service string) routing.Explanation {
	return c.router.Explain(service, time.Now())
}

func (c *calls) serveCallers(listener net.Listener) error {
	if err := c.callers.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// drain refuses new work and waits for what runs.
func (c *calls) drain(ctx context.Context) error {
	return errors.Join(c.callers.Drain(ctx), c.forwardServer.Shutdown(ctx))
}

// close cuts what is left.
func (c *calls) close() {
	_ = c.callers.Close()
	_ = c.forwardServer.Close()
	c.forwardClient.Close()
}
