package mesh_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// waitTimeout is the timeout for conditions that normally become true soon.
const waitTimeout = 20 * time.Second

func eventually(t *testing.T, what string, condition func() bool) {
	require.Eventually(t, condition, waitTimeout, 5*time.Millisecond, what)
}

// newFleet starts an ingress and upstreams of the service "back", one in each data centre named.
func newFleet(t *testing.T, slots int, dataCentres ...string) (*meshtest.Fleet, *meshtest.Member, []*meshtest.Member) {
	fleet := meshtest.NewFleet(zap.NewNop())
	t.Cleanup(fleet.Close)
	ingress, err := fleet.Add("front", "a1", 9, 0)
	require.NoError(t, err)
	var backs []*meshtest.Member
	for _, dc := range dataCentres {
		m, err := fleet.Add("back", dc, slots, 0)
		require.NoError(t, err)
		backs = append(backs, m)
	}
	fleet.Store.SetTable(meshtest.Table(1, "back"))
	awaitSynced(t, fleet)
	return fleet, ingress, backs
}

// awaitSynced waits until every daemon is ready and at the current revision of the store.
func awaitSynced(t *testing.T, fleet *meshtest.Fleet) {
	for _, m := range fleet.Members {
		eventually(t, "the daemon follows the store", func() bool { return m.Daemon.Ready() && m.Daemon.Status().Revision == fleet.Store.Revision() })
	}
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

var requests atomic.Int64

// send sends a request through the ingress and returns its ID and the response.
func send(m *meshtest.Member, method, path, body string, headers ...string) (string, response) {
	id := fmt.Sprintf("id-%d", requests.Add(1))
	req, err := http.NewRequest(method, "http://"+m.Settings.Listen.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return id, response{err: err}
	}
	req.Host = "app"
	req.Header.Set(meshtest.Headers.RequestID, id)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return id, do(req)
}

func do(req *http.Request) response {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// runCount returns how many times the upstreams started to run the request.
func runCount(backs []*meshtest.Member, id string) int {
	n := 0
	for _, m := range backs {
		for _, r := range m.Upstream.Seen() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// Guards against requests or responses that are modified between the two daemons that forward them.
func TestRequestAndAnswerArriveUnchanged(t *testing.T) {
	_, ingress, backs := newFleet(t, 4, "a2")
	body := strings.Repeat("0123456789", 20_000)
	for _, path := range []string{"/write/x%2Fy?a=%20b&c", "/upload/", "/read/../x"} {
		id, got := send(ingress, http.MethodPost, path, body, "X-Other", "kept", "Mangoshed-Job", "forged", meshtest.Headers.Caller, "forged", meshtest.Headers.Remaining, "1500")
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, meshtest.Body(id, 400), got.body)
		require.Equal(t, "p", got.header.Get(meshtest.Headers.Proof))
		require.Equal(t, id, got.header.Get(meshtest.Headers.RequestID))
		seen := backs[0].Upstream.Seen()
		last := seen[len(seen)-1]
		require.Equal(t, path, last.Target)
		require.Equal(t, "app", last.Host)
		require.Equal(t, "front", last.Caller)
		require.True(t, bytes.Equal([]byte(body), last.Body))
		require.LessOrEqual(t, last.Remaining, 1500*time.Millisecond)
		require.Positive(t, last.Remaining)
	}
}

// Guards against an unsafe request that runs twice, against a success status without the complete
// response of the upstream, and against a false "not run" refusal.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	_, ingress, backs := newFleet(t, 4, "a1", "a2", "b1")
	for _, fault := range []meshtest.Fault{
		meshtest.Reset, meshtest.Truncate, meshtest.Garbage, meshtest.UnframedReset, meshtest.Unproved, meshtest.Fail,
	} {
		for _, m := range backs {
			m.Upstream.SetFault(func(*meshtest.Request) meshtest.Fault { return fault })
		}
		for _, path := range []string{"/write/x", "/upload/x"} {
			id, got := send(ingress, http.MethodPost, path, "a body")
			require.NoError(t, got.err, fault)
			require.GreaterOrEqual(t, got.status, 500, fault)
			require.NotEqual(t, http.StatusServiceUnavailable, got.status, fault)
			require.Equal(t, 1, runCount(backs, id), fault)
		}
	}
}

// Guards against a safe request that is not retried, and against forwarding a broken response.
func TestSafeRequestIsSentAgain(t *testing.T) {
	_, ingress, backs := newFleet(t, 4, "a1", "a2", "b1")
	for _, fault := range []meshtest.Fault{
		meshtest.Reset, meshtest.Truncate, meshtest.Garbage, meshtest.UnframedReset, meshtest.Unproved, meshtest.Fail, meshtest.Shed,
	} {
		var spoiled sync.Map
		for _, m := range backs {
			m.Upstream.SetFault(func(r *meshtest.Request) meshtest.Fault {
				if _, again := spoiled.LoadOrStore(r.ID, true); again {
					return meshtest.None
				}
				return fault
			})
		}
		id, got := send(ingress, http.MethodGet, "/read/x", "")
		require.NoError(t, got.err, fault)
		require.Equal(t, http.StatusOK, got.status, fault)
		require.Equal(t, meshtest.Body(id, 400), got.body, fault)
	}
}

// Guards against an unsafe request that fails instead of being retried although the upstream reported
// that it has not run.
func TestUnsafeRequestIsSentAgainWhenItHasNotRun(t *testing.T) {
	_, ingress, backs := newFleet(t, 4, "a1", "a2")
	var refused sync.Map
	for _, m := range backs {
		m.Upstream.SetFault(func(r *meshtest.Request) meshtest.Fault {
			if _, again := refused.LoadOrStore(r.ID, true); again {
				return meshtest.None
			}
			return meshtest.Shed
		})
	}
	id, got := send(ingress, http.MethodPost, "/write/x", "a body")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, 1, runCount(backs, id))
}

// Guards against responses that are matched to the wrong request after a duplicate, a foreign, an
// early or an unframed response on a connection.
func TestAnswersAreNotMixedUp(t *testing.T) {
	_, ingress, backs := newFleet(t, 2, "a1")
	for _, fault := range []meshtest.Fault{meshtest.Double, meshtest.Foreign, meshtest.Unframed} {
		n := 0
		backs[0].Upstream.SetFault(func(*meshtest.Request) meshtest.Fault {
			if n++; n%2 == 1 {
				return fault
			}
			return meshtest.None
		})
		for range 12 {
			id, got := send(ingress, http.MethodPost, "/write/x", "a body")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, meshtest.Body(id, 400), got.body, fault)
			require.Equal(t, 1, runCount(backs, id), fault)
		}
	}
	backs[0].Upstream.SetFault(func(*meshtest.Request) meshtest.Fault { return meshtest.Early })
	_, got := send(ingress, http.MethodPost, "/upload/x", strings.Repeat("x", 300_000))
	require.Equal(t, "early", got.body)
	backs[0].Upstream.SetFault(nil)
	id, got := send(ingress, http.MethodPost, "/write/x", "a body")
	require.Equal(t, meshtest.Body(id, 400), got.body)
}

