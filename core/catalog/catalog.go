// Package catalog holds a daemon's view of the fleet: the current route table and the instances
// of every service. The view is built from snapshots and updates of the platform's store, or
// from the state that another daemon sends. It never goes back in time: a route table is
// replaced only by one with a higher version, and a snapshot or an update is ignored if its
// revision is lower than that of the catalog. A store that was restored from an older copy gives out
// revisions again; see Position for how they are ordered, and Restore for what is kept.
//
// Catalog is a state machine without a clock: callers pass the time. It is not safe for
// concurrent use. The views that it returns are immutable.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

// recoveryGrace is the grace period after a store outage. Live instances register again within
// it; those whose entries expired during the outage stay in use until it ends.
const recoveryGrace = 2 * time.Second

// Instance is an upstream instance as registered in the platform's store.
type Instance struct {
	model.Instance
	// Upstream is the TCP address of the upstream. Only the daemon of the instance connects to it.
	Upstream string
	// Slots is the maximum number of requests that the upstream runs concurrently.
	Slots int
	// Created is the store's own revision, without an era, at which the instance was first registered; 0 if
	// unknown. The copy keeps it when the store is restored, so that it stays comparable.
	Created uint64
	// Warm is the remaining warm-up time of the upstream when its entry was written.
	Warm time.Duration
	// LapsesAt is set for an instance whose entry expired during a store outage. It is the time
	// at which the instance is removed from the view unless it registers again first. It is
	// zero while the store lists the instance. It is not encoded, because the clocks of daemons
	// differ.
	LapsesAt time.Time `cbor:"-"`
	// Copied is set after a restore of the store until the entry is written again: the entry may come from
	// the copy, so that the instance may have been removed after the copy was made.
	Copied bool `cbor:",omitempty"`
}

// Host returns the IP address of the daemon of the instance.
func (i *Instance) Host() string {
	host, _, _ := strings.Cut(i.ForwardAddr, ":")
	return host
}

// Entry is the registration of an instance in the store, or its removal.
type Entry struct {
	ID model.InstanceID
	// Instance is nil if the entry was removed or is invalid.
	Instance *Instance
	// Problem describes why the entry is invalid. It is empty if the entry was removed.
	Problem string
	// Revision is the store revision at which the entry was last changed.
	Revision uint64
}

// State is a snapshot of the store or an update to it.
type State struct {
	Revision uint64
	// Table is nil if the snapshot or update contains no valid route table.
	Table *route.Table
	// TableProblem describes why the stored route table is invalid.
	TableProblem string
	Entries      []Entry
	// Evacuations are the evacuated data centres, and in an update those whose evacuation has ended.
	Evacuations []Evacuation
	// Restore is the last restore of the store that another daemon knows. It is nil if the state comes from the
	// store or belongs to era 0.
	Restore *Restore
	// TableEra is the era in which the other daemon's table was read, if Restore is set.
	TableEra uint64
}

// View is an immutable view of the fleet at a store revision.
type View struct {
	Revision uint64
	Table    *route.Table
	// Instances are the instances that can be used, sorted by ID.
	Instances []Instance
	// Unnamed are the instances of services that the table does not name, sorted by ID. They get no
	// requests, and decide nothing about the instances at their addresses: another writer may have
	// written the entry. Daemons pass them on to each other, because a later table may name the
	// services.
	Unnamed []Instance
	// Evacuated are the evacuated data centres, sorted by name. The settings of a daemon need not know
	// them.
	Evacuated []Evacuation
	// Restore is the last restore of the store, zero in era 0, and TableEra the era in which the table was
	// read.
	Restore  Restore
	TableEra uint64
}

// ByID returns the instance with the given ID.
func (v *View) ByID(id model.InstanceID) (*Instance, bool) { return find(v.Instances, id) }

// Listed returns the instance with the given ID, also if it is an unnamed one.
func (v *View) Listed(id model.InstanceID) (*Instance, bool) {
	if inst, ok := find(v.Instances, id); ok {
		return inst, true
	}
	return find(v.Unnamed, id)
}

// AllListed returns the instances and the unnamed ones.
func (v *View) AllListed() []Instance {
	if len(v.Unnamed) == 0 {
		return v.Instances
	}
	return slices.Concat(v.Instances, v.Unnamed)
}

