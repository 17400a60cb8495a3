package caller

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/pkg/forward"
)

// Owners ranks the instances that may own an idempotency key. The first is the owner unless
// it answers not_owner: an instance that has just started leaves older keys to the next one.
// It returns nothing when the owner is not known.
type Owners interface {
	Owners(service, key string) []model.Instance
}

// maxLooks bounds the instances that one attempt asks for a free slot before it waits at one.
// Three cover an own data centre of two instances and one of the next data centre.
const maxLooks = 3

// maxOwners bounds the ranked owners that one attempt asks. Three cover two starting
// instances at the head of a key's order.
const maxOwners = 3

// Remote sends a request to the daemon beside an instance; *forward.Client implements it.
type Remote interface {
	RoundTrip(inst *model.Instance, req *http.Request) (*http.Response, error)
}

// Dispatcher sends calls to routed instances or to the owners of their keys. It is
// safe for concurrent use.
type Dispatcher struct {
	self   model.Instance
	router *routing.Router
	local  http.RoundTripper
	load   func() routing.Load // of the own instance; may be nil
	remote Remote
	owners Owners
	budget *retry.Budget
	memory replayMemory
	*metrics
}

// call is one call on its way.
type call struct {
	service    string
	key        string // of a request that must go to the key's owner
	repeatable bool
	dispatch   bool // by the key's owner
	depth      int
	body       *body // nil without one
	request    *http.Request
	exclude    [retry.MaxAttempts]model.InstanceID
	passes     int // times that the request was handed on
	noWait     bool
}

// RoundTrip sends a keyed request that the local daemon owns to a routed instance, with
// refusal.HeaderDispatch. It is sent again only after a true not-run. The service is in
// refusal.HeaderService, the deadline in the context. A failure is an error that
// unwraps to a *refusal.Refusal; refusals of other daemons are returned as answers.
func (d *Dispatcher) RoundTrip(req *http.Request) (*http.Response, error) {
	c := &call{service: req.Header.Get(refusal.HeaderService), dispatch: true, request: req}
	c.depth, _ = strconv.Atoi(req.Header.Get(refusal.HeaderDepth))
	if req.Body != nil && req.ContentLength != 0 {
		c.body = newBody(req.Body, req.ContentLength, &d.memory)
	}
	resp, err := d.send(req.Context(), c)
	if err != nil {
		c.body.free()
		return nil, err
	}
	resp.Body = &closer{ReadCloser: resp.Body, after: c.body.free}
	return resp, nil
}

// closer runs a function at the first Close.
type closer struct {
	io.ReadCloser
	after func()
}

// Close closes the body and runs the function once.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	if c.after != nil {
		c.after()
		c.after = nil
	}
	return err
}

