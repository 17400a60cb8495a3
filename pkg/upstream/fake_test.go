package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/admission"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/snapshot"
	"mangoshed.example/mangoshed/core/table"
)

// versions by limit, built outside of the tests' bubbles because the codec shares goroutines.
var versions = map[string]*snapshot.Snapshot{}

func TestMain(m *testing.M) {
	for _, limit := range []string{"", "0"} {
		versions[limit] = version(limit)
	}
	goleak.VerifyTestMain(m)
}

// fake is an upstream over in-memory connections. It counts the requests whose first byte
// arrived and answers by a script.
type fake struct {
	script func(conn net.Conn, req *http.Request)
	seen   atomic.Int64
	mu     sync.Mutex
	dead   bool
	conns  []net.Conn
	tasks  sync.WaitGroup
}

// say is a script that writes the text as an answer.
func say(text string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	}
}

const fine = "HTTP/1.1 200 OK\nContent-Length: 4\n\ndone"

func cut(conn net.Conn, _ *http.Request) { _ = conn.Close() }

// hang reads until the connection ends.
func hang(conn net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, conn) }

func (f *fake) dial(context.Context, string, string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	f.conns = append(f.conns, server)
	f.tasks.Go(func() { f.serve(server) })
	return client, nil
}

func (f *fake) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		f.seen.Add(1)
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		f.mu.Lock()
		script := f.script
		f.mu.Unlock()
		script(conn, req)
	}
}

func (f *fake) set(script func(net.Conn, *http.Request)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = script
}

// crash breaks all connections and refuses new ones.
func (f *fake) crash(dead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead = dead
	for _, conn := range f.conns {
		_ = conn.Close()
	}
	f.conns = nil
}

var place = model.Place{Region: "klang", DataCentre: "k1"}

func instance(id string) model.Instance {
	return model.Instance{ID: model.InstanceID(id), Service: "shifts", Place: place, Incarnation: 1}
}

func version(limit string) *snapshot.Snapshot {
	csv := "service,idempotent,internal,deadline_ms,weight:klang/k1,limit_per_s:klang/k1,weight:klang,limit_per_s:klang\nshifts,reads,no,1000,1," + limit + ",1,\n"
	parsed, err := table.ParseCSV("table.csv", strings.NewReader(csv))
	if err != nil {
		panic(err)
	}
	s, _, _, err := snapshot.Build(parsed, 1, time.Unix(1000, 0), nil)
	if err != nil {
		panic(err)
	}
	return s
}

// newGuard returns a warm guard of the fake and an end function for the test.
func newGuard(t testing.TB, f *fake, change func(*Config)) (*Guard, func()) {
	self := instance("a")
	view := membership.View{Revision: 1, Instances: []model.Instance{self}}
	cfg := Config{
		Self: self, Address: "upstream:80", Dial: f.dial, Admission: admission.Config{Slots: 1, Ramp: -1}, Log: zap.NewNop(),
		Fresh: func(context.Context) (membership.View, error) { return view, nil },
	}
	if change != nil {
		change(&cfg)
	}
	g, err := New(cfg)
	require.NoError(t, err)
	g.Update(versions[""], view)
	return g, func() {
		g.Close()
		f.crash(true)
		f.tasks.Wait()
	}
}

func request(ctx context.Context, method, body string, header ...string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, _ := http.NewRequestWithContext(ctx, method, "/path", reader)
	req.Host = "shifts"
	req.Header.Set(refusal.HeaderService, "shifts")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

// call runs a request and returns the body, or the refusal.
func call(g *Guard, req *http.Request) (string, *refusal.Refusal, error) {
	resp, err := g.RoundTrip(req)
	if err != nil {
		return "", err.(*refusal.Refusal), nil //nolint:errorlint // RoundTrip promises the type
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), nil, err
}

func millis() string { return strconv.FormatInt(time.Now().UnixMilli(), 10) }

func newRecorder() *recorder { return &recorder{httptest.NewRecorder()} }

type recorder struct{ *httptest.ResponseRecorder }

func (r *recorder) response() *http.Response { return r.Result() }
