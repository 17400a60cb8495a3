package exchange

import (
	"errors"
	"io"
	"net/http"
)

const (
	// firstBody is the size in bytes of the first buffer for a body of unknown length.
	firstBody = 4 << 10
	// trustedLength is the length in bytes of a body that is allocated before it arrives. Of a longer
	// one this much has to arrive first, so that an announcement alone holds no more.
	trustedLength = 1 << 20
)

// bodyReader reads a body into memory that it takes from a budget.
type bodyReader struct {
	share  *share
	limit  int64
	length int64 // negative if unknown
	buffer []byte
}

// read reads the whole body.
func (b *bodyReader) read(src io.Reader) error {
	first := int64(firstBody)
	if b.length >= 0 {
		first = min(b.length, trustedLength)
	}
	if err := b.grow(first); err != nil {
		return err
	}
	for {
		n, err := src.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		got := int64(len(b.buffer))
		switch {
		case got > b.limit:
			return bodyError(b.limit)
		case got == b.length || errors.Is(err, io.EOF):
			return nil // a body that ends before its length does so with another error
		case err != nil:
			return err
		case len(b.buffer) < cap(b.buffer):
			continue
		}
		if err := b.grow(b.next()); err != nil {
			return err
		}
	}
}

// next returns the size of the next buffer.
func (b *bodyReader) next() int64 {
	if b.length >= 0 {
		return b.length
	}
	size := int64(cap(b.buffer))
	next := min(2*size, b.limit+1)
	if budget := b.share.budget; budget != nil && size+next > budget.Limit() {
		next = max(size+1, budget.Limit()-size) // the largest that the budget can ever hold beside it
	}
	return next
}

// grow changes to a buffer of the size. Both are counted while one is copied to the other.
func (b *bodyReader) grow(size int64) error {
	if err := b.share.take(size); err != nil {
		return err
	}
	old := int64(cap(b.buffer))
	b.buffer = append(make([]byte, 0, size), b.buffer...)
	b.share.give(old)
	return nil
}

// readBody reads the body of an answer; the share holds its bytes.
func (x *transfer) readBody(head *http.Response) (body []byte, held *share, err error) {
	held = x.client.cfg.Budget.open(func() { _ = x.conn.SetDeadline(past) })
	defer func() {
		if err != nil {
			err = held.gaveUp(err)
			held.release()
			body = nil
		}
		x.closeBody(head, err)
	}()
	limit, length := x.client.maxAnswer(), bodyLength(head)
	if length > limit {
		return nil, held, bodyError(limit)
	}
	if length == 0 {
		return nil, held, held.arrived()
	}
	reader := bodyReader{share: held, limit: limit, length: length}
	if err := reader.read(head.Body); err != nil {
		return nil, held, err
	}
	return reader.buffer, held, held.arrived()
}

// skipBody reads the body of an answer to another request.
func (x *transfer) skipBody(head *http.Response) error {
	limit, length := x.client.maxAnswer(), bodyLength(head)
	var err error
	if length <= limit {
		length, err = io.Copy(io.Discard, io.LimitReader(head.Body, limit+1))
	}
	if err == nil && length > limit {
		err = bodyError(limit)
	}
	x.closeBody(head, err)
	return err
}

// bodyLength returns the length of the body that follows a head, negative if it is not known. An
// answer to HEAD announces one that does not follow.
func bodyLength(head *http.Response) int64 {
	if head.Body == http.NoBody {
		return 0
	}
	return head.ContentLength
}

// closeBody closes a body that was read or has failed.
func (x *transfer) closeBody(head *http.Response, failed error) {
	if failed != nil {
		// Close reads the rest of a body, which may have no end.
		_ = x.conn.SetDeadline(past)
	}
	_ = head.Body.Close()
}

// maxAnswer returns the largest body of an answer in bytes.
func (c *Client) maxAnswer() int64 {
	if c.cfg.Budget != nil {
		return min(c.cfg.MaxAnswer, c.cfg.Budget.Limit())
	}
	return c.cfg.MaxAnswer
}
