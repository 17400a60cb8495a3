package stream

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

var errIdle = errors.New("no byte moved within the idle time")

// Watch calls a function when it has not been touched for some time. One timer serves
// all reads and writes of a body, which costs less than a deadline for each of them.
type Watch struct {
	idle  time.Duration
	timer *time.Timer
}

// NewWatch starts a watch that calls expire once, in its own goroutine.
func NewWatch(idle time.Duration, expire func()) *Watch {
	return &Watch{idle: idle, timer: time.AfterFunc(idle, expire)}
}

// Touch starts the idle time anew.
func (w *Watch) Touch() {
	if w.timer.Stop() {
		w.timer.Reset(w.idle)
	}
}

// Stop ends the watch. It returns false if the watch has expired or was stopped before.
func (w *Watch) Stop() bool { return w.timer.Stop() }

// drainTime is how long the rest of a body that nobody wants may take to arrive, so that
// the sender can read the answer before the connection closes.
const drainTime = time.Second

// Upload is a request body on its way to an upstream. Both a sender that pauses and a
// receiver that does not take the bytes end it after the idle time.
type Upload struct {
	body    io.ReadCloser
	control *http.ResponseController
	left    int64 // bytes of the announced length that are not read yet; under 0 without one
	mu      sync.Mutex
	watch   *Watch
	done    bool
	ended   bool
}

// NewUpload wraps the body of the request that w answers. cancel ends the call.
func NewUpload(w http.ResponseWriter, r *http.Request, idle time.Duration, cancel func()) *Upload {
	u := &Upload{body: r.Body, left: r.ContentLength, control: http.NewResponseController(w)}
	u.watch = NewWatch(idle, func() {
		_ = u.control.SetReadDeadline(time.Now())
		cancel()
	})
	return u
}

// Read reads from the sender.
func (u *Upload) Read(p []byte) (int, error) {
	u.touch()
	n, err := u.body.Read(p)
	u.left -= int64(n)
	if err != nil || u.left == 0 {
		u.stop(errors.Is(err, io.EOF) || err == nil)
		return n, err
	}
	u.touch()
	return n, nil
}

// Close leaves the body to the HTTP server, which owns it.
func (u *Upload) Close() error { return nil }

// Done reports whether the body has been read to its end.
func (u *Upload) Done() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.done
}

// Abort ends a read that waits, and all further ones. It does nothing after End.
func (u *Upload) Abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ended {
		_ = u.control.SetReadDeadline(time.Now())
	}
}

// End must be called before the handler returns. It ends a read that still waits.
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
