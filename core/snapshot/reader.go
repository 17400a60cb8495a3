package snapshot

import (
	"crypto/ed25519"
	"encoding/binary"
	"math"
)

const signatureBytes = ed25519.SignatureSize

// reader decodes values from the front of data. Once a read has failed, all further reads return
// zero values.
type reader struct {
	data   []byte
	failed bool
}

// fail marks the reader as failed and discards the rest of the data.
func (r *reader) fail() {
	r.data, r.failed = nil, true
}

// next returns the next n bytes as a slice of the data.
func (r *reader) next(n int) []byte {
	if n < 0 || n > len(r.data) {
		r.fail()
		return nil
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *reader) byte() byte {
	if b := r.next(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[n:]
	return value
}

func (r *reader) varint() int64 {
	value, n := binary.Varint(r.data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[n:]
	return value
}

func (r *reader) uint32() uint32 {
	value := r.uvarint()
	if value > math.MaxUint32 {
		r.fail()
		return 0
	}
	return uint32(value)
}

// fields returns the next n values as the fields of a row. Each takes at least one byte, so n is
// checked against the size of the data before the slice is allocated.
func (r *reader) fields(n int) []uint32 {
	if n > len(r.data) {
		r.fail()
		return nil
	}
	fields := make([]uint32, n)
	for i := range fields {
		fields[i] = r.uint32()
	}
	return fields
}

// applyEdits reads the changes of an opEdit operation and applies them to the fields of its row.
func (r *reader) applyEdits(fields []uint32) {
	for i, more := 0, true; more && !r.failed; i++ {
		key := r.uvarint()
		more = key&1 != 0
		if key>>1 >= uint64(len(fields)-i) {
			r.fail()
			return
		}
		i += int(key >> 1)
		fields[i] = r.uint32()
	}
}
