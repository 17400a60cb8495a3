package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/closing"
)

// farEnd is an end that no test reaches.
const farEnd = time.Minute

// keptConn is a connection that a caller keeps.
type keptConn struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func keep(t *testing.T, address string) *keptConn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(farEnd)))
	return &keptConn{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (c *keptConn) write(text string) {
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
}

func (c *keptConn) read() reply {
	got, err := readAnswer(c.in, "GET")
	require.NoError(c.t, err)
	return got
}

// refused reads an answer that says that the call has not run.
func (c *keptConn) refused() {
	got := c.read()
	require.Equal(c.t, string(refusal.Leaving), got.Header.Get(refusal.HeaderKind))
	require.Equal(c.t, "not-run", got.Header.Get(refusal.HeaderRun))
}

// drainWhileCallRuns starts a server with a call that runs, so that its drain goes on, and returns
// when the drain closes connections. before is called ahead of the drain.
func drainWhileCallRuns(t *testing.T, before func(address string)) (finish func()) {
	entered, end := make(chan struct{}), make(chan struct{})
	server, address := start(t, Config{Linger: time.Nanosecond, FirstCall: farEnd, Local: guardFunc(func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/long" {
			close(entered)
			<-end
		}
		return answer(200, "done"), nil
	})})
	long := keep(t, address)
	long.write(get("shifts", "/long"))
	<-entered
	before(address)
	closes := make(chan struct{})
	server.http.RegisterOnShutdown(func() { close(closes) })
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(context.Background()) }()
	<-closes
	return func() {
		close(end)
		require.Equal(t, "done", long.read().body)
		require.NoError(t, <-drained)
	}
}

// Guards against a call that is read whole when the server closes, on a connection that was open
// before, and is dropped without an answer.
func TestFirstCallOfAConnectionIsAnsweredWhileTheServerCloses(t *testing.T) {
	var early *keptConn
	finish := drainWhileCallRuns(t, func(address string) {
		early = keep(t, address)
		// Connections are accepted in turn: an answer on the second shows that the first one is.
		second := keep(t, address)
		second.write(get("shifts", "/"))
		require.Equal(t, 200, second.read().StatusCode)
	})
	early.write(get("shifts", "/"))
	early.refused()
	finish()
}

// Guards against a connection that is taken for idle, and closed, while a call arrives on it.
func TestCallThatHasBegunToArriveIsAnsweredWhileTheServerCloses(t *testing.T) {
	var late *keptConn
	finish := drainWhileCallRuns(t, func(address string) {
		late = keep(t, address)
		late.write(get("shifts", "/"))
		require.Equal(t, 200, late.read().StatusCode)
		late.write("GET / HTTP/1.1\r\nHost: ")
	})
	late.write("shifts\r\n\r\n")
	late.refused()
	finish()
}

// Guards against a drain that lasts longer because callers keep connections that they do not use,
// and against its taking the socket of a limited connection for none.
func TestUnusedConnectionsDoNotDelayTheDrain(t *testing.T) {
	server, err := New(Config{
		Self: instance("a"), Router: newRouter(t, instance("a")), Linger: time.Nanosecond, FirstCall: time.Nanosecond,
		Local: guardFunc(func(*http.Request) (*http.Response, error) { return answer(200, "done"), nil }),
	})
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(closing.Limit(listener, 2)) }()
	unused, idle := keep(t, listener.Addr().String()), keep(t, listener.Addr().String())
	idle.write(get("shifts", "/"))
	require.Equal(t, 200, idle.read().StatusCode)
	ctx, cancel := context.WithTimeout(t.Context(), farEnd)
	defer cancel()
	require.NoError(t, server.Drain(ctx))
	for _, c := range []*keptConn{unused, idle} {
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
	require.NoError(t, <-served)
	require.NoError(t, server.Close())
}

// Guards against a caller that sends its next call on a connection which the drain is about to
// close as idle.
func TestAnswersOfADrainEndTheirConnections(t *testing.T) {
	entered, end := make(chan struct{}), make(chan struct{})
	server, address := start(t, Config{Linger: time.Nanosecond, Local: guardFunc(func(*http.Request) (*http.Response, error) {
		close(entered)
		<-end
		return answer(200, "done"), nil
	})})
	call := keep(t, address)
	call.write(get("shifts", "/"))
	<-entered
	closes := make(chan struct{})
	server.http.RegisterOnShutdown(func() { close(closes) })
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(context.Background()) }()
	<-closes
	close(end)
	resp, err := http.ReadResponse(call.in, nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	require.NoError(t, <-drained)
}
