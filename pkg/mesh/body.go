package mesh

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// defaultMaxBodyBytes limits a request body, in bytes, if the table sets no limit.
	defaultMaxBodyBytes = 64 << 20
	// maxBodyBytes bounds a request body, in bytes, whatever limit the table sets: a body is held in
	// memory as a whole.
	maxBodyBytes = 256 << 20
	// bodyBufferBytes is the initial buffer size, in bytes, for a body without a Content-Length.
	bodyBufferBytes = 8 << 10
	// unreadBodyTimeout bounds the time from a request's header until its body has arrived, as long as
	// its handler sets no limit by the request's deadline: net/http reads the rest of a body that the
	// handler leaves unread.
	unreadBodyTimeout = 2 * time.Second
)

// errBodyLate is the error of readBody if the body has not arrived in time.
var errBodyLate = errors.New("the body did not arrive in time")

// bodyLateRemedy is the remedy of requests whose body did not arrive in time.
const bodyLateRemedy = "the body of the request did not arrive in time; see whether the connection that it came on still works, or allow more time"

// boundBodies returns a handler that passes requests on with a time limit for their bodies. Without
// one, a sender that falls silent without closing its connection is waited for without end.
func boundBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			awaitBody(r, true)
			setReadDeadline(w, time.Now().Add(unreadBodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// setReadDeadline sets the time at which reads from the request's connection fail; the zero time for
// never. It fails only if the connection is closed already, so that reads fail anyway.
func setReadDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

// dropBody makes the server close the connection after the response instead of waiting for the rest of
// the request's body.
func dropBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	setReadDeadline(w, time.Unix(1, 0))
}

// readBody reads the whole body into memory, so that it can be sent again on a retry. The error is
// errBodyLate if the body has not arrived by the given time, and the connection is closed then. It
// fails as well if the process ends before the body has arrived. The memory is that of held, which the
// caller releases.
func readBody(w http.ResponseWriter, r *http.Request, held *heldBody, limit int64, by time.Time) ([]byte, *refusal.Refusal, error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	limit = min(limit, maxBodyBytes)
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit), nil
	}
	setReadDeadline(w, by)
	stop := abortReadOnExit(w, r)
	body, err := held.readAll(r, limit)
	stop()
	var refused *refusal.Refusal
	switch {
	case err == nil:
		awaitBody(r, false)
		setReadDeadline(w, time.Time{}) // the server goes on reading to notice that the sender disconnects
		return body, nil, nil
	case errors.As(err, &refused):
		dropBody(w)
		return nil, refused, nil
	case held.wasGivenUp():
		dropBody(w)
		return nil, noBodyMemory(), nil
	case errors.Is(err, os.ErrDeadlineExceeded) && !processEnds(r.Context()):
		dropBody(w)
		return nil, nil, errBodyLate
	}
	return nil, nil, err
}

// bodyTooLarge returns the refusal of a request whose body has more bytes than the limit.
func bodyTooLarge(limit int64) *refusal.Refusal {
	return &refusal.Refusal{
		Kind: refusal.TooLarge, Run: refusal.NotRun, Status: http.StatusRequestEntityTooLarge,
		Remedy: "send at most " + strconv.FormatInt(limit, 10) + " bytes",
	}
}

// abortReadOnExit makes a blocked read of the body fail when the process ends, because the end of
// the request's context does not interrupt the read. Call the returned function once the body has
// been read.
func abortReadOnExit(w http.ResponseWriter, r *http.Request) (stop func() bool) {
	return context.AfterFunc(r.Context(), func() {
		if processEnds(r.Context()) {
			setReadDeadline(w, time.Unix(1, 0))
		}
	})
}

// loadBody reads the body of an admitted job if it has not been read yet: a sender that uses "Expect:
// 100-continue" sends the body only after the job is admitted. The job holds its slot meanwhile, so the
// read ends when the upstream could no longer respond in time. ok is false if the job is refused.
func (g *Guard) loadBody(j *Job, call *intake.Call) (refused Result, ok bool) {
	if j.ReadBody == nil {
		return Result{}, true
	}
	g.awaitingBody.Add(1)
	defer g.awaitingBody.Add(-1)
	g.mu.Lock()
	by := g.queue.LatestStart(time.Now(), call)
	call.AwaitingBody = true
	g.mu.Unlock()
	body, err := j.ReadBody(by)
	j.Body, j.ReadBody = body, nil
	g.mu.Lock()
	call.AwaitingBody = false
	g.mu.Unlock()
	switch {
	case err == nil:
		return Result{}, true
	case errors.Is(err, errBodyLate):
		return Result{Refusal: notRun(refusal.Cut, bodyLateRemedy, 0), bodyLate: true}, false
	}
	var noMemory *refusal.Refusal
	if errors.As(err, &noMemory) {
		return Result{Refusal: noMemory, bodyLate: true}, false
	}
	return Result{Refusal: notRun(refusal.Cut, "the body of the request could not be read: "+err.Error(), 0)}, false
}
