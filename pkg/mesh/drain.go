package mesh

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// noticeTime is the time from SIGTERM in which callers learn to go elsewhere. Platforms
	// probe once a second and act on two misses.
	noticeTime = 2500 * time.Millisecond
	// quietTime is the time without a new request after which all callers count as gone.
	quietTime = 500 * time.Millisecond
	// finishTime is the time before the end of the process at which new requests are refused,
	// so that what runs can finish. Callers that are sent here all the same, because too few
	// daemons of their data centre are ready, are served until then.
	finishTime = 1800 * time.Millisecond
	// drainPoll is the period of looks at what still runs.
	drainPoll = 50 * time.Millisecond
	// stopSlack is the time before the end of the grace period at which the process ends.
	stopSlack = 700 * time.Millisecond
)

// Drain stops the daemon, once: it reports not ready, serves on until its callers have gone or the
// grace period nears its end, finishes what runs and ends within the grace period.
func (d *Daemon) Drain() {
	began := time.Now()
	d.stopping.Store(true)
	close(d.leaving)
	d.ingress.stopped.Store(&began)
	d.log.Info("daemon_stopping", zap.Int64("requests", d.ingress.active.Load()), zap.Int("jobs", d.guard.Active()))
	end := began.Add(d.settings.Bounds.Grace - stopSlack)
	d.awaitCallers(began, end.Add(-finishTime))
	d.guard.Stop()
	d.ingress.closing.Store(true)
	for time.Now().Before(end) && (d.guard.Active() > 0 || d.ingress.active.Load() > 0) {
		time.Sleep(drainPoll)
	}
	d.shutdown(end)
	d.stop()
	d.log.Info("daemon_stopped", zap.Duration("took", time.Since(began)))
}

// awaitCallers waits until no caller sends requests any more, at most until the last time.
func (d *Daemon) awaitCallers(began, last time.Time) {
	for time.Now().Before(last) {
		time.Sleep(drainPoll)
		now := time.Now()
		if now.Sub(began) >= noticeTime && now.Sub(d.ingress.lastRequest()) >= quietTime {
			return
		}
	}
}

// shutdown closes the servers; what still runs at the end is cut.
func (d *Daemon) shutdown(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var closers sync.WaitGroup
	for _, s := range d.servers {
		closers.Go(func() {
			if err := s.http.Shutdown(ctx); err != nil {
				d.ingress.cutting.Store(true)
				d.log.Warn("requests_cut", zap.String("server", s.name), zap.Int64("requests", d.ingress.active.Load()),
					zap.Int("jobs", d.guard.Active()), zap.Error(err))
				_ = s.http.Close()
			}
		})
	}
	closers.Wait()
}
