package mesh

import (
	"slices"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

// change is the difference between two views, as a frame of a feed carries it.
type change struct {
	// Whole is set if Put contains all instances that the view lists, used or not, and Evacuations all
	// evacuated data centres.
	Whole bool               `cbor:"1,keyasint,omitempty"`
	Table *peerTable         `cbor:"2,keyasint,omitempty"`
	Delta *route.Delta       `cbor:"3,keyasint,omitempty"`
	Put   []catalog.Instance `cbor:"4,keyasint,omitempty"`
	Gone  []model.InstanceID `cbor:"5,keyasint,omitempty"`
	// Lapses holds the remaining times of the instances in Put that are to be removed.
	Lapses removalDelays `cbor:"6,keyasint,omitempty"`
	// Evacuations are those that have changed, including those that have ended.
	Evacuations []catalog.Evacuation `cbor:"7,keyasint,omitempty"`
	// Restore is the last restore of the store; nil in era 0.
	Restore *peerRestore `cbor:"8,keyasint,omitempty"`
	// BaseEra is the era in which the table was read to which Delta or ReadAgain refers.
	BaseEra uint64 `cbor:"9,keyasint,omitempty"`
	// ReadAgain is the version of the table of the last frame if the sender has read it again, with the same
	// contents, in a later era; 0 if it has not.
	ReadAgain uint64 `cbor:"10,keyasint,omitempty"`
}

// empty reports whether the change contains no difference.
func (c *change) empty() bool {
	return !c.Whole && c.Table == nil && c.Delta == nil && c.ReadAgain == 0 && len(c.Put) == 0 && len(c.Gone) == 0 && len(c.Evacuations) == 0
}

// pack encodes and compresses a change. It returns nil for an empty one.
func (c *change) pack() ([]byte, error) {
	if c.empty() {
		return nil, nil
	}
	return compress(c)
}

// unpack decompresses and decodes the output of pack.
func unpack(data []byte) (change, error) {
	var c change
	if len(data) == 0 {
		return c, nil
	}
	err := decompress(data, &c)
	return c, err
}

// state converts the change to an update of the given view.
func (c *change) state(view *catalog.View, revision uint64) (catalog.State, error) {
	s := catalog.State{Revision: revision, Evacuations: c.Evacuations}
	var err error
	s.Table, err = c.table(view)
	c.Restore.addTo(time.Now(), &s)
	c.Lapses.restore(time.Now(), c.Put)
	for i := range c.Put {
		s.Entries = append(s.Entries, catalog.Entry{ID: c.Put[i].ID, Instance: &c.Put[i], Revision: revision})
	}
	for _, id := range c.Gone {
		s.Entries = append(s.Entries, catalog.Entry{ID: id, Revision: revision})
	}
	return s, err
}

// table returns the table that the change makes of that of the given view; nil if it does not concern it.
func (c *change) table(view *catalog.View) (*route.Table, error) {
	held := view.Table
	switch {
	case c.Table != nil:
		return route.New(c.Table.Version, c.Table.Routes, c.Table.Services, c.Table.Limits)
	case c.Delta != nil && held == nil:
		return nil, &route.BaseError{Want: c.Delta.From}
	case c.Delta != nil && c.Delta.From == held.Version && c.BaseEra != view.TableEra:
		return nil, &route.BaseError{Have: held.Version, Want: c.Delta.From, HaveEra: view.TableEra, WantEra: c.BaseEra}
	case c.Delta != nil && c.Delta.To > held.Version:
		return held.Apply(*c.Delta)
	case c.ReadAgain > 0 && held != nil && c.ReadAgain == held.Version && c.BaseEra == view.TableEra:
		return held, nil // the catalog adopts the era
	}
	return nil, nil
}

// diffViews returns the change from the view that was sent last to the current one.
func diffViews(sent, current *catalog.View) change {
	var c change
	switch {
	case current.Table == nil:
	case current.Table == sent.Table:
		if current.TableEra != sent.TableEra {
			c.ReadAgain, c.BaseEra = current.Table.Version, sent.TableEra
		}
	case sent.Table == nil || sent.Table.Version == current.Table.Version:
		c.Table = encodeTable(current.Table)
	default:
		delta := route.Diff(sent.Table, current.Table)
		c.Delta, c.BaseEra = &delta, sent.TableEra
	}
	c.Restore = encodeRestore(time.Now(), current)
	if catalog.Era(current.Revision) != catalog.Era(sent.Revision) {
		c.addAll(current)
		return c
	}
	listed, before := current.AllListed(), sent.AllListed()
	for i := range listed {
		inst := &listed[i]
		if old, ok := sent.Listed(inst.ID); !ok || *old != *inst {
			c.Put = append(c.Put, *inst)
		}
	}
	for i := range before {
		if _, ok := current.Listed(before[i].ID); !ok {
			c.Gone = append(c.Gone, before[i].ID)
		}
	}
	c.Lapses = removalDelaysOf(time.Now(), c.Put)
	c.Evacuations = diffEvacuations(sent, current)
	return c
}

// diffEvacuations returns the evacuations that have begun, changed or ended between two views.
func diffEvacuations(sent, current *catalog.View) []catalog.Evacuation {
	var list []catalog.Evacuation
	for _, e := range current.Evacuated {
		if !slices.Contains(sent.Evacuated, e) {
			list = append(list, e)
		}
	}
	for _, e := range sent.Evacuated {
		if !current.IsEvacuated(e.DataCentre) {
			list = append(list, catalog.Evacuation{DataCentre: e.DataCentre, Revision: current.Revision, Ended: true})
		}
	}
	return list
}

// packer encodes the changes for all feeds of a reader. It caches the last change, because most
// feeds are at the same view. It is safe for concurrent use.
type packer struct {
	mu       sync.Mutex
	from, to *catalog.View
	data     []byte
}

// pack returns the encoded change from one view to another; nil if they are the same.
func (p *packer) pack(from, to *catalog.View) ([]byte, error) {
	if from == to {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.from == from && p.to == to {
		return p.data, nil
	}
	c := diffViews(from, to)
	data, err := c.pack()
	if err != nil {
		return nil, err
	}
	p.from, p.to, p.data = from, to, data
	return data, nil
}

// initialChange returns the first change of a feed to a daemon that already has the given store
// revision and table version.
func initialChange(current *catalog.View, revision, peerRevision, peerVersion uint64) change {
	var c change
	if current.Table != nil && current.Table.Version > peerVersion {
		c.Table = encodeTable(current.Table)
	}
	if revision > peerRevision {
		c.addAll(current)
	}
	c.Restore = encodeRestore(time.Now(), current)
	return c
}

// addAll adds all instances that the view lists and all evacuated data centres.
func (c *change) addAll(current *catalog.View) {
	c.Whole, c.Put, c.Evacuations = true, current.AllListed(), current.Evacuated
	c.Lapses = removalDelaysOf(time.Now(), c.Put)
}
