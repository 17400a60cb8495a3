package mesh

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/pkg/exchange"
)

// closePoll is the period of looks at the connections of a server that closes: a small part of
// the time that the last answers have.
const closePoll = 5 * time.Millisecond

// server is one HTTP server with its listener. It closes by itself: http.Server.Shutdown drops a
// request whose header is complete only after it was called, and closes connections on which one has
// begun to arrive.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
	// served is closed when no more connections are accepted.
	served chan struct{}

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

// newServer returns a server for the connections of a listener.
func newServer(name string, listener net.Listener, h *http.Server) *server {
	s := &server{name: name, http: h, listener: listener, served: make(chan struct{}), conns: make(map[*serverConn]struct{})}
	h.ConnState = s.note
	return s
}

// serve answers until the listener is closed.
func (s *server) serve(log *zap.Logger) {
	defer close(s.served)
	err := s.http.Serve(serverListener{s.listener})
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error("server_failed", zap.String("server", s.name), zap.Error(err))
	}
}

// note follows the states of connections.
func (s *server) note(c net.Conn, state http.ConnState) {
	conn, ok := c.(*serverConn)
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

// close accepts no more connections, ends those that are idle and waits for the others until a
// time: on those a request is under way, or its first one is about to come. It returns the number
// of connections that it cut at the end.
func (s *server) close(end time.Time) int {
	_ = s.listener.Close()
	<-s.served
	open := s.endIdle()
	for open > 0 && time.Now().Before(end) {
		time.Sleep(closePoll)
		open = s.endIdle()
	}
	_ = s.http.Close()
	return open
}

// endIdle ends the idle connections and returns the number of those that are still open.
func (s *server) endIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.endIfIdle()
	}
	return len(s.conns)
}

// serverListener accepts connections that know whether they are idle.
type serverListener struct{ net.Listener }

// Accept waits for a connection.
func (l serverListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &serverConn{TCPConn: tcp}, nil
	}
	return c, nil
}

// serverConn is a connection that knows whether it is idle: an answer has left and nothing of
// the next request has been read.
type serverConn struct {
	*net.TCPConn
	mu   sync.Mutex
	idle bool
}

func (c *serverConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// Read reads bytes of requests.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.setIdle(false)
	}
	return n, err
}

// endIfIdle ends the wait for a next request if none has arrived. The server sets the
// deadline anew for a request that was read meanwhile, before its header.
func (c *serverConn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !exchange.Unread(c) {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}
