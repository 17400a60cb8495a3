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

// server is one HTTP server with its listener.
type server struct {
	*closing.Server
	name     string
	listener net.Listener
}

// newServer returns a server for the connections of a listener.
func newServer(name string, listener net.Listener, h *http.Server) *server {
	return &server{Server: closing.New(h), name: name, listener: listener}
}

// serve answers until the listener is closed.
func (s *server) serve(log *zap.Logger) {
	err := s.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error("server_failed", zap.String("server", s.name), zap.Error(err))
	}
}

// close waits until a time for the connections on which a request is under way, or the first one
// is about to come. It returns the number of those that it cut at the end.
func (s *server) close(end time.Time) int {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	used := s.Wait(ctx)
	_ = s.Close()
	return used
}
