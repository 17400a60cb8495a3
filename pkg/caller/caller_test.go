package caller

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/pkg/identity"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type guardFunc func(*http.Request) (*http.Response, error)

func (f guardFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

type remoteFunc func(*model.Instance, *http.Request) (*http.Response, error)

func (f remoteFunc) RoundTrip(i *model.Instance, r *http.Request) (*http.Response, error) {
	return f(i, r)
}

type ownerFunc func(service, key string) []model.Instance

func (f ownerFunc) Owners(service, key string) []model.Instance { return f(service, key) }

var home = model.Place{Region: "north", DataCentre: "n1"}

func instance(id string) model.Instance {
	return model.Instance{ID: model.InstanceID(id), Service: "shifts", Place: home}
}

// newRouter routes the services of routes to the instances.
func newRouter(t testing.TB, instances ...model.Instance) *routing.Router {
	t.Helper()
	router := routing.New(instance("a"), 1)
	router.Update(routes(t), instances, time.Now())
	return router
}

// routes has rows for shifts (GET repeatable), files (all repeatable) and the internal
// service ledger.
func routes(t testing.TB) *snapshot.Snapshot {
	t.Helper()
	cell := table.Cell{Weight: 1, LimitPerSecond: table.NoLimit}
	row := func(name string, repeat table.Idempotency, internal bool) table.Row {
		return table.Row{
			Service: name, Idempotent: repeat, Internal: internal, Deadline: time.Minute,
			DataCentres: []table.Cell{cell}, Regions: []table.Cell{cell},
		}
	}
	snap, _, _, err := snapshot.Build(&table.Table{
		Layout: table.Layout{DataCentres: []model.Place{home}, Regions: []string{"north"}},
		Rows:   []table.Row{row("files", table.All, false), row("ledger", table.None, true), row("shifts", table.Reads, false)},
	}, 1, time.Now(), nil)
	require.NoError(t, err)
	return snap
}

// start runs a server for the instance "a" and returns its address.
func start(t testing.TB, config Config) (*Server, string) {
	t.Helper()
	config.Self = instance("a")
	if config.Router == nil {
		config.Router = newRouter(t, instance("a"))
	}
	server, err := New(config)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		require.NoError(t, <-done)
	})
	return server, listener.Addr().String()
}

func answer(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body))}
}

// reply is an answer that has been read to its end.
type reply struct {
	StatusCode int
	Header     http.Header
	body       string
}

// ask sends raw bytes on a new connection and reads one answer.
func ask(t testing.TB, addr, raw string) (reply, error) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, raw)
	require.NoError(t, err)
	return readAnswer(bufio.NewReader(conn), strings.SplitN(raw, " ", 2)[0])
}

func readAnswer(r *bufio.Reader, method string) (reply, error) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body)}, err
}

func get(service, path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + service + "\r\n\r\n"
}

// Guards against requests that daemon and upstream read differently, and against callers
// that pose as daemons. None may reach the upstream, as the refusal says.
func TestRefusesBeforeRunning(t *testing.T) {
	var runs atomic.Int32
	_, addr := start(t, Config{Local: guardFunc(func(*http.Request) (*http.Response, error) {
		runs.Add(1)
		return answer(200, ""), nil
	})})
	header := func(lines ...string) string {
		return "GET / HTTP/1.1\r\nHost: shifts\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	}
	for name, c := range map[string]struct {
		raw    string
		status int
		kind   refusal.Kind // empty: net/http refuses by itself
	}{
		"trace":              {"TRACE / HTTP/1.1\r\nHost: shifts\r\n\r\n", 405, refusal.BadRequest},
		"connect":            {"CONNECT shifts:80 HTTP/1.1\r\nHost: shifts\r\n\r\n", 405, refusal.BadRequest},
		"http 1.0":           {"GET / HTTP/1.0\r\nHost: shifts\r\n\r\n", 400, refusal.BadRequest},
		"absolute target":    {"GET http://files/ HTTP/1.1\r\nHost: shifts\r\n\r\n", 400, refusal.BadRequest},
		"duplicate host":     {"GET / HTTP/1.1\r\nHost: shifts\r\nHost: files\r\n\r\n", 400, ""},
		"no host":            {"GET / HTTP/1.1\r\n\r\n", 400, ""},
		"encoded slash":      {get("shifts", "/a%2fb"), 400, refusal.BadRequest},
		"encoded dots":       {get("shifts", "/a/%2e%2e/b"), 400, refusal.BadRequest},
		"dot segments":       {get("shifts", "/a/../b"), 400, refusal.BadRequest},
		"encoded nul":        {get("shifts", "/a%00"), 400, refusal.BadRequest},
		"encoded line feed":  {get("shifts", "/a%0d%0aX"), 400, refusal.BadRequest},
		"backslash":          {get("shifts", "/a%5cb"), 400, refusal.BadRequest},
		"not a path":         {"OPTIONS * HTTP/1.1\r\nHost: shifts\r\n\r\n", 400, refusal.BadRequest},
		"daemon's header":    {header("Mangoshed-Dispatch: 1"), 400, refusal.BadRequest},
		"daemon's header 2":  {header("mangoshed-remaining-ms: 1"), 400, refusal.BadRequest},
		"underscore":         {header("Mangoshed_Depth: 1"), 400, refusal.BadRequest},
		"two keys":           {header("Idempotency-Key: a", "Idempotency-Key: b"), 400, refusal.BadRequest},
		"created is no time": {header("Idempotency-Created: x"), 400, refusal.BadRequest},
		"large header":       {header("A: " + strings.Repeat("x", MaxHeaderBytes)), 431, refusal.TooLarge},
		"no service":         {get("nothing", "/"), 404, refusal.NoService},
		"internal":           {get("ledger", "/"), 403, refusal.InternalOnly},
		"no instance":        {get("files", "/"), 503, refusal.NoInstance},
		"two lengths":        {"POST / HTTP/1.1\r\nHost: shifts\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := ask(t, addr, c.raw)
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, string(c.kind), resp.Header.Get(refusal.HeaderKind))
			if c.kind != "" {
				require.Equal(t, "not-run", resp.Header.Get(refusal.HeaderRun))
			}
		})
	}
	require.Zero(t, runs.Load())
}

