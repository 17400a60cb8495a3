package forward

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/net/http2"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/identity"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fleet struct{ authority *identity.Authority }

func newFleet(t testing.TB) *fleet {
	t.Helper()
	authority, _, err := identity.NewAuthority("test", time.Now())
	require.NoError(t, err)
	return &fleet{authority: authority}
}

func (f *fleet) source(t testing.TB, holder identity.Peer) *identity.Source {
	t.Helper()
	pair, err := f.authority.Issue(holder, time.Now(), time.Hour)
	require.NoError(t, err)
	source, err := identity.FromPEM(f.authority.CertPEM(), pair.Cert, pair.Key)
	require.NoError(t, err)
	return source
}

func (f *fleet) instance(t testing.TB, id string) *identity.Source {
	return f.source(t, identity.Peer{Instance: model.InstanceID(id)})
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func call(ctx context.Context, method, body string, header ...string) *http.Request {
	req := (&http.Request{
		Method: method, URL: &url.URL{Path: "/x"}, Host: "shifts", Header: http.Header{refusal.HeaderService: {"shifts"}},
	}).WithContext(ctx)
	if body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

type guardFunc func(*http.Request) (*http.Response, error)

func (f guardFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func answer(body string) *http.Response {
	return &http.Response{
		StatusCode: 200, Header: http.Header{"Content-Type": {"text/plain"}},
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
}

// serve starts a server for the instance "b" and returns its address.
func serve(t testing.TB, f *fleet, calls guardFunc, peers http.Handler) (*Server, *model.Instance) {
	t.Helper()
	listener := listen(t)
	server := NewServer(ServerConfig{Identity: f.instance(t, "b"), Calls: calls, Peers: peers, Load: func() string { return "9/9/1" }})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		require.NoError(t, <-done)
	})
	return server, &model.Instance{ID: "b", Service: "shifts", ForwardAddr: listener.Addr().String()}
}

func newClient(t testing.TB, f *fleet) *Client {
	client := NewClient(ClientConfig{Identity: f.instance(t, "a")})
	t.Cleanup(client.Close)
	return client
}

// Guards against a call, its deadline, a refusal or its meaning being lost on the way.
func TestCallAndRefusalPassBetweenDaemons(t *testing.T) {
	f := newFleet(t)
	_, inst := serve(t, f, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path != "/x" || r.Host != "shifts" {
			return nil, errors.New("wrong request")
		}
		if r.Header.Get("Refuse") != "" {
			return nil, &refusal.Refusal{Kind: refusal.Overloaded, Run: refusal.NotRun, Remedy: "try again"}
		}
		if _, ok := r.Context().Deadline(); !ok {
			return nil, errors.New("no deadline")
		}
		body, err := io.ReadAll(r.Body)
		return answer("got " + string(body)), err
	}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "peer "+r.URL.Path) }))
	client := newClient(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	resp, err := client.RoundTrip(inst, call(ctx, "POST", "hello"))
	require.NoError(t, err)
	require.Equal(t, "got hello", readAll(t, resp))

	resp, err = client.RoundTrip(inst, call(ctx, "GET", "", "Refuse", "1"))
	require.NoError(t, err)
	_ = readAll(t, resp)
	refused, ok := refusal.FromResponse(resp)
	require.True(t, ok)
	require.Equal(t, refusal.NotRun, refused.Run)
	require.Equal(t, "9/9/1", resp.Header.Get(refusal.HeaderLoad))

	resp, err = client.PostPeer(ctx, inst, "ack", nil, []byte("x"))
	require.NoError(t, err)
	require.Equal(t, "peer /mangoshed/ack", readAll(t, resp))
}

// failure sends a call that must fail and returns its error.
func failure(t testing.TB, client *Client, inst *model.Instance, req *http.Request) *Error {
	t.Helper()
	resp, err := client.RoundTrip(inst, req)
	if err == nil {
		_ = resp.Body.Close()
	}
	var failed *Error
	require.ErrorAs(t, err, &failed)
	return failed
}

func readAll(t testing.TB, resp *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return string(body)
}

