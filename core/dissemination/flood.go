package dissemination

import (
	"time"

	"mangoshed.example/mangoshed/core/model"
)

const (
	// MaxPublish bounds the data of a Publish event, in bytes.
	MaxPublish = 4 << 10
	// floodRate and floodBurst bound the bytes that a daemon sends for published
	// messages, over all links: half of the control overhead of 2 KB/s.
	floodRate  = 1 << 10 // bytes per second
	floodBurst = 64 << 10
	// maxFloods bounds the messages that wait for the budget.
	maxFloods = 64
)

// floods distributes published messages.
type floods struct {
	seen   ring[uint64]
	queue  []queuedFlood
	tokens float64 // bytes
	at     time.Time
}

type queuedFlood struct {
	message flood
	except  model.InstanceID
}

// onPublish floods a message of this daemon. One that exceeds MaxPublish is dropped.
func (c *Core) onPublish(ev Publish) {
	if len(ev.Data) > MaxPublish || !validName(ev.Topic) {
		return
	}
	m := flood{Origin: c.self.ID, ID: c.rng.Uint64(), Topic: ev.Topic, Data: ev.Data}
	c.floods.seen.add(m.ID)
	c.queueFlood(m, "")
}

func (c *Core) onFlood(l *link, m flood) {
	if !c.floods.seen.add(m.ID) {
		return
	}
	c.emit(Deliver{Topic: m.Topic, Data: m.Data, From: m.Origin})
	c.queueFlood(m, l.peer)
}

func (c *Core) queueFlood(m flood, except model.InstanceID) {
	if len(c.floods.queue) < maxFloods {
		c.floods.queue = append(c.floods.queue, queuedFlood{message: m, except: except})
	}
}

// advanceFloods sends waiting messages to the tree neighbours as the budget allows.
func (c *Core) advanceFloods() {
	f := &c.floods
	if f.at.IsZero() {
		f.tokens = floodBurst
	} else {
		f.tokens = min(floodBurst, f.tokens+c.now.Sub(f.at).Seconds()*floodRate)
	}
	f.at = c.now
	for len(f.queue) > 0 && f.tokens > 0 {
		q := f.queue[0]
		f.queue = f.queue[1:]
		frame := encode(q.message)
		for _, l := range c.links {
			if l.peer != q.except && (l.sub == modeEager || l.want == modeEager) {
				c.emit(Send{Peer: l.peer, Data: frame})
				f.tokens -= float64(len(frame))
			}
		}
	}
}
