package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks every write until the channel open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a log reader that blocks the daemon by not reading, and against dropped
// lines that are not reported.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := NewBoundedWriter(out, 4)
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	dropped := w.Dropped()
	require.GreaterOrEqual(t, dropped, uint64(95)) // one more line may be in a blocked write
	close(out.open)
	w.Close()
	<-w.done
	require.Equal(t, 100-int(dropped), strings.Count(out.text.String(), "line\n"))
	require.Contains(t, out.text.String(), "event=log_lines_dropped")
}

// Guards against a panic during shutdown, when aborted requests still log after Close.
func TestBoundedWriterTakesLinesAfterClose(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	close(out.open)
	w := NewBoundedWriter(out, 4)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 1000 {
				_, _ = w.Write([]byte("line\n"))
			}
		})
	}
	w.Close()
	n, err := w.Write([]byte("late\n"))
	require.NoError(t, err)
	require.Equal(t, len("late\n"), n)
	group.Wait()
	<-w.done
	require.NotContains(t, out.text.String(), "late\n")
}
