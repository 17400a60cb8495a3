package once

import (
	"slices"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

const (
	maxSkewMillis  = int64(MaxClockSkew / time.Millisecond)
	lifetimeMillis = int64(KeyLifetime / time.Millisecond)
	// PauseGap is the time without a Tick after which the process is considered paused.
	PauseGap = time.Second
	// TickPeriod is the maximum time between two calls of Tick.
	TickPeriod = 250 * time.Millisecond
	// retryMillis is the first retry interval; it doubles with every attempt up to maxRetryMillis.
	retryMillis, maxRetryMillis = 1000, 8000
)

// Config configures a Core.
type Config struct {
	// Self is the daemon's own instance. Its Incarnation is the start time of the process in Unix
	// milliseconds.
	Self model.Instance
	// MaxKeys and MaxAnswerBytes bound the registry; 0 selects the defaults.
	MaxKeys, MaxAnswerBytes int
}

// phase is the phase of the protocol that an unconfirmed Core is in.
type phase uint8

const (
	probing phase = iota
	acquiring
)

// Core combines the ownership state machine and the registry of one daemon.
type Core struct {
	cfg                Config
	registry           *Registry
	selfHash           uint64
	incarnation        uint64
	revision           uint64
	listed             bool
	hasFreshList       bool
	platformUnreadable bool
	peers              map[model.InstanceID]*peer
	departed           []departed
	// earlierSpans are the intervals of this instance's earlier incarnations. They may have run any
	// key in them that has no record.
	earlierSpans []Span
	phase        phase
	confirmed    bool
	leaving      bool
	since        int64
	until        int64
	// maxCreated is an upper bound of the creation times of the keys that this instance may have run.
	maxCreated int64
	// minSince is the minimum of since. It is later than the creation times of the keys that probed
	// or removed instances may have run.
	minSince int64
	lastTick time.Time
	paused   bool
}

// New returns a Core that does not own any keys yet.
func New(cfg Config, now time.Time) *Core {
	start := now.UnixMilli() + 2*maxSkewMillis
	return &Core{
		cfg: cfg, registry: NewRegistry(cfg.MaxKeys, cfg.MaxAnswerBytes), selfHash: hashID(cfg.Self.ID),
		incarnation: cfg.Self.Incarnation, peers: map[model.InstanceID]*peer{}, until: forever,
		maxCreated: start, minSince: start, lastTick: now,
	}
}

// Registry returns the registry, for lookups and for statistics.
func (c *Core) Registry() *Registry { return c.registry }

// Confirmed reports whether the instance owns keys.
func (c *Core) Confirmed() bool { return c.confirmed }

// NeedsFreshList reports whether the Core still needs an instance list that was read from the
// platform after the start of the process.
func (c *Core) NeedsFreshList() bool { return !c.confirmed && !c.hasFreshList && !c.leaving }

// FreshListFailed records that the instance list cannot be read from the platform. To be confirmed
// without a fresh list, the Core needs an acknowledgement from a confirmed instance.
func (c *Core) FreshListFailed(now time.Time) []Send {
	c.platformUnreadable = true
	return c.advance(now)
}

// List updates the known instances of the service from the list.
func (c *Core) List(now time.Time, list List) []Send {
	if list.Revision < c.revision {
		return nil
	}
	c.revision = list.Revision
	c.hasFreshList = c.hasFreshList || list.Fresh
	present := map[model.InstanceID]bool{}
	for _, instance := range list.Instances {
		present[instance.ID] = true
		if instance.ID != c.cfg.Self.ID {
			c.addPeer(instance, instance.Incarnation, list.Revision)
		}
	}
	for _, p := range c.sortedPeers() {
		if !present[p.instance.ID] && p.revision <= list.Revision {
			c.removePeer(p, now.UnixMilli())
		}
	}
	c.setListed(now, present[c.cfg.Self.ID])
	return c.advance(now)
}

// setListed records whether the list contains this instance. If the instance was removed from the
// list, it starts over under a new incarnation, because others consider it stopped.
func (c *Core) setListed(now time.Time, listed bool) {
	if c.listed && !listed {
		if c.confirmed {
			c.earlierSpans = append(c.earlierSpans, Span{c.since, now.UnixMilli() + 2*maxSkewMillis, nil})
		}
		c.confirmed, c.hasFreshList = false, false
		c.incarnation++
		c.restartProbing(now.UnixMilli())
		for _, p := range c.peers {
			p.interval = Span{0, forever, nil}
		}
	}
	c.listed = listed
}

// restartProbing repeats the protocol from the probing phase, with a later interval.
func (c *Core) restartProbing(now int64) {
	c.phase = probing
	c.minSince = max(c.minSince, now+2*maxSkewMillis)
	for _, p := range c.peers {
		p.acked, p.ackConfirmed, p.probed, p.lastSent, p.backoff = false, false, false, 0, 0
	}
}

// Tick expires records, detects pauses of the process and returns the messages that are due.
func (c *Core) Tick(now time.Time) []Send {
	c.detectPause(now)
	c.registry.expire(now.UnixMilli())
	c.expireDeparted(now.UnixMilli())
	return c.advance(now)
}

// detectPause detects a pause of the process or a jump of its clock since the last tick.
func (c *Core) detectPause(now time.Time) {
	if gap := now.Sub(c.lastTick); gap > PauseGap || gap < -PauseGap {
		c.paused = true
	}
	c.lastTick = now
}

// ViewChecked ends the refusal of requests after a pause. The daemon calls it once it has compared
// its version and view with another source since the process resumed.
func (c *Core) ViewChecked(now time.Time) {
	c.detectPause(now)
	c.paused = false
}

// Paused reports whether the process resumed after a pause and has not validated its view since.
func (c *Core) Paused(now time.Time) bool {
	gap := now.Sub(c.lastTick)
	return c.paused || gap > PauseGap || gap < -PauseGap
}

// advance moves to the next phase if its condition holds, and returns the messages that are due.
func (c *Core) advance(now time.Time) []Send {
	millis := now.UnixMilli()
	switch {
	case c.leaving:
		return c.flush(millis)
	case c.confirmed || !c.listed:
		return nil
	}
	// Acquire only with a recent list revision. If an instance acknowledged an Acquire with an older
	// one and then received a list in which this instance's predecessor is removed, it would drop
	// this instance and with it the acknowledged interval.
	if c.phase == probing && (c.hasFreshList || c.platformUnreadable) && c.allPeers(func(p *peer) bool { return p.probed }) {
		c.phase = acquiring
		c.chooseSince(millis)
	}
	if c.phase == acquiring && c.since < c.minSince {
		c.chooseSince(millis)
	}
	if c.phase == acquiring && c.allPeers(func(p *peer) bool { return p.acked }) && c.knowsAllOwners() {
		c.confirm()
		return nil
	}
	return c.dueRequests(millis)
}

// chooseSince sets a new start of the interval, which every peer has to acknowledge.
func (c *Core) chooseSince(now int64) {
	c.since = max(c.minSince, now+2*maxSkewMillis)
	for _, p := range c.peers {
		p.acked, p.ackConfirmed, p.lastSent, p.backoff = false, false, 0, 0
	}
}

// knowsAllOwners reports whether the Core is certain to know every owner of keys.
func (c *Core) knowsAllOwners() bool {
	if c.hasFreshList {
		return true
	}
	return c.platformUnreadable && c.ackedByConfirmed()
}

// ackedByConfirmed reports whether a confirmed instance has acknowledged. Such an instance knows the
// intervals of all incarnations.
func (c *Core) ackedByConfirmed() bool {
	return !c.allPeers(func(p *peer) bool { return !p.ackConfirmed })
}

// confirm makes the instance an owner. Unless a confirmed instance has acknowledged, earlier owners
// may have run any key created before since.
func (c *Core) confirm() {
	c.confirmed = true
	if !c.ackedByConfirmed() {
		c.earlierSpans = []Span{{0, c.since, nil}}
	}
}

// allPeers reports whether the test holds for every peer.
func (c *Core) allPeers(test func(*peer) bool) bool {
	for _, p := range c.peers {
		if !test(p) {
			return false
		}
	}
	return true
}

// dueRequests returns the messages of the current phase that have no reply yet and are due for an
// attempt or a retry.
func (c *Core) dueRequests(now int64) []Send {
	var out []Send
	var known uint64
	for _, p := range c.sortedPeers() {
		if c.phase == probing && p.probed || c.phase == acquiring && p.acked || now < p.lastSent+p.backoff {
			continue
		}
		if known == 0 {
			known = c.knownHash()
		}
		p.lastSent, p.backoff = now, min(maxRetryMillis, max(retryMillis, 2*p.backoff))
		m := Message{Kind: Probe, From: c.cfg.Self, Incarnation: c.incarnation, Revision: c.revision, Known: known}
		if c.phase == acquiring {
			m.Kind, m.Since = Acquire, c.since
		}
		out = append(out, Send{p.instance, m})
	}
	return out
}

// Reply processes the reply to a message that was sent.
func (c *Core) Reply(now time.Time, sent Send, r Reply) []Send {
	p, ok := c.peers[sent.To.ID]
	if !ok {
		return nil
	}
	if r.Incarnation > p.incarnation {
		c.addPeer(p.instance, r.Incarnation, p.revision)
	}
	for _, n := range r.Neighbours {
		c.addNeighbour(n)
	}
	if sent.Message.Incarnation != c.incarnation || r.Incarnation < p.incarnation {
		return c.advance(now)
	}
	p.repliedIncarnation = r.Incarnation
	switch sent.Message.Kind {
	case Probe, Acquire:
		if c.confirmed {
			return nil
		}
		p.probed = true
		c.minSince = max(c.minSince, r.Highest+1)
		if sent.Message.Kind == Acquire && r.OK && r.Since == c.since {
			p.acked, p.ackConfirmed = true, r.Confirmed
			if r.Confirmed { // unconfirmed instances only assume intervals
				c.earlierSpans = append(c.earlierSpans, r.Past...)
			}
		}
	case Release, HandOver:
		if r.OK && len(p.outbox) > 0 && sameMessage(p.outbox[0], sent.Message) {
			p.outbox, p.lastSent, p.backoff = p.outbox[1:], 0, 0
		}
	}
	return c.advance(now)
}

// addNeighbour adds an instance that another one knows, unless the local list is at least as new
// and does not contain it.
func (c *Core) addNeighbour(n Neighbour) {
	if n.Instance.ID == c.cfg.Self.ID {
		return
	}
	if _, known := c.peers[n.Instance.ID]; known || n.Revision > c.revision {
		c.addPeer(n.Instance, n.Incarnation, n.Revision)
	}
}

// Handle processes a message from another instance and returns the reply.
func (c *Core) Handle(now time.Time, m Message) (Reply, []Send) {
	r := Reply{Incarnation: c.incarnation, Confirmed: c.confirmed && !c.leaving, Since: m.Since, Highest: c.maxCreated}
	if m.From.ID == c.cfg.Self.ID || m.From.Service != c.cfg.Self.Service {
		return r, nil
	}
	p, known := c.peers[m.From.ID]
	if !known && m.Revision > c.revision || known {
		p = c.addPeer(m.From, m.Incarnation, m.Revision)
	}
	if m.Known != 0 && c.knownHash() != m.Known {
		r.Neighbours = c.neighbours()
	}
	if p == nil || m.Incarnation < p.incarnation {
		return r, c.advance(now)
	}
	switch m.Kind {
	case Acquire:
		r.OK = m.Since > c.maxCreated
		if r.OK {
			p.setInterval(m)
		}
	case Release:
		r.OK = true
		// A delayed Release of an earlier incarnation must not end the interval of a later one. If
		// this Core started after that later incarnation acquired its interval, the Core only assumes
		// the interval and has not recorded whose it is.
		if p.intervalIncarnation == m.Incarnation || p.intervalIncarnation == 0 && p.repliedIncarnation == m.Incarnation {
			c.endInterval(p, m)
		}
	case HandOver:
		r.OK = c.acceptRecords(m.Records)
	}
	r.Past = slices.Clone(p.earlierSpans)
	return r, c.advance(now)
}

// setInterval records the interval that the peer requests. From then on, this instance does not run
// keys that the peer owns.
func (p *peer) setInterval(m Message) {
	if p.intervalIncarnation == m.Incarnation {
		p.interval.Since = max(p.interval.Since, m.Since) // the peer owned nothing before all had acknowledged
		return
	}
	if p.interval.Since < m.Since {
		p.earlierSpans = append(p.earlierSpans, Span{p.interval.Since, min(p.interval.Until, m.Since), p.interval.Heirs})
	}
	p.interval, p.intervalIncarnation = Span{m.Since, forever, nil}, m.Incarnation
}

// endInterval ends the interval of a leaving peer. If the message contains the intervals of its past
// ownership, the handover is complete and the peer is no longer considered an owner of any key.
func (c *Core) endInterval(p *peer, m Message) {
	if p.interval.Since < m.Until {
		p.interval.Until = min(p.interval.Until, m.Until)
	} else {
		p.interval = Span{forever, forever, nil}
	}
	if len(m.Spans) == 0 {
		return
	}
	spans := append(slices.Clone(m.Spans), p.earlierSpans...)
	if p.interval.Since < m.Spans[0].Since {
		spans = append(spans, Span{p.interval.Since, m.Spans[0].Since, nil})
	}
	for _, span := range spans {
		c.departed = append(c.departed, departed{p.hash, span})
	}
	p.earlierSpans, p.interval, p.intervalIncarnation = nil, Span{forever, forever, nil}, m.Incarnation
}

// acceptRecords adds records of a leaving peer to the registry and reports whether all fitted.
func (c *Core) acceptRecords(records []Record) bool {
	for _, rec := range records {
		if !c.registry.addTransferred(rec) {
			return false
		}
	}
	return true
}
