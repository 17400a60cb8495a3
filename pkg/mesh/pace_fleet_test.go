package mesh_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a pace that a daemon does not take from the answers of its upstream, and against requests
// that fail because of a figure that is none.
func TestPaceIsTakenFromAnswers(t *testing.T) {
	_, ingress, backs := newFleet(t, 9, "a1")
	for _, figure := range []string{",-1", ",0", ",10001", ",fast", ",", ",1e3", ""} {
		backs[0].Upstream.SetPace(figure)
		_, got := send(ingress, http.MethodGet, "/read/x", "")
		require.Equal(t, http.StatusOK, got.status, figure)
		require.Equal(t, 100, backs[0].Daemon.Status().Pace, figure)
	}
	backs[0].Upstream.SetPace(",250")
	eventually(t, "the pace is known", func() bool {
		_, got := send(ingress, http.MethodGet, "/read/x", "")
		require.Empty(t, got.header.Get("Mangoshed-Pace"), "a header between daemons")
		return backs[0].Daemon.Status().Pace > 200
	})
	require.Equal(t, 9, backs[0].Daemon.Status().Slots)
}
