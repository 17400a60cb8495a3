package dissemination

import (
	"slices"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

const (
	// beaconInterval is the period of beacons to eager children within a region and of
	// the readers' heartbeat.
	beaconInterval = 5 * time.Second
	// lazyBeaconInterval is longer: a lazy parent's beacon only repairs, and a daemon
	// has up to 23 lazy children.
	lazyBeaconInterval = 30 * time.Second
	// paidBeaconInterval keeps the idle cost of the paid link at a few bytes/s.
	paidBeaconInterval    = 30 * time.Second
	standbyBeaconInterval = 2 * time.Minute
	// entryBeaconInterval and entrySilence bound the time that a region is without an
	// entry: three beacons are missed.
	entryBeaconInterval = 400 * time.Millisecond
	entrySilence        = 3 * entryBeaconInterval
	// beaconSlack is the delay of a beacon after which a parent is asked for one, and
	// probeTimeout the time that it has to answer.
	beaconSlack  = time.Second
	probeTimeout = 2 * time.Second
	// detachedPeriods is the number of periods without an advance of the heartbeat
	// after which a parent counts as detached from the readers.
	detachedPeriods = 3
	detachedBlock   = 30 * time.Second
)

// advanceHeartbeat advances the heartbeat on a reader. A lower-ranked reader only does
// so when the ones before it have stopped.
func (c *Core) advanceHeartbeat() {
	if c.plan.ReaderRank < 0 {
		return
	}
	wait := beaconInterval + time.Duration(c.plan.ReaderRank)*beaconInterval/2
	if c.heartbeatAt.IsZero() || c.due(c.heartbeatAt.Add(wait)) {
		c.heartbeat++
		c.heartbeatAt = c.now
		c.due(c.heartbeatAt.Add(wait))
	}
}

func (c *Core) advanceBeacon(l *link) {
	if l.sub == modeOff || !c.due(l.beaconAt) {
		return
	}
	c.sendBeacon(l)
}

// sendBeacon sends a beacon and schedules the next one.
func (c *Core) sendBeacon(l *link) {
	c.send(l, beacon{
		Held: c.heldMark(), Heartbeat: c.heartbeat,
		Revision: c.members.table.Revision(), Members: c.members.table.Hash(),
	})
	interval := c.beaconInterval(l)
	l.beaconAt = c.now.Add(interval - interval/8 + c.jitter(interval/8))
}

// beaconInterval returns the period of beacons to a subscriber.
func (c *Core) beaconInterval(l *link) time.Duration {
	if c.plan.IsEntry() && l.peer == c.plan.SpareEntry && !c.spareReads() {
		return entryBeaconInterval
	}
	return c.intervalOf(l.sub, c.crossRegion(l))
}

// intervalOf returns the period of beacons for a subscription.
func (c *Core) intervalOf(m mode, crossRegion bool) time.Duration {
	switch {
	case m == modeStandby:
		return standbyBeaconInterval
	case crossRegion:
		return paidBeaconInterval
	case m == modeEager:
		return beaconInterval
	}
	return lazyBeaconInterval
}

// spareReads reports whether the spare entry is a reader: it has the versions from the
// store and need not notice the entry's silence at once.
func (c *Core) spareReads() bool {
	return slices.ContainsFunc(c.plan.Readers, func(i model.Instance) bool { return i.ID == c.plan.SpareEntry })
}

// onBeacon takes a beacon, which a parent sends once it has accepted a subscription. Only
// then do failures count no more: a full parent accepts links and closes them again.
func (c *Core) onBeacon(l *link, b beacon) {
	if p := c.peers[l.peer]; p != nil {
		p.failures = 0
	}
	if b.Heartbeat > l.heartbeat {
		l.heartbeatAt = c.now
	}
	l.heartbeat = b.Heartbeat
	c.takeHeartbeat(l, b.Heartbeat)
	c.note(l, b.Held)
	c.compareMembers(l, b)
	c.answerFrom(l, b)
	c.informParent(l, b)
}

// takeHeartbeat follows the eager parent's heartbeat; a reader follows the highest.
func (c *Core) takeHeartbeat(l *link, heartbeat uint64) {
	if l == c.eager && c.plan.ReaderRank < 0 || heartbeat > c.heartbeat && c.plan.ReaderRank >= 0 {
		if heartbeat > c.heartbeat {
			c.heartbeatAt, c.detachments = c.now, 0
		}
		c.heartbeat = heartbeat
	}
}

// informParent adverts to a parent that was behind in two beacons: one beacon may cross
// a change in transit.
func (c *Core) informParent(l *link, b beacon) {
	behind := b.Held.Version < c.heldMark().Version
	if behind && l.behind && l.want != modeOff {
		c.send(l, advert{Held: c.heldMark()})
	}
	l.behind = behind
}

// watchParents gives up parents that are silent and blocks one that is detached.
func (c *Core) watchParents() {
	for _, l := range c.links {
		if l.want != modeOff {
			c.watchSilence(l)
		}
	}
	if c.eager == nil || c.plan.ReaderRank >= 0 {
		return
	}
	period := beaconInterval
	if c.self.Place.Region != c.cfg.StoreRegion {
		period = paidBeaconInterval
	}
	if c.due(later(c.eager.heartbeatAt, c.eager.wantAt).Add(detachedPeriods * period)) {
		c.detachments++
		c.peer(c.instanceOf(c.eager.peer), 0).blockedUntil = c.now.Add(detachedPeriods * period)
	}
}

// watchSilence closes the link to a parent that is not heard: the spare entry gives up
// the entry after three missed beacons; any other daemon asks once after a missed beacon.
// A link can look alive for 40 s and more after its peer has died.
func (c *Core) watchSilence(l *link) {
	heard := later(l.heardAt, l.wantAt)
	if c.guardsEntry(l) {
		if c.due(heard.Add(entrySilence)) {
			c.giveUp(l)
		}
		return
	}
	if !l.probeAt.IsZero() {
		if c.due(l.probeAt.Add(probeTimeout)) {
			c.giveUp(l)
		}
		return
	}
	if c.due(heard.Add(c.intervalOf(l.want, c.crossRegion(l)) + beaconSlack)) {
		l.probeAt = c.now
		c.due(l.probeAt.Add(probeTimeout))
		c.send(l, query{})
	}
}

// guardsEntry reports whether the link leads from the spare entry to the entry.
func (c *Core) guardsEntry(l *link) bool {
	return c.plan.IsSpareEntry() && l.peer == c.plan.Entry && !c.spareReads()
}

// giveUp closes the link to a silent parent; it is dialled again with backoff.
func (c *Core) giveUp(l *link) {
	p := c.peer(c.instanceOf(l.peer), 0)
	c.closeLink(l, "silent")
	c.dialFailed(p)
}

// actsAsEntry reports whether the spare entry stands in for an entry that it cannot reach.
func (c *Core) actsAsEntry() bool {
	return c.plan.IsSpareEntry() && c.link(c.plan.Entry) == nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
