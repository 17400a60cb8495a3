package mesh

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// maxUnsafeIdle is the longest time that a connection may have been idle to be reused for a
	// request that must not be repeated: upstreams close idle connections, and a request sent
	// on one that is being closed has an unknown outcome.
	maxUnsafeIdle = 300 * time.Millisecond
	// immediateFailureLimit bounds the time to the failure of a reused connection without a response
	// for the failure to count as that of a connection that was closed while it was idle.
	immediateFailureLimit = 5 * time.Millisecond
	// downTime is how long no requests are sent to an upstream after it has refused a connection.
	downTime = 150 * time.Millisecond
	// quarantinedRetryAfter is the Retry-After of requests that are blocked because they crash upstreams.
	quarantinedRetryAfter = 2 * time.Second
	// upstreamDialTimeout is the timeout for connecting to the upstream, which is on the same host.
	upstreamDialTimeout = 400 * time.Millisecond
	// misdirectedTime is how long requests for an instance are refused after another instance
	// has answered at its address: an upstream registers within a second of its start.
	misdirectedTime = time.Second
	// maxDeparted bounds the number of remembered instances that are no longer at the upstream's
	// address.
	maxDeparted = 64
)

// downRemedy is the remedy of requests that are refused because the upstream was down a moment ago.
const downRemedy = "the upstream does not accept connections; try another instance"

// Guard is the reverse proxy in front of the local upstream. It controls admission, forwards
// admitted requests and blocks those that crash the upstream. It is safe for concurrent use.
type Guard struct {
	address string
	region  string // of this daemon
	// table is the route table in force; nil until the first one arrives.
	table   atomic.Pointer[route.Table]
	headers Headers
	client  *exchange.Client
	log     *requestLog
	// dataCentre is the data centre of the upstream.
	dataCentre string

	suspects *suspects
	runs     *runs
	// checkDue is set while a check of the upstream for a crash is due.
	checkDue atomic.Bool
	// answeredAt is the time of the upstream's last answer in Unix nanoseconds.
	answeredAt atomic.Int64
	// awaitingBody is the number of admitted jobs whose body is still arriving.
	awaitingBody atomic.Int64

	mu       sync.Mutex
	queue    *intake.Queue
	instance *catalog.Instance // the upstream's instance; nil while the store lists none at the address
	// lastInstance is the instance that the store has listed last, and notices what it has said.
	lastInstance *catalog.Instance
	notices      notices
	// departed maps each instance that is no longer at the address to the time at which the entry
	// expires. The time is zero, and the entry does not expire, if the store reported the change.
	departed  map[model.InstanceID]time.Time
	downUntil time.Time
	stopping  bool
	// evacuated is set while the upstream's data centre is evacuated.
	evacuated bool
	timer     *time.Timer
	// recheck is closed and replaced when a job that waits may no longer be sent: a table with a list of
	// regions takes effect, the queue closes, or an instance departs; and when the upstream turns warm.
	recheck chan struct{}
	cold    coldGuard
}

// NewGuard returns a guard for the upstream at the address. budget limits the memory for responses
// of the upstream.
func NewGuard(address string, headers Headers, budget *exchange.Budget, log *requestLog) *Guard {
	g := &Guard{
		suspects: newSuspects(log.log), address: address, headers: headers, log: log, queue: intake.New(0), departed: make(map[model.InstanceID]time.Time),
		runs: newRuns(), recheck: make(chan struct{}),
		client: exchange.NewClient(exchange.Config{RequestID: headers.RequestID, DialTimeout: upstreamDialTimeout, Budget: budget}),
	}
	g.cold.wake = make(chan struct{}, 1)
	g.cold.client = exchange.NewClient(exchange.Config{DialTimeout: upstreamDialTimeout, MaxAnswer: maxHealthResponse})
	g.timer = time.AfterFunc(time.Hour, g.tick)
	return g
}

