// Package operator serves the admin HTTP interface of a daemon and holds its client.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

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
	s.server = &http.Server{
		Handler: s.routes(registry), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
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
func (s *Server) routes(registry prometheus.Gatherer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	if registry != nil {
		mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	}
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.daemon.Status()) })
	mux.HandleFunc("GET /v1/explain", s.explain)
	mux.HandleFunc("GET /v1/audit", s.audit)
	mux.HandleFunc("POST /v1/drain", s.drain)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusNotFound, http.StatusText(http.StatusNotFound), "see section 9 of docs/design.md for the paths")
	})
	return mux
}

// failure is the JSON body of an error.
type failure struct {
	Problem string `json:"error"`
	Remedy  string `json:"remedy"`
}

// reply answers with a JSON body. A failed write means that the client has gone.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, status int, problem, remedy string) {
	reply(w, status, failure{Problem: problem, Remedy: remedy})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	status := s.daemon.Status()
	if !status.Ready {
		http.Error(w, "not ready: "+status.NotReady, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	if service == "" {
		fail(w, http.StatusBadRequest, "the parameter service is missing", "use /v1/explain?service=NAME")
		return
	}
	reply(w, http.StatusOK, s.daemon.Explain(service))
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	max := 0
	if text := r.URL.Query().Get("max"); text != "" {
		var err error
		if max, err = strconv.Atoi(text); err != nil || max < 0 {
			fail(w, http.StatusBadRequest, "the parameter max is not a number", "use /v1/audit?max=20")
			return
		}
	}
	reply(w, http.StatusOK, s.daemon.Audit(max))
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	// A page in an operator's browser must not be able to drain a daemon.
	if r.Header.Get("Origin") != "" {
		fail(w, http.StatusForbidden, "requests of web pages are refused", "use a command-line client")
		return
	}
	s.daemon.Drain()
	reply(w, http.StatusAccepted, s.daemon.Status())
}
