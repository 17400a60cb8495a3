package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
)

// Guards against refusals that cost callers their connection, and against a view of
// before a pause being used for what must run once.
func TestRefusalKeepsConnection(t *testing.T) {
	server, addr := start(t, Config{Local: guardFunc(func(*http.Request) (*http.Response, error) {
		return nil, &refusal.Refusal{Kind: refusal.Limited, Run: refusal.NotRun}
	})})
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, want := range []refusal.Kind{refusal.Limited, refusal.NoVersion, refusal.Limited} {
		server.SetStale(want == refusal.NoVersion)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: shifts\r\nContent-Length: 5\r\n\r\nhello")
		require.NoError(t, err)
		got, err := readAnswer(reader, "POST")
		require.NoError(t, err)
		require.Equal(t, string(want), got.Header.Get(refusal.HeaderKind))
		require.Equal(t, "not-run", got.Header.Get(refusal.HeaderRun))
	}
}

type script []func([]byte) (int, error)

// Read runs one step of the script per call.
func (s *script) Read(p []byte) (int, error) {
	if len(*s) == 0 {
		return 0, io.EOF
	}
	step := (*s)[0]
	*s = (*s)[1:]
	return step(p)
}

func text(value string) func([]byte) (int, error) {
	return func(p []byte) (int, error) { return copy(p, value), nil }
}

// Guards against a part of an answer that looks whole, and against answers that change.
func TestAnswersAreWholeOrCut(t *testing.T) {
	cut := func([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
	for name, c := range map[string]struct {
		method string
		status int
		length int64
		steps  script
		want   string
		whole  bool
	}{
		"length":        {"GET", 200, 4, script{text("full")}, "full", true},
		"no length":     {"GET", 200, -1, script{text("fu"), text("ll")}, "full", true},
		"head":          {"HEAD", 200, 4, nil, "", true},
		"no content":    {"GET", 204, 0, nil, "", true},
		"not modified":  {"GET", 304, -1, nil, "", true},
		"empty":         {"GET", 200, 0, nil, "", true},
		"too short":     {"GET", 200, 4, script{text("ful")}, "", false},
		"too long":      {"GET", 200, 3, script{text("full")}, "", false},
		"cut at once":   {"GET", 200, 4, script{cut}, "", false},
		"cut in length": {"GET", 200, 4, script{text("fu"), cut}, "", false},
		"cut in chunks": {"GET", 200, -1, script{text("fu"), cut}, "", false},
		"cut unstarted": {"GET", 200, -1, script{cut}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := start(t, Config{Local: guardFunc(func(*http.Request) (*http.Response, error) {
				resp := answer(c.status, "")
				resp.ContentLength, resp.Body = c.length, io.NopCloser(&c.steps)
				if c.method == http.MethodHead {
					resp.Header.Set("Content-Length", "4")
				}
				resp.Header.Set("Mangoshed-Load", "1/9/0")
				return resp, nil
			})})
			resp, err := ask(t, addr, c.method+" / HTTP/1.1\r\nHost: shifts\r\n\r\n")
			if !c.whole {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, c.want, resp.body)
			require.Empty(t, resp.Header.Get(refusal.HeaderLoad))
			require.Empty(t, resp.Header.Get("Content-Type"))
		})
	}
}

// Guards against events that wait in a buffer, lost trailers, and against answers that
// wait for the end of a request body.
func TestEarlyAnswersAndTrailers(t *testing.T) {
	next := make(chan struct{})
	_, addr := start(t, Config{Local: guardFunc(func(r *http.Request) (*http.Response, error) {
		first := make([]byte, 5)
		_, err := io.ReadFull(r.Body, first)
		resp := answer(200, "")
		resp.ContentLength = -1
		resp.Trailer = http.Header{"Checksum": nil}
		resp.Body = io.NopCloser(&script{text("early"), func([]byte) (int, error) {
			<-next
			resp.Trailer.Set("Checksum", "9")
			return 0, io.EOF
		}})
		return resp, err
	})})
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: shifts\r\nContent-Length: 1000\r\nExpect: 100-continue\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	_, err = io.WriteString(conn, "hello")
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, &http.Request{Method: "POST"})
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	early := make([]byte, 5)
	_, err = io.ReadFull(resp.Body, early)
	require.NoError(t, err)
	require.Equal(t, "early", string(early))
	close(next)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "9", resp.Trailer.Get("Checksum"))
	require.True(t, resp.Close, "the rest of the body must not become a request")
}

