package forward

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/identity"
	"mangoshed.example/mangoshed/pkg/stream"
)

// PeerPath starts the paths of messages between daemons.
const PeerPath = "/mangoshed/"

// ServerConfig configures a Server.
type ServerConfig struct {
	Identity *identity.Source
	// Calls runs the calls that peers forward. The request's Host is the service.
	Calls http.RoundTripper
	// Peers answers messages of other daemons under PeerPath; it may be nil.
	Peers http.Handler
	// Load returns the value of refusal.HeaderLoad for refusals; it may be nil.
	Load func() string
	// Idle bounds the time without a byte in either direction of a body.
	// Default: stream.IdleTimeout.
	Idle time.Duration
	// ErrorLog takes the errors of connections; nil drops them.
	ErrorLog *log.Logger
}

// Server takes calls from other daemons. Only holders of an instance certificate of the
// fleet's authority may use it.
type Server struct {
	config ServerConfig
	http   *http.Server
	// stopping ends when bodies that still arrive are given up.
	stopping context.Context
	giveUp   context.CancelFunc
}

// NewServer returns a server that does not listen yet.
func NewServer(config ServerConfig) *Server {
	if config.Idle == 0 {
		config.Idle = stream.IdleTimeout
	}
	if config.ErrorLog == nil {
		config.ErrorLog = log.New(io.Discard, "", 0)
	}
	s := &Server{config: config}
	s.stopping, s.giveUp = context.WithCancel(context.Background())
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	s.http = &http.Server{
		Handler: s, Protocols: protocols, HTTP2: http2Config(0), MaxHeaderBytes: maxHeaderBytes,
		TLSConfig: config.Identity.ServerTLS(protocol), ReadHeaderTimeout: config.Idle,
		// The client closes idle connections first, so that no request meets a
		// connection that is just closing.
		IdleTimeout: 2 * idleConn, ErrorLog: config.ErrorLog,
	}
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.ServeTLS(listener, "", "")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// GiveUp ends the reads of bodies whose calls have no answer yet, so that these can be refused
// before the server is closed.
func (s *Server) GiveUp() { s.giveUp() }

// Shutdown stops accepting, tells the peers to send nothing new on their connections
// and waits for the running calls until the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close cuts everything.
func (s *Server) Close() error { return s.http.Close() }

// ServeHTTP answers one request of a peer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.TLS == nil {
		s.refuse(w, notPeer)
		return
	}
	peer, err := identity.PeerOf(*r.TLS)
	if err != nil || peer.Instance == "" {
		s.refuse(w, notPeer)
		return
	}
	service := r.Header.Get(refusal.HeaderService)
	switch {
	case service != "":
		s.call(w, r, service)
	case s.config.Peers != nil && strings.HasPrefix(r.URL.Path, PeerPath):
		s.config.Peers.ServeHTTP(w, r)
	default:
		s.refuse(w, &refusal.Refusal{
			Kind: refusal.BadRequest, Run: refusal.NotRun, Remedy: "send calls with " + refusal.HeaderService + " and messages under " + PeerPath,
		})
	}
}

var notPeer = &refusal.Refusal{
	Kind: refusal.InternalOnly, Run: refusal.NotRun, Remedy: "connect with an instance certificate of the fleet's authority",
}

func (s *Server) refuse(w http.ResponseWriter, r *refusal.Refusal) {
	if s.config.Load != nil {
		w.Header().Set(refusal.HeaderLoad, s.config.Load())
	}
	refusal.Write(w, r)
}

// call runs a forwarded call.
func (s *Server) call(w http.ResponseWriter, r *http.Request, service string) {
	remaining, err := Remaining(r.Header)
	if err != nil {
		s.refuse(w, &refusal.Refusal{Kind: refusal.BadRequest, Run: refusal.NotRun, Remedy: err.Error()})
		return
	}
	ctx, cancel := r.Context(), context.CancelFunc(nil)
	if remaining > 0 {
		ctx, cancel = context.WithTimeout(ctx, remaining)
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	defer cancel()
	out := r.WithContext(ctx)
	out.Host, out.RequestURI = service, ""
	// A transport would probe a body of unknown kind for its first byte.
	out.Body = http.NoBody
	answering := func() bool { return true }
	if r.ContentLength != 0 {
		body := stream.NewUpload(w, r, s.config.Idle, cancel)
		defer body.End()
		out.Body = body
		answering = context.AfterFunc(s.stopping, body.Abort)
	}
	resp, err := s.config.Calls.RoundTrip(out) //nolint:bodyclose // stream.WriteResponse closes it
	answering()
	if err != nil {
		s.refuse(w, asRefusal(err))
		return
	}
	if err := stream.WriteResponse(w, r.Method, resp, s.config.Idle, cancel); err != nil {
		// The peer must not take the part for the whole.
		panic(http.ErrAbortHandler)
	}
}

// asRefusal returns the refusal in err. An error of another type says nothing about
// whether the call has run.
func asRefusal(err error) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return &refusal.Refusal{Kind: refusal.UpstreamFailed, Run: refusal.MayHaveRun, Remedy: "see the log of the daemon beside the upstream: " + err.Error()}
}
