// Package closing stops HTTP/1.1 servers without a loss of requests: http.Server.Shutdown drops a
// request whose header is complete only after it was called, and closes connections on which one
// has begun to arrive.
package closing

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// poll is the period of looks at the connections of a server that closes: a small part of the
// time that the last answers have.
const poll = 5 * time.Millisecond

// Server is an HTTP/1.1 server that closes by itself. Only connections of TCP listeners are waited
// for.
type Server struct {
	// Unused is the age at which a connection on which nothing has ever arrived counts as idle; 0 for
	// none. It is set before Serve.
	Unused time.Duration

	http *http.Server
	// serving counts the calls of Serve that have not returned.
	serving sync.WaitGroup

	mu        sync.Mutex
	stopped   bool
	listeners []net.Listener
	conns     map[*conn]struct{}
}

// New returns a server that does not listen yet. It takes ConnState of h for itself.
func New(h *http.Server) *Server {
	s := &Server{http: h, conns: make(map[*conn]struct{})}
	h.ConnState = s.note
	return s
}

// Serve answers on the connections of a listener until Stop. The error is that of
// http.Server.Serve, http.ErrServerClosed after Stop.
func (s *Server) Serve(l net.Listener) error {
	if !s.begin(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	defer s.serving.Done()
	err := s.http.Serve(listener{l})
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

// begin reports whether connections of a listener may be accepted.
func (s *Server) begin(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.serving.Add(1)
	return true
}

// Stop accepts no more connections. Requests on open ones are answered as before.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// note follows the states of connections.
func (s *Server) note(c net.Conn, state http.ConnState) {
	conn, ok := c.(*conn)
	if !ok {
		return
	}
	conn.setIdle(state == http.StateIdle)
	switch state {
	case http.StateNew:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}
}

// Wait stops the server, ends the connections that are idle and waits for the others until ctx
// ends: on those a request is under way, or their first one is about to come. It returns the number
// of connections that are in use at the end.
func (s *Server) Wait(ctx context.Context) int {
	s.Stop()
	s.serving.Wait()
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for {
		open, used := s.endIdle()
		if open == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return used
		case <-ticker.C:
		}
	}
}

// Close cuts all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	s.Stop()
	if errors.Is(err, net.ErrClosed) {
		return nil // a listener that Stop has closed
	}
	return err
}

// endIdle ends the idle connections. It returns the number of those that are still open, and of
// those among them that are in use.
func (s *Server) endIdle() (open, used int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.endIfIdle(s.Unused) {
			used++
		}
	}
	return len(s.conns), used
}
