package mesh

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"mangoshed.example/mangoshed/core/drain"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
)

const (
	// headerBytesEstimate is the typical size of the headers of a request and its response between
	// daemons.
	headerBytesEstimate = 700
	// minAttemptTime is the shortest remaining time for which another attempt is made.
	minAttemptTime = 10 * time.Millisecond
)

// send sends the request to instances and returns the final result.
func (i *Ingress) send(ctx context.Context, req *request) Result {
	res := i.tryInstances(ctx, req)
	if req.charged != nil {
		i.budget.Refund(time.Now(), *req.charged)
	}
	req.call.ended(res.Response != nil && res.Response.Status < http.StatusInternalServerError)
	return res
}

// tryInstances tries instances until one returns a final response or no further attempt is allowed.
func (i *Ingress) tryInstances(ctx context.Context, req *request) Result {
	now := time.Now()
	i.budget.RecordRequest(now, retry.Request{Service: req.service, Nested: req.call != nil, Calls: i.calls.Of(req.route.Name)})
	if !i.hasTimeForAttempt(req, now) && !i.takeTrial(req, now) {
		res := Result{Refusal: i.tooLittleTime()}
		return i.conclude(req, res, res)
	}
	var last Result
	for {
		res, ok := i.attempt(ctx, req)
		if !ok {
			return i.conclude(req, last, res)
		}
		last.Response.Release() // the next attempt replaces it
		if isFinal(req, &res) {
			return i.conclude(req, res, res)
		}
		last = res
		if !i.shouldRetry(ctx, req, &res) {
			return i.conclude(req, res, res)
		}
	}
}

// tooLittleTime returns the refusal of a request that has too little time left for an attempt.
func (i *Ingress) tooLittleTime() *refusal.Refusal {
	if i.plan.Load() != nil {
		return notRun(refusal.Leaving, "the daemon is stopping and will end before the request could finish; connect again", stoppingRetryAfter)
	}
	return notRun(refusal.Deadline, "the remaining time is shorter than a typical run and its round trip; allow more time", 0)
}

// isFinal reports whether the result is a final response. A 5xx response of an upstream may be retried
// at another instance if the request may run twice.
func isFinal(req *request, res *Result) bool {
	if res.Response == nil {
		return false
	}
	return res.Response.Status < http.StatusInternalServerError || !req.route.Kind.MayRepeat()
}

// shouldRetry decides whether to make another attempt.
func (i *Ingress) shouldRetry(ctx context.Context, req *request, res *Result) bool {
	now, refused := time.Now(), res.Refusal
	ran := refused == nil || refused.Run != refusal.NotRun
	req.mayHaveRun = req.mayHaveRun || ran
	if ctx.Err() != nil || !i.hasTimeForAttempt(req, now) {
		return false
	}
	if refused != nil && refused.Kind == refusal.Cut && req.job.Disconnected != nil && req.job.Disconnected() {
		return false
	}
	if refused != nil && refused.Run == refusal.NotRun && !res.Arrived {
		// No upstream received this attempt, so it does not count against the retry budget.
		return req.refusals < retry.MaxRefusals && len(req.queueFull) < retry.MaxQueueRefusals && (req.mayQueue() || req.refusals < retry.FreeSlotAttempts)
	}
	if ran && !req.route.Kind.MayRepeat() || req.upstreamAttempts >= req.route.MaxAttempts {
		return false
	}
	return i.takeRepeat(now, req, res)
}

// takeRepeat charges the retry budget for another attempt after one that reached an upstream. It
// returns false if the budget does not allow it.
func (i *Ingress) takeRepeat(now time.Time, req *request, res *Result) bool {
	req.repeat = retry.FailedAttempt{
		NotRun: !req.mayHaveRun, Returning: req.returning, Nested: req.call != nil, SiblingFailed: req.call.attemptFailed(), CallFailed: res.CallFailed,
	}.Chance()
	repeat := retry.Repeat{Service: req.service, Calls: i.calls.Of(req.route.Name), Chance: req.repeat}
	if !i.budget.Take(now, repeat) {
		req.repeatDenied = true
		i.metrics.countRetry("budget", req.repeat)
		return false
	}
	req.charged = &repeat
	i.metrics.countRetry("again", req.repeat)
	return true
}

