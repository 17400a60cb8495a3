package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
)

// Fleet holds the daemon's view of the fleet and notifies subscribers of its changes. It is safe
// for concurrent use.
type Fleet struct {
	log      *zap.Logger
	onChange func(now time.Time, v *catalog.View)

	mu      sync.Mutex
	catalog *catalog.Catalog
	view    atomic.Pointer[catalog.View]
	// changed is closed and replaced when a new view is published.
	changed chan struct{}
	// behind is closed and replaced when the view is stale, or may be.
	behind chan struct{}
	// higherSince is the time at which a higher revision than the fleet's was first reported since
	// the last update or signal on behind; zero if none was.
	higherSince time.Time
	// peerRevision is the highest revision that a peer has reported. lagSince is the time since which it
	// has been higher than the fleet's revision; zero if it is not higher.
	peerRevision uint64
	lagSince     time.Time
	// laterEraSince is the time since which a peer has been known to be in a later era than the fleet; zero if
	// none is.
	laterEraSince time.Time
}

// NewFleet returns a fleet with an empty view. onChange is called with each new view before View
// returns that view; the calls do not overlap.
func NewFleet(log *zap.Logger, onChange func(now time.Time, v *catalog.View)) *Fleet {
	f := &Fleet{log: log, onChange: onChange, catalog: catalog.New(), changed: make(chan struct{}), behind: make(chan struct{})}
	f.view.Store(&catalog.View{})
	return f
}

// View returns the current view. Its table is nil until the first route table has arrived.
func (f *Fleet) View() *catalog.View { return f.view.Load() }

// Revision returns the highest store revision that the fleet includes. It may be higher than that
// of the view, since a revision that changes nothing publishes no view.
func (f *Fleet) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Revision()
}

// Follow returns the current view, the same revision as Revision, and a channel that is closed
// when the next view is published.
func (f *Fleet) Follow() (*catalog.View, uint64, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Load(), f.catalog.Revision(), f.changed
}

// AwaitTable waits until there is a route table and returns the current view. The table of the view
// is nil if the context ended first.
func (f *Fleet) AwaitTable(ctx context.Context) *catalog.View {
	for {
		view, _, changed := f.Follow()
		if view.Table != nil {
			return view
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return view
		}
	}
}

// Replace applies a full state, read from the store or from a peer. The source is used in the log.
func (f *Fleet) Replace(s catalog.State, source string) {
	f.update(s, source, (*catalog.Catalog).Replace)
}

// Apply applies an update, read from the store or from a peer. The source is used in the log.
func (f *Fleet) Apply(s catalog.State, source string) {
	f.update(s, source, (*catalog.Catalog).Apply)
}

func (f *Fleet) update(s catalog.State, source string, apply func(*catalog.Catalog, time.Time, catalog.State) bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logProblems(s)
	before := f.catalog.Revision()
	defer func() { f.logRestore(before, source) }()
	if apply(f.catalog, now, s) {
		f.publish(now, source)
	}
	if f.catalog.Revision() >= f.peerRevision {
		f.lagSince = time.Time{}
	}
	if catalog.Era(f.catalog.Revision()) >= catalog.Era(f.peerRevision) {
		f.laterEraSince = time.Time{}
	}
	if f.catalog.Revision() > s.Revision {
		return
	}
	f.higherSince = time.Time{}
}

// Lag returns the time for which a peer has been known to have a higher revision; 0 if no peer is
// known to have one.
func (f *Fleet) Lag(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lagSince.IsZero() {
		return 0
	}
	return now.Sub(f.lagSince)
}

// logProblems logs the invalid entries and the invalid route table of a state. The caller holds the
// mutex.
func (f *Fleet) logProblems(s catalog.State) {
	for _, e := range s.Entries {
		if e.Problem != "" {
			f.log.Warn("entry_rejected", zap.String("instance", string(e.ID)), positionField(e.Revision), zap.String("reason", e.Problem))
		}
	}
	if s.TableProblem != "" {
		f.log.Warn("version_rejected", positionField(s.Revision), zap.String("reason", s.TableProblem))
	}
}

// publish makes the catalog's view the current one. The caller holds the mutex.
func (f *Fleet) publish(now time.Time, source string) {
	old, v := f.view.Load(), f.catalog.View()
	// onChange comes first: a request that uses the new view needs a placer and a guard that
	// already know its instances.
	f.onChange(now, v)
	f.view.Store(v)
	close(f.changed)
	f.changed = make(chan struct{})
	fields := []zap.Field{positionField(v.Revision), zap.String("source", source), zap.Int("instances", len(v.Instances))}
	if len(v.Unnamed) > 0 {
		fields = append(fields, zap.Int("unnamed", len(v.Unnamed)))
	}
	if v.Table != nil && v.Table != old.Table {
		f.log.Info("version_applied", append(fields, zap.Uint64("version", v.Table.Version), zap.Int("routes", len(v.Table.Routes)))...)
	} else {
		f.log.Info("instances_changed", fields...)
	}
}

// StoreRecovered records that the store is available again after an outage and is at the given revision.
func (f *Fleet) StoreRecovered(now time.Time, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog.StoreRecovered(now, revision)
}

// Expire removes the instances whose entries expired during a store outage and that did not
// register again within the grace period.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalog.Expire(now) {
		f.publish(now, "expiry")
	}
}

// lagTolerance is the time for which a peer may have a higher revision before this daemon's watch
// of the store counts as stuck. It covers the interval between watch responses and the latency from
// the store.
const lagTolerance = 600 * time.Millisecond

// ObserveRevision records the revision that a peer has reached. If peers still report a higher
// revision than the fleet's after lagTolerance, the channel that Behind returns is closed.
func (f *Fleet) ObserveRevision(now time.Time, revision uint64) {
	if revision <= f.view.Load().Revision {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.catalog.Revision() {
		return
	}
	f.peerRevision = max(f.peerRevision, revision)
	f.noteLaterEra(now)
	if f.lagSince.IsZero() {
		f.lagSince = now
	}
	switch {
	case f.higherSince.IsZero():
		f.higherSince = now
	case now.Sub(f.higherSince) > lagTolerance:
		f.higherSince = time.Time{}
		f.signalBehind()
	}
}

// signalBehind closes and replaces the channel that Behind returns. The caller holds the mutex.
func (f *Fleet) signalBehind() {
	close(f.behind)
	f.behind = make(chan struct{})
}

// ProcessResumed records that the process was paused for a while, so that the view may be stale.
func (f *Fleet) ProcessResumed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.signalBehind()
}

// Behind returns a channel that is closed when the view is stale, or may be.
func (f *Fleet) Behind() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behind
}
