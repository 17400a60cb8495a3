package mesh

import (
	"context"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
)

// regionalView returns a view with one route, "write" for the path "/", that lists the regions.
func regionalView(t *testing.T, version uint64, regions ...string) *catalog.View {
	table, err := route.New(version, []route.Route{{
		Name: "write", Host: "app", Prefix: "/", Kind: route.Unsafe, Timeout: time.Minute, Goal: time.Second, MaxAttempts: 1,
		Shares: []route.Share{{Service: "back", Weight: 1}}, Regions: regions,
	}}, []route.Service{{Name: "back"}}, route.Limits{})
	require.NoError(t, err)
	return &catalog.View{Table: table}
}

// regionalJob returns a job for the route of regionalView that may wait.
func regionalJob() *Job {
	later := time.Now().Add(time.Minute)
	return &Job{Route: "write", Method: http.MethodPost, Target: "/x?y=/z/", Host: "app", MayWait: true, Deadline: later, Goal: later}
}

// requireRegionNotAllowed requires a refusal after which the request may be sent to another region.
func requireRegionNotAllowed(t *testing.T, res Result) {
	require.NotNil(t, res.Refusal)
	require.Equal(t, refusal.RegionNotAllowed, res.Refusal.Kind)
	require.Equal(t, refusal.NotRun, res.Refusal.Run)
	require.Equal(t, http.StatusServiceUnavailable, res.Refusal.StatusCode())
	require.Positive(t, res.Refusal.RetryAfter)
	require.False(t, res.Arrived)
}

// regionalDaemon returns a daemon of a region beside an upstream that counts the requests it gets.
func regionalDaemon(t *testing.T, region string) (d *Daemon, reached *atomic.Int64) {
	reached = new(atomic.Int64)
	u := newFragileUpstreamWith(t, func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		w.Header().Set("Proof", "p")
	})
	text := regexp.MustCompile(`127\.0\.0\.1:80\d\d`).ReplaceAllString(Example(), "127.0.0.1:0")
	text = strings.NewReplacer("127.0.0.1:9000", u.address, "klang", region).Replace(text)
	s, err := ParseSettings("example", []byte(text))
	require.NoError(t, err)
	d, err = New(s, Platform{Store: blockingStore{}, Headers: Headers{Remaining: "Left", Proof: "Proof", Expected: "Expected", Caller: "Caller"}}, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(d.closeListeners)
	return d, reached
}

// Guards against a job that reaches the upstream because the sender's table is older than the table of the
// daemon beside it, and against refusals by a daemon that cannot know better than the sender.
func TestGuardAppliesItsOwnList(t *testing.T) {
	d, reached := regionalDaemon(t, "a")
	run := func(j *Job) Result { return d.guard.Run(t.Context(), j) }
	require.NotNil(t, run(regionalJob()).Response, "the daemon has no table")
	d.guard.Update(time.Now(), regionalView(t, 1))
	require.NotNil(t, run(regionalJob()).Response, "all regions are allowed")
	d.guard.Update(time.Now(), regionalView(t, 2, "a", "b"))
	require.NotNil(t, run(regionalJob()).Response)
	require.Equal(t, int64(3), reached.Load())

	d.guard.Update(time.Now(), regionalView(t, 3, "b"))
	requireRegionNotAllowed(t, run(regionalJob()))
	renamed := regionalJob()
	renamed.Route = "another"
	requireRegionNotAllowed(t, run(renamed))
	moved := regionalJob()
	moved.Host = "another"
	requireRegionNotAllowed(t, run(moved))
	moved.Route = "gone"
	require.NotNil(t, run(moved).Response)
	require.Equal(t, int64(4), reached.Load())
}

// Guards against a request that runs, or waits until its deadline, in the queue of a region that a new table
// takes from the list of its route, and against one that leaves the queue of a region that it keeps.
func TestWaitingJobIsRefusedOnceItsRegionIsNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := virtualDaemon(t, 6*time.Second)
		g := d.guard
		g.region = "a"
		now := time.Now()
		g.queue.Resize(now, 1)
		running := &intake.Call{Route: "other", Goal: now.Add(time.Minute), Deadline: now.Add(time.Minute), Decide: func(intake.Verdict) {}}
		require.Equal(t, intake.Started, g.queue.Offer(now, running, false))
		results := make(chan Result, 1)
		go func() { results <- g.Run(context.Background(), regionalJob()) }()
		synctest.Wait()
		require.Equal(t, 1, d.Status().Queued)
		g.Update(now, regionalView(t, 1))
		g.Update(now, regionalView(t, 2, "a", "b"))
		synctest.Wait()
		require.Equal(t, 1, d.Status().Queued)
		g.Update(now, regionalView(t, 3, "b"))
		synctest.Wait()
		require.Zero(t, d.Status().Queued)
		requireRegionNotAllowed(t, <-results)
		require.Equal(t, now, time.Now())
		require.Equal(t, 1, d.Status().Running)
		g.client.Close()
	})
}

