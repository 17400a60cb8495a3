package caller

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/identity"
)

// Guards against a drain that ends without an answer to calls which it took, and against a
// not-run for one of them that may have run.
func TestCallsThatOutlastTheDrainAreAnswered(t *testing.T) {
	untilGivenUp := func(run refusal.Run) guardFunc {
		return func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, &refusal.Refusal{Kind: refusal.Cut, Run: run}
		}
	}
	for name, c := range map[string]struct {
		raw    string
		local  guardFunc
		status int
		kind   refusal.Kind
		run    string
	}{
		"runs":  {get("shifts", "/"), untilGivenUp(refusal.MayHaveRun), 502, refusal.Cut, "may-have-run"},
		"waits": {get("shifts", "/"), untilGivenUp(refusal.NotRun), 503, refusal.Leaving, "not-run"},
		"answered too late": {get("shifts", "/"), func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return answer(200, "done"), nil
		}, 502, refusal.Cut, "may-have-run"},
		"its body does not arrive": {
			"POST / HTTP/1.1\r\nHost: shifts\r\nContent-Length: 9\r\n\r\nx",
			func(r *http.Request) (*http.Response, error) {
				_, err := io.ReadAll(r.Body)
				return nil, &refusal.Refusal{Kind: refusal.Cut, Run: refusal.NotRun, Remedy: err.Error()}
			},
			503, refusal.Leaving, "not-run",
		},
	} {
		t.Run(name, func(t *testing.T) {
			entered := make(chan struct{}, 1)
			server, addr := start(t, Config{Linger: time.Nanosecond, Idle: time.Hour, AnswerTime: time.Hour, Local: guardFunc(func(r *http.Request) (*http.Response, error) {
				entered <- struct{}{}
				return c.local(r)
			})})
			type result struct {
				reply
				err error
			}
			answered := make(chan result, 1)
			go func() {
				got, err := ask(t, addr, c.raw)
				answered <- result{got, err}
			}()
			<-entered
			ctx, end := context.WithCancel(t.Context())
			server.http.RegisterOnShutdown(end)
			err := server.Drain(ctx)
			require.NoError(t, server.Close()) // as the daemon does next
			got := <-answered
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.StatusCode)
			require.Equal(t, string(c.kind), got.Header.Get(refusal.HeaderKind))
			require.Equal(t, c.run, got.Header.Get(refusal.HeaderRun))
			var outlasted *DrainError
			require.ErrorAs(t, err, &outlasted)
			require.Equal(t, int64(1), outlasted.GivenUp)
			require.False(t, outlasted.Cut)
		})
	}
}

// Guards against a leaving daemon that refuses the calls of the runs it waits for, and against
// one that takes other calls.
func TestLeavingTakesOnlyNestedCalls(t *testing.T) {
	authority, _, err := identity.NewAuthority("test", time.Now())
	require.NoError(t, err)
	source := func(holder identity.Peer) *identity.Source {
		pair, err := authority.Issue(holder, time.Now(), time.Hour)
		require.NoError(t, err)
		s, err := identity.FromPEM(authority.CertPEM(), pair.Cert, pair.Key)
		require.NoError(t, err)
		return s
	}
	server, plain := start(t, Config{
		Identity: source(identity.Peer{Instance: "a"}), Linger: time.Nanosecond,
		Local: guardFunc(func(r *http.Request) (*http.Response, error) {
			return answer(200, r.Header.Get(refusal.HeaderDepth)), nil
		}),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.ServeTLS(listener) }()
	const depth = "Mangoshed-Depth: 3\r\n"
	request := func(conn net.Conn, header string) reply {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: shifts\r\n"+header+"\r\n")
		require.NoError(t, err)
		got, err := readAnswer(bufio.NewReader(conn), "GET")
		require.NoError(t, err)
		return got
	}
	connect := func(service string) net.Conn {
		conn, err := tls.Dial("tcp", listener.Addr().String(), source(identity.Peer{Service: service}).ClientTLS("a", "http/1.1"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	open := connect("shifts")
	require.Equal(t, "4", request(open, depth).body)
	server.Leave(context.Background())
	_, err = net.Dial("tcp", plain)
	require.Error(t, err)
	require.Equal(t, "4", request(open, depth).body)
	require.Equal(t, "4", request(connect("shifts"), depth).body)
	for name, got := range map[string]reply{
		"not within a run": request(connect("shifts"), ""),
		"other service":    request(connect("reports"), depth),
	} {
		require.Equal(t, string(refusal.Leaving), got.Header.Get(refusal.HeaderKind), name)
		require.Equal(t, "not-run", got.Header.Get(refusal.HeaderRun), name)
	}
	require.NoError(t, server.Drain(context.Background()))
	require.NoError(t, <-done)
	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err)
	_, _, refused := server.admit(&http.Request{Header: http.Header{refusal.HeaderDepth: {"3"}}}, "shifts")
	require.Equal(t, refusal.Leaving, refused.Kind)
}
