package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// endless is a peer without a socket that answers each request with a text and then repeats
// another until the client closes the connection, or it has sent enough to show that nothing
// bounds it. A pipe holds no bytes, so that what was sent is what the client has read.
type endless struct {
	first, again string
	enough       int64
	pause        time.Duration

	sent   atomic.Int64
	closed chan bool // whether the client closed the connection
}

func (e *endless) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	e.closed = make(chan bool, 1)
	go func() { e.closed <- e.serve(far) }()
	return near, nil
}

func (e *endless) serve(c net.Conn) bool {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return false
	}
	for text := e.first; e.sent.Load() < e.enough; text = e.again {
		n, err := io.WriteString(c, text)
		e.sent.Add(int64(n))
		if err != nil {
			return errors.Is(err, io.ErrClosedPipe)
		}
		time.Sleep(e.pause) // virtual time in tests that set it
	}
	return false
}

const (
	testAnswer = 256 << 10
	okHead     = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
)

// endlessAnswers are answers without end, and how many bytes of them a client may read.
func endlessAnswers() map[string]*endless {
	head, body := int64(maxHead+readBuffer), int64(testAnswer+testAnswer/8+readBuffer)
	line := "X-More: " + strings.Repeat("x", 1000) + "\r\n"
	bytes := strings.Repeat("x", 4<<10)
	foreign := "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 5\r\n\r\nother"
	return map[string]*endless{
		"status line":          {first: "HTTP/1.1 200 ", again: bytes, enough: head},
		"header line":          {first: okHead + "X-More: ", again: bytes, enough: head},
		"header lines":         {first: okHead, again: line, enough: head},
		"interim header lines": {first: "HTTP/1.1 103 Early Hints\r\n", again: line, enough: head},
		"interim answers":      {first: "", again: "HTTP/1.1 102 Processing\r\n\r\n", enough: head},
		"large interims":       {first: "", again: "HTTP/1.1 102 Processing\r\n" + strings.Repeat(line, 20) + "\r\n", enough: head},
		"chunks":               {first: okHead + "Transfer-Encoding: chunked\r\n\r\n", again: "1000\r\n" + bytes + "\r\n", enough: body},
		"chunk line":           {first: okHead + "Transfer-Encoding: chunked\r\n\r\n", again: bytes, enough: body},
		"trailer lines":        {first: okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", again: line, enough: body},
		"no length":            {first: okHead + "\r\n", again: bytes, enough: body},
		"enormous length":      {first: okHead + "Content-Length: 9000000000000000000\r\n\r\n", again: bytes, enough: body},
		"length above":         {first: okHead + "Content-Length: 300000\r\n\r\n", again: bytes, enough: body},
		"foreign answers":      {first: foreign, again: foreign, enough: body},
		"endless foreign":      {first: "HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\n", again: bytes, enough: body},
		"bytes without lines":  {first: "", again: bytes, enough: head},
	}
}

// Guards against an answer without end that fills the memory, or is read on until the deadline
// after its bound was passed.
func TestEndlessAnswerIsCutAtItsBound(t *testing.T) {
	for name, e := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			bound := e.enough
			e.enough *= 16
			x := NewClient(Config{RequestID: "X-Id", MaxAnswer: testAnswer, Dial: e.dial})
			defer x.Close()
			_, err := x.Do(context.Background(), get("a:1", "1"))
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
			require.True(t, <-e.closed, "the connection is closed")
			require.LessOrEqual(t, e.sent.Load(), bound)
			require.True(t, failed.Began, "bytes of an answer have arrived")
		})
	}
}

// Guards against slow bytes without end that outlive the deadline, and against an answer that
// is cut before it only because it is slow.
func TestTrickleEndsWithTheDeadline(t *testing.T) {
	for name, first := range map[string]string{
		"status line": "HTTP/1.1 200 ",
		"header line": okHead + "X-More: ",
		"no length":   okHead + "\r\n",
		"length":      okHead + "Content-Length: 200000\r\n\r\n",
		"chunk":       okHead + "Transfer-Encoding: chunked\r\n\r\n10000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const deadline = 5 * time.Second
				e := &endless{first: first, again: "x", enough: testAnswer, pause: 900 * time.Millisecond}
				x := NewClient(Config{RequestID: "X-Id", MaxAnswer: testAnswer, Dial: e.dial})
				defer x.Close()
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), deadline)
				defer cancel()
				_, err := x.Do(ctx, get("a:1", "1"))
				require.ErrorIs(t, err, context.DeadlineExceeded)
				require.Equal(t, deadline, time.Since(began))
				require.True(t, <-e.closed, "the connection is closed")
			})
		})
	}
}

// Guards against an idle connection that is kept while bytes without end arrive on it.
func TestIdleConnectionWithUnaskedBytesIsClosed(t *testing.T) {
	more, sent, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		read(t, r)
		respond(c, "1", "whole")
		<-more
		_, _ = io.WriteString(c, "more")
		close(sent)
		_, _ = io.Copy(io.Discard, r)
		close(closed)
	})
	x := client()
	defer x.Close()
	_, err := x.Do(context.Background(), get(address, "1"))
	require.NoError(t, err)
	kept := func(string) bool { return true }
	x.Prune(time.Now(), kept)
	require.Len(t, x.idle[address], 1)
	close(more)
	<-sent
	x.Prune(time.Now(), kept)
	require.Empty(t, x.idle[address])
	<-closed
}