// send makes attempts until one is answered or no further one is allowed. The answer's
// body must be closed.
func (d *Dispatcher) send(ctx context.Context, c *call) (*http.Response, error) {
	d.budget.RecordCall()
	resp, err := d.attempt(ctx, c, 1)
	mayHaveRun := false
	for number := 1; ; number++ {
		failed := failureOf(resp, err)
		if failed == nil {
			return resp, nil
		}
		if !d.again(ctx, c, number, failed) {
			return lastAnswer(resp, err, failed, mayHaveRun)
		}
		next, nextErr := d.attempt(ctx, c, number+1)
		if errors.Is(nextErr, errNoOther) {
			// The refusal of the instance that was tried says more.
			return lastAnswer(resp, err, failed, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || failed.Run != refusal.NotRun
		discard(resp)
		resp, err = next, nextErr
	}
}

// lastAnswer returns the outcome of the last attempt. It says not-run only if no earlier
// attempt may have run.
func lastAnswer(resp *http.Response, err error, failed *refusal.Refusal, mayHaveRun bool) (*http.Response, error) {
	if !mayHaveRun || failed.Run != refusal.NotRun {
		return resp, err
	}
	discard(resp)
	changed := *failed
	changed.Run = refusal.MayHaveRun
	changed.Remedy = "an earlier attempt may have run; " + failed.Remedy
	return nil, &changed
}

// again decides on another attempt and waits for its time.
func (d *Dispatcher) again(ctx context.Context, c *call, number int, failed *refusal.Refusal) bool {
	if c.body.broken() || ctx.Err() != nil {
		return false
	}
	remaining := time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	kind := failed.Kind
	if c.key != "" && kind == refusal.Leaving {
		// The owner of a key changes only with the list, so the next attempt waits.
		kind = refusal.NotOwner
	}
	verdict := retry.Decide(retry.Attempt{
		Number: number, Kind: kind, Run: failed.Run, Repeatable: c.repeatable,
		Replayable: c.body.replayable(), Depth: c.depth, Remaining: remaining,
	}, d.budget, rand.Uint64())
	d.retries[verdict.Reason].Inc()
	if !verdict.Retry() {
		return false
	}
	if verdict.Wait == 0 {
		return true
	}
	timer := time.NewTimer(verdict.Wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// errNoOther is the refusal when every instance has been tried.
var errNoOther = &refusal.Refusal{
	Kind: refusal.NoInstance, Run: refusal.NotRun, Remedy: "every instance of the service has refused or failed the call; try again", RetryAfter: time.Second,
}

// attempt sends the call once: to an instance that has a free slot as far as is known, and
// if it has none, which other daemons may have caused meanwhile, to the next one. A call waits
// where nobody is known to have a free slot. Asking takes nothing from the retry budget,
// because a request that found no slot has run nowhere.
func (d *Dispatcher) attempt(ctx context.Context, c *call, number int) (*http.Response, error) {
	if c.key != "" {
		return d.askOwners(ctx, c, number)
	}
	tried := append(make([]model.InstanceID, 0, len(c.exclude)+maxLooks), c.exclude[:number-1]...)
	for look := 0; ; look++ {
		decision, refused := d.pick(c, tried)
		if look > 0 && (refused != nil || !hasRoom(decision.Reason)) { // none is left to ask
			d.router.Report(decision, routing.Outcome{Cancelled: true}, time.Now())
			decision, refused = d.pick(c, tried[:number-1])
			look = maxLooks
		}
		if refused != nil {
			if number > 1 && refused.Kind == refusal.NoInstance {
				refused = errNoOther
			}
			return nil, refused
		}
		c.exclude[number-1] = decision.Instance.ID
		resp, err := d.try(ctx, c, number, decision, look < maxLooks && hasRoom(decision.Reason) && c.mayLook())
		if failed := failureOf(resp, err); failed == nil || failed.Kind != refusal.NoSlot {
			return resp, err
		}
		discard(resp)
		if !c.body.replayable() || ctx.Err() != nil {
			return nil, noSlot
		}
		tried = append(tried, decision.Instance.ID)
	}
}

// noSlot is what callers get for a call that found no slot and cannot be sent again.
var noSlot = &refusal.Refusal{
	Kind: refusal.Overloaded, Run: refusal.NotRun, RetryAfter: time.Second, Remedy: "the instances that were asked have no free slot; try again",
}

// pick chooses an instance by the present load.
func (d *Dispatcher) pick(c *call, exclude []model.InstanceID) (routing.Decision, *refusal.Refusal) {
	if d.load != nil && c.service == d.self.Service {
		d.router.ObserveSelf(d.load(), time.Now())
	}
	return d.router.Pick(routing.Query{Service: c.service, Exclude: exclude}, time.Now())
}

// hasRoom reports whether an instance that was chosen for the reason is thought to have a free
// slot.
func hasRoom(reason routing.Reason) bool {
	return reason != routing.Full && reason != routing.Suspects && reason != routing.Probe
}

// mayLook reports whether an instance may refuse the call rather than queue it: the body can
// be sent again.
func (c *call) mayLook() bool {
	return c.body == nil || c.body.length >= 0 && c.body.length <= replayBytes && c.body.replayable()
}

// try sends the call to the chosen instance. With noWait it is refused with NoSlot rather
// than queued.
func (d *Dispatcher) try(ctx context.Context, c *call, number int, decision routing.Decision, noWait bool) (*http.Response, error) {
	d.chosen[decision.Reason].Inc()
	started := time.Now()
	c.noWait = noWait
	resp, err := d.pass(ctx, c, number, &decision.Instance)
	c.noWait = false
	outcome := routing.Outcome{Latency: time.Since(started)}
	if failed := failureOf(resp, err); failed != nil {
		outcome.Refused = failed.Kind
		outcome.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
		outcome.Cancelled = ctx.Err() != nil || c.body.broken()
		outcome.Failed = !outcome.Cancelled && (failed.Kind == refusal.UpstreamFailed || failed.Kind == refusal.Cut)
	}
	if resp != nil {
		outcome.Load, _ = routing.ParseLoad(resp.Header.Get(refusal.HeaderLoad))
	}
	if err != nil || outcome.Refused != "" {
		d.router.Report(decision, outcome, time.Now())
		return resp, err
	}
	// The call is in flight until its body is read.
	d.router.Observe(decision, outcome.Load, time.Now())
	outcome.Load = routing.Load{}
	resp.Body = &closer{ReadCloser: resp.Body, after: func() { d.router.Report(decision, outcome, time.Now()) }}
	return resp, nil
}

// askOwners sends a keyed call to the owner of its key: to the ranked instances in turn
// until one decides. An instance that is not the owner has not run the call.
func (d *Dispatcher) askOwners(ctx context.Context, c *call, number int) (*http.Response, error) {
	owners := d.owners.Owners(c.service, c.key)
	if len(owners) == 0 {
		return nil, &refusal.Refusal{
			Kind: refusal.NotOwner, Run: refusal.NotRun, RetryAfter: time.Second, Remedy: "the owner of the key is not known yet; try again",
		}
	}
	d.owner.Inc()
	owners = owners[:min(len(owners), maxOwners)]
	resp, err := d.pass(ctx, c, number, &owners[0])
	for i := 1; i < len(owners); i++ {
		failed := failureOf(resp, err)
		if failed == nil || !passesOn(failed) || !c.body.replayable() || ctx.Err() != nil {
			break
		}
		discard(resp)
		resp, err = d.pass(ctx, c, number, &owners[i])
	}
	return resp, err
}

// passesOn reports whether the next instance in the order of a key may decide about it. A
// daemon that cannot be reached may have handed its keys over and stopped; if it has not,
// the next one answers not_owner.
func passesOn(failed *refusal.Refusal) bool {
	switch failed.Kind {
	case refusal.NotOwner, refusal.Leaving, refusal.UpstreamFailed:
		return failed.Run == refusal.NotRun
	}
	return false
}

// tooLate is checked by the clock, because the context's timer can lag after a pause.
var tooLate = &refusal.Refusal{Kind: refusal.Deadline, Run: refusal.NotRun, Remedy: "allow more time"}

// pass hands the request to the local guard or to the daemon beside the instance.
func (d *Dispatcher) pass(ctx context.Context, c *call, number int, inst *model.Instance) (*http.Response, error) {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return nil, tooLate
	}
	out := c.request.WithContext(ctx)
	c.passes++
	if c.passes > 1 {
		// A transport of an earlier attempt may still read the header.
		out.Header = out.Header.Clone()
	}
	// A caller that closes its connection does not close those behind the daemon.
	out.Close = false
	out.Body = http.NoBody
	if c.body != nil {
		out.Body = c.body.attempt()
	}
	out.Header[refusal.HeaderAttempt] = attemptValues[number-1]
	if c.dispatch {
		out.Header[refusal.HeaderDispatch] = attemptValues[0]
	}
	delete(out.Header, refusal.HeaderNoWait)
	if c.noWait {
		out.Header[refusal.HeaderNoWait] = attemptValues[0]
	}
	if inst.ID == d.self.ID {
		forward.SetRemaining(ctx, out.Header, time.Now())
		return d.local.RoundTrip(out)
	}
	return d.remote.RoundTrip(inst, out)
}

var attemptValues = [retry.MaxAttempts][]string{{"1"}, {"2"}, {"3"}}

// failureOf returns the refusal in an error or an answer, nil for an upstream's answer.
func failureOf(resp *http.Response, err error) *refusal.Refusal {
	if err != nil {
		var refused *refusal.Refusal
		if errors.As(err, &refused) {
			return refused
		}
		return &refusal.Refusal{Kind: refusal.UpstreamFailed, Run: refusal.MayHaveRun, Remedy: "see the daemon's log: " + err.Error()}
	}
	if refused, ok := refusal.FromResponse(resp); ok {
		return refused
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(refusal.HeaderRun) == refusal.NotRun.String() {
		return &refusal.Refusal{Kind: refusal.Overloaded, Run: refusal.NotRun, Remedy: "the upstream sheds load; try again"}
	}
	return nil
}

// discard ends an answer that is not passed on. A short rest is read, so that the
// connection can be used again.
func discard(resp *http.Response) {
	if resp != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
		_ = resp.Body.Close()
	}
}
