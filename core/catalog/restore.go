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

// removal is what is remembered of the removals of an instance: the highest incarnation that was removed,
// since the copy may contain any of them, and the time of the last removal.
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
	r.byID[inst.ID] = removal{max(r.byID[inst.ID].incarnation, inst.Incarnation), now}
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

// contains reports whether this incarnation of an instance, or a later one, was removed.
func (r *removals) contains(inst *Instance) bool {
	known, ok := r.byID[inst.ID]
	return ok && inst.Incarnation <= known.incarnation
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

// listedAs returns an instance of a state as the catalog keeps it. The result is false if the catalog must
// not use it: the entry may be older than the return of the store, and a later incarnation is known, or this
// one or a later one was removed. h is the known instance; nil if there is none. Without a restore the
// instance is kept as it is.
func (c *Catalog) listedAs(s State, e Entry, h *record) (Instance, bool) {
	inst := *e.Instance
	if Era(c.revision) == 0 {
		return inst, true
	}
	if s.Restore == nil { // from the store
		inst.Copied = e.Revision <= c.restore.Position
	}
	// Another daemon may also keep, for the grace period, an instance that the copy lacks.
	if inst.Copied || !inst.LapsesAt.IsZero() {
		switch {
		case h != nil && inst.Incarnation < h.Incarnation:
			return inst, false
		case (h == nil || inst.Incarnation > h.Incarnation) && c.removed.contains(&inst):
			return inst, false
		}
	}
	if h != nil && h.State == model.Leaving && h.Incarnation == inst.Incarnation {
		inst.State = model.Leaving
	}
	return inst, true
}

// lapse gives an instance the grace period because the entry with its ID in the copy is not used. A
// leaving instance gets it as well, so that other daemons learn that the incarnation in the copy has ended.
// After the period the instance is removed immediately. It reports whether the view changed.
func (c *Catalog) lapse(now time.Time, h *record, revision uint64) bool {
	h.revision = max(h.revision, revision)
	switch {
	case !h.LapsesAt.IsZero():
		return false
	case now.Before(c.outage.graceEnd):
		h.LapsesAt = c.outage.graceEnd
	default:
		c.drop(now, h)
	}
	return true
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
