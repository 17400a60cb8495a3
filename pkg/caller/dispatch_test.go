package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/core/routing"
)

// Guards against a request that runs twice, a retry with a part of the body, and a
// not-run after an attempt that may have run.
func TestRetries(t *testing.T) {
	refused := func(run refusal.Run) error {
		return &refusal.Refusal{Kind: refusal.UpstreamFailed, Run: run, Remedy: "test"}
	}
	notRun, mayHaveRun := refused(refusal.NotRun), refused(refusal.MayHaveRun)
	large := strings.Repeat("x", replayBytes+1)
	for name, c := range map[string]struct {
		method, body string
		chunked      bool
		outcomes     []error // of the attempts; nil is an answer
		attempts     int
		status       int
		run          string
	}{
		"not run":                   {"POST", "body", false, []error{notRun, nil}, 2, 200, ""},
		"not run, chunked":          {"POST", "body", true, []error{notRun, notRun, nil}, 3, 200, ""},
		"not run thrice":            {"POST", "body", false, []error{notRun, notRun, notRun, nil}, 3, 502, "not-run"},
		"may have run":              {"POST", "body", false, []error{mayHaveRun, nil}, 1, 502, "may-have-run"},
		"repeatable":                {"GET", "", false, []error{mayHaveRun, nil}, 2, 200, ""},
		"not run after maybe":       {"GET", "", false, []error{mayHaveRun, notRun, notRun}, 3, 502, "may-have-run"},
		"large body consumed":       {"POST", large, false, []error{notRun, nil}, 1, 502, "not-run"},
		"large chunked body":        {"POST", large, true, []error{notRun, nil}, 1, 502, "not-run"},
		"unknown error":             {"POST", "", false, []error{errors.New("broken"), nil}, 1, 502, "may-have-run"},
		"final refusal":             {"GET", "", false, []error{&refusal.Refusal{Kind: refusal.Duplicate, Run: refusal.NotRun}, nil}, 1, 409, "not-run"},
		"instance that just leaves": {"POST", "body", false, []error{&refusal.Refusal{Kind: refusal.Leaving, Run: refusal.NotRun}, nil}, 2, 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			attempts := 0
			seen := map[model.InstanceID]bool{}
			_, addr := start(t, Config{
				Router: newRouter(t, instance("b"), instance("c"), instance("d")),
				Remote: remoteFunc(func(inst *model.Instance, r *http.Request) (*http.Response, error) {
					require.False(t, seen[inst.ID], "an instance is tried once per call")
					seen[inst.ID] = true
					body, err := io.ReadAll(r.Body)
					require.NoError(t, err)
					require.Equal(t, c.body, string(body))
					attempts++
					require.Equal(t, fmt.Sprint(attempts), r.Header.Get(refusal.HeaderAttempt))
					if err := c.outcomes[attempts-1]; err != nil {
						return nil, err
					}
					return answer(200, "ok"), nil
				}),
			})
			length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
			if c.chunked {
				length = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(c.body), c.body)
			}
			resp, err := ask(t, addr, c.method+" / HTTP/1.1\r\nHost: shifts\r\n"+length)
			require.NoError(t, err)
			require.Equal(t, c.attempts, attempts)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, c.run, resp.Header.Get(refusal.HeaderRun))
		})
	}
}

// Guards against kept bodies that change, or that take memory without bound.
func TestBodyReplaysWhatItKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "content")
		memory := &replayMemory{}
		b := newBody(iotest.HalfReader(bytes.NewReader(content)), -1, memory)
		for range rapid.IntRange(0, 3).Draw(t, "attempts") {
			part := make([]byte, rapid.IntRange(0, len(content)).Draw(t, "read"))
			attempt := b.attempt()
			_, err := io.ReadFull(attempt, part)
			require.NoError(t, err)
			require.NoError(t, attempt.Close())
			require.True(t, b.replayable())
		}
		got, err := io.ReadAll(b.attempt())
		require.NoError(t, err)
		require.Equal(t, string(content), string(got))
		b.free()
		require.Zero(t, memory.used.Load())
	})
	memory := &replayMemory{}
	memory.used.Store(replayTotal)
	b := newBody(strings.NewReader("abc"), 3, memory)
	got, err := io.ReadAll(b.attempt())
	require.NoError(t, err)
	require.Equal(t, "abc", string(got))
	require.False(t, b.replayable())
}

// Guards against an owner's dispatch that runs twice or that the target takes for a
// caller's.
func TestOwnerDispatchesOnce(t *testing.T) {
	for run, want := range map[refusal.Run]int{refusal.NotRun: 3, refusal.MayHaveRun: 1} {
		attempts := 0
		server, _ := start(t, Config{
			Router: newRouter(t, instance("b"), instance("c"), instance("d")),
			Remote: remoteFunc(func(_ *model.Instance, r *http.Request) (*http.Response, error) {
				attempts++
				require.Equal(t, "1", r.Header.Get(refusal.HeaderDispatch))
				return nil, &refusal.Refusal{Kind: refusal.Cut, Run: run}
			}),
		})
		req, err := http.NewRequestWithContext(t.Context(), "GET", "/", nil)
		require.NoError(t, err)
		req.Header.Set(refusal.HeaderService, "shifts")
		resp, err := server.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		require.Error(t, err)
		require.Equal(t, want, attempts)
		late, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
		resp, err = server.RoundTrip(req.WithContext(late))
		cancel()
		if err == nil {
			_ = resp.Body.Close()
		}
		require.ErrorIs(t, err, tooLate)
		require.Equal(t, want, attempts)
	}
}

