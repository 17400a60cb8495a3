// Package model holds the value types that every other package shares:
// versions, digests, places and instances.
package model

import (
	"encoding/hex"
	"fmt"
)

// Version numbers an accepted table. Versions start at 1 and only rise; 0 means
// that no version is known.
type Version uint64

// Digest is the SHA-256 of a canonical encoding.
type Digest [32]byte

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Prefix returns the first 8 bytes of the digest, which messages carry in place of
// the whole digest.
func (d Digest) Prefix() DigestPrefix { return DigestPrefix(d[:8]) }

// DigestPrefix is the first 8 bytes of a Digest.
type DigestPrefix [8]byte

// String returns the prefix in lower-case hexadecimal.
func (p DigestPrefix) String() string { return hex.EncodeToString(p[:]) }

// InstanceID names an instance uniquely within the fleet.
type InstanceID string

// Place is the location of an instance.
type Place struct {
	Region     string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
}

// String returns the place as REGION/DC.
func (p Place) String() string { return p.Region + "/" + p.DataCentre }

// Distance classes the path between two places by cost.
type Distance uint8

// Distances, from cheapest to most expensive.
const (
	SameDataCentre Distance = iota
	SameRegion
	CrossRegion
)

// String returns the label that metrics use for the distance.
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

// DistanceTo classes the path from p to q.
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

// States in merge order: for one incarnation the higher state wins.
const (
	Live State = iota
	Leaving
)

// String returns the state's name as logs and JSON show it.
func (s State) String() string {
	if s == Leaving {
		return "leaving"
	}
	return "live"
}

// Instance is an upstream instance together with the daemon beside it.
type Instance struct {
	ID      InstanceID `cbor:"1,keyasint"`
	Service string     `cbor:"2,keyasint"`
	Place   Place      `cbor:"3,keyasint"`
	// ControlAddr is the daemon's UDP host:port for control traffic (QUIC).
	ControlAddr string `cbor:"4,keyasint"`
	// ForwardAddr is the daemon's TCP host:port for calls from other daemons.
	ForwardAddr string `cbor:"5,keyasint"`
	State       State  `cbor:"6,keyasint,omitempty"`
	// Incarnation is the start time of the daemon in Unix milliseconds, 0 when
	// the instance is known from the platform's list only.
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
}
