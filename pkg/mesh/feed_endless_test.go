package mesh

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/pkg/exchange"
)

// serveText answers the request on the connection with the text first and then, the given number of
// times, with the text again. The channel delivers the number of bytes that the other side has read.
func serveText(c net.Conn, first, again string, times int) <-chan int {
	bytesRead := make(chan int, 1)
	go func() {
		defer func() { _ = c.Close() }()
		sent := 0
		defer func() { bytesRead <- sent }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for text := first; times >= 0; text, times = again, times-1 {
			n, err := io.WriteString(c, text)
			sent += n
			if err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, c)
	}()
	return bytesRead
}

// noCallbacks returns callbacks that do nothing.
func noCallbacks() feedCallbacks {
	return feedCallbacks{accepted: func() {}, frameApplied: func(time.Time, time.Duration) error { return nil }}
}

// Guards against a reader (a daemon that sends a feed) whose response header or frame never ends
// and fills the memory of the daemon that receives the feed.
func TestEndlessFeedIsCut(t *testing.T) {
	piece := strings.Repeat("x", 4<<10)
	frame := "\xa1\x03\x5b\x00\x00\x01\x00\x00\x00\x00\x00" // a change of 2^40 bytes
	for name, test := range map[string]struct {
		first, again string
		bound        int
	}{
		"head":  {"HTTP/1.1 200 OK\r\nX-More: ", piece, 64 << 10},
		"frame": {"HTTP/1.1 200 OK\r\n\r\n" + frame, piece, maxFrameBytes + len(piece)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				bytesRead := serveText(far, test.first, test.again, 4*test.bound/len(piece))
				f := newFeedClient("a", "own:1", fleetOf(t, 3), false, &declinedPeers{})
				err := f.requestFeed(near, "10.0.0.1:1", noCallbacks())
				_ = near.Close()
				require.LessOrEqual(t, <-bytesRead, test.bound+len(piece))
				var over *exchange.BoundError
				require.ErrorAs(t, err, &over)
			})
		})
	}
}

// Guards against a feed that is no longer needed but is closed only after the timeout for a silent
// reader.
func TestUnneededFeedIsClosedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data, err := cbor.Marshal(frame{Revision: 1})
		require.NoError(t, err)
		near, far := net.Pipe()
		bytesRead := serveText(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n"+string(data)+"\r\n", "", 0)
		require.Len(t, data, 3)
		f := newFeedClient("a", "own:1", fleetOf(t, 3), false, &declinedPeers{})
		events := noCallbacks()
		events.frameApplied = func(time.Time, time.Duration) error { return errNotNeeded }
		began := time.Now()
		err = f.requestFeed(near, "10.0.0.1:1", events)
		elapsed := time.Since(began)
		_ = near.Close()
		<-bytesRead
		require.ErrorIs(t, err, errNotNeeded)
		require.Zero(t, elapsed)
	})
}