// Guards against an upstream that gets more concurrent requests than it has slots.
func TestSlotsAreKept(t *testing.T) {
	_, ingress, backs := newFleet(t, 3, "a1")
	backs[0].Upstream.SetWork(5 * time.Millisecond)
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() { send(ingress, http.MethodGet, "/read/x", "") })
	}
	group.Wait()
	require.LessOrEqual(t, backs[0].Upstream.Peak(), 3)
	require.Positive(t, backs[0].Upstream.Peak())
}

// Guards against a 404 from a daemon without a route table, and against waiting for a route that the
// table does not contain.
func TestRefusalsBeforePlacement(t *testing.T) {
	fleet := meshtest.NewFleet(zap.NewNop())
	defer fleet.Close()
	m, err := fleet.Add("front", "a1", 9, 0)
	require.NoError(t, err)
	_, got := send(m, http.MethodGet, "/read/x", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.False(t, m.Daemon.Ready())
	fleet.Store.SetTable(meshtest.Table(1, "back"))
	awaitSynced(t, fleet)
	_, got = send(m, http.MethodGet, "/nosuch/x", "")
	require.Equal(t, http.StatusNotFound, got.status)
	_, got = send(m, http.MethodPost, "/write/x", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status, "no instance is listed")
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// Guards against a request that runs at a different instance which now uses the same address.
func TestAddressOfAnotherInstance(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 4, "a1", "a2")
	// The upstream has restarted with a new ID, which the store does not list yet.
	backs[0].Upstream.SetID("other")
	for range 10 {
		id, got := send(ingress, http.MethodPost, "/write/x", "a body")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, 1, runCount(backs, id))
	}
	require.Empty(t, backs[0].Upstream.Seen())
	fresh := backs[0].Instance
	fresh.ID = "other"
	fleet.Store.Remove(backs[0].Instance.ID)
	fleet.Store.Put(fresh)
	awaitSynced(t, fleet)
	eventually(t, "the new instance gets requests", func() bool {
		send(ingress, http.MethodPost, "/write/x", "a body")
		return len(backs[0].Upstream.Seen()) > 0
	})
}

