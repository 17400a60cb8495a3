package closing

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runAhead is the run of a request that the server under test has started ahead.
type runAhead struct{ dropped chan struct{} }

func (r *runAhead) Drop() { close(r.dropped) }

// pipelineServer is a server whose requests last until finish is called with their path. Requests on paths
// below /safe may run ahead.
type pipelineServer struct {
	t       *testing.T
	server  *Server
	address string

	mu       sync.Mutex
	started  []string // paths of requests that were started ahead
	handled  []string // paths of requests whose handler was called
	runs     map[string]*runAhead
	finished map[string]chan struct{}
	cancels  map[string]context.Context // of handled requests
}

// connKey is the context key for a request's connection.
type connKey struct{}

func startPipelineServer(t *testing.T, requests, bytes int) *pipelineServer {
	return startBoundedPipelineServer(t, requests, bytes, Bounds{})
}

func startBoundedPipelineServer(t *testing.T, requests, bytes int, bounds Bounds) *pipelineServer {
	s := &pipelineServer{
		t: t, runs: make(map[string]*runAhead), finished: make(map[string]chan struct{}), cancels: make(map[string]context.Context),
	}
	s.server = New(&http.Server{
		Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: testTimeout, IdleTimeout: testTimeout,
		ConnContext: withConn,
	})
	s.server.Bounds = bounds
	s.server.Pipelining = &Pipelining{Requests: requests, Bytes: bytes, Start: s.start}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, s.server.Close())
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return s
}

func (s *pipelineServer) start(_ net.Conn, r *http.Request) (Run, bool) {
	if !strings.HasPrefix(r.URL.Path, "/safe") {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	run := &runAhead{dropped: make(chan struct{})}
	s.started = append(s.started, r.URL.Path)
	s.runs[r.URL.Path] = run
	return run, true
}

func (s *pipelineServer) handle(w http.ResponseWriter, r *http.Request) {
	p := PipelineOf(r.Context().Value(connKey{}).(net.Conn))
	run, _ := p.Take().(*runAhead)
	s.mu.Lock()
	s.handled = append(s.handled, r.URL.Path)
	s.cancels[r.URL.Path] = r.Context()
	ahead := s.runs[r.URL.Path] == run
	s.mu.Unlock()
	if run != nil && !ahead {
		http.Error(w, "the run is that of another request", http.StatusInternalServerError)
		return
	}
	if run == nil && r.ContentLength == 0 && strings.HasPrefix(r.URL.Path, "/safe") {
		p.Admit()
	}
	body, _ := io.ReadAll(r.Body)
	select {
	case <-s.gate(r.URL.Path):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if r.URL.Query().Has("close") {
		w.Header().Set("Connection", "close")
	}
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

// gate returns the channel that is closed when the request with the path may finish.
func (s *pipelineServer) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished[path] == nil {
		s.finished[path] = make(chan struct{})
	}
	return s.finished[path]
}

// finish lets the requests with the paths finish.
func (s *pipelineServer) finish(paths ...string) {
	for _, path := range paths {
		close(s.gate(path))
	}
}

// awaitStarted waits until exactly the requests with the paths have been started ahead, in this order.
func (s *pipelineServer) awaitStarted(paths ...string) {
	require.Eventually(s.t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.started) >= len(paths)
	}, testTimeout, time.Millisecond)
	s.requireStarted(paths...)
}

func (s *pipelineServer) requireStarted(paths ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(s.t, paths, s.started)
}

func (s *pipelineServer) awaitHandled(path string) context.Context {
	var ctx context.Context
	require.Eventually(s.t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		ctx = s.cancels[path]
		return ctx != nil
	}, testTimeout, time.Millisecond)
	return ctx
}

// awaitBuffered waits until a connection of the server has read at least so many bytes ahead.
func (s *pipelineServer) awaitBuffered(n int) {
	require.Eventually(s.t, func() bool {
		s.server.mu.Lock()
		defer s.server.mu.Unlock()
		for c := range s.server.conns {
			c.mu.Lock()
			buffered := c.buffered()
			c.mu.Unlock()
			if buffered >= n {
				return true
			}
		}
		return false
	}, testTimeout, time.Millisecond)
}

