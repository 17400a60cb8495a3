package mesh_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// BenchmarkCall measures a request that passes through two daemons. Each request uses a new
// connection, as callers do that make single short requests.
func BenchmarkCall(b *testing.B) {
	fleet := meshtest.NewFleet(zap.NewNop())
	defer fleet.Close()
	ingress, err := fleet.Add("front", "a1", 9, 0)
	require.NoError(b, err)
	_, err = fleet.Add("back", "a1", 9, 0)
	require.NoError(b, err)
	fleet.Store.SetTable(meshtest.Table(1, "back"))
	require.Eventually(b, ingress.Daemon.Ready, 5*time.Second, 10*time.Millisecond)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	b.ResetTimer()
	for n := range b.N {
		req, err := http.NewRequest(http.MethodGet, "http://"+ingress.Settings.Listen.CallerAddress+"/read/x", nil)
		require.NoError(b, err)
		req.Host = "app"
		req.Header.Set(meshtest.Headers.RequestID, strconv.Itoa(n))
		resp, err := client.Do(req)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		require.NoError(b, resp.Body.Close())
	}
}
