package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// lingerTime is how long a draining server answers requests that were under way
	// on idle connections before it closes them.
	lingerTime = 500 * time.Millisecond
	// AnswerTime is the default time for the refusals of calls that outlast a drain: a
	// second for the rest of their bodies, and as much for the way to their callers.
	AnswerTime = 2 * time.Second
)

// DrainError reports calls that outlasted a drain.
type DrainError struct {
	// GivenUp is the number of calls that were refused because they still ran.
	GivenUp int64
	// Cut says that connections were still in use after that; Close cuts them.
	Cut bool
	Err error
}

// Error names the remedy.
func (e *DrainError) Error() string {
	return fmt.Sprintf("%d calls outlasted the drain and were refused, connections cut: %t: %v; raise drain_timeout_seconds, or lower deadline_ms of the slow rows", e.GivenUp, e.Cut, e.Err)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Err }

// Leave refuses new calls, but for those that the local upstream makes within its runs: a
// run that the daemon waits for would fail without them. They come over TLS, with the
// certificate of the upstream's service and the depth of the run. Calls that still run when
// the context ends are given up: their callers get refusals.
func (s *Server) Leave(ctx context.Context) {
	context.AfterFunc(ctx, s.giveUp)
	s.leaving.Store(true)
	s.plain.Stop()
}

// Drain stops accepting connections, refuses new calls on open ones and waits for the
// running calls until the context ends. What still runs then is given up, and its callers
// have the AnswerTime to take their refusals. The error is a *DrainError.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave(ctx)
	s.drained.Store(true)
	s.closeSecure()
	timer := time.NewTimer(s.config.Linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err := s.shutdown(ctx)
	cut := false
	if err != nil {
		s.giveUp()
		answers, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.AnswerTime)
		defer cancel()
		cut = s.shutdown(answers) != nil
	}
	if calls := s.givenUp.Load(); err != nil || calls > 0 {
		return &DrainError{GivenUp: calls, Cut: cut, Err: context.Cause(ctx)}
	}
	return nil
}

// closeSecure closes the listeners that ServeTLS accepts from.
func (s *Server) closeSecure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.secure {
		_ = listener.Close()
	}
}

// takes reports whether a call may run. service is that of the caller's certificate.
func (s *Server) takes(r *http.Request, service string) bool {
	if !s.leaving.Load() {
		return true
	}
	return !s.drained.Load() && service == s.config.Self.Service && r.Header.Get(refusal.HeaderDepth) != ""
}

// shutdown closes idle connections and waits for the others, and until their peers have
// received the last answers. That a listener is closed already is no failure.
func (s *Server) shutdown(ctx context.Context) error {
	var plain sync.WaitGroup
	var used int
	plain.Go(func() {
		used = s.plain.Wait(ctx)
		s.plain.WaitLingering(ctx)
	})
	err := s.http.Shutdown(ctx)
	plain.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	if used > 0 {
		return ctx.Err()
	}
	return nil
}

// Close cuts everything.
func (s *Server) Close() error { return errors.Join(s.plain.Close(), s.http.Close()) }

// endWithDrain ends the call when a drain gives up what still runs: also a read of its
// body, which the end of a context does not wake. The returned function is called when an
// answer is at hand; it reports false if the call has been given up before.
func (s *Server) endWithDrain(e *exchange) (answering func() bool) {
	return context.AfterFunc(s.stopping, func() {
		s.givenUp.Add(1)
		e.cancel()
		if e.upload != nil {
			e.upload.Abort()
		}
	})
}

// stopped returns the refusal of a call that was given up while its last attempt ended
// with an answer or an error.
func stopped(resp *http.Response, err error) *refusal.Refusal {
	if failed := failureOf(resp, err); failed != nil && failed.Run == refusal.NotRun {
		return &refusal.Refusal{Kind: refusal.Leaving, Run: refusal.NotRun, Remedy: "connect again; this daemon stops"}
	}
	return &refusal.Refusal{
		Kind: refusal.Cut, Run: refusal.MayHaveRun, Remedy: "this daemon stopped before the upstream answered; check the outcome before you repeat the request",
	}
}
