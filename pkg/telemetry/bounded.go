package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriter passes lines to a writer from a goroutine of its own. It never blocks: lines
// that do not fit in its buffer are dropped, counted and reported by a line of its own.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	mu     sync.RWMutex // guards closed; held while a line is put into the channel
	closed bool
}

// flushTimeout bounds the wait of Close for a writer that blocks.
const flushTimeout = 200 * time.Millisecond

// NewBoundedWriter returns a writer that holds at most the number of lines.
func NewBoundedWriter(out io.Writer, lines int) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It always succeeds; after Close the line is dropped.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(p), nil
	}
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync does nothing: lines are written as soon as the writer takes them.
func (w *BoundedWriter) Sync() error { return nil }

// Dropped returns the number of lines dropped and not reported yet.
func (w *BoundedWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is held and stops.
func (w *BoundedWriter) Close() {
	w.stop()
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// stop closes the channel once.
func (w *BoundedWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		// A log that cannot be written has no place to say so.
		_, _ = w.out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "level=warn event=log_lines_dropped lines=%d\n", n)
		}
	}
}