// Guards against calls that outlive their caller, and against peers that hold a slot
// without moving a byte.
func TestGoneAndIdlePeersEndTheCall(t *testing.T) {
	entered := make(chan struct{}, 1)
	ended := make(chan error, 1)
	stall := func(r *http.Request) func([]byte) (int, error) {
		return func([]byte) (int, error) {
			<-r.Context().Done()
			ended <- r.Context().Err()
			return 0, r.Context().Err()
		}
	}
	local := guardFunc(func(r *http.Request) (*http.Response, error) {
		entered <- struct{}{}
		switch r.URL.Path {
		case "/body":
			resp := answer(200, "")
			resp.ContentLength, resp.Body = -1, io.NopCloser(&script{text("x"), stall(r)})
			return resp, nil
		case "/upload":
			_, err := io.ReadAll(r.Body)
			ended <- err
			return nil, err
		}
		_, err := stall(r)(nil)
		return nil, err
	})
	t.Run("caller", func(t *testing.T) {
		_, addr := start(t, Config{Local: local})
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = io.WriteString(conn, get("shifts", "/"))
		require.NoError(t, err)
		<-entered
		require.NoError(t, conn.Close())
		require.ErrorIs(t, <-ended, context.Canceled)
	})
	// askUntilEntered asks until a call has reached the upstream: on a busy machine the idle time
	// may end before that.
	askUntilEntered := func(t *testing.T, addr, raw string) (reply, error) {
		for {
			resp, err := ask(t, addr, raw)
			select {
			case <-entered:
				return resp, err
			default:
			}
		}
	}
	t.Run("idle upstream", func(t *testing.T) {
		_, addr := start(t, Config{Local: local, Idle: 10 * time.Millisecond})
		_, err := askUntilEntered(t, addr, get("shifts", "/body"))
		require.Error(t, err)
		require.Error(t, <-ended)
	})
	t.Run("idle caller", func(t *testing.T) {
		_, addr := start(t, Config{Local: local, Idle: 10 * time.Millisecond})
		resp, err := askUntilEntered(t, addr, "POST /upload HTTP/1.1\r\nHost: shifts\r\nContent-Length: 9\r\n\r\nx")
		require.NoError(t, err)
		require.Equal(t, string(refusal.BadRequest), resp.Header.Get(refusal.HeaderKind))
		require.Equal(t, "may-have-run", resp.Header.Get(refusal.HeaderRun))
		require.Error(t, <-ended)
	})
}

// Guards against a planned stop that cuts a running call or takes new ones, and against
// calls in flight without bound.
func TestDrainCutsNothing(t *testing.T) {
	entered, release := make(chan struct{}, 1), make(chan struct{})
	server, addr := start(t, Config{MaxCalls: 1, Linger: time.Nanosecond, Local: guardFunc(func(*http.Request) (*http.Response, error) {
		entered <- struct{}{}
		<-release
		return answer(200, "done"), nil
	})})
	type result struct {
		body string
		err  error
	}
	running := make(chan result, 1)
	go func() {
		resp, err := ask(t, addr, get("shifts", "/"))
		running <- result{resp.body, err}
	}()
	<-entered
	second, err := ask(t, addr, get("shifts", "/"))
	require.NoError(t, err)
	require.Equal(t, string(refusal.Overloaded), second.Header.Get(refusal.HeaderKind))
	require.Equal(t, "not-run", second.Header.Get(refusal.HeaderRun))
	stopping := make(chan struct{})
	server.http.RegisterOnShutdown(func() { close(stopping) })
	var drained sync.WaitGroup
	drained.Go(func() { _ = server.Drain(context.Background()) })
	<-stopping
	close(release)
	got := <-running
	require.NoError(t, got.err)
	require.Equal(t, "done", got.body)
	drained.Wait()
	_, err = net.Dial("tcp", addr)
	require.Error(t, err)
	_, _, refused := server.admit(&http.Request{}, "")
	require.Equal(t, refusal.Leaving, refused.Kind)
	require.Equal(t, refusal.NotRun, refused.Run)
}
