package mesh

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/route"
)

// peerState is the form in which daemons pass their state to each other.
type peerState struct {
	Revision  uint64
	Table     *peerTable
	Instances []catalog.Instance
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

// encodeState returns the state of a view that has a table.
func encodeState(view *catalog.View) ([]byte, error) {
	return compress(peerState{Revision: view.Revision, Table: encodeTable(view.Table), Instances: view.Instances})
}

// decodeState reads and validates the state of another daemon.
func decodeState(data []byte) (catalog.State, error) {
	var s peerState
	if err := decompress(data, &s); err != nil {
		return catalog.State{}, err
	}
	state := catalog.State{Revision: s.Revision}
	if s.Table != nil {
		table, err := route.New(s.Table.Version, s.Table.Routes, s.Table.Services, s.Table.Limits)
		if err != nil {
			return catalog.State{}, err
		}
		state.Table = table
	}
	for i := range s.Instances {
		inst := &s.Instances[i]
		state.Entries = append(state.Entries, catalog.Entry{ID: inst.ID, Instance: inst, Revision: s.Revision})
	}
	return state, nil
}
