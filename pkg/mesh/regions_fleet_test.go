package mesh_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// regionalTable returns the routes of meshtest.Table with a list of regions and a long timeout.
func regionalTable(t *testing.T, version uint64, regions ...string) *route.Table {
	table := meshtest.Table(version, "back")
	for i := range table.Routes {
		table.Routes[i].Regions, table.Routes[i].Timeout = regions, time.Minute
	}
	listed, err := route.New(version, table.Routes, table.Services, table.Limits)
	require.NoError(t, err)
	return listed
}

// newRegionalFleet returns a fleet whose routes list region b, and its upstreams in the regions a and b.
func newRegionalFleet(t *testing.T, slots int) (fleet *meshtest.Fleet, ingress *meshtest.Member, inA, inB []*meshtest.Member) {
	fleet, ingress, backs := newFleet(t, slots, "a1", "a2", "b1", "b2")
	fleet.Store.SetTable(regionalTable(t, 2, "b"))
	awaitSynced(t, fleet)
	return fleet, ingress, backs[:2], backs[2:]
}

// requireUnseen requires that no request has reached the upstreams.
func requireUnseen(t *testing.T, backs []*meshtest.Member) {
	for _, m := range backs {
		require.Empty(t, m.Upstream.Seen())
	}
}

// requireNotRun requires a refusal after which the caller may come back.
func requireNotRun(t *testing.T, got response) {
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	require.Equal(t, refusal.NotRun.String(), got.header.Get(refusal.HeaderRun))
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// Guards against requests that reach an upstream outside the listed regions: through any daemon (one beside
// an upstream takes the nested requests), at a repeat, through a daemon that starts later and gets the table
// from another one, and after a change of the list.
func TestListedRegionsOnly(t *testing.T) {
	fleet, _, inA, inB := newRegionalFleet(t, 4)
	late, err := fleet.Add("front", "a2", 4, 0)
	require.NoError(t, err)
	awaitSynced(t, fleet)
	for _, m := range fleet.Members {
		for _, path := range []string{"/read/x", "/write/x", "/upload/x"} {
			id, got := send(m, http.MethodPost, path, "a body")
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.Equal(t, 1, runCount(inB, id))
		}
	}
	for _, m := range inB {
		m.Upstream.SetFault(func(*meshtest.Request) meshtest.Fault { return meshtest.Fail })
	}
	id, got := send(late, http.MethodGet, "/read/x", "")
	require.GreaterOrEqual(t, got.status, http.StatusInternalServerError)
	require.Equal(t, 2, runCount(inB, id), "once at each upstream of the region")
	requireUnseen(t, inA)

	fleet.Store.SetTable(regionalTable(t, 3, "a"))
	awaitSynced(t, fleet)
	id, got = send(late, http.MethodGet, "/read/x", "")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, 1, runCount(inA, id))
	fleet.Store.SetTable(regionalTable(t, 4, "nowhere"))
	awaitSynced(t, fleet)
	before := len(inA[0].Upstream.Seen()) + len(inA[1].Upstream.Seen())
	_, got = send(late, http.MethodGet, "/read/x", "")
	requireNotRun(t, got)
	require.Equal(t, before, len(inA[0].Upstream.Seen())+len(inA[1].Upstream.Seen()))
}

// Guards against requests that leave the listed regions, or that fail with an unknown outcome, when the
// instances there are full, leaving or unreachable.
func TestListedRegionsWithoutAUsableInstance(t *testing.T) {
	for name, fail := range map[string]func(fleet *meshtest.Fleet, m *meshtest.Member){
		"full": func(fleet *meshtest.Fleet, m *meshtest.Member) {
			m.Upstream.SetFault(func(*meshtest.Request) meshtest.Fault { return meshtest.Hang })
			go send(fleet.Members[0], http.MethodGet, "/read/x", "")
		},
		"leaving": func(fleet *meshtest.Fleet, m *meshtest.Member) {
			inst := m.Instance
			inst.State = model.Leaving
			fleet.Store.Put(inst)
		},
		"unreachable": func(_ *meshtest.Fleet, m *meshtest.Member) { m.Daemon.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			fleet, ingress, inA, inB := newRegionalFleet(t, 1)
			for _, m := range inB {
				fail(fleet, m)
			}
			switch name {
			case "full":
				eventually(t, "all slots are in use", func() bool { return inB[0].Daemon.Status().Running+inB[1].Daemon.Status().Running == 2 })
			case "leaving":
				awaitSynced(t, fleet)
			}
			for range 3 {
				_, got := send(ingress, http.MethodPost, "/write/x", "a body", meshtest.Headers.Remaining, "400")
				requireNotRun(t, got)
			}
			requireUnseen(t, inA)
			fleet.Store.SetTable(regionalTable(t, 3))
			eventually(t, "other regions serve the route without a list", func() bool {
				_, got := send(ingress, http.MethodPost, "/write/x", "a body", meshtest.Headers.Remaining, "400")
				time.Sleep(time.Millisecond)
				return got.status == http.StatusOK
			})
		})
	}
}
