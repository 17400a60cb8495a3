package snapshot

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
)

// The first byte of a delta holds its format and flags. It is followed by the target version, the
// difference between the target and the base version, the difference between their publication
// times in milliseconds, the first 8 bytes of the target table's digest, the key ID and the
// signature if the target is signed, and the body. The body consists of the new layout, if it
// changed, and of operations on the rows of the base in their order. It is compressed if that
// makes it smaller. Signed deltas also contain the digest prefix, because it is the only means by
// which a receiver without keys can detect that a delta is for another base.
const (
	deltaFormat     = 0x10
	deltaCompressed = 1
	deltaSigned     = 2
	deltaLayout     = 4
	deltaFlags      = deltaCompressed | deltaSigned | deltaLayout
)

// Operations in the body of a delta. Each starts with a number that holds the operation in its
// lowest opBits bits and, above them, the number of unchanged rows of the base that precede it.
// All operations except opInsert consume the next row of the base.
const (
	opEdit    = 0 // for each changed field: (number of unchanged fields since the previous one)*2 + (1 if more follow), value
	opReplace = 1 // all fields
	opRemove  = 2
	opInsert  = 3 // length and name of the service, then all fields
	opBits    = 2
	opMask    = 1<<opBits - 1
)

// MakeDelta returns the delta from one snapshot to a later one. The error is an *Error of kind
// NotNewer, or of kind TooLarge, in which case the segments have to be sent instead.
//
// A changed row is encoded as its changed fields, or in full if that is shorter. For one changed
// cell in a table of 530 rows, an unsigned delta has 19 bytes. With the whole row it would have 34
// bytes at 4 data centres and 131 bytes at 39.
func MakeDelta(from, to *Snapshot) ([]byte, error) {
	if to.Version() <= from.Version() {
		return nil, newError(NotNewer, to.Version(), nil, "the target version is not newer than the base version %d", from.Version())
	}
	flags := byte(deltaFormat)
	var body []byte
	base := from.table.Rows
	if !from.table.Layout.Equal(to.table.Layout) {
		flags |= deltaLayout
		layout := encode(toLayoutWire(to.table.Layout))
		body = append(binary.AppendUvarint(nil, uint64(len(layout))), layout...)
		base = convertRows(base, from.table.Layout, to.table.Layout)
	}
	body = appendOps(body, base, to.table.Rows)
	if len(body) > maxDeltaRawBytes {
		return nil, newError(TooLarge, to.Version(), nil, "the delta's body has %d bytes, at most %d are accepted", len(body), maxDeltaRawBytes)
	}
	if out, ok := compress(body); ok {
		flags |= deltaCompressed
		body = out
	}
	if len(to.header.Signature) > 0 {
		flags |= deltaSigned
	}
	delta := append(appendDeltaHeader([]byte{flags}, from, to), body...)
	if len(delta) > MaxDeltaBytes {
		return nil, newError(TooLarge, to.Version(), nil, "the delta has %d bytes, at most %d are accepted", len(delta), MaxDeltaBytes)
	}
	return delta, nil
}

// appendDeltaHeader appends the header of a delta except its first byte.
func appendDeltaHeader(delta []byte, from, to *Snapshot) []byte {
	delta = binary.AppendUvarint(delta, uint64(to.Version()))
	delta = binary.AppendUvarint(delta, uint64(to.Version()-from.Version()))
	delta = binary.AppendVarint(delta, to.header.PublishedMillis-from.header.PublishedMillis)
	delta = append(delta, to.digest[:len(model.DigestPrefix{})]...)
	if len(to.header.Signature) > 0 {
		id := must(hex.DecodeString(to.header.KeyID)) // cannot fail: the key ID was checked before
		delta = append(append(delta, id...), to.header.Signature...)
	}
	return delta
}

