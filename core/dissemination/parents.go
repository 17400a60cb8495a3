package dissemination

import (
	"slices"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

// reconcile dials the ranked parents and keeps the subscriptions at the first two that
// are reachable: eager at the first, lazy at the second, or standby when both are across
// the paid link. A new parent is subscribed before the old one is left.
func (c *Core) reconcile() {
	c.watchParents()
	c.dialEntries()
	c.dialParents()
	first, second := c.assign()
	c.eager = first
	for _, l := range c.links {
		switch {
		case l == first:
			c.subscribe(l, modeEager)
		case l == second && c.crossRegion(l):
			c.subscribe(l, modeStandby)
		case l == second:
			c.subscribe(l, modeLazy)
		case l.want != modeOff:
			c.subscribe(l, modeOff)
		}
	}
	c.closeIdle()
	c.prunePeers()
}

// dialParents dials the first two usable candidates. A candidate across the paid link
// is not dialled while a nearer one is usable.
func (c *Core) dialParents() {
	usable, near := 0, false
	for rank, parent := range c.plan.Parents {
		cross := c.distanceTo(parent.Place) == model.CrossRegion
		if !c.usable(parent) || cross && (near || c.sparesPaidLink()) {
			continue
		}
		c.dial(parent, rank)
		usable++
		near = near || !cross
		if usable == 2 {
			return
		}
	}
}

// dialEntries lets the first two readers dial the entries of other regions that have not
// subscribed. After a short partition or a restart of the readers an entry believes its
// links to be alive until it misses a beacon.
func (c *Core) dialEntries() {
	if c.plan.ReaderRank > 1 || len(c.plan.Entries) == 0 {
		c.missing = nil
		return
	}
	missing := map[model.InstanceID]time.Time{}
	for _, entry := range c.plan.Entries {
		l := c.link(entry.ID)
		if l != nil && l.sub != modeOff {
			continue
		}
		since, ok := c.missing[entry.ID]
		if !ok {
			since = c.now
		}
		missing[entry.ID] = since
		if l == nil && c.due(since.Add(entryGrace)) && c.now.Before(since.Add(entryDialling)) {
			c.dial(entry, 0)
		}
	}
	c.missing = missing
}

// assign returns the two best parents among the links.
func (c *Core) assign() (first, second *link) {
	for _, parent := range c.plan.Parents {
		l := c.link(parent.ID)
		if l == nil || !c.usable(parent) || c.crossRegion(l) && c.sparesPaidLink() {
			continue
		}
		if first == nil {
			first = l
			continue
		}
		if c.crossRegion(l) && !c.crossRegion(first) {
			continue
		}
		return first, l
	}
	return first, nil
}

// sparesPaidLink reports whether a new daemon still waits for the version of a
// neighbour, which spares the paid link a complete version.
func (c *Core) sparesPaidLink() bool {
	return c.boot.active && c.history.held() == nil && c.boot.stage < stageFar
}

// usable reports whether a candidate can be a parent: it is not blocked, and it is
// linked, untried, being dialled or due for another dial.
func (c *Core) usable(parent model.Instance) bool {
	p := c.peers[parent.ID]
	if p == nil {
		return true
	}
	if !p.blockedUntil.IsZero() && !c.due(p.blockedUntil) {
		return false
	}
	if c.link(parent.ID) != nil || p.failures == 0 || p.dialling {
		return true
	}
	return c.due(p.retryAt)
}

// instanceOf returns the instance of a linked peer.
func (c *Core) instanceOf(peer model.InstanceID) model.Instance {
	if instance, ok := c.members.table.Get(peer); ok {
		return instance
	}
	return model.Instance{ID: peer}
}

// subscribe changes the subscription at a peer.
func (c *Core) subscribe(l *link, m mode) {
	if l.want == m {
		return
	}
	if l.want == modeOff {
		l.wantAt, l.heartbeatAt = c.now, c.now
	}
	if m == modeEager {
		l.heartbeatAt = c.now
		c.enqueue(l, c.ownAnnouncement())
		c.replay(l)
	}
	l.want, l.probeAt = m, time.Time{}
	if m != modeOff {
		l.probeAt = c.now // the parent answers with a beacon
	}
	c.send(l, subscribe{Mode: m, Held: c.heldMark(), Revision: c.members.table.Revision()})
}

// closeIdle closes links that carry no subscription. The links of new daemons linger,
// because they ask before they subscribe.
func (c *Core) closeIdle() {
	for _, l := range slices.Clone(c.links) {
		if l.want != modeOff || l.sub != modeOff {
			l.idleAt = c.now
			continue
		}
		if c.due(l.idleAt.Add(linkLinger)) {
			c.closeLink(l, "idle")
		}
	}
}
