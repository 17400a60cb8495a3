package dissemination

import (
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
)

// Action is an output of the Core, to be performed in order.
type Action interface{ action() }

// Dial asks for a link to an instance. The runner answers with LinkUp or LinkDown.
type Dial struct{ Instance model.Instance }

// Close asks to close a link or to give up a dial. No LinkDown needs to follow.
type Close struct {
	Peer   model.InstanceID
	Reason string
}

// Send asks to send a message on a link. Data may be shared between actions and must
// not be changed.
type Send struct {
	Peer model.InstanceID
	Data []byte
}

// Watch turns the standing watches of the manifest and of the list on or off.
type Watch struct{ On bool }

// ReadManifest asks for one read of the manifest.
type ReadManifest struct{}

// ReadList asks for one read of the instance list.
type ReadList struct{}

// FetchSegments asks for the segments that a manifest names. Those in Have are at hand: the
// version in effect shares them.
type FetchSegments struct {
	Manifest snapshot.Manifest
	Have     map[model.Digest][]byte
}

// Apply puts a snapshot into effect. Its version is higher than any applied before.
type Apply struct {
	Snapshot *snapshot.Snapshot
	// Source is SourceStore or the ID of the daemon that sent the version.
	Source string
	// Previous is the snapshot that is replaced, nil for the first one.
	Previous *snapshot.Snapshot
}

// Members reports a changed view of the instances.
type Members struct{ View membership.View }

// Ready says whether the daemon may take new work.
type Ready struct{ On bool }

// Stale says that the daemon was paused and has not re-checked its view yet:
// non-repeatable requests are to be refused as not run.
type Stale struct{ On bool }

// Record is an entry for the audit trail.
type Record struct {
	Kind    RecordKind
	Version model.Version
	// Digest is the table digest; only the first 8 bytes are set when a peer sent no
	// more.
	Digest model.Digest
	// Source is SourceStore or the ID of a daemon.
	Source string
	Reason string
}

// Deliver hands over a message that another daemon published.
type Deliver struct {
	Topic string
	Data  []byte
	From  model.InstanceID
}

// SourceStore is the Source of what the platform's store sent.
const SourceStore = "store"

// RecordKind classes audit records.
type RecordKind string

// The kinds of records. A version that is seen is then accepted and applied, or
// rejected.
const (
	RecordSeen      RecordKind = "seen"
	RecordAccepted  RecordKind = "accepted"
	RecordRejected  RecordKind = "rejected"
	RecordApplied   RecordKind = "applied"
	RecordConflict  RecordKind = "conflict"
	RecordStale     RecordKind = "stale"
	RecordStaleList RecordKind = "stale_list"
	RecordMalformed RecordKind = "malformed"
)

func (Dial) action()          {}
func (Close) action()         {}
func (Send) action()          {}
func (Watch) action()         {}
func (ReadManifest) action()  {}
func (ReadList) action()      {}
func (FetchSegments) action() {}
func (Apply) action()         {}
func (Members) action()       {}
func (Ready) action()         {}
func (Stale) action()         {}
func (Record) action()        {}
func (Deliver) action()       {}