// Daemons returns an instance for each daemon of the fleet: the instances, and the unnamed ones whose
// daemon has no other.
func (v *View) Daemons() []Instance {
	if len(v.Unnamed) == 0 {
		return v.Instances
	}
	list := slices.Clone(v.Instances)
	known := make(map[string]bool, len(list)+len(v.Unnamed))
	for i := range list {
		known[list[i].ForwardAddr] = true
	}
	for i := range v.Unnamed {
		if address := v.Unnamed[i].ForwardAddr; !known[address] {
			known[address] = true
			list = append(list, v.Unnamed[i])
		}
	}
	return list
}

// find returns the instance with the given ID from a list that is sorted by ID.
func find(list []Instance, id model.InstanceID) (*Instance, bool) {
	i, ok := slices.BinarySearchFunc(list, id, func(inst Instance, id model.InstanceID) int { return cmp.Compare(inst.ID, id) })
	if !ok {
		return nil, false
	}
	return &list[i], true
}

// ByUpstream returns the instance with the given upstream address. If there are several, it
// returns the one with the highest incarnation.
func (v *View) ByUpstream(upstream string) (*Instance, bool) {
	var found *Instance
	for i := range v.Instances {
		inst := &v.Instances[i]
		if inst.Upstream == upstream && (found == nil || inst.Incarnation > found.Incarnation) {
			found = inst
		}
	}
	return found, found != nil
}

// record is an instance and the store revision of its last known change.
type record struct {
	Instance
	revision uint64
}

// outage describes the last outage of the store.
type outage struct {
	// revision is the store revision at the end of the outage. Changes with a higher revision
	// were made after it.
	revision uint64
	// graceEnd is the end of the grace period for entries that expired during the outage.
	graceEnd time.Time
}

// Catalog builds the view of the fleet from snapshots and updates of the store.
type Catalog struct {
	revision  uint64
	table     *route.Table
	instances map[model.InstanceID]*record
	// evacuations holds the evacuated data centres by name.
	evacuations map[string]evacuation
	outage      outage
	// restore is the last restore of the store, tableEra the era in which the table was read, and removed
	// holds what the store may list again after the next restore.
	restore  Restore
	tableEra uint64
	removed  removals
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{instances: make(map[model.InstanceID]*record), evacuations: make(map[string]evacuation)}
}

// Revision returns the highest store revision that the catalog includes.
func (c *Catalog) Revision() uint64 { return c.revision }

// StoreRecovered records that the store is available again after an outage and is at the given
// revision. Live instances whose entries were removed up to that revision stay in the view for
// a grace period, in which they can register again.
func (c *Catalog) StoreRecovered(now time.Time, revision uint64) {
	c.outage = outage{revision, now.Add(recoveryGrace)}
}

// Replace applies a snapshot: instances that it does not contain are removed, and evacuations that it
// does not contain end. A snapshot of a later era begins that era. It reports whether the view changed.
func (c *Catalog) Replace(now time.Time, s State) bool {
	if s.Revision < c.revision {
		return false
	}
	changed := c.enterEra(now, s)
	listed := make(map[model.InstanceID]bool, len(s.Entries))
	for _, e := range s.Entries {
		listed[e.ID] = e.Instance != nil
	}
	for id, h := range c.instances {
		if !listed[id] && h.LapsesAt.IsZero() && h.revision <= s.Revision {
			changed = c.remove(now, id, s.Revision) || changed
		}
	}
	changed = c.endUnlistedEvacuations(now, s) || changed
	return c.apply(now, s) || changed
}

// Apply applies an update. One of a later era is ignored. It reports whether the view changed.
func (c *Catalog) Apply(now time.Time, s State) bool {
	if s.Revision < c.revision || c.missesEra(s) {
		return false
	}
	return c.apply(now, s)
}

// apply applies the entries, the evacuations and the table of s that are newer than those of the catalog.
func (c *Catalog) apply(now time.Time, s State) bool {
	changed := false
	for _, e := range s.Entries {
		h := c.instances[e.ID]
		if h != nil && e.Revision < h.revision {
			continue
		}
		if e.Instance == nil {
			changed = c.remove(now, e.ID, e.Revision) || changed
			continue
		}
		inst, use := c.listedAs(s, e, h)
		switch {
		case use:
			changed = c.upsert(&inst, e.Revision, h) || changed
		case h != nil:
			changed = c.lapse(now, h, e.Revision) || changed
		}
	}
	changed = c.applyEvacuations(s) || changed
	changed = c.applyTable(s) || changed
	c.revision = max(c.revision, s.Revision)
	return changed
}

