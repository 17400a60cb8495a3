package mesh

import (
	"context"
	"time"

	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/refusal"
)

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
