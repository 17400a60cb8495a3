package quarantine

import "time"

// GossipTerm is how long a daemon includes a new entry in its messages to other daemons.
const GossipTerm = 20 * time.Second

// Gossip selects the entries of a daemon's messages to the others. Blocked fingerprints go first,
// because a daemon that does not know one lets the request run; the entries of a kind take turns.
// It is not safe for concurrent use.
type Gossip struct {
	pending map[Fingerprint]pendingEntry
	blocked rotation
	other   rotation
}

// pendingEntry is an entry that other daemons may not have, and the end of its time in messages.
type pendingEntry struct {
	entry Entry
	until time.Time
}

// NewGossip returns a gossip without entries.
func NewGossip() *Gossip { return &Gossip{pending: make(map[Fingerprint]pendingEntry)} }

// Add adds entries that other daemons may not have, as far as there is room.
func (g *Gossip) Add(now time.Time, report []Entry) {
	for _, e := range report {
		old, known := g.pending[e.Fingerprint]
		if !known && len(g.pending) >= MaxEntries {
			continue
		}
		g.pending[e.Fingerprint] = pendingEntry{e, now.Add(GossipTerm)}
		switch {
		case e.State == Blocked && (!known || old.entry.State != Blocked):
			g.blocked.add(e.Fingerprint)
		case e.State != Blocked && (!known || old.entry.State == Blocked):
			g.other.add(e.Fingerprint)
		}
	}
}

// Next returns at most n entries for a message.
func (g *Gossip) Next(now time.Time, n int) []Entry {
	if len(g.pending) == 0 {
		return nil
	}
	out := g.take(now, &g.blocked, n, nil, func(s State) bool { return s == Blocked })
	return g.take(now, &g.other, n, out, func(s State) bool { return s != Blocked })
}

// take appends entries of a rotation to out until it has n, and drops those whose time is over or
// whose state belongs to the other rotation.
func (g *Gossip) take(now time.Time, r *rotation, n int, out []Entry, belongs func(State) bool) []Entry {
	for left := len(r.turns); left > 0 && len(out) < n; left-- {
		f := r.next()
		p, known := g.pending[f]
		if known && !now.Before(p.until) {
			delete(g.pending, f)
			known = false
		}
		if !known || !belongs(p.entry.State) {
			continue
		}
		r.add(f)
		e := p.entry
		if e.RemainingMillis > 0 {
			e.RemainingMillis = max(1, e.RemainingMillis-(GossipTerm-p.until.Sub(now)).Milliseconds())
		}
		out = append(out, e)
	}
	return out
}

// rotation is a queue of fingerprints that take turns.
type rotation struct{ turns []Fingerprint }

func (r *rotation) add(f Fingerprint) { r.turns = append(r.turns, f) }

// next removes the first fingerprint and returns it. The queue must not be empty.
func (r *rotation) next() Fingerprint {
	f := r.turns[0]
	r.turns = r.turns[1:]
	return f
}
