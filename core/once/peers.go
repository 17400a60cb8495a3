package once

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangoshed.example/mangoshed/core/model"
)

// peer is another instance of the service.
type peer struct {
	instance    model.Instance
	hash        uint64
	incarnation uint64
	revision    uint64
	// open is the start of the interval that the current incarnation asked for, with its end;
	// forever as start means that it has none.
	open Span
	// openBy is the incarnation that asked for open, 0 when open is only assumed.
	openBy uint64
	// seen is the incarnation that has answered a question of this core.
	seen uint64
	// past are intervals of earlier incarnations. The instance answers for them.
	past []Span
	// acked and probed are the answers to this core's own questions in the current round.
	acked, probed, ackConfirmed bool
	sent                        int64
	backoff                     int64
	// outbox holds what a leaving core still has to hand over, in order.
	outbox []Message
}

func (p *peer) owns(created int64) bool {
	return p.open.contains(created) || slices.ContainsFunc(p.past, func(s Span) bool { return s.contains(created) })
}

// gone is the interval of an instance that was removed from the list or has released it.
type gone struct {
	hash uint64
	span Span
}

// addPeer adds an instance or refreshes what is known of it. A core that is not confirmed
// assumes that others own keys of any time; a confirmed one has acknowledged every owner.
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
		if p.acked || p.probed { // an open question stays open
			p.sent, p.backoff = 0, 0
		}
		p.acked, p.ackConfirmed, p.probed = false, false, false
		p.instance = instance
	}
	return p
}

// dropPeer moves the intervals of a removed instance to gone. The instance can have run keys
// created up to its stop, which was before its removal, by clocks that differ.
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

// expireGone forgets intervals whose keys are all too old to be sent again.
func (c *Core) expireGone(now int64) {
	c.gone = slices.DeleteFunc(c.gone, func(g gone) bool { return g.span.Until < now-keepMillis })
}

// known hashes the instances and incarnations that the core knows, itself included.
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

// ordered returns the peers by ID, so that the order of actions does not depend on the map.
func (c *Core) ordered() []*peer {
	out := make([]*peer, 0, len(c.peers))
	for _, p := range c.peers {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return out
}
