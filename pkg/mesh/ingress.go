package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/drain"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/core/route"
)

const (
	// responseMargin is the time reserved for sending the response to the caller.
	responseMargin = 20 * time.Millisecond
	// requestMargin is the time that a caller may have spent on connecting and sending the request.
	requestMargin = 20 * time.Millisecond
	// waitDivisor is the divisor of the caller's remaining time, and maxTableWait the upper limit, for
	// how long a request waits for the first table. Callers close a connection that is not read
	// for one second or for a third of their timeout.
	waitDivisor  = 4
	maxTableWait = 700 * time.Millisecond
	// maxTableWaiters limits the requests that wait for the first table; each uses about 20 KB.
	maxTableWaiters = 1000
	// noTableRetry is the Retry-After of a daemon that has no table yet.
	noTableRetry = 250 * time.Millisecond
	// noInstanceRetry is the Retry-After for a service that has no reachable instance.
	noInstanceRetry = 300 * time.Millisecond
)

// Ingress receives the requests of callers, forwards each to an instance of the route's service
// and writes the response. It implements http.Handler.
type Ingress struct {
	// requestsCtx is the parent of the contexts of requests that run ahead.
	requestsCtx context.Context

	service string // of the upstream on this daemon's host
	headers Headers
	// parent returns the ID of the request during whose run an upstream sent the request with the
	// given ID. It is nil if request IDs do not contain that.
	parent  func(id string) (string, bool)
	fleet   *Fleet
	placer  *placement.Placer
	sender  *Sender
	budget  *retry.FleetBudget
	metrics *metrics
	log     *requestLog
	// bodies is the memory for the bodies of requests; nil for no bound.
	bodies *bodyBudget

	active         atomic.Int64
	tableWaiters   atomic.Int64               // requests that wait for the first table
	plan           atomic.Pointer[drain.Plan] // of the graceful shutdown; nil until it begins
	random         random
	callerTimeouts callerTimeouts
	calls          retry.CallTable
}

// random is a source of random numbers that is safe for concurrent use.
type random struct {
	mu  sync.Mutex
	src *rand.Rand
}

func (r *random) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.src.Float64()
}

// request is a caller's request together with the state of its attempts.
type request struct {
	route    *route.Route
	service  string
	version  uint64
	arrived  time.Time
	goal     time.Time // at which the request misses the latency objective
	deadline time.Time
	// callerEnds is the time at which the caller stops waiting; zero if it is unknown.
	callerEnds time.Time
	returning  bool // after a refusal, as far as the remaining time shows
	// call is the record of the request if a run of the local upstream makes it, otherwise nil.
	call *nestedCall
	id   string
	job  Job
	// stoppingFor is the time from the start of the daemon's shutdown to the arrival of the
	// request; 0 if it arrived before the shutdown.
	stoppingFor time.Duration

	// upstreamAttempts counts the attempts that reached an upstream; mayHaveRun is set once an
	// upstream may have run the request.
	upstreamAttempts int
	mayHaveRun       bool
	// daemonEnded is set once an instance's daemon has ended while its upstream ran the request.
	daemonEnded bool
	// charged is the repeat that the retry budget has paid for and that has not reached an upstream yet.
	charged *retry.Repeat
	// repeat is the chance of the last repeat that was considered, and repeatDenied is set if the
	// retry budget did not allow it.
	repeat       retry.Chance
	repeatDenied bool
	// refusals counts the refusals by daemons whose upstream had not received the request.
	refusals int
	// overRate is set after a refusal by an instance whose upstream is cold: the others mostly are as well,
	// so the next attempt may wait. queueOverRate is set if the request was allowed to wait there: further
	// attempts go only to instances that are not known to be over their rate.
	overRate, queueOverRate bool
	// queueFull are the instances whose queue had no room for the request.
	queueFull []model.InstanceID
	// refusedRegions are the regions whose daemons have refused the request because the route does not
	// list them.
	refusedRegions []string
	// failed are the other instances to which the request is not sent again, because an attempt
	// failed there.
	failed       []model.InstanceID
	lastInstance model.InstanceID
	// trial is set if the request is sent although the mean run time of its route leaves it too little time.
	trial bool
	// unusable is set if no instance could be chosen.
	unusable *placement.Unusable
}