// hasTimeForAttempt reports whether another attempt can finish before the request's deadline and
// before the process ends. It assumes that a typical run takes at least half of the mean run time.
// During a shutdown the first attempt needs more time than a retry of a request that may have run,
// because such a request fails without a retry.
func (i *Ingress) hasTimeForAttempt(req *request, now time.Time) bool {
	run, end := i.placer.MeanRun(req.route.Name), req.deadline
	if plan := i.plan.Load(); plan != nil {
		if !req.mayHaveRun && !now.Before(drain.StartBy(plan.AbortAt, run, 0)) {
			return false
		}
		end = earlier(end, plan.AbortAt)
	}
	if req.trial {
		run = 0
	}
	return end.Sub(now) >= max(minAttemptTime, time.Duration(float64(run)*placement.LeastRunShare))
}

// takeTrial reports whether a request is sent although the mean run time of its route leaves it too little time,
// in order to test the mean. A returning caller has less time than others, so that its request would prove
// nothing.
func (i *Ingress) takeTrial(req *request, now time.Time) bool {
	if req.returning || i.plan.Load() != nil || req.deadline.Sub(now) < minAttemptTime {
		return false
	}
	req.trial = i.placer.TakeTrial(now, req.route.Name)
	if req.trial {
		i.metrics.trials.Inc()
	}
	return req.trial
}

// mayQueue reports whether the request may wait in an instance's queue. A request that may have
// run mostly failed because of overload, so it only tries free slots, unless the attempt failed
// because the instance's daemon ended.
func (r *request) mayQueue() bool { return !r.mayHaveRun || r.daemonEnded }

// attempt sends the request to one instance. It returns false if there is no suitable instance.
func (i *Ingress) attempt(ctx context.Context, req *request) (Result, bool) {
	now := time.Now()
	run, verdict := i.sender.guard.suspects.watch(now, &req.job)
	trial, reached := false, false
	if verdict == quarantine.Refused {
		if run, trial = i.sender.guard.suspects.takeTrial(now, &req.job); !trial {
			return Result{Refusal: quarantinedRefusal()}, false
		}
		defer func() {
			if !reached {
				i.sender.guard.suspects.returnTrial(time.Now(), run)
			}
		}()
	}
	regions := i.allowedRegions(req)
	choice, ok := i.placer.Choose(now, placement.Query{
		Regions: regions, ExcludeRegions: req.refusedRegions,
		Service: req.service, Route: req.route.Name, Exclude: req.excluded(), Slack: req.goal.Sub(now), Remaining: req.deadline.Sub(now),
		Bytes: len(req.job.Body) + headerBytesEstimate, DeferredBody: req.job.deferBody(), NeedsAllowance: req.queueOverRate, Trial: req.trial,
	})
	if !ok && req.queueOverRate && choice.Instance == nil {
		return Result{}, false // the last refusal stands
	}
	if !ok && choice.Instance != nil {
		return Result{Refusal: i.tooLittleTime()}, false
	}
	if !ok {
		req.unusable = &choice.Unusable
		return Result{Refusal: noInstance(req.service, regions)}, false
	}
	i.metrics.attempts.WithLabelValues(choice.Distance.String()).Inc()
	job := req.job
	job.Instance, job.Limit = choice.Instance.ID, choice.Limit
	job.Returning, job.Repeated, job.QuarantineTrial = job.Returning || req.daemonEnded, req.mayHaveRun, trial
	// The other daemon measures these times from the arrival of the job. Its result has to be back
	// in time, even if it is a refusal: without it the request counts as one that may have run.
	job.Deadline, job.Goal = job.Deadline.Add(-choice.RoundTrip), job.Goal.Add(-choice.RoundTrip)
	if plan := i.plan.Load(); plan != nil {
		job.SenderEnds = plan.AbortAt.Add(-choice.RoundTrip)
	}
	// The request may wait at an instance that is the best choice although it is known to be full.
	// An instance that seems to have a free slot is tried without waiting.
	job.MayWait = req.mayQueue() && (choice.Wait > placement.FreeSlotWait || req.overRate || req.refusals >= retry.FreeSlotAttempts)
	region := choice.Instance.Place.Region
	job.Withdrawn = func() bool { return !i.allows(req, region) }
	res := i.sender.Send(ctx, &job, choice.Instance)
	reached = res.Arrived || res.Response != nil
	if res.regionNotAllowed() {
		req.refusedRegions = append(req.refusedRegions, region)
	}
	if res.Unreachable && res.Arrived && ctx.Err() == nil {
		i.sender.guard.suspects.recordLoss(time.Now(), &job, run)
	}
	i.recordAttempt(req, &job, &res)
	i.calls.Learn(req.route.Name, res.Calls)
	i.placer.Done(time.Now(), choice, req.route.Name, placement.Report{
		Outcome: outcome(ctx, &res), Load: res.Load, Run: res.Run, Expected: res.Expected, Bytes: res.bytes(), RoundTrip: res.RoundTrip,
		Limit: res.Limit, Leaving: res.Leaving, Evacuated: res.Evacuated, Pace: res.Pace,
	})
	return res, true
}

