package mesh

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
)

// lateBodyJob returns a job whose body arrives at the given time.
func lateBodyJob(id string, arrives time.Time) *Job {
	j := coldJob(id)
	j.HasBody, j.MayWait, j.Deadline = true, true, time.Now().Add(30*time.Second)
	j.Goal = j.Deadline
	j.ReadBody = func(time.Time) ([]byte, error) {
		time.Sleep(time.Until(arrives))
		return []byte("body"), nil
	}
	return j
}

// runLateBodies runs jobs whose bodies arrive together, and changes the state 200 ms afterwards, when most of
// them wait for the rate of the cold upstream. It returns the results that came after the change, the number
// of requests that the upstream got after it, and the time until the last result.
func runLateBodies(t *testing.T, g *Guard, u *pipeUpstream, change func()) (results []Result, sent int, took time.Duration) {
	var group sync.WaitGroup
	var mu sync.Mutex
	arrives := time.Now().Add(10 * time.Second)
	for n := range 150 {
		group.Go(func() {
			res := g.Run(t.Context(), lateBodyJob(fmt.Sprint(n), arrives))
			mu.Lock()
			defer mu.Unlock()
			results = append(results, res)
		})
	}
	time.Sleep(time.Until(arrives) + 200*time.Millisecond)
	synctest.Wait()
	mu.Lock()
	results = nil
	mu.Unlock()
	u.mu.Lock()
	before := len(u.got) - u.health
	u.mu.Unlock()
	change()
	began := time.Now()
	group.Wait()
	took = time.Since(began)
	u.mu.Lock()
	defer u.mu.Unlock()
	return results, len(u.got) - u.health - before, took
}

// Guards against jobs that wait with their bodies for the rate of a cold upstream, and are sent although an
// evacuation has begun, a table has withdrawn the region, or the instance has left meanwhile.
func TestLateBodiesAreNotSentAfterAWithdrawal(t *testing.T) {
	view := func(change func(*catalog.Instance)) *catalog.View {
		return coldView(t, 14, func(i *catalog.Instance) {
			i.Slots = 300
			if change != nil {
				change(i)
			}
		})
	}
	for _, test := range []struct {
		name string
		kind refusal.Kind
		do   func(*Guard)
	}{
		{"evacuation", refusal.Leaving, func(g *Guard) {
			v := view(nil)
			v.Evacuated = []catalog.Evacuation{{DataCentre: "dc", Revision: 2}}
			g.Update(time.Now(), v)
		}},
		{"table", refusal.RegionNotAllowed, func(g *Guard) {
			v := view(nil)
			table, err := route.New(2, []route.Route{{
				Name: "r", Host: "app", Prefix: "/", Kind: route.Safe, Timeout: time.Minute, Goal: time.Second, MaxAttempts: 1,
				Shares: []route.Share{{Service: "s", Weight: 1}}, Regions: []string{"elsewhere"},
			}}, v.Table.Services, route.Limits{})
			require.NoError(t, err)
			v.Table = table
			g.Update(time.Now(), v)
		}},
		{"leaving", refusal.Leaving, func(g *Guard) {
			g.Update(time.Now(), view(func(i *catalog.Instance) { i.State = model.Leaving }))
		}},
		{"replaced in the store", refusal.Leaving, func(g *Guard) {
			g.Update(time.Now(), view(func(i *catalog.Instance) { i.ID = "b" }))
		}},
		{"another instance answers", refusal.Leaving, func(g *Guard) { g.markMisdirected("a") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newPipeUpstream()
				u.start(time.Hour, false)
				g := startColdGuard(t, u)
				g.dataCentre, g.region = "dc", "here"
				g.Update(time.Now(), view(nil))
				results, sent, took := runLateBodies(t, g, u, func() { test.do(g) })
				require.Zero(t, sent, "sent after the change")
				require.Less(t, took, 100*time.Millisecond, "the wait for the rate ends with the change")
				refused := 0
				for _, res := range results {
					if res.Refusal == nil {
						continue // at the upstream when the change came
					}
					refused++
					require.Equal(t, test.kind, res.Refusal.Kind, res.Refusal.Remedy)
					require.Equal(t, refusal.NotRun, res.Refusal.Run)
				}
				require.Greater(t, refused, 50)
			})
		})
	}
}

// Guards against a cold upstream that is taken for slow, because the time for which jobs wait with their bodies
// for its rate counts as run time.
func TestWaitForTheRateIsNoRunTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(time.Hour, false)
		g := startColdGuard(t, u)
		g.Update(time.Now(), coldView(t, 14, func(i *catalog.Instance) { i.Slots = 100 }))
		time.Sleep(2 * time.Second)
		require.NotNil(t, g.Run(t.Context(), coldJob("first")).Response)
		expected := func() time.Duration {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.queue.Expected(time.Now(), "r")
		}
		require.Equal(t, u.work, expected())
		var group sync.WaitGroup
		var mu sync.Mutex
		var longest, reported time.Duration
		for n := range 60 {
			group.Go(func() {
				j := lateBodyJob(fmt.Sprint(n), time.Time{})
				j.ReadBody = func(time.Time) ([]byte, error) {
					time.Sleep(70 * time.Millisecond)
					return []byte("body"), nil
				}
				res := g.Run(t.Context(), j)
				require.NotNil(t, res.Response)
				mu.Lock()
				defer mu.Unlock()
				reported = max(reported, res.Run)
			})
		}
		done := make(chan struct{})
		go func() {
			group.Wait()
			close(done)
		}()
		for waiting := true; waiting; {
			select {
			case <-done:
				waiting = false
			case <-time.After(10 * time.Millisecond):
				longest = max(longest, expected())
			}
		}
		require.LessOrEqual(t, reported, 70*time.Millisecond+u.work, "the body and the run")
		require.LessOrEqual(t, longest, 70*time.Millisecond+u.work)
	})
}

// Guards against a job that waits on for the rate of a cold upstream that has turned warm.
func TestWaitForTheRateEndsWithTheColdPhase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(0, false)
		g := startColdGuard(t, u)
		g.Update(time.Now(), coldView(t, 14, nil))
		time.Sleep(3 * time.Second)
		require.Zero(t, g.Cold())
		arrives := time.Now().Add(100 * time.Millisecond)
		done := make(chan struct{})
		go func() {
			defer close(done)
			require.NotNil(t, g.Run(t.Context(), lateBodyJob("late", arrives)).Response)
		}()
		time.Sleep(99 * time.Millisecond)
		g.mu.Lock()
		now := time.Now()
		for range 40 {
			g.queue.Charge(now) // a debt of a second
		}
		g.assumeCold(now, coldDropped, false)
		g.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		g.mu.Lock()
		now = time.Now()
		g.queue.ReportCold(now, now, 0)
		g.noteCold(now, coldByItsReport)
		g.mu.Unlock()
		<-done
		require.Less(t, time.Since(arrives), 50*time.Millisecond)
	})
}
