package dissemination

import (
	"slices"
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
	// replayAge, maxReplay and replayBytes bound what a new tree neighbour gets of earlier
	// messages, so that reports reach daemons that were away or behind a partition.
	replayAge   = 10 * time.Minute
	maxReplay   = 32
	replayBytes = 8 << 10
)

// floods distributes published messages.
type floods struct {
	seen   ring[uint64]
	queue  []queuedFlood
	recent []recentFlood
	tokens float64 // bytes
	at     time.Time
}

// queuedFlood goes to one peer if only is set, otherwise to all but one.
type queuedFlood struct {
	message      flood
	only, except model.InstanceID
}

type recentFlood struct {
	message flood
	at      time.Time
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
	f := &c.floods
	if len(f.recent) == maxReplay {
		f.recent = slices.Delete(f.recent, 0, 1)
	}
	f.recent = append(f.recent, recentFlood{message: m, at: c.now})
	if len(f.queue) < maxFloods {
		f.queue = append(f.queue, queuedFlood{message: m, except: except})
	}
}

// replay queues the latest messages for a new tree neighbour.
func (c *Core) replay(l *link) {
	f, size := &c.floods, 0
	for i := len(f.recent) - 1; i >= 0 && len(f.queue) < maxFloods/2; i-- {
		r := f.recent[i]
		size += len(r.message.Data)
		if size > replayBytes || c.now.Sub(r.at) > replayAge {
			return
		}
		f.queue = append(f.queue, queuedFlood{message: r.message, only: l.peer})
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
			if l.peer != q.except && (q.only == "" || q.only == l.peer) && (l.sub == modeEager || l.want == modeEager) {
				c.emit(Send{Peer: l.peer, Data: frame})
				f.tokens -= float64(len(frame))
			}
		}
	}
}
