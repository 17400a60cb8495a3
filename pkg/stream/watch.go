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

// Upload is a request body on its way to an upstream. Both a sender that pauses and a
// receiver that does not take the bytes end it after the idle time.
type Upload struct {
	body  io.ReadCloser
	mu    sync.Mutex
	watch *Watch
}

// NewUpload wraps the body of a request that w answers. cancel ends the call.
func NewUpload(w http.ResponseWriter, body io.ReadCloser, idle time.Duration, cancel func()) *Upload {
	control := http.NewResponseController(w)
	return &Upload{body: body, watch: NewWatch(idle, func() {
		_ = control.SetReadDeadline(time.Now())
		cancel()
	})}
}

// Read reads from the sender.
func (u *Upload) Read(p []byte) (int, error) {
	u.touch()
	n, err := u.body.Read(p)
	if err != nil {
		u.End()
		return n, err
	}
	u.touch()
	return n, nil
}

// Close does not close the sender's body, which the HTTP server owns.
func (u *Upload) Close() error {
	u.End()
	return nil
}

// End stops the watch; it must be called before the handler returns.
func (u *Upload) End() {
	u.mu.Lock()
	defer u.mu.Unlock()
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
