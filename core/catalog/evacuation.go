package catalog

import (
	"cmp"
	"slices"
)

// Evacuation is the evacuation of a data centre, during which its upstreams get no requests, or the
// end of one.
type Evacuation struct {
	DataCentre string
	// Revision is the store revision of the last change.
	Revision uint64
	// Ended is set if the evacuation has ended. The evacuations of a view have not.
	Ended bool
}

// IsEvacuated reports whether a data centre is being evacuated.
func (v *View) IsEvacuated(dataCentre string) bool {
	_, ok := slices.BinarySearchFunc(v.Evacuated, dataCentre, func(e Evacuation, name string) int { return cmp.Compare(e.DataCentre, name) })
	return ok
}

// endUnlistedEvacuations ends the evacuations that a snapshot does not contain. Like an instance, one
// that has changed after the snapshot stays: the pages of a snapshot are read one after the other, so
// that the catalog may include a later change than its own revision. It reports whether the view
// changed.
func (c *Catalog) endUnlistedEvacuations(s State) bool {
	listed := make(map[string]bool, len(s.Evacuations))
	for _, e := range s.Evacuations {
		listed[e.DataCentre] = !e.Ended
	}
	changed := false
	for name, revision := range c.evacuations {
		if !listed[name] && revision <= s.Revision {
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
		revision, evacuated := c.evacuations[e.DataCentre]
		switch {
		case evacuated && e.Revision < revision:
		case !e.Ended:
			c.evacuations[e.DataCentre] = e.Revision
			changed = changed || !evacuated
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
	for name, revision := range c.evacuations {
		list = append(list, Evacuation{DataCentre: name, Revision: revision})
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}
