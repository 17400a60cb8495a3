package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
)

// member is an instance with a priority. The priority is the hash of the instance ID, or, in the
// result of rendezvous, the score of the instance for a child.
type member struct {
	priority uint64
	instance *model.Instance
}

func (m member) id() model.InstanceID { return m.instance.ID }

// compare orders members by descending priority. Equal priorities are ordered by ID, so that all
// daemons derive the same order.
func (m member) compare(other member) int {
	if m.priority != other.priority {
		return cmp.Compare(other.priority, m.priority)
	}
	return cmp.Compare(m.instance.ID, other.instance.ID)
}

// dataCentre holds the members of one data centre that can be assigned roles.
type dataCentre struct {
	place model.Place
	// top holds the relay and the spare relay, which have the highest priorities.
	top []member
	// members holds all members by descending priority. It is filled only for the data centres
	// whose plans are derived.
	members []member
	// eagerParentCache caches the results of eagerParents by the start of the parents' level.
	eagerParentCache map[int][]int
}

// region holds the data centres of one region and its entries.
type region struct {
	name              string
	dataCentres       []*dataCentre
	entry, spareEntry member
}

// index holds the roles that are derived from a membership view.
type index struct {
	regions map[string]*region
	places  map[model.Place]*dataCentre
	readers []member
	size    int
}

// newIndex assigns the roles. Instances in the state Leaving get none, so that their children move
// to other parents before these instances stop; self is always included. Complete member lists are
// kept only for the data centres that keepMembers selects.
func newIndex(view membership.View, self model.InstanceID, storeRegion string, keepMembers func(model.Place) bool) *index {
	x := &index{regions: map[string]*region{}, places: map[model.Place]*dataCentre{}}
	for i := range view.Instances {
		instance := &view.Instances[i]
		if instance.State == model.Leaving && instance.ID != self {
			continue
		}
		x.size++
		x.add(member{priority: xxhash.Sum64String(string(instance.ID)), instance: instance}, keepMembers)
	}
	for _, dc := range x.places {
		slices.SortFunc(dc.members, member.compare)
	}
	for _, r := range x.regions {
		r.electEntries()
	}
	x.electReaders(storeRegion)
	return x
}

// add adds a member to its data centre.
func (x *index) add(m member, keepMembers func(model.Place) bool) {
	dc := x.places[m.instance.Place]
	if dc == nil {
		dc = x.addPlace(m.instance.Place)
	}
	dc.updateTop(m)
	if keepMembers(dc.place) {
		dc.members = append(dc.members, m)
	}
}

// addPlace adds a data centre and, if it is new, its region to the index.
func (x *index) addPlace(place model.Place) *dataCentre {
	dc := &dataCentre{place: place}
	x.places[place] = dc
	r := x.regions[place.Region]
	if r == nil {
		r = &region{name: place.Region}
		x.regions[place.Region] = r
	}
	r.dataCentres = append(r.dataCentres, dc)
	return dc
}

// updateTop adds m to top if it is among the two members with the highest priorities.
func (d *dataCentre) updateTop(m member) {
	if len(d.top) == 2 && d.top[1].compare(m) < 0 {
		return
	}
	d.top = append(d.top, m)
	slices.SortFunc(d.top, member.compare)
	if len(d.top) > 2 {
		d.top = d.top[:2]
	}
}

// electEntries selects the entry and the spare entry of a region. The spare entry is in another
// data centre if the region has one, so that at least one of the two survives the loss of a data
// centre.
func (r *region) electEntries() {
	slices.SortFunc(r.dataCentres, func(a, b *dataCentre) int { return a.top[0].compare(b.top[0]) })
	r.entry = r.dataCentres[0].top[0]
	switch {
	case len(r.dataCentres) > 1:
		r.spareEntry = r.dataCentres[1].top[0]
	case len(r.dataCentres[0].top) > 1:
		r.spareEntry = r.dataCentres[0].top[1]
	}
}

// electReaders selects the daemons that watch the store. If the store's region has no member, the
// entries of other regions with the highest priorities become readers.
func (x *index) electReaders(storeRegion string) {
	if r := x.regions[storeRegion]; r != nil {
		x.readers = r.readers()
		return
	}
	for _, r := range x.regions {
		x.readers = append(x.readers, r.entry)
	}
	slices.SortFunc(x.readers, member.compare)
	if len(x.readers) > maxReaders {
		x.readers = x.readers[:maxReaders]
	}
}

// readers returns the entry, the spare entry and, of the other relays and spare relays, the one
// with the highest priority.
func (r *region) readers() []member {
	readers := []member{r.entry}
	if r.spareEntry.instance != nil {
		readers = append(readers, r.spareEntry)
	}
	var others []member
	for _, dc := range r.dataCentres {
		for _, m := range dc.top {
			if m.id() != r.entry.id() && (r.spareEntry.instance == nil || m.id() != r.spareEntry.id()) {
				others = append(others, m)
			}
		}
	}
	slices.SortFunc(others, member.compare)
	if len(others) > 0 {
		readers = append(readers, others[0])
	}
	return readers
}
