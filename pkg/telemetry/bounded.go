package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriter buffers lines and writes them to the underlying writer in a separate
// goroutine. Write never blocks: lines that do not fit in the buffer are dropped, and a log
// line reports their number.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	mu     sync.RWMutex // guards closed; read-locked while a line is sent to the channel
	closed bool
}

// flushTimeout is how long Close waits for an underlying writer that blocks.
const flushTimeout = 200 * time.Millisecond

// NewBoundedWriter returns a writer that buffers at most the given number of lines.
func NewBoundedWriter(out io.Writer, lines int) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It always succeeds; after Close the line is dropped.
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

// Sync does nothing: queued lines are written as soon as the underlying writer accepts them.
func (w *BoundedWriter) Sync() error { return nil }

// Dropped returns the number of dropped lines that have not been reported yet.
func (w *BoundedWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the writer. It waits at most flushTimeout.
func (w *BoundedWriter) Close() {
	w.stop()
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// stop closes the channel, unless it is closed already.
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
		// A failure to write the log cannot be logged.
		_, _ = w.out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "level=warn event=log_lines_dropped lines=%d\n", n)
		}
	}
}
