package distribution

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/topology"
)

// Role describes the daemon's place in the distribution tree.
type Role string

// Roles, from the store outwards. A daemon with several roles shows the first.
const (
	RoleReader     Role = "reader"
	RoleEntry      Role = "entry"
	RoleSpareEntry Role = "spare_entry"
	RoleRelay      Role = "relay"
	RoleSpareRelay Role = "spare_relay"
	RoleMember     Role = "member"
	RoleNone       Role = "none" // not in the instance list yet
)

// Roles returns all roles.
func Roles() []Role {
	return []Role{RoleReader, RoleEntry, RoleSpareEntry, RoleRelay, RoleSpareRelay, RoleMember, RoleNone}
}

// roleInterval bounds the processor time for the role, which takes about 1 ms at the
// design size, while instances come and go.
const roleInterval = time.Second

// roles is the role that follows from a view.
type roles struct {
	mu   sync.Mutex
	role Role
	view *membership.View // that role was derived from
	at   time.Time
}

// Role returns the daemon's role.
func (r *Runner) Role() Role {
	r.roles.mu.Lock()
	defer r.roles.mu.Unlock()
	return r.deriveRole()
}

// roleDue derives the role if that was not done lately, so that a change is logged
// even when nobody asks.
func (r *Runner) roleDue() {
	r.roles.mu.Lock()
	defer r.roles.mu.Unlock()
	if time.Since(r.roles.at) >= roleInterval {
		r.deriveRole()
	}
}

// deriveRole returns the role in the current view. The caller holds the mutex.
func (r *Runner) deriveRole() Role {
	view := r.view.Load()
	if r.roles.view == view {
		return r.roles.role
	}
	plan := topology.Build(*view, r.cfg.Core.Self.ID, r.cfg.Core.StoreRegion)
	r.roles.view, r.roles.at = view, time.Now()
	if role := roleOf(&plan); role != r.roles.role {
		r.roles.role = role
		r.cfg.Log.Info("role_changed", zap.String("role", string(role)), zap.Int("level", plan.Level))
	}
	return r.roles.role
}

func roleOf(p *topology.Plan) Role {
	switch {
	case p.Self.ID == "":
		return RoleNone
	case p.ReaderRank >= 0:
		return RoleReader
	case p.IsEntry():
		return RoleEntry
	case p.IsSpareEntry():
		return RoleSpareEntry
	case p.Self.ID == p.Relay:
		return RoleRelay
	case p.Self.ID == p.SpareRelay:
		return RoleSpareRelay
	}
	return RoleMember
}
