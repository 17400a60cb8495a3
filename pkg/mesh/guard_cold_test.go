package mesh

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/exchange"
)

var coldHeaders = Headers{RequestID: "Id", Proof: "Proof", Remaining: "Left", Expected: "Expected", Caller: "Caller", Cold: "Cold", Instance: "Instance"}

// pipeUpstream is an upstream in memory that is cold for a time and records what it gets.
type pipeUpstream struct {
	mu   sync.Mutex
	work time.Duration
	// coldUntil is what the health path reports; mute makes it leave out the header. instance is the ID that
	// it names, empty for none.
	coldUntil time.Time
	mute      bool
	instance  string
	down      bool
	conns     map[net.Conn]bool
	health    int
	got       []time.Time
}

func newPipeUpstream() *pipeUpstream {
	return &pipeUpstream{work: 20 * time.Millisecond, conns: make(map[net.Conn]bool)}
}

func (u *pipeUpstream) dial(context.Context, string, string) (net.Conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	u.conns[far] = true
	go u.serve(far)
	return near, nil
}

func (u *pipeUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.got = append(u.got, time.Now())
		header, work := "", u.work
		if r.URL.Path == "/health" {
			u.health++
			work = 0
			if !u.mute {
				header = fmt.Sprintf("Cold: %d\r\n", max(0, time.Until(u.coldUntil).Milliseconds()))
			}
			if u.instance != "" {
				header += "Instance: " + u.instance + "\r\n"
			}
		}
		u.mu.Unlock()
		time.Sleep(work)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("Id"), header); err != nil {
			return
		}
	}
}

// crash ends all connections and refuses others. start accepts them again and is cold for a time, which it
// reports unless it is mute.
func (u *pipeUpstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = true
	for c := range u.conns {
		_ = c.Close()
	}
	clear(u.conns)
}

func (u *pipeUpstream) start(cold time.Duration, mute bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down, u.mute, u.coldUntil, u.got = false, mute, time.Now().Add(cold), nil
}

// requests returns the times of all requests since the last start that it got while it was cold, health
// requests included.
func (u *pipeUpstream) requests() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(u.got), func(at time.Time) bool { return at.After(u.coldUntil) })
}

func (u *pipeUpstream) healthRequests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.health
}

// coldView lists an instance of a service with a rate.
func coldView(t *testing.T, perSecond float64, change func(*catalog.Instance)) *catalog.View {
	table, err := route.New(1, nil, []route.Service{{Name: "s", HealthPath: "/health", ColdPerSecond: perSecond, ColdStart: 3 * time.Second}}, route.Limits{})
	require.NoError(t, err)
	inst := catalog.Instance{Upstream: "10.0.0.1:1", Slots: 9}
	inst.ID, inst.Service, inst.Incarnation = "a", "s", 1
	if change != nil {
		change(&inst)
	}
	return &catalog.View{Revision: 1, Table: table, Instances: []catalog.Instance{inst}}
}

// startColdGuard starts a guard for an upstream in memory. It asks the health path until the test ends.
func startColdGuard(t *testing.T, u *pipeUpstream) *Guard {
	g := NewGuard("10.0.0.1:1", coldHeaders, nil, newRequestLog(zap.NewNop(), 1))
	g.client = exchange.NewClient(exchange.Config{RequestID: "Id", Dial: u.dial})
	g.cold.client = exchange.NewClient(exchange.Config{Dial: u.dial})
	g.SetColdBounds("s", 1.5, 8)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.watchHealth(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		g.timer.Stop()
		g.client.Close()
		g.cold.client.Close()
		u.crash()
		synctest.Wait()
	})
	return g
}

func coldJob(id string) *Job {
	now := time.Now()
	return &Job{
		Instance: "a", Route: "r", MayRepeat: true, Goal: now.Add(300 * time.Millisecond), Deadline: now.Add(time.Second), Objective: 300 * time.Millisecond,
		Method: http.MethodGet, Target: "/", Host: "app", ID: id, Header: http.Header{"Id": {id}},
	}
}

// pressGuard sends jobs to a guard every few milliseconds for a time, and returns their results.
func pressGuard(t *testing.T, g func() *Guard, span time.Duration) []Result {
	var mu sync.Mutex
	var all []Result
	var group sync.WaitGroup
	for n := 0; n < int(span/(4*time.Millisecond)); n++ {
		group.Go(func() {
			j := coldJob(fmt.Sprint(n))
			j.MayWait = n%2 == 0
			res := g().Run(t.Context(), j)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, res)
		})
		time.Sleep(4 * time.Millisecond)
	}
	group.Wait()
	return all
}

