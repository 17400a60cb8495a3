package dissemination

import (
	"errors"
	"slices"
	"time"

	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
)

const (
	// batchInterval and paidBatchInterval are the least times between two batches of
	// membership changes on a link. The first change after a quiet time is sent at once.
	batchInterval     = 200 * time.Millisecond
	paidBatchInterval = time.Second
	// viewInterval is the least time between two views for the daemon, and viewPerInstance
	// what each instance adds: a view takes 1.7 ms to make at the design size, so that
	// changes without a pause would take 1% of a core at 200 ms.
	viewInterval    = 200 * time.Millisecond
	viewPerInstance = 40 * time.Microsecond
	// maxQueue bounds the announcements that wait on a link and the changes in the log
	// of list changes; what is dropped is repaired by hashes.
	maxQueue = 4096
	// repairDelay gives the change of a list time to arrive by the eager parent.
	repairDelay = time.Second
	// repairTimeout is the time after which a repair may be asked for again.
	repairTimeout = 5 * time.Second
	// maxMembersBytes bounds a membership in transit before decompression.
	maxMembersBytes = maxBuckets
)

// membersState is the membership with the log of its list changes.
type membersState struct {
	table  *membership.Table
	log    []listChange
	logged int // IDs in the log
	dirty  bool
	viewAt time.Time
}

// listChange names the instances that changed between two list revisions.
type listChange struct {
	from, to uint64
	ids      []model.InstanceID
}

func (c *Core) ownAnnouncement() announcement {
	return announcement{ID: c.self.ID, Incarnation: c.self.Incarnation, State: c.self.State}
}

// listChanged logs a change of the list for the children and marks the view.
func (c *Core) listChanged(d membership.ListDelta) {
	if len(d.Upserts)+len(d.Removed) > 0 {
		c.viewChanged()
	}
	if d.From == d.To {
		return
	}
	c.viewChanged()
	change := listChange{from: d.From, to: d.To, ids: slices.Clone(d.Removed)}
	for _, instance := range d.Upserts {
		change.ids = append(change.ids, instance.ID)
	}
	m := &c.members
	m.log, m.logged = append(m.log, change), m.logged+len(change.ids)+1
	for m.logged > maxQueue {
		m.logged -= len(m.log[0].ids) + 1
		m.log = slices.Delete(m.log, 0, 1)
	}
}

func (c *Core) viewChanged() { c.members.dirty, c.planDirty = true, true }

// advanceView hands the daemon a changed view.
func (c *Core) advanceView() {
	m := &c.members
	if !m.dirty || m.table.Revision() == 0 || !m.viewAt.IsZero() && !c.due(m.viewAt) {
		return
	}
	m.dirty = false
	m.viewAt = c.now.Add(viewInterval + time.Duration(m.table.Len())*viewPerInstance)
	c.emit(Members{View: m.table.View()})
}

// deltaSince returns the list change from a revision to the current one, or false when
// no change in the log starts at it.
func (c *Core) deltaSince(revision uint64) (members, bool) {
	m := members{From: revision, To: c.members.table.Revision()}
	seen := map[model.InstanceID]struct{}{}
	reached := revision == m.To
	for _, change := range c.members.log {
		if change.from < revision {
			continue
		}
		reached = reached || change.from == revision
		for _, id := range change.ids {
			if _, ok := seen[id]; ok {
				continue
			}
			seen[id] = struct{}{}
			if instance, ok := c.members.table.Get(id); ok {
				m.Upserts = append(m.Upserts, toListed(instance))
			} else {
				m.Removed = append(m.Removed, id)
			}
		}
	}
	return m, reached
}

// enqueue adds an announcement to a link's next batch.
func (c *Core) enqueue(l *link, a announcement) {
	if l.queue == nil {
		l.queue = map[model.InstanceID]membership.Announcement{}
	}
	if len(l.queue) < maxQueue {
		l.queue[a.ID] = a.membership()
	}
}

// spread queues an announcement for the tree neighbours except the one it came from.
func (c *Core) spread(a announcement, except *link) {
	if _, listed := c.members.table.Get(a.ID); listed {
		c.viewChanged()
	}
	for _, l := range c.links {
		if l != except && (l.sub == modeEager || l.want == modeEager) {
			c.enqueue(l, a)
		}
	}
}

