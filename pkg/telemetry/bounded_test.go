package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter takes nothing until it is opened.
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

// Guards against a reader of the log that stops the daemon, and against lines that are lost
// without a word.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := NewBoundedWriter(out, 4)
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	dropped := w.Dropped()
	require.GreaterOrEqual(t, dropped, uint64(95)) // one may be with the writer
	close(out.open)
	w.Close()
	<-w.done
	require.Equal(t, 100-int(dropped), strings.Count(out.text.String(), "line\n"))
	require.Contains(t, out.text.String(), "event=log_lines_dropped")
}

// Guards against a crash at the end of a process, when requests that it cuts write their last lines.
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
