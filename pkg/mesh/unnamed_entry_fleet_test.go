package mesh_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// forge lists an entry of another writer at the address of a member's upstream.
func forge(fleet *meshtest.Fleet, m *meshtest.Member, n int) catalog.Instance {
	other := m.Instance
	other.ID, other.Service, other.Slots = model.InstanceID(fmt.Sprint("x-", n)), "nobody", 1
	other.Incarnation, other.Created = m.Instance.Incarnation+1000, fleet.Store.Revision()+1
	fleet.Store.Put(other)
	return other
}

// requireAllServe requires that requests through each member are served, by each upstream named.
func requireAllServe(t *testing.T, fleet *meshtest.Fleet, backs []*meshtest.Member) {
	t.Helper()
	awaitSynced(t, fleet)
	for _, m := range fleet.Members {
		for range 10 {
			_, got := send(m, http.MethodPost, "/write/x", "a body")
			require.Equal(t, http.StatusOK, got.status, got.body)
		}
		require.Equal(t, len(backs), m.Daemon.Status().Instances)
	}
	for _, m := range backs {
		before := len(m.Upstream.Seen())
		eventually(t, "each upstream gets requests", func() bool {
			send(m, http.MethodGet, "/read/x", "") // the nearest instance is its own
			return len(m.Upstream.Seen()) > before
		})
		require.Equal(t, 4, m.Daemon.Status().Slots)
	}
}

// Guards against a service that is never served again because another writer has listed entries, with a service that
// no table names, at the addresses of its instances: at all daemons, those that get their view from another daemon too.
func TestEntriesOfUnnamedServicesTakeNoInstanceOutOfService(t *testing.T) {
	fleet, _, backs := newFleet(t, 4, "a1", "a2", "b1", "b2")
	requireAllServe(t, fleet, backs)
	for n, m := range backs {
		forge(fleet, m, n)
	}
	requireAllServe(t, fleet, backs)

	// An instance beats on, one restarts under its ID, and the daemon beside a third one restarts without the store.
	backs[0].Instance.Warm++
	fleet.Store.Put(backs[0].Instance)
	backs[1].Instance.Incarnation++
	fleet.Store.Put(backs[1].Instance)
	awaitSynced(t, fleet)
	fleet.Store.SetDown(true)
	backs[2].Daemon.Close()
	backs[2].Settings.Seeds = []string{backs[3].Settings.Listen.ForwardAddress}
	require.NoError(t, fleet.Restart(backs[2]))
	requireAllServe(t, fleet, backs)
	require.Equal(t, len(backs)+1, backs[2].Daemon.Status().Unnamed, "no table names the service of the ingress either")
	fleet.Store.SetDown(false)

	fleet.Store.Remove("x-0")
	fleet.Store.Reject("x-1", "not JSON")
	fleet.Store.SetTable(meshtest.Table(2, "back"))
	requireAllServe(t, fleet, backs)
}

// Guards against an entry that is not used although a later table names its service, and against an instance that
// is not used again after a table without its service.
func TestLaterTableDecidesWhichServicesAreNamed(t *testing.T) {
	fleet, _, backs := newFleet(t, 4, "a1", "a2")
	other := forge(fleet, backs[0], 0)
	requireAllServe(t, fleet, backs)

	named := meshtest.Table(2, "back")
	table, err := route.New(2, named.Routes, append(named.Services, route.Service{Name: other.Service}), named.Limits)
	require.NoError(t, err)
	fleet.Store.SetTable(table)
	awaitSynced(t, fleet)
	for _, m := range fleet.Members {
		_, used := m.Daemon.View().ByID(other.ID)
		require.True(t, used)
	}

	fleet.Store.SetTable(meshtest.Table(3, "elsewhere"))
	awaitSynced(t, fleet)
	_, got := send(fleet.Members[0], http.MethodGet, "/read/x", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	fleet.Store.SetTable(meshtest.Table(4, "back"))
	requireAllServe(t, fleet, backs)

	// The instance leaves: the other entry does not keep it.
	fleet.Store.Remove(backs[0].Instance.ID)
	awaitSynced(t, fleet)
	before := len(backs[0].Upstream.Seen())
	for range 20 {
		_, got := send(fleet.Members[0], http.MethodGet, "/read/x", "")
		require.Equal(t, http.StatusOK, got.status)
	}
	require.Len(t, backs[0].Upstream.Seen(), before)
}
