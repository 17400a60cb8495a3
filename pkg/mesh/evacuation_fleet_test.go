package mesh_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// Guards against an evacuation that comes into force too late, that ends during an outage of the store, or that goes on
// after its item was removed meanwhile, when the daemon reads the full state.
func TestEvacuationDuringAnOutageOfTheStore(t *testing.T) {
	follow(t, noPeers{}, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetTable(meshtest.Table(1, "back"))
		time.Sleep(inForce)
		store.Evacuate("a1")
		time.Sleep(inForce)
		require.True(t, fleet.View().IsEvacuated("a1"))
		store.SetDown(true)
		store.EndEvacuation("a1")
		store.Evacuate("a2")
		time.Sleep(time.Minute)
		require.True(t, fleet.View().IsEvacuated("a1"), "the last view holds")
		store.Forget()
		store.SetDown(false)
		time.Sleep(inForce)
		require.False(t, fleet.View().IsEvacuated("a1"))
		require.True(t, fleet.View().IsEvacuated("a2"))
		store.EndEvacuation("a2")
		time.Sleep(inForce)
		require.Empty(t, fleet.View().Evacuated)
	})
}

// Guards against a daemon that starts without the store and does not know of an evacuation.
func TestStartsFromANeighbourDuringAnEvacuation(t *testing.T) {
	peers := statePeers{catalog.State{Revision: 50, Table: meshtest.Table(7, "back"), Evacuations: []catalog.Evacuation{{DataCentre: "a1", Revision: 40}}}}
	follow(t, peers, func(store *meshtest.Store, fleet *mesh.Fleet) {
		store.SetDown(true)
		time.Sleep(inForce)
		require.True(t, fleet.View().IsEvacuated("a1"))
	})
}

// evacuated returns the names of the data centres that a daemon reports as evacuated.
func evacuated(m *meshtest.Member) []string {
	names := []string{}
	for _, e := range m.Daemon.Status().Evacuated {
		names = append(names, e.Name)
	}
	return names
}

// Guards against requests to an evacuated data centre, from callers there and elsewhere, at daemons that read the store,
// are fed, or start without the store; against requests that fail because they wait there when the evacuation begins;
// and against a data centre that stays unused afterwards.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	fleet, ingress, left := newFleet(t, 1, "a1", "a1")
	patient := slowTable(t)
	table, err := route.New(2, patient.Routes, patient.Services, patient.Limits)
	require.NoError(t, err)
	fleet.Store.SetTable(table)
	awaitSynced(t, fleet)
	seen := func() int { return len(left[0].Upstream.Seen()) + len(left[1].Upstream.Seen()) }
	for _, m := range left {
		m.Upstream.SetWork(400 * time.Millisecond)
	}
	var group sync.WaitGroup
	responses := make(chan response, 6)
	for range cap(responses) {
		group.Go(func() {
			_, got := send(ingress, http.MethodPost, "/write/x", "a body")
			responses <- got
		})
	}
	eventually(t, "requests wait there", func() bool { return left[0].Daemon.Status().Queued+left[1].Daemon.Status().Queued > 0 })
	for _, dc := range []string{"a2", "b1"} {
		_, err := fleet.Add("back", dc, 9, 0)
		require.NoError(t, err)
	}
	awaitSynced(t, fleet)
	fleet.Store.Evacuate("a1")
	awaitSynced(t, fleet)
	group.Wait()
	before := seen() // what ran there has finished
	close(responses)
	for got := range responses {
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	requireServed := func(members ...*meshtest.Member) {
		for _, m := range members {
			for range 5 {
				_, got := send(m, http.MethodPost, "/write/x", "a body")
				require.Equal(t, http.StatusOK, got.status, got.body)
			}
			require.Equal(t, []string{"a1"}, evacuated(m))
			require.True(t, m.Daemon.Ready(), "its callers are served from elsewhere")
		}
	}
	requireServed(fleet.Members...)

	fleet.Store.SetDown(true)
	left[0].Daemon.Close()
	left[0].Settings.Seeds = []string{ingress.Settings.Listen.ForwardAddress}
	require.NoError(t, fleet.Restart(left[0]))
	eventually(t, "the daemon is ready", left[0].Daemon.Ready)
	requireServed(fleet.Members...)
	require.Equal(t, before, seen())

	fleet.Store.SetDown(false)
	fleet.Store.EndEvacuation("a1")
	awaitSynced(t, fleet)
	eventually(t, "the data centre is used again", func() bool {
		send(ingress, http.MethodGet, "/read/x", "")
		return seen() > before
	})
}

// Guards against a request that is sent to an evacuated data centre because its service has no instance elsewhere, and
// against a refusal that does not say that it has not run and when to come back.
func TestServiceWhoseDataCentresAreAllEvacuated(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 4, "a1", "b1")
	fleet.Store.Evacuate("a1")
	fleet.Store.Evacuate("b1")
	awaitSynced(t, fleet)
	for _, m := range append(backs, ingress) {
		id, got := send(m, http.MethodPost, "/write/x", "a body")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Zero(t, runCount(backs, id))
	}
}

// Guards against an evacuation that an operator cannot see, and against an unknown data centre that has an effect, or
// fills the log.
func TestEvacuationsAreLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	fleet := meshtest.NewFleet(zap.New(core))
	defer fleet.Close()
	m, err := fleet.Add("back", "a1", 4, 0)
	require.NoError(t, err)
	fleet.Store.SetTable(meshtest.Table(1, "back"))
	awaitSynced(t, fleet)
	fleet.Store.Evacuate("mars")
	unknown := fleet.Store.Revision()
	fleet.Store.Evacuate("a2")
	known := fleet.Store.Revision()
	awaitSynced(t, fleet)
	_, got := send(m, http.MethodPost, "/write/x", "a body")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, []mesh.EvacuatedDataCentre{{Name: "a2", Revision: known}, {Name: "mars", Revision: unknown, Unknown: true}}, m.Daemon.Status().Evacuated)
	fleet.Store.EndEvacuation("a2")
	awaitSynced(t, fleet)

	lines := map[string]map[string]any{}
	for _, line := range logs.All() {
		if name, ok := line.ContextMap()["data_centre"]; ok {
			key := line.Message + " " + name.(string)
			require.NotContains(t, lines, key, "logged once")
			lines[key] = line.ContextMap()
		}
	}
	require.Len(t, lines, 3)
	require.Equal(t, unknown, lines["evacuation_began mars"]["revision"])
	require.NotEmpty(t, lines["evacuation_began mars"]["reason"])
	require.Equal(t, known, lines["evacuation_began a2"]["revision"])
	require.Equal(t, fleet.Store.Revision(), lines["evacuation_ended a2"]["revision"])
}