// upsert adds or updates an instance and reports whether the view changed. A heartbeat, which
// writes an unchanged entry, does not change it.
func (c *Catalog) upsert(inst *Instance, revision uint64, h *record) bool {
	if h == nil {
		c.instances[inst.ID] = &record{Instance: *inst, revision: revision}
		return true
	}
	h.revision = revision
	if h.Instance == *inst {
		return false
	}
	h.Instance = *inst
	return true
}

// remove removes an instance, immediately or, if it was live and its entry expired during a store
// outage, at the end of the grace period. It reports whether the view changed.
func (c *Catalog) remove(now time.Time, id model.InstanceID, revision uint64) bool {
	h := c.instances[id]
	if h == nil {
		return false
	}
	applied := revision <= h.revision
	h.revision = max(h.revision, revision)
	switch {
	case !h.LapsesAt.IsZero() && applied:
		return false
	case h.LapsesAt.IsZero() && h.State == model.Live && revision <= c.outage.revision && now.Before(c.outage.graceEnd):
		h.LapsesAt = c.outage.graceEnd
		return true
	}
	c.drop(now, h)
	return true
}

// drop removes an instance immediately.
func (c *Catalog) drop(now time.Time, h *record) {
	c.removed.add(now, &h.Instance)
	delete(c.instances, h.ID)
}

// Expire removes the instances whose entries expired during a store outage, or that the copy lacks from
// which the store was restored, if they did not register again within the grace period, and ends the
// evacuations that the copy lacks. It reports whether the view changed.
func (c *Catalog) Expire(now time.Time) bool {
	c.removed.expire(now)
	changed := c.expireEvacuations(now)
	for _, h := range c.instances {
		if !h.LapsesAt.IsZero() && !now.Before(h.LapsesAt) {
			c.drop(now, h)
			changed = true
		}
	}
	return changed
}

// replaces reports whether the instance is the successor of another one at the same upstream
// address. Both its start time (Incarnation) and its first registration (Created) have to be
// later: the clock may have been set back between the two starts, and a delayed write may
// register a stopped instance again.
func (i *Instance) replaces(other *Instance) bool {
	return i.Upstream == other.Upstream && i.Incarnation > other.Incarnation && i.Created >= other.Created
}

// startedAfter orders the instances at an upstream address. The registration and the ID decide between
// equal start times, so that all daemons order them alike.
func (h *record) startedAfter(other *record) bool {
	return cmp.Or(cmp.Compare(h.Incarnation, other.Incarnation), cmp.Compare(h.Created, other.Created), cmp.Compare(h.ID, other.ID)) > 0
}

// View returns the current view. It omits an instance that has a successor at the same upstream
// address: that instance has stopped, although the store lists it until its entry expires. An
// instance of a service that the table does not name succeeds no other one.
func (c *Catalog) View() *View {
	v := &View{Revision: c.revision, Table: c.table, Instances: make([]Instance, 0, len(c.instances)), Evacuated: c.evacuated(), Restore: c.restore, TableEra: c.tableEra}
	named := c.namedServices()
	latest := make(map[string]*record, len(c.instances))
	for _, h := range c.instances {
		if !named(h.Service) {
			v.Unnamed = append(v.Unnamed, h.Instance)
			continue
		}
		if other := latest[h.Upstream]; other == nil || h.startedAfter(other) {
			latest[h.Upstream] = h
		}
	}
	for _, h := range c.instances {
		if named(h.Service) && !latest[h.Upstream].replaces(&h.Instance) {
			v.Instances = append(v.Instances, h.Instance)
		}
	}
	byID := func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(v.Instances, byID)
	slices.SortFunc(v.Unnamed, byID)
	return v
}

// namedServices returns a function that reports whether the table names a service. Before the first
// table, every service counts as named.
func (c *Catalog) namedServices() func(service string) bool {
	if c.table == nil {
		return func(string) bool { return true }
	}
	names := make(map[string]bool, len(c.table.Services))
	for i := range c.table.Services {
		names[c.table.Services[i].Name] = true
	}
	return func(service string) bool { return names[service] }
}
