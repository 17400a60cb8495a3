package mesh

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/route"
)

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

// decodeState reads and validates the state of another daemon.
func decodeState(data []byte) (catalog.State, error) {
	if len(data) > maxState {
		return catalog.State{}, fmt.Errorf("the state has %d bytes; at most %d are read", len(data), maxState)
	}
	var s peerState
	if err := cbor.Unmarshal(data, &s); err != nil {
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
