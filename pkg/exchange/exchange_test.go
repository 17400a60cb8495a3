package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// peer serves connections with the scripts, one for each connection in turn.
func peer(t *testing.T, scripts ...func(c net.Conn, r *bufio.Reader)) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, script := range scripts {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			script(c, bufio.NewReader(c))
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String()
}

func read(t *testing.T, r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	require.NoError(t, err)
	body, err := io.ReadAll(req.Body)
	require.NoError(t, err)
	req.Body = io.NopCloser(strings.NewReader(string(body)))
	return req
}

func respond(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func client() *Client { return NewClient(Config{RequestID: "X-Id"}) }

func get(address, id string) *Request {
	return &Request{Address: address, Method: http.MethodGet, Target: "/p?q=1", Host: "h", ID: id, Header: http.Header{"X-Id": {id}}}
}

// Guards against connections that are opened for every request.
func TestReusesAConnection(t *testing.T) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		for range 3 {
			req := read(t, r)
			require.Equal(t, "/p?q=1", req.RequestURI)
			require.Equal(t, "h", req.Host)
			respond(c, req.Header.Get("X-Id"), "ok")
		}
	})
	x := client()
	defer x.Close()
	for n := range 3 {
		resp, err := x.Do(context.Background(), get(address, fmt.Sprint(n)))
		require.NoError(t, err)
		require.Equal(t, "ok", string(resp.Body))
		require.Equal(t, n > 0, resp.Reused)
	}
	require.Equal(t, uint64(1), x.Opened())
}

// Guards against a part of an answer, bytes that are none, or another request's answer being
// taken for the answer.
func TestAcceptsOnlyTheWholeAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"cut body":         "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"cut chunk":        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"no last chunk":    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"cut header":       "HTTP/1.1 200 OK\r\nX-Id: 1\r\n",
		"garbage":          "\x00\x01 nothing\r\n\r\n",
		"other's answer":   "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nno",
		"nothing":          "",
		"interim and cut":  "HTTP/1.1 100 Continue\r\n\r\n",
		"endless interims": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim+1),
	} {
		t.Run(name, func(t *testing.T) {
			address := peer(t, func(c net.Conn, r *bufio.Reader) {
				read(t, r)
				_, _ = io.WriteString(c, text)
			})
			x := client()
			defer x.Close()
			_, err := x.Do(context.Background(), get(address, "1"))
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
		})
	}
}

// Guards against an answer without a length that a reset has cut short.
func TestAnswerWithoutLengthEndsCleanly(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	address := peer(t,
		func(c net.Conn, r *bufio.Reader) {
			read(t, r)
			_, _ = io.WriteString(c, head+"whole")
		},
		func(c net.Conn, r *bufio.Reader) {
			read(t, r)
			_, _ = io.WriteString(c, head+"pa")
			_ = c.(*net.TCPConn).SetLinger(0)
		})
	x := client()
	defer x.Close()
	resp, err := x.Do(context.Background(), get(address, "1"))
	require.NoError(t, err)
	require.Equal(t, "whole", string(resp.Body))
	_, err = x.Do(context.Background(), get(address, "1"))
	require.Error(t, err)
}

// Guards against a late answer of an earlier request that shifts all further answers.
func TestSkipsAnswersOfOtherRequests(t *testing.T) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		read(t, r)
		respond(c, "0", "late")
		respond(c, "1", "right")
		read(t, r)
		respond(c, "2", "second")
	})
	x := client()
	defer x.Close()
	for id, want := range map[string]string{"1": "right"} {
		resp, err := x.Do(context.Background(), get(address, id))
		require.NoError(t, err)
		require.Equal(t, want, string(resp.Body))
	}
	resp, err := x.Do(context.Background(), get(address, "2"))
	require.NoError(t, err)
	require.Equal(t, "second", string(resp.Body))
}

// Guards against using a connection again on which bytes have arrived unasked, or that the
// peer has closed.
func TestDoesNotReuseADoubtfulConnection(t *testing.T) {
	sent := make(chan struct{})
	more := make(chan struct{})
	address := peer(t,
		func(c net.Conn, r *bufio.Reader) {
			read(t, r)
			respond(c, "1", "one")
			<-more
			respond(c, "1", "again")
			close(sent)
			_, _ = io.Copy(io.Discard, c)
		},
		func(c net.Conn, r *bufio.Reader) {
			read(t, r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		},
		func(c net.Conn, r *bufio.Reader) {
			read(t, r)
			respond(c, "3", "three")
		})
	x := client()
	defer x.Close()
	_, err := x.Do(context.Background(), get(address, "1"))
	require.NoError(t, err)
	close(more)
	<-sent
	for _, id := range []string{"2", "3"} {
		resp, err := x.Do(context.Background(), get(address, id))
		require.NoError(t, err)
		require.False(t, resp.Reused)
	}
}

// Guards against a body whose rest is lost or mixed up when the peer answers early.
func TestEarlyAnswer(t *testing.T) {
	// More than the buffers of both sockets hold, so that the body cannot have left when the
	// answer arrives.
	body := make([]byte, 64<<20)
	answered := make(chan struct{})
	address := peer(t,
		func(c net.Conn, r *bufio.Reader) {
			_, err := http.ReadRequest(r)
			require.NoError(t, err)
			respond(c, "1", "early")
			<-answered
		},
		func(c net.Conn, r *bufio.Reader) {
			read(t, r)
			respond(c, "2", "next")
		})
	x := client()
	defer x.Close()
	r := get(address, "1")
	r.Method, r.Body, r.HasBody = http.MethodPost, body, true
	resp, err := x.Do(context.Background(), r)
	require.NoError(t, err)
	require.Equal(t, "early", string(resp.Body))
	close(answered)
	resp, err = x.Do(context.Background(), get(address, "2"))
	require.NoError(t, err)
	require.Equal(t, "next", string(resp.Body))
	require.False(t, resp.Reused, "the rest of the body would be due on the first connection")
}

// Guards against sending a body to a peer that refuses the request, and against losing it for
// one that asks for it.
func TestConfirmSendsTheBodyOnlyWhenAsked(t *testing.T) {
	address := peer(t,
		func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			require.NoError(t, err)
			require.Equal(t, "100-continue", req.Header.Get("Expect"))
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
			rest, err := io.ReadAll(r)
			require.NoError(t, err)
			require.Empty(t, rest)
		},
		func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			require.NoError(t, err)
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			body, err := io.ReadAll(req.Body)
			require.NoError(t, err)
			respond(c, "2", string(body))
		})
	x := client()
	defer x.Close()
	for id, want := range []string{1: "", 2: "the body"} {
		if id == 0 {
			continue
		}
		r := get(address, fmt.Sprint(id))
		r.Method, r.Body, r.HasBody, r.Confirm = http.MethodPost, []byte("the body"), true, true
		resp, err := x.Do(context.Background(), r)
		require.NoError(t, err)
		require.Equal(t, want, string(resp.Body))
	}
}

