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
	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// looks is the number of instances that are asked for a free slot before a request waits
	// for one. An instance answers at once, within the region in about a millisecond.
	looks = 3
	// maxRefusals bounds the daemons that are asked for one request.
	maxRefusals = 6
	// maxTurnedAway bounds the instances that say that a request cannot wait there. Others are
	// rarely better off, and the caller learns sooner that it has to come back.
	maxTurnedAway = 2
	// freeWait is the expected wait up to which an instance is taken to have a free slot.
	freeWait = time.Millisecond
	// headBytes is the usual size of the headers of a request and its answer between daemons.
	headBytes = 700
	// minAttemptTime is the least time in which another attempt can succeed.
	minAttemptTime = 10 * time.Millisecond
)

// send places the request until it is answered or nothing more can be done.
func (i *Ingress) send(ctx context.Context, req *request) Result {
	now := time.Now()
	i.budget.RecordRequest(now, req.service)
	if !i.canMakeIt(req, now) {
		res := Result{Refusal: i.tooLate()}
		return i.conclude(req, res, res)
	}
	var last Result
	for {
		res, ok := i.attempt(ctx, req)
		if !ok {
			return i.conclude(req, last, res)
		}
		last.Answer.Release() // a better one may come
		if done(req, &res) {
			return i.conclude(req, res, res)
		}
		last = res
		if !i.again(ctx, req, &res) {
			return i.conclude(req, res, res)
		}
	}
}

// tooLate refuses a request that has not been sent to any instance.
func (i *Ingress) tooLate() *refusal.Refusal {
	if i.plan.Load() != nil {
		return notRun(refusal.Leaving, "the daemon stops before a run could end; connect again", stoppingRetry)
	}
	return notRun(refusal.Deadline, "the time left is shorter than a usual run and its way; allow more", 0)
}

// done reports whether the answer is final. A failure of the upstream itself may be repeated
// at another instance if the request may run twice.
func done(req *request, res *Result) bool {
	if res.Answer == nil {
		return false
	}
	return res.Answer.Status < http.StatusInternalServerError || !req.route.Kind.MayRepeat()
}

// again decides on another attempt.
func (i *Ingress) again(ctx context.Context, req *request, res *Result) bool {
	now, refused := time.Now(), res.Refusal
	ran := refused == nil || refused.Run != refusal.NotRun
	req.mayHaveRun = req.mayHaveRun || ran
	if ctx.Err() != nil || !i.canMakeIt(req, now) {
		return false
	}
	if refused != nil && refused.Kind == refusal.Cut && req.job.Left != nil && req.job.Left() {
		return false
	}
	if refused != nil && refused.Run == refusal.NotRun && !res.Arrived {
		// No upstream saw the request.
		return req.refusals < maxRefusals && len(req.turnedAway) < maxTurnedAway && (req.worthWaiting() || req.refusals < looks)
	}
	if ran && !req.route.Kind.MayRepeat() || req.sent >= req.route.MaxAttempts {
		return false
	}
	if !i.budget.Take(now, req.service) {
		i.metrics.retries("budget")
		return false
	}
	i.metrics.retries("again")
	return true
}

// canMakeIt reports whether another attempt can be answered in time, and before the process ends:
// a usual run takes at least half of the mean. A request that may have run fails without one.
func (i *Ingress) canMakeIt(req *request, now time.Time) bool {
	run, end := i.placer.MeanRun(req.route.Name), req.deadline
	if plan := i.plan.Load(); plan != nil {
		if !req.mayHaveRun && !now.Before(drain.StartBy(plan.AbortAt, run, 0)) {
			return false
		}
		end = earlier(end, plan.AbortAt)
	}
	return end.Sub(now) >= max(minAttemptTime, run/2)
}

// worthWaiting reports whether the request is worth a place in a queue. What fails one is mostly
// a lack of room, unless the daemon beside the instance ended.
func (r *request) worthWaiting() bool { return !r.mayHaveRun || r.brokenOff }

