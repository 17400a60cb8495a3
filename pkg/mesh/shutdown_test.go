package mesh

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/drain"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// virtualDaemon returns a daemon for a test in virtual time. It does not accept connections. Its
// upstream is at the other end of an in-memory pipe, reads each request and responds to it.
func virtualDaemon(t *testing.T, grace time.Duration) *Daemon {
	d := newLocalDaemon(t)
	d.settings.Bounds.Grace = grace
	d.stop = func() {}
	t.Cleanup(d.closeListeners)
	answerWith(d, "x")
	return d
}

// answerWith makes the upstream of a virtual daemon respond with a body.
func answerWith(d *Daemon, body string) {
	d.guard.client = exchange.NewClient(exchange.Config{Budget: d.platform.Answers, Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
			}
		}()
		return near, nil
	}})
}

// pipeListener accepts one connection in memory.
type pipeListener struct {
	conn   chan net.Conn
	closed chan struct{}
	close  func()
}

func newPipeListener(c net.Conn) *pipeListener {
	l := &pipeListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conn <- c
	l.close = sync.OnceFunc(func() { close(l.closed) })
	return l
}

// Accept returns the connection at the first call and blocks until Close afterwards.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *pipeListener) Close() error {
	l.close()
	return nil
}

// Addr returns an empty address.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pipe is an in-memory connection with the methods of a TCP connection that the server requires.
type pipe struct{ net.Conn }

func (p pipe) ReadFrom(r io.Reader) (int64, error) { return io.Copy(p.Conn, r) }
func (p pipe) CloseWrite() error                   { return nil }

func (p pipe) SyscallConn() (syscall.RawConn, error) { return idleSocket{}, nil }

// idleSocket is an open socket without unread data.
type idleSocket struct{ syscall.RawConn }

func (idleSocket) Control(func(fd uintptr)) error { return syscall.EAGAIN }

// Read reports that there is no file descriptor to read from.
func (idleSocket) Read(func(fd uintptr) bool) error { return errors.ErrUnsupported }

// Positions of the servers in Daemon.servers.
const (
	callerServer  = 0
	forwardServer = 1
)

// dialPipe lets a server of the daemon serve an in-memory connection and returns the client's end.
func dialPipe(t *testing.T, d *Daemon, server int) *caller {
	s := d.servers[server]
	require.NoError(t, s.listener.Close())
	near, far := net.Pipe()
	s.listener = newPipeListener(pipe{far})
	go s.serve(d.log)
	return &caller{t: t, conn: near, in: bufio.NewReader(near)}
}

// responseHead is the status and the header of a response.
type responseHead struct {
	status int
	header http.Header
	closes bool // whether the connection is closed after the response
}

// read reads a response; nil if the connection is closed first.
func (c *caller) read() *responseHead {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil
	}
	_ = resp.Body.Close()
	return &responseHead{status: resp.StatusCode, header: resp.Header, closes: resp.Close}
}

// status reads a response without header fields and returns its status code.
func (c *caller) status() int {
	line, err := c.in.ReadString('\n')
	require.NoError(c.t, err)
	_, err = c.in.ReadString('\n')
	require.NoError(c.t, err)
	code, err := strconv.Atoi(strings.Fields(line)[1])
	require.NoError(c.t, err)
	return code
}

// end closes the connection and waits until its goroutines have ended.
func (c *caller) end() {
	_ = c.conn.Close()
	time.Sleep(time.Second) // net/http keeps connections with unread requests open for up to this time
}

// slowWriter is a response writer on a slow connection to another daemon: writing a response body
// takes a given time.
type slowWriter struct {
	*httptest.ResponseRecorder
	delay   time.Duration
	written atomic.Bool
}

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(w.delay)
	w.written.Store(true)
	return w.ResponseRecorder.Write(p)
}

// Guards against a stopping daemon that counts a result as delivered while its bytes are still being
// written to another daemon, and cuts the connection with most of the grace period left.
func TestStoppingDaemonFinishesTheResultsThatItSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := virtualDaemon(t, 6*time.Second)
		r := httptest.NewRequestWithContext(d.requestsCtx, http.MethodGet, "/x", nil)
		r.Header.Set(headerJob, "i;read;front;-;1;9000;9000;1000;1;back;")
		w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), delay: 5 * time.Second}
		var group sync.WaitGroup
		group.Go(func() { d.servePeer(w, r) })
		synctest.Wait()
		require.Equal(t, http.StatusOK, w.Code)
		began := time.Now()
		d.Drain()
		written, took := w.written.Load(), time.Since(began)
		group.Wait()
		d.guard.client.Close()
		require.True(t, written, "the daemon exited %v after the start of the drain", took)
		require.Less(t, took, w.delay+2*drainPollInterval, "nothing else delays the shutdown")
	})
}