// ServeHTTP handles one request of a caller.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.active.Add(1)
	defer i.active.Add(-1)
	pipeline := pipelineOf(r)
	if run := i.takeAhead(pipeline, r); run != nil {
		i.answerAhead(w, r, run)
		return
	}
	arrived := time.Now()
	held := i.bodies.open(w, r)
	defer held.release()
	req, refused := i.accept(w, r, held, arrived)
	if refused != nil {
		i.refuse(w, r, nil, refused)
		return
	}
	if req == nil || senderDisconnected(r) {
		// The caller aborted the body or has closed the connection.
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	// On a busy machine the caller may disconnect between the check above and the moment at
	// which the request is sent.
	req.job.Disconnected = func() bool { return senderDisconnected(r) }
	if mayRunAhead(r, req.route) {
		pipeline.Admit()
	}
	i.respond(w, r, req, i.send(ctx, req))
}

// respond writes the final response to a request and records its outcome.
func (i *Ingress) respond(w http.ResponseWriter, r *http.Request, req *request, res Result) {
	if res.Refusal == nil {
		i.metrics.recordOutcome(req, statusClass(res.Response.Status))
		i.log.logOutcome(req, strconv.Itoa(res.Response.Status), &res)
		i.closeIfStopping(w, r)
		if err := writeResponse(w, res.Response, req.callerEnds); err != nil {
			i.log.logNotTaken(req.id, "caller", res.Response, err)
		}
		return
	}
	outcome := string(res.Refusal.Kind)
	switch {
	case processEnds(r.Context()):
		outcome = outcomeCutByStop
		if res.Refusal.Run == refusal.NotRun {
			res.Refusal.RetryAfter = stoppingRetryAfter
		}
		res.Refusal.Remedy = "the daemon stopped before it had a response to the request; send the request to another daemon if it may run again"
	case r.Context().Err() != nil || res.Refusal.Kind == refusal.Cut && senderDisconnected(r):
		i.metrics.recordOutcome(req, outcomeCallerLeft)
		i.log.logOutcome(req, outcomeCallerLeft, &res)
		panic(http.ErrAbortHandler)
	}
	i.metrics.recordOutcome(req, outcome)
	i.log.logOutcome(req, outcome, &res)
	i.refuse(w, r, req, res.Refusal)
}

// Outcomes of requests that ended with neither an upstream's response nor a refusal.
const (
	outcomeCallerLeft = "caller_left"
	outcomeCutByStop  = "cut_by_stop"
)

// stoppingFor returns the time from the start of the daemon's shutdown to now, 0 if it has not begun.
func (i *Ingress) stoppingFor(now time.Time) time.Duration {
	if plan := i.plan.Load(); plan != nil {
		return now.Sub(plan.Began)
	}
	return 0
}

// closeIfStopping sets "Connection: close" during a shutdown, so that the caller opens another
// connection for its next request. If requests behind this one run already, the response to the last
// of them closes the connection.
func (i *Ingress) closeIfStopping(w http.ResponseWriter, r *http.Request) {
	if i.plan.Load() != nil && pipelineOf(r).Hold() == 0 {
		w.Header().Set("Connection", "close")
	}
}

// refuseIfStopping returns a refusal if the daemon is stopping and no longer accepts requests. A
// request that the daemon's own upstream makes during a run is still accepted if its timeout ends
// before the process does, because the run would fail without it.
func (i *Ingress) refuseIfStopping(r *http.Request, timeout time.Duration) *refusal.Refusal {
	now := time.Now()
	plan := i.plan.Load()
	if plan == nil || plan.Accepts(now) {
		return nil
	}
	remaining := min(timeout, parseRemaining(r.Header.Get(i.headers.Remaining)))
	if now.Add(remaining).Before(plan.AbortAt) && i.nested(r) {
		return nil
	}
	return notRun(refusal.Leaving, "the daemon is stopping; connect again to reach another one", stoppingRetryAfter)
}

