package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
)

// Guards I5 and I8 when a fault strikes during a planned stop: the drain ends, a call that
// ran is never called not-run, and new work is refused as not run.
func TestDrainUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(g *Guard, f *fake, release func())
		whole  bool // the running call gets its answer, otherwise may-have-run
	}{
		{"nothing", func(_ *Guard, _ *fake, release func()) { release() }, true},
		{"crash", func(_ *Guard, f *fake, release func()) { f.crash(true); release() }, false},
		{"pause", func(g *Guard, _ *fake, release func()) { g.SetStale(true); release() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := make(chan struct{})
				f := &fake{script: func(conn net.Conn, r *http.Request) {
					<-gate
					say(fine)(conn, r)
				}}
				g, end := newGuard(t, f, nil)
				defer end()
				type result struct {
					body    string
					refused *refusal.Refusal
				}
				running := make(chan result, 1)
				go func() {
					body, refused, _ := call(g, request(context.Background(), "POST", "long"))
					running <- result{body, refused}
				}()
				synctest.Wait()
				drained := make(chan error, 1)
				go func() { drained <- g.Drain(context.Background()) }()
				synctest.Wait()
				c.strike(g, f, func() { close(gate) })
				got := <-running
				if c.whole {
					require.Equal(t, result{body: "done"}, got)
				} else {
					require.Equal(t, refusal.MayHaveRun, got.refused.Run)
				}
				require.NoError(t, <-drained)
				seen := f.seen.Load()
				for _, method := range []string{"GET", "POST"} {
					_, refused, _ := call(g, request(context.Background(), method, ""))
					require.NotNil(t, refused)
					require.Equal(t, refusal.NotRun, refused.Run)
				}
				require.Equal(t, seen, f.seen.Load())
			})
		})
	}
}

// Guards against a drain that waits for ever for a caller that does not read its answer,
// and against a part of the answer that looks whole then.
func TestDrainWithSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{script: say("HTTP/1.1 200 OK\nContent-Length: 100000\n\nstart")}
		g, end := newGuard(t, f, nil)
		defer end()
		resp, err := g.RoundTrip(request(context.Background(), "GET", ""))
		require.NoError(t, err)
		started := time.Now()
		require.NoError(t, g.Drain(context.Background()))
		require.LessOrEqual(t, time.Since(started), g.cfg.Idle)
		_, err = io.ReadAll(resp.Body)
		require.Error(t, err)
		_ = resp.Body.Close()
	})
}

// Guards against a convicted request that crashes an upstream again because its daemon
// started after the conviction: convictions are rebuilt from the other daemons.
func TestStartedDaemonKnowsConvictions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := peers{}
		start := func(id string, f *fake, members ...model.Instance) func() {
			view := membership.View{Revision: uint64(len(members)), Instances: members}
			g, end := newGuard(t, f, func(c *Config) {
				c.Self, c.Peers = instance(id), links
				c.Fresh = func(context.Context) (membership.View, error) { return view, nil }
			})
			links[instance(id).ID] = g
			for _, other := range links {
				other.Update(versions[""], view)
			}
			return end
		}
		crashing := &fake{}
		crashing.set(func(net.Conn, *http.Request) { crashing.crash(true) })
		defer start("a", crashing, instance("a"))()
		deadly := func(id model.InstanceID) refusal.Kind {
			_, refused, _ := call(links[id], request(context.Background(), "GET", ""))
			require.NotNil(t, refused)
			return refused.Kind
		}
		for range 2 {
			require.Equal(t, refusal.UpstreamFailed, deadly("a"))
			crashing.crash(false)
			time.Sleep(2 * probePeriod) // virtual time
		}
		require.Equal(t, refusal.Quarantined, deadly("a"))

		late := &fake{}
		late.set(func(net.Conn, *http.Request) { late.crash(true) })
		defer start("b", late, instance("a"), instance("b"))()
		time.Sleep(10 * time.Second) // virtual time
		require.Equal(t, refusal.Quarantined, deadly("b"))
		require.Zero(t, late.seen.Load())
	})
}
