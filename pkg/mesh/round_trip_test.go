package mesh

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/drain"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// farDaemons simulates daemons behind a slow link: each job and each result is delayed by the one-way
// latency.
type farDaemons struct {
	latency time.Duration // one-way latency
	decide  func(j *Job) Result
}

func (d farDaemons) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go d.serve(far)
	return near, nil
}

func (d farDaemons) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		time.Sleep(d.latency)
		w := httptest.NewRecorder()
		arrived := time.Now()
		j, _, ok := decodeJob(r, arrived)
		if !ok {
			return
		}
		res := d.decide(j)
		_ = writeResult(w, &res, peerInfo{}, time.Since(arrived), time.Time{}) // fails if the test has ended
		time.Sleep(d.latency)
		answer := w.Result()
		answer.ContentLength = int64(w.Body.Len())
		if answer.Write(c) != nil {
			return
		}
	}
}

// farIngress returns an ingress whose only instances belong to such daemons.
func farIngress(t *testing.T, daemons farDaemons) *Ingress {
	i := newDrainIngress(t)
	var instances []catalog.Instance
	for n, id := range []model.InstanceID{"1", "2", "3"} {
		inst := catalog.Instance{Slots: 9}
		inst.ID, inst.Service, inst.ForwardAddr = id, "back", net.JoinHostPort([]string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}[n], "1")
		inst.Place = model.Place{Region: "far", DataCentre: "far-a"}
		instances = append(instances, inst)
	}
	now := time.Now()
	view := &catalog.View{Table: i.fleet.View().Table, Instances: instances}
	i.fleet.view.Store(view)
	i.placer = placement.New(model.Place{Region: "near", DataCentre: "near-a"}, placement.DefaultCosts, 1)
	i.placer.Update(now, view)
	i.log = newRequestLog(zap.NewNop(), 1)
	i.budget = retry.NewFleetBudget(retry.FleetRules{Ratio: 0.1, Allowance: 10, Window: time.Second}, now)
	var err error
	i.metrics, err = newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	i.sender = NewSender("10.0.0.9:1", "", i.sender.guard, i.fleet, nil, func() []string { return nil })
	i.sender.client = exchange.NewClient(exchange.Config{Dial: daemons.dial})
	i.sender.reach = newReachability(now, "10.0.0.9", 1, i.sender.client, i.placer, zap.NewNop())
	return i
}

// place sends a request with a deadline of one second and returns its result and the remaining time.
func place(t *testing.T, i *Ingress) (Result, time.Duration) {
	req, refused := accept(i, "id", nil)
	require.Nil(t, refused)
	ctx, cancel := context.WithDeadline(context.Background(), req.deadline)
	defer cancel()
	return i.send(ctx, req), time.Until(req.deadline)
}

// Simulates overloaded instances in another region with a round trip of 200 ms. Guards against a
// request that is sent although not even a refusal can arrive before the deadline: its caller gets
// "may have run" at the deadline instead of "not run" before it.
func TestRefusalsBehindAFullLinkArriveInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := farIngress(t, farDaemons{latency: 100 * time.Millisecond, decide: func(*Job) Result {
			return Result{Refusal: notRun(refusal.Overloaded, "full", time.Second)}
		}})
		for range 10 { // measures the round trip
			place(t, i)
		}
		for range 10 {
			res, left := place(t, i)
			require.Equal(t, refusal.NotRun, res.Refusal.Run)
			require.Equal(t, http.StatusServiceUnavailable, res.Refusal.StatusCode())
			require.Positive(t, left)
		}
		i.sender.client.Close()
	})
}

// Guards against a daemon that queues a job until the deadline of its sender: the refusal arrives
// only after the sender has timed out.
func TestJobsLeaveTimeForTheWayBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var waits atomic.Bool
		i := farIngress(t, farDaemons{latency: 100 * time.Millisecond, decide: func(j *Job) Result {
			if waits.Load() {
				time.Sleep(time.Until(j.Deadline.Add(-time.Millisecond)))
			}
			return Result{Refusal: notRun(refusal.Overloaded, "no slot came free", time.Second)}
		}})
		for range 10 { // measures the round trip
			place(t, i)
		}
		waits.Store(true)
		for range 10 {
			res, left := place(t, i)
			require.Equal(t, refusal.NotRun, res.Refusal.Run)
			require.GreaterOrEqual(t, left, time.Duration(0))
		}
		i.sender.client.Close()
	})
}

// Guards against a daemon that starts to run a job for a stopping daemon which exits before the
// response arrives.
func TestJobsOfAStoppingDaemonLeaveTimeForTheWayBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 100 * time.Millisecond
		senderEnds := make(chan time.Time, 100)
		i := farIngress(t, farDaemons{latency: latency, decide: func(j *Job) Result {
			senderEnds <- j.SenderEnds
			return Result{Refusal: notRun(refusal.Overloaded, "full", time.Second)}
		}})
		for range 10 { // measures the round trip
			place(t, i)
		}
		for len(senderEnds) > 0 {
			require.Zero(t, <-senderEnds)
		}
		plan := drain.New(time.Now(), time.Second)
		i.plan.Store(&plan)
		place(t, i)
		require.NotEmpty(t, senderEnds)
		for len(senderEnds) > 0 {
			ends := <-senderEnds
			require.False(t, ends.Add(latency).After(plan.AbortAt), plan.AbortAt.Sub(ends))
		}
		i.sender.client.Close()
	})
}
