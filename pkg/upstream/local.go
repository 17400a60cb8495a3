package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"mangoshed.example/mangoshed/core/admission"
	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/forward"
)

// noDeadline stands in for the deadline of a request without one.
const noDeadline = 10 * time.Minute

// maxShed is the size in bytes of the longest answer of a shedding upstream that is read.
const maxShed = 4 << 10

// attempt is one request on its way through the local upstream.
type attempt struct {
	guard  *Guard
	ticket *admission.Ticket
	run    *quarantine.Run
	conn   *connection
	cancel context.CancelFunc
	// answering is called when an answer has begun; it reports false if the end of a drain has
	// ended the request before.
	answering func() bool
}

// runLocal runs the request on the local upstream.
func (g *Guard) runLocal(req *http.Request, class admission.Class) (*http.Response, *refusal.Refusal) {
	if g.closed() {
		return nil, refusalOf(admission.Closed)
	}
	if req.Header.Get(refusal.HeaderNoWait) != "" && g.occupied() {
		return nil, notRun(refusal.NoSlot, "ask another instance, or send the request without "+refusal.HeaderNoWait)
	}
	fingerprint, err := g.peek(req)
	if err != nil {
		return nil, notRun(refusal.Cut, "the request's body ended early: "+err.Error())
	}
	ctx, cancel := context.WithCancel(req.Context())
	a := &attempt{guard: g, cancel: cancel, answering: context.AfterFunc(g.stopping, cancel)}
	defer a.answering()
	if refused := a.admit(ctx, fingerprint, class); refused != nil {
		cancel()
		return nil, refused
	}
	return a.send(ctx, req)
}

// closed reports whether new work is refused, so that nobody waits for its body.
func (g *Guard) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// occupied reports whether a request would have to wait. It is asked before the request takes
// a token of the limits.
func (g *Guard) occupied() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.down && g.queue.Occupied(time.Now())
}

// peek reads the start of the body for the fingerprint, before the request holds a slot.
func (g *Guard) peek(req *http.Request) (quarantine.Fingerprint, error) {
	var head []byte
	if req.Body != nil && req.Body != http.NoBody && req.ContentLength != 0 {
		size := int64(quarantine.MaxBody)
		if req.ContentLength > 0 {
			size = min(size, req.ContentLength)
		}
		head = make([]byte, size)
		var n int
		var err error
		if req.ContentLength > 0 {
			n, err = io.ReadFull(req.Body, head)
		} else { // a sender of unknown length may wait for an answer before it sends more
			n, err = req.Body.Read(head)
			if errors.Is(err, io.EOF) {
				err = nil
			}
		}
		if err != nil {
			return 0, err
		}
		head = head[:n]
		req.Body = &peekedBody{rest: bytes.NewReader(head), ReadCloser: req.Body, whole: int64(n) == req.ContentLength}
	}
	return quarantine.FingerprintOf(g.cfg.Self.Service, req.Method, req.URL.RequestURI(), head), nil
}

// admit takes a token of the limits, a slot and the permission of the quarantine.
func (a *attempt) admit(ctx context.Context, f quarantine.Fingerprint, class admission.Class) *refusal.Refusal {
	g, now := a.guard, time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(noDeadline)
	}
	decided := make(chan admission.Verdict, 1)
	a.ticket = &admission.Ticket{Class: class, Deadline: deadline, OnVerdict: func(v admission.Verdict) { decided <- v }}
	g.mu.Lock()
	refused := g.precheck(now)
	verdict := admission.Closed
	if refused == nil {
		verdict = g.queue.Submit(now, a.ticket)
	}
	if verdict == admission.Granted {
		refused = a.start(now, f)
	}
	g.mu.Unlock()
	if refused != nil || verdict == admission.Granted {
		return refused
	}
	if verdict == admission.Queued {
		select {
		case verdict = <-decided:
		case <-ctx.Done():
			verdict = a.abandon(decided)
		}
	}
	if verdict != admission.Granted {
		return refusalOf(verdict)
	}
	g.metrics.wait.Observe(time.Since(now).Seconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	return a.start(time.Now(), f)
}

// precheck refuses what needs no slot to be refused. Callers hold the lock.
func (g *Guard) precheck(now time.Time) *refusal.Refusal {
	switch {
	case g.draining:
		return refusalOf(admission.Closed)
	case g.down:
		r := notRun(refusal.UpstreamFailed, "the upstream does not accept connections; try again")
		r.RetryAfter = time.Second
		return r
	case !g.limits.Allow(now):
		r := notRun(refusal.Limited, "send fewer requests, or raise the limit in the table")
		r.RetryAfter = g.limits.RetryAfter()
		return r
	}
	return nil
}

// start asks the quarantine and counts the request as active. Callers hold the lock; on a
// refusal the slot is free again.
func (a *attempt) start(now time.Time, f quarantine.Fingerprint) *refusal.Refusal {
	g := a.guard
	run, verdict := g.quarantine.Start(now, f)
	if verdict == quarantine.Allowed {
		a.run = run
		g.active++
		return nil
	}
	g.queue.Release(now, a.ticket, false)
	if verdict == quarantine.Refused {
		return notRun(refusal.Quarantined, "the request crashes the upstreams that run it; change it")
	}
	r := notRun(refusal.Overloaded, "the request is suspected of crashing an upstream and runs alone; try again")
	r.RetryAfter = time.Second
	return r
}

