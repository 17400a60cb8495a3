package once

import (
	"math"

	"mangoshed.example/mangoshed/core/model"
)

// MessageKind distinguishes ownership messages.
type MessageKind uint8

// Kinds of messages between the daemons of one service.
const (
	// Probe asks for the state of another instance and changes nothing.
	Probe MessageKind = iota + 1
	// Ask requests the acknowledgement of the sender's interval.
	Ask
	// Release ends the interval of a leaving sender.
	Release
	// HandOver carries records of a leaving sender.
	HandOver
)

// Span is an interval of creation times in Unix milliseconds, without its end.
type Span struct {
	Since int64 `cbor:"1,keyasint"`
	Until int64 `cbor:"2,keyasint"`
	// Heirs are the hashes of the instances to which the records of the span were handed, each
	// record to the first of them in the order of its key. Empty: the records are lost.
	Heirs []uint64 `cbor:"3,keyasint,omitempty"`
}

// forever is the end of an open interval.
const forever = math.MaxInt64

func (s Span) contains(created int64) bool { return s.Since <= created && created < s.Until }

// Message is a request between daemons of one service. The transport authenticates the sender.
type Message struct {
	Kind        MessageKind    `cbor:"1,keyasint"`
	From        model.Instance `cbor:"2,keyasint"`
	Incarnation uint64         `cbor:"3,keyasint"`
	// Revision is the sender's list revision.
	Revision uint64 `cbor:"4,keyasint"`
	// Since is the start of the interval that an Ask requests.
	Since int64 `cbor:"5,keyasint,omitempty"`
	// Known is a hash of the instances and incarnations that the sender knows; an answer
	// names them only when they differ.
	Known uint64 `cbor:"6,keyasint,omitempty"`
	// Until is the end of the sender's interval in a Release.
	Until int64 `cbor:"7,keyasint,omitempty"`
	// Spans are what a Release leaves behind: empty while the sender still finishes requests.
	Spans   []Span   `cbor:"8,keyasint,omitempty"`
	Records []Record `cbor:"9,keyasint,omitempty"`
}

// Neighbour is an instance that the sender of an answer knows.
type Neighbour struct {
	Instance    model.Instance `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	// Revision is the highest list revision known to contain the instance.
	Revision uint64 `cbor:"3,keyasint"`
}

// Reply answers a message.
type Reply struct {
	// OK acknowledges an Ask, a Release or a HandOver.
	OK          bool   `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Confirmed says that the answering instance owns keys.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
	// Since echoes the Ask.
	Since int64 `cbor:"4,keyasint,omitempty"`
	// Highest is a bound of the creation times of the keys that the instance can have run, in
	// this incarnation or an earlier one. An Ask must request a later Since.
	Highest int64 `cbor:"5,keyasint"`
	// Neighbours are the instances that the answering instance knows, if Known differs.
	Neighbours []Neighbour `cbor:"6,keyasint,omitempty"`
	// Past are the intervals of earlier incarnations of the asker.
	Past []Span `cbor:"7,keyasint,omitempty"`
}

// Send is an action: deliver the message to the instance and pass its answer to Core.Reply,
// or the loss to Core.Lost.
type Send struct {
	To      model.Instance
	Message Message
}

// List is a list of instances, as a daemon's view holds it.
type List struct {
	// Revision is the list's revision; lower ones than a known one are ignored.
	Revision uint64
	// Instances are the instances of the core's service.
	Instances []model.Instance
	// Fresh says that the list was read from the platform after the start of this process.
	Fresh bool
}
