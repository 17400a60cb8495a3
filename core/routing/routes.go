package routing

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
)

// routes is an immutable set of route tables. An update builds a new set that shares the
// unchanged parts with the old one.
type routes struct {
	base     time.Time // origin of the times in nodes
	version  model.Version
	table    *table.Table
	places   map[model.Place]int // index of each data centre in the table's layout
	members  []model.Instance
	groups   map[string][]target // by service, sorted by instance ID
	services map[string]*service
}

// service is the route table of one service as seen from the daemon's own place.
type service struct {
	row     *table.Row
	local   zone     // own data centre
	region  []zone   // other data centres of the own region with a weight above 0
	remote  []region // other regions with a weight above 0
	members []target // all instances of the service, for Explain
}

// zone is the part of a service in one data centre.
type zone struct {
	place   model.Place
	weight  uint32
	targets []target // live instances only
}

// region is the part of a service in another region.
type region struct {
	name   string
	weight uint32
	zones  []zone
}

// derive returns the routes after an update. It builds only the services that changed
// since old, which is nil for the first update.
func derive(old *routes, self model.Place, version model.Version, tab *table.Table, members []model.Instance, now time.Time) *routes {
	first := old == nil
	if first {
		old = &routes{base: now, table: &table.Table{}}
	}
	r := &routes{base: old.base, version: version, table: tab, members: members, places: old.places}
	dirty := r.updateGroups(old, first, now)
	sameLayout := !first && old.table.Layout.Equal(tab.Layout)
	if !sameLayout {
		r.places = make(map[model.Place]int, len(tab.Layout.DataCentres))
		for i, place := range tab.Layout.DataCentres {
			r.places[place] = i
		}
	}
	if old.table == tab {
		r.services = old.services
		if len(dirty) > 0 {
			r.services = maps.Clone(old.services)
		}
		for name := range dirty {
			if row, ok := tab.Row(name); ok {
				r.services[name] = r.build(self, row)
			}
		}
		return r
	}
	r.services = make(map[string]*service, len(tab.Rows))
	for i := range tab.Rows {
		row := &tab.Rows[i]
		previous, known := old.services[row.Service]
		if _, changed := dirty[row.Service]; changed || !known || !sameLayout || !previous.row.Equal(row) {
			r.services[row.Service] = r.build(self, row)
			continue
		}
		// The copy refers to the new row, so that the old table can be garbage collected.
		copied := *previous
		copied.row = row
		r.services[row.Service] = &copied
	}
	return r
}

// change lists the members of a service that an update removes and adds. A member that
// changed is in both lists.
type change struct {
	removed map[model.InstanceID]target // apply fills in the old targets
	added   []model.Instance
}

// updateGroups computes r.groups and returns the changes by service.
func (r *routes) updateGroups(old *routes, first bool, now time.Time) map[string]*change {
	changes := make(map[string]*change)
	changeOf := func(service string) *change {
		c := changes[service]
		if c == nil {
			c = &change{removed: make(map[model.InstanceID]target)}
			changes[service] = c
		}
		return c
	}
	diff(old.members, r.members,
		func(oldMember *model.Instance) { changeOf(oldMember.Service).removed[oldMember.ID] = target{} },
		func(newMember *model.Instance) {
			c := changeOf(newMember.Service)
			c.added = append(c.added, *newMember)
		})
	r.groups = old.groups
	if len(changes) == 0 {
		return changes
	}
	r.groups = make(map[string][]target, len(old.groups))
	maps.Copy(r.groups, old.groups)
	for name, c := range changes {
		if group := r.apply(c, r.groups[name], first, now); len(group) > 0 {
			r.groups[name] = group
		} else {
			delete(r.groups, name)
		}
	}
	return changes
}

// apply returns the members of a service after the change, sorted by instance ID.
func (r *routes) apply(c *change, old []target, first bool, now time.Time) []target {
	group := make([]target, 0, len(old)+len(c.added))
	for _, t := range old {
		if _, removed := c.removed[t.inst.ID]; removed {
			c.removed[t.inst.ID] = t
		} else {
			group = append(group, t)
		}
	}
	for i := range c.added {
		inst := &c.added[i]
		group = append(group, target{inst: inst, node: r.nodeFor(c.removed[inst.ID], inst, first, now)})
	}
	slices.SortFunc(group, func(a, b target) int { return strings.Compare(string(a.inst.ID), string(b.inst.ID)) })
	return group
}

// nodeFor returns the node of an added instance. It keeps the old node of an instance that
// has changed but not restarted. A restart shows as a higher incarnation and gets a new node.
func (r *routes) nodeFor(previous target, inst *model.Instance, first bool, now time.Time) *node {
	at := int64(now.Sub(r.base))
	// An announced incarnation is the start time of the instance in Unix milliseconds.
	startedAt := at - int64(now.Sub(time.UnixMilli(int64(inst.Incarnation))))
	if previous.node != nil {
		restarted := inst.Incarnation > previous.inst.Incarnation && (previous.inst.Incarnation != 0 || previous.node.leaving.Load())
		if !restarted {
			if previous.inst.Incarnation == 0 && inst.Incarnation != 0 {
				previous.node.setStartTime(startedAt, at)
			}
			return previous.node
		}
	}
	if !first {
		return newNode(at)
	}
	// When this daemon starts, all instances are new to it. Only those whose announcements
	// show a recent start are ramped up.
	n := newNode(at - int64(RampUp))
	if inst.Incarnation != 0 {
		n.setStartTime(startedAt, at)
	}
	return n
}

// diff compares two lists that are sorted by ID. It calls onRemoved for each removed instance,
// onAdded for each added one, and both for a changed instance.
func diff(old, updated []model.Instance, onRemoved, onAdded func(*model.Instance)) {
	i, j := 0, 0
	for i < len(old) && j < len(updated) {
		a, b := &old[i], &updated[j]
		switch {
		case a.ID == b.ID:
			if *a != *b {
				onRemoved(a)
				onAdded(b)
			}
			i++
			j++
		case a.ID < b.ID:
			onRemoved(a)
			i++
		default:
			onAdded(b)
			j++
		}
	}
	for ; i < len(old); i++ {
		onRemoved(&old[i])
	}
	for ; j < len(updated); j++ {
		onAdded(&updated[j])
	}
}

// build returns the route table of a service.
func (r *routes) build(self model.Place, row *table.Row) *service {
	members := r.groups[row.Service]
	s := &service{row: row, members: members}
	byPlace := make([][]target, len(r.places))
	for _, t := range members {
		if i, ok := r.places[t.inst.Place]; ok && t.inst.State == model.Live && row.DataCentres[i].Weight > 0 {
			byPlace[i] = append(byPlace[i], t)
		}
	}
	remote := make([]region, len(r.table.Layout.Regions))
	for i, place := range r.table.Layout.DataCentres {
		if len(byPlace[i]) == 0 {
			continue
		}
		z := zone{place: place, weight: row.DataCentres[i].Weight, targets: byPlace[i]}
		switch place.DistanceTo(self) {
		case model.SameDataCentre:
			s.local = z
		case model.SameRegion:
			s.region = append(s.region, z)
		case model.CrossRegion:
			if k, ok := slices.BinarySearch(r.table.Layout.Regions, place.Region); ok {
				remote[k].zones = append(remote[k].zones, z)
			}
		}
	}
	for k := range remote {
		remote[k].name, remote[k].weight = r.table.Layout.Regions[k], row.Regions[k].Weight
		if remote[k].weight > 0 && len(remote[k].zones) > 0 {
			s.remote = append(s.remote, remote[k])
		}
	}
	return s
}
