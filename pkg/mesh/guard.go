package mesh

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// unsafeIdle is the age of the oldest idle connection that carries a request which may
	// not be repeated: upstreams drop idle connections, and what is sent next is lost with an
	// unknown outcome.
	unsafeIdle = 300 * time.Millisecond
	// instantFailure is the time within which a used connection that fails without an answer
	// is taken to have been dropped while it was idle.
	instantFailure = 5 * time.Millisecond
	// downTime is the time for which an upstream that refuses connections gets no requests.
	downTime = 150 * time.Millisecond
	// quarantinedRetry is the pause that callers of a request that crashes upstreams are asked for.
	quarantinedRetry = 2 * time.Second
	// upstreamDial bounds connecting to the upstream, which is on the same host.
	upstreamDial = 400 * time.Millisecond
	// misdirectedTime is the time for which requests for an instance are refused after another
	// one has answered: an upstream registers within a second of its start.
	misdirectedTime = time.Second
	// maxLeft bounds the remembered instances that have left the upstream's address.
	maxLeft = 64
)

// Guard stands in front of the local upstream. It is safe for concurrent use.
type Guard struct {
	address string
	headers Headers
	client  *exchange.Client
	log     *decisions

	suspects *suspects

	mu    sync.Mutex
	queue *intake.Queue
	own   *catalog.Instance // nil while the store lists none at the address
	// left holds the instances that are not at the address any more, and until when that is
	// certain; zero if the store says so.
	left      map[model.InstanceID]time.Time
	downUntil time.Time
	stopping  bool
	runs      map[string]int // requests at the upstream by ID
	timer     *time.Timer
}

// NewGuard returns the guard of the upstream at the address.
func NewGuard(address string, headers Headers, answers *exchange.Budget, log *decisions) *Guard {
	g := &Guard{
		suspects: newSuspects(log.log), address: address, headers: headers, log: log, queue: intake.New(0), left: make(map[model.InstanceID]time.Time), runs: make(map[string]int),
		client: exchange.NewClient(exchange.Config{RequestID: headers.RequestID, DialTimeout: upstreamDial, Budget: answers}),
	}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	return g
}

// Update takes a new view of the fleet.
func (g *Guard) Update(now time.Time, v *catalog.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, listed := v.ByUpstream(g.address)
	if g.own != nil && (!listed || own.ID != g.own.ID) {
		g.forget(g.own.ID, time.Time{})
	}
	g.own = nil
	if listed {
		copied := *own
		g.own = &copied
		if g.left[own.ID].IsZero() {
			delete(g.left, own.ID)
		}
		g.queue.Resize(now, own.Slots)
	}
	if g.stopping || g.leaving() {
		g.queue.Close()
	} else {
		g.queue.Open()
	}
}

// forget remembers that an instance has left. The caller holds the mutex.
func (g *Guard) forget(id model.InstanceID, until time.Time) {
	if len(g.left) >= maxLeft {
		clear(g.left)
	}
	g.left[id] = until
}

// hasLeft reports whether an instance is not at the address any more. The caller holds the mutex.
func (g *Guard) hasLeft(now time.Time, id model.InstanceID) bool {
	until, ok := g.left[id]
	return ok && (until.IsZero() || now.Before(until))
}

// leaving reports whether the upstream gets no new work. The caller holds the mutex.
func (g *Guard) leaving() bool { return g.own != nil && g.own.State == model.Leaving }

// Stop refuses new work; what runs goes on.
func (g *Guard) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.queue.Close()
}

// EndAt says when the process ends: no run begins that would probably outlast it.
func (g *Guard) EndAt(end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.queue.EndAt(now, end)
	g.schedule(now)
}

// SenderEndsAt says when the daemon that waits for jobs ends.
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

// Runs reports whether a request with the ID is at the upstream.
func (g *Guard) Runs(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[id] > 0
}

// note counts a request that goes to the upstream, or comes back.
func (g *Guard) note(id string, change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs[id] += change; g.runs[id] <= 0 {
		delete(g.runs, id)
	}
}

// Load returns the load of the upstream.
func (g *Guard) Load() intake.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(time.Now())
}

// tick refuses waiting calls that have run out of time.
func (g *Guard) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.queue.Advance(now)
	g.schedule(now)
}

// schedule sets the timer to the next expulsion. The caller holds the mutex.
func (g *Guard) schedule(now time.Time) {
	if next, ok := g.queue.NextTick(); ok {
		g.timer.Reset(max(next.Sub(now), time.Millisecond))
	}
}

// Run runs a job on the upstream, or refuses it.
func (g *Guard) Run(ctx context.Context, j *Job) Result {
	res := g.run(ctx, j)
	g.mu.Lock()
	now := time.Now()
	res.Load, res.Expected = g.queue.Load(now), g.queue.Expected(now, j.Route)
	g.mu.Unlock()
	if res.Refusal != nil {
		g.log.refused(j, &res)
	}
	return res
}