// Guards against a request that counts as one that may have run because the refusal of a peer that
// did not ask for its body breaks off.
func TestBodyThatWasNotAskedForIsNotSent(t *testing.T) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		_, err := http.ReadRequest(r)
		require.NoError(t, err)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\nno")
	})
	x := client()
	defer x.Close()
	r := get(address, "1")
	r.Method, r.Body, r.HasBody, r.Confirm = http.MethodPost, []byte("the body"), true, true
	_, err := x.Do(context.Background(), r)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
	require.True(t, failed.Began)
}

// Guards against reporting a request as sent that never left, and against a cancelled one
// that keeps its connection.
func TestSaysWhatWasSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	x := client()
	defer x.Close()
	_, err = x.Do(context.Background(), get(address, "1"))
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)

	arrived := make(chan struct{})
	closed := make(chan struct{})
	address = peer(t, func(c net.Conn, r *bufio.Reader) {
		read(t, r)
		close(arrived)
		_, _ = io.Copy(io.Discard, r)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err = x.Do(ctx, get(address, "1"))
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent)
	require.ErrorIs(t, err, context.Canceled)
	<-closed
}

// Guards against requests over connections that the peer is about to close.
func TestIdleConnectionsAreNotKeptTooLong(t *testing.T) {
	x := NewClient(Config{MaxIdle: 8 * time.Second})
	now := time.Unix(1000, 0)
	c := &conn{idleFrom: now}
	require.True(t, x.fresh(now.Add(7*time.Second), c, time.Minute))
	require.False(t, x.fresh(now.Add(9*time.Second), c, time.Minute))
	require.False(t, x.fresh(now.Add(time.Second), c, 300*time.Millisecond))
	c.lifetime = parseKeepAlive("max=5, timeout=3")
	require.Equal(t, 3*time.Second, c.lifetime)
	require.False(t, x.fresh(now.Add(2500*time.Millisecond), c, time.Minute))
}

// Guards against a request that is sent although its caller left while a connection was opened.
func TestAbandonedRequestIsNotSent(t *testing.T) {
	address := peer(t, func(_ net.Conn, r *bufio.Reader) {
		rest, err := io.ReadAll(r)
		require.NoError(t, err)
		require.Empty(t, rest)
	})
	x := client()
	defer x.Close()
	r := get(address, "1")
	r.Abandoned = func() bool { return x.Opened() == 1 } // true once there is a connection
	_, err := x.Do(context.Background(), r)
	require.ErrorIs(t, err, ErrAbandoned)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}

// Guards against work for a peer that closed its connection right behind its request, and
// against taking one that only waits for gone. Bytes that nobody has read do not hide the end.
func TestClosed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	far, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = far.Close() }()
	require.False(t, Closed(far))
	_, err = near.Write([]byte("x"))
	require.NoError(t, err)
	one := make([]byte, 1)
	_, err = io.ReadFull(far, one)
	require.NoError(t, err)
	require.False(t, Closed(far))
	_, err = near.Write([]byte("unread"))
	require.NoError(t, err)
	require.NoError(t, near.Close())
	require.Eventually(t, func() bool { return Closed(far) }, 10*time.Second, time.Millisecond)
}

// Guards against headers of one connection that are passed on to another.
func TestEndToEnd(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "X-Kept": {"2"}, "Expect": {"100-continue"}}
	require.Equal(t, http.Header{"X-Kept": {"2"}}, EndToEnd(h))
}

// Guards against an answer to HEAD that counts as cut because no body follows its length.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		read(t, r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100000000\r\n\r\n")
		read(t, r)
		respond(c, "2", "next")
	})
	x := client()
	defer x.Close()
	r := get(address, "1")
	r.Method = http.MethodHead
	resp, err := x.Do(context.Background(), r)
	require.NoError(t, err)
	require.Empty(t, resp.Body)
	resp, err = x.Do(context.Background(), get(address, "2"))
	require.NoError(t, err)
	require.Equal(t, "next", string(resp.Body))
	require.True(t, resp.Reused)
}

// Guards against a whole answer that is dropped because the context ends between its arrival and
// its return.
func TestWholeAnswerOutlivesTheContext(t *testing.T) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		read(t, r)
		respond(c, "a", "the whole answer")
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := get(address, "a")
	req.Answering = cancel // head and body came in one segment
	resp, err := client().Do(ctx, req)
	require.NoError(t, err)
	require.Equal(t, "the whole answer", string(resp.Body))
}
