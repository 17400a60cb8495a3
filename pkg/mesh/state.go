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

// peerState is the encoding in which daemons send each other their full state. The table and the
// instances are compressed separately, so that a table is compressed only once for all peers that
// request it.
type peerState struct {
	Revision  uint64
	Table     []byte // compressed peerTable
	Instances []byte // compressed list of catalog.Instance
	Lapses    removalDelays
	Evacuated []catalog.Evacuation
	Restore   *peerRestore
}

// removalDelays holds the remaining time in milliseconds until instances are removed, for those whose
// entries expired during a store outage and that have not registered again. It is sent instead of
// Instance.LapsesAt, because the clocks of daemons differ.
type removalDelays map[model.InstanceID]int64

// removalDelaysOf returns the remaining times of the instances for which LapsesAt is set; nil if there are
// none.
func removalDelaysOf(now time.Time, list []catalog.Instance) removalDelays {
	var delays removalDelays
	for i := range list {
		if at := list[i].LapsesAt; !at.IsZero() {
			if delays == nil {
				delays = make(removalDelays)
			}
			delays[list[i].ID] = at.Sub(now).Milliseconds()
		}
	}
	return delays
}

// restore sets LapsesAt of the instances in the list.
func (delays removalDelays) restore(now time.Time, list []catalog.Instance) {
	for i := range list {
		if ms, ok := delays[list[i].ID]; ok {
			list[i].LapsesAt = now.Add(time.Duration(ms) * time.Millisecond)
		}
	}
}

// peerTable is the encoding of a route table between daemons.
type peerTable struct {
	Version  uint64
	Routes   []route.Route
	Services []route.Service
	Limits   route.Limits
}

func encodeTable(t *route.Table) *peerTable {
	return &peerTable{Version: t.Version, Routes: t.Routes, Services: t.Services, Limits: t.Limits}
}

// compress encodes a value as CBOR and compresses it. Routes resemble each other, so compression
// reduces a route table to about a tenth of its size.
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

// decompress decompresses and decodes the output of compress.
func decompress(data []byte, value any) error {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxStateBytes))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, value)
}

// stateEncoder encodes full states. It caches the compressed form of the last table, because
// daemons that start at the same time all request the same table. It is safe for concurrent use.
type stateEncoder struct {
	mu     sync.Mutex
	table  *route.Table
	packed []byte
}

// encode returns the encoded state of a view, which must have a table.
func (e *stateEncoder) encode(view *catalog.View) ([]byte, error) {
	table, err := e.pack(view.Table)
	if err != nil {
		return nil, err
	}
	listed := view.AllListed()
	instances, err := compress(listed)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(peerState{Revision: view.Revision, Table: table, Instances: instances, Lapses: removalDelaysOf(time.Now(), listed), Evacuated: view.Evacuated, Restore: encodeRestore(time.Now(), view)})
}

// pack returns the compressed form of a table, from the cache if it is the last one.
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

// decodeState decodes and validates the state of a peer.
func decodeState(data []byte) (catalog.State, error) {
	var s peerState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return catalog.State{}, err
	}
	var decoded peerTable
	if err := decompress(s.Table, &decoded); err != nil {
		return catalog.State{}, err
	}
	var instances []catalog.Instance
	if err := decompress(s.Instances, &instances); err != nil {
		return catalog.State{}, err
	}
	s.Lapses.restore(time.Now(), instances)
	table, err := route.New(decoded.Version, decoded.Routes, decoded.Services, decoded.Limits)
	if err != nil {
		return catalog.State{}, err
	}
	state := catalog.State{Revision: s.Revision, Table: table, Evacuations: s.Evacuated}
	s.Restore.addTo(time.Now(), &state)
	for i := range instances {
		inst := &instances[i]
		state.Entries = append(state.Entries, catalog.Entry{ID: inst.ID, Instance: inst, Revision: s.Revision})
	}
	return state, nil
}