// abandon takes a ticket out of the queue whose caller has gone.
func (a *attempt) abandon(decided chan admission.Verdict) admission.Verdict {
	g := a.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(a.ticket) {
		return admission.Late
	}
	verdict := <-decided
	if verdict == admission.Granted {
		g.queue.Release(time.Now(), a.ticket, false)
		return admission.Late
	}
	return verdict
}

func refusalOf(v admission.Verdict) *refusal.Refusal {
	switch v {
	case admission.Late:
		return notRun(refusal.Deadline, "the remaining time is too short for the present load; allow more time")
	case admission.Closed:
		return notRun(refusal.Leaving, "the instance is leaving; send the request to another one")
	}
	r := notRun(refusal.Overloaded, "the queue of the instance is full; try again")
	r.RetryAfter = time.Second
	return r
}

// send passes the request to the upstream and returns its answer.
func (a *attempt) send(ctx context.Context, req *http.Request) (*http.Response, *refusal.Refusal) {
	g := a.guard
	conn, err := g.pool.get(ctx)
	if err != nil {
		refused := a.failure(ctx, refusal.NotRun, err)
		a.finish(false)
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.suspectCrash()
		}
		return nil, refused
	}
	a.conn = conn
	conn.prepare(func() {
		g.mu.Lock()
		a.run.MarkSent()
		g.mu.Unlock()
	})
	resp, err := conn.client.RoundTrip(a.outgoing(ctx, req))
	if err == nil && !a.answering() {
		_ = resp.Body.Close()
		a.cancel()
		err = context.Canceled
	}
	if err != nil {
		run := refusal.MayHaveRun
		if !conn.seal() {
			run = refusal.NotRun
		}
		refused := a.failure(ctx, run, err)
		g.pool.drop(conn)
		a.conn = nil
		if ctx.Err() == nil && run == refusal.MayHaveRun {
			g.suspectCrash()
		}
		a.finish(false)
		return nil, refused
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(refusal.HeaderRun) == refusal.NotRun.String() {
		a.shed(resp)
		r := notRun(refusal.Overloaded, "the upstream sheds load; try again")
		r.RetryAfter = time.Second
		return nil, r
	}
	for name := range resp.Header {
		if strings.HasPrefix(name, refusal.HeaderPrefix) {
			delete(resp.Header, name)
		}
	}
	resp.Header[refusal.HeaderLoad] = []string{g.Load()}
	resp.Body = newAnswerBody(a, resp)
	return resp, nil
}

// shed ends a call that the upstream did not run. A short answer is read, so that the connection
// can be used again.
func (a *attempt) shed(resp *http.Response) {
	_, err := io.CopyN(io.Discard, resp.Body, maxShed)
	if errors.Is(err, io.EOF) {
		a.guard.pool.put(a.conn)
	} else {
		a.guard.pool.drop(a.conn)
	}
	_ = resp.Body.Close()
	a.conn = nil
	a.finish(false)
}

// outgoing returns the request as the upstream gets it. Headers between daemons are
// removed, but for the remaining time and the depth, which the upstream passes on.
func (a *attempt) outgoing(ctx context.Context, req *http.Request) *http.Request {
	out := req.WithContext(ctx)
	out.Header = make(http.Header, len(req.Header))
	for name, values := range req.Header {
		if !strings.HasPrefix(name, refusal.HeaderPrefix) || name == refusal.HeaderDepth {
			out.Header[name] = values
		}
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	forward.SetRemaining(ctx, out.Header, time.Now())
	target := *req.URL
	target.Scheme, target.Host = "http", a.guard.cfg.Address
	out.URL, out.RequestURI, out.GetBody = &target, "", nil
	out.Body = nil
	if body, ok := req.Body.(*peekedBody); ok {
		out.Body = body
		if !body.whole {
			out.Body = upload(ctx, body, a.guard.cfg.Idle, a.cancel)
		}
	}
	return out
}

// finish frees the slot. A completed request clears its suspicion.
func (a *attempt) finish(completed bool) {
	g, now := a.guard, time.Now()
	a.cancel()
	if a.conn != nil {
		if completed {
			g.pool.put(a.conn)
		} else {
			g.pool.drop(a.conn)
		}
	}
	g.mu.Lock()
	g.queue.Release(now, a.ticket, completed)
	outcome := quarantine.Unanswered
	if completed {
		outcome = quarantine.Answered
	}
	report := g.quarantine.End(now, a.run, outcome)
	g.mu.Unlock()
	g.publish(report)
	g.end()
}

// failure turns an error of the transport into a refusal.
func (a *attempt) failure(ctx context.Context, run refusal.Run, err error) *refusal.Refusal {
	if !a.answering() && ctx.Err() != nil {
		return stopped(run)
	}
	r := &refusal.Refusal{Kind: refusal.UpstreamFailed, Run: run, Remedy: "the upstream's connection failed: " + err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Kind, r.Remedy = refusal.Deadline, "the upstream did not answer in time"
	case ctx.Err() != nil:
		r.Kind, r.Remedy = refusal.Cut, "the caller has gone, or a body was idle for too long"
	case errors.Is(err, errTooMany):
		r.Kind, r.Remedy = refusal.Overloaded, "all connections to the upstream are in use; try again"
	}
	return r
}
