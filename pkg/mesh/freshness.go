package mesh

import (
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
)

// burstDetector detects bursts of new tables. It is safe for concurrent use.
type burstDetector struct {
	mu sync.Mutex
	// tables holds the times of the last two new tables, the latest first, and version is the
	// version of the latest one.
	tables  [2]time.Time
	version uint64
}

// note records the table version in effect.
func (b *burstDetector) note(now time.Time, v *catalog.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.Table != nil && v.Table.Version != b.version {
		b.version, b.tables = v.Table.Version, [2]time.Time{now, b.tables[0]}
	}
}

// inBurst reports whether the last two tables arrived within burstWindow of the present.
func (b *burstDetector) inBurst(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.tables[1]) < burstWindow
}

// freshness records when the view was last known to be current, that is, when the store had nothing
// newer. A response of the store proves it, and so does a frame of a reader, which carries the age
// of the reader's own proof. It is safe for concurrent use.
type freshness struct {
	mu sync.Mutex
	// any is the time of the last proof of either kind, lastResponse the time of the last response
	// of the store to this daemon.
	any, lastResponse time.Time
	// failures counts the daemon's own calls to the store that have failed since the last proof,
	// and lastFailed is the time of the last failure.
	failures   int
	lastFailed time.Time
}

// responseReceived records a response of the store to this daemon.
func (f *freshness) responseReceived(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.any, f.lastResponse, f.failures = now, now, 0
}

// callFailed records a failed call of this daemon to the store.
func (f *freshness) callFailed(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	f.lastFailed = now
}

// storeAway reports whether the store has been unavailable up to now: calls of this daemon have failed,
// and no other daemon has read the store meanwhile.
func (f *freshness) storeAway(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures > 1 && now.Sub(f.any) >= minOutage
}

// peerProved records the proof of another daemon and its time.
func (f *freshness) peerProved(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.any) {
		f.any = at
	}
	if at.After(f.lastFailed) {
		f.failures = 0
	}
}

// ages returns the ages of the last proof and of the last response of the store to this daemon.
func (f *freshness) ages(now time.Time) (any, sinceResponse time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.any), now.Sub(f.lastResponse)
}
