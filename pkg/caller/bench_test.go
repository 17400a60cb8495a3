package caller

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/forward"
	"mangoshed.example/mangoshed/pkg/identity"
)

// toUpstream stands in for the guard.
type toUpstream struct {
	host      string
	transport http.Transport
}

func (u *toUpstream) RoundTrip(r *http.Request) (*http.Response, error) {
	target := *r.URL
	target.Scheme, target.Host = "http", u.host
	out := r.WithContext(r.Context())
	out.URL = &target
	return u.transport.RoundTrip(out)
}

// path is a way from a caller to an upstream.
type path struct {
	name, url, host string
}

// newPaths starts an upstream and the daemons a and b, of which b is beside it.
func newPaths(b *testing.B, size int) []path {
	payload := bytes.Repeat([]byte("x"), size)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(payload)
	}))
	b.Cleanup(upstream.Close)
	target, err := url.Parse(upstream.URL)
	require.NoError(b, err)
	guard := &toUpstream{host: target.Host, transport: http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true}}
	b.Cleanup(guard.transport.CloseIdleConnections)

	authority, _, err := identity.NewAuthority("bench", time.Now())
	require.NoError(b, err)
	source := func(id string) *identity.Source {
		pair, err := authority.Issue(identity.Peer{Instance: model.InstanceID(id)}, time.Now(), time.Hour)
		require.NoError(b, err)
		s, err := identity.FromPEM(authority.CertPEM(), pair.Cert, pair.Key)
		require.NoError(b, err)
		return s
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	peer := forward.NewServer(forward.ServerConfig{Identity: source("b"), Calls: guard})
	go func() { _ = peer.Serve(listener) }()
	b.Cleanup(func() { _ = peer.Close() })
	client := forward.NewClient(forward.ClientConfig{Identity: source("a")})
	b.Cleanup(client.Close)
	remote := instance("b")
	remote.ForwardAddr = listener.Addr().String()

	_, one := start(b, Config{Local: guard, Router: newRouter(b, instance("a"))})
	_, two := start(b, Config{Remote: client, Router: newRouter(b, remote)})
	return []path{{"direct", upstream.URL, ""}, {"one", "http://" + one, "shifts"}, {"two", "http://" + two, "shifts"}}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHops measures calls without a daemon, through one and through two, from
// callers that each wait for their answer. CPU time includes caller and upstream; the
// difference to "direct" is that of the daemons.
func BenchmarkHops(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 20} {
		paths := newPaths(b, size)
		for _, callers := range []int{1, 8} {
			for _, p := range paths {
				b.Run(fmt.Sprintf("%dKB/callers=%d/%s", size>>10, callers, p.name), func(b *testing.B) {
					transport := &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}
					defer transport.CloseIdleConnections()
					run := func(calls int, h *hdrhistogram.Histogram) {
						buffer := make([]byte, 64<<10)
						for range calls {
							began := time.Now()
							req, _ := http.NewRequest(http.MethodGet, p.url+"/x", nil)
							req.Host = p.host
							resp, err := transport.RoundTrip(req)
							if err != nil {
								b.Error(err)
								return
							}
							n, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, resp.Body, buffer)
							if err != nil || n != int64(size) {
								b.Error(n, err)
							}
							_ = resp.Body.Close()
							_ = h.RecordValue(time.Since(began).Microseconds())
						}
					}
					histograms := make([]*hdrhistogram.Histogram, callers)
					for i := range histograms {
						histograms[i] = hdrhistogram.New(1, 10_000_000, 3)
					}
					run(callers, histograms[0])
					histograms[0].Reset()
					b.ReportAllocs()
					b.ResetTimer()
					cpu := cpuTime()
					var group sync.WaitGroup
					for i, h := range histograms {
						group.Go(func() { run((b.N+i)/callers, h) })
					}
					group.Wait()
					b.StopTimer()
					for _, h := range histograms[1:] {
						histograms[0].Merge(h)
					}
					b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/op")
					b.ReportMetric(float64(histograms[0].ValueAtQuantile(50)), "p50-µs")
					b.ReportMetric(float64(histograms[0].ValueAtQuantile(99)), "p99-µs")
				})
			}
		}
	}
}

// BenchmarkConnections measures the memory of 120 open connections of callers.
func BenchmarkConnections(b *testing.B) {
	const connections = 120
	_, addr := start(b, Config{Local: guardFunc(func(*http.Request) (*http.Response, error) { return answer(200, "x"), nil })})
	memory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	for b.Loop() {
		before := memory()
		open := make([]net.Conn, connections)
		for i := range open {
			conn, err := net.Dial("tcp", addr)
			require.NoError(b, err)
			open[i] = conn
			_, err = io.WriteString(conn, get("shifts", "/"))
			require.NoError(b, err)
			_, err = conn.Read(make([]byte, 4096))
			require.NoError(b, err)
		}
		b.ReportMetric(float64(memory()-before)/1024, "KB/120conns")
		for _, conn := range open {
			_ = conn.Close()
		}
	}
}
