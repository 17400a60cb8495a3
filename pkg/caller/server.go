// Package caller takes the calls of callers over HTTP and passes each to an upstream of
// the service that its Host names: the ingress side of a call.
package caller

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/pkg/closing"
	"mangoshed.example/mangoshed/pkg/forward"
	"mangoshed.example/mangoshed/pkg/identity"
	"mangoshed.example/mangoshed/pkg/stream"
)

const (
	// headerTimeout bounds the time in which a caller sends a request's header.
	headerTimeout = 10 * time.Second
	// keepAlive is the time after which an unused connection of a caller is closed.
	keepAlive = 2 * time.Minute
	// firstCall is the age at which a connection without a call counts as idle: a call follows its
	// connection, after the initial retransmission timeout of TCP (1 s, RFC 6298) if it was lost.
	firstCall = time.Second
	// defaultMaxCalls bounds the calls in flight: each takes about 25 KB, and 64 KB more
	// while its answer is copied.
	defaultMaxCalls = 1024
)

// Config configures a Server.
type Config struct {
	Self   model.Instance
	Router *routing.Router
	// Local is the guard of the local upstream.
	Local http.RoundTripper
	// LocalLoad returns the present load of the local upstream; nil if only answers tell.
	LocalLoad func() routing.Load
	// Remote reaches the daemons beside other instances.
	Remote Remote
	// Owners finds the owners of idempotency keys.
	Owners Owners
	// Identity enables ServeTLS; nil for plain HTTP only.
	Identity *identity.Source
	// Registry takes the metrics; nil for none.
	Registry prometheus.Registerer
	// Idle bounds the time without a byte in either direction of a body.
	// Default: stream.IdleTimeout.
	Idle time.Duration
	// Linger is the time for which a draining server still answers on open
	// connections. Default: 500 ms.
	Linger time.Duration
	// FirstCall is the age from which on a drain ends connections of plain HTTP on which nothing
	// has arrived. Default: 1 s.
	FirstCall time.Duration
	// AnswerTime is how long the callers of calls that outlast a drain may take to read
	// their refusals. Default: AnswerTime.
	AnswerTime time.Duration
	// MaxCalls bounds the calls in flight; more are refused (overloaded, not run).
	// Default: 1,024.
	MaxCalls int
	// ErrorLog takes the errors of connections; nil drops them.
	ErrorLog *log.Logger
}

// Server answers callers.
type Server struct {
	*Dispatcher
	config Config
	// plain serves plain HTTP/1.1, http what comes over TLS.
	plain *closing.Server
	http  *http.Server
	// leaving is set by Leave and drained by Drain.
	leaving atomic.Bool
	drained atomic.Bool
	stale   atomic.Bool
	running atomic.Int64
	// stopping ends when a drain gives up the calls that still run.
	stopping context.Context
	giveUp   context.CancelFunc
	givenUp  atomic.Int64

	mu sync.Mutex
	// secure are the listeners of ServeTLS.
	secure []net.Listener
}

// New returns a server that does not listen yet. It fails when the registry refuses
// the metrics.
func New(config Config) (*Server, error) {
	if config.Idle == 0 {
		config.Idle = stream.IdleTimeout
	}
	if config.Linger == 0 {
		config.Linger = lingerTime
	}
	if config.FirstCall == 0 {
		config.FirstCall = firstCall
	}
	if config.AnswerTime == 0 {
		config.AnswerTime = AnswerTime
	}
	if config.MaxCalls == 0 {
		config.MaxCalls = defaultMaxCalls
	}
	if config.ErrorLog == nil {
		config.ErrorLog = log.New(io.Discard, "", 0)
	}
	budget := retry.NewBudget()
	d := &Dispatcher{
		self: config.Self, router: config.Router, local: config.Local, load: config.LocalLoad, remote: config.Remote, owners: config.Owners,
		budget: budget,
	}
	s := &Server{Dispatcher: d, config: config}
	s.stopping, s.giveUp = context.WithCancel(context.Background())
	d.metrics = newMetrics(budget, &s.running)
	if config.Registry != nil {
		if err := d.register(config.Registry); err != nil {
			return nil, err
		}
	}
	s.plain = closing.New(s.newHTTP())
	s.plain.UnusedTimeout = config.FirstCall
	s.http = s.newHTTP()
	if config.Identity != nil {
		s.http.TLSConfig = config.Identity.OptionalServerTLS("h2", "http/1.1")
	}
	return s, nil
}

