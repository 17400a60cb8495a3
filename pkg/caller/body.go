package caller

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// replayBytes is the most of a request body that is kept for another attempt.
	replayBytes = 64 << 10
	// replayTotal bounds the memory of all kept bodies of a daemon.
	replayTotal = 16 << 20
)

var replayBuffers = sync.Pool{New: func() any { return new([replayBytes]byte) }}

// replayMemory counts the buffers in use.
type replayMemory struct{ used atomic.Int64 }

func (m *replayMemory) take() bool {
	if m.used.Add(replayBytes) > replayTotal {
		m.used.Add(-replayBytes)
		return false
	}
	return true
}

func (m *replayMemory) put() { m.used.Add(-replayBytes) }

// body passes a request body to one attempt after the other. It keeps what the first
// attempt reads as long as it fits.
type body struct {
	source io.Reader
	length int64
	memory *replayMemory

	mu       sync.Mutex
	buffer   *[replayBytes]byte
	kept     int
	read     int   // from the source
	consumed bool  // more was read than is kept
	err      error // of the source
}

func newBody(source io.Reader, length int64, memory *replayMemory) *body {
	return &body{source: source, length: length, memory: memory}
}

// replayable reports whether another attempt can read the body from its start.
func (b *body) replayable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed && !b.brokenLocked()
}

// broken reports whether the caller failed to send the body.
func (b *body) broken() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.brokenLocked()
}

func (b *body) brokenLocked() bool { return b.err != nil && !errors.Is(b.err, io.EOF) }

// free gives the kept bytes back. It does not wait for a read that waits for the caller.
func (b *body) free() {
	if b == nil {
		return
	}
	if !b.mu.TryLock() {
		go b.waitAndFree()
		return
	}
	defer b.mu.Unlock()
	b.freeLocked()
}

func (b *body) waitAndFree() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freeLocked()
}

func (b *body) freeLocked() {
	b.consumed, b.err = true, errBodyClosed
	if b.buffer != nil {
		replayBuffers.Put(b.buffer)
		b.buffer, b.kept = nil, 0
		b.memory.put()
	}
}

// attempt returns a reader from the start of the body.
func (b *body) attempt() io.ReadCloser { return &bodyReader{body: b} }

type bodyReader struct {
	body   *body
	offset int
	closed atomic.Bool
}

var errBodyClosed = errors.New("request body read after the end of the attempt")

// Read returns kept bytes first, then reads on from the caller.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.closed.Load():
		return 0, errBodyClosed
	case r.offset < b.kept:
		n := copy(p, b.buffer[r.offset:b.kept])
		r.offset += n
		return n, nil
	case r.offset != b.read:
		return 0, errBodyClosed
	case b.err != nil:
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.err = err
	b.keepLocked(p[:n])
	r.offset += n
	b.read += n
	return n, err
}

// keepLocked keeps the bytes if they fit. What does not fit ends the replay.
func (b *body) keepLocked(p []byte) {
	if len(p) == 0 || b.consumed {
		return
	}
	if b.buffer == nil {
		if b.length > replayBytes || !b.memory.take() {
			b.consumed = true
			return
		}
		b.buffer = replayBuffers.Get().(*[replayBytes]byte)
	}
	if b.kept+len(p) > replayBytes {
		b.consumed = true
		return
	}
	b.kept += copy(b.buffer[b.kept:], p)
}

// Close ends the attempt's reads. It does not wait for a read that waits for the caller.
func (r *bodyReader) Close() error {
	r.closed.Store(true)
	return nil
}