// Update applies a new view of the fleet: it sets the upstream's instance and its number of slots, and
// whether its data centre is evacuated. A view without a table sets only the latter, because it does
// not tell which entries name an instance.
func (g *Guard) Update(now time.Time, v *catalog.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer func() {
		g.openOrClose(now)
		g.schedule(now)
	}()
	g.evacuated = v.IsEvacuated(g.dataCentre)
	if v.Table == nil {
		return
	}
	g.setTable(v.Table)
	current, listed := g.listedInstance(v)
	g.checkReplaced(now, g.instance, current)
	if g.instance != nil && (!listed || current.ID != g.instance.ID) {
		g.markDeparted(g.instance.ID, time.Time{})
	}
	g.instance = nil
	g.applyColdRule(now, v)
	if listed {
		g.resetNotices(now, g.lastInstance, current)
		g.hearListedCold(now, g.lastInstance, current)
		copied := *current
		g.instance, g.lastInstance = &copied, &copied
		if g.departed[current.ID].IsZero() {
			delete(g.departed, current.ID)
		}
		g.queue.Resize(now, current.Slots)
	}
}

// openOrClose closes the queue, which refuses what waits in it, while the upstream must get no new
// requests. The caller holds the mutex.
func (g *Guard) openOrClose(now time.Time) {
	if g.stopping || g.evacuated || g.leaving() {
		g.queue.Close()
		g.notifyRecheck()
	} else if g.queue.Closed() {
		g.queue.Open()
		g.assumeCold(now, coldResumed, false)
	}
}

// listedInstance returns the instance that a view lists at the upstream's address. An instance that is
// known already stays the upstream's when a table stops naming its service. The caller holds the mutex.
func (g *Guard) listedInstance(v *catalog.View) (*catalog.Instance, bool) {
	if current, ok := v.ByUpstream(g.address); ok {
		return current, true
	}
	if g.instance == nil {
		return nil, false
	}
	kept, ok := v.Listed(g.instance.ID)
	if !ok || kept.Upstream != g.address {
		return nil, false
	}
	return kept, true
}

// markDeparted records that an instance is no longer at the address, until the given time or, if
// that is zero, until the store lists it there again. The caller holds the mutex.
func (g *Guard) markDeparted(id model.InstanceID, until time.Time) {
	if len(g.departed) >= maxDeparted {
		clear(g.departed)
	}
	g.departed[id] = until
	g.notifyRecheck()
}

// hasDeparted reports whether an instance is no longer at the address. The caller holds the mutex.
func (g *Guard) hasDeparted(now time.Time, id model.InstanceID) bool {
	until, ok := g.departed[id]
	return ok && (until.IsZero() || now.Before(until))
}

// leaving reports whether the upstream's instance is leaving, by its own word or that of the store, so
// that it gets no new requests. The caller holds the mutex.
func (g *Guard) leaving() bool {
	return g.notices.leaving || g.instance != nil && g.instance.State == model.Leaving
}

// Stop makes the guard refuse new requests. Requests in flight continue.
func (g *Guard) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.queue.Close()
}

// EndAt sets the time at which the process ends. From then on, no request is started that would
// probably not complete before it.
func (g *Guard) EndAt(end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.queue.EndAt(now, end)
	g.schedule(now)
}

// SenderEndsAt sets the time at which the daemon that sent the jobs with the IDs ends.
func (g *Guard) SenderEndsAt(end time.Time, ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.queue.SenderEndsAt(now, end, ids)
	g.schedule(now)
}

// Stopped reports whether the guard refuses new work because the daemon stops.
func (g *Guard) Stopped() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

// Load returns the load of the upstream.
func (g *Guard) Load() intake.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(time.Now())
}

// tick refuses queued calls that can no longer be answered in time.
func (g *Guard) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.queue.Advance(now)
	g.schedule(now)
}

// schedule sets the timer for the next time at which a queued call has to be refused. The caller
// holds the mutex.
func (g *Guard) schedule(now time.Time) {
	if next, ok := g.queue.NextTick(); ok {
		g.timer.Reset(max(next.Sub(now), time.Millisecond))
	}
}

// Run sends a job to the upstream, or refuses it. The result includes the load of the upstream.
func (g *Guard) Run(ctx context.Context, j *Job) Result {
	res := g.run(ctx, j)
	g.mu.Lock()
	now := time.Now()
	res.Load, res.Expected = g.queue.Load(now), g.queue.Expected(now, j.Route)
	res.Evacuated, res.Pace = g.evacuated, g.queue.HostPace()
	res.Limit, res.Cold = g.queue.PermittedRate(now), g.queue.ColdRate(now) > 0
	if g.unready() {
		res.Load.Running, res.Load.Next, res.Load.Wait = res.Load.Slots, noRuleRetry, noRuleRetry
	}
	g.mu.Unlock()
	if res.Refusal != nil {
		g.log.logUpstreamRefusal(j, &res)
	}
	return res
}

