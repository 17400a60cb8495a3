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
	// drainPollInterval is the interval at which a draining daemon checks for requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// maxResponseTime is the time for the last responses to be written before the servers close.
	maxResponseTime = 200 * time.Millisecond
	// minResponseTime is the minimum of that time, which applies also after the end of the grace
	// period: the platform may kill the process then, but until it does, responses can be
	// written. It is twice the interval at which the servers check their connections.
	minResponseTime = 10 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of refusals by a stopping daemon: callers that can switch
	// to another daemon have done so by then, and a restart takes about a second.
	stoppingRetryAfter = time.Second
)

// errProcessEnds is the cancellation cause of requests that are in flight when the process ends.
var errProcessEnds = errors.New("the process ends")

// processEnds reports whether a request's context was cancelled because the process ends.
func processEnds(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errProcessEnds) }

// Drain shuts the daemon down gracefully; it must be called only once. The daemon reports that it
// is not ready, accepts requests until callers have had time to switch to another daemon, completes
// the accepted requests and stops within the grace period. Requests that are still in flight at the
// end are aborted and answered with a refusal that says so.
func (d *Daemon) Drain() {
	plan := drain.New(time.Now(), d.settings.Bounds.Grace)
	d.stopping.Store(true)
	close(d.draining)
	d.ingress.plan.Store(&plan)
	d.guard.EndAt(plan.AbortAt)
	d.tasks.Go(func() { d.sender.AnnounceEnd(d.requestsCtx, plan.AbortAt, d.log) })
	d.log.Info("daemon_stopping", zap.Int64("requests", d.ingress.active.Load()), zap.Int64("jobs", d.jobs.Load()))
	time.Sleep(time.Until(plan.RejectFrom))
	d.guard.Stop()
	// Announced again for jobs that were being sent at the start of the drain.
	d.tasks.Go(func() { d.sender.AnnounceEnd(d.requestsCtx, plan.AbortAt, d.log) })
	time.Sleep(time.Until(plan.EarliestExit))
	for time.Now().Before(plan.AbortAt) && d.busy() {
		time.Sleep(min(drainPollInterval, time.Until(plan.AbortAt)))
	}
	if d.busy() {
		d.log.Warn("requests_cut", zap.Int64("requests", d.ingress.active.Load()), zap.Int64("jobs", d.jobs.Load()))
	}
	d.abort(plan)
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

// abort aborts the requests in flight and closes the servers once their responses are written.
func (d *Daemon) abort(plan drain.Plan) {
	d.cancelRequests(errProcessEnds)
	now := time.Now()
	end := now.Add(responseTime(plan, now))
	d.shutdown(end, later(end, plan.ExitBy(plan.AbortAt)))
}

// responseTime returns the time for writing the responses to the requests that are aborted at now.
// It counts from now instead of the plan's time for the abort, which may lie well in the past if
// the process was paused.
func responseTime(plan drain.Plan, now time.Time) time.Duration {
	return max(minResponseTime, min(maxResponseTime, plan.ExitBy(now).Sub(now)))
}

// busy reports whether a request of a caller or a job of another daemon is in flight. Either is in
// flight until its response is written.
func (d *Daemon) busy() bool { return d.jobs.Load() > 0 || d.ingress.active.Load() > 0 }

// shutdown closes the servers. It waits until end for connections in use and then closes these too. Peers that
// have not received the last responses may take them until lingerEnd.
func (d *Daemon) shutdown(end, lingerEnd time.Time) {
	var closers sync.WaitGroup
	for _, s := range d.servers {
		closers.Go(func() {
			if cut, untaken := s.close(end, lingerEnd); cut+untaken > 0 {
				d.log.Warn("connections_cut", zap.String("server", s.name), zap.Int("connections", cut), zap.Int("lingering", untaken))
			}
		})
	}
	closers.Wait()
}
