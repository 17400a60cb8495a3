package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/admission"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
)

// Guards against a refusal that says not-run although the upstream got a byte, for every place
// where a call can end.
func TestNotRunIsTrue(t *testing.T) {
	occupy := func(g *Guard) { // holds the only slot
		go func() { _, _, _ = call(g, request(context.Background(), "GET", "")) }()
		synctest.Wait()
	}
	for name, c := range map[string]struct {
		script  func(net.Conn, *http.Request)
		before  func(g *Guard, f *fake)
		body    string
		kind    refusal.Kind // empty for an answer
		run     refusal.Run
		readErr bool
	}{
		"answered":                       {script: say(fine), body: "b"},
		"nothing listens":                {before: func(_ *Guard, f *fake) { f.crash(true) }, kind: refusal.UpstreamFailed, run: refusal.NotRun},
		"cut after the headers":          {script: cut, body: "b", kind: refusal.UpstreamFailed},
		"cut inside the request's body":  {script: func(c net.Conn, r *http.Request) { _, _ = r.Body.Read(make([]byte, 1)); cut(c, r) }, body: strings.Repeat("b", 9000), kind: refusal.UpstreamFailed},
		"cut inside the answer's header": {script: func(c net.Conn, r *http.Request) { say("HTTP/1.1 200")(c, r); cut(c, r) }, kind: refusal.UpstreamFailed},
		"cut inside the answer's body":   {script: func(c net.Conn, r *http.Request) { say(fine[:len(fine)-2])(c, r); cut(c, r) }, readErr: true},
		"not HTTP":                       {script: func(c net.Conn, r *http.Request) { say("hello\n\n")(c, r); cut(c, r) }, kind: refusal.UpstreamFailed},
		"upstream sheds":                 {script: say("HTTP/1.1 503 Busy\nMangoshed-Run: not-run\nContent-Length: 0\n\n"), kind: refusal.Overloaded, run: refusal.NotRun},
		"upstream fails by itself":       {script: say("HTTP/1.1 503 Busy\nContent-Length: 0\n\n")},
		"forged header":                  {script: say("HTTP/1.1 500 Bad\nMangoshed-Run: not-run\nMangoshed-Refusal: leaving\nContent-Length: 0\n\n")},
		"time-out in the upstream":       {script: hang, kind: refusal.Deadline},
		"time-out in the queue":          {script: hang, before: func(g *Guard, _ *fake) { occupy(g) }, kind: refusal.Deadline, run: refusal.NotRun},
		"full queue": {script: hang, before: func(g *Guard, _ *fake) {
			occupy(g)
			occupy(g)
		}, kind: refusal.Overloaded, run: refusal.NotRun},
		"draining": {before: func(g *Guard, _ *fake) { _ = g.Drain(context.Background()) }, kind: refusal.Leaving, run: refusal.NotRun},
		"over the limit": {before: func(g *Guard, _ *fake) {
			g.Update(versions["0"], membership.View{})
		}, kind: refusal.Limited, run: refusal.NotRun},
		"no such service":        {before: func(g *Guard, _ *fake) { g.row = nil }, kind: refusal.NoService, run: refusal.NotRun},
		"all connections in use": {before: func(g *Guard, _ *fake) { g.pool.limit = 0 }, kind: refusal.Overloaded, run: refusal.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{script: c.script}
				g, end := newGuard(t, f, nil)
				defer end()
				if c.before != nil {
					c.before(g, f)
				}
				seen := f.seen.Load()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				method := "GET"
				if c.body != "" {
					method = "POST"
				}
				resp, err := g.RoundTrip(request(ctx, method, c.body))
				if c.kind != "" {
					var refused *refusal.Refusal
					require.ErrorAs(t, err, &refused)
					require.Equal(t, c.kind, refused.Kind, refused)
					require.Equal(t, c.run, refused.Run, refused)
					shed := c.kind == refusal.Overloaded && f.seen.Load() > 0 && c.before == nil
					require.True(t, c.run != refusal.NotRun || shed || f.seen.Load() == seen, "not-run, but the upstream got bytes")
				} else {
					require.NoError(t, err)
					_, err = io.ReadAll(resp.Body)
					require.Equal(t, c.readErr, err != nil, err)
					require.NoError(t, resp.Body.Close())
					require.Empty(t, resp.Header.Get(refusal.HeaderRun))
					require.Empty(t, resp.Header.Get(refusal.HeaderKind))
					require.NotEmpty(t, resp.Header.Get(refusal.HeaderLoad))
				}
				f.crash(true)
				synctest.Wait()
				require.Zero(t, g.LoadNow().InFlight, "the slot is free")
			})
		})
	}
}