func get(paths ...string) string {
	var b strings.Builder
	for _, path := range paths {
		_, _ = fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	}
	return b.String()
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// answered reads responses and requires them to be those to the requests with the paths, in this order.
func (c *client) answered(paths ...string) {
	for _, path := range paths {
		resp, err := http.ReadResponse(c.reader, nil)
		require.NoError(c.t, err, path)
		body, err := io.ReadAll(resp.Body)
		require.NoError(c.t, err)
		require.NoError(c.t, resp.Body.Close())
		require.Equal(c.t, http.StatusOK, resp.StatusCode, string(body))
		require.Equal(c.t, path, strings.TrimSpace(string(body)))
	}
}

// Guards against requests that wait until an earlier slow one has been answered, whether they arrive with it or
// later, and against responses in another order than that of the requests.
func TestRequestsBehindASlowOneAreStarted(t *testing.T) {
	s := startPipelineServer(t, 16, 1<<16)
	c := dial(t, s.address)
	c.write(get("/safe/1", "/safe/2"))
	s.awaitStarted("/safe/2")
	c.write(get("/safe/3")[:20])
	s.awaitBuffered(len(get("/safe/2")) + 20)
	c.write(get("/safe/3")[20:] + get("/safe/4"))
	s.awaitStarted("/safe/2", "/safe/3", "/safe/4")
	s.finish("/safe/4", "/safe/3", "/safe/2", "/safe/1")
	c.answered("/safe/1", "/safe/2", "/safe/3", "/safe/4")
	s.requireStarted("/safe/2", "/safe/3", "/safe/4")
}

// Guards against more requests that run ahead than the bound, and against requests beyond it that are lost or
// are not started once there is room.
func TestRequestsBeyondTheBoundAreStartedLater(t *testing.T) {
	s := startPipelineServer(t, 2, 1<<16)
	c := dial(t, s.address)
	c.write(get("/safe/1", "/safe/2", "/safe/3", "/safe/4", "/safe/5"))
	s.awaitStarted("/safe/2", "/safe/3")
	s.awaitBuffered(4 * len(get("/safe/2")))
	s.requireStarted("/safe/2", "/safe/3")
	s.finish("/safe/1")
	c.answered("/safe/1")
	s.awaitStarted("/safe/2", "/safe/3", "/safe/4")
	s.finish("/safe/2", "/safe/3", "/safe/4", "/safe/5")
	c.answered("/safe/2", "/safe/3", "/safe/4", "/safe/5")
}

// Guards against more bytes that are read ahead than the bound, and against the loss of those beyond it.
func TestBytesReadAheadAreBounded(t *testing.T) {
	const bound = 300
	s := startPipelineServer(t, 100, bound)
	c := dial(t, s.address)
	c.write(get("/safe/1"))
	s.awaitHandled("/safe/1")
	var paths []string
	for n := range 50 {
		paths = append(paths, fmt.Sprintf("/safe/behind/%02d", n))
	}
	size := len(get(paths[0]))
	c.write(get(paths...))
	s.awaitStarted(paths[:bound/size]...)
	s.awaitBuffered(bound)
	s.requireStarted(paths[:bound/size]...)
	s.finish(append(paths, "/safe/1")...)
	c.answered(append([]string{"/safe/1"}, paths...)...)
}

// Guards against a request that overtakes one that may run only once, or has a body, or the response to
// such a request.
func TestOtherRequestsAreBarriers(t *testing.T) {
	for name, barrier := range map[string]string{
		"unsafe": get("/write"), "body": post("/safe/write", "x"),
		"chunked": "POST /write HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startPipelineServer(t, 16, 1<<16)
			c := dial(t, s.address)
			path := strings.Fields(barrier)[1]
			c.write(get("/safe/1", "/safe/2") + barrier + get("/safe/3", "/safe/4"))
			s.awaitStarted("/safe/2")
			s.awaitBuffered(len(get("/safe/2", "/safe/3", "/safe/4") + barrier))
			s.finish("/safe/1", "/safe/2")
			c.answered("/safe/1", "/safe/2")
			s.awaitHandled(path)
			s.requireStarted("/safe/2")
			s.finish(path, "/safe/3", "/safe/4")
			for range 3 {
				resp, err := http.ReadResponse(c.reader, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
			}
		})
	}
}

