// Package reach decides which other daemons can be reached, and whether this daemon itself is
// cut off from all of them.
//
// A request that gets no answer makes a host suspect; a probe then decides. A host that does
// not answer the probe is left out, and probed again at growing intervals, until it answers or
// is heard from. That way a partition costs each daemon one request for each host that it cut
// off, and a lost packet costs a live host a few milliseconds.
//
// Monitor is a state machine: it takes the time as an argument and is not safe for concurrent use.
package reach

import (
	"math/rand/v2"
	"time"
)

const (
	// firstPause and maxPause bound the time between probes of a host that does not answer,
	// doubling from one to the other. A partition that has healed is noticed within maxPause.
	firstPause = 200 * time.Millisecond
	maxPause   = time.Second
	// isolatedAfter is the time without a sign of any other host after which the daemon counts
	// as cut off: some ten answers of a busy daemon, and more than a lost packet takes to be
	// sent again.
	isolatedAfter = 600 * time.Millisecond
	// isolatedHosts is the number of hosts that have to be unreachable for that.
	isolatedHosts = 3
	// maxDue bounds the probes that are asked for at once.
	maxDue = 8
)

// host is one host that is not known to be reachable.
type host struct {
	// unreachable says that a probe has failed; until then the host is only suspect.
	unreachable bool
	probing     bool
	pause       time.Duration
	due         time.Time
}

// Monitor keeps the state of all hosts.
type Monitor struct {
	random *rand.Rand
	// troubled holds the hosts that are suspect or unreachable; all others are taken to be reachable.
	troubled map[string]*host
	known    map[string]bool
	// heard is the time of the last sign of any other host.
	heard time.Time
}

// New returns a monitor without hosts. Equal seeds make equal choices.
func New(now time.Time, seed uint64) *Monitor {
	return &Monitor{random: rand.New(rand.NewPCG(seed, seed)), troubled: make(map[string]*host), known: make(map[string]bool), heard: now}
}

// SetHosts names the hosts of the fleet without the own one. What is known of others is dropped.
func (m *Monitor) SetHosts(hosts []string) {
	m.known = make(map[string]bool, len(hosts))
	for _, name := range hosts {
		m.known[name] = true
	}
	for name := range m.troubled {
		if !m.known[name] {
			delete(m.troubled, name)
		}
	}
}

// Failed takes a request that got no answer from a host.
func (m *Monitor) Failed(now time.Time, name string) {
	if m.known[name] && m.troubled[name] == nil {
		m.troubled[name] = &host{due: now}
	}
}

// Heard takes a sign of a host: an answer, or a request of its own. It reports whether the host
// was taken to be unreachable.
func (m *Monitor) Heard(now time.Time, name string) (back bool) {
	if !m.known[name] {
		return false
	}
	if now.Sub(m.heard) >= isolatedAfter {
		// The way to the others is probably open again as well.
		for _, h := range m.troubled {
			h.due, h.pause = now, 0
		}
	}
	m.heard = now
	h := m.troubled[name]
	delete(m.troubled, name)
	return h != nil && h.unreachable
}

// Due returns hosts to probe now. Each has to be answered by Heard or Silent.
func (m *Monitor) Due(now time.Time) []string {
	var due []string
	for name, h := range m.troubled { // in random order
		if len(due) == maxDue {
			break
		}
		if !h.probing && !now.Before(h.due) {
			h.probing = true
			due = append(due, name)
		}
	}
	return due
}

// Silent takes a probe without an answer. It reports whether the host has become unreachable.
func (m *Monitor) Silent(now time.Time, name string) (lost bool) {
	h := m.troubled[name]
	if h == nil {
		return false // heard from meanwhile, or gone
	}
	lost = !h.unreachable
	h.unreachable, h.probing = true, false
	h.pause = min(max(2*h.pause, firstPause), maxPause)
	h.due = now.Add(h.pause/2 + time.Duration(m.random.Int64N(int64(h.pause))))
	return lost
}

// Unreachable reports whether a host is to be left out.
func (m *Monitor) Unreachable(name string) bool {
	h := m.troubled[name]
	return h != nil && h.unreachable
}

// Count returns the number of unreachable hosts.
func (m *Monitor) Count() int {
	n := 0
	for _, h := range m.troubled {
		if h.unreachable {
			n++
		}
	}
	return n
}

// Isolated reports whether the daemon is cut off: several hosts do not answer, and no other one
// gives a sign.
func (m *Monitor) Isolated(now time.Time) bool {
	return now.Sub(m.heard) >= isolatedAfter && m.Count() >= min(isolatedHosts, len(m.known)) && len(m.known) > 0
}
