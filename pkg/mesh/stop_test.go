package mesh

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/pkg/exchange"
)

// virtualDaemon returns a daemon for a test in virtual time. It does not accept connections. Its
// upstream, which runs behind a pipe, answers each request.
func virtualDaemon(t *testing.T, grace time.Duration) *Daemon {
	d := newLocalDaemon(t)
	d.settings.Bounds.Grace = grace
	d.stop = func() {}
	t.Cleanup(d.closeListeners)
	d.guard.client = exchange.NewClient(exchange.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write([]byte("HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx"))
			}
		}()
		return near, nil
	}})
	return d
}

// slowWriter is the way to another daemon: the body of an answer takes a time.
type slowWriter struct {
	*httptest.ResponseRecorder
	takes   time.Duration
	written atomic.Bool
}

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(w.takes)
	w.written.Store(true)
	return w.ResponseRecorder.Write(p)
}

// Guards against a stopping daemon that takes a result for delivered while its bytes are still on
// their way to another daemon, and cuts it with most of the grace period left.
func TestStoppingDaemonFinishesTheResultsThatItSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := virtualDaemon(t, 6*time.Second)
		r := httptest.NewRequestWithContext(d.requests, http.MethodGet, "/x", nil)
		r.Header.Set(headerJob, "i;read;front;-;1;9000;9000;1000;1;back;")
		w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), takes: 5 * time.Second}
		var group sync.WaitGroup
		group.Go(func() { d.servePeer(w, r) })
		synctest.Wait()
		require.Equal(t, http.StatusOK, w.Code)
		began := time.Now()
		d.Drain()
		written, took := w.written.Load(), time.Since(began)
		group.Wait()
		d.guard.client.Close()
		require.True(t, written, "the daemon ended %v after the order to stop", took)
		require.Less(t, took, w.takes+2*drainPoll, "nothing else keeps the daemon")
	})
}
