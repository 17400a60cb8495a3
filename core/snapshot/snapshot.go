// Package snapshot provides immutable, versioned snapshots of the table and their encoded forms: a
// manifest with segments, and deltas between versions. Decoding treats all input as untrusted:
// sizes are limited, and the whole table is validated before a Snapshot is returned.
package snapshot

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
)

// Header identifies a version of the table. The signature covers the version, the publication time
// and the table digest. KeyID and Signature are empty if the version is unsigned.
type Header struct {
	Version         model.Version
	PublishedMillis int64 // Unix time
	KeyID           string
	Signature       []byte
}

// SegmentRef identifies a segment by the SHA-256 digest and the size in bytes of its stored form.
type SegmentRef struct {
	_      struct{} `cbor:",toarray"`
	Digest model.Digest
	Size   uint32
}

// Manifest describes a version: its header, the digest of its table and its segments in order.
type Manifest struct {
	Header
	TableDigest model.Digest
	Segments    []SegmentRef
}

// Snapshot is one version of the table. It is immutable: callers must not modify the values that
// its methods return. A snapshot from ApplyDelta shares the unchanged rows with its base.
type Snapshot struct {
	header  Header
	digest  model.Digest
	table   table.Table
	digests []model.Digest // of the rows, in the same order
}

// Version returns the version number, which is at least 1.
func (s *Snapshot) Version() model.Version { return s.header.Version }

// Digest returns the digest of the table.
func (s *Snapshot) Digest() model.Digest { return s.digest }

// Header returns the version, publication time and signature.
func (s *Snapshot) Header() Header { return s.header }

// Table returns the table, which must not be modified.
func (s *Snapshot) Table() *table.Table { return &s.table }

// Row returns the row of a service, or false if there is none.
func (s *Snapshot) Row(service string) (*table.Row, bool) { return s.table.Row(service) }

// Build validates a table and returns a snapshot of it as version v, with the manifest and the
// segments. The version is unsigned if signer is nil. The snapshot keeps the table, which must not
// be modified afterwards. The error is an *Error.
func Build(t *table.Table, v model.Version, published time.Time, signer *Signer) (*Snapshot, Manifest, [][]byte, error) {
	if err := t.Validate(); err != nil {
		return nil, Manifest{}, nil, newError(InvalidTable, v, err, "the table is invalid")
	}
	header := Header{Version: v, PublishedMillis: published.UnixMilli()}
	if err := header.check(); err != nil {
		return nil, Manifest{}, nil, err
	}
	s := &Snapshot{header: header, table: *t, digests: rowDigests(t.Rows)}
	s.digest = tableDigest(t.Layout, s.digests)
	if signer != nil {
		signer.sign(&s.header, s.digest)
	}
	manifest, segments, err := s.Encode()
	return s, manifest, segments, err
}

// Encode returns the manifest and the segments of the snapshot, for receivers whose version is too
// old for a delta. The error is an *Error of kind TooLarge.
//
// A segment begins at each row whose service has a hash that is a multiple of the average number
// of rows per segment. The boundaries therefore depend on the names of the services and not on the
// positions of the rows: a changed, new or removed row usually changes one segment only, and
// readers of the store fetch only that one.
func (s *Snapshot) Encode() (Manifest, [][]byte, error) {
	mask := uint64(minSegmentRows - 1)
	for uint64(len(s.table.Rows))/(mask+1) > targetSegments {
		mask = mask<<1 | 1
	}
	manifest, segments := s.encodeSegments(func(service string) bool { return xxhash.Sum64String(service)&mask == 0 })
	if len(segments) > MaxSegments { // begin a segment only when the previous one is full
		manifest, segments = s.encodeSegments(func(string) bool { return false })
	}
	if len(segments) > MaxSegments {
		return manifest, nil, newError(TooLarge, s.Version(), nil, "the table needs %d segments, at most %d are accepted", len(segments), MaxSegments)
	}
	return manifest, segments, manifest.check()
}