// drainDuringRequest sends a request to a daemon and drains the daemon while the request waits. It returns the
// response, nil if there is none, and the duration of the drain.
func drainDuringRequest(t *testing.T, d *Daemon, c *caller, text string) (got *responseHead, took time.Duration) {
	var group sync.WaitGroup
	group.Go(func() { got = c.read() })
	c.write(text)
	synctest.Wait()
	began := time.Now()
	d.Drain()
	took = time.Since(began)
	group.Wait()
	c.end()
	d.guard.client.Close()
	return got, took
}

// Guards against a request that is dropped with a closed connection instead of a "not run" refusal,
// because its body is still arriving when the daemon stops.
func TestStoppingDaemonRefusesARequestWhoseBodyStillArrives(t *testing.T) {
	for _, length := range []string{"Content-Length: 9000", "Transfer-Encoding: chunked"} {
		for range raceRepetitions {
			synctest.Test(t, func(t *testing.T) {
				d := virtualDaemon(t, 6*time.Second)
				d.fleet.view.Store(oneRoute(t, longTimeout))
				c := dialPipe(t, d, callerServer)
				got, took := drainDuringRequest(t, d, c, "POST /x HTTP/1.1\r\nHost: app\r\n"+length+"\r\n\r\n1\r\nx\r\n")
				requireNotRun(t, got)
				require.True(t, got.closes)
				require.Less(t, took, 6*time.Second)
			})
		}
	}
}

// Guards against a job that counts as "may have run" although its body had not arrived when the
// daemon of the upstream stopped, with and without "Expect: 100-continue".
func TestStoppingDaemonRefusesAJobWhoseBodyStillArrives(t *testing.T) {
	for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
		for range raceRepetitions {
			synctest.Test(t, func(t *testing.T) {
				d := virtualDaemon(t, 6*time.Second)
				d.guard.queue.Resize(time.Now(), 1)
				c := dialPipe(t, d, forwardServer)
				head := "POST /x HTTP/1.1\r\nHost: app\r\nContent-Length: 9000\r\n" + headerJob + ": i;read;front;-;1;9000;9000;1000;1;back;\r\n"
				body := "x"
				if expect != "" {
					c.write(head + expect + "\r\n")
					require.Equal(t, http.StatusContinue, c.status())
					head = ""
				} else {
					head += "\r\n"
				}
				got, took := drainDuringRequest(t, d, c, head+body)
				require.NotNil(t, got, "the connection was cut")
				require.Less(t, took, 6*time.Second)
				res, _ := decodeResult(&exchange.Response{Header: got.header})
				require.NotNil(t, res.Refusal)
				require.Equal(t, refusal.NotRun, res.Refusal.Run)
				require.False(t, res.Arrived)
			})
		}
	}
}

// responseDuringStop sends a request that waits for the first route table, stops the daemon and returns
// the response, nil if there is none.
func responseDuringStop(t *testing.T, grace time.Duration, stop func(d *Daemon)) (got *responseHead) {
	synctest.Test(t, func(t *testing.T) {
		d := virtualDaemon(t, grace)
		c := dialPipe(t, d, callerServer)
		c.write("GET /x HTTP/1.1\r\nHost: app\r\nLeft: 4000\r\n\r\n")
		synctest.Wait()
		require.Equal(t, int64(1), d.ingress.tableWaiters.Load())
		var group sync.WaitGroup
		group.Go(func() { got = c.read() })
		stop(d)
		group.Wait()
		c.end()
		d.guard.client.Close()
	})
	return got
}

// raceRepetitions is the number of repetitions of each test in which a response races with the shutdown of the
// servers.
const raceRepetitions = 30

func requireNotRun(t *testing.T, got *responseHead) {
	require.NotNil(t, got, "the connection was cut")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, refusal.NotRun.String(), got.header.Get(refusal.HeaderRun))
}

// Guards against a shutdown with a short grace period that closes the connections of aborted requests
// before their responses are sent.
func TestShortGracePeriodSendsResponsesOfAbortedRequests(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond} {
		for range raceRepetitions {
			var took time.Duration
			got := responseDuringStop(t, grace, func(d *Daemon) {
				began := time.Now()
				d.Drain()
				took = time.Since(began)
			})
			requireNotRun(t, got)
			require.Less(t, took, grace)
		}
	}
}

// Guards against responses that are cut because the process was paused and their deadline has passed
// when the requests are aborted.
func TestResponsesAreSentAfterTheAbortDeadline(t *testing.T) {
	for _, late := range []time.Duration{400 * time.Millisecond, 699 * time.Millisecond, 700 * time.Millisecond, time.Minute} {
		for range raceRepetitions {
			requireNotRun(t, responseDuringStop(t, 6*time.Second, func(d *Daemon) {
				plan := drain.New(time.Now().Add(-6*time.Second+700*time.Millisecond-late), 6*time.Second)
				d.ingress.plan.Store(&plan)
				d.abort(plan)
			}))
		}
	}
}
