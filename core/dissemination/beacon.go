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
	// probeInterval is the period of queries to a silent parent whose link is up.
	probeInterval = 2 * time.Second
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

func (c *Core) beaconInterval(l *link) time.Duration {
	switch {
	case c.plan.IsEntry() && l.peer == c.plan.SpareEntry && !c.spareReads():
		return entryBeaconInterval
	case l.sub == modeStandby:
		return standbyBeaconInterval
	case c.crossRegion(l):
		return paidBeaconInterval
	case l.sub == modeEager:
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

// watchParents blocks parents that are silent or detached.
func (c *Core) watchParents() {
	c.watchEntry()
	c.probeSilent()
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
		return
	}
	if !c.crossRegion(c.eager) && c.due(later(c.eager.heardAt, c.eager.wantAt).Add(detachedPeriods*beaconInterval)) {
		c.silence(c.eager)
	}
}

// watchEntry lets the spare entry notice the entry's silence.
func (c *Core) watchEntry() {
	l := c.link(c.plan.Entry)
	if !c.plan.IsSpareEntry() || c.spareReads() || l == nil || l.want == modeOff {
		return
	}
	if c.due(later(l.heardAt, l.wantAt).Add(entrySilence)) {
		c.silence(l)
	}
}

// silence keeps a linked parent from being chosen until it is heard again.
func (c *Core) silence(l *link) {
	c.peer(c.instanceOf(l.peer), 0).silent = true
	l.probeAt = c.now
}

// probeSilent asks silent parents for a sign of life.
func (c *Core) probeSilent() {
	for _, l := range c.links {
		if p := c.peers[l.peer]; p != nil && p.silent && c.due(l.probeAt) {
			l.probeAt = c.now.Add(probeInterval)
			c.send(l, query{})
		}
	}
}

// actsAsEntry reports whether the spare entry stands in for an entry that is silent or
// unreachable.
func (c *Core) actsAsEntry() bool {
	if !c.plan.IsSpareEntry() {
		return false
	}
	entry := model.Instance{ID: c.plan.Entry}
	return c.link(c.plan.Entry) == nil || !c.usable(entry)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
