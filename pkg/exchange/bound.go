package exchange

import (
	"fmt"
	"math"
	"net"
)

// maxHead bounds the bytes before the body of an answer, those of interim answers included: four
// times what route tables allow callers to send.
const maxHead = 64 << 10

// BoundError is an answer that has passed a bound. Its connection is closed; the peer has begun to
// answer, so that the request may have run.
type BoundError struct {
	Limit  int64
	What   string // what Limit counts
	Remedy string
}

// Error names the bound and the remedy.
func (e *BoundError) Error() string {
	return fmt.Sprintf("more than %d %s; %s", e.Limit, e.What, e.Remedy)
}

var (
	errHead = &BoundError{
		Limit: maxHead, What: "bytes before the body of the answer", Remedy: "see which headers the peer sends",
	}
	errInterim = &BoundError{
		Limit: maxInterim, What: "interim answers (1xx) before the final one", Remedy: "let the peer send fewer",
	}
	errForeign = &BoundError{
		Limit: maxForeign, What: "answers to other requests on the connection", Remedy: "check that the peer answers each request once",
	}
)

func bodyError(limit int64) *BoundError {
	return &BoundError{Limit: limit, What: "bytes of the body of an answer", Remedy: "let the peer answer in parts"}
}

// Source reads from a connection as many bytes as it is allowed to.
type Source struct {
	conn  net.Conn
	left  int64
	taken int64
	over  *BoundError
}

// NewSource returns a source without a bound.
func NewSource(c net.Conn) *Source { return &Source{conn: c, left: math.MaxInt64} }

// Bound lets the next bytes up to the limit of the error be read, and fails with it beyond.
func (s *Source) Bound(over *BoundError) { s.left, s.taken, s.over = over.Limit, 0, over }

// BoundHead lets the bytes of a head be read.
func (s *Source) BoundHead() { s.Bound(errHead) }

// Unbound lifts the bound.
func (s *Source) Unbound() { s.left, s.over = math.MaxInt64, nil }

// Read implements io.Reader.
func (s *Source) Read(p []byte) (int, error) {
	if s.left <= 0 && s.over != nil {
		return 0, s.over
	}
	if int64(len(p)) > s.left {
		p = p[:s.left]
	}
	n, err := s.conn.Read(p)
	s.left -= int64(n)
	s.taken += int64(n)
	return n, err
}
