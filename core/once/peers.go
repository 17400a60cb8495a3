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
	// open is the interval that the current incarnation requested. Since is forever if it has none.
	open Span
	// openBy is the incarnation that requested open, or 0 if open is only assumed.
	openBy uint64
	// seen is the incarnation that sent the latest reply.
	seen uint64
	// past are the intervals of earlier incarnations. Their keys are still owned by the peer.
	past []Span
	// probed and acked record the peer's replies to Probe and Acquire in the current round;
	// ackConfirmed is set if the peer was confirmed as an owner when it acknowledged.
	acked, probed, ackConfirmed bool
	sent                        int64
	backoff                     int64
	// outbox holds the handover messages that the peer has not acknowledged, in order.
	outbox []Message
}

func (p *peer) owns(created int64) bool {
	return p.open.contains(created) || slices.ContainsFunc(p.past, func(s Span) bool { return s.contains(created) })
}

// gone is an interval of an instance that was removed from the list or has released the interval.
type gone struct {
	hash uint64
	span Span
}

// addPeer adds an instance or updates its state. An unconfirmed Core assumes that a new peer owns
// keys of any creation time. A confirmed Core has acknowledged the interval of every owner.
func (c *Core) addPeer(instance model.Instance, incarnation, revision uint64) *peer {
	p, known := c.peers[instance.ID]
	if !known {
		p = &peer{instance: instance, hash: hashID(instance.ID), open: Span{forever, forever, nil}}
		if !c.confirmed {
			p.open = Span{0, forever, nil}
		}
		c.peers[instance.ID] = p
	}
	p.revision = max(p.revision, revision)
	if incarnation > p.incarnation {
		p.incarnation = incarnation
		if p.acked || p.probed { // send a message again without delay; one without a reply keeps its retry time
			p.sent, p.backoff = 0, 0
		}
		p.acked, p.ackConfirmed, p.probed = false, false, false
		p.instance = instance
	}
	return p
}

// dropPeer removes an instance and keeps its intervals in gone. The instance stopped before its
// removal. It may have run keys created up to then according to clocks that differ from this one.
func (c *Core) dropPeer(p *peer, now int64) {
	end := now + 2*skewMillis
	spans := p.past
	if p.open.Since < end {
		spans = append(spans, Span{p.open.Since, min(p.open.Until, end), nil})
	}
	for _, span := range spans {
		c.gone = append(c.gone, gone{p.hash, span})
	}
	delete(c.peers, p.instance.ID)
	c.minSince = max(c.minSince, end)
}

// expireGone deletes the intervals of removed instances whose keys have all expired.
func (c *Core) expireGone(now int64) {
	c.gone = slices.DeleteFunc(c.gone, func(g gone) bool { return g.span.Until < now-keepMillis })
}

// known returns a hash of the known instances and incarnations, including this one.
func (c *Core) known() uint64 {
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
	for _, p := range c.ordered() {
		out = append(out, Neighbour{p.instance, p.incarnation, p.revision})
	}
	return out
}

// ordered returns the peers sorted by ID, so that the order of actions does not depend on the map.
func (c *Core) ordered() []*peer {
	out := make([]*peer, 0, len(c.peers))
	for _, p := range c.peers {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return out
}