// run admits a job and sends it to the upstream.
func (g *Guard) run(ctx context.Context, j *Job) Result {
	call := &intake.Call{
		Route: j.Route, Priority: j.Priority, Returning: j.Returning, Nested: j.Nested, Repeated: j.Repeated, Goal: j.Goal, Deadline: j.Deadline,
		ID: j.ID, SenderEnds: j.SenderEnds, Objective: j.Objective,
	}
	if refused := g.admit(ctx, j, call); refused != nil {
		return Result{Refusal: refused}
	}
	if refused := g.checkRegion(j); refused != nil {
		g.withdraw(call)
		return Result{Refusal: refused}
	}
	started := time.Now()
	if refused, ok := g.loadBody(j, call); !ok {
		g.withdraw(call)
		return refused
	}
	if refused := g.chargeLateBody(ctx, j, call, started); refused != nil {
		g.withdraw(call)
		return Result{Refusal: refused}
	}
	// The state may have changed during the waits for the body and the rate.
	if refused := g.checkBeforeSend(j); refused != nil {
		g.withdraw(call)
		return Result{Refusal: refused}
	}
	res := g.sendUnlessBlocked(ctx, j, started)
	now := time.Now()
	g.mu.Lock()
	work := g.queue.Done(now, call, res.Response != nil && res.Response.Status < http.StatusInternalServerError)
	g.schedule(now)
	g.mu.Unlock()
	if res.Response != nil {
		res.Run = work
	}
	return res
}

// sendUnlessBlocked sends an admitted job to the upstream, unless the request is blocked because it
// crashes upstreams, or is a suspect that has to wait until it can run alone.
func (g *Guard) sendUnlessBlocked(ctx context.Context, j *Job, now time.Time) Result {
	run, verdict := g.suspects.start(now, j.ID, j.fingerprints())
	switch verdict {
	case quarantine.Refused:
		return Result{Refusal: quarantinedRefusal()}
	case quarantine.Busy:
		return Result{Refusal: notRun(refusal.Overloaded, "the request is suspected of crashing an upstream and may only run while no other suspect does; try again", downTime)}
	case quarantine.Allowed:
	}
	g.runs.begin(j.ID)
	res := g.send(ctx, j)
	res.CallFailed = g.runs.end(j.ID, j.Route, res.Response != nil)
	res.Calls = g.runs.report(j.Route)
	g.suspects.end(time.Now(), run, runOutcome(&res))
	g.checkCrash(&res, now)
	return res
}

// quarantinedRefusal returns the refusal of a request that is blocked because it crashes upstreams.
func quarantinedRefusal() *refusal.Refusal {
	return notRun(refusal.Quarantined, "the request crashes the upstreams that run it; change it", quarantinedRetryAfter)
}

// withdraw frees the slot of an admitted job that is not sent to the upstream.
func (g *Guard) withdraw(call *intake.Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.queue.Withdraw(now, call)
	g.schedule(now)
}

// admit waits until the job has a slot. It returns nil if the job is admitted, or a refusal that
// says that the job has not run.
func (g *Guard) admit(ctx context.Context, j *Job, call *intake.Call) *refusal.Refusal {
	now := time.Now()
	decided := make(chan intake.Verdict, 1)
	call.Decide = func(v intake.Verdict) { decided <- v }
	g.mu.Lock()
	refused := g.checkBeforeAdmission(now, j)
	g.adoptLimit(now, j)
	recheck := g.recheck
	var verdict intake.Verdict
	var retryAfter time.Duration
	if refused == nil {
		verdict = g.queue.Offer(now, call, j.MayWait)
		retryAfter = g.queue.RetryAfter(now, call)
		g.wakeIfHealthDue(now)
		g.schedule(now)
	}
	cold := g.countColdRefusal(now, verdict)
	g.mu.Unlock()
	if refused != nil || verdict == intake.Started {
		return refused
	}
	if verdict == intake.Waiting {
		if verdict, retryAfter, cold = g.wait(ctx, j, call, decided, recheck); verdict == intake.Started {
			return nil
		}
		if refused = g.checkRegion(j); refused != nil {
			return refused
		}
	}
	if cold {
		return coldRefusal(retryAfter)
	}
	return refusalFor(verdict, retryAfter)
}

