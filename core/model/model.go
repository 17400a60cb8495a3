// Package model defines the value types that the other packages share:
// versions, digests, places and instances.
package model

import (
	"encoding/hex"
	"fmt"
)

// Version is the version number of an accepted route table. Versions start at 1 and
// only increase; 0 means that no version is known.
type Version uint64

// Digest is the SHA-256 of a canonical encoding.
type Digest [32]byte

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Prefix returns the first 8 bytes of the digest, which messages between daemons
// contain instead of the whole digest.
func (d Digest) Prefix() DigestPrefix { return DigestPrefix(d[:8]) }

// DigestPrefix is the first 8 bytes of a Digest.
type DigestPrefix [8]byte

// String returns the prefix in lower-case hexadecimal.
func (p DigestPrefix) String() string { return hex.EncodeToString(p[:]) }

// InstanceID is the ID of an instance, unique within the fleet.
type InstanceID string

// Place is the location of an instance.
type Place struct {
	Region     string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
}

// String returns the place as REGION/DATA_CENTRE.
func (p Place) String() string { return p.Region + "/" + p.DataCentre }

// Distance is the cost class of the network path between two places.
type Distance uint8

// Distances, from cheapest to most expensive.
const (
	SameDataCentre Distance = iota
	SameRegion
	CrossRegion
)

// String returns the distance as metrics label it.
func (d Distance) String() string {
	switch d {
	case SameDataCentre:
		return "same_data_centre"
	case SameRegion:
		return "same_region"
	case CrossRegion:
		return "cross_region"
	}
	return fmt.Sprintf("distance(%d)", uint8(d))
}

// DistanceTo returns the distance from p to q.
func (p Place) DistanceTo(q Place) Distance {
	switch {
	case p == q:
		return SameDataCentre
	case p.Region == q.Region:
		return SameRegion
	}
	return CrossRegion
}

// State is the life-cycle state of an instance.
type State uint8

// States of an instance. If two states of the same incarnation are known, the higher one wins.
// Leaving means that the instance is shutting down gracefully.
const (
	Live State = iota
	Leaving
)

// String returns the name of the state in logs and JSON.
func (s State) String() string {
	if s == Leaving {
		return "leaving"
	}
	return "live"
}

// Instance is an upstream instance together with its own daemon (sidecar).
type Instance struct {
	ID      InstanceID `cbor:"1,keyasint"`
	Service string     `cbor:"2,keyasint"`
	Place   Place      `cbor:"3,keyasint"`
	// ControlAddr is the UDP host:port of the daemon for control traffic (QUIC).
	ControlAddr string `cbor:"4,keyasint"`
	// ForwardAddr is the TCP host:port of the daemon for calls from other daemons.
	ForwardAddr string `cbor:"5,keyasint"`
	State       State  `cbor:"6,keyasint,omitempty"`
	// Incarnation is the start time of the daemon in Unix milliseconds, or 0 if
	// the instance is known only from the platform's list.
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
}
