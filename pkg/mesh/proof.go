package mesh

import (
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
)

// pulse notices storms of new tables. It is safe for concurrent use.
type pulse struct {
	mu sync.Mutex
	// tables holds the times of the last two new tables, the latest first, and version that of the latest.
	tables  [2]time.Time
	version uint64
}

// note takes the version in effect.
func (p *pulse) note(now time.Time, v *catalog.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Table != nil && v.Table.Version != p.version {
		p.version, p.tables = v.Table.Version, [2]time.Time{now, p.tables[0]}
	}
}

// storm reports whether two tables have come in a short time.
func (p *pulse) storm(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.tables[1]) < stormTime
}

// proof is the time at which the store was known to have nothing newer than the view: by an own
// answer, or by the frame of a reader, which tells how old its own proof is. It is safe for
// concurrent use.
type proof struct {
	mu sync.Mutex
	// any is the time of the last proof, own that of the last answer to an own call.
	any, own time.Time
	// failures counts the own calls that have failed since the last proof, lastFailed is the time
	// of the last one.
	failures   int
	lastFailed time.Time
}

// answered takes an answer to an own call.
func (p *proof) answered(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.any, p.own, p.failures = now, now, 0
}

// failed takes an own call that has failed.
func (p *proof) failed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
	p.lastFailed = now
}

// away reports whether the store has been away up to now: own calls have failed, and no other
// daemon has read it meanwhile.
func (p *proof) away(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures > 1 && now.Sub(p.any) >= outageTime
}

// told takes the proof of a reader.
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

// ages returns the ages of the last proof and of the last own answer.
func (p *proof) ages(now time.Time) (any, own time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.any), now.Sub(p.own)
}