// Guards against retries beyond the budget while everything fails, and against decisions
// that are not counted.
func TestRetryBudgetBoundsLoad(t *testing.T) {
	var attempts atomic.Int32
	registry := prometheus.NewRegistry()
	server, addr := start(t, Config{
		Registry: registry,
		Router:   newRouter(t, instance("b"), instance("c"), instance("d")),
		Remote: remoteFunc(func(*model.Instance, *http.Request) (*http.Response, error) {
			attempts.Add(1)
			return nil, &refusal.Refusal{Kind: refusal.Overloaded, Run: refusal.NotRun}
		}),
	})
	for range 200 {
		_, err := ask(t, addr, get("shifts", "/"))
		require.NoError(t, err)
	}
	require.LessOrEqual(t, attempts.Load(), int32(200+200/retry.CallsPerRetry+2))
	require.Zero(t, server.budget.Retries())
	families, err := registry.Gather()
	require.NoError(t, err)
	counts := map[string]float64{}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			name := family.GetName()
			for _, label := range m.GetLabel() {
				name += " " + label.GetValue()
			}
			counts[name] = m.GetCounter().GetValue() + float64(m.GetHistogram().GetSampleCount())
		}
	}
	require.EqualValues(t, 200, counts["mangoshed_calls_refused_total overloaded not-run"])
	require.EqualValues(t, 200, counts["mangoshed_call_duration_seconds refused"])
	require.EqualValues(t, attempts.Load(), counts["mangoshed_chosen_total local"])
	require.EqualValues(t, attempts.Load()-200, counts["mangoshed_retry_decisions_total again"])
	require.Positive(t, counts["mangoshed_retry_decisions_total budget"])
}

// Guards against calls that queue at the own instance, which others fill, beside a free one.
func TestOwnInstanceFilledByOthersIsPassedBy(t *testing.T) {
	load := routing.Load{InFlight: 9, Slots: 9, Queued: 3}
	_, addr := start(t, Config{
		Router:    newRouter(t, instance("a"), instance("b")),
		LocalLoad: func() routing.Load { return load },
		Local:     guardFunc(func(*http.Request) (*http.Response, error) { return answer(200, "a"), nil }),
		Remote: remoteFunc(func(inst *model.Instance, _ *http.Request) (*http.Response, error) {
			return answer(200, string(inst.ID)), nil
		}),
	})
	served := map[string]int{}
	for range 200 {
		got, err := ask(t, addr, get("shifts", "/"))
		require.NoError(t, err)
		served[got.body]++
	}
	require.Equal(t, map[string]int{"b": 200}, served)
	load = routing.Load{Slots: 9}
	served = map[string]int{}
	for range 200 {
		got, err := ask(t, addr, get("shifts", "/"))
		require.NoError(t, err)
		served[got.body]++
	}
	require.NotZero(t, served["a"])
}