// encodeSegments begins a new segment at each service for which isBoundary returns true, and when
// a segment is full.
func (s *Snapshot) encodeSegments(isBoundary func(service string) bool) (Manifest, [][]byte) {
	manifest := Manifest{Header: s.header, TableDigest: s.digest}
	var segments [][]byte
	wire, size := segmentWire{Layout: toLayoutWire(s.table.Layout)}, 0
	flush := func() {
		segment := encodeSegment(wire)
		segments = append(segments, segment)
		manifest.Segments = append(manifest.Segments, SegmentRef{Digest: sha256.Sum256(segment), Size: uint32(len(segment))})
		wire, size = segmentWire{}, 0
	}
	const layoutBytes = 16 << 10 // upper bound of the size of an encoded layout
	for i := range s.table.Rows {
		row := encodeRow(&s.table.Rows[i])
		if size+len(row) > maxRawBytes-layoutBytes || len(wire.Rows) > 0 && isBoundary(s.table.Rows[i].Service) {
			flush()
		}
		wire.Rows = append(wire.Rows, row)
		size += len(row)
	}
	flush()
	return manifest, segments
}

// encodeSegment returns a segment, compressed if that makes it smaller.
func encodeSegment(wire segmentWire) []byte {
	raw := encode(wire)
	if out, ok := compress(raw); ok {
		return append([]byte{compressed}, out...)
	}
	return append([]byte{uncompressed}, raw...)
}

// Open decodes a snapshot from its manifest and segments. It verifies the signature if verifier
// requires one, checks the digests and validates the table. The result depends on the arguments
// only. The error is an *Error.
func Open(m Manifest, segments [][]byte, verifier *Verifier) (*Snapshot, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	if err := verifier.check(m.Header, m.TableDigest); err != nil {
		return nil, err
	}
	if len(segments) != len(m.Segments) {
		return nil, newError(Malformed, m.Version, nil, "there are %d segments, but the manifest lists %d", len(segments), len(m.Segments))
	}
	s := &Snapshot{header: m.Header, digest: m.TableDigest}
	s.header.Signature = slices.Clone(m.Signature)
	for i, segment := range segments {
		if len(segment) != int(m.Segments[i].Size) || sha256.Sum256(segment) != m.Segments[i].Digest {
			return nil, newError(DigestMismatch, m.Version, nil, "segment %d of %d does not have the size and digest that the manifest lists", i+1, len(segments))
		}
		if err := s.addSegment(segment, i == 0); err != nil {
			return nil, err
		}
	}
	if err := s.table.Validate(); err != nil {
		return nil, newError(InvalidTable, m.Version, err, "the table is invalid")
	}
	s.digests = rowDigests(s.table.Rows)
	if tableDigest(s.table.Layout, s.digests) != m.TableDigest {
		return nil, newError(DigestMismatch, m.Version, nil, "the table does not have the digest that the manifest lists")
	}
	return s, nil
}

// addSegment decodes a segment and appends its rows to the table. The first segment also sets the
// layout.
func (s *Snapshot) addSegment(data []byte, first bool) error {
	v := s.header.Version
	raw := data[1:]
	if data[0] == compressed {
		var err error
		if raw, err = decompress(raw, maxRawBytes, v); err != nil {
			return err
		}
	}
	var wire segmentWire
	if err := decMode.Unmarshal(raw, &wire); err != nil {
		return newError(Malformed, v, err, "a segment cannot be decoded")
	}
	if first != (wire.Layout != nil) {
		return newError(Malformed, v, nil, "the first segment must have a layout and the others must not")
	}
	if first {
		var ok bool
		if s.table.Layout, ok = fromLayoutWire(wire.Layout); !ok {
			return newError(Malformed, v, nil, "the layout is too large or refers to an unknown region")
		}
	}
	if len(s.table.Rows)+len(wire.Rows) > table.MaxRows {
		return newError(TooLarge, v, nil, "the table has more than %d rows", table.MaxRows)
	}
	for _, encoded := range wire.Rows {
		row, err := decodeRow(encoded, s.table.Layout)
		if err != nil {
			return newError(Malformed, v, err, "row %d cannot be decoded", len(s.table.Rows)+1)
		}
		s.table.Rows = append(s.table.Rows, row)
	}
	return nil
}
