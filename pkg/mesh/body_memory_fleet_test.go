package mesh_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// Guards against a body that fits into the memory of the daemon beside the caller and not into that of the daemon
// beside the upstream, and runs, counts as one that may have run, or is not sent to another daemon that has room.
func TestBodyWithoutMemoryAtTheUpstreamIsNotRun(t *testing.T) {
	fleet := meshtest.NewFleet(zap.NewNop())
	t.Cleanup(fleet.Close)
	ingress, err := fleet.AddLimited("front", "a1", 9, 200)
	require.NoError(t, err)
	small, err := fleet.AddLimited("back", "a1", 9, 20)
	require.NoError(t, err)
	fleet.Store.SetTable(slowTable(t))
	awaitSynced(t, fleet)
	body := strings.Repeat("x", 8<<20) // of 7 MB for bodies
	_, got := send(ingress, http.MethodPost, "/upload/x", body)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "not-run", got.header.Get("Mangoshed-Run"))
	require.NotEmpty(t, got.header.Get("Retry-After"))
	_, got = send(ingress, http.MethodPost, "/upload/x", body[:4<<20])
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status, "a smaller body")
	require.Len(t, small.Upstream.Seen(), 1)
	large, err := fleet.AddLimited("back", "a1", 9, 200)
	require.NoError(t, err)
	awaitSynced(t, fleet)
	id, got := send(ingress, http.MethodPost, "/upload/x", body)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status, "another daemon has room")
	require.Equal(t, 1, runCount([]*meshtest.Member{large}, id))
	require.Len(t, small.Upstream.Seen(), 1)
}