// wait waits for the verdict on a queued call. If the context ends first, or a table takes effect that
// does not allow the job in this region, the call is removed from the queue. cold says that the call is
// refused because the upstream is cold.
func (g *Guard) wait(ctx context.Context, j *Job, call *intake.Call, decided <-chan intake.Verdict, recheck <-chan struct{}) (verdict intake.Verdict, retryAfter time.Duration, cold bool) {
	for waiting := true; waiting; {
		select {
		case verdict = <-decided:
			waiting = false
		case <-recheck:
			if recheck = g.nextRecheck(); g.checkRegion(j) != nil {
				g.cancel(call, decided)
				return intake.Overloaded, 0, false
			}
		case <-ctx.Done():
			g.cancel(call, decided)
			return intake.Overloaded, 0, false
		}
	}
	if verdict == intake.Started {
		return verdict, 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return verdict, g.queue.RetryAfter(now, call), g.countColdRefusal(now, verdict)
}

// cancel removes a queued call from the queue, or frees its slot if it has got one meanwhile.
func (g *Guard) cancel(call *intake.Call, decided <-chan intake.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.queue.Cancel(now, call) && <-decided == intake.Started {
		g.queue.Done(now, call, false)
	}
	g.schedule(now)
}

// checkBeforeAdmission refuses a job that must not be sent, that arrives while the daemon stops or before
// the first table, or whose upstream is down. The caller holds the mutex.
func (g *Guard) checkBeforeAdmission(now time.Time, j *Job) *refusal.Refusal {
	if refused := g.checkSend(now, j); refused != nil {
		return refused
	}
	switch {
	case g.stopping:
		return leavingRefusal()
	case g.unready():
		return notRun(refusal.Overloaded, "the daemon does not know yet what a cold upstream takes; try again", noRuleRetry)
	case now.Before(g.downUntil):
		return notRun(refusal.UpstreamFailed, downRemedy, downTime)
	}
	return nil
}

// checkBeforeSend refuses an admitted job that must not be sent any more.
func (g *Guard) checkBeforeSend(j *Job) *refusal.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkSend(time.Now(), j)
}

// checkSend refuses a job whose deadline has passed, that the table in force does not allow in this
// region, or whose instance is leaving, in an evacuated data centre or no longer at the address. The
// caller holds the mutex.
func (g *Guard) checkSend(now time.Time, j *Job) *refusal.Refusal {
	if refused := g.checkRegion(j); refused != nil {
		return refused
	}
	switch {
	case !now.Before(j.Deadline):
		return notRun(refusal.Deadline, "allow more time", 0)
	case g.evacuated:
		return evacuatedRefusal()
	case g.leaving(), g.hasDeparted(now, j.Instance):
		return leavingRefusal()
	}
	return nil
}

// leavingRefusal returns the refusal of a job for an instance that is leaving or has left.
func leavingRefusal() *refusal.Refusal {
	return notRun(refusal.Leaving, "the instance is leaving; send the request to another one", 0)
}

// notRun returns a refusal of a request that has certainly not run.
func notRun(kind refusal.Kind, remedy string, after time.Duration) *refusal.Refusal {
	return &refusal.Refusal{Kind: kind, Run: refusal.NotRun, Remedy: remedy, RetryAfter: after}
}

// mayHaveRun returns a refusal of a request whose outcome is unknown.
func mayHaveRun(kind refusal.Kind, remedy string) *refusal.Refusal {
	return &refusal.Refusal{Kind: kind, Run: refusal.MayHaveRun, Remedy: remedy}
}

// refusalFor returns the refusal for a negative verdict of admission.
func refusalFor(v intake.Verdict, after time.Duration) *refusal.Refusal {
	switch v {
	case intake.Closed:
		return notRun(refusal.Leaving, "the instance is leaving, or its data centre is evacuated; send the request to another one", 0)
	case intake.Busy:
		return notRun(refusal.Overloaded, "all slots of the instance are in use", after)
	}
	return notRun(refusal.Overloaded, "the instance cannot answer before the deadline; try again later", after)
}

// send sends an admitted job to the upstream and checks the response. A repeatable request is
// sent once more, on a new connection, if a reused connection failed at once without a response.
func (g *Guard) send(ctx context.Context, j *Job) Result {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	request := g.request(j)
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
		Abandoned: j.Disconnected,
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

// logInstance logs the instance of the local upstream, if it is known.
func (g *Guard) logInstance(log *zap.Logger) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.instance != nil {
		log.Info("upstream_known", zap.String("instance", string(g.instance.ID)), zap.Int("slots", g.instance.Slots))
	}
}
