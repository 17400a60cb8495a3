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
	// stoppingRetry is the time after which a stopping daemon should be asked again: callers that
	// can go elsewhere have done so by then, and a restart takes about a second.
	stoppingRetry = time.Second
)

// errEnded is the cause of the end of requests that the process does not live to answer.
var errEnded = errors.New("the process ends")

// ended reports whether the process ends before the answer to a request.
func ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errEnded) }

// Drain stops the daemon, once: it reports not ready, serves on until callers have had time to go
// elsewhere, finishes what it took and ends within the grace period. What still runs at the end is
// given up with an answer that says so.
func (d *Daemon) Drain() {
	plan := drain.New(time.Now(), d.settings.Bounds.Grace)
	d.stopping.Store(true)
	close(d.leaving)
	d.ingress.plan.Store(&plan)
	d.guard.EndAt(plan.Ends)
	d.log.Info("daemon_stopping", zap.Int64("requests", d.ingress.active.Load()), zap.Int("jobs", d.guard.Active()))
	time.Sleep(time.Until(plan.Closes))
	d.guard.Stop()
	for time.Now().Before(plan.Ends) && d.busy() {
		time.Sleep(drainPoll)
	}
	if d.busy() {
		d.log.Warn("requests_cut", zap.Int64("requests", d.ingress.active.Load()), zap.Int("jobs", d.guard.Active()))
	}
	d.end(errEnded)
	d.shutdown(plan.Exits)
	d.stop()
	d.log.Info("daemon_stopped", zap.Duration("took", time.Since(plan.Began)))
}

// busy reports whether a request of a caller or a job of another daemon is not answered yet.
func (d *Daemon) busy() bool { return d.guard.Active() > 0 || d.ingress.active.Load() > 0 }

// shutdown closes the servers. Connections that still carry a request at the end are cut.
func (d *Daemon) shutdown(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var closers sync.WaitGroup
	for _, s := range d.servers {
		closers.Go(func() {
			if err := s.http.Shutdown(ctx); err != nil {
				d.log.Warn("connections_cut", zap.String("server", s.name), zap.Error(err))
				_ = s.http.Close()
			}
		})
	}
	closers.Wait()
}
