package snapshot

import (
	"crypto/ed25519"
	"encoding/binary"
	"math"
)

const signatureBytes = ed25519.SignatureSize

// reader takes values off the front of data. After a failure all values are zero.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) fail() {
	r.data, r.failed = nil, true
}

// take returns the next n bytes, which alias the data.
func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.data) {
		r.fail()
		return nil
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *reader) byte() byte {
	if b := r.take(1); len(b) == 1 {
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

// fields returns the next n values.
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

// edit sets the fields that an opEdit names.
func (r *reader) edit(fields []uint32) {
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