// Guards against a request that reaches the upstream although a table has forbidden it while its body was
// arriving, and against a slot that it keeps.
func TestTableThatArrivesWithTheBodyIsApplied(t *testing.T) {
	d, reached := regionalDaemon(t, "a")
	j := regionalJob()
	j.ReadBody = func(time.Time) ([]byte, error) {
		d.guard.Update(time.Now(), regionalView(t, 1, "b"))
		return []byte("body"), nil
	}
	requireRegionNotAllowed(t, d.guard.Run(t.Context(), j))
	require.Zero(t, reached.Load())
	require.Zero(t, d.Status().Running)
}

// entryOf returns the entry of the instance beside a daemon.
func entryOf(d *Daemon, id model.InstanceID) catalog.Entry {
	inst := &catalog.Instance{Upstream: d.settings.Upstream.Address, Slots: 4}
	inst.ID, inst.Service, inst.Place, inst.ForwardAddr = id, "back", d.settings.Place(), d.settings.Listen.ForwardAddress
	return catalog.Entry{ID: id, Instance: inst, Revision: 1}
}

// newStaleSender returns a daemon in region a whose table allows all regions, and daemons in the regions b
// and c whose newer table lists c.
func newStaleSender(t *testing.T) (sender, b, c *Daemon, reached [2]*atomic.Int64) {
	sender, _ = regionalDaemon(t, "a")
	b, reached[0] = regionalDaemon(t, "b")
	c, reached[1] = regionalDaemon(t, "c")
	for _, d := range []*Daemon{b, c} {
		for _, s := range d.servers {
			if s.name == "forward_address" {
				d.settings.Listen.ForwardAddress = s.listener.Addr().String()
				go s.serve(d.log)
				t.Cleanup(func() { _ = s.Close() })
			}
		}
	}
	for _, d := range []*Daemon{b, c} {
		d.fleet.Apply(catalog.State{Revision: 1, Table: regionalView(t, 2, "c").Table, Entries: []catalog.Entry{entryOf(b, "b"), entryOf(c, "c")}}, "test")
	}
	sender.fleet.Apply(catalog.State{Revision: 1, Table: regionalView(t, 1).Table, Entries: []catalog.Entry{entryOf(b, "b")}}, "test")
	t.Cleanup(sender.sender.client.Close)
	return sender, b, c, reached
}

// newRegionalRequest returns a request that the sender's daemon has accepted.
func newRegionalRequest(d *Daemon, nested bool) *request {
	table := d.fleet.View().Table
	later := time.Now().Add(time.Minute)
	req := &request{route: &table.Routes[0], service: "back", version: table.Version, arrived: time.Now(), goal: later, deadline: later}
	req.job = *regionalJob()
	req.job.Service, req.job.Nested, req.job.Body, req.job.HasBody = "back", nested, []byte("body"), true
	return req
}

// Guards against a request that fails, or tries one instance of a region after the other, because its
// sender's table is older than that of the daemons that refuse it; and against an instance that is excluded
// for the other routes because of that.
func TestRequestLeavesARegionThatRefusesIt(t *testing.T) {
	sender, b, c, reached := newStaleSender(t)
	req := newRegionalRequest(sender, true)
	res, ok := sender.ingress.attempt(t.Context(), req)
	require.True(t, ok)
	requireRegionNotAllowed(t, res)
	require.Equal(t, []string{"b"}, req.refusedRegions)
	require.True(t, sender.ingress.shouldRetry(t.Context(), req, &res))
	require.Zero(t, req.refusals)
	require.Equal(t, placement.Refused, outcome(t.Context(), &res), "the other routes may still use the instance")

	// Another instance of the region is no candidate.
	other := entryOf(b, "b2")
	other.Instance.ForwardAddr, other.Instance.Upstream = "127.0.0.1:1", "127.0.0.1:2"
	sender.fleet.Apply(catalog.State{Revision: 2, Entries: []catalog.Entry{other}}, "test")
	res, ok = sender.ingress.attempt(t.Context(), req)
	require.False(t, ok)
	require.Equal(t, refusal.NoInstance, res.Refusal.Kind)
	require.Equal(t, http.StatusServiceUnavailable, sender.ingress.conclude(req, Result{}, res).Refusal.StatusCode())

	sender.fleet.Apply(catalog.State{Revision: 3, Entries: []catalog.Entry{entryOf(c, "c")}}, "test")
	res, ok = sender.ingress.attempt(t.Context(), req)
	require.True(t, ok)
	require.NotNil(t, res.Response)
	require.Zero(t, reached[0].Load())
	require.Equal(t, int64(1), reached[1].Load())
}

