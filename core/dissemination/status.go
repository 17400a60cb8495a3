package dissemination

import (
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/topology"
)

// Status is a summary of a Core for metrics and operators.
type Status struct {
	Version model.Version
	Digest  model.Digest
	// Revision is the revision of the instance list.
	Revision uint64
	Plan     topology.Plan
	// Parent is the eager parent, empty while there is none.
	Parent model.InstanceID
	// ActsAsEntry says that the spare entry stands in for the entry.
	ActsAsEntry bool
	// Subscribers and Links count established links.
	Subscribers, Links int
	// Heartbeat is the last heartbeat of the readers.
	Heartbeat    uint64
	Ready, Stale bool
}

// Status returns the current summary.
func (c *Core) Status() Status {
	s := Status{
		Revision: c.members.table.Revision(), Plan: c.plan, ActsAsEntry: c.actsAsEntry(),
		Subscribers: c.subscribers(), Links: len(c.links), Heartbeat: c.heartbeat, Ready: c.ready, Stale: c.recheck.active,
	}
	if held := c.history.held(); held != nil {
		s.Version, s.Digest = held.Version(), held.Digest()
	}
	if c.eager != nil {
		s.Parent = c.eager.peer
	}
	return s
}