// Guards against a call that asks not to wait and is queued, or takes a token of the limits or
// a byte to the upstream.
func TestNoWaitIsRefusedBeforeTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{script: say(fine)}
		g, end := newGuard(t, f, nil)
		defer end()
		resp, refused, err := call(g, request(context.Background(), "GET", "", refusal.HeaderNoWait, "1"))
		require.Nil(t, refused)
		require.NoError(t, err)
		require.NotNil(t, resp, "a free slot is taken")
		f.set(hang)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _, _ = call(g, request(ctx, "GET", "")) }() // holds the only slot
		synctest.Wait()
		seen := f.seen.Load()
		for range 100 {
			_, refused, _ = call(g, request(context.Background(), "POST", "b", refusal.HeaderNoWait, "1"))
			require.Equal(t, refusal.NoSlot, refused.Kind)
			require.Equal(t, refusal.NotRun, refused.Run)
		}
		require.Equal(t, seen, f.seen.Load())
		require.Zero(t, g.LoadNow().Queued)
		cancel()
		synctest.Wait()
	})
}

// Guards against a second execution by net/http when a reused connection breaks, and against
// a change of net/http that makes this test pass for another reason.
func TestBrokenReusedConnection(t *testing.T) {
	for name, req := range map[string]func() *http.Request{
		"GET": func() *http.Request { return request(context.Background(), "GET", "") },
		"POST": func() *http.Request {
			return request(context.Background(), "POST", "", refusal.HeaderKey, "k", refusal.HeaderDispatch, "1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{script: say(fine)}
				g, end := newGuard(t, f, nil)
				defer end()
				_, refused, err := call(g, req())
				require.Nil(t, refused)
				require.NoError(t, err)
				f.set(cut)
				_, refused, _ = call(g, req())
				require.Equal(t, refusal.MayHaveRun, refused.Run)
				require.Equal(t, int64(2), f.seen.Load(), "one execution of each request")

				f.set(say(fine))
				plain := &http.Transport{DialContext: f.dial}
				send := func() error {
					out := req()
					out.URL.Scheme, out.URL.Host = "http", "upstream"
					resp, err := plain.RoundTrip(out)
					if err == nil {
						_, _ = io.ReadAll(resp.Body)
						_ = resp.Body.Close()
					}
					return err
				}
				require.NoError(t, send())
				f.set(cut)
				require.Error(t, send())
				require.Equal(t, int64(5), f.seen.Load(), "http.Transport sends the request twice")
				plain.CloseIdleConnections()
			})
		})
	}
}

// Guards against a peer that holds a slot by sending or reading nothing.
func TestSlowPeersFreeTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{script: say("HTTP/1.1 200 OK\nContent-Length: 100000\n\nstart")}
		g, end := newGuard(t, f, nil)
		defer end()
		resp, err := g.RoundTrip(request(context.Background(), "GET", ""))
		require.NoError(t, err)
		require.Equal(t, 1, g.LoadNow().InFlight)
		time.Sleep(g.cfg.Idle + time.Second) // virtual time
		require.Zero(t, g.LoadNow().InFlight, "slow reader")
		_, err = io.ReadAll(resp.Body)
		require.Error(t, err)
		_ = resp.Body.Close()

		f.set(say(fine))
		sender, writer := io.Pipe()
		req := request(context.Background(), "POST", "")
		req.Body, req.ContentLength = sender, -1
		done := make(chan *refusal.Refusal)
		go func() {
			_, refused, _ := call(g, req)
			done <- refused
		}()
		_, _ = writer.Write([]byte("start"))
		synctest.Wait()
		require.Equal(t, 1, g.LoadNow().InFlight)
		refused := <-done
		require.Equal(t, refusal.MayHaveRun, refused.Run, "slow sender")
		require.Zero(t, g.LoadNow().InFlight)
		_ = writer.Close()
	})
}

