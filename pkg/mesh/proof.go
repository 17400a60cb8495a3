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
}

// answered takes an answer to an own call.
func (p *proof) answered(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.any, p.own = now, now
}

// told takes the proof of a reader.
func (p *proof) told(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.any) {
		p.any = at
	}
}

// ages returns the ages of the last proof and of the last own answer.
func (p *proof) ages(now time.Time) (any, own time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.any), now.Sub(p.own)
}
