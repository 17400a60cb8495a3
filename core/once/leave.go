package once

import (
	"slices"
	"time"
)

// pageBytes bounds the records of one HandOver message.
const pageBytes = 256 << 10

// Leave gives up newer keys at once, so that successors own them while this instance drains.
func (c *Core) Leave(now time.Time) []Send {
	if c.leaving {
		return nil
	}
	c.leaving = true
	if !c.confirmed {
		return nil
	}
	c.until = max(c.since, c.highest+1)
	for _, p := range c.peers {
		p.sent, p.backoff = 0, 0
		p.outbox = []Message{c.releaseMessage(nil)}
	}
	return c.advance(now)
}

func (c *Core) releaseMessage(spans []Span) Message {
	return Message{Kind: Release, From: c.cfg.Self, Incarnation: c.incarnation, Revision: c.revision, Until: c.until, Spans: spans}
}

// HandRecords hands the records over after all runs have finished: each record to the first
// other instance in the order of its key. It does nothing while a run is open.
func (c *Core) HandRecords(now time.Time) []Send {
	if !c.leaving || !c.confirmed || c.registry.running > 0 {
		return nil
	}
	c.confirmed = false // no Begin after the records are copied
	heirs := make([]uint64, 0, len(c.peers))
	for _, p := range c.ordered() {
		heirs = append(heirs, p.hash)
	}
	pages := map[uint64][][]Record{}
	sizes := map[uint64]int{}
	for _, rec := range c.registry.records {
		if rec.Created < now.UnixMilli()-keepMillis || len(heirs) == 0 {
			continue
		}
		heir := slices.MaxFunc(heirs, func(a, b uint64) int {
			if precedes(rec.hash, a, b) {
				return 1
			}
			return -1
		})
		size := len(rec.Answer) + 32
		if len(pages[heir]) == 0 || sizes[heir]+size > pageBytes {
			pages[heir], sizes[heir] = append(pages[heir], nil), 0
		}
		last := len(pages[heir]) - 1
		pages[heir][last] = append(pages[heir][last], *rec)
		sizes[heir] += size
	}
	spans := append([]Span{{c.since, c.until, heirs}}, c.past...)
	for _, p := range c.peers {
		for _, page := range pages[p.hash] {
			p.outbox = append(p.outbox, Message{Kind: HandOver, From: c.cfg.Self, Incarnation: c.incarnation, Revision: c.revision, Records: page})
		}
		p.outbox = append(p.outbox, c.releaseMessage(spans))
	}
	return c.advance(now)
}

// HandedOver reports whether every other instance has taken everything.
func (c *Core) HandedOver() bool {
	return c.leaving && !c.confirmed && c.all(func(p *peer) bool { return len(p.outbox) == 0 })
}

// flush sends the first message of every outbox whose retry time has come.
func (c *Core) flush(now int64) []Send {
	var out []Send
	for _, p := range c.ordered() {
		if len(p.outbox) == 0 || now < p.sent+p.backoff {
			continue
		}
		p.sent, p.backoff = now, min(maxRetryMillis, max(retryMillis, 2*p.backoff))
		out = append(out, Send{p.instance, p.outbox[0]})
	}
	return out
}

func sameMessage(a, b Message) bool {
	return a.Kind == b.Kind && len(a.Spans) == len(b.Spans) && len(a.Records) == len(b.Records) &&
		(len(a.Records) == 0 || a.Records[0].ID == b.Records[0].ID)
}