// Guards against a crash that is not noticed, a convicted request that runs again, a refusal
// of innocent requests, and an upstream that stays out of use after it is back.
func TestCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reports [][]byte
		f := &fake{}
		deadly := func(conn net.Conn, req *http.Request) {
			if data, _ := io.ReadAll(req.Body); string(data) == "deadly" {
				f.crash(true)
				return
			}
			say(fine)(conn, req)
		}
		f.set(deadly)
		g, end := newGuard(t, f, func(c *Config) {
			c.Admission.Slots = 9
			c.Publish = func(data []byte) { reports = append(reports, data) }
		})
		defer end()
		send := func(body string) *refusal.Refusal {
			_, refused, err := call(g, request(context.Background(), "POST", body))
			require.NoError(t, err)
			return refused
		}
		require.Nil(t, send("innocent"))
		for crash := range 2 {
			require.Equal(t, refusal.MayHaveRun, send("deadly").Run, "crash %d", crash)
			refused := send("innocent")
			require.Equal(t, refusal.NotRun, refused.Run)
			f.crash(false)
			time.Sleep(2 * probePeriod) // virtual time
			require.Nil(t, send("innocent"))
		}
		require.Equal(t, refusal.Quarantined, send("deadly").Kind)
		require.Len(t, reports, 2)
		other, endOther := newGuard(t, &fake{script: say(fine)}, nil)
		defer endOther()
		other.Deliver([]byte("junk"))
		for _, report := range reports {
			other.Deliver(report)
		}
		_, refused, _ := call(other, request(context.Background(), "POST", "deadly"))
		require.Equal(t, refusal.Quarantined, refused.Kind)
	})
}

// peers delivers ownership messages to other guards in memory.
type peers map[model.InstanceID]*Guard

func (p peers) PostPeer(ctx context.Context, inst *model.Instance, path string, _ http.Header, body []byte) (*http.Response, error) {
	req, _ := http.NewRequestWithContext(ctx, "POST", "/mangoshed/"+path, strings.NewReader(string(body)))
	rec := newRecorder()
	p[inst.ID].ServeHTTP(rec, req)
	return rec.response(), nil
}

// Guards against a second run of a key at its owner, after its hand-over, at another daemon, or
// during a pause; against a lost recorded answer; and against a drain that interrupts a request.
func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{script: say(fine)}
		view := membership.View{Revision: 1, Instances: []model.Instance{instance("a"), instance("b")}}
		links := peers{}
		var guards []*Guard
		for _, self := range view.Instances {
			g, end := newGuard(t, f, func(c *Config) {
				c.Self, c.Peers, c.Admission = self, links, admission.Config{Ramp: -1}
				c.Fresh = func(context.Context) (membership.View, error) { return view, nil }
			})
			defer end()
			links[self.ID] = g
			guards = append(guards, g)
		}
		for _, g := range guards {
			g.Update(versions[""], view)
		}
		time.Sleep(10 * time.Second) // virtual time: both own their keys
		keyed := func(key string) *http.Request {
			return request(context.Background(), "POST", "claim", refusal.HeaderKey, key, refusal.HeaderCreated, millis())
		}
		owners := guards[0].Owners("shifts", "k1")
		require.Len(t, owners, 2)
		owner := owners[0]
		mine, other := links[owner.ID], guards[0]
		if mine == other {
			other = guards[1]
		}
		first := keyed("k1")
		body, refused, err := call(mine, first.Clone(context.Background()))
		require.NoError(t, err)
		require.Nil(t, refused)
		require.Equal(t, "done", body)
		resend := func(g *Guard) (string, *refusal.Refusal) {
			again := first.Clone(context.Background())
			again.Body = io.NopCloser(strings.NewReader("claim"))
			body, refused, err := call(g, again)
			require.NoError(t, err)
			return body, refused
		}
		body, refused = resend(mine)
		require.Nil(t, refused)
		require.Equal(t, "done", body, "recorded answer")
		_, refused = resend(other)
		require.Equal(t, refusal.NotOwner, refused.Kind)
		require.Equal(t, int64(1), f.seen.Load())

		_, refused, _ = call(mine, request(context.Background(), "POST", "", refusal.HeaderKey, "k2"))
		require.Equal(t, refusal.BadRequest, refused.Kind, "without creation time")
		mine.SetStale(true)
		_, refused, _ = call(mine, request(context.Background(), "POST", "claim"))
		require.Equal(t, refusal.NotRun, refused.Run, "after a wake-up")
		mine.SetStale(false)

		release := make(chan struct{})
		f.set(func(conn net.Conn, req *http.Request) {
			<-release
			say(fine)(conn, req)
		})
		running := make(chan string)
		go func() {
			body, _, _ := call(mine, request(context.Background(), "POST", "long"))
			running <- body
		}()
		synctest.Wait()
		drained := make(chan error)
		go func() { drained <- drain(context.Background(), mine) }()
		synctest.Wait()
		_, refused, _ = call(mine, request(context.Background(), "GET", ""))
		require.Equal(t, refusal.Leaving, refused.Kind)
		close(release)
		require.Equal(t, "done", <-running)
		require.NoError(t, <-drained)
		body, refused = resend(other)
		require.Nil(t, refused)
		require.Equal(t, "done", body, "the heir answers for the key")
		for i := range view.Instances {
			if view.Instances[i].ID == owner.ID {
				view.Instances[i].State = model.Leaving
			}
		}
		other.Update(versions[""], view)
		next := other.Owners("shifts", "k1")[0]
		require.Equal(t, other.cfg.Self.ID, next.ID, "a leaving instance owns no new keys")
		require.Equal(t, owner.ID, other.Owners("shifts", "k1")[1].ID)
		require.Equal(t, int64(2), f.seen.Load())
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// Guards against a keyed request that its owner runs although the table gives its data centre no
// weight, against a key that a true not-run does not clear, and against one that a may-have-run clears.
func TestDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{script: say(fine)}
		outcome := &refusal.Refusal{Kind: refusal.Overloaded, Run: refusal.NotRun}
		dispatched := 0
		g, end := newGuard(t, f, func(c *Config) {
			c.Dispatch = roundTripper(func(req *http.Request) (*http.Response, error) {
				dispatched++
				require.Equal(t, "1", req.Header.Get(refusal.HeaderDispatch))
				return nil, outcome
			})
		})
		defer end()
		g.mu.Lock()
		g.local.Weight = 0
		g.mu.Unlock()
		time.Sleep(10 * time.Second) // virtual time: the guard owns keys
		created := millis()
		send := func() *refusal.Refusal {
			_, refused, _ := call(g, request(context.Background(), "POST", "claim", refusal.HeaderKey, "k", refusal.HeaderCreated, created))
			return refused
		}
		require.Equal(t, outcome, send())
		outcome = &refusal.Refusal{Kind: refusal.Cut}
		require.Equal(t, refusal.Cut, send().Kind, "cleared by the not-run")
		require.Equal(t, refusal.Duplicate, send().Kind)
		require.Equal(t, 2, dispatched)
		require.Zero(t, f.seen.Load())
		require.NoError(t, g.Drain(context.Background()))
	})
}