// recordAttempt records the result of an attempt, which limits further attempts.
func (i *Ingress) recordAttempt(req *request, job *Job, res *Result) {
	req.lastInstance = job.Instance
	if res.Arrived {
		req.upstreamAttempts++
		req.charged = nil
	}
	if res.Refusal == nil {
		req.failed = append(req.failed, job.Instance)
		return
	}
	if res.daemonEnded() {
		// Earlier refusals are out of date after the time of the run.
		req.daemonEnded, req.refusals, req.queueFull = true, 0, nil
	}
	if !res.Arrived && !res.regionNotAllowed() {
		req.refusals++
	}
	full := res.Refusal.Kind == refusal.Overloaded && !res.Arrived
	if full && res.Cold {
		req.overRate, req.queueOverRate = true, req.queueOverRate || job.MayWait
	}
	switch {
	case full && job.MayWait:
		req.queueFull = append(req.queueFull, job.Instance)
	case !full:
		req.failed = append(req.failed, job.Instance)
	}
}

// excluded returns the instances to which the request is not sent again.
func (r *request) excluded() []model.InstanceID { return slices.Concat(r.failed, r.queueFull) }

// daemonEnded reports whether the instance's daemon ended while its upstream ran the request.
func (r *Result) daemonEnded() bool {
	return r.Refusal != nil && r.Refusal.Kind == refusal.Cut && r.Refusal.Run == refusal.MayHaveRun && r.Arrived && !r.Unreachable
}

// regionNotAllowed reports whether the job was refused because the route does not list the instance's
// region. It is then not sent to that region again, so that such refusals need no other bound.
func (r *Result) regionNotAllowed() bool {
	return r.Refusal != nil && r.Refusal.Kind == refusal.RegionNotAllowed && r.Refusal.Run == refusal.NotRun && !r.Arrived
}

// bytes returns the size of the response body.
func (r *Result) bytes() int {
	if r.Response == nil {
		return 0
	}
	return len(r.Response.Body)
}

// outcome classifies a result for the placer.
func outcome(ctx context.Context, res *Result) placement.Outcome {
	switch {
	case res.Response != nil && res.Response.Status < http.StatusInternalServerError:
		return placement.Answered
	case res.Response != nil:
		return placement.Failed
	case errors.Is(ctx.Err(), context.Canceled):
		return placement.Cancelled
	case res.Unreachable && ctx.Err() != nil:
		return placement.TimedOut
	case res.Unreachable:
		return placement.Unreachable
	case res.Refusal.Kind == refusal.Cut && !res.Arrived:
		return placement.Cancelled
	case res.Refusal.Kind == refusal.Leaving, res.Refusal.Kind == refusal.NoInstance:
		return placement.Leaving
	case res.Refusal.Run == refusal.NotRun && !res.Arrived && res.Refusal.Kind == refusal.Overloaded, res.regionNotAllowed():
		return placement.Refused
	case res.Refusal.Kind == refusal.UpstreamFailed && !res.Arrived:
		return placement.Unreachable
	}
	return placement.Failed
}

// conclude returns the final result. The result is marked not-run only if no attempt may have run.
func (i *Ingress) conclude(req *request, last, res Result) Result {
	if last.Response == nil && last.Refusal == nil {
		last = res
	}
	if last.Refusal == nil {
		return last
	}
	if req.mayHaveRun && last.Refusal.Run == refusal.NotRun {
		changed := *last.Refusal
		changed.Run = refusal.MayHaveRun
		changed.Kind = refusal.UpstreamFailed
		changed.Status = 0
		last.Refusal = &changed
	}
	if last.Refusal.Run == refusal.NotRun {
		changed := *last.Refusal
		// Callers retry requests that have not run, and recognise them by status 503.
		changed.Status = http.StatusServiceUnavailable
		if changed.RetryAfter == 0 {
			changed.RetryAfter = defaultRetryAfter
		}
		last.Refusal = &changed
	}
	return last
}

// defaultRetryAfter is the Retry-After sent if it is unknown when a slot will be free.
const defaultRetryAfter = 100 * time.Millisecond
