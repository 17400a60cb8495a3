package once

import (
	"slices"
	"time"
)

// maxPageBytes is the maximum size of the records in one HandOver message.
const maxPageBytes = 256 << 10

// Leave starts a graceful shutdown. This instance immediately stops owning keys newer than those it
// has run, so that its successors own them while it drains.
func (c *Core) Leave(now time.Time) []Send {
	if c.leaving {
		return nil
	}
	c.leaving = true
	if !c.confirmed {
		return nil
	}
	c.until = max(c.since, c.maxCreated+1)
	for _, p := range c.peers {
		p.lastSent, p.backoff = 0, 0
		p.outbox = []Message{c.releaseMessage(nil)}
	}
	return c.advance(now)
}

// releaseMessage returns a Release of this instance. Non-empty spans complete the handover.
func (c *Core) releaseMessage(spans []Span) Message {
	return Message{Kind: Release, From: c.cfg.Self, Incarnation: c.incarnation, Revision: c.revision, Until: c.until, Spans: spans}
}

// HandOverRecords sends each record to the first other instance in the rendezvous order of its key.
// It does nothing while a request is still running.
func (c *Core) HandOverRecords(now time.Time) []Send {
	if !c.leaving || !c.confirmed || c.registry.running > 0 {
		return nil
	}
	c.confirmed = false // Begin must not add a key once the records are copied
	heirs := make([]uint64, 0, len(c.peers))
	for _, p := range c.sortedPeers() {
		heirs = append(heirs, p.hash)
	}
	pages := map[uint64][][]Record{}
	sizes := map[uint64]int{}
	for _, rec := range c.registry.records {
		if rec.Created < now.UnixMilli()-retentionMillis || len(heirs) == 0 {
			continue
		}
		heir := slices.MaxFunc(heirs, func(a, b uint64) int {
			if precedes(rec.hash, a, b) {
				return 1
			}
			return -1
		})
		size := len(rec.Answer) + 32
		if len(pages[heir]) == 0 || sizes[heir]+size > maxPageBytes {
			pages[heir], sizes[heir] = append(pages[heir], nil), 0
		}
		last := len(pages[heir]) - 1
		pages[heir][last] = append(pages[heir][last], *rec)
		sizes[heir] += size
	}
	spans := append([]Span{{c.since, c.until, heirs}}, c.earlierSpans...)
	for _, p := range c.peers {
		for _, page := range pages[p.hash] {
			p.outbox = append(p.outbox, Message{Kind: HandOver, From: c.cfg.Self, Incarnation: c.incarnation, Revision: c.revision, Records: page})
		}
		p.outbox = append(p.outbox, c.releaseMessage(spans))
	}
	return c.advance(now)
}

// HandedOver reports whether every other instance has acknowledged all messages of the handover.
func (c *Core) HandedOver() bool {
	return c.leaving && !c.confirmed && c.allPeers(func(p *peer) bool { return len(p.outbox) == 0 })
}

// flush returns the first message of every outbox that is due for an attempt or a retry.
func (c *Core) flush(now int64) []Send {
	var out []Send
	for _, p := range c.sortedPeers() {
		if len(p.outbox) == 0 || now < p.lastSent+p.backoff {
			continue
		}
		p.lastSent, p.backoff = now, min(maxRetryMillis, max(retryMillis, 2*p.backoff))
		out = append(out, Send{p.instance, p.outbox[0]})
	}
	return out
}

// sameMessage reports whether b, a message that was acknowledged, is the outbox message a.
func sameMessage(a, b Message) bool {
	return a.Kind == b.Kind && len(a.Spans) == len(b.Spans) && len(a.Records) == len(b.Records) &&
		(len(a.Records) == 0 || a.Records[0].ID == b.Records[0].ID)
}