// requireColdBound requires that no second has more than 29 requests.
func requireColdBound(t *testing.T, got []time.Time) {
	first := 0
	for last, at := range got {
		for at.Sub(got[first]) > time.Second {
			first++
		}
		require.LessOrEqual(t, last-first+1, 29, "in the second before %s", at)
	}
}

func count(all []Result, match func(*Result) bool) int {
	n := 0
	for i := range all {
		if match(&all[i]) {
			n++
		}
	}
	return n
}

func answered(r *Result) bool { return r.Response != nil }

// Guards against a cold upstream that gets more than it takes, and against refusals that do not say that
// the request has not run, when to come back, and which rate applies.
func TestColdUpstreamGetsFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(2*time.Second, false)
		g := startColdGuard(t, u)
		g.Update(time.Now(), coldView(t, 14, nil))
		all := pressGuard(t, func() *Guard { return g }, 900*time.Millisecond)
		requireColdBound(t, u.requests())
		require.Greater(t, count(all, answered), 20, "the tolerance is used")
		for _, res := range all {
			if res.Refusal == nil {
				continue
			}
			require.Equal(t, refusal.Overloaded, res.Refusal.Kind)
			require.Equal(t, refusal.NotRun, res.Refusal.Run)
			require.Positive(t, res.Refusal.RetryAfter)
			require.Less(t, res.Refusal.RetryAfter, 2*time.Second)
			require.True(t, res.Cold)
			require.InDelta(t, 20.4, res.Limit, 0.1)
		}
		require.Positive(t, g.cold.refused.Load())
		time.Sleep(1500 * time.Millisecond)
		require.Zero(t, g.Cold(), "the upstream has reported the end")
		all = pressGuard(t, func() *Guard { return g }, time.Second)
		require.Len(t, all, count(all, answered))
	})
}

// Guards against a daemon that starts beside a cold upstream, does not know what the one before has sent,
// and sends the same again.
func TestRestartedDaemonBeginsWithoutAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(time.Hour, false)
		guards := []*Guard{startColdGuard(t, u), startColdGuard(t, u)}
		guards[0].Update(time.Now(), coldView(t, 14, nil))
		time.Sleep(2 * time.Second) // what it may save up is used at once
		current := guards[0]
		pressGuard(t, func() *Guard { return current }, 500*time.Millisecond)
		guards[0].Stop()
		current = guards[1]
		early := current.Run(t.Context(), coldJob("early"))
		require.Equal(t, refusal.NotRun, early.Refusal.Run, "the rate is not known yet")
		require.Equal(t, early.Load.Slots, early.Load.Running)
		current.Update(time.Now(), coldView(t, 14, nil))
		pressGuard(t, func() *Guard { return current }, 2*time.Second)
		requireColdBound(t, u.requests())
	})
}

// Guards against an upstream that crashes under load, starts again, cold, and gets what the warm one got:
// also if it does not report, and if its daemon learns of the crash only from dropped connections.
func TestCrashedUpstreamIsAssumedCold(t *testing.T) {
	for _, test := range []struct {
		name string
		mute bool
		away time.Duration
	}{{"reports", false, time.Second}, {"does not report", true, time.Second}, {"is back at once", false, 0}} {
		synctest.Test(t, func(t *testing.T) {
			u := newPipeUpstream()
			u.start(0, false)
			g := startColdGuard(t, u)
			g.Update(time.Now(), coldView(t, 14, nil))
			time.Sleep(time.Second)
			require.Zero(t, g.Cold(), test.name)
			done := make(chan struct{})
			defer func() { <-done }()
			go func() {
				defer close(done)
				pressGuard(t, func() *Guard { return g }, 8*time.Second)
			}()
			time.Sleep(time.Second)
			u.crash()
			time.Sleep(test.away)
			u.start(3*time.Second, test.mute)
			time.Sleep(2500 * time.Millisecond)
			requireColdBound(t, u.requests())
			require.Greater(t, len(u.requests()), 40, test.name)
			require.Positive(t, g.Cold(), test.name)
			time.Sleep(time.Second)
			require.Zero(t, g.Cold(), test.name)
		})
	}
}

// Guards against a request that is sent again on another connection beyond the rate.
func TestRequestSentAgainFitsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(time.Hour, false)
		g := startColdGuard(t, u)
		g.Update(time.Now(), coldView(t, 14, nil))
		for range 8 {
			pressGuard(t, func() *Guard { return g }, 300*time.Millisecond)
			u.mu.Lock()
			for c := range u.conns {
				_ = c.Close()
			}
			clear(u.conns)
			u.mu.Unlock()
		}
		requireColdBound(t, u.requests())
	})
}

