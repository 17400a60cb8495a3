package caller

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
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
