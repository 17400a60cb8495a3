package snapshot

import (
	"crypto/sha256"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
)

// Limits on encoded data. They bound the memory that decoding untrusted data can use.
const (
	// maxRawBytes limits a segment before compression, so that a segment that zstd cannot shrink
	// also stays below MaxSegmentBytes (900 KB).
	maxRawBytes = 880_000
	// MaxSegmentBytes limits a stored segment.
	MaxSegmentBytes = 900_000
	// MaxSegments limits the number of segments of a version.
	MaxSegments = 64
	// MaxVersionBytes limits the total size of the segments of a version: 16 full segments hold
	// table.MaxCells cells.
	MaxVersionBytes = 16 * MaxSegmentBytes
	// minSegmentRows and targetSegments determine the average number of rows per segment: a table
	// has about 12 to 24 segments, or fewer if they would have less than 32 rows on average.
	// Segments of 32 rows still compress well enough.
	minSegmentRows, targetSegments = 32, 24
	// MaxManifestBytes limits an encoded manifest.
	MaxManifestBytes = 8 << 10
	// MaxDeltaBytes limits a delta. A larger change is sent as segments.
	MaxDeltaBytes = 900_000
	// maxDeltaRawBytes limits the body of a delta before compression.
	maxDeltaRawBytes = 4 << 20
	// maxMillis is the latest publication time, the end of the year 9999, as Unix time in
	// milliseconds.
	maxMillis = 253_402_300_799_999
)

// Values of the first byte of a segment.
const (
	uncompressed = 0
	compressed   = 1
)

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: table.MaxRows, MaxNestedLevels: 8, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
	// EncodeAll and DecodeAll are safe for concurrent use. At the default level, a table of 530
	// rows and 39 data centres is compressed to 54,040 bytes and the encoder uses 1.7 MB of
	// memory. The best level needs 36 MB to compress it to 50,779 bytes.
	zstdEncoder = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithEncoderCRC(false), zstd.WithSingleSegment(true), zstd.WithWindowSize(1<<20), zstd.WithLowerEncoderMem(true)))
	zstdDecoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDeltaRawBytes),
		zstd.WithDecoderMaxWindow(maxDeltaRawBytes), zstd.WithDecoderLowmem(true)))
)

// must returns v. It panics on an error and is used only where an error means a bug: for codecs
// with constant options, and for values that are valid by construction.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// compress compresses data with zstd. It returns false if that does not make the data smaller.
func compress(data []byte) ([]byte, bool) {
	out := zstdEncoder.EncodeAll(data, nil)
	return out, len(out) < len(data)
}

// decompress reverses compress. The result has at most limit bytes: the declared size is checked
// before the data is decompressed.
func decompress(data []byte, limit int, v model.Version) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(data); err != nil {
		return nil, newError(Malformed, v, err, "the zstd header cannot be read")
	}
	if !header.HasFCS || header.FrameContentSize > uint64(limit) {
		return nil, newError(TooLarge, v, nil, "the decompressed size is not declared or exceeds %d bytes", limit)
	}
	out, err := zstdDecoder.DecodeAll(data, make([]byte, 0, header.FrameContentSize))
	if err != nil {
		return nil, newError(Malformed, v, err, "the zstd data cannot be decompressed")
	}
	if len(out) > limit {
		return nil, newError(TooLarge, v, nil, "the decompressed data exceeds %d bytes", limit)
	}
	return out, nil
}

// rowWire is the encoded form of a row. The order of the fields is that of fieldsOf.
type rowWire struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Fields  []uint32
}

// layoutWire is the encoded form of a layout.
type layoutWire struct {
	_           struct{} `cbor:",toarray"`
	Regions     []string
	DataCentres []dataCentreWire
}

// dataCentreWire is the encoded form of a data centre: the index of its region in the layout, and
// its name.
type dataCentreWire struct {
	_      struct{} `cbor:",toarray"`
	Region uint16
	Name   string
}

// segmentWire is the encoded form of a segment. Only the first segment of a version has a layout.
type segmentWire struct {
	_      struct{} `cbor:",toarray"`
	Layout *layoutWire
	Rows   []cbor.RawMessage
}

// Positions of values in the fields of a row. From fieldCells on follow the weight and the limit
// of each data centre, then those of each region. A limit is encoded as the limit plus one, and no
// limit as 0, because no limit is the common case and 0 takes one byte.
const (
	fieldFlags    = 0 // idempotency in bits 0 and 1, internal in bit 2
	fieldDeadline = 1 // milliseconds
	fieldCells    = 2
	maxFlags      = 7
	flagInternal  = 4
)

