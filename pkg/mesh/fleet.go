package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
)

// Fleet holds the daemon's view of the fleet and tells others about its changes. It is safe
// for concurrent use.
type Fleet struct {
	log      *zap.Logger
	onChange func(now time.Time, v *catalog.View)

	mu      sync.Mutex
	catalog *catalog.Catalog
	view    atomic.Pointer[catalog.View]
	// changed is closed and replaced at each new view.
	changed chan struct{}
	// behind is closed and replaced when another daemon turns out to know more.
	behind chan struct{}
	// heardHigher is the time since which a higher revision is known to exist; zero if none is.
	heardHigher time.Time
	// heard is the highest revision that another daemon is known to have reached, and lagSince
	// the time since which it is higher than the own one; zero if it is not.
	heard    uint64
	lagSince time.Time
}

// NewFleet returns a fleet without a view. onChange is called with each new view, one at a time and
// before View returns it.
func NewFleet(log *zap.Logger, onChange func(now time.Time, v *catalog.View)) *Fleet {
	f := &Fleet{log: log, onChange: onChange, catalog: catalog.New(), changed: make(chan struct{}), behind: make(chan struct{})}
	f.view.Store(&catalog.View{})
	return f
}

// View returns the present view; its table is nil before the first one.
func (f *Fleet) View() *catalog.View { return f.view.Load() }

// Revision returns the revision up to which the store is known.
func (f *Fleet) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Revision()
}

// Follow returns the present view, the revision up to which the store is known, and a channel
// that is closed at the next view.
func (f *Fleet) Follow() (*catalog.View, uint64, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Load(), f.catalog.Revision(), f.changed
}

// AwaitTable returns the present view, after waiting for the first table if there is none. Its
// table is nil if the context has ended before.
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

// Replace takes the whole state of the store or of another daemon.
func (f *Fleet) Replace(s catalog.State, source string) {
	f.take(s, source, (*catalog.Catalog).Replace)
}

// Apply takes a change.
func (f *Fleet) Apply(s catalog.State, source string) {
	f.take(s, source, (*catalog.Catalog).Apply)
}

func (f *Fleet) take(s catalog.State, source string, take func(*catalog.Catalog, time.Time, catalog.State) bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report(s)
	if take(f.catalog, now, s) {
		f.publish(now, source)
	}
	if f.catalog.Revision() >= f.heard {
		f.lagSince = time.Time{}
	}
	if f.catalog.Revision() > s.Revision {
		return
	}
	f.heardHigher = time.Time{}
}

// Lag returns the time for which other daemons have known more, 0 if none is known to.
func (f *Fleet) Lag(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lagSince.IsZero() {
		return 0
	}
	return now.Sub(f.lagSince)
}

// report logs what cannot be used. The caller holds the mutex.
func (f *Fleet) report(s catalog.State) {
	for _, e := range s.Entries {
		if e.Problem != "" {
			f.log.Warn("entry_rejected", zap.String("instance", string(e.ID)), zap.Uint64("revision", e.Revision), zap.String("reason", e.Problem))
		}
	}
	if s.TableProblem != "" {
		f.log.Warn("version_rejected", zap.Uint64("revision", s.Revision), zap.String("reason", s.TableProblem))
	}
}

// publish makes the catalog's view the present one. The caller holds the mutex.
func (f *Fleet) publish(now time.Time, source string) {
	old, v := f.view.Load(), f.catalog.View()
	// A request that finds the view must find its instances known to the placer and the guard.
	f.onChange(now, v)
	f.view.Store(v)
	close(f.changed)
	f.changed = make(chan struct{})
	fields := []zap.Field{zap.Uint64("revision", v.Revision), zap.String("source", source), zap.Int("instances", len(v.Instances))}
	if v.Table != nil && v.Table != old.Table {
		f.log.Info("version_applied", append(fields, zap.Uint64("version", v.Table.Version), zap.Int("routes", len(v.Table.Routes)))...)
	} else {
		f.log.Info("instances_changed", fields...)
	}
}

// Returned says that the store can be read again after an outage, and has reached a revision.
func (f *Fleet) Returned(now time.Time, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog.StoreRecovered(now, revision)
}

// Expire drops the instances that were not listed again in time.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalog.Expire(now) {
		f.publish(now, "expiry")
	}
}

// behindTime is the time for which a higher revision may be known elsewhere before the watch
// counts as stuck: the pace of watches and the way from the store together.
const behindTime = 600 * time.Millisecond

// Heard takes the revision that another daemon has reached. When the own watch does not reach
// it in time, Behind is closed.
func (f *Fleet) Heard(now time.Time, revision uint64) {
	if revision <= f.view.Load().Revision {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.catalog.Revision() {
		return
	}
	f.heard = max(f.heard, revision)
	if f.lagSince.IsZero() {
		f.lagSince = now
	}
	switch {
	case f.heardHigher.IsZero():
		f.heardHigher = now
	case now.Sub(f.heardHigher) > behindTime:
		f.heardHigher = time.Time{}
		f.signalBehind()
	}
}

// signalBehind closes Behind. The caller holds the mutex.
func (f *Fleet) signalBehind() {
	close(f.behind)
	f.behind = make(chan struct{})
}

// Woke says that the process did not run for a while, so that the view may be old.
func (f *Fleet) Woke() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.signalBehind()
}

// Behind is closed when the view is known or suspected to be old.
func (f *Fleet) Behind() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behind
}