// attempt sends the request to one instance. It returns false when there is none.
func (i *Ingress) attempt(ctx context.Context, req *request) (Result, bool) {
	now := time.Now()
	choice, ok := i.placer.Choose(now, placement.Query{
		Service: req.service, Route: req.route.Name, Exclude: req.excluded(), Slack: req.goal.Sub(now), Remaining: req.deadline.Sub(now),
		Bytes: len(req.job.Body) + headBytes, DeferredBody: req.job.confirm(),
	})
	if !ok && choice.Instance != nil {
		return Result{Refusal: i.tooLate()}, false
	}
	if !ok {
		return Result{Refusal: notRun(refusal.NoInstance, "no live instance of "+req.service+" can be reached; try again", noInstanceRetry)}, false
	}
	job := req.job
	job.Instance = choice.Instance.ID
	job.Returning, job.Repeated = job.Returning || req.brokenOff, req.mayHaveRun
	// The other daemon counts from the arrival of the job. What it decides has to be back in time,
	// a refusal as well: without it the request may have run.
	job.Deadline, job.Goal = job.Deadline.Add(-choice.RoundTrip), job.Goal.Add(-choice.RoundTrip)
	if plan := i.plan.Load(); plan != nil {
		job.SenderEnds = plan.AbortAt.Add(-choice.RoundTrip)
	}
	// An instance that is known to be full and is the best choice all the same may let the
	// request wait; one that seems to have a free slot is only asked for that.
	job.MayWait = req.worthWaiting() && (choice.Wait > freeWait || req.refusals >= looks)
	res := i.sender.Send(ctx, &job, choice.Instance)
	i.count(req, &job, &res)
	i.placer.Done(time.Now(), choice, req.route.Name, placement.Report{
		Outcome: outcome(ctx, &res), Load: res.Load, Run: res.Run, Expected: res.Expected, Bytes: res.bytes(), RoundTrip: res.RoundTrip,
	})
	return res, true
}

// count keeps what an attempt says about further ones.
func (i *Ingress) count(req *request, job *Job, res *Result) {
	req.last = job.Instance
	if res.Arrived {
		req.sent++
	}
	if res.Refusal == nil {
		req.exclude = append(req.exclude, job.Instance)
		return
	}
	if res.brokenOff() {
		// What the others said before the run says little about them now.
		req.brokenOff, req.refusals, req.turnedAway = true, 0, nil
	}
	if !res.Arrived {
		req.refusals++
	}
	switch full := res.Refusal.Kind == refusal.Overloaded && !res.Arrived; {
	case full && job.MayWait:
		req.turnedAway = append(req.turnedAway, job.Instance)
	case !full:
		req.exclude = append(req.exclude, job.Instance)
	}
}

// excluded returns the instances that are not asked.
func (r *request) excluded() []model.InstanceID { return slices.Concat(r.exclude, r.turnedAway) }

// brokenOff reports whether the daemon beside the instance ended during the run.
func (r *Result) brokenOff() bool {
	return r.Refusal != nil && r.Refusal.Kind == refusal.Cut && r.Refusal.Run == refusal.MayHaveRun && r.Arrived && !r.Unreachable
}

// bytes returns the size of the answer's body.
func (r *Result) bytes() int {
	if r.Answer == nil {
		return 0
	}
	return len(r.Answer.Body)
}

// outcome classes a result for the placer.
func outcome(ctx context.Context, res *Result) placement.Outcome {
	switch {
	case res.Answer != nil && res.Answer.Status < http.StatusInternalServerError:
		return placement.Answered
	case res.Answer != nil:
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
	case res.Refusal.Run == refusal.NotRun && !res.Arrived && res.Refusal.Kind == refusal.Overloaded:
		return placement.Refused
	case res.Refusal.Kind == refusal.UpstreamFailed && !res.Arrived:
		return placement.Unreachable
	}
	return placement.Failed
}

// conclude returns the final result. It says not-run only if no attempt may have run.
func (i *Ingress) conclude(req *request, last, res Result) Result {
	if last.Answer == nil && last.Refusal == nil {
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
		// Callers repeat what has not run; the status must promise it.
		changed.Status = http.StatusServiceUnavailable
		if changed.RetryAfter == 0 {
			changed.RetryAfter = defaultRetryAfter
		}
		last.Refusal = &changed
	}
	return last
}

// defaultRetryAfter is sent when nothing is known about the time at which there is room.
const defaultRetryAfter = 100 * time.Millisecond
