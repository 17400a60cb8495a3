// Package standin is a stand-in for the platform service, for tests and the demo. It
// keeps all state in memory, serves the protocol of docs/platform-protocol.md and has
// switches for the platform's known faults. Nothing can be written over HTTP.
package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/platform"
)

// historyLimit bounds the revisions that Rollback and list changes can refer to.
const historyLimit = 256

// Config configures a Platform.
type Config struct {
	// CallsPerSecond is the rate above which calls get 429; default 2,000.
	CallsPerSecond float64
	// Burst is the number of calls that may arrive at once; default 200.
	Burst int
	// Latency delays every answer; default 0.
	Latency time.Duration
	// PageInstances is the number of instances on one page of the list; default 4,000,
	// which stays below 1 MB.
	PageInstances int
}

// Counts are the calls since the start. A watch is counted once, when it arrives.
type Counts struct {
	Reads, Watches, Lists, ListWatches int
	// Refused counts calls above the rate, Failed those during an outage.
	Refused, Failed int
	// Waiting is the number of watches that wait now.
	Waiting int
	// AnswerBytes counts the bodies of all answers, before compression.
	AnswerBytes int64
}

// state is one revision of everything that the platform serves. Its maps and slices
// are never modified.
type state struct {
	revision     uint64
	values       map[string]platform.Value
	instances    []model.Instance
	listRevision uint64
}

// Platform implements http.Handler. Its methods are safe for concurrent use.
type Platform struct {
	cfg     Config
	limiter *rate.Limiter

	mu         sync.Mutex
	current    state
	history    []state // oldest first, ends with current
	stale      *state  // served in place of current while set
	outage     bool
	outOfOrder bool
	answers    int // answers while outOfOrder is set
	listLag    time.Duration
	changed    chan struct{} // closed and replaced at every change
	counts     Counts
}

// New returns an empty platform at revision 0.
func New(cfg Config) *Platform {
	if cfg.CallsPerSecond <= 0 {
		cfg.CallsPerSecond = 2000
	}
	if cfg.Burst <= 0 {
		cfg.Burst = 200
	}
	if cfg.PageInstances <= 0 {
		cfg.PageInstances = 4000
	}
	return &Platform{
		cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
		history: []state{{}}, changed: make(chan struct{}),
	}
}

// Put stores a value of at most 1 MB and returns its revision.
func (p *Platform) Put(key string, data []byte) (uint64, error) {
	if len(data) > platform.MaxValueBytes {
		return 0, fmt.Errorf("value of %q has %d bytes; the platform stores at most %d", key, len(data), platform.MaxValueBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.current
	next.revision++
	next.values = maps.Clone(next.values)
	if next.values == nil {
		next.values = make(map[string]platform.Value)
	}
	next.values[key] = platform.Value{Data: slices.Clone(data), Revision: next.revision}
	p.advance(next)
	return next.revision, nil
}

// SetInstances replaces the instance list. The change becomes visible after the list lag.
func (p *Platform) SetInstances(instances []model.Instance) {
	instances = slices.Clone(instances)
	slices.SortFunc(instances, func(a, b model.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listLag > 0 {
		time.AfterFunc(p.listLag, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.setInstances(instances)
		})
		return
	}
	p.setInstances(instances)
}

// setInstances makes a list visible. The caller holds the mutex.
func (p *Platform) setInstances(instances []model.Instance) {
	next := p.current
	next.revision++
	next.instances, next.listRevision = instances, next.revision
	p.advance(next)
}

// advance makes a state current and wakes the watches. The caller holds the mutex.
func (p *Platform) advance(next state) {
	p.current = next
	p.history = append(p.history, next)
	if len(p.history) > historyLimit {
		p.history = slices.Delete(p.history, 0, len(p.history)-historyLimit)
	}
	p.wake()
}

// wake lets all waiting watches look again. The caller holds the mutex.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Revision returns the revision of the last write.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.revision
}

// SetOutage starts or ends an outage: every call, waiting watches included, gets 503.
func (p *Platform) SetOutage(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = on
	p.wake()
}

// SetStale freezes what the platform serves at the current state, or ends that.
// Writes go on meanwhile.
func (p *Platform) SetStale(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = nil
	if on {
		frozen := p.current
		p.stale = &frozen
	}
	p.wake()
}

// SetOutOfOrder makes every second answer carry the state before the current one, as if
// two updates had crossed in transit.
func (p *Platform) SetOutOfOrder(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outOfOrder, p.answers = on, 0
	p.wake()
}

// SetListLag delays the visibility of later SetInstances calls.
func (p *Platform) SetListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLag = lag
}

// Rollback restores the state of an earlier revision, as a restore from a backup does.
// Later writes reuse the revisions above it.
func (p *Platform) Rollback(revision uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, s := range p.history {
		if s.revision == revision {
			p.history = p.history[:n+1]
			p.current = s
			p.wake()
			return nil
		}
	}
	return fmt.Errorf("revision %d is not in the history of the last %d", revision, historyLimit)
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// visible returns the state that the next answer is made from. The caller holds the mutex.
func (p *Platform) visible() state {
	if p.stale != nil {
		return *p.stale
	}
	return p.current
}

// crossed returns the state to serve in place of s when answers are out of order. The
// caller holds the mutex.
func (p *Platform) crossed(s state) state {
	if !p.outOfOrder {
		return s
	}
	p.answers++
	if p.answers%2 == 1 || len(p.history) < 2 {
		return s
	}
	return p.history[len(p.history)-2]
}