// refuse writes a refusal as the response.
func (i *Ingress) refuse(w http.ResponseWriter, r *http.Request, req *request, refused *refusal.Refusal) {
	if req == nil {
		i.metrics.rejected(refused)
		i.log.logRejection(r.Header.Get(i.headers.RequestID), r.Host, r.URL.Path, refused)
	}
	i.closeIfStopping(w, r)
	boundWrite(w, time.Time{})
	h := w.Header()
	h["Date"] = nil
	if id := r.Header.Get(i.headers.RequestID); id != "" {
		h.Set(i.headers.RequestID, id)
	}
	refusal.Write(w, refused)
}

// accept reads and checks a request. It returns either the request or a refusal, or neither if the
// caller aborted the request.
func (i *Ingress) accept(w http.ResponseWriter, r *http.Request, held *heldBody, arrived time.Time) (*request, *refusal.Refusal) {
	if refused := i.refuseIfStopping(r, 0); refused != nil {
		return nil, refused
	}
	view := i.view(r)
	if view.Table == nil {
		return nil, notRun(refusal.NoVersion, "the daemon has no route table yet; try again", noTableRetry)
	}
	return i.acceptIn(w, r, held, arrived, view)
}

// acceptIn is accept with the view whose table routes the request.
func (i *Ingress) acceptIn(w http.ResponseWriter, r *http.Request, held *heldBody, arrived time.Time, view *catalog.View) (*request, *refusal.Refusal) {
	if r.URL.Host != "" || !strings.HasPrefix(r.RequestURI, "/") {
		return nil, &refusal.Refusal{Kind: refusal.BadRequest, Run: refusal.NotRun, Remedy: "send only the path and query as the request target", Status: http.StatusBadRequest}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	matched := view.Table.Match(r.Host, path)
	if matched == nil {
		return nil, &refusal.Refusal{Kind: refusal.NoService, Run: refusal.NotRun, Remedy: "no route matches this host and path; check both, or publish a route"}
	}
	if limit := view.Table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, &refusal.Refusal{Kind: refusal.TooLarge, Run: refusal.NotRun, Remedy: "send at most " + strconv.FormatInt(limit, 10) + " bytes of headers"}
	}
	if refused := tooManyFields(r); refused != nil {
		return nil, refused
	}
	if refused := held.takeHead(r); refused != nil {
		return nil, refused
	}
	deadline := i.deadline(r, arrived, matched)
	body, refused, err := readBody(w, r, held, view.Table.Limits.MaxBodyBytes, deadline)
	switch {
	case err != nil && processEnds(r.Context()):
		return nil, notRun(refusal.Leaving, "the daemon stopped before it had received the whole request; connect again", stoppingRetryAfter)
	case errors.Is(err, errBodyLate):
		return nil, &refusal.Refusal{Kind: refusal.Cut, Run: refusal.NotRun, Status: http.StatusRequestTimeout, Remedy: bodyLateRemedy}
	}
	if err != nil || refused != nil {
		return nil, refused
	}
	// A shutdown may have begun during the wait for the body or for the first table.
	if refused := i.refuseIfStopping(r, matched.Timeout); refused != nil {
		return nil, refused
	}
	return i.newRequest(r, arrived, deadline, matched, view.Table.Version, body), nil
}

// deadline returns the time at which the response to a request has to be sent, so that it reaches the
// caller before the caller's timeout.
func (i *Ingress) deadline(r *http.Request, arrived time.Time, matched *route.Route) time.Time {
	remaining := min(matched.Timeout, parseRemaining(r.Header.Get(i.headers.Remaining)))
	return arrived.Add(remaining - responseMarginFor(remaining))
}

