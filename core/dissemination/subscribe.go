package dissemination

import "time"

// standbyDelay is the time that the second reader gives the primary reader before it
// sends a version to the entries of other regions itself.
const standbyDelay = 300 * time.Millisecond

// onSubscribe registers, changes or ends a subscription.
func (c *Core) onSubscribe(l *link, m subscribe) {
	if l.sub == modeOff && m.Mode != modeOff && c.subscribers() >= maxSubscribers {
		c.closeLink(l, "too many subscribers")
		return
	}
	if m.Mode == modeEager && l.sub != modeEager {
		c.replay(l)
	}
	l.sub, l.sent, l.revision = m.Mode, m.Held, m.Revision
	l.flushAt, l.standbyAt = time.Time{}, time.Time{}
	if m.Mode == modeOff {
		return
	}
	c.note(l, m.Held)
	c.offer(l)
	c.sendBeacon(l) // shows that the link is alive
}

func (c *Core) subscribers() int {
	n := 0
	for _, l := range c.links {
		if l.sub != modeOff {
			n++
		}
	}
	return n
}

// offer brings a new subscriber up to date.
func (c *Core) offer(l *link) {
	held := c.heldMark()
	if held == l.sent || held.Version < l.sent.Version || held.Version == 0 {
		return
	}
	switch l.sub {
	case modeEager:
		c.sendVersion(l)
	case modeLazy:
		c.send(l, advert{Held: held})
	}
}

// forward distributes a version that has just been applied.
func (c *Core) forward(source *link) {
	for _, l := range c.links {
		if l == source {
			l.sent = c.heldMark()
			continue
		}
		c.forwardTo(l)
	}
}

func (c *Core) forwardTo(l *link) {
	held := c.heldMark()
	if l.sub == modeOff || l.sent == held || l.theirs == held || l.sent.Version > held.Version {
		return
	}
	switch {
	case l.sub == modeStandby:
		if l.standbyAt.IsZero() {
			l.standbyAt, l.standbyFor = c.now.Add(standbyDelay), held.Version
		}
	case l.sub == modeLazy && !c.actsAsEntry():
		c.send(l, advert{Held: held})
	case c.crossRegion(l) && c.cfg.Coalesce > 0:
		if l.flushAt.IsZero() {
			l.flushAt = c.now.Add(c.cfg.Coalesce)
		}
	default:
		c.sendVersion(l)
	}
}

// advanceSubscriber sends coalesced versions, and versions to standby subscribers that
// the primary reader has not shown to have.
func (c *Core) advanceSubscriber(l *link) {
	if c.due(l.flushAt) {
		l.flushAt = time.Time{}
		if l.sent.Version < c.heldMark().Version {
			c.sendVersion(l)
		}
	}
	if c.due(l.standbyAt) {
		c.standIn(l)
	}
}

// standIn sends the version held to a standby subscriber unless the primary reader has
// shown the version for which the time ran out. Only the report of a known version
// counts: any other one may be wrong.
func (c *Core) standIn(l *link) {
	l.standbyAt = time.Time{}
	held := c.heldMark()
	if shown, ok := c.primaryShows(); ok && shown.Version >= l.standbyFor {
		l.sent = shown
		if shown != held {
			l.standbyAt, l.standbyFor = c.now.Add(standbyDelay), held.Version
		}
		return
	}
	if l.sent.Version < held.Version {
		c.sendVersion(l)
	}
}

// confirm tells the other readers that this one has sent the version held across the
// paid link. Holding it is not enough: a reader can die before a coalesced version
// leaves.
func (c *Core) confirm() {
	if !c.crossed {
		return
	}
	c.crossed = false
	for _, reader := range c.plan.Readers {
		if l := c.link(reader.ID); l != nil && c.plan.ReaderRank >= 0 && !c.crossRegion(l) {
			c.send(l, advert{Held: c.heldMark()})
		}
	}
}

// primaryShows returns the version that the primary reader has confirmed.
func (c *Core) primaryShows() (mark, bool) {
	if len(c.plan.Readers) == 0 {
		return mark{}, false
	}
	primary := c.link(c.plan.Readers[0].ID)
	if primary == nil || c.history.find(primary.confirmed) == nil {
		return mark{}, false
	}
	return primary.confirmed, true
}

// sendVersion sends the version held, as a delta from the version that the subscriber
// is known to hold where possible.
func (c *Core) sendVersion(l *link) {
	if c.history.held() == nil {
		return
	}
	for _, frame := range c.history.framesFrom(l.sent) {
		c.emit(Send{Peer: l.peer, Data: frame})
	}
	l.sent = c.heldMark()
	c.crossed = c.crossed || c.crossRegion(l)
}

// onPull answers with the version held, or with a beacon when that is not newer.
func (c *Core) onPull(l *link, m pull) {
	held := c.heldMark()
	if held.Version == 0 || m.Held == held || m.Held.Version > held.Version {
		c.sendBeacon(l)
		return
	}
	l.sent = m.Held
	c.sendVersion(l)
}
