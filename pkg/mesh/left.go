package mesh

import (
	"context"
	"net"
	"net/http"

	"mangoshed.example/mangoshed/pkg/exchange"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn keeps the connection in the contexts of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// left reports whether the sender of a request has closed the connection. On a busy machine a
// request may be read long after it was sent, with the end of its connection right behind it;
// the server sees that end only after the handler has begun.
func left(r *http.Request) bool {
	if r.Context().Err() != nil && !ended(r.Context()) {
		return true
	}
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	return ok && exchange.Closed(conn)
}
