package closing

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// benchmarkRequest is a request of the usual size.
var benchmarkRequest = "GET /records/17?fields=name HTTP/1.1\r\nHost: app\r\nUser-Agent: bench\r\nAccept: application/json\r\n" +
	"X-Request-Id: 0b5b4bb0-3e4f-4f6c-9a51-5a5a5f6d0c11\r\nX-Time-Left: 1500\r\nX-Trace: " + strings.Repeat("t", 150) + "\r\n\r\n"

// benchmarkServer starts a server with a short response of a fixed size, and returns its address.
func benchmarkServer(b *testing.B, readAhead bool) string {
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Date"] = nil
		_, _ = io.WriteString(w, "ok")
	}), ReadHeaderTimeout: testTimeout, IdleTimeout: testTimeout})
	if readAhead {
		s.Pipelining = &Pipelining{Requests: 16, Bytes: 1 << 16, Start: func(net.Conn, *http.Request) (Run, bool) { return nil, false }}
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	b.Cleanup(func() {
		require.NoError(b, s.Close())
		require.ErrorIs(b, <-served, http.ErrServerClosed)
	})
	return l.Addr().String()
}

const benchmarkResponseBytes = len("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain; charset=utf-8\r\n\r\nok")

// cpuTime returns the processor time of the process in nanoseconds.
func cpuTime(b *testing.B) int64 {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// BenchmarkRequest measures one request after the other on a connection, with and without read-ahead. The
// caller waits for a moment between a response and its next request: without that, net/http often reads the
// request while it still ends the exchange before.
func BenchmarkRequest(b *testing.B) {
	for _, readAhead := range []bool{false, true} {
		b.Run("readahead="+strconv.FormatBool(readAhead), func(b *testing.B) {
			conn, err := net.Dial("tcp4", benchmarkServer(b, readAhead))
			require.NoError(b, err)
			defer func() { _ = conn.Close() }()
			request, response := []byte(benchmarkRequest), make([]byte, benchmarkResponseBytes)
			b.ReportAllocs()
			began := cpuTime(b)
			for b.Loop() {
				time.Sleep(50 * time.Microsecond)
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(conn, response); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuTime(b)-began)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkConnection measures the bytes and goroutines of a connection on which a request is being
// handled, with and without read-ahead.
func BenchmarkConnection(b *testing.B) {
	const connections = 200
	for _, readAhead := range []bool{false, true} {
		b.Run("readahead="+strconv.FormatBool(readAhead), func(b *testing.B) {
			for b.Loop() {
				measureConnections(b, readAhead, connections)
			}
		})
	}
}

func measureConnections(b *testing.B, readAhead bool, n int) {
	arrived, release := make(chan struct{}), make(chan struct{})
	s := New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})})
	if readAhead {
		s.Pipelining = &Pipelining{Requests: 16, Bytes: 1 << 16, Start: func(net.Conn, *http.Request) (Run, bool) { return nil, false }}
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	var before, after runtime.MemStats
	goroutines := runtime.NumGoroutine()
	runtime.GC()
	runtime.ReadMemStats(&before)
	var conns []net.Conn
	for range n {
		c, err := net.Dial("tcp4", l.Addr().String())
		require.NoError(b, err)
		conns = append(conns, c)
		_, err = io.WriteString(c, benchmarkRequest)
		require.NoError(b, err)
		<-arrived
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heapB/conn")
	b.ReportMetric(float64(after.StackInuse-before.StackInuse)/float64(n), "stackB/conn")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(n), "goroutines/conn")
	close(release)
	for _, c := range conns {
		require.NoError(b, c.Close())
	}
	require.NoError(b, s.Close())
	require.ErrorIs(b, <-served, http.ErrServerClosed)
}