// Guards against calls that wait at an instance beside one with a free slot, because several
// daemons sent it calls at the same moment; against a call that finds no slot anywhere and is
// refused; and against looks that use up the retry budget or reach callers.
func TestCallLooksForAFreeSlot(t *testing.T) {
	free := map[model.InstanceID]bool{}
	asked, waited := 0, 0
	server, addr := start(t, Config{
		Router: newRouter(t, instance("b"), instance("c"), instance("d"), instance("e")),
		Remote: remoteFunc(func(inst *model.Instance, r *http.Request) (*http.Response, error) {
			body, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			require.LessOrEqual(t, len(body), replayBytes+1)
			if free[inst.ID] {
				return answer(200, string(inst.ID)), nil
			}
			if r.Header.Get(refusal.HeaderNoWait) != "" {
				asked++
				resp := answer(503, "")
				refused := &refusal.Refusal{Kind: refusal.NoSlot, Run: refusal.NotRun}
				resp.Header.Set(refusal.HeaderKind, string(refused.Kind))
				resp.Header.Set(refusal.HeaderRun, refused.Run.String())
				return resp, nil
			}
			waited++
			return answer(200, "waited"), nil
		}),
	})
	before := server.budget.Retries()
	for name, c := range map[string]struct {
		free          []model.InstanceID
		body          string
		asked, waited int
		got           string
	}{
		"one has a free slot":       {[]model.InstanceID{"b", "c", "d", "e"}, "", 0, 0, ""},
		"none has a free slot":      {nil, "body", maxLooks, 1, "waited"},
		"body too large for a look": {nil, strings.Repeat("x", replayBytes+1), 0, 1, "waited"},
	} {
		asked, waited = 0, 0
		clear(free)
		for _, id := range c.free {
			free[id] = true
		}
		got, err := ask(t, addr, fmt.Sprintf("POST / HTTP/1.1\r\nHost: shifts\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.body))
		require.NoError(t, err)
		require.Equal(t, 200, got.StatusCode, name)
		require.Equal(t, c.asked, asked, name)
		require.Equal(t, c.waited, waited, name)
		if c.got != "" {
			require.Equal(t, c.got, got.body, name)
		}
	}
	for range 50 {
		clear(free)
		free["e"] = true
		asked, waited = 0, 0
		got, err := ask(t, addr, get("shifts", "/"))
		require.NoError(t, err)
		require.Equal(t, "e", got.body)
		require.LessOrEqual(t, asked, maxLooks)
		require.Zero(t, waited)
	}
	require.GreaterOrEqual(t, server.budget.Retries(), before)
}

// Guards against calls that wait at an instance when it is told to stop and whose callers
// get 503, although another instance would run them.
func TestCallsThatWaitAtAStoppingInstanceRunElsewhere(t *testing.T) {
	const calls = 12
	router := newRouter(t, instance("b"))
	waiting, stopped := make(chan struct{}, calls), make(chan struct{})
	_, addr := start(t, Config{
		Router: router,
		Remote: remoteFunc(func(inst *model.Instance, _ *http.Request) (*http.Response, error) {
			if inst.ID == "c" {
				return answer(200, "c"), nil
			}
			waiting <- struct{}{}
			<-stopped
			return nil, &refusal.Refusal{Kind: refusal.Leaving, Run: refusal.NotRun}
		}),
	})
	answers := make(chan reply, calls)
	for n := range calls {
		go func() {
			got, err := ask(t, addr, []string{"GET", "POST"}[n%2]+" / HTTP/1.1\r\nHost: shifts\r\nContent-Length: 0\r\n\r\n")
			assert.NoError(t, err)
			answers <- got
		}()
	}
	for range calls {
		<-waiting
	}
	router.Update(routes(t), []model.Instance{instance("b"), instance("c")}, time.Now())
	close(stopped)
	for range calls {
		got := <-answers
		require.Equal(t, 200, got.StatusCode, got.Header)
		require.Equal(t, "c", got.body)
	}
}

// Guards against keyed requests that miss the owner of the key.
func TestKeyedRequestGoesToOwner(t *testing.T) {
	ran := make(chan model.InstanceID, 1)
	owners := []model.Instance{instance("c"), instance("b")}
	var starting *refusal.Refusal // answer of b while it does not decide
	_, addr := start(t, Config{
		Router: newRouter(t, instance("a"), instance("b"), instance("c")),
		Remote: remoteFunc(func(inst *model.Instance, r *http.Request) (*http.Response, error) {
			require.Empty(t, r.Header.Get(refusal.HeaderDispatch))
			if inst.ID == "b" && starting != nil {
				return nil, starting
			}
			ran <- inst.ID
			return answer(200, r.Header.Get(refusal.HeaderKey)), nil
		}),
		Owners: ownerFunc(func(service, key string) []model.Instance {
			require.Equal(t, "shifts k1", service+" "+key)
			return owners
		}),
	})
	raw := "POST / HTTP/1.1\r\nHost: shifts\r\nIdempotency-Key: k1\r\nContent-Length: 0\r\n\r\n"
	resp, err := ask(t, addr, raw)
	require.NoError(t, err)
	require.Equal(t, "k1", resp.body)
	require.Equal(t, model.InstanceID("c"), <-ran)
	owners = []model.Instance{instance("b"), instance("c")}
	starting = &refusal.Refusal{Kind: refusal.NotOwner, Run: refusal.NotRun}
	resp, err = ask(t, addr, raw)
	require.NoError(t, err)
	require.Equal(t, "k1", resp.body)
	require.Equal(t, model.InstanceID("c"), <-ran) // the next one decides about a key that a starting instance leaves to it
	starting = &refusal.Refusal{Kind: refusal.UpstreamFailed, Run: refusal.NotRun}
	resp, err = ask(t, addr, raw)
	require.NoError(t, err)
	require.Equal(t, "k1", resp.body) // a stopped owner has handed its keys over
	require.Equal(t, model.InstanceID("c"), <-ran)
	starting = &refusal.Refusal{Kind: refusal.UnknownOutcome, Run: refusal.MayHaveRun}
	resp, err = ask(t, addr, raw)
	require.NoError(t, err)
	require.Equal(t, string(refusal.UnknownOutcome), resp.Header.Get(refusal.HeaderKind)) // and nobody else is asked
	owners = nil
	resp, err = ask(t, addr, raw)
	require.NoError(t, err)
	require.Equal(t, string(refusal.NotOwner), resp.Header.Get(refusal.HeaderKind))
	require.Equal(t, "not-run", resp.Header.Get(refusal.HeaderRun))
}
