package once

import (
	"math"

	"mangoshed.example/mangoshed/core/model"
)

// MessageKind is the kind of an ownership message.
type MessageKind uint8

// Kinds of messages between the daemons of one service.
const (
	// Probe asks for the state of another instance and changes nothing.
	Probe MessageKind = iota + 1
	// Acquire requests that the receiver acknowledge the sender's interval: the range of key
	// creation times in which the sender owns keys.
	Acquire
	// Release sets the end of the interval of a sender that is leaving.
	Release
	// HandOver transfers records of a sender that is leaving.
	HandOver
)

// Span is a half-open interval of key creation times in Unix milliseconds: Until is excluded.
type Span struct {
	Since int64 `cbor:"1,keyasint"`
	Until int64 `cbor:"2,keyasint"`
	// Heirs are the hashes of the instances that received the records of the interval, each record
	// going to the first of them in the rendezvous hashing order of its key. If Heirs is empty, the
	// records are lost.
	Heirs []uint64 `cbor:"3,keyasint,omitempty"`
}

// forever is the Until of an interval without an end.
const forever = math.MaxInt64

func (s Span) contains(created int64) bool { return s.Since <= created && created < s.Until }

// Message is a request from one daemon of a service to another. The transport authenticates the
// sender.
type Message struct {
	Kind        MessageKind    `cbor:"1,keyasint"`
	From        model.Instance `cbor:"2,keyasint"`
	Incarnation uint64         `cbor:"3,keyasint"`
	// Revision is the revision of the sender's instance list.
	Revision uint64 `cbor:"4,keyasint"`
	// Since is the start of the interval that an Acquire requests.
	Since int64 `cbor:"5,keyasint,omitempty"`
	// Known is a hash of the instances and incarnations that the sender knows. A reply lists
	// the receiver's only if the hashes differ.
	Known uint64 `cbor:"6,keyasint,omitempty"`
	// Until is the new end of the sender's interval in a Release.
	Until int64 `cbor:"7,keyasint,omitempty"`
	// Spans are the intervals of the sender's past ownership in the Release that completes its
	// handover. They are empty in the first Release, while the sender still has requests in flight.
	Spans   []Span   `cbor:"8,keyasint,omitempty"`
	Records []Record `cbor:"9,keyasint,omitempty"`
}

// Neighbour is an instance that the sender of a reply knows.
type Neighbour struct {
	Instance    model.Instance `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	// Revision is the highest revision of the instance list known to contain the instance.
	Revision uint64 `cbor:"3,keyasint"`
}

// Reply is the reply to a Message.
type Reply struct {
	// OK acknowledges an Acquire, a Release or a HandOver.
	OK          bool   `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Confirmed reports whether the replying instance owns keys.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
	// Since is the Since of the message.
	Since int64 `cbor:"4,keyasint,omitempty"`
	// Highest is an upper bound of the creation times of the keys that the replying instance may
	// have run in this or an earlier incarnation. The Since of an Acquire must be later.
	Highest int64 `cbor:"5,keyasint"`
	// Neighbours are the instances that the replying instance knows. They are sent only if Known
	// differs.
	Neighbours []Neighbour `cbor:"6,keyasint,omitempty"`
	// Past are the intervals of earlier incarnations of the instance that sent the message.
	Past []Span `cbor:"7,keyasint,omitempty"`
}

// Send is an action for the caller of Core: deliver the message to the instance and pass its reply
// to Core.Reply. If the message or the reply is lost, Core.Tick returns the message again.
type Send struct {
	To      model.Instance
	Message Message
}

// List is the part of a daemon's view that concerns its own service.
type List struct {
	// Revision is the revision of the list. Core ignores a list older than the newest one received.
	Revision uint64
	// Instances are the instances of the service.
	Instances []model.Instance
	// Fresh reports whether the list was read from the platform after the start of this process.
	Fresh bool
}