func (s *Server) newHTTP() *http.Server {
	return &http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepAlive, ErrorLog: s.config.ErrorLog,
		DisableGeneralOptionsHandler: true,
		// The typed refusal at MaxHeaderBytes comes first.
		MaxHeaderBytes: MaxHeaderBytes + MaxHeaderBytes/2,
	}
}

// Serve accepts plain HTTP until Leave or Drain. A drain waits for connections of TCP listeners
// and of closing.Limit.
func (s *Server) Serve(listener net.Listener) error { return s.ended(s.plain.Serve(listener)) }

// ServeTLS accepts HTTPS until Drain. Own services show their certificates here.
func (s *Server) ServeTLS(listener net.Listener) error {
	s.track(listener)
	return s.ended(s.http.ServeTLS(listener, "", ""))
}

func (s *Server) track(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secure = append(s.secure, listener)
}

func (s *Server) ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) || s.leaving.Load() {
		return nil
	}
	return err
}

// SetStale says whether the daemon's view may be old, as after a pause. Meanwhile requests
// that must not be repeated are refused (not run).
func (s *Server) SetStale(on bool) { s.stale.Store(on) }

// exchange is one call of a caller with its answer.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	cancel  context.CancelFunc
	upload  *stream.Upload // nil without a request body
	expects bool           // the caller waits for 100 Continue
	call    *call          // nil if the call was not admitted
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{w: w, r: r, started: time.Now(), expects: r.Header.Get("Expect") != ""}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	c, limit, refused := s.admit(r, serviceOfPeer(r))
	if running > int64(s.config.MaxCalls) {
		refused = tooMany
	}
	if refused != nil {
		limit = s.config.Idle
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	e.cancel = cancel
	control := http.NewResponseController(w)
	if r.ProtoMajor == 1 {
		// The deadline of the previous answer on the connection no longer counts.
		_ = control.SetWriteDeadline(time.Time{})
	}
	if r.ContentLength != 0 {
		_ = control.EnableFullDuplex()
		e.upload = stream.NewUpload(w, r, s.config.Idle, cancel)
		defer e.upload.End()
	}
	answering := s.endWithDrain(e)
	defer answering()
	if refused != nil {
		s.answerRefusal(e, refused)
		return
	}
	e.call = c
	if e.upload != nil {
		c.body = newBody(e.upload, r.ContentLength, &s.memory)
		defer c.body.free()
	}
	s.prepare(c, r)
	resp, err := s.send(ctx, c)
	if !answering() {
		s.answerRefusal(e, stopped(resp, err))
		discard(resp)
		return
	}
	if err != nil {
		s.answerRefusal(e, s.refusalFor(ctx, c, err))
		return
	}
	s.answer(e, resp)
}

// answer passes the upstream's answer, or another daemon's refusal, to the caller.
func (s *Server) answer(e *exchange, resp *http.Response) {
	observe := s.answered
	if kind := resp.Header.Get(refusal.HeaderKind); kind != "" {
		s.refuse(refusal.Kind(kind), resp.Header.Get(refusal.HeaderRun))
		observe = s.rejected
		e.drain()
	}
	s.announceEnd(e)
	delete(resp.Header, refusal.HeaderLoad)
	if err := stream.WriteResponse(e.w, e.r.Method, resp, s.config.Idle, e.cancel); err != nil {
		s.cuts.Inc()
		// The caller must not take the part for the whole.
		panic(http.ErrAbortHandler)
	}
	s.lastWrite(e.w, e.r)
	observe.Observe(time.Since(e.started).Seconds())
}

func (s *Server) answerRefusal(e *exchange, refused *refusal.Refusal) {
	e.drain()
	s.announceEnd(e)
	if refused.Kind == refusal.Leaving {
		e.w.Header().Set("Connection", "close")
	}
	s.refuse(refused.Kind, refused.Run.String())
	refusal.Write(e.w, refused)
	s.lastWrite(e.w, e.r)
	s.rejected.Observe(time.Since(e.started).Seconds())
}

// drain reads the rest of a short body before a refusal, so that the connection can be
// used again: under overload most answers are refusals.
func (e *exchange) drain() {
	if e.upload == nil || e.upload.Done() || e.expects || e.r.ContentLength < 0 || e.r.ContentLength > replayBytes {
		return
	}
	var rest io.Reader = e.upload
	if e.call != nil {
		rest = e.call.body.attempt()
	}
	_, _ = io.Copy(io.Discard, rest)
}