func (g *Guard) run(ctx context.Context, j *Job) Result {
	call := &intake.Call{
		Route: j.Route, Priority: j.Priority, Returning: j.Returning, Nested: j.Nested, Repeated: j.Repeated, Goal: j.Goal, Deadline: j.Deadline,
		ID: j.ID, SenderEnds: j.SenderEnds, Objective: j.Objective,
	}
	if refused := g.admit(ctx, j, call); refused != nil {
		return Result{Refusal: refused}
	}
	started := time.Now()
	res := g.contained(ctx, j, started)
	now := time.Now()
	g.mu.Lock()
	g.queue.Done(now, call, res.Answer != nil && res.Answer.Status < http.StatusInternalServerError)
	g.schedule(now)
	g.mu.Unlock()
	if res.Answer != nil {
		res.Run = now.Sub(started)
	}
	return res
}

// contained runs an admitted job unless it is known to crash upstreams.
func (g *Guard) contained(ctx context.Context, j *Job, now time.Time) Result {
	if err := j.load(); err != nil {
		return Result{Refusal: notRun(refusal.Cut, "the body did not arrive: "+err.Error(), 0)}
	}
	run, verdict := g.suspects.start(now, j.fingerprint())
	switch verdict {
	case quarantine.Refused:
		return Result{Refusal: notRun(refusal.Quarantined, "the request crashes the upstreams that run it; change it", quarantinedRetry)}
	case quarantine.Busy:
		return Result{Refusal: notRun(refusal.Overloaded, "the request is suspected of crashing an upstream and runs alone", downTime)}
	case quarantine.Allowed:
	}
	g.note(j.ID, 1)
	res := g.send(ctx, j)
	g.note(j.ID, -1)
	broken := res.Arrived && res.Refusal != nil && res.Refusal.Kind == refusal.UpstreamFailed
	g.suspects.end(time.Now(), run, !broken)
	if broken {
		g.checkCrash()
	}
	return res
}

// load reads the body of a job whose sender waits for a go-ahead.
func (j *Job) load() error {
	if j.ReadBody == nil {
		return nil
	}
	body, err := j.ReadBody()
	j.Body, j.ReadBody = body, nil
	return err
}

// admit waits for a slot. It returns a refusal (not run) or nil.
func (g *Guard) admit(ctx context.Context, j *Job, call *intake.Call) *refusal.Refusal {
	now := time.Now()
	decided := make(chan intake.Verdict, 1)
	call.Decide = func(v intake.Verdict) { decided <- v }
	g.mu.Lock()
	refused := g.check(now, j)
	var verdict intake.Verdict
	var retryAfter time.Duration
	if refused == nil {
		verdict = g.queue.Offer(now, call, j.MayWait)
		retryAfter = g.queue.RetryAfter(now, call)
		g.schedule(now)
	}
	g.mu.Unlock()
	if refused != nil || verdict == intake.Started {
		return refused
	}
	if verdict == intake.Waiting {
		if verdict, retryAfter = g.wait(ctx, call, decided); verdict == intake.Started {
			return nil
		}
	}
	return refusalFor(verdict, retryAfter)
}

// wait waits for the verdict of a queued call.
func (g *Guard) wait(ctx context.Context, call *intake.Call, decided <-chan intake.Verdict) (intake.Verdict, time.Duration) {
	var verdict intake.Verdict
	select {
	case verdict = <-decided:
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		now := time.Now()
		if !g.queue.Cancel(now, call) && <-decided == intake.Started {
			g.queue.Done(now, call, false)
		}
		return intake.Overloaded, 0
	}
	if verdict == intake.Started {
		return verdict, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return verdict, g.queue.RetryAfter(time.Now(), call)
}

// check refuses what needs no slot to be refused. The caller holds the mutex.
func (g *Guard) check(now time.Time, j *Job) *refusal.Refusal {
	switch {
	case !now.Before(j.Deadline):
		return notRun(refusal.Deadline, "allow more time", 0)
	case g.stopping, g.leaving(), g.hasLeft(now, j.Instance):
		return notRun(refusal.Leaving, "the instance is leaving; send the request to another one", 0)
	case now.Before(g.downUntil):
		return notRun(refusal.UpstreamFailed, "the upstream does not accept connections; try another instance", downTime)
	}
	return nil
}

func notRun(kind refusal.Kind, remedy string, after time.Duration) *refusal.Refusal {
	return &refusal.Refusal{Kind: kind, Run: refusal.NotRun, Remedy: remedy, RetryAfter: after}
}

func mayHaveRun(kind refusal.Kind, remedy string) *refusal.Refusal {
	return &refusal.Refusal{Kind: kind, Run: refusal.MayHaveRun, Remedy: remedy}
}

func refusalFor(v intake.Verdict, after time.Duration) *refusal.Refusal {
	switch v {
	case intake.Closed:
		return notRun(refusal.Leaving, "the instance is leaving; send the request to another one", 0)
	case intake.Busy:
		return notRun(refusal.Overloaded, "all slots of the instance are in use", after)
	}
	return notRun(refusal.Overloaded, "the instance cannot answer in time; come back later", after)
}

// send passes an admitted job to the upstream and judges the answer.
func (g *Guard) send(ctx context.Context, j *Job) Result {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	request := g.request(j)
	started := time.Now()
	resp, err := g.client.Do(ctx, request)
	if j.MayRepeat && droppedIdle(err) && ctx.Err() == nil && time.Since(started) < instantFailure {
		request.MaxIdle = -1
		resp, again := g.client.Do(ctx, request)
		return g.afterDroppedIdle(g.result(ctx, j, resp, again), err)
	}
	return g.result(ctx, j, resp, err)
}

// result turns the end of an exchange with the upstream into a result.
func (g *Guard) result(ctx context.Context, j *Job, resp *exchange.Response, err error) Result {
	if err != nil {
		return g.failure(ctx, err)
	}
	res := g.judge(j, resp)
	if res.Answer == nil {
		resp.Release()
	}
	return res
}

// droppedIdle reports whether a used connection failed without an answer: the upstream has mostly
// dropped it while it was idle.
func droppedIdle(err error) bool {
	var failed *exchange.Error
	return errors.As(err, &failed) && failed.Reused && !failed.Began
}

// afterDroppedIdle returns the result of a request that was sent again after its first connection
// had failed. Whether the upstream read it there is not known: it may have crashed it.
func (g *Guard) afterDroppedIdle(res Result, first error) Result {
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
		kind = refusal.UpstreamFailed // the others stand for statuses that promise "not run"
	}
	res.Refusal = mayHaveRun(kind, "the upstream's connection failed: "+first.Error())
	return res
}

