package dissemination

import (
	"errors"
	"time"

	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/snapshot"
)

const (
	// fallbackReads is the number of store reads per second that all daemons together
	// may make without being readers: with as many by the relays and spare relays, a
	// tenth of the store's capacity.
	fallbackReads = 100
	// fewRelays is the number of relays and spare relays that share the other half of
	// the budget; 39 data centres have 78. With the budget of all daemons a region
	// would wait for minutes after the loss of the store's region.
	fewRelays = 100
	// readsPerFallback is the mean number of reads of one attempt: the manifest each
	// time and the list every second time. The segments of a newer version come on top:
	// without them 19,000 daemons made 225 reads/s while versions were published.
	readsPerFallback = 1.5
	minFallback      = time.Second
	// detachedAfter is the time without an eager parent after which a daemon reads the
	// store.
	detachedAfter = 3 * time.Second
	// detachedParents is the number of parents given up for a stopped heartbeat after
	// which a daemon reads the store.
	detachedParents = 2
	fetchTimeout    = 10 * time.Second
	maxFetchBackoff = 10 * time.Second
)

// storeState is the use of the platform's store.
type storeState struct {
	fetching   *snapshot.Manifest
	fetchedAt  time.Time // start of the fetch
	waiting    *snapshot.Manifest
	failures   int
	retryAt    time.Time
	retry      *snapshot.Manifest
	detachedAt time.Time // start of the time without an eager parent
	fallbackAt time.Time
	attempts   int
}

// onStoreManifest looks at the store's manifest and fetches a newer version. The latest
// manifest counts, not the one with the highest version: a wrong version number must
// not keep later manifests waiting.
func (c *Core) onStoreManifest(ev StoreManifest) {
	if ev.Err != nil {
		return
	}
	m, err := snapshot.DecodeManifest(ev.Data)
	if err != nil {
		c.record(Record{Kind: RecordRejected, Source: SourceStore, Reason: err.Error()})
		return
	}
	held, named := c.heldMark(), mark{Version: m.Version, Prefix: m.TableDigest.Prefix()}
	switch {
	case named.Version < held.Version:
		c.recheck.version = true
		c.record(Record{Kind: RecordStale, Version: m.Version, Digest: m.TableDigest, Source: SourceStore, Reason: "the store is behind; check it for a restored backup or a lagging replica"})
	case named.Version == held.Version:
		c.recheck.version = true
		c.compareDigest(m.Version, m.TableDigest, SourceStore)
	case c.rejected.has(named):
		c.recheck.version = true
	default:
		c.record(Record{Kind: RecordSeen, Version: m.Version, Digest: m.TableDigest, Source: SourceStore})
		c.fetch(m)
	}
}

// fetch starts a fetch; during another one the latest manifest waits.
func (c *Core) fetch(m snapshot.Manifest) {
	c.store.retry = nil
	if c.store.fetching != nil {
		c.store.waiting = &m
		return
	}
	c.store.fetching, c.store.fetchedAt = &m, c.now
	have := c.history.segmentsOf(m)
	c.emit(FetchSegments{Manifest: m, Have: have})
	if !c.store.fallbackAt.IsZero() {
		c.store.fallbackAt = c.store.fallbackAt.Add(c.fallbackPeriod(float64(len(m.Segments) - len(have))))
	}
}

func (c *Core) onStoreSegments(ev StoreSegments) {
	if c.store.fetching == nil || c.store.fetching.Version != ev.Manifest.Version || c.store.fetching.TableDigest != ev.Manifest.TableDigest {
		return
	}
	m := *c.store.fetching
	c.store.fetching = nil
	switch {
	case ev.Err != nil:
		c.retryFetch(m)
	case !intact(m, ev.Segments):
		c.record(Record{Kind: RecordRejected, Version: m.Version, Digest: m.TableDigest, Source: SourceStore, Reason: "a segment does not match its digest; publish the segments again"})
		c.retryFetch(m)
	default:
		c.store.failures = 0
		c.open(m, ev.Segments, nil)
	}
	c.fetchWaiting()
}