// Guards against new requests to an instance that is draining or whose entry has become invalid.
func TestLeavingInstanceGetsNoNewWork(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 4, "a1", "a2")
	draining := backs[0].Instance
	draining.State = model.Leaving
	fleet.Store.Put(draining)
	awaitSynced(t, fleet)
	before := len(backs[0].Upstream.Seen())
	for range 10 {
		_, got := send(ingress, http.MethodGet, "/read/x", "")
		require.Equal(t, http.StatusOK, got.status)
	}
	require.Len(t, backs[0].Upstream.Seen(), before)
	fleet.Store.Reject(backs[1].Instance.ID, "not JSON")
	awaitSynced(t, fleet)
	_, got := send(ingress, http.MethodGet, "/read/x", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
}

// Guards against a request that keeps running after its caller has disconnected.
func TestCallerThatLeavesStopsTheRun(t *testing.T) {
	_, ingress, backs := newFleet(t, 1, "a2")
	backs[0].Upstream.SetFault(func(*meshtest.Request) meshtest.Fault { return meshtest.Hang })
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ingress.Settings.Listen.CallerAddress+"/read/x", nil)
	require.NoError(t, err)
	req.Host = "app"
	done := make(chan response, 1)
	go func() { done <- do(req) }()
	eventually(t, "the request runs", func() bool { return len(backs[0].Upstream.Seen()) == 1 })
	cancel()
	require.Error(t, (<-done).err)
	eventually(t, "the slot is free", func() bool { return backs[0].Daemon.Status().Running == 0 })
	eventually(t, "the upstream's connection is closed", func() bool { return backs[0].Upstream.Connections() == 0 })
}

// Guards against a request that crashes one upstream after another when callers send it repeatedly,
// to any daemon.
func TestRequestThatCrashesUpstreamsIsContained(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 4, "a1", "a1", "a2", "b1")
	for _, m := range backs {
		m.Upstream.SetFault(func(r *meshtest.Request) meshtest.Fault {
			if r.Target == "/write/deadly" {
				return meshtest.Crash
			}
			return meshtest.None
		})
	}
	crashes := 0
	for n := range 40 {
		_, got := send(fleet.Members[n%len(fleet.Members)], http.MethodPost, "/write/deadly", "a body")
		require.NotEqual(t, http.StatusOK, got.status)
		for _, m := range backs {
			if !m.Upstream.Down() {
				continue
			}
			crashes++
			// An application takes seconds to restart, by which time its daemon has noticed the crash.
			eventually(t, "the daemon has noticed", func() bool { return m.Daemon.Status().Suspects > 0 })
			require.NoError(t, m.Upstream.Restart())
			eventually(t, "all daemons know of the crash", func() bool {
				return !slices.ContainsFunc(fleet.Members, func(m *meshtest.Member) bool {
					status := m.Daemon.Status()
					return status.Suspects == 0 || crashes > 1 && status.Blocked == 0
				})
			})
		}
	}
	// After the first crash the request is a suspect, after the second one it is blocked.
	require.Equal(t, 2, crashes)
	id, got := send(ingress, http.MethodPost, "/write/harmless", "a body")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, 1, runCount(backs, id))
}

// Guards against a request that runs longer than the timeout of its route.
func TestTimeoutOfTheRoute(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 4, "a2")
	short := route.Route{
		Name: "short", Host: "app", Prefix: "/short/", Kind: route.Unsafe, Timeout: 60 * time.Millisecond, Goal: 50 * time.Millisecond, MaxAttempts: 2,
		Shares: []route.Share{{Service: "back", Weight: 1}},
	}
	table, err := route.New(2, []route.Route{short}, []route.Service{{Name: "back"}}, route.Limits{})
	require.NoError(t, err)
	fleet.Store.SetTable(table)
	awaitSynced(t, fleet)
	backs[0].Upstream.SetFault(func(*meshtest.Request) meshtest.Fault { return meshtest.Hang })
	_, got := send(ingress, http.MethodPost, "/short/x", "a body", meshtest.Headers.Remaining, "60000")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	_, got = send(ingress, http.MethodPost, "/write/x", "a body")
	require.Equal(t, http.StatusNotFound, got.status, "the route of version 1 is gone")
}

// Guards against a daemon that starts while the store is unavailable and never gets a table.
func TestStartsFromOtherDaemonsWhileTheStoreIsAway(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 4, "a1")
	backs[0].Daemon.Close()
	fleet.Store.SetDown(true)
	backs[0].Settings.Seeds = []string{ingress.Settings.Listen.ForwardAddress}
	require.NoError(t, fleet.Restart(backs[0]))
	eventually(t, "the daemon is ready", backs[0].Daemon.Ready)
	require.Equal(t, ingress.Daemon.Status().Revision, backs[0].Daemon.Status().Revision)
	id, got := send(backs[0], http.MethodGet, "/read/x", "")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, 1, runCount(backs, id))
	fleet.Store.SetTable(meshtest.Table(2, "back"))
	fleet.Store.SetDown(false)
	awaitSynced(t, fleet)
	require.Equal(t, uint64(2), backs[0].Daemon.Status().Version)
}

