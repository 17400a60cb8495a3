// Package closing shuts down HTTP/1.1 servers without losing requests. http.Server.Shutdown does not
// ensure this: it drops a request whose header is completed only after the call, and closes
// connections on which a request has begun to arrive.
package closing

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// pollInterval is the interval at which Wait checks the connections. It is a small part of the time
// available for the last responses.
const pollInterval = 5 * time.Millisecond

// Server is an HTTP/1.1 server with a graceful shutdown, which waits for the requests on TCP
// connections only.
type Server struct {
	// UnusedTimeout is the time after which a connection on which no byte has ever arrived counts
	// as idle; 0 means never. It must be set before Serve.
	UnusedTimeout time.Duration
	// Pipelining makes the server read requests ahead; nil for not. It must be set before Serve.
	Pipelining *Pipelining
	// Bounds limit what peers may use. They must be set before Serve.
	Bounds Bounds
	// Counts are the connections that were closed because of Bounds and Timeouts.
	Counts Counts

	http     *http.Server
	timeouts atomic.Pointer[Timeouts]
	heads    atomic.Int64 // bytes that count towards Bounds.HeldHeads
	// serving counts the calls of Serve that have not returned.
	serving sync.WaitGroup

	mu        sync.Mutex
	stopped   bool
	listeners []net.Listener
	conns     map[*conn]struct{}
	left      int // connections in conns that do not count towards Bounds.Open
	// lingering are the connections in conns that have ended for the server and whose sockets stay open, with the
	// time since which they do. closed is set once no socket may stay open.
	lingering map[*conn]time.Time
	closed    bool
}

// New returns a server that does not listen yet. It replaces h.ConnState.
func New(h *http.Server) *Server {
	s := &Server{http: h, conns: make(map[*conn]struct{}), lingering: make(map[*conn]time.Time)}
	h.ConnState = s.trackState
	return s
}

// Serve serves the connections of a listener until Stop is called. It returns the error of
// http.Server.Serve, or http.ErrServerClosed after Stop.
func (s *Server) Serve(l net.Listener) error {
	if !s.register(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	defer s.serving.Done()
	err := s.http.Serve(listener{Listener: l, server: s, pipelining: s.Pipelining})
	if errors.Is(err, net.ErrClosed) && s.hasStopped() {
		return http.ErrServerClosed
	}
	return err
}

func (s *Server) hasStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// register adds a listener and a running call of Serve, unless the server has been stopped. It reports
// whether it did.
func (s *Server) register(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.serving.Add(1)
	return true
}

// Stop closes the listeners. Requests on open connections are still served.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// trackState is the ConnState hook of the HTTP server. It records the open connections and which of
// them are idle.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*conn)
	if !ok {
		return
	}
	conn.setIdle(state == http.StateIdle)
	conn.setState(state)
	switch state {
	case http.StateNew:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
		if conn.hasLeft() {
			s.left--
		}
	}
}

// Wait stops the server, closes idle connections and waits until the others have ended or ctx is
// done. The others have a request in progress or wait for their first one. Wait returns the number of
// connections still in use. The sockets of connections that have ended may stay open; see WaitLingering.
func (s *Server) Wait(ctx context.Context) int {
	s.Stop()
	s.serving.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		open, inUse := s.closeIdle()
		if open == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return inUse
		case <-ticker.C:
		}
	}
}

// WaitLingering waits until the peers of connections that have ended have received the last responses, as far as
// bounds of time allow, or until ctx is done. It returns the number of those whose sockets are still open.
func (s *Server) WaitLingering(ctx context.Context) int {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		lingering := s.countLingering()
		if lingering == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return lingering
		case <-ticker.C:
		}
	}
}

func (s *Server) countLingering() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lingering)
}

// Close closes the listeners and all connections immediately.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	err := s.http.Close()
	s.Stop()
	if errors.Is(err, net.ErrClosed) {
		return nil // Stop had closed the listener
	}
	return err
}

// closeIdle makes the HTTP server close the idle connections. It returns the number of connections
// that have not ended, and how many of these are in use.
func (s *Server) closeIdle() (open, inUse int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if _, lingers := s.lingering[c]; lingers {
			continue
		}
		open++
		if !c.closeIfIdle(s.UnusedTimeout) {
			inUse++
		}
	}
	return open, inUse
}