// responseMarginFor returns the part of a request's remaining time that is reserved for sending the response.
func responseMarginFor(remaining time.Duration) time.Duration {
	return min(responseMargin, remaining/10)
}

// view returns the current view. A request that arrives before the first table waits for it for a
// part of the caller's remaining time: a daemon that has just started receives a table within a
// second, and a caller that is refused can only guess when to retry.
func (i *Ingress) view(r *http.Request) *catalog.View {
	view := i.fleet.View()
	if view.Table != nil {
		return view
	}
	if i.tableWaiters.Add(1) > maxTableWaiters {
		i.tableWaiters.Add(-1)
		return view
	}
	defer i.tableWaiters.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), tableWait(parseRemaining(r.Header.Get(i.headers.Remaining))))
	defer cancel()
	return i.fleet.AwaitTable(ctx)
}

// tableWait returns how long a request waits for the first table, given the caller's remaining time.
func tableWait(timeout time.Duration) time.Duration { return min(timeout/waitDivisor, maxTableWait) }

// parseRemaining parses the header with the time that the caller will still wait. It returns
// unknownRemaining if the text is not a valid number.
func parseRemaining(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return unknownRemaining
	}
	return time.Duration(ms) * time.Millisecond
}

// unknownRemaining is the remaining time of a caller that sends none. It exceeds any route's timeout.
const unknownRemaining = time.Hour

// headerBytes returns the size of the request target, the host and the header names and values.
func headerBytes(r *http.Request) int64 {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return int64(n)
}

// newRequest builds the request with its service and latency goal, and the job that is sent to an
// instance.
func (i *Ingress) newRequest(r *http.Request, arrived, deadline time.Time, matched *route.Route, version uint64, body []byte) *request {
	callerRemaining := parseRemaining(r.Header.Get(i.headers.Remaining))
	nested := i.nested(r)
	service := matched.Choose(i.random.float())
	var spent time.Duration
	if !nested {
		spent = i.callerTimeouts.timeOnEarlierAttempts(matched.Name, callerRemaining)
	}
	req := &request{
		route: matched, version: version, service: service,
		arrived: arrived, deadline: deadline, goal: arrived.Add(matched.Goal - spent),
		returning: spent > 0, id: r.Header.Get(i.headers.RequestID), stoppingFor: i.stoppingFor(arrived),
	}
	priority := matched.Priority
	if nested {
		parent, _ := i.parent(req.id)
		priority = i.sender.guard.runs.callPriority(parent, priority)
		req.call = i.sender.guard.runs.call(parent, service, i.calls.Of(matched.Name))
	}
	if callerRemaining < unknownRemaining {
		req.callerEnds = arrived.Add(callerRemaining)
	}
	margin := responseMarginFor(min(matched.Timeout, callerRemaining))
	req.goal = req.goal.Add(-min(requestMargin+margin, matched.Goal/4))
	header := withoutPeerHeaders(r.Header)
	delete(header, i.headers.Caller)
	delete(header, i.headers.Expected)
	req.job = Job{
		Service: req.service, Route: matched.Name, Caller: i.service, Priority: priority, Returning: req.returning,
		MayRepeat: matched.Kind.MayRepeat(), Nested: nested, Goal: req.goal, Deadline: req.deadline, Objective: matched.Goal,
		Method: r.Method, Target: r.RequestURI, Host: r.Host, ID: req.id, Header: header, Body: body,
		HasBody: r.ContentLength != 0 || r.Method == http.MethodPost || r.Method == http.MethodPut,
	}
	return req
}

// nested reports whether the daemon's own upstream makes the request during a run.
func (i *Ingress) nested(r *http.Request) bool {
	if i.parent == nil {
		return false
	}
	parent, ok := i.parent(r.Header.Get(i.headers.RequestID))
	return ok && i.sender.guard.runs.active(parent)
}

// statusClass returns the metric label for an HTTP status.
func statusClass(status int) string {
	switch {
	case status < 300:
		return "ok"
	case status < 500:
		return "upstream_4xx"
	}
	return "upstream_5xx"
}
