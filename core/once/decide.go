package once

import (
	"slices"
	"time"
)

// Decision is the verdict about a keyed request.
type Decision uint8

// Decisions. Only Run allows a run, exactly one.
const (
	// Run: the key is recorded as running; call Finish or Clear exactly once.
	Run Decision = iota
	// Duplicate: the key is known; the record says how the first run went.
	Duplicate
	// Unknown: an earlier owner may have run the key.
	Unknown
	// NotOwner: another instance decides, or this one is not confirmed yet. Not run here.
	NotOwner
	// Full: the registry is full. Not run.
	Full
	// Paused: the process has woken up and its view is unchecked. Not run.
	Paused
	// Future: the creation time is later than the clock and the skew allow. Not run.
	Future
	// LeavingOwner: the owner takes no new keys. Not run.
	LeavingOwner
)

// String returns the label that metrics use for the decision.
func (d Decision) String() string {
	return [...]string{"run", "duplicate", "unknown", "not_owner", "full", "paused", "future", "leaving"}[min(d, LeavingOwner)]
}

// Begin decides about a keyed request and, for Run, records the key as running.
func (c *Core) Begin(now time.Time, key Key) (Decision, Record) {
	if rec, ok := c.registry.Lookup(key.ID); ok {
		return Duplicate, rec
	}
	millis := now.UnixMilli()
	switch {
	case key.Created < millis-windowMillis:
		return Unknown, Record{}
	case key.Created > millis+skewMillis:
		return Future, Record{}
	case c.Paused(now):
		return Paused, Record{}
	case !c.confirmed:
		return NotOwner, Record{}
	}
	if decision := c.owner(key); decision != Run {
		return decision, Record{}
	}
	if c.leaving {
		return LeavingOwner, Record{}
	}
	if !c.registry.begin(key) {
		return Full, Record{}
	}
	c.highest = max(c.highest, key.Created)
	return Run, Record{}
}

// owner decides whether this confirmed instance is the owner of the key.
func (c *Core) owner(key Key) Decision {
	other := false
	for _, p := range c.peers {
		if !p.owns(key.Created) {
			continue
		}
		other = true
		if precedes(key.hash, p.hash, c.self) {
			return NotOwner
		}
	}
	late := key.Created < c.since
	for _, g := range c.gone {
		if g.span.contains(key.Created) && (late || precedes(key.hash, g.hash, c.self)) && !c.inherits(key, g.span) {
			return Unknown
		}
	}
	switch {
	case slices.ContainsFunc(c.past, func(s Span) bool { return s.contains(key.Created) }):
		return Unknown
	case late && other:
		return NotOwner
	case late:
		return Unknown
	}
	return Run
}

// inherits reports whether the records of a released interval were handed to this instance for
// the key, so that a missing record means that the key was not run there.
func (c *Core) inherits(key Key, span Span) bool {
	for _, heir := range span.Heirs {
		if heir != c.self && precedes(key.hash, heir, c.self) {
			return false
		}
	}
	return slices.Contains(span.Heirs, c.self)
}

// Finish records the end of a run. The answer is kept when it fits the registry's bounds.
func (c *Core) Finish(id Digest, state State, answer []byte) {
	c.registry.finish(id, state, answer)
}

// Clear forgets a key whose request truly did not run.
func (c *Core) Clear(id Digest) { c.registry.clear(id) }
