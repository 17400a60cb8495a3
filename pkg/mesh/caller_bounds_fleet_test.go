package mesh_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// Guards against timeouts of the table that do not apply to the connections of callers, or only to those that are
// opened after the table came into force.
func TestTimeoutsOfTheTableApplyToOpenConnections(t *testing.T) {
	fleet, ingress, _ := newFleet(t, 4, "a1")
	open := func(text string) net.Conn {
		c, err := net.Dial("tcp4", ingress.Settings.Listen.CallerAddress)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
		_, err = io.WriteString(c, text)
		require.NoError(t, err)
		return c
	}
	// Neither of them ends by the timeouts without a table, 10 s and 90 s, before the other changes would.
	idle := open(fmt.Sprintf("GET /read/x HTTP/1.1\r\nHost: app\r\n%s: timeouts\r\n\r\n", meshtest.Headers.RequestID))
	reader := bufio.NewReader(idle)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	unused := open("")
	table := meshtest.Table(2, "back")
	table, err = route.New(2, table.Routes, table.Services, route.Limits{IdleTimeout: 50 * time.Millisecond, HeaderTimeout: 50 * time.Millisecond})
	require.NoError(t, err)
	fleet.Store.SetTable(table)
	awaitSynced(t, fleet)
	half := open("GET /read/x HTTP/1.1\r\n")
	for _, c := range []io.Reader{reader, unused, half} {
		_, err := io.Copy(io.Discard, c)
		require.NoError(t, err, "the daemon closes the connection")
	}
}