// fieldCount returns the number of fields of a row in a layout.
func fieldCount(l table.Layout) int { return fieldCells + 2*(len(l.DataCentres)+len(l.Regions)) }

// fieldsOf returns the values of a row except its service as fields.
func fieldsOf(r *table.Row) []uint32 {
	fields := make([]uint32, fieldCells, fieldCells+2*(len(r.DataCentres)+len(r.Regions)))
	fields[fieldFlags] = uint32(r.Idempotent)
	if r.Internal {
		fields[fieldFlags] |= flagInternal
	}
	fields[fieldDeadline] = uint32(r.Deadline / time.Millisecond)
	for _, cells := range [][]table.Cell{r.DataCentres, r.Regions} {
		for _, cell := range cells {
			fields = append(fields, cell.Weight, cell.LimitPerSecond+1) // NoLimit wraps to 0
		}
	}
	return fields
}

// rowOf returns the row of a service from its fields. It returns false if the fields do not match
// the layout.
func rowOf(service string, fields []uint32, l table.Layout) (table.Row, bool) {
	if len(fields) != fieldCount(l) || fields[fieldFlags] > maxFlags {
		return table.Row{}, false
	}
	cells, split := make([]table.Cell, len(l.DataCentres)+len(l.Regions)), len(l.DataCentres)
	for i := range cells {
		cells[i] = table.Cell{Weight: fields[fieldCells+2*i], LimitPerSecond: fields[fieldCells+2*i+1] - 1}
	}
	return table.Row{
		Service: service, Idempotent: table.Idempotency(fields[fieldFlags] & 3), Internal: fields[fieldFlags]&flagInternal != 0,
		Deadline: time.Duration(fields[fieldDeadline]) * time.Millisecond, DataCentres: cells[:split:split], Regions: cells[split:],
	}, true
}

func encodeRow(r *table.Row) []byte { return encode(rowWire{Service: r.Service, Fields: fieldsOf(r)}) }

func decodeRow(encoded []byte, l table.Layout) (table.Row, error) {
	var w rowWire
	if err := decMode.Unmarshal(encoded, &w); err != nil {
		return table.Row{}, err
	}
	row, ok := rowOf(w.Service, w.Fields, l)
	if !ok {
		return row, newError(Malformed, 0, nil, "the row does not match the layout")
	}
	return row, nil
}

func toLayoutWire(l table.Layout) *layoutWire {
	w := &layoutWire{Regions: l.Regions, DataCentres: make([]dataCentreWire, len(l.DataCentres))}
	index := make(map[string]uint16, len(l.Regions))
	for i, region := range l.Regions {
		index[region] = uint16(i)
	}
	for i, dc := range l.DataCentres {
		w.DataCentres[i] = dataCentreWire{Region: index[dc.Region], Name: dc.DataCentre}
	}
	return w
}

func fromLayoutWire(w *layoutWire) (table.Layout, bool) {
	l := table.Layout{Regions: w.Regions, DataCentres: make([]model.Place, len(w.DataCentres))}
	if len(l.Regions) > table.MaxRegions || len(l.DataCentres) > table.MaxDataCentres {
		return l, false
	}
	for i, dc := range w.DataCentres {
		if int(dc.Region) >= len(l.Regions) {
			return l, false
		}
		l.DataCentres[i] = model.Place{Region: l.Regions[dc.Region], DataCentre: dc.Name}
	}
	return l, true
}

// encode returns the deterministic CBOR encoding of a value of a wire type, which cannot fail.
func encode(v any) []byte { return must(encMode.Marshal(v)) }

// rowDigests returns the SHA-256 digest of the encoding of each row.
func rowDigests(rows []table.Row) []model.Digest {
	digests := make([]model.Digest, len(rows))
	for i := range rows {
		digests[i] = rowDigest(&rows[i])
	}
	return digests
}

func rowDigest(r *table.Row) model.Digest { return sha256.Sum256(encodeRow(r)) }

// tableDigest returns the SHA-256 digest of the encoded layout and the digests of the rows. When
// one row changes, only that row has to be encoded again to compute it.
func tableDigest(l table.Layout, rows []model.Digest) model.Digest {
	h := sha256.New()
	layout := encode(toLayoutWire(l))
	h.Write(encode([]int{len(layout), len(rows)}))
	h.Write(layout)
	for i := range rows {
		h.Write(rows[i][:])
	}
	return model.Digest(h.Sum(nil))
}
