// Package operator serves the admin HTTP interface of a daemon and holds its client.
package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/pkg/audit"
)

// Status is the state of a daemon.
type Status struct {
	Instance   model.InstanceID `json:"instance"`
	Service    string           `json:"service"`
	Region     string           `json:"region"`
	DataCentre string           `json:"data_centre"`
	State      string           `json:"state"` // live or leaving
	// Ready says whether the daemon takes new work; NotReady tells why it does not.
	Ready    bool   `json:"ready"`
	NotReady string `json:"not_ready,omitempty"`
	// Stale says that the daemon was paused and has not re-checked its view yet.
	Stale bool `json:"stale"`

	// Version is the table in force, 0 before the first one.
	Version   model.Version `json:"version"`
	Digest    string        `json:"digest,omitempty"`
	Published time.Time     `json:"published,omitzero"`
	Applied   time.Time     `json:"applied,omitzero"`
	// Source is "store" or the ID of the daemon that sent the version.
	Source string `json:"source,omitempty"`

	Role string `json:"role"`
	// StalenessSeconds is the time since the last message of a peer or of the store.
	StalenessSeconds float64 `json:"staleness_seconds"`
	Members          int     `json:"members"`
	MembersRevision  uint64  `json:"members_revision"`
	Links            int     `json:"links"`

	// Slots, InFlight and Queued describe the local upstream.
	Slots    int `json:"slots"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`

	UptimeSeconds float64 `json:"uptime_seconds"`
	Release       string  `json:"release"`
}

// Daemon is what the server shows and controls. Implementations are safe for concurrent
// use and do not block.
type Daemon interface {
	Status() Status
	// Explain returns how calls to a service are routed now.
	Explain(service string) routing.Explanation
	// Audit returns up to max entries of the trail, the newest first; 0 returns all.
	Audit(max int) []audit.Entry
	// Drain starts a graceful shutdown. It has no effect when one is under way.
	Drain()
}

// Limits of the admin server, which serves few and small requests.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// Server is the admin HTTP server.
type Server struct {
	daemon   Daemon
	server   *http.Server
	listener net.Listener
}

// NewServer binds the address (host:port). The registry's metrics are served; it may be
// nil.
func NewServer(address string, daemon Daemon, registry prometheus.Gatherer) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Address: address, Remedy: "check listen.admin_address in the settings and that the port is free", Err: err}
	}
	s := &Server{daemon: daemon, listener: listener}
	app, err := s.routes(registry)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	s.server = &http.Server{
		Handler: app, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve answers requests until Shutdown. It then returns nil.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown lets running requests end and closes the server, at the latest when ctx ends.
func (s *Server) Shutdown(ctx context.Context) {
	if err := s.server.Shutdown(ctx); err != nil {
		_ = s.server.Close()
	}
}

// routes returns the handler of all paths.
func (s *Server) routes(registry prometheus.Gatherer) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable") // the daemon logs its own events
	app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	app.Get("/readyz", s.ready)
	if registry != nil {
		app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	}
	v1 := app.Party("/v1")
	v1.Get("/status", func(ctx iris.Context) { _ = ctx.JSON(s.daemon.Status()) })
	v1.Get("/explain", s.explain)
	v1.Get("/audit", s.audit)
	v1.Post("/drain", s.drain)
	app.OnAnyErrorCode(func(ctx iris.Context) {
		_ = ctx.JSON(failure{Problem: http.StatusText(ctx.GetStatusCode()), Remedy: "see section 9 of docs/design.md for the paths"})
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// failure is the JSON body of an error.
type failure struct {
	Problem string `json:"error"`
	Remedy  string `json:"remedy"`
}

// fail answers a request with an error. StopExecution keeps iris from replacing the body.
func fail(ctx iris.Context, status int, problem, remedy string) {
	_ = ctx.StopWithJSON(status, failure{Problem: problem, Remedy: remedy})
}

func (s *Server) ready(ctx iris.Context) {
	status := s.daemon.Status()
	if !status.Ready {
		ctx.StopWithText(http.StatusServiceUnavailable, "not ready: %s\n", status.NotReady)
		return
	}
	_, _ = ctx.WriteString("ready\n")
}

func (s *Server) explain(ctx iris.Context) {
	service := ctx.URLParam("service")
	if service == "" {
		fail(ctx, http.StatusBadRequest, "the parameter service is missing", "use /v1/explain?service=NAME")
		return
	}
	_ = ctx.JSON(s.daemon.Explain(service))
}

func (s *Server) audit(ctx iris.Context) {
	max := 0
	if text := ctx.URLParam("max"); text != "" {
		var err error
		if max, err = strconv.Atoi(text); err != nil || max < 0 {
			fail(ctx, http.StatusBadRequest, "the parameter max is not a number", "use /v1/audit?max=20")
			return
		}
	}
	_ = ctx.JSON(s.daemon.Audit(max))
}

func (s *Server) drain(ctx iris.Context) {
	// A page in an operator's browser must not be able to drain a daemon.
	if ctx.GetHeader("Origin") != "" {
		fail(ctx, http.StatusForbidden, "requests of web pages are refused", "use a command-line client")
		return
	}
	s.daemon.Drain()
	ctx.StatusCode(http.StatusAccepted)
	_ = ctx.JSON(s.daemon.Status())
}