// advanceMembers sends the batch of a link and repairs differences that last.
func (c *Core) advanceMembers(l *link) {
	if c.due(l.repairAt) {
		l.repairAt = time.Time{}
		c.checkRepair(l)
	}
	behind := l.sub == modeEager && l.revision < c.members.table.Revision()
	if len(l.queue) == 0 && !behind || !l.batchAt.IsZero() && !c.due(l.batchAt) {
		return
	}
	l.batchAt = c.now.Add(batchInterval)
	if c.crossRegion(l) {
		l.batchAt = c.now.Add(paidBatchInterval)
	}
	c.sendMembers(l, behind)
}

// checkRepair looks again at a difference after the time for changes in transit.
func (c *Core) checkRepair(l *link) {
	switch {
	case c.members.table.Revision() < l.revision:
		c.pullMembers(l)
	case l.mismatches > 0 || l.hash != c.members.table.Hash():
		// The announcements can still differ after the list has caught up.
		c.send(l, query{})
	}
}

func (c *Core) sendMembers(l *link, behind bool) {
	var m members
	if behind {
		change, ok := c.deltaSince(l.revision)
		if ok {
			m = change
		} else {
			c.sendBeacon(l) // the child sees that it is behind and pulls
		}
		l.revision = c.members.table.Revision()
	}
	for _, a := range l.queue {
		m.Announcements = append(m.Announcements, toAnnouncement(a))
	}
	l.queue = nil
	if m.From == m.To && len(m.Announcements) == 0 {
		return
	}
	slices.SortFunc(m.Announcements, func(a, b announcement) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.send(l, m)
}

// onMembers merges a batch. List changes count only from a parent.
func (c *Core) onMembers(l *link, m members) {
	if m.To > m.From && l.want != modeOff {
		c.applyList(l, m)
	}
	for _, a := range m.Announcements {
		switch {
		case a.ID == c.self.ID:
			c.refute(a)
		case c.members.table.Announce(a.membership(), c.now):
			c.spread(a, l)
			c.probeRestarted(a)
		}
	}
}

// probeRestarted asks a parent that announced itself: the link may belong to an earlier
// process.
func (c *Core) probeRestarted(a announcement) {
	if l := c.link(a.ID); l != nil && l.want != modeOff && l.probeAt.IsZero() {
		l.probeAt = c.now
		c.send(l, query{})
	}
}

func (c *Core) applyList(l *link, m members) {
	l.revision = max(l.revision, m.To)
	d := membership.ListDelta{From: m.From, To: m.To, Upserts: toInstances(m.Upserts), Removed: m.Removed}
	changed, err := c.members.table.ApplyDelta(d)
	var gap *membership.GapError
	switch {
	case errors.As(err, &gap):
		c.pullMembers(l)
	case err != nil:
		c.record(Record{Kind: RecordRejected, Source: string(l.peer), Reason: err.Error()})
	case changed:
		c.listChanged(d)
	}
}

// refute answers an announcement about this instance that is newer than its own, such
// as one of an earlier run with a faster clock.
func (c *Core) refute(a announcement) {
	if a.Incarnation < c.self.Incarnation || a.Incarnation == c.self.Incarnation && a.State <= c.self.State {
		return
	}
	c.self.Incarnation = a.Incarnation + 1
	c.announceSelf()
}

func (c *Core) announceSelf() {
	c.members.table.Announce(c.ownAnnouncement().membership(), c.now)
	c.spread(c.ownAnnouncement(), nil)
}

// onLeave announces that the instance is leaving.
func (c *Core) onLeave() {
	if c.self.State == model.Leaving {
		return
	}
	c.self.State = model.Leaving
	c.announceSelf()
	// Every link carries it, the lazy ones too: the eager parent may die at this moment.
	for _, l := range c.links {
		c.enqueue(l, c.ownAnnouncement())
		l.batchAt = time.Time{}
	}
}

// compareMembers asks for a repair when the peer's membership stays different: at once
// while nothing is known or the daemon checks what it holds, otherwise after time for
// changes in transit.
func (c *Core) compareMembers(l *link, b beacon) {
	l.revision, l.hash = b.Revision, b.Members
	revision := c.members.table.Revision()
	switch {
	case b.Revision < revision, b.Revision == 0:
	case b.Revision == revision && b.Members == c.members.table.Hash():
		l.mismatches = 0
	case revision == 0 || c.recheck.active || c.boot.active:
		c.pullMembers(l)
	default:
		if b.Revision == revision {
			l.mismatches++
		}
		if l.mismatches >= 2 {
			l.mismatches = 0
			c.pullMembers(l)
		} else if l.repairAt.IsZero() {
			l.repairAt = c.now.Add(repairDelay)
		}
	}
}

func (c *Core) pullMembers(l *link) {
	if !l.repairAsked.IsZero() && !c.due(l.repairAsked.Add(repairTimeout)) {
		return
	}
	l.repairAsked, l.repairFrom = c.now, c.members.table.Revision()
	m := membersPull{Revision: l.repairFrom}
	if l.repairFrom > 0 {
		m.Buckets = c.members.table.BucketHashes()
	}
	c.send(l, m)
}

// onMembersPull answers with the differing buckets, at most once a second on a link.
func (c *Core) onMembersPull(l *link, m membersPull) {
	if !l.repairServed.IsZero() && c.now.Before(l.repairServed.Add(time.Second)) {
		return
	}
	l.repairServed = c.now
	l.revision = c.members.table.Revision()
	parts := split(encodeBuckets(c.members.table.Differing(m.Buckets)))
	for i, part := range parts {
		c.send(l, membersFull{Revision: l.revision, Part: uint16(i), Parts: uint16(len(parts)), Data: part})
	}
}

func (c *Core) onMembersFull(l *link, m membersFull) {
	if l.repairAsked.IsZero() {
		return
	}
	if m.Part == 0 {
		l.buckets = &assembly{}
	}
	if l.buckets == nil {
		return
	}
	complete, ok := l.buckets.add(m.Part, m.Parts, m.Data, maxMembersBytes)
	if !ok {
		l.buckets = nil
		return
	}
	if !complete {
		return
	}
	data := l.buckets.data
	l.buckets, l.repairAsked = nil, time.Time{}
	c.repair(l, m.Revision, data)
}

// repair merges the differing buckets of a peer. After a change of the own list during
// the repair the buckets do not add up to one revision, and only announcements count. Two
// lists of one revision can only differ by a fault of the platform; then the list of the
// eager parent counts, so that all daemons follow the readers.
func (c *Core) repair(l *link, revision uint64, data []byte) {
	buckets, err := decodeBuckets(data)
	if err != nil {
		c.record(Record{Kind: RecordMalformed, Source: string(l.peer), Reason: err.Error()})
		c.closeLink(l, "malformed membership")
		return
	}
	held := c.members.table.Revision()
	follows := l == c.eager && c.plan.ReaderRank < 0
	if held != l.repairFrom || held == revision && !follows {
		revision = 0
	}
	news := c.newsIn(buckets)
	d, missing, changed := c.members.table.Repair(revision, buckets, c.now)
	for _, a := range news {
		c.spread(a, l)
	}
	if changed {
		c.viewChanged()
		c.listChanged(d)
	}
	c.recheck.members = true
	for _, a := range missing {
		c.enqueue(l, toAnnouncement(a))
	}
}

// newsIn returns the announcements in buckets that are newer than those held of listed
// instances. Without spreading them, each level of the tree would find the difference
// only by a beacon of its own parent.
func (c *Core) newsIn(buckets []membership.Bucket) []announcement {
	var news []announcement
	for _, bucket := range buckets {
		for _, i := range bucket.Instances {
			held, listed := c.members.table.Get(i.ID)
			if listed && (i.Incarnation > held.Incarnation || i.Incarnation == held.Incarnation && i.State > held.State) {
				news = append(news, announcement{ID: i.ID, Incarnation: i.Incarnation, State: i.State})
			}
		}
	}
	return news
}
