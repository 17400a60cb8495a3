package mesh_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// Guards against a service whose only host has stood still until the store removed its entry, and which other
// daemons do not call after the host has gone on and the store lists it again.
func TestServiceWhoseHostWasUnlistedWhileItWasSilentIsServedAgain(t *testing.T) {
	fleet, ingress, backs := newFleet(t, 4, "a1")
	inst := backs[0].Instance
	host, _, err := net.SplitHostPort(inst.ForwardAddr)
	require.NoError(t, err)
	link, err := meshtest.NewProxy(net.JoinHostPort(host, "0"), inst.ForwardAddr)
	require.NoError(t, err)
	t.Cleanup(link.Close)
	inst.ForwardAddr = link.Addr()
	fleet.Store.Put(inst)
	awaitSynced(t, fleet)
	_, got := send(ingress, http.MethodGet, "/read/x", "")
	require.Equal(t, http.StatusOK, got.status)

	link.SetMode(meshtest.Silent)
	send(ingress, http.MethodGet, "/read/x", "", meshtest.Headers.Remaining, "300")
	eventually(t, "the host is unreachable", func() bool { return ingress.Daemon.Status().UnreachableTotal == 1 })
	fleet.Store.Remove(inst.ID)
	awaitSynced(t, fleet)
	link.SetMode(meshtest.Pass)
	fleet.Store.Put(inst)
	awaitSynced(t, fleet)
	eventually(t, "requests are served", func() bool {
		_, got := send(ingress, http.MethodGet, "/read/x", "")
		return got.status == http.StatusOK
	})
}
