package mesh

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// send sends an admitted job to the upstream and checks the response. A repeatable request is
// sent once more, on a new connection, if a reused connection failed at once without a response.
// sending is called before the first byte is sent.
func (g *Guard) send(ctx context.Context, j *Job, sending func()) Result {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	request := g.request(j)
	request.Abandoned = func() bool {
		if j.Disconnected != nil && j.Disconnected() {
			return true
		}
		sending()
		return false
	}
	started := time.Now()
	resp, err := g.client.Do(ctx, request)
	g.recordExchange(ctx, started, err)
	if j.MayRepeat && reusedConnFailed(err) && ctx.Err() == nil && time.Since(started) < immediateFailureLimit && g.checkBeforeSend(j) == nil {
		if !g.chargeResend() {
			return g.errorResult(ctx, err)
		}
		request.MaxIdle = -1
		resent := time.Now()
		resp, resendErr := g.client.Do(ctx, request)
		g.recordExchange(ctx, resent, resendErr)
		return g.resentResult(g.exchangeResult(ctx, j, resp, resendErr), err)
	}
	return g.exchangeResult(ctx, j, resp, err)
}

// chargeResend counts a request that is sent again towards the upstream's limit. It returns false if the
// upstream is cold and does not take it.
func (g *Guard) chargeResend() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Charge(time.Now())
}

// exchangeResult returns the result for the response or the error of an exchange with the
// upstream.
func (g *Guard) exchangeResult(ctx context.Context, j *Job, resp *exchange.Response, err error) Result {
	if err != nil {
		return g.errorResult(ctx, err)
	}
	res := g.responseResult(j, resp)
	// Not g.leaving: this daemon may not know yet that another process is at the address.
	res.Leaving = resp.Status != http.StatusMisdirectedRequest && resp.Header.Get(g.headers.Leaving) != ""
	if res.Response == nil {
		resp.Release()
	}
	return res
}

// reusedConnFailed reports whether the exchange failed on a reused connection before any byte of a
// response. In most such cases the upstream has closed the connection while it was idle.
func reusedConnFailed(err error) bool {
	var failed *exchange.Error
	return errors.As(err, &failed) && failed.Reused && !failed.Began
}

// resentResult returns the result of a request that was sent again after the error first on
// its first connection. Unless that error says that nothing was sent, the upstream may have read
// the request on the first connection, and the request may have crashed the upstream. The result
// then must not say that the request has not run.
func (g *Guard) resentResult(res Result, first error) Result {
	var failed *exchange.Error
	if errors.As(first, &failed) && !failed.Sent {
		return res
	}
	res.Arrived = true
	if res.Refusal == nil || res.Refusal.Run != refusal.NotRun {
		return res
	}
	kind := res.Refusal.Kind
	if kind != refusal.Cut && kind != refusal.Deadline {
		kind = refusal.UpstreamFailed // the other kinds have status codes that mean "not run"
	}
	res.Refusal = mayHaveRun(kind, "the upstream's connection failed: "+first.Error())
	return res
}

// request returns the request to the upstream for a job.
func (g *Guard) request(j *Job) *exchange.Request {
	h := make(http.Header, len(j.Header)+4)
	for name, values := range j.Header {
		h[name] = values
	}
	// At least 1, because an upstream may take 0 to mean that there is no limit.
	h[g.headers.Remaining] = []string{strconv.FormatInt(max(1, time.Until(j.Deadline).Milliseconds()), 10)}
	h[g.headers.Expected] = []string{string(j.Instance)}
	h[g.headers.Caller] = []string{j.Caller}
	r := &exchange.Request{
		Address: g.address, Method: j.Method, Target: j.Target, Host: j.Host, Header: h, Body: j.Body, HasBody: j.HasBody, ID: j.ID,
	}
	if !j.MayRepeat {
		r.MaxIdle = maxUnsafeIdle
	}
	return r
}

// errorResult returns the result for an error of an exchange with the upstream. If nothing
// could be sent, it marks the upstream as down for downTime, unless the cause is the limit on
// connections.
func (g *Guard) errorResult(ctx context.Context, err error) Result {
	var failed *exchange.Error
	sent := !errors.As(err, &failed) || failed.Sent
	switch {
	case errors.Is(err, exchange.ErrAbandoned):
		return Result{Refusal: notRun(refusal.Cut, "the caller has disconnected", 0)}
	case !sent && ctx.Err() != nil:
		return Result{Refusal: notRun(refusal.Deadline, "allow more time", 0)}
	case !sent:
		g.mu.Lock()
		if !errors.Is(err, exchange.ErrTooMany) {
			now := time.Now()
			g.downUntil = now.Add(downTime)
			g.connectionRefused(now)
		}
		g.mu.Unlock()
		return Result{connectionRefused: isRefused(err), Refusal: notRun(refusal.UpstreamFailed, "the upstream does not accept connections: "+err.Error(), downTime)}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.Deadline, "the upstream did not answer in time")}
	case processEnds(ctx):
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.Cut, "the instance's daemon stopped before the upstream answered")}
	case ctx.Err() != nil:
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.Cut, "the caller has disconnected")}
	}
	return Result{Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "the upstream's connection failed: "+err.Error())}
}

// responseResult returns the result for a response of the upstream: the response itself, or a
// refusal if the response is not valid or says that the request was refused.
func (g *Guard) responseResult(j *Job, resp *exchange.Response) Result {
	now := time.Now()
	g.markAnswered(now)
	if resp.Status != http.StatusMisdirectedRequest {
		g.hearNotices(now, j.Instance, resp.Header)
	}
	g.hearLoad(now, j.Instance, resp)
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		g.markMisdirected(j.Instance)
		return Result{Arrived: true, Refusal: notRun(refusal.NoInstance, "another instance has the address: "+resp.Header.Get(g.headers.Instance), 0)}
	case resp.Header.Get(g.headers.NotRun) != "":
		return Result{Arrived: true, Refusal: notRun(refusal.Overloaded, "the upstream refused the request", 0)}
	case resp.Status < http.StatusMultipleChoices && resp.Header.Get(g.headers.Proof) == "":
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "the response lacks the header that marks responses of the upstream")}
	case resp.Header.Get("Content-Encoding") != "":
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "the response has a Content-Encoding that was not requested")}
	}
	return Result{Arrived: true, Response: resp}
}

// markMisdirected records that another instance has answered at the address, so that further requests
// for the expected one are refused without an exchange. The entry expires after misdirectedTime;
// by then the store lists the instance that is at the address.
func (g *Guard) markMisdirected(id model.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.leaving() && !g.hasDeparted(now, id) {
		g.suspects.recordCrash(now, evidenceReplaced, quarantine.ReplacementDelay)
	}
	g.markDeparted(id, now.Add(misdirectedTime))
	if g.instance == nil || g.instance.ID == id {
		g.assumeCold(now, coldReplaced, false)
	}
}