// announceEnd precedes each answer. An HTTP/1.1 connection ends with the answer when the server
// drains, and when the rest of an unread body would be taken for the next request.
func (s *Server) announceEnd(e *exchange) {
	unread := e.upload != nil && !e.upload.Done()
	if e.r.ProtoMajor == 1 && (unread || s.drained.Load()) {
		e.w.Header().Set("Connection", "close")
	}
}

// lastWrite bounds the write of what is still buffered when the handler returns.
func (s *Server) lastWrite(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.config.Idle))
	}
}

var tooMany = &refusal.Refusal{
	Kind: refusal.Overloaded, Run: refusal.NotRun, RetryAfter: time.Second, Remedy: "the daemon has too many calls in flight; try again",
}

// serviceOfPeer returns the own service whose certificate the caller holds, empty for
// strangers.
func serviceOfPeer(r *http.Request) string {
	if r.TLS == nil {
		return ""
	}
	peer, err := identity.PeerOf(*r.TLS)
	if err != nil {
		return "" // a caller needs no certificate
	}
	return peer.Service
}

// admit returns the call and its time limit, or its refusal. service is that of the
// caller's certificate.
func (s *Server) admit(r *http.Request, service string) (*call, time.Duration, *refusal.Refusal) {
	if !s.takes(r, service) {
		return nil, 0, &refusal.Refusal{Kind: refusal.Leaving, Run: refusal.NotRun, Remedy: "connect again; this daemon stops"}
	}
	own := service != ""
	if refused := check(r, own); refused != nil {
		return nil, 0, refused
	}
	c := &call{service: serviceOf(r.Host), request: r}
	row, refused := s.router.Service(c.service)
	if refused != nil {
		return nil, 0, refused
	}
	if row.Internal && !own {
		return nil, 0, &refusal.Refusal{
			Kind: refusal.InternalOnly, Run: refusal.NotRun, Remedy: "call internal services with a client certificate of an own service",
		}
	}
	limit := row.Deadline
	if own {
		remaining, err := forward.Remaining(r.Header)
		if err != nil {
			return nil, 0, bad(err.Error())
		}
		if remaining > 0 {
			limit = min(limit, remaining)
		}
		if value := r.Header.Get(refusal.HeaderDepth); value != "" {
			depth, err := strconv.ParseUint(value, 10, 16)
			if err != nil || depth >= MaxDepth {
				return nil, 0, bad("end the chain of calls; " + refusal.HeaderDepth + " is too large or no number")
			}
			c.depth = int(depth) + 1
		}
	}
	c.repeatable = row.MayRepeat(r.Method)
	if !c.repeatable && s.stale.Load() {
		return nil, 0, &refusal.Refusal{
			Kind: refusal.NoVersion, Run: refusal.NotRun, RetryAfter: time.Second,
			Remedy: "the daemon checks its version and instances after a pause; try again",
		}
	}
	if !c.repeatable {
		c.key = r.Header.Get(refusal.HeaderKey)
	}
	return c, limit, nil
}

// prepare replaces what the caller may not say and adds what daemons say to each other.
func (s *Server) prepare(c *call, r *http.Request) {
	h := r.Header
	stream.StripHop(h)
	for _, name := range replacedHeaders {
		delete(h, name)
	}
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		address = r.RemoteAddr
	}
	proto := "http"
	if r.TLS != nil {
		proto = "https"
	}
	h["X-Forwarded-For"] = []string{address}
	h["X-Forwarded-Proto"] = []string{proto}
	h[refusal.HeaderService] = []string{c.service}
	h[refusal.HeaderDepth] = depthValue(c.depth)
	r.Host, r.RequestURI = c.service, ""
}

// replacedHeaders would let a caller claim to be another, or change what an upstream
// takes the request for.
var replacedHeaders = [...]string{
	"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Port", "X-Forwarded-Proto", "X-Real-Ip", "X-Original-Url",
	"X-Rewrite-Url", "X-Http-Method-Override", "Proxy", "Host", "Expect",
}

// refusalFor returns the refusal that the caller gets for a failure.
func (s *Server) refusalFor(ctx context.Context, c *call, err error) *refusal.Refusal {
	refused := failureOf(nil, err)
	if c.body.broken() && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &refusal.Refusal{Kind: refusal.BadRequest, Run: refused.Run, Remedy: "send the whole body, without long pauses, in the form that the header announces"}
	}
	return refused
}
