package mesh

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

// peerState is the form in which daemons pass their state to each other. Both parts are
// compressed by themselves, so that the table is compressed once for all that ask.
type peerState struct {
	Revision  uint64
	Table     []byte // a peerTable
	Instances []byte // a list of catalog.Instance
	Lapses    lapses
}

// lapses holds the time in milliseconds after which instances leave unless they are listed again.
// It passes between daemons in place of Instance.LapsesAt, because their clocks differ.
type lapses map[model.InstanceID]int64

// lapsesOf returns the lapses of a list, nil if there are none.
func lapsesOf(now time.Time, list []catalog.Instance) lapses {
	var l lapses
	for i := range list {
		if at := list[i].LapsesAt; !at.IsZero() {
			if l == nil {
				l = make(lapses)
			}
			l[list[i].ID] = at.Sub(now).Milliseconds()
		}
	}
	return l
}

// restore sets LapsesAt in a list.
func (l lapses) restore(now time.Time, list []catalog.Instance) {
	for i := range list {
		if ms, ok := l[list[i].ID]; ok {
			list[i].LapsesAt = now.Add(time.Duration(ms) * time.Millisecond)
		}
	}
}

// peerTable is a route table as daemons pass it to each other.
type peerTable struct {
	Version  uint64
	Routes   []route.Route
	Services []route.Service
	Limits   route.Limits
}

func encodeTable(t *route.Table) *peerTable {
	return &peerTable{Version: t.Version, Routes: t.Routes, Services: t.Services, Limits: t.Limits}
}

// compress encodes a value and compresses it: routes resemble each other, so that a table
// takes about a tenth.
func compress(value any) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := cbor.NewEncoder(w).Encode(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompress reverses compress.
func decompress(data []byte, value any) error {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxState))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(text, value)
}

// stateEncoder encodes states and keeps the last table in its compressed form: when many
// daemons start at once, all of them ask for the same one. It is safe for concurrent use.
type stateEncoder struct {
	mu     sync.Mutex
	table  *route.Table
	packed []byte
}

// encode returns the state of a view that has a table.
func (e *stateEncoder) encode(view *catalog.View) ([]byte, error) {
	table, err := e.pack(view.Table)
	if err != nil {
		return nil, err
	}
	instances, err := compress(view.Instances)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(peerState{Revision: view.Revision, Table: table, Instances: instances, Lapses: lapsesOf(time.Now(), view.Instances)})
}

// pack returns the compressed form of a table.
func (e *stateEncoder) pack(table *route.Table) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table == table {
		return e.packed, nil
	}
	packed, err := compress(encodeTable(table))
	if err != nil {
		return nil, err
	}
	e.table, e.packed = table, packed
	return packed, nil
}

// decodeState reads and validates the state of another daemon.
func decodeState(data []byte) (catalog.State, error) {
	var s peerState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return catalog.State{}, err
	}
	var packed peerTable
	if err := decompress(s.Table, &packed); err != nil {
		return catalog.State{}, err
	}
	var instances []catalog.Instance
	if err := decompress(s.Instances, &instances); err != nil {
		return catalog.State{}, err
	}
	s.Lapses.restore(time.Now(), instances)
	table, err := route.New(packed.Version, packed.Routes, packed.Services, packed.Limits)
	if err != nil {
		return catalog.State{}, err
	}
	state := catalog.State{Revision: s.Revision, Table: table}
	for i := range instances {
		inst := &instances[i]
		state.Entries = append(state.Entries, catalog.Entry{ID: inst.ID, Instance: inst, Revision: s.Revision})
	}
	return state, nil
}