// Guards against a graceful shutdown that cuts requests, or refuses them in the notice period, in
// which the daemon is not ready but still accepts requests.
func TestDrainFinishesWhatRuns(t *testing.T) {
	_, ingress, backs := newFleet(t, 4, "a2")
	backs[0].Upstream.SetWork(30 * time.Millisecond)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var failed, served atomic.Int64
	for range 4 {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for {
				select {
				case <-stop:
					client.CloseIdleConnections()
					return
				default:
				}
				req, err := http.NewRequest(http.MethodPost, "http://"+ingress.Settings.Listen.CallerAddress+"/write/x", strings.NewReader("a body"))
				if err != nil {
					failed.Add(1)
					return
				}
				req.Host = "app"
				resp, err := client.Do(req)
				if err != nil || resp.StatusCode != http.StatusOK {
					failed.Add(1)
					continue
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					failed.Add(1)
				}
				_ = resp.Body.Close()
				served.Add(1)
			}
		})
	}
	eventually(t, "requests are served", func() bool { return served.Load() > 20 })
	drained := make(chan struct{})
	go func() {
		ingress.Daemon.Drain()
		close(drained)
	}()
	eventually(t, "the daemon is not ready", func() bool { return !ingress.Daemon.Ready() })
	before := served.Load()
	eventually(t, "callers are served during the notice", func() bool { return served.Load() > before+20 })
	close(stop)
	group.Wait()
	<-drained
	require.Zero(t, failed.Load())
}

// Guards against daemons that miss changes because their readers have stopped, and against every
// daemon of a region reading the store.
func TestFewReadersFeedTheOthers(t *testing.T) {
	fleet, ingress, _ := newFleet(t, 4, "a1", "a1", "a2", "a2", "a2")
	for v := uint64(2); v < 8; v++ {
		fleet.Store.SetTable(meshtest.Table(v, "back"))
		awaitSynced(t, fleet)
	}
	readers := map[string]bool{}
	for _, address := range ingress.Daemon.View().Ranking("a")[:catalog.ReadersPerRegion] {
		readers[address] = true
	}
	var others []*meshtest.Member
	for _, m := range fleet.Members {
		if !readers[m.Settings.Listen.ForwardAddress] {
			others = append(others, m)
			eventually(t, "the daemon is fed", m.Daemon.HasFeed)
			continue
		}
		require.False(t, m.Daemon.HasFeed())
	}
	require.Len(t, others, 4)
	for _, m := range fleet.Members {
		if readers[m.Settings.Listen.ForwardAddress] {
			m.Daemon.Close()
			m.Upstream.Close()
		}
	}
	fleet.Store.SetTable(meshtest.Table(9, "back"))
	for _, m := range others {
		eventually(t, "the daemon reads for itself", func() bool { return m.Daemon.Status().Version == 9 })
	}
}

// Guards against a region in which every daemon has too few resources to be a reader, so that none
// gets changes.
func TestWeakDaemonsReadForThemselves(t *testing.T) {
	fleet := meshtest.NewFleet(zap.NewNop())
	defer fleet.Close()
	for range 3 {
		_, err := fleet.AddWeak("back", "a1")
		require.NoError(t, err)
	}
	fleet.Store.SetTable(meshtest.Table(1, "back"))
	awaitSynced(t, fleet)
	fleet.Store.SetTable(meshtest.Table(2, "back"))
	awaitSynced(t, fleet)
	for _, m := range fleet.Members {
		require.False(t, m.Daemon.HasFeed())
	}
}

// Guards against a request that ends one host after the other: the daemon ends with the upstream and
// cannot report the crash.
func TestRequestThatEndsWholeHostsIsContained(t *testing.T) {
	_, ingress, backs := newFleet(t, 4, "a1", "a2", "b1", "b2", "a1", "a2")
	var ended atomic.Int64
	closed := make(chan struct{}, len(backs))
	for _, m := range backs {
		var once sync.Once
		m.Upstream.SetFault(func(r *meshtest.Request) meshtest.Fault {
			if r.Target != "/read/deadly" {
				return meshtest.None
			}
			once.Do(func() {
				ended.Add(1)
				go func() {
					m.Daemon.Close()
					closed <- struct{}{}
				}()
			})
			return meshtest.Hang
		})
	}
	awaited := int64(0)
	for range 8 {
		_, got := send(ingress, http.MethodGet, "/read/deadly", "")
		require.NotEqual(t, http.StatusOK, got.status)
		for ; awaited < ended.Load(); awaited++ {
			<-closed
		}
	}
	require.Equal(t, int64(3), ended.Load())
	_, got := send(ingress, http.MethodGet, "/read/harmless", "")
	require.Equal(t, http.StatusOK, got.status)
}
