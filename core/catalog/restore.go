package catalog

import (
	"slices"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

const (
	// removalMemory is the time for which the removal of an instance is remembered. A store returns from a
	// copy that is some seconds old.
	removalMemory = 10 * time.Minute
	// maxRemembered bounds the number of remembered removals, of some 100 bytes each.
	maxRemembered = 16_384
)

// Restore describes the return of the store from an older copy with which the current era began. It is
// zero in era 0.
type Restore struct {
	// Position is the first one of the era that a daemon has read. An entry with a later one was written
	// after the return; others may come from the copy.
	Position uint64
	// GraceEnd is the end of the grace period in which instances that the copy lacks can register again,
	// and in which evacuations that it lacks stay in force.
	GraceEnd time.Time
}

// removal is the removal of an instance.
type removal struct {
	incarnation uint64
	at          time.Time
}

// removals remembers the instances that were removed within removalMemory.
type removals struct {
	byID map[model.InstanceID]removal
	// order holds all removals, the oldest first. An instance may have several.
	order []removedAt
}

// removedAt is the time at which an instance was removed.
type removedAt struct {
	id model.InstanceID
	at time.Time
}

// add remembers the removal of an instance.
func (r *removals) add(now time.Time, inst *Instance) {
	if r.byID == nil {
		r.byID = make(map[model.InstanceID]removal)
	}
	r.byID[inst.ID] = removal{inst.Incarnation, now}
	r.order = append(r.order, removedAt{inst.ID, now})
	if len(r.order) > maxRemembered {
		r.dropFirst()
	}
}

// expire forgets the removals that are older than removalMemory.
func (r *removals) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.order[0].at) >= removalMemory {
		r.dropFirst()
	}
}

// dropFirst forgets the oldest removal, unless the same instance was removed again later.
func (r *removals) dropFirst() {
	first := r.order[0]
	r.order = r.order[1:]
	if r.byID[first.id].at.Equal(first.at) {
		delete(r.byID, first.id)
	}
}

// contains reports whether this incarnation of an instance was removed.
func (r *removals) contains(inst *Instance) bool {
	known, ok := r.byID[inst.ID]
	return ok && known.incarnation == inst.Incarnation
}

// enterEra begins the era of a full state if it is later than that of the catalog, and reports whether
// it is. Instances and evacuations that the copy lacks, and those that the store already lacked after its
// last return, get a grace period: until the end that another daemon names or, if the state comes from the
// store, for recoveryGrace.
func (c *Catalog) enterEra(now time.Time, s State) bool {
	if Era(s.Revision) <= Era(c.revision) {
		return false
	}
	c.restore = Restore{Position: s.Revision, GraceEnd: now.Add(recoveryGrace)}
	if s.Restore != nil {
		c.restore = *s.Restore
	}
	c.outage = outage{s.Revision, c.restore.GraceEnd}
	for _, h := range c.instances {
		if !h.LapsesAt.IsZero() {
			h.LapsesAt = c.restore.GraceEnd
		}
	}
	for name, e := range c.evacuations {
		if !e.lapsesAt.IsZero() {
			e.lapsesAt = c.restore.GraceEnd
			c.evacuations[name] = e
		}
	}
	c.revision = s.Revision
	return true
}

// missesEra reports whether an update belongs to a later era than the catalog. It cannot be applied: it does
// not say what the copy lacks.
func (c *Catalog) missesEra(s State) bool { return Era(s.Revision) > Era(c.revision) }

// listedAs returns an instance of a state as the catalog keeps it. The result is false if the
// catalog must not use it: the instance was removed, and nothing shows that it has registered since.
// h is the known instance; nil if there is none. Without a restore the instance is kept as it is.
func (c *Catalog) listedAs(s State, e Entry, h *record) (Instance, bool) {
	inst := *e.Instance
	if Era(c.revision) == 0 {
		return inst, true
	}
	if s.Restore == nil { // from the store
		inst.Copied = e.Revision <= c.restore.Position
	}
	switch {
	case h == nil:
		return inst, !c.removed.contains(&inst) || !inst.Copied && inst.LapsesAt.IsZero()
	case h.State == model.Leaving && h.Incarnation == inst.Incarnation:
		inst.State = model.Leaving
	}
	return inst, true
}

// applyTable applies a table with a higher version than the known one. A table of the same version
// replaces it if it was read in a later era: the operator has written the version again with other
// contents after the store lost it. It reports whether the view changed.
func (c *Catalog) applyTable(s State) bool {
	if s.Table == nil {
		return false
	}
	era := Era(s.Revision)
	if s.Restore != nil {
		era = s.TableEra
	}
	switch {
	case c.table == nil || s.Table.Version > c.table.Version:
		c.table = s.Table
	case s.Table.Version < c.table.Version || era <= c.tableEra:
		return false
	case !sameTable(s.Table, c.table):
		c.table = s.Table
	}
	c.tableEra = era
	return true
}

// sameTable reports whether two tables of the same version have the same contents.
func sameTable(a, b *route.Table) bool {
	delta := route.Diff(a, b)
	return len(delta.Put) == 0 && len(delta.Removed) == 0 && a.Limits == b.Limits && slices.Equal(a.Services, b.Services)
}