// request returns the request as the upstream gets it.
func (g *Guard) request(j *Job) *exchange.Request {
	h := make(http.Header, len(j.Header)+4)
	for name, values := range j.Header {
		h[name] = values
	}
	// At least 1, because an upstream may read 0 as no limit.
	h[g.headers.Remaining] = []string{strconv.FormatInt(max(1, time.Until(j.Deadline).Milliseconds()), 10)}
	h[g.headers.Expected] = []string{string(j.Instance)}
	h[g.headers.Caller] = []string{j.Caller}
	r := &exchange.Request{
		Address: g.address, Method: j.Method, Target: j.Target, Host: j.Host, Header: h, Body: j.Body, HasBody: j.HasBody, ID: j.ID,
		Abandoned: j.Disconnected,
	}
	if !j.MayRepeat {
		r.MaxIdle = unsafeIdle
	}
	return r
}

// failure turns an error of an exchange into a result.
func (g *Guard) failure(ctx context.Context, err error) Result {
	var failed *exchange.Error
	sent := !errors.As(err, &failed) || failed.Sent
	switch {
	case errors.Is(err, exchange.ErrAbandoned):
		return Result{Refusal: notRun(refusal.Cut, "the caller has gone", 0)}
	case !sent && ctx.Err() != nil:
		return Result{Refusal: notRun(refusal.Deadline, "allow more time", 0)}
	case !sent:
		g.mu.Lock()
		if !errors.Is(err, exchange.ErrTooMany) {
			g.downUntil = time.Now().Add(downTime)
		}
		g.mu.Unlock()
		return Result{Refusal: notRun(refusal.UpstreamFailed, "the upstream does not accept connections: "+err.Error(), downTime)}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.Deadline, "the upstream did not answer in time")}
	case ended(ctx):
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.Cut, "the daemon beside the instance stopped before the answer")}
	case ctx.Err() != nil:
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.Cut, "the caller has gone")}
	}
	return Result{Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "the upstream's connection failed: "+err.Error())}
}

// judge accepts an answer of the upstream, or turns it into a refusal.
func (g *Guard) judge(j *Job, resp *exchange.Response) Result {
	g.learnSlots(resp.Header.Get(g.headers.Load))
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		g.misdirected(j.Instance)
		return Result{Arrived: true, Refusal: notRun(refusal.NoInstance, "another instance has the address: "+resp.Header.Get(g.headers.Instance), 0)}
	case resp.Header.Get(g.headers.NotRun) != "":
		return Result{Arrived: true, Refusal: notRun(refusal.Overloaded, "the upstream refused the request", 0)}
	case resp.Status < http.StatusMultipleChoices && resp.Header.Get(g.headers.Proof) == "":
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "the answer does not bear the upstream's mark")}
	case resp.Header.Get("Content-Encoding") != "":
		return Result{Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "the answer is encoded, which nobody asked for")}
	}
	return Result{Arrived: true, Answer: resp}
}

// misdirected remembers that another instance has answered at the address, so that no further
// request is sent there in vain. The store tells soon which one lives.
func (g *Guard) misdirected(id model.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(id, time.Now().Add(misdirectedTime))
}

// learnSlots takes the slots from the load that the upstream reports, as running, waiting, slots.
func (g *Guard) learnSlots(load string) {
	parts := strings.Split(load, ",")
	if len(parts) != 3 {
		return
	}
	slots, err := strconv.Atoi(strings.TrimSpace(parts[2]))
	if err != nil || slots <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Resize(time.Now(), slots)
}

// logOwn logs which instance the guard stands before.
func (g *Guard) logOwn(log *zap.Logger) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.own != nil {
		log.Info("upstream_known", zap.String("instance", string(g.own.ID)), zap.Int("slots", g.own.Slots))
	}
}