// appendOps appends the operations that turn the rows of base into the rows of to. Both lists are
// sorted by service and have the same layout.
func appendOps(body []byte, base, to []table.Row) []byte {
	i, j, unchanged := 0, 0, uint64(0)
	appendOp := func(kind uint64) {
		body = binary.AppendUvarint(body, unchanged<<opBits|kind)
		unchanged = 0
	}
	for i < len(base) || j < len(to) {
		switch {
		case j == len(to) || i < len(base) && base[i].Service < to[j].Service:
			appendOp(opRemove)
			i++
		case i == len(base) || to[j].Service < base[i].Service:
			appendOp(opInsert)
			body = binary.AppendUvarint(body, uint64(len(to[j].Service)))
			body = append(body, to[j].Service...)
			body = appendFields(body, fieldsOf(&to[j]))
			j++
		case base[i].Equal(&to[j]):
			unchanged++
			i++
			j++
		default:
			fields := fieldsOf(&to[j])
			edits, full := appendEdits(nil, fieldsOf(&base[i]), fields), appendFields(nil, fields)
			if len(edits) <= len(full) {
				appendOp(opEdit)
				body = append(body, edits...)
			} else {
				appendOp(opReplace)
				body = append(body, full...)
			}
			i++
			j++
		}
	}
	return body
}

func appendFields(body []byte, fields []uint32) []byte {
	for _, value := range fields {
		body = binary.AppendUvarint(body, uint64(value))
	}
	return body
}

// appendEdits appends the changed fields in the encoding of opEdit. At least one must have
// changed.
func appendEdits(body []byte, old, new []uint32) []byte {
	var changed []int
	for i := range new {
		if old[i] != new[i] {
			changed = append(changed, i)
		}
	}
	previous := -1
	for n, i := range changed {
		key := uint64(i-previous-1) << 1
		if n < len(changed)-1 {
			key |= 1
		}
		body = binary.AppendUvarint(body, key)
		body = binary.AppendUvarint(body, uint64(new[i]))
		previous = i
	}
	return body
}

// convertRows converts rows from one layout to another. Data centres and regions that are only in
// the new layout get weight 0 and no limit.
func convertRows(rows []table.Row, from, to table.Layout) []table.Row {
	converted := make([]table.Row, len(rows))
	for i := range rows {
		row := rows[i]
		row.DataCentres = convertCells(rows[i].DataCentres, from.DataCentres, to.DataCentres)
		row.Regions = convertCells(rows[i].Regions, from.Regions, to.Regions)
		converted[i] = row
	}
	return converted
}

func convertCells[P comparable](cells []table.Cell, from, to []P) []table.Cell {
	converted := make([]table.Cell, len(to))
	for i, place := range to {
		converted[i] = table.Cell{LimitPerSecond: table.NoLimit}
		if k := slices.Index(from, place); k >= 0 {
			converted[i] = cells[k]
		}
	}
	return converted
}

// ApplyDelta applies a delta to its base and returns the resulting snapshot. It checks the digest
// of the table, verifies the signature if verifier requires one, and validates the table. The
// base, from, is not changed. The error is an *Error. If its kind is WrongBase or DigestMismatch,
// the full version may still be valid.
func ApplyDelta(from *Snapshot, delta []byte, verifier *Verifier) (*Snapshot, error) {
	if len(delta) > MaxDeltaBytes {
		return nil, newError(TooLarge, 0, nil, "the delta has %d bytes, at most %d are accepted", len(delta), MaxDeltaBytes)
	}
	r := &reader{data: delta}
	flags := r.byte()
	header, prefix, err := readDeltaHeader(r, flags, from)
	if err != nil {
		return nil, err
	}
	v := header.Version
	if verifier.Required() && flags&deltaSigned == 0 {
		return nil, verifier.check(header, model.Digest{}) // rejects the delta before its body is decoded
	}
	if flags&deltaCompressed != 0 {
		if r.data, err = decompress(r.data, maxDeltaRawBytes, v); err != nil {
			return nil, err
		}
	}
	s := &Snapshot{header: header}
	if err := s.applyBody(r, flags, from); err != nil {
		return nil, err
	}
	s.digest = tableDigest(s.table.Layout, s.digests)
	if s.digest.Prefix() != prefix {
		return nil, newError(DigestMismatch, v, nil, "applied to version %d, the delta does not result in a table with the digest in its header", from.Version())
	}
	if err := verifier.check(header, s.digest); err != nil {
		return nil, err
	}
	if err := s.table.Validate(); err != nil {
		return nil, newError(InvalidTable, v, err, "the table is invalid")
	}
	return s, nil
}