// Guards against requests that go on running, or run later, when the caller has closed or reset the
// connection: behind requests that have been started, behind a barrier, and when more bytes have arrived
// than are read ahead.
func TestEndOfTheConnectionCancelsAllRequests(t *testing.T) {
	for name, behind := range map[string]string{
		"started": get("/safe/3"), "barrier": get("/write"), "bytes": get("/safe/" + strings.Repeat("x", 2000)),
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s reset %v", name, reset), func(t *testing.T) {
				s := startPipelineServer(t, 16, 500)
				c := dial(t, s.address)
				c.write(get("/safe/1"))
				first := s.awaitHandled("/safe/1")
				c.write(get("/safe/2") + behind)
				s.awaitStarted(append([]string{"/safe/2"}, map[string][]string{"started": {"/safe/3"}}[name]...)...)
				if reset {
					require.NoError(t, c.conn.(*net.TCPConn).SetLinger(0))
				}
				require.NoError(t, c.conn.Close())
				<-first.Done()
				s.mu.Lock()
				defer s.mu.Unlock()
				for _, run := range s.runs {
					<-run.dropped
				}
				require.Equal(t, []string{"/safe/1"}, s.handled)
			})
		}
	}
}

// Guards against requests that run behind a response that closes the connection: the caller sends
// them again.
func TestRequestsBehindAClosingResponseDoNotRun(t *testing.T) {
	s := startPipelineServer(t, 2, 1<<16)
	c := dial(t, s.address)
	c.write(get("/safe/1?close", "/safe/2", "/safe/3", "/safe/4"))
	s.awaitStarted("/safe/2", "/safe/3")
	s.finish("/safe/1")
	c.answered("/safe/1")
	_, err := c.reader.ReadByte()
	require.Error(t, err)
	for _, path := range []string{"/safe/2", "/safe/3"} {
		<-s.runs[path].dropped
	}
	s.requireStarted("/safe/2", "/safe/3")
	require.Equal(t, []string{"/safe/1"}, s.handled)
}

// Guards against requests that are started behind one that asks for the end of the connection.
func TestRequestsBehindTheLastOneAreNotStarted(t *testing.T) {
	s := startPipelineServer(t, 16, 1<<16)
	c := dial(t, s.address)
	last := "GET /safe/2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	c.write(get("/safe/1") + last + get("/safe/3"))
	s.awaitStarted("/safe/2")
	s.awaitBuffered(len(last + get("/safe/3")))
	s.finish("/safe/1", "/safe/2")
	c.answered("/safe/1", "/safe/2")
	_, err := c.reader.ReadByte()
	require.Error(t, err)
	s.requireStarted("/safe/2")
}

// Guards against a malformed request that is answered before the requests in front of it, or that
// lets those behind it run.
func TestMalformedRequestIsAnsweredInItsTurn(t *testing.T) {
	for _, malformed := range []string{
		"GET /safe/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "GET /safe/x HTTP/1.1\r\n\r\n", "nonsense\r\n\r\n", "GET /safe/x HTTP/1.1\nHost: a\nb\n\n",
		"GET /safe/x HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", "GET /safe/x HTTP/1.1\r\nHost: a b\r\n\r\n", "GET /safe/%zz HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /safe/x HTTP/1.1\r\nHost: a\r\nX\x01: b\r\n\r\n",
	} {
		t.Run(malformed, func(t *testing.T) {
			s := startPipelineServer(t, 16, 1<<16)
			c := dial(t, s.address)
			c.write(get("/safe/1", "/safe/2") + malformed + get("/safe/3"))
			s.awaitStarted("/safe/2")
			s.awaitBuffered(len(get("/safe/2", "/safe/3") + malformed))
			s.finish("/safe/1", "/safe/2")
			c.answered("/safe/1", "/safe/2")
			resp, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			require.Equal(t, http.StatusBadRequest, resp.StatusCode)
			require.True(t, resp.Close)
			s.requireStarted("/safe/2")
		})
	}
}