// Guards against events that are missed: a new incarnation, an entry that says cold again, another process
// that answers, the end of a time without requests; and a rate that begins and ends with the table.
func TestEventsAfterWhichTheUpstreamIsAssumedCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(0, false)
		g := startColdGuard(t, u)
		update := func(perSecond float64, change func(*catalog.Instance)) {
			g.Update(time.Now(), coldView(t, perSecond, change))
		}
		settle := func() {
			time.Sleep(1500 * time.Millisecond)
			require.Zero(t, g.Cold(), "the upstream has reported that it is warm")
		}
		update(0, nil)
		require.Zero(t, g.Cold())
		time.Sleep(time.Minute)
		require.Zero(t, u.healthRequests(), "services without a rate are not asked")
		update(14, nil)
		require.Positive(t, g.Cold(), "the rate begins")
		settle()
		update(14, func(i *catalog.Instance) { i.Warm = time.Second })
		require.Positive(t, g.Cold(), "the entry says so")
		settle()
		update(14, func(i *catalog.Instance) { i.Warm = 500 * time.Millisecond })
		require.Zero(t, g.Cold(), "the same cold phase")
		update(14, func(i *catalog.Instance) { i.Incarnation = 2 })
		require.Positive(t, g.Cold(), "another incarnation")
		settle()
		g.markMisdirected("a")
		require.Positive(t, g.Cold(), "another process answers")
		settle()
		update(0, func(i *catalog.Instance) { i.Incarnation = 3 })
		require.Zero(t, g.Cold(), "the rate ends")
	})
}

// Guards against a warm upstream that is limited for the whole time of a cold start after each event, since
// only cold ones report a remaining time. A response that names no instance says nothing.
func TestHealthResponseWithoutRemainingTimeEndsTheColdPhase(t *testing.T) {
	for _, test := range []struct {
		instance string
		cold     bool
	}{{"a", false}, {"", true}} {
		synctest.Test(t, func(t *testing.T) {
			u := newPipeUpstream()
			u.instance = test.instance
			u.start(0, true)
			g := startColdGuard(t, u)
			g.Update(time.Now(), coldView(t, 14, nil))
			require.Positive(t, g.Cold(), "assumed until the health response")
			time.Sleep(1500 * time.Millisecond)
			require.Equal(t, test.cold, g.Cold() > 0, "instance %q", test.instance)
		})
	}
}

// Guards against health requests to an upstream whose data centre gets no requests, and against a burst
// when it gets them again.
func TestUpstreamIsAssumedColdWhenRequestsResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(0, false)
		g := startColdGuard(t, u)
		g.Update(time.Now(), coldView(t, 14, nil))
		time.Sleep(time.Second)
		leaving := coldView(t, 14, func(i *catalog.Instance) { i.State = model.Leaving })
		g.Update(time.Now(), leaving)
		before := u.healthRequests()
		time.Sleep(time.Minute)
		require.Equal(t, before, u.healthRequests())
		u.start(3*time.Second, false)
		g.Update(time.Now(), coldView(t, 14, nil))
		require.Positive(t, g.Cold())
		pressGuard(t, func() *Guard { return g }, 2*time.Second)
		requireColdBound(t, u.requests())
		require.Equal(t, 2, u.healthRequests()-before, "after the event and once a second")
	})
}

// Guards against bodies of admitted jobs that arrive together, after a while, and reach a cold upstream at
// once.
func TestLateBodiesFitTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(time.Hour, false)
		g := startColdGuard(t, u)
		g.Update(time.Now(), coldView(t, 14, func(i *catalog.Instance) { i.Slots = 40 }))
		var group sync.WaitGroup
		arrives := time.Now().Add(1500 * time.Millisecond)
		for n := range 28 {
			group.Go(func() {
				j := coldJob(fmt.Sprint(n))
				j.HasBody, j.MayWait, j.Deadline = true, true, time.Now().Add(5*time.Second)
				j.Goal = j.Deadline
				j.ReadBody = func(time.Time) ([]byte, error) {
					time.Sleep(time.Until(arrives))
					return []byte("body"), nil
				}
				res := g.Run(t.Context(), j)
				require.NotNil(t, res.Response)
			})
		}
		time.Sleep(time.Until(arrives))
		pressGuard(t, func() *Guard { return g }, time.Second)
		group.Wait()
		requireColdBound(t, u.requests())
	})
}
