package once

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangoshed.example/mangoshed/core/model"
)

// peer is the known state of another instance of the service.
type peer struct {
	instance    model.Instance
	hash        uint64
	incarnation uint64
	revision    uint64
	// interval is the interval that the current incarnation requested. Since is forever if it has
	// none.
	interval Span
	// intervalIncarnation is the incarnation that requested interval, or 0 if interval is only
	// assumed.
	intervalIncarnation uint64
	// repliedIncarnation is the incarnation that sent the latest reply.
	repliedIncarnation uint64
	// earlierSpans are the intervals of earlier incarnations. Their keys are still owned by the peer.
	earlierSpans []Span
	// probed and acked record the peer's replies to Probe and Acquire in the current round;
	// ackConfirmed is set if the peer was confirmed as an owner when it acknowledged.
	acked, probed, ackConfirmed bool
	lastSent                    int64
	backoff                     int64
	// outbox holds the handover messages that the peer has not acknowledged, in order.
	outbox []Message
}

func (p *peer) owns(created int64) bool {
	return p.interval.contains(created) || slices.ContainsFunc(p.earlierSpans, func(s Span) bool { return s.contains(created) })
}

// departed is an interval of an instance that was removed from the list or has released the interval.
type departed struct {
	hash uint64
	span Span
}

// addPeer adds an instance or updates its state. An unconfirmed Core assumes that a new peer owns
// keys of any creation time. A confirmed Core has acknowledged the interval of every owner.
func (c *Core) addPeer(instance model.Instance, incarnation, revision uint64) *peer {
	p, known := c.peers[instance.ID]
	if !known {
		p = &peer{instance: instance, hash: hashID(instance.ID), interval: Span{forever, forever, nil}}
		if !c.confirmed {
			p.interval = Span{0, forever, nil}
		}
		c.peers[instance.ID] = p
	}
	p.revision = max(p.revision, revision)
	if incarnation > p.incarnation {
		p.incarnation = incarnation
		if p.acked || p.probed { // send a message again without delay; one without a reply keeps its retry time
			p.lastSent, p.backoff = 0, 0
		}
		p.acked, p.ackConfirmed, p.probed = false, false, false
		p.instance = instance
	}
	return p
}

// removePeer removes an instance and keeps its intervals in departed. The instance stopped before its
// removal. It may have run keys created up to then according to clocks that differ from this one.
func (c *Core) removePeer(p *peer, now int64) {
	end := now + 2*maxSkewMillis
	spans := p.earlierSpans
	if p.interval.Since < end {
		spans = append(spans, Span{p.interval.Since, min(p.interval.Until, end), nil})
	}
	for _, span := range spans {
		c.departed = append(c.departed, departed{p.hash, span})
	}
	delete(c.peers, p.instance.ID)
	c.minSince = max(c.minSince, end)
}

// expireDeparted deletes the intervals of removed instances whose keys have all expired.
func (c *Core) expireDeparted(now int64) {
	c.departed = slices.DeleteFunc(c.departed, func(g departed) bool { return g.span.Until < now-retentionMillis })
}

// knownHash returns a hash of the known instances and incarnations, including this one.
func (c *Core) knownHash() uint64 {
	var sum uint64
	add := func(id model.InstanceID, incarnation uint64) {
		var buf [16]byte
		binary.LittleEndian.PutUint64(buf[:], hashID(id))
		binary.LittleEndian.PutUint64(buf[8:], incarnation)
		sum ^= xxhash.Sum64(buf[:])
	}
	add(c.cfg.Self.ID, c.incarnation)
	for id, p := range c.peers {
		add(id, p.incarnation)
	}
	return sum
}

func (c *Core) neighbours() []Neighbour {
	out := make([]Neighbour, 0, len(c.peers))
	for _, p := range c.sortedPeers() {
		out = append(out, Neighbour{p.instance, p.incarnation, p.revision})
	}
	return out
}

// sortedPeers returns the peers sorted by ID, so that the order of actions does not depend on the
// map.
func (c *Core) sortedPeers() []*peer {
	out := make([]*peer, 0, len(c.peers))
	for _, p := range c.peers {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return out
}
