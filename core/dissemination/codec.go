package dissemination

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
)

const (
	// MaxFrame bounds a frame in bytes.
	MaxFrame = 1 << 20
	// maxPart bounds the payload of one part of a complete version or membership, so
	// that other messages wait at most for one part.
	maxPart = 256 << 10
	// maxName bounds IDs, topics and addresses in messages, in bytes.
	maxName = 256
	// maxElements bounds arrays in messages.
	maxElements = 1 << 16
	// maxBuckets bounds the decompressed membership: 512 bytes for each instance.
	maxBuckets = membership.MaxInstances * 512
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: maxElements, MaxMapPairs: 16, MaxNestedLevels: 6,
	}.DecMode())
)

// must returns the value of a constructor whose constant options are known to be valid.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// FrameError reports a frame that cannot be read. The link is closed; a newer daemon
// may have sent a message that this one does not know.
type FrameError struct {
	Reason string
	Err    error
}

// Error names the reason.
func (e *FrameError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("malformed frame: %s: %v; check that both daemons run compatible releases", e.Reason, e.Err)
	}
	return fmt.Sprintf("malformed frame: %s; check that both daemons run compatible releases", e.Reason)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

// encode returns the frame of a message: one byte for the kind, then a CBOR array.
func encode(message any) []byte {
	if d, ok := message.(delta); ok {
		return append([]byte{byte(kindDelta)}, d...)
	}
	return append([]byte{byte(kindOf(message))}, must(encoder.Marshal(message))...)
}

func kindOf(message any) kind {
	switch message.(type) {
	case subscribe:
		return kindSubscribe
	case advert:
		return kindAdvert
	case pull:
		return kindPull
	case full:
		return kindFull
	case beacon:
		return kindBeacon
	case members:
		return kindMembers
	case membersPull:
		return kindMembersPull
	case membersFull:
		return kindMembersFull
	case flood:
		return kindFlood
	case query:
		return kindQuery
	}
	panic(fmt.Sprintf("dissemination: no kind for %T", message))
}

// decode reads a frame. The error is a *FrameError.
func decode(data []byte) (any, error) {
	if len(data) < 2 || len(data) > MaxFrame {
		return nil, &FrameError{Reason: fmt.Sprintf("%d bytes", len(data))}
	}
	body := data[1:]
	switch kind(data[0]) {
	case kindSubscribe:
		return decodeAs(body, func(m subscribe) bool { return m.Mode < modeEnd })
	case kindDelta:
		return delta(body), nil
	case kindAdvert:
		return decodeAs(body, func(advert) bool { return true })
	case kindPull:
		return decodeAs(body, func(pull) bool { return true })
	case kindFull:
		return decodeAs(body, func(m full) bool { return m.Part < m.Parts && len(m.Data) <= maxPart })
	case kindBeacon:
		return decodeAs(body, func(beacon) bool { return true })
	case kindMembers:
		return decodeAs(body, validMembers)
	case kindMembersPull:
		return decodeAs(body, func(m membersPull) bool { return len(m.Buckets) == 0 || len(m.Buckets) == membership.Buckets })
	case kindMembersFull:
		return decodeAs(body, func(m membersFull) bool { return m.Part < m.Parts && len(m.Data) <= maxPart })
	case kindFlood:
		return decodeAs(body, func(m flood) bool {
			return validName(string(m.Origin)) && validName(m.Topic) && len(m.Data) <= MaxPublish
		})
	case kindQuery:
		return decodeAs(body, func(query) bool { return true })
	}
	return nil, &FrameError{Reason: fmt.Sprintf("kind %d", data[0])}
}

func decodeAs[T any](body []byte, valid func(T) bool) (any, error) {
	var message T
	if err := decoder.Unmarshal(body, &message); err != nil {
		return nil, &FrameError{Reason: fmt.Sprintf("%T", message), Err: err}
	}
	if !valid(message) {
		return nil, &FrameError{Reason: fmt.Sprintf("%T out of bounds", message)}
	}
	return message, nil
}

func validName(name string) bool { return name != "" && len(name) <= maxName }

func validMembers(m members) bool {
	if m.From > m.To {
		return false
	}
	for _, id := range m.Removed {
		if !validName(string(id)) {
			return false
		}
	}
	for _, a := range m.Announcements {
		if !validName(string(a.ID)) || a.State > model.Leaving {
			return false
		}
	}
	return validListed(m.Upserts)
}

func validListed(instances []listed) bool {
	for _, i := range instances {
		if !validName(string(i.ID)) || i.State > model.Leaving {
			return false
		}
		for _, field := range []string{i.Service, i.Region, i.DataCentre, i.ControlAddr, i.ForwardAddr} {
			if len(field) > maxName {
				return false
			}
		}
	}
	return true
}

// encodeBuckets returns the compressed encoding of membership buckets.
func encodeBuckets(buckets []membership.Bucket) []byte {
	wire := make([]bucket, len(buckets))
	for i, b := range buckets {
		wire[i] = bucket{Index: b.Index, Instances: make([]listed, len(b.Instances))}
		for j, instance := range b.Instances {
			wire[i].Instances[j] = toListed(instance)
		}
	}
	return s2.EncodeBetter(nil, must(encoder.Marshal(wire)))
}

// decodeBuckets reverses encodeBuckets. The error is a *FrameError.
func decodeBuckets(data []byte) ([]membership.Bucket, error) {
	size, err := s2.DecodedLen(data)
	if err != nil || size > maxBuckets {
		return nil, &FrameError{Reason: "membership size", Err: err}
	}
	raw, err := s2.Decode(nil, data)
	if err != nil {
		return nil, &FrameError{Reason: "membership", Err: err}
	}
	var wire []bucket
	if err := decoder.Unmarshal(raw, &wire); err != nil {
		return nil, &FrameError{Reason: "membership", Err: err}
	}
	buckets := make([]membership.Bucket, len(wire))
	for i, b := range wire {
		if !validListed(b.Instances) {
			return nil, &FrameError{Reason: "membership out of bounds"}
		}
		buckets[i] = membership.Bucket{Index: b.Index, Instances: toInstances(b.Instances)}
	}
	return buckets, nil
}
