package demo

import (
	"context"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

// progress follows which version each daemon has applied.
type progress struct {
	mu          sync.Mutex
	versions    []model.Version
	publishedAt map[model.Version]time.Time
	regressions int
	changed     chan struct{} // closed and replaced when a daemon applies a version
}

func newProgress() *progress {
	return &progress{publishedAt: make(map[model.Version]time.Time), changed: make(chan struct{})}
}

// add counts one more daemon.
func (p *progress) add() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions = append(p.versions, 0)
}

// restart forgets what the daemon held, because a new process starts without a version.
func (p *progress) restart(daemon int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions[daemon] = 0
}

func (p *progress) published(v model.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishedAt[v] = time.Now()
}

// applied notes that a daemon applied a version; one that does not rise is a regression.
func (p *progress) applied(daemon int, v model.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v <= p.versions[daemon] {
		p.regressions++
	}
	p.versions[daemon] = v
	close(p.changed)
	p.changed = make(chan struct{})
}

// holders returns how many daemons have the version or a higher one.
func (p *progress) holders(v model.Version) (int, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, held := range p.versions {
		if held >= v {
			n++
		}
	}
	return n, p.changed
}

// wait returns the time from publication until all daemons hold the version, or false
// when ctx ends first.
func (p *progress) wait(ctx context.Context, v model.Version, daemons int) (time.Duration, bool) {
	for {
		n, changed := p.holders(v)
		if n == daemons {
			p.mu.Lock()
			defer p.mu.Unlock()
			return time.Since(p.publishedAt[v]), true
		}
		select {
		case <-ctx.Done():
			return 0, false
		case <-changed:
		}
	}
}

func (p *progress) regressionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.regressions
}
