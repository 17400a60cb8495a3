package mesh_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// longTimeoutTable returns a table with one route, whose timeout is far longer than a daemon takes
// to drain.
func longTimeoutTable(t *testing.T, version uint64) *route.Table {
	table, err := route.New(version, []route.Route{{
		Name: "read", Host: "app", Prefix: "/read/", Kind: route.Safe, Timeout: time.Minute, Goal: 2 * time.Second, Priority: 1, MaxAttempts: 3,
		Shares: []route.Share{{Service: "back", Weight: 1}},
	}}, []route.Service{{Name: "back"}}, route.Limits{})
	require.NoError(t, err)
	return table
}

// Guards against a draining daemon that accepts requests and stops without a response to those that
// are still queued or in flight.
func TestDrainAnswersAllAcceptedRequests(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 1, "a2")
	fleet.Store.SetTable(longTimeoutTable(t, 2))
	awaitSynced(t, fleet)
	backs[0].Upstream.SetFault(func(*meshtest.Request) meshtest.Fault { return meshtest.Hang })
	var group sync.WaitGroup
	var running response
	group.Go(func() { _, running = send(ingress, http.MethodGet, "/read/running", "") })
	eventually(t, "a request holds the only slot", func() bool { return len(backs[0].Upstream.Seen()) == 1 })

	var mu sync.Mutex
	var waiting []response
	request := func() {
		_, got := send(ingress, http.MethodGet, "/read/waiting", "")
		mu.Lock()
		defer mu.Unlock()
		waiting = append(waiting, got)
	}
	group.Go(request)
	eventually(t, "a request waits for a slot", func() bool { return backs[0].Daemon.Status().Queued == 1 })
	drained := make(chan struct{})
	group.Go(func() {
		ingress.Daemon.Drain()
		close(drained)
	})
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for range 15 {
		<-ticker.C
		group.Go(request)
	}
	<-drained
	group.Wait()

	for _, got := range waiting {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Equal(t, refusal.NotRun.String(), got.header.Get(refusal.HeaderRun))
	}
	require.NoError(t, running.err)
	require.Equal(t, http.StatusBadGateway, running.status)
	require.Equal(t, refusal.MayHaveRun.String(), running.header.Get(refusal.HeaderRun))
	require.Len(t, backs[0].Upstream.Seen(), 1)
}

// Guards against a job that is sent on a connection that the receiver, a draining daemon, is about to
// close: the job would count as one that may have run.
func TestStoppingDaemonClosesTheConnectionsOfOtherDaemons(t *testing.T) {
	_, _, backs := newFleet(t, 1, "a2")
	back := backs[0]
	back.Upstream.SetFault(func(*meshtest.Request) meshtest.Fault { return meshtest.Hang })
	// job sends a job and returns its result, and whether the response closes the connection.
	job := func(id string) (result string, closes bool) {
		req, err := http.NewRequest(http.MethodGet, "http://"+back.Settings.Listen.ForwardAddress+"/read/x", nil)
		if err != nil {
			return err.Error(), false
		}
		req.Host = "app"
		req.Header.Set(meshtest.Headers.RequestID, id)
		req.Header.Set("Mangoshed-Job", string(back.Instance.ID)+";read;front;-;1;9000;9000;1000;1;back;")
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return err.Error(), false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.Header.Get("Mangoshed-Result"), resp.Close
	}
	var group sync.WaitGroup
	group.Go(func() { _, _ = job("held") })
	eventually(t, "a job keeps the daemon from stopping", func() bool { return len(back.Upstream.Seen()) == 1 })
	group.Go(back.Daemon.Drain)
	var closes bool
	eventually(t, "the daemon refuses jobs", func() bool {
		var result string
		result, closes = job("refused")
		return strings.Contains(result, string(refusal.Leaving))
	})
	group.Wait()
	require.True(t, closes)
}

// Guards against requests that are refused although no daemon is stopping, because their wait in the
// queue is longer than the grace period of a drain.
func TestRequestsWaitForLongerThanAStopTakes(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 1, "a2")
	ingress.Daemon.Close()
	ingress.Settings.Bounds.Grace = 100 * time.Millisecond
	require.NoError(t, fleet.Restart(ingress))
	fleet.Store.SetTable(longTimeoutTable(t, 2))
	awaitSynced(t, fleet)
	backs[0].Upstream.SetWork(50 * time.Millisecond)
	var group sync.WaitGroup
	answers := make([]response, 6)
	for n := range answers {
		group.Go(func() { _, answers[n] = send(ingress, http.MethodGet, "/read/x", "") })
	}
	group.Wait()
	for _, got := range answers {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
	}
}

// Guards against a job of another daemon that is aborted without a result when the daemon beside the
// upstream stops.
func TestStoppingDaemonGivesOtherDaemonsAResult(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 1, "a2")
	fleet.Store.SetTable(longTimeoutTable(t, 2))
	awaitSynced(t, fleet)
	back := backs[0]
	back.Upstream.SetFault(func(*meshtest.Request) meshtest.Fault { return meshtest.Hang })
	var group sync.WaitGroup
	var got response
	group.Go(func() { _, got = send(ingress, http.MethodGet, "/read/x", "") })
	eventually(t, "the request runs", func() bool { return len(back.Upstream.Seen()) == 1 })
	back.Daemon.Drain()
	group.Wait()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.NotContains(t, got.body, "the connection to the instance's daemon broke")
}