// Guards against calls by an own service, by another instance than the address is
// believed to belong to, or without a certificate.
func TestOnlyInstancesMayForward(t *testing.T) {
	f := newFleet(t)
	var runs atomic.Int32
	_, inst := serve(t, f, func(*http.Request) (*http.Response, error) {
		runs.Add(1)
		return answer(""), nil
	}, nil)
	caller := NewClient(ClientConfig{Identity: f.source(t, identity.Peer{Service: "reports"})})
	defer caller.Close()
	resp, err := caller.RoundTrip(inst, call(t.Context(), "GET", ""))
	require.NoError(t, err)
	_ = readAll(t, resp)
	require.Equal(t, http.StatusForbidden, resp.StatusCode)

	moved := *inst
	moved.ID = "c"
	stranger := newClient(t, newFleet(t))
	for client, to := range map[*Client]*model.Instance{newClient(t, f): &moved, stranger: inst} {
		require.Equal(t, refusal.NotRun, failure(t, client, to, call(t.Context(), "GET", "")).Run)
	}
	require.Zero(t, runs.Load())
}

// rawPeer accepts one connection after another and hands each to act after the TLS
// handshake. seen counts the requests whose headers arrived.
func rawPeer(t *testing.T, f *fleet, act func(conn *tls.Conn, framer *http2.Framer, seen *atomic.Int32)) (*model.Instance, *atomic.Int32) {
	t.Helper()
	listener := listen(t)
	config := f.instance(t, "b").ServerTLS("h2")
	seen := new(atomic.Int32)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			conn := tls.Server(raw, config)
			if conn.Handshake() == nil {
				act(conn, http2.NewFramer(conn, conn), seen)
			}
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return &model.Instance{ID: "b", ForwardAddr: listener.Addr().String()}, seen
}

// readRequest reads up to the end of the next request's headers.
func readRequest(conn *tls.Conn, framer *http2.Framer, seen *atomic.Int32, first bool) uint32 {
	if first {
		preface := make([]byte, len(http2.ClientPreface))
		if _, err := io.ReadFull(conn, preface); err != nil {
			return 0
		}
		_ = framer.WriteSettings()
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return 0
		}
		if headers, ok := frame.(*http2.HeadersFrame); ok {
			seen.Add(1)
			return headers.StreamID
		}
	}
}

// readOn reads until the client closes. Closing with unread data would reset the
// connection and with it the frame that was just written.
func readOn(framer *http2.Framer) {
	for {
		if _, err := framer.ReadFrame(); err != nil {
			return
		}
	}
}

// status200 is the HPACK encoding of ":status: 200" (static index 8).
var status200 = []byte{0x88}

// Guards against a not-run that is untrue, and against calls that are called
// may-have-run though the peer never took them.
func TestRunStateOfFailures(t *testing.T) {
	f := newFleet(t)
	type act = func(conn *tls.Conn, framer *http2.Framer, seen *atomic.Int32)
	afterRequest := func(then func(framer *http2.Framer, stream uint32)) act {
		return func(conn *tls.Conn, framer *http2.Framer, seen *atomic.Int32) {
			if stream := readRequest(conn, framer, seen, true); stream != 0 {
				then(framer, stream)
			}
		}
	}
	cases := []struct {
		name   string
		act    act
		want   refusal.Run
		kind   refusal.Kind
		either bool // which one depends on the scheduler; the claim must still be true
	}{
		{"cut before headers", func(*tls.Conn, *http2.Framer, *atomic.Int32) {}, refusal.MayHaveRun, "", true},
		{"cut during headers", func(conn *tls.Conn, _ *http2.Framer, _ *atomic.Int32) {
			_, _ = io.ReadFull(conn, make([]byte, 100))
		}, refusal.MayHaveRun, refusal.Cut, true},
		{"cut after headers", afterRequest(func(*http2.Framer, uint32) {}), refusal.MayHaveRun, refusal.Cut, false},
		{"reset", afterRequest(func(framer *http2.Framer, stream uint32) {
			_ = framer.WriteRSTStream(stream, http2.ErrCodeInternal)
		}), refusal.MayHaveRun, refusal.Cut, false},
		{"refused stream", afterRequest(func(framer *http2.Framer, stream uint32) {
			_ = framer.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
			readOn(framer)
		}), refusal.NotRun, refusal.UpstreamFailed, false},
		{"shutdown before the stream", afterRequest(func(framer *http2.Framer, _ uint32) {
			_ = framer.WriteGoAway(0, http2.ErrCodeNo, nil)
			readOn(framer)
		}), refusal.NotRun, refusal.Leaving, false},
		{"shutdown that includes the stream", afterRequest(func(framer *http2.Framer, stream uint32) {
			_ = framer.WriteGoAway(stream, http2.ErrCodeNo, nil)
		}), refusal.MayHaveRun, refusal.Cut, false},
	}
	for _, c := range cases {
		for _, body := range []string{"", "some body", strings.Repeat("more than a window", 10_000)} {
			t.Run(fmt.Sprintf("%s/body=%d", c.name, len(body)), func(t *testing.T) {
				inst, seen := rawPeer(t, f, c.act)
				client := newClient(t, f)
				failed := failure(t, client, inst, call(t.Context(), "POST", body, "Idempotency-Key", "k"))
				require.LessOrEqual(t, seen.Load(), int32(1), "the call was sent twice")
				if c.either {
					require.True(t, failed.Run == refusal.MayHaveRun || seen.Load() == 0)
					return
				}
				require.Equal(t, c.want, failed.Run, failed.Error())
				require.Equal(t, c.kind, failed.Kind)
			})
		}
	}
}

