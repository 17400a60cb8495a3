package dissemination

import (
	"cmp"
	"slices"
	"time"

	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/topology"
)

const (
	// maxLinks bounds the links of a daemon: 33 subscribers and 3 parents are the most
	// at the design size.
	maxLinks = 256
	// maxSubscribers bounds the subscribers that a daemon serves; a refused one asks
	// its next candidate.
	maxSubscribers = 128
	// linkLinger is the time after which a link without a subscription is closed.
	linkLinger = 30 * time.Second

	dialTimeout    = 2 * time.Second
	minBackoff     = 200 * time.Millisecond
	maxBackoff     = 10 * time.Second
	maxDialJitter  = 10 * time.Second
	nearDialJitter = 200 * time.Millisecond
	// entryGrace is the time that an entry of another region has to subscribe by itself,
	// and entryDialling the time after which it has noticed a loss itself.
	entryGrace    = time.Second
	entryDialling = 45 * time.Second
	// paidDialTimeout and maxPaidBackoff let a region's entry find a reader again
	// within 5 s after a partition heals.
	paidDialTimeout = 1500 * time.Millisecond
	maxPaidBackoff  = 1500 * time.Millisecond
)

// link is an established link to a peer.
type link struct {
	peer  model.InstanceID
	place model.Place // zero when the peer is not listed

	heardAt time.Time // last frame
	idleAt  time.Time // start of the time without a subscription

	// State as a child of the peer.
	want        mode // subscription at the peer
	wantAt      time.Time
	theirs      mark      // last version that the peer reported
	confirmed   mark      // last advert
	advertAt    time.Time // time to pull theirs
	pulledAt    time.Time // pull without an answer yet
	behind      bool      // the peer's last beacon had an older version
	heartbeat   uint64
	heartbeatAt time.Time // last advance of heartbeat
	probeAt     time.Time // query for a missing beacon
	full        *assembly
	manifest    []byte // of full

	// State as a parent of the peer.
	sub        mode
	sent       mark          // version that the peer is known to hold
	flushAt    time.Time     // time to send a coalesced change
	standbyAt  time.Time     // time to send instead of the primary reader
	standbyFor model.Version // version that standbyAt waits for
	beaconAt   time.Time

	// Membership.
	revision     uint64 // list revision that the peer is known to hold
	hash         uint64 // of the peer's membership in its last beacon
	queue        map[model.InstanceID]membership.Announcement
	batchAt      time.Time // earliest next batch
	repairAt     time.Time // time to compare revisions
	repairAsked  time.Time
	repairFrom   uint64 // own revision when the repair was asked for
	repairServed time.Time
	mismatches   int
	buckets      *assembly
}

// peerState is what is known of reaching a peer as a parent or neighbour.
type peerState struct {
	instance  model.Instance
	dialling  bool
	dialledAt time.Time
	failures  int
	retryAt   time.Time
	// blockedUntil keeps a reachable peer from being chosen as a parent.
	blockedUntil time.Time
}

func (c *Core) link(peer model.InstanceID) *link {
	at, ok := slices.BinarySearchFunc(c.links, peer, compareLink)
	if !ok {
		return nil
	}
	return c.links[at]
}

func compareLink(l *link, id model.InstanceID) int { return cmp.Compare(l.peer, id) }

func (c *Core) onLinkUp(peer model.InstanceID) {
	if old := c.link(peer); old != nil {
		c.dropLink(old)
	}
	if len(c.links) >= maxLinks || peer == c.self.ID {
		c.emit(Close{Peer: peer, Reason: "too many links"})
		return
	}
	l := &link{peer: peer, place: c.placeOf(peer), heardAt: c.now, idleAt: c.now}
	at, _ := slices.BinarySearchFunc(c.links, peer, compareLink)
	c.links = slices.Insert(c.links, at, l)
	if p := c.peers[peer]; p != nil {
		p.dialling, p.retryAt = false, time.Time{}
	}
	c.askNeighbour(l)
}

func (c *Core) onLinkDown(peer model.InstanceID) {
	if l := c.link(peer); l != nil {
		c.dropLink(l)
	}
	if p := c.peers[peer]; p != nil {
		c.dialFailed(p)
	}
}

// closeLink closes a link from this side.
func (c *Core) closeLink(l *link, reason string) {
	c.dropLink(l)
	c.emit(Close{Peer: l.peer, Reason: reason})
}

func (c *Core) dropLink(l *link) {
	if at, ok := slices.BinarySearchFunc(c.links, l.peer, compareLink); ok {
		c.links = slices.Delete(slices.Clone(c.links), at, at+1)
	}
	if c.eager == l {
		c.eager = nil
	}
}

