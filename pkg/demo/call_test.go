package demo

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// BenchmarkCall reports latency and processor time of an empty call, straight to the
// application and through the caller's and the target's daemon, one call at a time. The
// application and the client are part of the processor time of both.
func BenchmarkCall(b *testing.B) {
	f, err := startFleet(shape{Daemons: 2, Regions: 1, CentresPerRegion: 1, Services: 2})
	require.NoError(b, err)
	defer f.kill()
	require.NoError(b, f.awaitReady(b.Context()))
	for _, path := range []struct{ name, address string }{
		{"direct", f.applications[1].address()},
		{"two_daemons", f.daemons[0].CallerAddr()},
	} {
		b.Run(path.name, func(b *testing.B) { measureCalls(b, f, path.address) })
	}
}

func measureCalls(b *testing.B, f *fleet, address string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	call := func() time.Duration {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+pathUpload, bytes.NewReader(nil))
		require.NoError(b, err)
		req.Host = f.deployment.Services[1].Name
		start := time.Now()
		resp, err := client.Do(req)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		require.NoError(b, resp.Body.Close())
		require.Equal(b, http.StatusOK, resp.StatusCode)
		return time.Since(start)
	}
	call() // opens the connections
	histogram := hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
	before := f.sample()
	b.ResetTimer()
	for range b.N {
		_ = histogram.RecordValue(call().Nanoseconds())
	}
	spent := f.sample().since(before)
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-us")
	b.ReportMetric(float64(spent.processor.Microseconds())/float64(b.N), "cpu-us/call")
}
