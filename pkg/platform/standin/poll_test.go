package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/platform"
)

// segmentHeaderBytes is the size of the IPv4 and TCP headers with timestamps.
const segmentHeaderBytes = 52

// wire counts the payload and the writes of a TCP connection in both directions.
type wire struct {
	net.Conn
	bytes, segments *atomic.Int64
}

func (w wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	w.bytes.Add(int64(n))
	w.segments.Add(1)
	return n, err
}

func (w wire) Write(b []byte) (int, error) {
	w.bytes.Add(int64(len(b)))
	w.segments.Add(1)
	return w.Conn.Write(b)
}

// BenchmarkPoll measures the simplest baseline: a daemon that asks the store over a kept
// connection whether the manifest or the instance list has changed. Nothing has. A poll
// is two calls; each costs two segments with data and one acknowledgement.
func BenchmarkPoll(b *testing.B) {
	p := New(Config{CallsPerSecond: 1e9, Burst: 1e9})
	revision, err := p.Put("manifest", make([]byte, 300))
	require.NoError(b, err)
	p.SetInstances([]model.Instance{{ID: "a", Service: "s"}})
	server := httptest.NewServer(p)
	defer server.Close()
	var bytes, segments atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return wire{conn, &bytes, &segments}, err
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	urls := []string{
		fmt.Sprintf("%s%smanifest?after=%d", server.URL, platform.ValuesPath, revision),
		fmt.Sprintf("%s%s?after=%d", server.URL, platform.InstancesPath, p.Revision()),
	}
	before := processorTime(b)
	for b.Loop() {
		for _, url := range urls {
			resp, err := client.Get(url)
			require.NoError(b, err)
			require.Equal(b, http.StatusNotModified, resp.StatusCode)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(b, err)
			require.NoError(b, resp.Body.Close())
		}
	}
	polls := float64(b.N)
	acknowledged := float64(segments.Load()) + float64(len(urls))*polls
	b.ReportMetric((float64(bytes.Load())+segmentHeaderBytes*acknowledged)/polls, "wire-B/poll")
	b.ReportMetric(float64(len(urls)), "calls/poll")
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/polls, "cpu-us/poll")
}

// processorTime returns the process's user and system time.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
