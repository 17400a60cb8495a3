package mesh

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
)

// Guards against a new process that gets more than the bound because the requests that it got before its entry
// arrived are taken for those of the process before.
func TestRequestsBeforeTheEntryCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(0, false)
		g := startColdGuard(t, u)
		view := func(incarnation uint64, warm time.Duration) *catalog.View {
			return coldView(t, 14, func(i *catalog.Instance) { i.Incarnation, i.Warm, i.Slots = incarnation, warm, 20 })
		}
		g.Update(time.Now(), view(1, 0))
		var group sync.WaitGroup
		press := func(span time.Duration) {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(16 * time.Millisecond) {
				group.Go(func() {
					j := coldJob(fmt.Sprint(time.Now().UnixNano()))
					j.MayWait = true
					g.Run(t.Context(), j)
				})
			}
		}
		press(3 * time.Second)
		for n := u.healthRequests(); u.healthRequests() == n; {
			press(16 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		u.crash() // nothing is running, so that the daemon does not notice it
		u.start(3*time.Second, false)
		press(400 * time.Millisecond)
		g.Update(time.Now(), view(2, 2600*time.Millisecond))
		press(1500 * time.Millisecond)
		group.Wait()
		requireColdBound(t, u.requests())
	})
}

// Guards against an entry that was written before the upstream became cold and ends the assumed cold phase: the
// first entry that the daemon knows, one of the same incarnation with a longer time than the entry before, or one
// while the upstream refuses connections. The upstream does not report, and would get more than the bound.
func TestOldEntryDoesNotEndTheColdPhase(t *testing.T) {
	entry := func(warm time.Duration) *catalog.View {
		return coldView(t, 14, func(i *catalog.Instance) { i.Slots, i.Warm = 9, warm })
	}
	for _, test := range []struct {
		name string
		do   func(*Guard)
	}{
		{"first entry", func(g *Guard) { g.Update(time.Now(), entry(60*time.Millisecond)) }},
		{"longer than the entry before", func(g *Guard) {
			g.Update(time.Now(), entry(0))
			g.Update(time.Now(), entry(60*time.Millisecond))
		}},
		{"connections refused", func(g *Guard) {
			g.Update(time.Now(), entry(0))
			g.mu.Lock()
			g.connectionRefused(time.Now())
			g.mu.Unlock()
			g.Update(time.Now(), entry(60*time.Millisecond))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newPipeUpstream()
				u.start(3*time.Second, true)
				g := startColdGuard(t, u)
				test.do(g)
				pressGuard(t, func() *Guard { return g }, 2*time.Second)
				requireColdBound(t, u.requests())
				require.Positive(t, g.Cold())
			})
		})
	}
}

// Guards against an entry that says for how long the upstream stays cold and is ignored, because the cold phase
// that is assumed already is shorter.
func TestEntryLengthensTheColdPhase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(8*time.Second, true)
		g := startColdGuard(t, u)
		g.Update(time.Now(), coldView(t, 14, func(i *catalog.Instance) { i.Warm = 8 * time.Second }))
		time.Sleep(7500 * time.Millisecond)
		require.Positive(t, g.Cold())
		time.Sleep(time.Second)
		require.Zero(t, g.Cold())
	})
}
