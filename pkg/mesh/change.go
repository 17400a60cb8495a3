package mesh

import (
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

// change is what a frame changes in the view.
type change struct {
	// Whole says that Put lists all instances.
	Whole bool               `cbor:"1,keyasint,omitempty"`
	Table *peerTable         `cbor:"2,keyasint,omitempty"`
	Delta *route.Delta       `cbor:"3,keyasint,omitempty"`
	Put   []catalog.Instance `cbor:"4,keyasint,omitempty"`
	Gone  []model.InstanceID `cbor:"5,keyasint,omitempty"`
	// Lapses are those of Put that leave soon.
	Lapses lapses `cbor:"6,keyasint,omitempty"`
}

// empty reports whether nothing changes.
func (c *change) empty() bool {
	return !c.Whole && c.Table == nil && c.Delta == nil && len(c.Put) == 0 && len(c.Gone) == 0
}

// pack encodes and compresses a change; nil for an empty one.
func (c *change) pack() ([]byte, error) {
	if c.empty() {
		return nil, nil
	}
	return compress(c)
}

// unpack reverses pack.
func unpack(data []byte) (change, error) {
	var c change
	if len(data) == 0 {
		return c, nil
	}
	err := decompress(data, &c)
	return c, err
}

// state returns what a change brings to a view.
func (c *change) state(held *catalog.View, revision uint64) (catalog.State, error) {
	s := catalog.State{Revision: revision}
	var err error
	switch {
	case c.Table != nil:
		s.Table, err = route.New(c.Table.Version, c.Table.Routes, c.Table.Services, c.Table.Limits)
	case c.Delta != nil && held.Table == nil:
		err = &route.BaseError{Want: c.Delta.From}
	case c.Delta != nil && c.Delta.To > held.Table.Version:
		s.Table, err = held.Table.Apply(*c.Delta)
	}
	c.Lapses.restore(time.Now(), c.Put)
	for i := range c.Put {
		s.Entries = append(s.Entries, catalog.Entry{ID: c.Put[i].ID, Instance: &c.Put[i], Revision: revision})
	}
	for _, id := range c.Gone {
		s.Entries = append(s.Entries, catalog.Entry{ID: id, Revision: revision})
	}
	return s, err
}

// difference returns the change from one view to another.
func difference(sent, current *catalog.View) change {
	var c change
	if current.Table != sent.Table && current.Table != nil {
		if sent.Table == nil {
			c.Table = encodeTable(current.Table)
		} else {
			delta := route.Diff(sent.Table, current.Table)
			c.Delta = &delta
		}
	}
	for i := range current.Instances {
		inst := &current.Instances[i]
		if was, ok := sent.ByID(inst.ID); !ok || *was != *inst {
			c.Put = append(c.Put, *inst)
		}
	}
	for i := range sent.Instances {
		if _, ok := current.ByID(sent.Instances[i].ID); !ok {
			c.Gone = append(c.Gone, sent.Instances[i].ID)
		}
	}
	c.Lapses = lapsesOf(time.Now(), c.Put)
	return c
}

// packer packs the changes for all daemons that are fed: mostly they are at the same view, so
// that the last change is kept. It is safe for concurrent use.
type packer struct {
	mu       sync.Mutex
	from, to *catalog.View
	data     []byte
}

// pack returns the packed change from one view to another.
func (p *packer) pack(from, to *catalog.View) ([]byte, error) {
	if from == to {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.from == from && p.to == to {
		return p.data, nil
	}
	c := difference(from, to)
	data, err := c.pack()
	if err != nil {
		return nil, err
	}
	p.from, p.to, p.data = from, to, data
	return data, nil
}

// firstChange returns the change for a daemon that holds a revision and a version.
func firstChange(current *catalog.View, revision, heldRevision, heldVersion uint64) change {
	var c change
	if current.Table != nil && current.Table.Version > heldVersion {
		c.Table = encodeTable(current.Table)
	}
	if revision > heldRevision {
		c.Whole, c.Put, c.Lapses = true, current.Instances, lapsesOf(time.Now(), current.Instances)
	}
	return c
}