// dialFailed schedules the next dial with exponential backoff and jitter.
func (c *Core) dialFailed(p *peerState) {
	limit := maxBackoff
	if c.distanceTo(p.instance.Place) == model.CrossRegion {
		limit = maxPaidBackoff
	}
	backoff := min(minBackoff<<min(p.failures, 10), limit)
	p.dialling = false
	p.failures++
	p.retryAt = c.now.Add(backoff/2 + c.jitter(backoff/2))
}

// dial asks for a link unless one exists or it is too early. rank is the position among
// the ranked parents.
func (c *Core) dial(instance model.Instance, rank int) {
	p := c.peer(instance, rank)
	if c.link(instance.ID) != nil || p.dialling {
		c.checkDial(p)
		return
	}
	if !p.retryAt.IsZero() && !c.due(p.retryAt) {
		return
	}
	p.instance = instance // a restarted daemon may have another address
	p.dialling, p.dialledAt = true, c.now
	c.emit(Dial{Instance: instance})
}

// checkDial gives up a dial that takes too long.
func (c *Core) checkDial(p *peerState) {
	timeout := dialTimeout
	if c.distanceTo(p.instance.Place) == model.CrossRegion {
		timeout = paidDialTimeout
	}
	if p.dialling && c.due(p.dialledAt.Add(timeout)) {
		c.emit(Close{Peer: p.instance.ID, Reason: "dial timeout"})
		c.dialFailed(p)
	}
}

// peer returns the state of a peer; a first dial is jittered. The relays and entries, which
// many daemons share after a large failure, get the full jitter of
// min(10 s, n/100 x 100 ms); the candidates of the level above are spread by rendezvous.
func (c *Core) peer(instance model.Instance, rank int) *peerState {
	p := c.peers[instance.ID]
	if p == nil {
		window := min(time.Duration(c.fleetSize())*time.Millisecond, maxDialJitter)
		switch {
		case c.plan.Level == 0:
			window = 0 // relays, entries and readers are few
		case rank < topology.SharedRank:
			window = min(window, nearDialJitter)
		}
		p = &peerState{instance: instance, retryAt: c.now.Add(c.jitter(window))}
		c.peers[instance.ID] = p
	}
	return p
}

// prunePeers forgets peers that are neither candidates nor linked nor seeds.
func (c *Core) prunePeers() {
	if len(c.peers) <= maxLinks {
		return
	}
	for id, p := range c.peers {
		if c.link(id) == nil && !p.dialling && !c.isParent(id) && c.now.After(p.blockedUntil) {
			delete(c.peers, id)
		}
	}
}

func (c *Core) isParent(id model.InstanceID) bool {
	return slices.ContainsFunc(c.plan.Parents, func(i model.Instance) bool { return i.ID == id })
}

// placeOf returns the place of a peer from the view or the seeds.
func (c *Core) placeOf(peer model.InstanceID) model.Place {
	if instance, ok := c.members.table.Get(peer); ok {
		return instance.Place
	}
	for _, seed := range c.cfg.Seeds {
		if seed.ID == peer {
			return seed.Place
		}
	}
	return model.Place{}
}

// distanceTo classes the path to a place. An unknown place belongs to a new daemon and
// counts as near.
func (c *Core) distanceTo(place model.Place) model.Distance {
	if place == (model.Place{}) {
		return model.SameRegion
	}
	return c.self.Place.DistanceTo(place)
}

func (c *Core) crossRegion(l *link) bool { return c.distanceTo(l.place) == model.CrossRegion }

func (c *Core) send(l *link, message any) { c.emit(Send{Peer: l.peer, Data: encode(message)}) }

// onFrame dispatches a message.
func (c *Core) onFrame(peer model.InstanceID, data []byte) {
	l := c.link(peer)
	if l == nil {
		return
	}
	message, err := decode(data)
	if err != nil {
		c.record(Record{Kind: RecordMalformed, Source: string(peer), Reason: err.Error()})
		c.closeLink(l, "malformed frame")
		return
	}
	l.heardAt, l.probeAt = c.now, time.Time{}
	c.dispatch(l, message)
}

func (c *Core) dispatch(l *link, message any) {
	switch m := message.(type) {
	case subscribe:
		c.onSubscribe(l, m)
	case delta:
		c.onDelta(l, m)
	case advert:
		l.confirmed = m.Held
		c.note(l, m.Held)
	case pull:
		c.onPull(l, m)
	case full:
		c.onFull(l, m)
	case beacon:
		c.onBeacon(l, m)
	case query:
		c.sendBeacon(l)
	case members:
		c.onMembers(l, m)
	case membersPull:
		c.onMembersPull(l, m)
	case membersFull:
		c.onMembersFull(l, m)
	case flood:
		c.onFlood(l, m)
	}
}
