package demo

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/daemon"
	"mangoshed.example/mangoshed/pkg/peer"
)

const (
	// callerCount is the number of concurrent callers.
	callerCount = 24
	// startTimeout bounds the time until all daemons are ready.
	startTimeout = 20 * time.Second
	// convergenceTimeout is the users' bound for a change to be in effect everywhere.
	convergenceTimeout = 14 * time.Second
	// drainTimeout bounds the graceful stop at the end.
	drainTimeout = 10 * time.Second
	// settleTime lets the links and subscriptions that follow from the first complete
	// instance list be made before the idle cost is measured.
	settleTime = 3 * time.Second
	// idleWindow is the time over which the idle cost of the links is measured.
	idleWindow = 2 * time.Second
	// pollInterval is the time between two looks at the daemons' readiness.
	pollInterval = 20 * time.Millisecond
)

// Options configure a run.
type Options struct {
	// Deployment is the name of a deployment.
	Deployment string
	// Changes is the number of edits that are published.
	Changes int
	// Duration is the time over which the edits are spread.
	Duration time.Duration
	// Replace is the number of instances that are stopped gracefully and started again
	// after the edits.
	Replace int
	// Signed publishes versions with the operator's signature.
	Signed bool
	// Seed feeds the callers' choices.
	Seed uint64
	// Log receives the daemons' events; nil drops them.
	Log *zap.Logger
	// Progress receives one line of text per step; nil drops them.
	Progress func(format string, args ...any)
}

// NotReadyError reports daemons that did not become ready in time.
type NotReadyError struct {
	Ready, Daemons int
}

// Error names the remedy.
func (e *NotReadyError) Error() string {
	return "only " + plural(e.Ready, "daemon") + " of " + plural(e.Daemons, "daemon") +
		" became ready; run again with --log-level info and look for rejected versions and closed links"
}

// Run runs a deployment and returns what was counted. The report's Broken lists the
// invariants that did not hold.
func Run(ctx context.Context, o Options) (*Report, error) {
	d, err := FindDeployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	s, err := newSite(d, o.Signed, o.Log)
	if err != nil {
		return nil, err
	}
	r := &run{Options: o, site: s, report: &Report{Deployment: d.Name, Daemons: len(s.daemons), Signed: o.Signed}}
	if err := r.execute(ctx); err != nil {
		s.kill()
		return nil, err
	}
	return r.report, nil
}

// run is one run of the demo.
type run struct {
	Options
	site   *site
	report *Report
}

func (r *run) execute(ctx context.Context) error {
	started := time.Now()
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	r.report.ReadyMillis = millis(time.Since(started))
	r.Progress("%d daemons of %s are ready after %.0f ms", r.report.Daemons, r.report.Deployment, r.report.ReadyMillis)
	r.measureIdle(ctx)

	callers := newCallers(r.site.services(), r.site.targets(), r.site.ledger)
	callCtx, stopCallers := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		callers.run(callCtx, callerCount, r.Seed)
	}()
	err := r.publishChanges(ctx)
	if err == nil {
		err = r.replaceInstances(ctx, callers)
	}
	stopCallers()
	<-finished
	if err != nil {
		return err
	}
	r.report.addCalls(callers)
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	r.report.IncompleteDrains = r.site.stop(drainCtx)
	r.report.DoubledCalls = r.site.ledger.doubled()
	r.report.FalseNotRun = callers.falseNotRun()
	r.report.VersionRegressions = r.site.progress.regressionCount()
	r.report.check()
	return nil
}

// awaitReady waits until every daemon is ready.
func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		ready := 0
		for _, d := range r.site.daemons {
			if d.Ready() {
				ready++
			}
		}
		if ready == len(r.site.daemons) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotReadyError{Ready: ready, Daemons: len(r.site.daemons)}
		case <-ticker.C:
		}
	}
}

// measureIdle measures the control bytes without changes and calls.
func (r *run) measureIdle(ctx context.Context) {
	pause(ctx, settleTime)
	before := sumTraffic(r.site.daemons)
	pause(ctx, idleWindow)
	spent := sumTraffic(r.site.daemons).minus(before)
	r.report.IdleBytesPerSecond = float64(spent.total()) / idleWindow.Seconds() / float64(len(r.site.daemons))
	r.report.IdleCrossRegionBytesPerSecond = float64(spent.crossRegion) / idleWindow.Seconds()
}

// publishChanges publishes the edits and waits for each to be in effect everywhere.
func (r *run) publishChanges(ctx context.Context) error {
	interval := r.Duration / time.Duration(max(r.Changes, 1))
	before := sumTraffic(r.site.daemons)
	var convergence []time.Duration
	deltaBytes := 0
	for n := range r.Changes {
		next := time.Now().Add(interval)
		r.site.table = editTable(r.site.table, n)
		version, size, err := r.site.publish()
		if err != nil {
			return err
		}
		deltaBytes += size
		waitCtx, cancel := context.WithTimeout(ctx, convergenceTimeout)
		took, ok := r.site.progress.wait(waitCtx, version, len(r.site.daemons))
		cancel()
		if !ok {
			held, _ := r.site.progress.holders(version)
			r.Progress("version %d is in effect on %d of %d daemons only", version, held, len(r.site.daemons))
			break
		}
		convergence = append(convergence, took)
		r.Progress("version %d is in effect on all %d daemons after %.1f ms", version, len(r.site.daemons), millis(took))
		pause(ctx, time.Until(next))
	}
	r.report.addChanges(r.Changes, convergence, deltaBytes, sumTraffic(r.site.daemons).minus(before))
	r.report.Version = uint64(r.site.current.Version())
	return ctx.Err()
}

// pause waits for a duration or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// traffic sums the control bytes that daemons sent, so that each datagram counts once.
type traffic struct {
	withinRegion, crossRegion uint64
}

func (t traffic) total() uint64 { return t.withinRegion + t.crossRegion }

func (t traffic) minus(u traffic) traffic {
	return traffic{withinRegion: t.withinRegion - u.withinRegion, crossRegion: t.crossRegion - u.crossRegion}
}

func sumTraffic(daemons []*daemon.Daemon) traffic {
	var t traffic
	for _, d := range daemons {
		counts := d.Traffic()
		t.withinRegion += counts[model.SameDataCentre][peer.Sent].Bytes + counts[model.SameRegion][peer.Sent].Bytes
		t.crossRegion += counts[model.CrossRegion][peer.Sent].Bytes
	}
	return t
}

// percentile returns the value below which the share q of the durations lies.
func percentile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
