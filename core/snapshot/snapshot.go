// Package snapshot holds immutable, versioned tables and their encoded forms: manifest,
// segments and row deltas. Decoding treats all input as untrusted: sizes are bounded, and
// a table is validated as a whole before it becomes a Snapshot.
package snapshot

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
)

// Header names a version. The signature covers version, time and table digest; it and
// the key ID are empty for an unsigned version.
type Header struct {
	Version         model.Version
	PublishedMillis int64 // Unix time
	KeyID           string
	Signature       []byte
}

// SegmentRef names a segment by the SHA-256 and the size in bytes of its stored form.
type SegmentRef struct {
	_      struct{} `cbor:",toarray"`
	Digest model.Digest
	Size   uint32
}

// Manifest names the contents of a version.
type Manifest struct {
	Header
	TableDigest model.Digest
	Segments    []SegmentRef
}

// Snapshot is a version of the table. It is immutable: callers do not modify what its
// methods return. Snapshots that come from deltas share unchanged rows.
type Snapshot struct {
	header  Header
	digest  model.Digest
	table   table.Table
	digests []model.Digest // parallel to the rows
}

// Version returns the version, at least 1.
func (s *Snapshot) Version() model.Version { return s.header.Version }

// Digest returns the digest of the table.
func (s *Snapshot) Digest() model.Digest { return s.digest }

// Header returns the header.
func (s *Snapshot) Header() Header { return s.header }

// Table returns the table.
func (s *Snapshot) Table() *table.Table { return &s.table }

// Row returns the row of the service.
func (s *Snapshot) Row(service string) (*table.Row, bool) { return s.table.Row(service) }

// Build makes a version of a table, its manifest and its segments. A nil signer leaves
// it unsigned. The table belongs to the snapshot afterwards. The error is an *Error.
func Build(t *table.Table, v model.Version, published time.Time, signer *Signer) (*Snapshot, Manifest, [][]byte, error) {
	if err := t.Validate(); err != nil {
		return nil, Manifest{}, nil, fail(InvalidTable, v, err, "the table breaks a rule")
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

// Encode returns the manifest and the segments of the snapshot, for a receiver whose
// version is too old for a delta. The error is an *Error of kind TooLarge.
//
// Segments are cut before rows whose service hashes to a multiple of their usual number of
// rows, so that a changed, new or removed row changes one segment only, and a reader of the
// store fetches only that one.
func (s *Snapshot) Encode() (Manifest, [][]byte, error) {
	mask := uint64(minSegmentRows - 1)
	for uint64(len(s.table.Rows))/(mask+1) > usualSegments {
		mask = mask<<1 | 1
	}
	manifest, segments := s.encodeSegments(func(service string) bool { return xxhash.Sum64String(service)&mask == 0 })
	if len(segments) > MaxSegments { // only full segments are cut
		manifest, segments = s.encodeSegments(func(string) bool { return false })
	}
	if len(segments) > MaxSegments {
		return manifest, nil, fail(TooLarge, s.Version(), nil, "the table takes %d segments, at most %d are accepted", len(segments), MaxSegments)
	}
	return manifest, segments, manifest.check()
}

// encodeSegments cuts the rows before the services that cut selects, and where a segment is
// full.
func (s *Snapshot) encodeSegments(cut func(service string) bool) (Manifest, [][]byte) {
	manifest := Manifest{Header: s.header, TableDigest: s.digest}
	var segments [][]byte
	part, size := segmentWire{Layout: toLayoutWire(s.table.Layout)}, 0
	flush := func() {
		segment := encodeSegment(part)
		segments = append(segments, segment)
		manifest.Segments = append(manifest.Segments, SegmentRef{Digest: sha256.Sum256(segment), Size: uint32(len(segment))})
		part, size = segmentWire{}, 0
	}
	const layoutBytes = 16 << 10 // a layout of the largest size takes less
	for i := range s.table.Rows {
		row := encodeRow(&s.table.Rows[i])
		if size+len(row) > maxRawBytes-layoutBytes || len(part.Rows) > 0 && cut(s.table.Rows[i].Service) {
			flush()
		}
		part.Rows = append(part.Rows, row)
		size += len(row)
	}
	flush()
	return manifest, segments
}

func encodeSegment(part segmentWire) []byte {
	raw := encode(part)
	if out, ok := compress(raw); ok {
		return append([]byte{compressed}, out...)
	}
	return append([]byte{plain}, raw...)
}

// Open checks the manifest's signature, the digests and the table, and returns the
// snapshot. The verdict depends on the arguments only. The error is an *Error.
func Open(m Manifest, segments [][]byte, ver *Verifier) (*Snapshot, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	if err := ver.check(m.Header, m.TableDigest); err != nil {
		return nil, err
	}
	if len(segments) != len(m.Segments) {
		return nil, fail(Malformed, m.Version, nil, "%d segments are present, the manifest names %d", len(segments), len(m.Segments))
	}
	s := &Snapshot{header: m.Header, digest: m.TableDigest}
	s.header.Signature = slices.Clone(m.Signature)
	for i, segment := range segments {
		if len(segment) != int(m.Segments[i].Size) || sha256.Sum256(segment) != m.Segments[i].Digest {
			return nil, fail(DigestMismatch, m.Version, nil, "segment %d of %d is not the one that the manifest names", i+1, len(segments))
		}
		if err := s.addSegment(segment, i == 0); err != nil {
			return nil, err
		}
	}
	if err := s.table.Validate(); err != nil {
		return nil, fail(InvalidTable, m.Version, err, "the table breaks a rule")
	}
	s.digests = rowDigests(s.table.Rows)
	if tableDigest(s.table.Layout, s.digests) != m.TableDigest {
		return nil, fail(DigestMismatch, m.Version, nil, "the table is not the one that the manifest names")
	}
	return s, nil
}

// addSegment appends the rows of a segment to the table.
func (s *Snapshot) addSegment(data []byte, first bool) error {
	v := s.header.Version
	raw := data[1:]
	if data[0] == compressed {
		var err error
		if raw, err = decompress(raw, maxRawBytes, v); err != nil {
			return err
		}
	}
	var part segmentWire
	if err := decMode.Unmarshal(raw, &part); err != nil {
		return fail(Malformed, v, err, "a segment cannot be decoded")
	}
	if first != (part.Layout != nil) {
		return fail(Malformed, v, nil, "exactly the first segment has a layout")
	}
	if first {
		var ok bool
		if s.table.Layout, ok = fromLayoutWire(part.Layout); !ok {
			return fail(Malformed, v, nil, "the layout is too large or names an unknown region")
		}
	}
	if len(s.table.Rows)+len(part.Rows) > table.MaxRows {
		return fail(TooLarge, v, nil, "the table has more than %d rows", table.MaxRows)
	}
	for _, encoded := range part.Rows {
		row, err := decodeRow(encoded, s.table.Layout)
		if err != nil {
			return fail(Malformed, v, err, "row %d cannot be decoded", len(s.table.Rows)+1)
		}
		s.table.Rows = append(s.table.Rows, row)
	}
	return nil
}
