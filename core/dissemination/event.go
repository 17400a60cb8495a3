package dissemination

import (
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
)

// Event is an input of the Core.
type Event interface{ event() }

// Tick lets time pass. The runner sends it no later than NextTick says.
type Tick struct{}

// LinkUp reports a link to a peer, whichever side dialled.
type LinkUp struct{ Peer model.InstanceID }

// LinkDown reports that a link closed or that a dial failed.
type LinkDown struct {
	Peer model.InstanceID
	Err  error
}

// Frame is a message from a peer. The Core keeps Data.
type Frame struct {
	Peer model.InstanceID
	Data []byte
}

// StoreManifest is the answer to ReadManifest or news of the watch.
type StoreManifest struct {
	Data     []byte
	Revision uint64
	Err      error
}

// StoreSegments is the answer to FetchSegments.
type StoreSegments struct {
	Manifest snapshot.Manifest
	Segments [][]byte
	Err      error
}

// StoreList is the answer to ReadList or news of the watch. The Core keeps Instances.
type StoreList struct {
	Revision  uint64
	Instances []model.Instance
	Err       error
}

// Leave starts the announcement that the instance is leaving.
type Leave struct{}

// Publish floods a small message to all daemons, which get it as Deliver.
type Publish struct {
	Topic string
	Data  []byte
}

func (Tick) event()          {}
func (LinkUp) event()        {}
func (LinkDown) event()      {}
func (Frame) event()         {}
func (StoreManifest) event() {}
func (StoreSegments) event() {}
func (StoreList) event()     {}
func (Leave) event()         {}
func (Publish) event()       {}