func (c *Core) fetchWaiting() {
	if next := c.store.waiting; next != nil && c.store.fetching == nil {
		c.store.waiting = nil
		if next.Version > c.heldMark().Version {
			c.fetch(*next)
		}
	}
}

// retryFetch schedules another fetch with backoff and jitter.
func (c *Core) retryFetch(m snapshot.Manifest) {
	backoff := min(minBackoff<<min(c.store.failures, 10), maxFetchBackoff)
	c.store.failures++
	c.store.retryAt = c.now.Add(backoff/2 + c.jitter(backoff/2))
	c.store.retry = &m
}

// onStoreList takes over the platform's list.
func (c *Core) onStoreList(ev StoreList) {
	if ev.Err != nil {
		return
	}
	delta, err := c.members.table.SetList(ev.Revision, ev.Instances)
	var stale *membership.StaleListError
	switch {
	case errors.As(err, &stale):
		c.recheck.members = true
		c.record(Record{Kind: RecordStaleList, Source: SourceStore, Reason: err.Error()})
	case err != nil:
		c.record(Record{Kind: RecordRejected, Source: SourceStore, Reason: err.Error()})
	default:
		c.recheck.members = true
		c.listChanged(delta)
	}
}

// advanceStore retries fetches and reads the store when the daemon is detached.
func (c *Core) advanceStore() {
	if c.store.fetching != nil && c.due(c.store.fetchedAt.Add(fetchTimeout)) {
		m := *c.store.fetching
		c.store.fetching = nil
		c.retryFetch(m)
		c.fetchWaiting()
	}
	if retry := c.store.retry; retry != nil && c.due(c.store.retryAt) {
		c.store.retry = nil
		if retry.Version > c.heldMark().Version {
			c.fetch(*retry)
		}
	}
	c.advanceFallback()
}

// advanceFallback reads the store within the budget while no parent leads to a reader.
func (c *Core) advanceFallback() {
	if !c.needsStore() {
		c.store.fallbackAt = time.Time{}
		return
	}
	if c.store.fallbackAt.IsZero() {
		c.store.fallbackAt = c.now.Add(c.fallbackDelay(0))
	}
	if !c.due(c.store.fallbackAt) {
		return
	}
	c.emit(ReadManifest{})
	if c.store.attempts%2 == 0 || c.members.table.Revision() == 0 {
		c.emit(ReadList{})
	}
	c.store.attempts++
	c.store.fallbackAt = c.now.Add(c.fallbackDelay(minFallback))
	c.due(c.store.fallbackAt)
}

// needsStore reports whether the daemon has to read the store itself.
func (c *Core) needsStore() bool {
	if c.watching {
		return false
	}
	if c.boot.active {
		return c.boot.stage == stageStore
	}
	if c.eager != nil {
		c.store.detachedAt = time.Time{}
		return c.detachments >= detachedParents
	}
	if c.store.detachedAt.IsZero() {
		c.store.detachedAt = c.now
	}
	return c.due(c.store.detachedAt.Add(detachedAfter))
}

// fallbackDelay spreads the attempts of all daemons so that they stay within the budget
// together.
func (c *Core) fallbackDelay(least time.Duration) time.Duration {
	mean := c.fallbackPeriod(readsPerFallback)
	return max(least, mean/2) + c.jitter(mean)
}

// fallbackPeriod returns the time in which the budget allows every daemon the number of
// reads. The seeds start without delay: others ask them.
func (c *Core) fallbackPeriod(reads float64) time.Duration {
	n := c.fleetSize()
	switch {
	case c.members.table.Revision() == 0 && c.isSeed():
		n = len(c.cfg.Seeds)
	case c.plan.Self.ID != "" && c.plan.Level == 0:
		n = min(n, fewRelays)
	}
	return time.Duration(float64(n) * reads / fallbackReads * float64(time.Second))
}

func (c *Core) isSeed() bool {
	for _, seed := range c.cfg.Seeds {
		if seed.ID == c.self.ID {
			return true
		}
	}
	return false
}