// Guards against a shutdown that ends a connection before requests that were started ahead have been
// answered, while it looks idle between two responses.
func TestWaitAnswersRequestsThatWereStartedAhead(t *testing.T) {
	s := startPipelineServer(t, 16, 1<<16)
	c := dial(t, s.address)
	c.write(get("/safe/1", "/safe/2", "/safe/3"))
	s.awaitStarted("/safe/2", "/safe/3")
	ended := make(chan int)
	go func() { ended <- s.server.Wait(t.Context()) }()
	require.Eventually(t, s.server.hasStopped, testTimeout, time.Millisecond)
	s.finish("/safe/1")
	c.answered("/safe/1")
	s.awaitHandled("/safe/2")
	s.finish("/safe/2", "/safe/3")
	c.answered("/safe/2", "/safe/3")
	require.Zero(t, <-ended)
}

// Guards against a connection that counts as idle while bytes of a request have been read ahead.
func TestConnectionWithBytesReadAheadIsNotIdle(t *testing.T) {
	c := &conn{pipelining: &Pipelining{}, idle: true, ahead: &ahead{buffer: []byte("GET")}}
	require.False(t, c.closeIfIdle(0))
}

// Guards against bytes that are changed, lost or reordered, and against requests whose ends net/http sees
// elsewhere, however the stream is cut into segments.
func TestBytesPassUnchanged(t *testing.T) {
	requests := []string{
		get("/safe/a"), get("/write/b"), post("/write/c", strings.Repeat("body", 2500)), post("/safe/d", "x"), post("/write/e", ""),
		"GET /safe/f HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("y", 9000) + "\r\n\r\n",
		"POST /write/g HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"GET /safe/h HTTP/1.1\nHost: a\n\n", "GET /safe/i HTTP/1.1\r\nHost: a\r\nX: 1\r\n continued\r\n\r\n",
		"POST /write/j HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
		"GET /safe/k HTTP/1.1\r\nHost: a\r\nX-Line: " + strings.Repeat("z", 4095-len("X-Line: ")) + "\r\n\r\n",
	}
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 4))
		s := startPipelineServer(t, 3, 4000)
		var stream strings.Builder
		var want []string
		// Chunked bodies and bare line feeds end read-ahead, so the first half has none.
		for n := range 8 {
			text := requests[random.IntN(len(requests)-5*(1-n/4))]
			path := strings.Fields(text)[1]
			unique := fmt.Sprintf("%s/%d", path, n)
			stream.WriteString(strings.Replace(text, path, unique, 1))
			s.finish(unique)
			body := text[len(text)-map[string]int{"/write/c": 10000, "/safe/d": 1, "/write/j": 2}[path]:]
			if path == "/write/g" {
				body = "abc"
			}
			want = append(want, strings.TrimSpace(unique+" "+body))
		}
		c := dial(t, s.address)
		go func() {
			for rest := stream.String(); rest != ""; {
				n := min(len(rest), 1+random.IntN(1<<(1+random.IntN(13))))
				if _, err := io.WriteString(c.conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		for _, text := range want {
			resp, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err, "seed %d: %s", seed, text)
			if resp.StatusCode == http.StatusContinue {
				resp, err = http.ReadResponse(c.reader, nil)
				require.NoError(t, err, seed)
			}
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err, seed)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, text, strings.TrimSpace(string(body)), seed)
		}
		require.NoError(t, c.conn.Close())
	}
}

// Guards against heads that net/http ends elsewhere, or refuses although they may be started ahead.
func FuzzScanHead(f *testing.F) {
	for _, text := range []string{
		get("/a", "/b"), post("/a", "body"), "GET / HTTP/1.1\nHost: a\n\n", "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n",
		"A / HTTP/1.1\r\n\r\r\n\r\n", "A / HTTP/1.1\r\r\nHost: a\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m, state := scanHead(text)
		if state != headWhole {
			return
		}
		reader := bufio.NewReaderSize(strings.NewReader(string(text)), len(text)+1)
		r, err := http.ReadRequest(reader)
		if err != nil {
			require.False(t, wellFormed(text[:m.size]) && r != nil)
			return
		}
		require.Equal(t, len(text)-m.size, reader.Buffered(), "end of the head")
		require.Equal(t, m.body, r.ContentLength)
		require.Empty(t, r.TransferEncoding)
		require.False(t, r.Close && !m.last)
	})
}
