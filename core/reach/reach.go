// Package reach detects which hosts of other daemons are unreachable, and whether this daemon
// itself is isolated from all of them by a network partition.
//
// A request without a response makes a host suspect; a suspect host stays in use and is probed at
// once. If the probe fails, the host is unreachable and no longer used. It is probed again with
// growing pauses until it responds to a probe or sends a request of its own. A partition
// therefore costs each daemon one request per host that it can no longer reach, and a lost
// packet makes a live host suspect for a few milliseconds only.
//
// Monitor is a state machine without a clock: callers pass the time. It is not safe for
// concurrent use.
package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// initialPause and maxPause bound the pause between probes of an unreachable host, which
	// doubles after each failed probe. Each pause is drawn from half to one and a half times its
	// value, so that after a partition a host is probed within maxPause plus this jitter.
	initialPause = 200 * time.Millisecond
	maxPause     = time.Second
	// isolatedAfter is the time without traffic from any other host after which this daemon may
	// count as isolated. A busy daemon receives about ten responses in that time, and it is
	// longer than the retransmission of a lost packet takes.
	isolatedAfter = 600 * time.Millisecond
	// minUnreachable is the minimum number of unreachable hosts at which this daemon counts as
	// isolated; in a smaller fleet, all hosts have to be unreachable.
	minUnreachable = 3
	// maxProbes is the maximum number of probes that one call of DueProbes starts.
	maxProbes = 8
)

// hostState is the state of a suspect or unreachable host.
type hostState struct {
	// unreachable is set when a probe has failed; before that, the host is only suspect.
	unreachable bool
	// probing is set while a probe is in flight.
	probing bool
	// pause is the current pause between probes, and due the time of the next probe.
	pause time.Duration
	due   time.Time
	// since is the time at which the host became unreachable, and cause the error of its last probe.
	since time.Time
	cause string
}

// Exclusion describes an unreachable host.
type Exclusion struct {
	Host string
	// Since is the time at which the host became unreachable.
	Since time.Time
	// Cause is the error of the last probe.
	Cause string
}

// Monitor tracks the reachability of all hosts of the fleet.
type Monitor struct {
	random *rand.Rand
	// suspected contains the suspect and unreachable hosts; all other hosts count as reachable.
	suspected map[string]*hostState
	known     map[string]bool
	// lastTraffic is the time of the last traffic from any other host.
	lastTraffic time.Time
}

// New returns a monitor without hosts. The seed determines the jitter of the probes.
func New(now time.Time, seed uint64) *Monitor {
	return &Monitor{random: rand.New(rand.NewPCG(seed, seed)), suspected: make(map[string]*hostState), known: make(map[string]bool), lastTraffic: now}
}

// SetHosts sets the hosts of the fleet except the own one, and drops the state of hosts that are
// no longer in it. It returns those of them that were unreachable.
func (m *Monitor) SetHosts(hosts []string) (forgotten []Exclusion) {
	m.known = make(map[string]bool, len(hosts))
	for _, name := range hosts {
		m.known[name] = true
	}
	for name, h := range m.suspected {
		if m.known[name] {
			continue
		}
		if h.unreachable {
			forgotten = append(forgotten, h.exclusion(name))
		}
		delete(m.suspected, name)
	}
	return forgotten
}

// RequestFailed records that a request to a host got no response.
func (m *Monitor) RequestFailed(now time.Time, name string) {
	if m.known[name] && m.suspected[name] == nil {
		m.suspected[name] = &hostState{due: now}
	}
}

// MarkAlive records traffic from a host: a response, or a request that the host sent. It reports
// whether the host counted as unreachable until now.
func (m *Monitor) MarkAlive(now time.Time, name string) (recovered bool) {
	if !m.known[name] {
		return false
	}
	if now.Sub(m.lastTraffic) >= isolatedAfter {
		// The partition has probably ended, so the other hosts are probed at once.
		for _, h := range m.suspected {
			h.due, h.pause = now, 0
		}
	}
	m.lastTraffic = now
	h := m.suspected[name]
	delete(m.suspected, name)
	return h != nil && h.unreachable
}

// DueProbes returns the hosts to probe now. The caller reports the result of each probe with
// MarkAlive or ProbeFailed.
func (m *Monitor) DueProbes(now time.Time) []string {
	var due []string
	for name, h := range m.suspected { // in random order
		if len(due) == maxProbes {
			break
		}
		if !h.probing && !now.Before(h.due) {
			h.probing = true
			due = append(due, name)
		}
	}
	return due
}

// ProbeFailed records that a probe got no response, and why. It reports whether the host was only suspect
// and is unreachable from now on.
func (m *Monitor) ProbeFailed(now time.Time, name, cause string) (becameUnreachable bool) {
	h := m.suspected[name]
	if h == nil {
		return false // recovered during the probe, or no longer in the fleet
	}
	becameUnreachable = !h.unreachable
	if becameUnreachable {
		h.since = now
	}
	h.unreachable, h.probing, h.cause = true, false, cause
	h.pause = min(max(2*h.pause, initialPause), maxPause)
	h.due = now.Add(h.pause/2 + time.Duration(m.random.Int64N(int64(h.pause))))
	return becameUnreachable
}

// Unreachable reports whether a host is unreachable and must not be used.
func (m *Monitor) Unreachable(name string) bool {
	h := m.suspected[name]
	return h != nil && h.unreachable
}

// Exclusion describes a host if it is unreachable.
func (m *Monitor) Exclusion(name string) (Exclusion, bool) {
	h := m.suspected[name]
	if h == nil || !h.unreachable {
		return Exclusion{}, false
	}
	return h.exclusion(name), true
}

// Exclusions describes all unreachable hosts. Those that became unreachable first come first.
func (m *Monitor) Exclusions() []Exclusion {
	var list []Exclusion
	for name, h := range m.suspected {
		if h.unreachable {
			list = append(list, h.exclusion(name))
		}
	}
	slices.SortFunc(list, func(a, b Exclusion) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Host, b.Host)) })
	return list
}

func (h *hostState) exclusion(name string) Exclusion {
	return Exclusion{Host: name, Since: h.since, Cause: h.cause}
}

// UnreachableCount returns the number of unreachable hosts.
func (m *Monitor) UnreachableCount() int {
	n := 0
	for _, h := range m.suspected {
		if h.unreachable {
			n++
		}
	}
	return n
}

// Isolated reports whether this daemon is isolated from the fleet: several hosts are unreachable
// and there was no recent traffic from any other host.
func (m *Monitor) Isolated(now time.Time) bool {
	return now.Sub(m.lastTraffic) >= isolatedAfter && m.UnreachableCount() >= min(minUnreachable, len(m.known)) && len(m.known) > 0
}