// readDeltaHeader reads the header of a delta and the digest prefix of the target's table. It
// returns an error if the header is malformed or from is not the base of the delta.
func readDeltaHeader(r *reader, flags byte, from *Snapshot) (Header, model.DigestPrefix, error) {
	var prefix model.DigestPrefix
	to, distance, millis := r.uvarint(), r.uvarint(), r.varint()
	copy(prefix[:], r.next(len(prefix)))
	header := Header{Version: model.Version(to), PublishedMillis: from.header.PublishedMillis + millis}
	if flags&deltaSigned != 0 {
		header.KeyID = hex.EncodeToString(r.next(keyIDBytes))
		header.Signature = bytes.Clone(r.next(signatureBytes))
	}
	switch {
	case r.failed || flags&^deltaFlags != deltaFormat:
		return header, prefix, newError(Malformed, header.Version, nil, "the delta's header is truncated or of an unknown format")
	case distance == 0 || distance >= to || to-distance != uint64(from.Version()):
		return header, prefix, newError(WrongBase, header.Version, nil, "the base of the delta is not version %d", from.Version())
	}
	return header, prefix, header.check()
}

// applyBody applies the body of a delta to the base, from, and sets the layout, the rows and the
// row digests of s.
func (s *Snapshot) applyBody(r *reader, flags byte, from *Snapshot) error {
	v := s.header.Version
	s.table.Layout = from.table.Layout
	base, digests := from.table.Rows, from.digests
	if flags&deltaLayout != 0 {
		var w layoutWire
		if err := decMode.Unmarshal(r.next(int(min(r.uvarint(), maxDeltaRawBytes))), &w); err != nil {
			return newError(Malformed, v, err, "the layout cannot be decoded")
		}
		var ok bool
		if s.table.Layout, ok = fromLayoutWire(&w); !ok {
			return newError(Malformed, v, nil, "the layout is too large or refers to an unknown region")
		}
		base = convertRows(base, from.table.Layout, s.table.Layout)
		digests = rowDigests(base)
	}
	s.table.Rows = make([]table.Row, 0, len(base)+1)
	s.digests = make([]model.Digest, 0, len(base)+1)
	for len(r.data) > 0 {
		key := r.uvarint()
		unchanged := int(min(key>>opBits, table.MaxRows))
		if unchanged > len(base) {
			return newError(Malformed, v, nil, "the delta refers to a row beyond the last one")
		}
		s.table.Rows, s.digests = append(s.table.Rows, base[:unchanged]...), append(s.digests, digests[:unchanged]...)
		base, digests = base[unchanged:], digests[unchanged:]
		kind := key & opMask
		if kind != opInsert && len(base) == 0 || !s.applyOp(r, kind, base) {
			return newError(Malformed, v, nil, "the delta is truncated or contains a value out of range")
		}
		if kind != opInsert {
			base, digests = base[1:], digests[1:]
		}
		if len(s.table.Rows)+len(base) > table.MaxRows {
			return newError(TooLarge, v, nil, "the table has more than %d rows", table.MaxRows)
		}
	}
	s.table.Rows, s.digests = append(s.table.Rows, base...), append(s.digests, digests...)
	return nil
}

// applyOp reads an operation and appends the row that results from it, if any. The operation
// applies to the first row of base. applyOp returns false if the operation is malformed.
func (s *Snapshot) applyOp(r *reader, kind uint64, base []table.Row) bool {
	var service string
	var fields []uint32
	switch kind {
	case opRemove:
		return true
	case opInsert:
		service = string(r.next(int(min(r.uvarint(), maxDeltaRawBytes))))
		fields = r.fields(fieldCount(s.table.Layout))
	case opReplace:
		service, fields = base[0].Service, r.fields(fieldCount(s.table.Layout))
	case opEdit:
		service, fields = base[0].Service, fieldsOf(&base[0])
		r.applyEdits(fields)
	}
	if r.failed {
		return false
	}
	row, ok := rowOf(service, fields, s.table.Layout)
	if ok {
		s.table.Rows, s.digests = append(s.table.Rows, row), append(s.digests, rowDigest(&row))
	}
	return ok
}
