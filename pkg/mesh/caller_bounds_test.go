package mesh

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
)

// Guards against limits of connections that take the descriptors which the process needs for files, upstreams and
// other daemons, or that are 0 and so refuse everything.
func TestConnectionLimit(t *testing.T) {
	for _, test := range []struct{ descriptors, callers, probes int }{{4100, 1950, 64}, {600, 200, 25}, {100, 8, 8}, {1 << 20, 524188, 64}, {0, 0, 64}} {
		require.Equal(t, test.callers, connectionLimit(test.descriptors, callerConnectionShare, 0))
		require.Equal(t, test.probes, connectionLimit(test.descriptors, probeConnectionShare, maxProbeConnections))
	}
}

// Guards against a request that consists of very many fields and is passed on, and against a usual one that is refused.
func TestTooManyFields(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
	for n := range maxHeaderFields {
		r.Header.Add("A"+strconv.Itoa(n%100), "")
	}
	require.Nil(t, tooManyFields(r))
	r.Header.Add("A", "")
	refused := tooManyFields(r)
	require.Equal(t, refusal.NotRun, refused.Run)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, refused.StatusCode())
}
