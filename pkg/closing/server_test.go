package closing

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start runs a server that answers requests whole and returns its address.
func start(t *testing.T, unused time.Duration, limit int) (*Server, string) {
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}), ReadHeaderTimeout: farEnd, IdleTimeout: farEnd})
	s.Unused = unused
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(Limit(l, limit)) }()
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return s, l.Addr().String()
}

type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(farEnd)))
	return &client{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (c *client) write(text string) {
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
}

// answered sends a request and reads its answer.
func (c *client) answered() {
	c.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(c.t, err)
	require.NoError(c.t, resp.Body.Close())
	require.Equal(c.t, 200, resp.StatusCode)
}

func ended(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// Guards against a stop without an end because of a request that does not arrive whole, and against
// taking idle connections for used ones when the time is over.
func TestWaitEndsWithItsContext(t *testing.T) {
	s, address := start(t, 0, 3)
	idle, used, unused := dial(t, address), dial(t, address), dial(t, address)
	idle.answered()
	used.answered()
	used.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
	require.Equal(t, 2, s.Wait(ended(t)), "used and unused")
	require.NoError(t, s.Close())
	_, err := unused.in.ReadByte()
	require.Error(t, err)
}

// Guards against a stop that lasts longer because of connections on which nothing has arrived.
func TestUnusedConnectionsEnd(t *testing.T) {
	s, address := start(t, time.Nanosecond, 2)
	unused, idle := dial(t, address), dial(t, address)
	idle.answered() // connections are accepted in turn
	ctx, cancel := context.WithTimeout(t.Context(), farEnd)
	defer cancel()
	require.Zero(t, s.Wait(ctx))
	require.NoError(t, ctx.Err())
	for _, c := range []*client{unused, idle} {
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}

// Guards against more connections than the limit, and against a limit that ended ones still use up.
func TestLimitCountsOpenConnections(t *testing.T) {
	s, address := start(t, 0, 1)
	first, second := dial(t, address), dial(t, address)
	first.answered()
	second.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	s.mu.Lock()
	require.Len(t, s.conns, 1)
	s.mu.Unlock()
	require.NoError(t, first.conn.Close())
	resp, err := http.ReadResponse(second.in, nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// Guards against a server that listens after its stop.
func TestServeAfterStop(t *testing.T) {
	s := New(&http.Server{})
	s.Stop()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.ErrorIs(t, s.Serve(l), http.ErrServerClosed)
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
