package mesh

import (
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
)

// pulse detects bursts of new tables. It is safe for concurrent use.
type pulse struct {
	mu sync.Mutex
	// tables holds the times of the last two new tables, the latest first, and version is the
	// version of the latest one.
	tables  [2]time.Time
	version uint64
}

// note records the table version in effect.
func (p *pulse) note(now time.Time, v *catalog.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Table != nil && v.Table.Version != p.version {
		p.version, p.tables = v.Table.Version, [2]time.Time{now, p.tables[0]}
	}
}

// storm reports whether the last two tables arrived within stormTime of the present.
func (p *pulse) storm(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.tables[1]) < stormTime
}

// proof records when the view was last known to be current, that is, when the store had nothing
// newer. A response of the store proves it, and so does a frame of a reader, which carries the age
// of the reader's own proof. It is safe for concurrent use.
type proof struct {
	mu sync.Mutex
	// any is the time of the last proof of either kind, own the time of the last response of the
	// store to this daemon.
	any, own time.Time
	// failures counts the daemon's own calls to the store that have failed since the last proof,
	// and lastFailed is the time of the last failure.
	failures   int
	lastFailed time.Time
}

// answered records a response of the store to this daemon.
func (p *proof) answered(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.any, p.own, p.failures = now, now, 0
}

// failed records a failed call of this daemon to the store.
func (p *proof) failed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
	p.lastFailed = now
}

// away reports whether the store has been unavailable up to now: calls of this daemon have failed,
// and no other daemon has read the store meanwhile.
func (p *proof) away(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures > 1 && now.Sub(p.any) >= outageTime
}

// told records the proof of another daemon and its time.
func (p *proof) told(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.any) {
		p.any = at
	}
	if at.After(p.lastFailed) {
		p.failures = 0
	}
}

// ages returns the ages of the last proof and of the last response of the store to this daemon.
func (p *proof) ages(now time.Time) (any, own time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.any), now.Sub(p.own)
}
