package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
)

// sender sends a call to an instance.
type sender interface {
	RoundTrip(*model.Instance, *http.Request) (*http.Response, error)
}

// underLoad stops a server while peers keep sending to it, and returns what went wrong.
// stop is called while a call runs, which ends after stop has called finish or when the
// call is cut.
func underLoad(t *testing.T, stop func(s *Server, finish func()) error, wrap func(sender) sender, reply func(string) *http.Response) []string {
	f := newFleet(t)
	var ran sync.Map
	var runs atomic.Int32
	busy, release := make(chan struct{}), make(chan struct{})
	server, inst := serve(t, f, func(r *http.Request) (*http.Response, error) {
		body, err := io.ReadAll(r.Body)
		if _, twice := ran.LoadOrStore(string(body), true); twice {
			return nil, errors.New("ran twice")
		}
		if runs.Add(1) == 500 {
			close(busy)
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		return reply(string(body)), err
	}, nil)
	client := wrap(newClient(t, f))
	var group sync.WaitGroup
	var mu sync.Mutex
	var wrong []string
	report := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		wrong = append(wrong, fmt.Sprintf(format, args...))
	}
	for worker := range 16 {
		group.Go(func() {
			for i := 0; ; i++ {
				id := fmt.Sprintf("%d-%d", worker, i)
				resp, err := client.RoundTrip(inst, call(context.Background(), "POST", id))
				if err == nil {
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if err == nil && string(body) != id {
						report("I4: the answer to %s is %q", id, body)
					} else if err != nil {
						report("I8: the answer to %s is cut: %v", id, err)
					}
					continue
				}
				var failed *Error
				_, executed := ran.Load(id)
				switch {
				case !errors.As(err, &failed) || failed.Run != refusal.NotRun:
					report("I8: call %s is cut: %v", id, err)
				case executed:
					report("I5: call %s ran: %v", id, err)
				}
				return
			}
		})
	}
	<-busy
	require.NoError(t, stop(server, func() { close(release) }))
	group.Wait()
	return wrong
}

func shutdown(s *Server, finish func()) error {
	s.http.RegisterOnShutdown(finish)
	return s.Shutdown(context.Background())
}

func closeAtOnce(s *Server, finish func()) error {
	defer finish()
	return s.Close()
}

func unchanged(s sender) sender { return s }

// Guards against a planned stop that cuts calls or claims not-run for a call that ran,
// while peers keep sending.
func TestShutdownUnderLoad(t *testing.T) {
	require.Empty(t, underLoad(t, shutdown, unchanged, answer))
}

type senderFunc func(*model.Instance, *http.Request) (*http.Response, error)

func (f senderFunc) RoundTrip(i *model.Instance, r *http.Request) (*http.Response, error) {
	return f(i, r)
}

// Guards against checks of calls that find nothing: each defect of a double must be
// reported under the invariant that it breaks.
func TestDefectsAreFound(t *testing.T) {
	endsEarly := func(body string) *http.Response { // without a length, so that no other check sees it
		resp := answer(body[:len(body)-1])
		resp.ContentLength = -1
		return resp
	}
	alwaysNotRun := func(s sender) sender {
		return senderFunc(func(i *model.Instance, r *http.Request) (*http.Response, error) {
			resp, err := s.RoundTrip(i, r)
			var failed *Error
			if errors.As(err, &failed) {
				failed.Run = refusal.NotRun
			}
			return resp, err
		})
	}
	for _, c := range []struct {
		name, invariant string
		stop            func(*Server, func()) error
		wrap            func(sender) sender
		reply           func(string) *http.Response
	}{
		{"body ends early without an error", "I4", shutdown, unchanged, endsEarly},
		{"not-run after the bytes were sent", "I5", closeAtOnce, alwaysNotRun, answer},
		{"drain closes at once", "I8", closeAtOnce, unchanged, answer},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, strings.Join(underLoad(t, c.stop, c.wrap, c.reply), "\n"), c.invariant)
		})
	}
}

// Guards against a call that is cut at the end of a planned stop, with an unknown outcome, while
// its body has not arrived and it has not run.
func TestCallsWithoutTheirBodiesAreRefusedAtTheEnd(t *testing.T) {
	f := newFleet(t)
	entered := make(chan struct{})
	server, inst := serve(t, f, func(r *http.Request) (*http.Response, error) {
		close(entered)
		_, err := io.ReadAll(r.Body)
		return nil, &refusal.Refusal{Kind: refusal.Cut, Run: refusal.NotRun, Remedy: err.Error()}
	}, nil)
	type result struct {
		resp *http.Response
		err  error
	}
	answered := make(chan result, 1)
	never := make(waitReader)
	go func() {
		req := call(context.Background(), "POST", "a body")
		req.Body = io.NopCloser(never)
		resp, err := newClient(t, f).RoundTrip(inst, req) //nolint:bodyclose // closed by the receiver
		answered <- result{resp, err}
	}()
	<-entered
	server.GiveUp()
	require.NoError(t, server.Shutdown(context.Background()))
	got := <-answered
	close(never)
	require.NoError(t, got.err)
	defer func() { _ = got.resp.Body.Close() }()
	refused, ok := refusal.FromResponse(got.resp)
	require.True(t, ok)
	require.Equal(t, refusal.NotRun, refused.Run)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type waitReader chan struct{}

func (w waitReader) Read([]byte) (int, error) {
	<-w
	return 0, io.EOF
}
