package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/pkg/closing"
)

// server is an HTTP server with its listener and its name in the log.
type server struct {
	*closing.Server
	name     string
	listener net.Listener
	// bounded is set if the server's peers are callers, probes or operators, not other daemons.
	bounded bool
	// logged is the number of closed connections that the log has.
	logged int64
}

// newServer returns a server that accepts connections from the listener.
func newServer(name string, listener net.Listener, h *http.Server) *server {
	return &server{Server: closing.New(h), name: name, listener: listener}
}

// serve serves requests until the listener is closed.
func (s *server) serve(log *zap.Logger) {
	err := s.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error("server_failed", zap.String("server", s.name), zap.Error(err))
	}
}

// close closes the server. It first waits, at most until end, for connections that have a request
// in flight or have not had their first request yet, and then, at most until lingerEnd, until the peers have
// received the last responses. It returns the numbers of connections of both kinds that it closed at those times.
func (s *server) close(end, lingerEnd time.Time) (used, lingering int) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	used = s.Wait(ctx)
	ctx, cancelLinger := context.WithDeadline(context.Background(), lingerEnd)
	defer cancelLinger()
	lingering = s.WaitLingering(ctx)
	_ = s.Close()
	return used, lingering
}
