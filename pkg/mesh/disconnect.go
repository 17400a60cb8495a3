package mesh

import (
	"context"
	"net"
	"net/http"

	"mangoshed.example/mangoshed/pkg/exchange"
)

// connKey is the context key for a request's connection.
type connKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// senderDisconnected reports whether the sender of a request has closed the connection. On a busy
// machine a request may be read long after it was sent, when its sender has already closed the
// connection. net/http detects that only after the handler has started.
func senderDisconnected(r *http.Request) bool {
	if r.Context().Err() != nil && !processEnds(r.Context()) {
		return true
	}
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	return ok && exchange.Closed(conn)
}
