package once

import (
	"slices"
	"time"
)

// Decision is the outcome of Core.Begin for a request with an idempotency key.
type Decision uint8

// Decisions. Run permits exactly one run of the request; every other decision forbids it.
const (
	// Run means that the key is now recorded as running. The caller must call Finish or Clear once.
	Run Decision = iota
	// Duplicate means that the key is known; the record holds the state of the first run.
	Duplicate
	// Unknown means that an earlier owner may have run the request, with unknown outcome.
	Unknown
	// NotOwner means that another instance owns the key, or that this one is not confirmed as an
	// owner yet. The request did not run here.
	NotOwner
	// Full means that the registry is full. The request did not run.
	Full
	// Paused means that the process resumed after a pause and has not validated its view since.
	// The request did not run.
	Paused
	// Future means that the creation time is more than MaxClockSkew ahead of the local clock. The
	// request did not run.
	Future
	// LeavingOwner means that the owner is leaving and accepts no new keys. The request did not run.
	LeavingOwner
)

// String returns the metric label of the decision.
func (d Decision) String() string {
	return [...]string{"run", "duplicate", "unknown", "not_owner", "full", "paused", "future", "leaving"}[min(d, LeavingOwner)]
}

// Begin decides whether the request with the key may run and, if so, records the key as running.
func (c *Core) Begin(now time.Time, key Key) (Decision, Record) {
	if rec, ok := c.registry.Lookup(key.ID); ok {
		return Duplicate, rec
	}
	millis := now.UnixMilli()
	switch {
	case key.Created < millis-lifetimeMillis:
		return Unknown, Record{}
	case key.Created > millis+maxSkewMillis:
		return Future, Record{}
	case c.Paused(now):
		return Paused, Record{}
	case !c.confirmed:
		return NotOwner, Record{}
	}
	if decision := c.checkOwner(key); decision != Run {
		return decision, Record{}
	}
	if c.leaving {
		return LeavingOwner, Record{}
	}
	if !c.registry.add(key) {
		return Full, Record{}
	}
	c.maxCreated = max(c.maxCreated, key.Created)
	return Run, Record{}
}

// checkOwner returns Run if this confirmed instance is the owner of the key, and otherwise the reason
// why it may not run the request.
func (c *Core) checkOwner(key Key) Decision {
	peerOwnsKey := false
	for _, p := range c.peers {
		if !p.owns(key.Created) {
			continue
		}
		peerOwnsKey = true
		if precedes(key.hash, p.hash, c.selfHash) {
			return NotOwner
		}
	}
	beforeSince := key.Created < c.since
	for _, g := range c.departed {
		if g.span.contains(key.Created) && (beforeSince || precedes(key.hash, g.hash, c.selfHash)) && !c.receivedRecords(key, g.span) {
			return Unknown
		}
	}
	switch {
	case slices.ContainsFunc(c.earlierSpans, func(s Span) bool { return s.contains(key.Created) }):
		return Unknown
	case beforeSince && peerOwnsKey:
		return NotOwner
	case beforeSince:
		return Unknown
	}
	return Run
}

// receivedRecords reports whether this instance received the record of the key when the interval was
// released. If so, a missing record means that the former owner did not run the request.
func (c *Core) receivedRecords(key Key, span Span) bool {
	for _, heir := range span.Heirs {
		if heir != c.selfHash && precedes(key.hash, heir, c.selfHash) {
			return false
		}
	}
	return slices.Contains(span.Heirs, c.selfHash)
}

// Finish records the end of a run. The response is kept if it fits the bounds of the registry.
func (c *Core) Finish(id Digest, state State, answer []byte) {
	c.registry.finish(id, state, answer)
}

// Clear removes a key whose request definitely did not run.
func (c *Core) Clear(id Digest) { c.registry.clear(id) }
