package dissemination

import (
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
)

// mode is what a subscriber wants to receive.
type mode uint8

const (
	// modeOff ends a subscription.
	modeOff mode = iota
	// modeEager asks for every version at once.
	modeEager
	// modeLazy asks for an advert of every version.
	modeLazy
	// modeStandby asks for a version only when the primary reader does not send it.
	modeStandby
	modeEnd
)

// kind is the first byte of a frame.
type kind uint8

// Message kinds. The values are part of the protocol.
const (
	kindSubscribe kind = iota + 1
	kindDelta
	kindAdvert
	kindPull
	kindFull
	kindBeacon
	kindMembers
	kindMembersPull
	kindMembersFull
	kindFlood
	kindQuery
)

// mark names a version and the start of its digest; the zero mark means none.
type mark struct {
	_       struct{} `cbor:",toarray"`
	Version model.Version
	Prefix  model.DigestPrefix
}

// subscribe changes what the sender receives on this link.
type subscribe struct {
	_        struct{} `cbor:",toarray"`
	Mode     mode
	Held     mark
	Revision uint64 // of the platform's list
}

// delta is a change between two versions. The body of the frame is the snapshot
// delta itself, because every byte of it crosses the paid link.
type delta []byte

// advert says that the sender holds a version. It is a hint to pull, nothing more.
type advert struct {
	_    struct{} `cbor:",toarray"`
	Held mark
}

// pull asks for the sender's version from the version held on; a zero mark asks for
// the complete version.
type pull struct {
	_    struct{} `cbor:",toarray"`
	Held mark
}

// full is a part of a complete version. Data of all parts in order is the
// concatenation of the segments.
type full struct {
	_        struct{} `cbor:",toarray"`
	Part     uint16
	Parts    uint16
	Manifest []byte // in part 0 only
	Data     []byte
}

// beacon is sent periodically to subscribers and in answer to a query.
type beacon struct {
	_         struct{} `cbor:",toarray"`
	Held      mark
	Heartbeat uint64
	Revision  uint64
	Members   uint64 // hash of the membership
}

// query asks for a beacon.
type query struct {
	_ struct{} `cbor:",toarray"`
}

// announcement is a membership.Announcement on the wire.
type announcement struct {
	_           struct{} `cbor:",toarray"`
	ID          model.InstanceID
	Incarnation uint64
	State       model.State
}

// listed is a listed instance on the wire; an array saves the map's keys.
type listed struct {
	_           struct{} `cbor:",toarray"`
	ID          model.InstanceID
	Service     string
	Region      string
	DataCentre  string
	ControlAddr string
	ForwardAddr string
	State       model.State
	Incarnation uint64
}

// members carries changes of the list from revision From to revision To, downwards
// only, and announcements in both directions. From equals To without list changes.
type members struct {
	_             struct{} `cbor:",toarray"`
	From, To      uint64
	Upserts       []listed
	Removed       []model.InstanceID
	Announcements []announcement
}

// membersPull asks for the buckets whose hashes differ. No hashes ask for all.
type membersPull struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Buckets  []uint64
}

// membersFull is a part of the answer to membersPull: compressed buckets.
type membersFull struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Part     uint16
	Parts    uint16
	Data     []byte
}

// bucket is a membership.Bucket on the wire.
type bucket struct {
	_         struct{} `cbor:",toarray"`
	Index     uint8
	Instances []listed
}

// flood is a published message on its way to all daemons.
type flood struct {
	_      struct{} `cbor:",toarray"`
	Origin model.InstanceID
	ID     uint64
	Topic  string
	Data   []byte
}

func toListed(i model.Instance) listed {
	return listed{
		ID: i.ID, Service: i.Service, Region: i.Place.Region, DataCentre: i.Place.DataCentre,
		ControlAddr: i.ControlAddr, ForwardAddr: i.ForwardAddr, State: i.State, Incarnation: i.Incarnation,
	}
}

func (l listed) instance() model.Instance {
	return model.Instance{
		ID: l.ID, Service: l.Service, Place: model.Place{Region: l.Region, DataCentre: l.DataCentre},
		ControlAddr: l.ControlAddr, ForwardAddr: l.ForwardAddr, State: l.State, Incarnation: l.Incarnation,
	}
}

func toInstances(wire []listed) []model.Instance {
	instances := make([]model.Instance, len(wire))
	for i, l := range wire {
		instances[i] = l.instance()
	}
	return instances
}

func toAnnouncement(a membership.Announcement) announcement {
	return announcement{ID: a.ID, Incarnation: a.Incarnation, State: a.State}
}

func (a announcement) membership() membership.Announcement {
	return membership.Announcement{ID: a.ID, Incarnation: a.Incarnation, State: a.State}
}
