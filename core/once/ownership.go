package once

import (
	"slices"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

const (
	skewMillis   = int64(Skew / time.Millisecond)
	windowMillis = int64(Window / time.Millisecond)
	// PauseGap is the time without a Tick after which the process counts as paused.
	PauseGap = time.Second
	// TickPeriod is the greatest time between two ticks that a runner leaves.
	TickPeriod = 250 * time.Millisecond
	// retryMillis is the first wait for an answer; it doubles up to maxRetryMillis.
	retryMillis, maxRetryMillis = 1000, 8000
)

// Config describes the daemon of a Core.
type Config struct {
	// Self is the instance; its Incarnation is the start of the process in Unix milliseconds.
	Self model.Instance
	// MaxKeys and MaxAnswerBytes bound the registry; 0 takes the defaults.
	MaxKeys, MaxAnswerBytes int
}

// phase is the progress of a core towards ownership.
type phase uint8

const (
	probing phase = iota
	asking
)

// Core is the ownership state machine and the registry of one daemon.
type Core struct {
	cfg         Config
	registry    *Registry
	self        uint64
	incarnation uint64
	revision    uint64
	listed      bool
	fresh       bool
	unreadable  bool
	peers       map[model.InstanceID]*peer
	gone        []gone
	// past are the intervals of this instance's earlier incarnations.
	past      []Span
	phase     phase
	confirmed bool
	leaving   bool
	since     int64
	until     int64
	// highest bounds the creation times of keys that this instance can have run.
	highest int64
	// minSince bounds the interval from below: keys that removed instances can have run.
	minSince int64
	lastTick time.Time
	paused   bool
}

// New returns a core that owns nothing.
func New(cfg Config, now time.Time) *Core {
	start := now.UnixMilli() + 2*skewMillis
	return &Core{
		cfg: cfg, registry: NewRegistry(cfg.MaxKeys, cfg.MaxAnswerBytes), self: hashID(cfg.Self.ID),
		incarnation: cfg.Self.Incarnation, peers: map[model.InstanceID]*peer{}, until: forever,
		highest: start, minSince: start, lastTick: now,
	}
}

// Registry returns the registry for its figures.
func (c *Core) Registry() *Registry { return c.registry }

// Confirmed reports whether the core owns keys.
func (c *Core) Confirmed() bool { return c.confirmed }

// NeedsFreshList reports whether the core waits for a list that was read from the platform after
// the start of the process.
func (c *Core) NeedsFreshList() bool { return !c.confirmed && !c.fresh && !c.leaving }

// FreshListFailed says that the platform cannot be read. A confirmed instance that acknowledges
// then vouches for the list.
func (c *Core) FreshListFailed(now time.Time) []Send {
	c.unreadable = true
	return c.advance(now)
}

// List takes a list of the service's instances.
func (c *Core) List(now time.Time, list List) []Send {
	if list.Revision < c.revision {
		return nil
	}
	c.revision = list.Revision
	c.fresh = c.fresh || list.Fresh
	present := map[model.InstanceID]bool{}
	for _, instance := range list.Instances {
		present[instance.ID] = true
		if instance.ID != c.cfg.Self.ID {
			c.addPeer(instance, instance.Incarnation, list.Revision)
		}
	}
	for _, p := range c.ordered() {
		if !present[p.instance.ID] && p.revision <= list.Revision {
			c.dropPeer(p, now.UnixMilli())
		}
	}
	c.setListed(now, present[c.cfg.Self.ID])
	return c.advance(now)
}

// setListed starts again, as if restarted, when the list no longer names this instance: others
// then treat it as stopped.
func (c *Core) setListed(now time.Time, listed bool) {
	if c.listed && !listed {
		if c.confirmed {
			c.past = append(c.past, Span{c.since, now.UnixMilli() + 2*skewMillis, nil})
		}
		c.confirmed, c.fresh = false, false
		c.incarnation++
		c.restart(now.UnixMilli())
		for _, p := range c.peers {
			p.open = Span{0, forever, nil}
		}
	}
	c.listed = listed
}

// restart begins a new round with a later interval.
func (c *Core) restart(now int64) {
	c.phase = probing
	c.minSince = max(c.minSince, now+2*skewMillis)
	for _, p := range c.peers {
		p.acked, p.ackConfirmed, p.probed, p.sent, p.backoff = false, false, false, 0, 0
	}
}

// Tick advances time: retries, expiry and the detection of a pause.
func (c *Core) Tick(now time.Time) []Send {
	c.notePause(now)
	c.registry.expire(now.UnixMilli())
	c.expireGone(now.UnixMilli())
	return c.advance(now)
}

func (c *Core) notePause(now time.Time) {
	if gap := now.Sub(c.lastTick); gap > PauseGap || gap < -PauseGap {
		c.paused = true
	}
	c.lastTick = now
}

// Checked ends the refusal after a pause: the daemon has compared its version and view with
// another source since the process woke up.
func (c *Core) Checked(now time.Time) {
	c.notePause(now)
	c.paused = false
}

// Paused reports whether the process has woken up and its view has not been checked since.
func (c *Core) Paused(now time.Time) bool {
	gap := now.Sub(c.lastTick)
	return c.paused || gap > PauseGap || gap < -PauseGap
}

// advance sends what the present phase needs.
func (c *Core) advance(now time.Time) []Send {
	millis := now.UnixMilli()
	switch {
	case c.leaving:
		return c.flush(millis)
	case c.confirmed || !c.listed:
		return nil
	}
	// A question with an older list revision would be forgotten by an instance whose list
	// shows the removal of this instance's predecessor only afterwards.
	if c.phase == probing && (c.fresh || c.unreadable) && c.all(func(p *peer) bool { return p.probed }) {
		c.phase = asking
		c.choose(millis)
	}
	if c.phase == asking && c.since < c.minSince {
		c.choose(millis)
	}
	if c.phase == asking && c.all(func(p *peer) bool { return p.acked }) && c.vouched() {
		c.confirm()
		return nil
	}
	return c.question(millis)
}

// choose sets a new start of the interval, which every peer has to acknowledge.
func (c *Core) choose(now int64) {
	c.since = max(c.minSince, now+2*skewMillis)
	for _, p := range c.peers {
		p.acked, p.ackConfirmed, p.sent, p.backoff = false, false, 0, 0
	}
}

// vouched reports whether the core can rely on knowing every owner.
func (c *Core) vouched() bool {
	if c.fresh {
		return true
	}
	return c.unreadable && c.remembered()
}

// remembered reports whether a confirmed instance has acknowledged, which remembers the intervals
// of all incarnations.
func (c *Core) remembered() bool {
	return !c.all(func(p *peer) bool { return !p.ackConfirmed })
}

func (c *Core) confirm() {
	c.confirmed = true
	if !c.remembered() {
		c.past = []Span{{0, c.since, nil}}
	}
}

func (c *Core) all(test func(*peer) bool) bool {
	for _, p := range c.peers {
		if !test(p) {
			return false
		}
	}
	return true
}

// question sends the open questions of the phase whose retry time has come.
func (c *Core) question(now int64) []Send {
	var out []Send
	var known uint64
	for _, p := range c.ordered() {
		if c.phase == probing && p.probed || c.phase == asking && p.acked || now < p.sent+p.backoff {
			continue
		}
		if known == 0 {
			known = c.known()
		}
		p.sent, p.backoff = now, min(maxRetryMillis, max(retryMillis, 2*p.backoff))
		m := Message{Kind: Probe, From: c.cfg.Self, Incarnation: c.incarnation, Revision: c.revision, Known: known}
		if c.phase == asking {
			m.Kind, m.Since = Ask, c.since
		}
		out = append(out, Send{p.instance, m})
	}
	return out
}

// Reply takes the answer to a sent message.
func (c *Core) Reply(now time.Time, sent Send, r Reply) []Send {
	p, ok := c.peers[sent.To.ID]
	if !ok {
		return nil
	}
	if r.Incarnation > p.incarnation {
		c.addPeer(p.instance, r.Incarnation, p.revision)
	}
	for _, n := range r.Neighbours {
		c.learn(n)
	}
	if sent.Message.Incarnation != c.incarnation || r.Incarnation < p.incarnation {
		return c.advance(now)
	}
	p.seen = r.Incarnation
	switch sent.Message.Kind {
	case Probe, Ask:
		if c.confirmed {
			return nil
		}
		p.probed = true
		c.minSince = max(c.minSince, r.Highest+1)
		if sent.Message.Kind == Ask && r.OK && r.Since == c.since {
			p.acked, p.ackConfirmed = true, r.Confirmed
			if r.Confirmed { // others only assume intervals
				c.past = append(c.past, r.Past...)
			}
		}
	case Release, HandOver:
		if r.OK && len(p.outbox) > 0 && sameMessage(p.outbox[0], sent.Message) {
			p.outbox, p.sent, p.backoff = p.outbox[1:], 0, 0
		}
	}
	return c.advance(now)
}

// learn takes an instance that another one knows, unless this core's list is newer and lacks it.
func (c *Core) learn(n Neighbour) {
	if n.Instance.ID == c.cfg.Self.ID {
		return
	}
	if _, known := c.peers[n.Instance.ID]; known || n.Revision > c.revision {
		c.addPeer(n.Instance, n.Incarnation, n.Revision)
	}
}

// Handle answers a message of another instance.
func (c *Core) Handle(now time.Time, m Message) (Reply, []Send) {
	r := Reply{Incarnation: c.incarnation, Confirmed: c.confirmed && !c.leaving, Since: m.Since, Highest: c.highest}
	if m.From.ID == c.cfg.Self.ID || m.From.Service != c.cfg.Self.Service {
		return r, nil
	}
	p, known := c.peers[m.From.ID]
	if !known && m.Revision > c.revision || known {
		p = c.addPeer(m.From, m.Incarnation, m.Revision)
	}
	if m.Known != 0 && c.known() != m.Known {
		r.Neighbours = c.neighbours()
	}
	if p == nil || m.Incarnation < p.incarnation {
		return r, c.advance(now)
	}
	switch m.Kind {
	case Ask:
		r.OK = m.Since > c.highest
		if r.OK {
			p.ask(m)
		}
	case Release:
		r.OK = true
		// A late release of an earlier incarnation must not end the interval that a later one holds
		// and that this core, which has started since, only assumes.
		if p.openBy == m.Incarnation || p.openBy == 0 && p.seen == m.Incarnation {
			c.release(p, m)
		}
	case HandOver:
		r.OK = c.takeOver(m.Records)
	}
	r.Past = slices.Clone(p.past)
	return r, c.advance(now)
}

// ask records the interval that an instance requests. From now on its keys are not run here.
func (p *peer) ask(m Message) {
	if p.openBy == m.Incarnation {
		p.open.Since = max(p.open.Since, m.Since) // nothing was owned before the confirmation
		return
	}
	if p.open.Since < m.Since {
		p.past = append(p.past, Span{p.open.Since, min(p.open.Until, m.Since), p.open.Heirs})
	}
	p.open, p.openBy = Span{m.Since, forever, nil}, m.Incarnation
}

// release ends the interval of a leaving instance. When the message carries what the instance
// leaves behind, others stop treating it as an owner at all.
func (c *Core) release(p *peer, m Message) {
	if p.open.Since < m.Until {
		p.open.Until = min(p.open.Until, m.Until)
	} else {
		p.open = Span{forever, forever, nil}
	}
	if len(m.Spans) == 0 {
		return
	}
	spans := append(slices.Clone(m.Spans), p.past...)
	if p.open.Since < m.Spans[0].Since {
		spans = append(spans, Span{p.open.Since, m.Spans[0].Since, nil})
	}
	for _, span := range spans {
		c.gone = append(c.gone, gone{p.hash, span})
	}
	p.past, p.open, p.openBy = nil, Span{forever, forever, nil}, m.Incarnation
}

func (c *Core) takeOver(records []Record) bool {
	for _, rec := range records {
		if !c.registry.accept(rec) {
			return false
		}
	}
	return true
}
