package placement

import "time"

// Hosts knows which hosts respond. The placer keeps no copy of that: a copy that misses a change, for
// example because the host has left the view, would exclude the host for good.
type Hosts interface {
	// Unreachable reports whether the daemon of a host does not respond, so that the instances of the host
	// are excluded. It is called while the placer is locked and must not call the placer.
	Unreachable(host string) bool
}

// SetHosts sets what knows which hosts respond.
func (p *Placer) SetHosts(hosts Hosts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// unreachable reports whether the daemon of a host does not respond.
func (p *Placer) unreachable(host string) bool { return p.hosts != nil && p.hosts.Unreachable(host) }

// HostRecovered ends the exclusion of a host's instances after failures, because the host responds again.
// Without this call they would be excluded for maxSuspectTime at most.
func (p *Placer) HostRecovered(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return
	}
	for i := range p.view.Instances {
		if inst := &p.view.Instances[i]; inst.Host() == host {
			s := p.stats[inst.ID]
			s.failuresInRow, s.excludedUntil = 0, time.Time{}
		}
	}
}
