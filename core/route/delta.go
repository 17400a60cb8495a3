package route

import (
	"fmt"
	"slices"
)

// Key identifies a route within a table.
type Key struct{ Host, Prefix string }

// Delta holds the changes from one version of the table to another. Services and limits are small
// and sent in full.
type Delta struct {
	From, To uint64
	Put      []Route
	Removed  []Key
	Services []Service
	Limits   Limits
}

// key returns the key of the route.
func (r *Route) key() Key { return Key{r.Host, r.Prefix} }

// Diff returns the delta that Apply needs to turn from into to.
func Diff(from, to *Table) Delta {
	d := Delta{From: from.Version, To: to.Version, Services: to.Services, Limits: to.Limits}
	oldRoutes := make(map[Key]*Route, len(from.Routes))
	for i := range from.Routes {
		oldRoutes[from.Routes[i].key()] = &from.Routes[i]
	}
	for i := range to.Routes {
		r := &to.Routes[i]
		if previous := oldRoutes[r.key()]; previous == nil || !previous.Equal(r) {
			d.Put = append(d.Put, *r)
		}
		delete(oldRoutes, r.key())
	}
	for key := range oldRoutes {
		d.Removed = append(d.Removed, key)
	}
	return d
}

// BaseError reports a delta whose base is not the local table. Have is the local version, Want the base
// version of the delta. If they are equal, the tables were read in different eras of the store, HaveEra and
// WantEra, and may have different contents.
type BaseError struct{ Have, Want, HaveEra, WantEra uint64 }

// Error returns what differs and the remedy.
func (e *BaseError) Error() string {
	if e.Have == e.Want && e.HaveEra != e.WantEra {
		return fmt.Sprintf("the delta applies to version %d as it was read in era %d, not to version %d of era %d; read the full table", e.Want, e.WantEra, e.Have, e.HaveEra)
	}
	return fmt.Sprintf("the delta applies to version %d, not to version %d; read the full table", e.Want, e.Have)
}

// Apply returns a new table with the changes of the delta. The error is a *BaseError or a *Faults.
func (t *Table) Apply(d Delta) (*Table, error) {
	if t.Version != d.From {
		return nil, &BaseError{Have: t.Version, Want: d.From}
	}
	changed := make(map[Key]bool, len(d.Put)+len(d.Removed))
	for i := range d.Put {
		changed[d.Put[i].key()] = true
	}
	for _, key := range d.Removed {
		changed[key] = true
	}
	routes := make([]Route, 0, len(t.Routes)+len(d.Put))
	for i := range t.Routes {
		if !changed[t.Routes[i].key()] {
			routes = append(routes, t.Routes[i])
		}
	}
	return New(d.To, slices.Concat(routes, d.Put), d.Services, d.Limits)
}
