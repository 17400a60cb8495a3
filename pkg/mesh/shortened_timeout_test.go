package mesh

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// shortened makes the timeout of the ingress' only route shorter.
func shortened(t *testing.T, i *Ingress, timeout time.Duration) {
	i.fleet.view.Store(&catalog.View{Table: oneRoute(t, timeout).Table, Instances: i.fleet.View().Instances})
}

// respondAfter returns daemons whose upstreams take the time that run holds, or fail at the deadline of a job.
func respondAfter(run *time.Duration) farDaemons {
	return farDaemons{latency: time.Millisecond, decide: func(j *Job) Result {
		took := min(*run, time.Until(j.Deadline))
		time.Sleep(took)
		if took < *run {
			return Result{Arrived: true, Refusal: mayHaveRun(refusal.Deadline, "the upstream did not answer in time")}
		}
		return Result{Response: &exchange.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("x")}, Run: took, Expected: took}
	}}
}

// Guards against a route that is refused for good although its upstreams are idle, because they were slow
// while it had a longer timeout: only answered requests change the mean run time.
func TestRouteIsServedAfterItsTimeoutWasShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := 900 * time.Millisecond
		i := farIngress(t, respondAfter(&run))
		defer func() { i.sender.client.Close() }()
		for range 100 {
			res, _ := place(t, i)
			require.NotNil(t, res.Response)
		}
		shortened(t, i, 300*time.Millisecond)
		run = 60 * time.Millisecond
		time.Sleep(time.Second)
		served := 0
		for range 100 {
			if res, _ := place(t, i); res.Response != nil {
				served++
			}
			time.Sleep(40 * time.Millisecond)
		}
		require.Greater(t, served, 75)
	})
}

// Guards against requests that are sent although the upstreams do take far longer than the route allows.
func TestRouteThatStaysTooSlowIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := 900 * time.Millisecond
		i := farIngress(t, respondAfter(&run))
		defer func() { i.sender.client.Close() }()
		for range 100 {
			place(t, i)
		}
		shortened(t, i, 300*time.Millisecond)
		sent := 0
		for range 400 {
			if res, _ := place(t, i); res.Arrived {
				sent++
			}
			time.Sleep(40 * time.Millisecond)
		}
		require.LessOrEqual(t, sent, 8)
	})
}
