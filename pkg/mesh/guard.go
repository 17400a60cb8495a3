package mesh

import (
	"context"
	"net/http"
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
	if j.Nested {
		call.YieldsTo = j.Priority
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
	start := g.suspects.start
	if j.QuarantineTrial {
		start = g.suspects.startTrial
	}
	run, verdict := start(now, j.ID, j.fingerprints())
	switch verdict {
	case quarantine.Refused:
		return Result{Refusal: quarantinedRefusal()}
	case quarantine.Busy:
		return Result{Refusal: notRun(refusal.Overloaded, "the request is suspected of crashing an upstream and may only run while no other suspect does; try again", downTime)}
	case quarantine.Allowed:
	}
	g.runs.begin(j.ID, j.Priority)
	res := g.send(ctx, j, func() { g.suspects.markSent(run) })
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

// logInstance logs the instance of the local upstream, if it is known.
func (g *Guard) logInstance(log *zap.Logger) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.instance != nil {
		log.Info("upstream_known", zap.String("instance", string(g.instance.ID)), zap.Int("slots", g.instance.Slots))
	}
}
