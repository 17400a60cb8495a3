package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mangoshed.example/mangoshed/core/admission"
)

// BenchmarkCall compares a call through the guard with one through a bare http.Transport, to an
// upstream on loopback.
func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	run := func(b *testing.B, method, body string, send func(*http.Request) (*http.Response, error)) {
		b.ReportAllocs()
		for b.Loop() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			req := request(ctx, method, body)
			resp, err := send(req)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			cancel()
		}
	}
	g, end := newGuard(b, &fake{}, func(c *Config) {
		c.Address, c.Dial, c.Admission = listener.Addr().String(), nil, admission.Config{Ramp: -1}
	})
	defer end()
	plain := &http.Transport{}
	defer plain.CloseIdleConnections()
	bare := func(req *http.Request) (*http.Response, error) {
		req.URL.Scheme, req.URL.Host = "http", listener.Addr().String()
		return plain.RoundTrip(req)
	}
	for _, c := range []struct{ method, body string }{{"GET", ""}, {"POST", "a small body"}} {
		b.Run(c.method+"/bare", func(b *testing.B) { run(b, c.method, c.body, bare) })
		b.Run(c.method+"/guard", func(b *testing.B) { run(b, c.method, c.body, g.RoundTrip) })
	}
}