// Guards against hop headers and forged origins that reach the upstream, and against
// lost request trailers.
func TestUpstreamSeesTheRealOrigin(t *testing.T) {
	got := make(chan *http.Request, 1)
	_, addr := start(t, Config{Local: guardFunc(func(r *http.Request) (*http.Response, error) {
		_, _ = io.Copy(io.Discard, r.Body)
		got <- r
		return answer(200, "ok"), nil
	})})
	raw := "POST /a?q=%2F HTTP/1.1\r\nHost: SHIFTS:80\r\nConnection: close, X-Secret\r\nX-Secret: 1\r\nKeep-Alive: 1\r\nUpgrade: h2c\r\n" +
		"Forwarded: for=10.9.9.9\r\nX-Forwarded-For: 10.9.9.9\r\nTrailer: Checksum\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"3\r\nabc\r\n0\r\nChecksum: 7\r\n\r\n"
	_, err := ask(t, addr, raw)
	require.NoError(t, err)
	r := <-got
	for _, name := range []string{"Connection", "X-Secret", "Keep-Alive", "Upgrade", "Forwarded", "Trailer"} {
		require.NotContains(t, r.Header, name)
	}
	require.False(t, r.Close)
	require.Equal(t, "127.0.0.1", r.Header.Get("X-Forwarded-For"))
	require.Equal(t, "shifts", r.Host)
	require.Equal(t, "shifts", r.Header.Get(refusal.HeaderService))
	require.Equal(t, "0", r.Header.Get(refusal.HeaderDepth))
	require.NotEmpty(t, r.Header.Get(refusal.HeaderRemaining))
	require.Equal(t, "7", r.Trailer.Get("Checksum"))
}

// Guards against internal services and headers of daemons being open to strangers or
// closed to own services.
func TestOwnServicesProveThemselves(t *testing.T) {
	authority, _, err := identity.NewAuthority("test", time.Now())
	require.NoError(t, err)
	source := func(holder identity.Peer) *identity.Source {
		pair, err := authority.Issue(holder, time.Now(), time.Hour)
		require.NoError(t, err)
		s, err := identity.FromPEM(authority.CertPEM(), pair.Cert, pair.Key)
		require.NoError(t, err)
		return s
	}
	ledger := instance("a")
	ledger.Service = "ledger"
	server, _ := start(t, Config{
		Identity: source(identity.Peer{Instance: "a"}), Router: newRouter(t, ledger),
		Local: guardFunc(func(r *http.Request) (*http.Response, error) {
			if r.URL.Path == "/cut" {
				resp := answer(200, "")
				resp.ContentLength, resp.Body = -1, io.NopCloser(iotest.TimeoutReader(strings.NewReader("part")))
				return resp, nil
			}
			deadline, _ := r.Context().Deadline()
			require.Less(t, time.Until(deadline), time.Minute/2)
			return answer(200, r.Header.Get(refusal.HeaderDepth)), nil
		}),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.ServeTLS(listener) }()
	call := func(config *tls.Config, header string) reply {
		conn, err := tls.Dial("tcp", listener.Addr().String(), config)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: ledger\r\n"+header+"\r\n")
		require.NoError(t, err)
		got, err := readAnswer(bufio.NewReader(conn), "GET")
		require.NoError(t, err)
		return got
	}
	own := source(identity.Peer{Service: "reports"}).ClientTLS("a", "http/1.1")
	got := call(own, "Mangoshed-Remaining-Ms: 20000\r\nMangoshed-Depth: 3\r\n")
	require.Equal(t, "4", got.body)
	require.Equal(t, 400, call(own, "Mangoshed-Dispatch: 1\r\n").StatusCode)
	require.Equal(t, 400, call(own, "Mangoshed-Depth: 64\r\n").StatusCode)
	stranger := &tls.Config{InsecureSkipVerify: true}
	require.Equal(t, string(refusal.InternalOnly), call(stranger, "").Header.Get(refusal.HeaderKind))
	require.Equal(t, 400, call(stranger, "Mangoshed-Depth: 1\r\n").StatusCode)

	// HTTP/2 callers get whole answers or errors, too.
	transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: source(identity.Peer{Service: "reports"}).ClientTLS("a")}
	for path, whole := range map[string]bool{"/": true, "/cut": false} {
		req, err := http.NewRequestWithContext(t.Context(), "GET", "https://"+listener.Addr().String()+path, nil)
		require.NoError(t, err)
		req.Host = "ledger"
		req.Header.Set(refusal.HeaderRemaining, "20000")
		resp, err := transport.RoundTrip(req)
		require.NoError(t, err)
		require.Equal(t, 2, resp.ProtoMajor)
		_, err = io.ReadAll(resp.Body)
		require.Equal(t, whole, err == nil)
		_ = resp.Body.Close()
	}
	transport.CloseIdleConnections()
	require.NoError(t, server.Close())
	require.NoError(t, <-done)
}