// Guards against untrue run states of calls that fail before a connection exists or by
// their deadline.
func TestRunStateWithoutAnswer(t *testing.T) {
	f := newFleet(t)
	client := newClient(t, f)
	gone := listen(t)
	require.NoError(t, gone.Close())
	failed := failure(t, client, &model.Instance{ID: "b", ForwardAddr: gone.Addr().String()}, call(t.Context(), "GET", ""))
	require.Equal(t, refusal.NotRun, failed.Run)
	require.True(t, failed.Broken)

	entered := make(chan struct{}, 1)
	_, inst := serve(t, f, func(r *http.Request) (*http.Response, error) {
		entered <- struct{}{}
		<-r.Context().Done()
		return nil, &refusal.Refusal{Kind: refusal.Cut}
	}, nil)
	expired, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	failed = failure(t, client, inst, call(expired, "GET", ""))
	require.Equal(t, refusal.Deadline, failed.Kind)
	require.Equal(t, refusal.NotRun, failed.Run)

	// The cancellation reaches the peer's guard, which then ends.
	cancelled, stop := context.WithCancel(t.Context())
	result := make(chan *Error, 1)
	go func() { result <- failure(t, client, inst, call(cancelled, "GET", "")) }()
	<-entered
	stop()
	failed = <-result
	require.Equal(t, refusal.MayHaveRun, failed.Run)
	require.False(t, failed.Broken)
}

// Guards against net/http sending a request again by itself when a reused connection
// breaks after the peer has read it.
func TestLibraryNeverRepeats(t *testing.T) {
	f := newFleet(t)
	for _, c := range []struct{ method, key string }{{"GET", ""}, {"POST", "k"}, {"HEAD", ""}} {
		t.Run(c.method, func(t *testing.T) {
			inst, seen := rawPeer(t, f, func(conn *tls.Conn, framer *http2.Framer, seen *atomic.Int32) {
				if stream := readRequest(conn, framer, seen, true); stream != 0 {
					_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: status200, EndStream: true, EndHeaders: true})
					readRequest(conn, framer, seen, false)
				}
			})
			client := newClient(t, f)
			var header []string
			if c.key != "" {
				header = []string{"Idempotency-Key", c.key}
			}
			resp, err := client.RoundTrip(inst, call(t.Context(), c.method, "", header...))
			require.NoError(t, err)
			_ = readAll(t, resp)
			failed := failure(t, client, inst, call(t.Context(), c.method, "", header...))
			require.Equal(t, refusal.MayHaveRun, failed.Run)
			require.Equal(t, int32(2), seen.Load())
		})
	}
}

// Guards against a part of an answer that looks whole, and against a shutdown that cuts
// a running answer.
func TestWholeAnswers(t *testing.T) {
	f := newFleet(t)
	client := newClient(t, f)
	release := make(chan struct{})
	server, inst := serve(t, f, func(r *http.Request) (*http.Response, error) {
		resp := answer("part")
		switch r.Header.Get("Case") {
		case "short":
			resp.ContentLength = 10
		case "cut":
			resp.ContentLength = -1
			resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("part"), errReader{}))
		case "slow":
			resp.ContentLength = -1
			resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("first "), waitReader(release), strings.NewReader("second")))
		}
		return resp, nil
	}, nil)
	for _, name := range []string{"short", "cut"} {
		resp, err := client.RoundTrip(inst, call(t.Context(), "GET", "", "Case", name))
		if err != nil {
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.Equal(t, refusal.MayHaveRun, failed.Run)
			continue
		}
		_, err = io.ReadAll(resp.Body)
		require.Error(t, err, name)
		_ = resp.Body.Close()
	}
	resp, err := client.RoundTrip(inst, call(t.Context(), "GET", "", "Case", "slow"))
	require.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 6))
	require.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	close(release)
	require.Equal(t, "second", readAll(t, resp))
	require.NoError(t, <-stopped)
}
