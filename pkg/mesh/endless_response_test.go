package mesh_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// smallMemory is a memory limit in MB with which the buffered responses of a daemon may use 4 MB.
const smallMemory = 10

// endlessFaultReasons maps each fault without a complete response to the reason that is logged for it.
var endlessFaultReasons = map[meshtest.Fault]string{
	meshtest.EndlessStatus:   "more than 65536 bytes before the body of the answer; see which headers the peer sends",
	meshtest.EndlessHeader:   "more than 65536 bytes before the body of the answer",
	meshtest.EndlessHeaders:  "more than 65536 bytes before the body of the answer",
	meshtest.EndlessInterims: "more than 8 interim answers (1xx) before the final one; let the peer send fewer",
	meshtest.EndlessChunks:   "raise limits.memory_mb, or let upstreams split large responses",
	meshtest.EndlessBody:     "raise limits.memory_mb, or let upstreams split large responses",
	meshtest.EnormousLength:  "bytes of the body of an answer; let the peer answer in parts",
	meshtest.EndlessForeign:  "more than 4 answers to other requests on the connection",
}

// slowTable returns a table with a route timeout that no request of a test reaches.
func slowTable(t *testing.T) *route.Table {
	table := meshtest.Table(1, "back")
	routes := append([]route.Route(nil), table.Routes...)
	for i := range routes {
		routes[i].Timeout = waitTimeout
	}
	patient, err := route.New(1, routes, table.Services, table.Limits)
	require.NoError(t, err)
	return patient
}

// newSmallFleet starts an ingress and upstreams whose daemons have little memory, and returns the log
// of all daemons.
func newSmallFleet(t *testing.T, dataCentres ...string) (*meshtest.Member, []*meshtest.Member, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.InfoLevel)
	fleet := meshtest.NewFleet(zap.New(core))
	t.Cleanup(fleet.Close)
	ingress, err := fleet.AddLimited("front", "a1", 9, smallMemory)
	require.NoError(t, err)
	var backs []*meshtest.Member
	for _, dc := range dataCentres {
		m, err := fleet.AddLimited("back", dc, 9, smallMemory)
		require.NoError(t, err)
		backs = append(backs, m)
	}
	fleet.Store.SetTable(slowTable(t))
	awaitSynced(t, fleet)
	return ingress, backs, logs
}

// setFault sets the fault of all upstreams.
func setFault(backs []*meshtest.Member, fault func(*meshtest.Request) meshtest.Fault) {
	for _, m := range backs {
		m.Upstream.SetFault(fault)
	}
}

// awaitNothingBuffered waits until no daemon buffers a response.
func awaitNothingBuffered(t *testing.T, members ...*meshtest.Member) {
	for _, m := range members {
		eventually(t, "no response is buffered", func() bool { return m.Daemon.Status().AnswerBytes == 0 })
	}
}

// Guards against an endless response that is forwarded, read until the deadline, counted as "not run"
// or makes the request run twice, and against a log line without the reason.
func TestUnsafeRequestWithAnEndlessAnswer(t *testing.T) {
	for fault, reason := range endlessFaultReasons {
		ingress, backs, logs := newSmallFleet(t, "a1", "a2")
		setFault(backs, func(*meshtest.Request) meshtest.Fault { return fault })
		id, got := send(ingress, http.MethodPost, "/write/x", "a body")
		require.NoError(t, got.err, fault)
		require.Equal(t, http.StatusBadGateway, got.status, fault)
		require.Equal(t, 1, runCount(backs, id), fault)
		lines := logs.FilterMessage("upstream_refused").All()
		require.Len(t, lines, 1, fault)
		fields := lines[0].ContextMap()
		require.Equal(t, "may-have-run", fields["run"], fault)
		require.Contains(t, fields["reason"], reason, fault)
		for _, m := range backs {
			eventually(t, "the connection is closed", func() bool { return m.Upstream.Connections() == 0 })
		}
		awaitNothingBuffered(t, append(backs, ingress)...)
	}
}

// Guards against a safe request that is not retried after an endless response.
func TestSafeRequestIsSentAgainAfterAnEndlessAnswer(t *testing.T) {
	ingress, backs, _ := newSmallFleet(t, "a1", "a2", "b1")
	for fault := range endlessFaultReasons {
		var spoiled sync.Map
		setFault(backs, func(r *meshtest.Request) meshtest.Fault {
			if _, again := spoiled.LoadOrStore(r.ID, true); again {
				return meshtest.None
			}
			return fault
		})
		id, got := send(ingress, http.MethodGet, "/read/x", "")
		require.NoError(t, got.err, fault)
		require.Equal(t, http.StatusOK, got.status, fault)
		require.Equal(t, meshtest.Body(id, 400), got.body, fault)
		require.Equal(t, 2, runCount(backs, id), fault)
	}
	awaitNothingBuffered(t, append(backs, ingress)...)
}

// Guards against more attempts than the route allows when every response is endless.
func TestEndlessAnswersCountAsAttempts(t *testing.T) {
	ingress, backs, _ := newSmallFleet(t, "a1", "a2", "b1", "b2")
	setFault(backs, func(*meshtest.Request) meshtest.Fault { return meshtest.EndlessHeaders })
	id, got := send(ingress, http.MethodGet, "/read/x", "")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, 3, runCount(backs, id), "max_attempts of the route")
}

// Guards against endless responses that together exhaust the memory of a daemon, and against normal
// responses that fail at the same time.
func TestUsualAnswersPassBesideEndlessOnes(t *testing.T) {
	ingress, backs, _ := newSmallFleet(t, "a1")
	setFault(backs, func(r *meshtest.Request) meshtest.Fault {
		if r.Method == http.MethodPut {
			return meshtest.EndlessChunks
		}
		return meshtest.None
	})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() { send(ingress, http.MethodPut, "/write/x", "a body") })
	}
	for range 20 {
		id, got := send(ingress, http.MethodPost, "/write/x", "a body")
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, meshtest.Body(id, 400), got.body)
	}
	group.Wait()
	awaitNothingBuffered(t, append(backs, ingress)...)
}

// Guards against bytes after a complete response that are read as the response to the next request.
func TestBytesBehindAnAnswer(t *testing.T) {
	ingress, backs, _ := newSmallFleet(t, "a1")
	for range 10 {
		setFault(backs, func(*meshtest.Request) meshtest.Fault { return meshtest.EndlessTail })
		id, got := send(ingress, http.MethodPost, "/write/x", "a body")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, meshtest.Body(id, 400), got.body)
		setFault(backs, nil)
		id, got = send(ingress, http.MethodPost, "/write/x", "a body")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, meshtest.Body(id, 400), got.body)
		require.Equal(t, 1, runCount(backs, id))
	}
}
