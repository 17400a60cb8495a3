package stream

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

var errIdle = errors.New("no bytes transferred within the idle timeout")

// Watch is an idle timer: it calls a function if Touch is not called for the idle time.
// One timer covers all reads and writes of a body, which costs less than setting a
// deadline for each of them.
type Watch struct {
	idle  time.Duration
	timer *time.Timer
}

// NewWatch starts a watch. On expiry it calls expire once, in a separate goroutine.
func NewWatch(idle time.Duration, expire func()) *Watch {
	return &Watch{idle: idle, timer: time.AfterFunc(idle, expire)}
}

// Touch restarts the idle time, unless the watch has expired or was stopped.
func (w *Watch) Touch() {
	if w.timer.Stop() {
		w.timer.Reset(w.idle)
	}
}

// Stop stops the watch. It returns false if the watch has already expired or been stopped.
func (w *Watch) Stop() bool { return w.timer.Stop() }

// drainTime bounds how long the HTTP server may read the unused rest of a request body, so
// that the client can read the response before the connection closes.
const drainTime = time.Second

// Upload is a request body that is being forwarded to an upstream. It is aborted if either
// the client stops sending or the upstream stops reading for the idle time.
type Upload struct {
	body      io.ReadCloser
	control   *http.ResponseController
	remaining int64 // unread bytes of the Content-Length; negative if the length is unknown
	mu        sync.Mutex
	watch     *Watch
	done      bool
	ended     bool
}

// NewUpload wraps the body of r; w is the ResponseWriter of the same request. It calls
// cancel, which must cancel the forwarded request, when the idle time expires.
func NewUpload(w http.ResponseWriter, r *http.Request, idle time.Duration, cancel func()) *Upload {
	u := &Upload{body: r.Body, remaining: r.ContentLength, control: http.NewResponseController(w)}
	u.watch = NewWatch(idle, func() {
		_ = u.control.SetReadDeadline(time.Now())
		cancel()
	})
	return u
}

// Read reads from the client's request body and restarts the idle time.
func (u *Upload) Read(p []byte) (int, error) {
	u.touch()
	n, err := u.body.Read(p)
	u.remaining -= int64(n)
	if err != nil || u.remaining == 0 {
		u.stop(errors.Is(err, io.EOF) || err == nil)
		return n, err
	}
	u.touch()
	return n, nil
}

// Close does nothing: the HTTP server owns the body and closes it.
func (u *Upload) Close() error { return nil }

// Done reports whether the body has been read completely.
func (u *Upload) Done() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.done
}

// Abort makes a blocked read and all later reads fail. It does nothing after End.
func (u *Upload) Abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ended {
		_ = u.control.SetReadDeadline(time.Now())
	}
}

// End must be called before the handler returns. If the body is not read completely, a
// blocked read fails after drainTime.
func (u *Upload) End() {
	u.stop(false)
	u.mu.Lock()
	u.ended = true
	u.mu.Unlock()
	if !u.Done() {
		_ = u.control.SetReadDeadline(time.Now().Add(drainTime))
	}
}

func (u *Upload) stop(done bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.done = u.done || done
	if u.watch != nil {
		u.watch.Stop()
		u.watch = nil
	}
}

func (u *Upload) touch() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.watch != nil {
		u.watch.Touch()
	}
}