// Guards against a connection per call: the upstream accepts few, and opening one takes 1 ms.
func TestConnectionsAreReused(t *testing.T) {
	f := &fake{script: say(fine)}
	g, end := newGuard(t, f, nil)
	defer end()
	for range 500 {
		_, refused, err := call(g, request(context.Background(), "POST", "b"))
		require.Nil(t, refused)
		require.NoError(t, err)
	}
	f.set(say("HTTP/1.1 503 Busy\nMangoshed-Run: not-run\nContent-Length: 2\n\nno"))
	for range 100 {
		_, refused, _ := call(g, request(context.Background(), "GET", ""))
		require.Equal(t, refusal.NotRun, refused.Run)
	}
	require.Len(t, f.conns, 1)
}

// Guards against internal headers that reach the upstream, a lost remaining time or depth, and
// against a cancelled call that the upstream does not notice.
func TestOutgoing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got http.Header
		var host string
		gone := false
		f := &fake{script: func(conn net.Conn, req *http.Request) {
			got, host = req.Header, req.Host
			hang(conn, req)
			gone = true
		}}
		g, end := newGuard(t, f, nil)
		defer end()
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		go func() {
			synctest.Wait()
			cancel()
		}()
		_, refused, _ := call(g, request(ctx, "POST", "b", refusal.HeaderDepth, "3", refusal.HeaderAttempt, "1", refusal.HeaderDispatch, "1", refusal.HeaderKey, "k"))
		require.Equal(t, refusal.Cut, refused.Kind)
		require.Equal(t, refusal.MayHaveRun, refused.Run)
		synctest.Wait()
		require.True(t, gone)
		require.Equal(t, "shifts", host)
		require.Equal(t, "700", got.Get(refusal.HeaderRemaining))
		require.Equal(t, "3", got.Get(refusal.HeaderDepth))
		require.Equal(t, "k", got.Get(refusal.HeaderKey))
		require.Len(t, got, 4, "besides these only Content-Length: %v", got)
	})
}
