package mesh

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/drain"
)

const (
	// drainPoll is the period of looks at what still runs.
	drainPoll = 50 * time.Millisecond
	// lastAnswers is the time for the last answers to leave.
	lastAnswers = 200 * time.Millisecond
	// leastAnswers is the time that they have also when the grace period is over: the platform may
	// kill the process then, but until it does they can leave. Twice the period of the servers'
	// looks at their connections.
	leastAnswers = 10 * time.Millisecond
	// stoppingRetry is the time after which a stopping daemon should be asked again: callers that
	// can go elsewhere have done so by then, and a restart takes about a second.
	stoppingRetry = time.Second
)

// errEnded ends the contexts of requests that are not answered when the process ends.
var errEnded = errors.New("the process ends")

// ended reports whether a request's context ended because the process ends.
func ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errEnded) }

// Drain stops the daemon, once: it reports not ready, serves on until callers have had time to go
// elsewhere, finishes what it took and ends within the grace period. What still runs at the end is
// given up with an answer that says so.
func (d *Daemon) Drain() {
	plan := drain.New(time.Now(), d.settings.Bounds.Grace)
	d.stopping.Store(true)
	close(d.leaving)
	d.ingress.plan.Store(&plan)
	d.guard.EndAt(plan.AbortAt)
	d.tasks.Go(func() { d.sender.AnnounceEnd(d.requests, plan.AbortAt, d.log) })
	d.log.Info("daemon_stopping", zap.Int64("requests", d.ingress.active.Load()), zap.Int64("jobs", d.jobs.Load()))
	time.Sleep(time.Until(plan.RejectFrom))
	d.guard.Stop()
	// Again, for jobs that were under way when the stop began.
	d.tasks.Go(func() { d.sender.AnnounceEnd(d.requests, plan.AbortAt, d.log) })
	time.Sleep(time.Until(plan.EarliestExit))
	for time.Now().Before(plan.AbortAt) && d.busy() {
		time.Sleep(min(drainPoll, time.Until(plan.AbortAt)))
	}
	if d.busy() {
		d.log.Warn("requests_cut", zap.Int64("requests", d.ingress.active.Load()), zap.Int64("jobs", d.jobs.Load()))
	}
	d.giveUp(plan)
	d.stop()
	d.log.Info("daemon_stopped", zap.Duration("took", time.Since(plan.Began)))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// giveUp ends what still runs and closes the servers when its answers have left.
func (d *Daemon) giveUp(plan drain.Plan) {
	d.end(errEnded)
	now := time.Now()
	d.shutdown(now.Add(answersFor(plan, now)))
}

// answersFor returns how long the answers to what is given up at a time have to leave. It counts
// from that time and not from the plan's, which may have passed: the process can stand still.
func answersFor(plan drain.Plan, now time.Time) time.Duration {
	return max(leastAnswers, min(lastAnswers, plan.ExitBy(now).Sub(now)))
}

// busy reports whether a request of a caller or a job of another daemon is not answered yet: its
// answer counts until it is written.
func (d *Daemon) busy() bool { return d.jobs.Load() > 0 || d.ingress.active.Load() > 0 }

// shutdown closes the servers. Connections that are not idle at the end are cut.
func (d *Daemon) shutdown(end time.Time) {
	var closers sync.WaitGroup
	for _, s := range d.servers {
		closers.Go(func() {
			if cut := s.close(end); cut > 0 {
				d.log.Warn("connections_cut", zap.String("server", s.name), zap.Int("connections", cut))
			}
		})
	}
	closers.Wait()
}