// Guards against a body that is sent to a region outside the list because the daemon there has an older
// table, which allows it, or is the only one left.
func TestSenderAppliesItsOwnList(t *testing.T) {
	sender, b, _, reached := newStaleSender(t)
	b.fleet.Apply(catalog.State{Revision: 2, Table: regionalView(t, 3).Table}, "test")
	sender.fleet.Apply(catalog.State{Revision: 2, Table: regionalView(t, 4, "c").Table}, "test")
	req := newRegionalRequest(sender, false)
	res, ok := sender.ingress.attempt(t.Context(), req)
	require.False(t, ok)
	require.Equal(t, refusal.NoInstance, res.Refusal.Kind)
	require.Equal(t, refusal.NotRun, res.Refusal.Run)
	require.Positive(t, res.Refusal.RetryAfter)
	require.Zero(t, reached[0].Load())
}

// Guards against a repeat, a nested request or one that waited that is placed by the list with which it was
// accepted, and against one that has no list any more because its route is gone.
func TestEachAttemptUsesTheTableInForce(t *testing.T) {
	for _, nested := range []bool{false, true} {
		d, _ := regionalDaemon(t, "a")
		apply := func(v *catalog.View) {
			d.fleet.Apply(catalog.State{Revision: v.Table.Version, Table: v.Table}, "test")
		}
		apply(regionalView(t, 1, "b"))
		req := newRegionalRequest(d, nested)
		require.Equal(t, []string{"b"}, d.ingress.allowedRegions(req))
		apply(regionalView(t, 2, "c"))
		require.Equal(t, []string{"c"}, d.ingress.allowedRegions(req))
		apply(regionalView(t, 3))
		require.Empty(t, d.ingress.allowedRegions(req))
		empty, err := route.New(4, nil, []route.Service{{Name: "back"}}, route.Limits{})
		require.NoError(t, err)
		apply(&catalog.View{Table: empty})
		require.Equal(t, []string{"b"}, d.ingress.allowedRegions(req))
	}
}

// Guards against a body that is sent to a daemon whose region a new table has taken from the list while the
// daemon, which has an older table, kept the request waiting for a slot.
func TestDeferredBodyIsNotSentToARegionNoLongerListed(t *testing.T) {
	sender, b, _, reached := newStaleSender(t)
	b.fleet.Apply(catalog.State{Revision: 3, Table: regionalView(t, 3).Table}, "test")
	b.guard.mu.Lock()
	now := time.Now()
	b.guard.queue.Resize(now, 1)
	running := &intake.Call{Route: "other", Goal: now.Add(time.Minute), Deadline: now.Add(time.Minute), Decide: func(intake.Verdict) {}}
	require.Equal(t, intake.Started, b.guard.queue.Offer(now, running, false))
	b.guard.mu.Unlock()
	results := make(chan Result, 1)
	go func() {
		req := newRegionalRequest(sender, false)
		req.refusals = 6 // such a request may wait anywhere
		res, _ := sender.ingress.attempt(context.Background(), req)
		results <- res
	}()
	require.Eventually(t, func() bool { return b.Status().Queued == 1 }, longTimeout, time.Millisecond)
	sender.fleet.Apply(catalog.State{Revision: 4, Table: regionalView(t, 4, "c").Table}, "test")
	b.guard.withdraw(running)
	requireRegionNotAllowed(t, <-results)
	require.Zero(t, reached[0].Load())
	require.Eventually(t, func() bool { return b.Status().Running == 0 }, longTimeout, time.Millisecond)
}
