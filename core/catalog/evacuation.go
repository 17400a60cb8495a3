package catalog

import (
	"cmp"
	"slices"
	"time"
)

// Evacuation is the evacuation of a data centre, during which its upstreams get no requests, or the
// end of one.
type Evacuation struct {
	DataCentre string
	// Revision is the store revision of the last change.
	Revision uint64
	// Ended is set if the evacuation has ended. The evacuations of a view have not.
	Ended bool
	// Unlisted is set if the store does not list the evacuation since it was restored from an older copy. It
	// then ends with the grace period.
	Unlisted bool `cbor:",omitempty"`
}

// evacuation is an evacuation as the catalog keeps it.
type evacuation struct {
	// revision is that of the last known change.
	revision uint64
	// lapsesAt is the time at which the evacuation ends because the store does not list it since it was
	// restored from an older copy. It is zero while the store lists it.
	lapsesAt time.Time
}

// IsEvacuated reports whether a data centre is being evacuated.
func (v *View) IsEvacuated(dataCentre string) bool {
	_, ok := slices.BinarySearchFunc(v.Evacuated, dataCentre, func(e Evacuation, name string) int { return cmp.Compare(e.DataCentre, name) })
	return ok
}

// endUnlistedEvacuations ends the evacuations that a snapshot does not contain. Like an instance, one
// that has changed after the snapshot stays: the pages of a snapshot are read one after the other, so
// that the catalog may include a later change than its own revision. One from before a restore stays in
// force until the end of the grace period, in which the operator writes it again. It reports whether the view
// changed.
func (c *Catalog) endUnlistedEvacuations(now time.Time, s State) bool {
	listed := make(map[string]bool, len(s.Evacuations))
	for _, e := range s.Evacuations {
		listed[e.DataCentre] = !e.Ended
	}
	changed := false
	for name, e := range c.evacuations {
		if listed[name] || e.revision > s.Revision || !e.lapsesAt.IsZero() {
			continue
		}
		if Era(e.revision) < Era(s.Revision) && now.Before(c.restore.GraceEnd) {
			e.lapsesAt = c.restore.GraceEnd
			c.evacuations[name] = e
		} else {
			delete(c.evacuations, name)
		}
		changed = true
	}
	return changed
}

// expireEvacuations ends the evacuations that the copy lacks from which the store was restored, once the grace
// period has passed. It reports whether the view changed.
func (c *Catalog) expireEvacuations(now time.Time) bool {
	changed := false
	for name, e := range c.evacuations {
		if !e.lapsesAt.IsZero() && !now.Before(e.lapsesAt) {
			delete(c.evacuations, name)
			changed = true
		}
	}
	return changed
}

// applyEvacuations applies the evacuations of s that are newer than those of the catalog, in the order
// of their revisions. Ended ones are not remembered: a state that is older than the end is ignored as a
// whole. It reports whether the view changed. Writing the item of an evacuation again does not change
// it.
func (c *Catalog) applyEvacuations(s State) bool {
	ordered := slices.Clone(s.Evacuations)
	slices.SortStableFunc(ordered, func(a, b Evacuation) int { return cmp.Compare(a.Revision, b.Revision) })
	changed := false
	for _, e := range ordered {
		known, evacuated := c.evacuations[e.DataCentre]
		switch {
		case evacuated && e.Revision < known.revision:
		case !e.Ended:
			begun := evacuation{revision: e.Revision}
			if e.Unlisted {
				begun.lapsesAt = c.restore.GraceEnd
			}
			c.evacuations[e.DataCentre] = begun
			changed = changed || !evacuated || begun.lapsesAt != known.lapsesAt
		case evacuated:
			delete(c.evacuations, e.DataCentre)
			changed = true
		}
	}
	return changed
}

// evacuated returns the evacuations that have not ended, sorted by data centre.
func (c *Catalog) evacuated() []Evacuation {
	var list []Evacuation
	for name, e := range c.evacuations {
		list = append(list, Evacuation{DataCentre: name, Revision: e.revision, Unlisted: !e.lapsesAt.IsZero()})
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}
