package mesh_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// aheadMemory returns the memory that the pipelined requests of a member hold.
func aheadMemory(t *testing.T, m *meshtest.Member) string {
	resp, err := http.Get("http://" + m.Settings.Listen.AdminAddress + "/metrics")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "mangoshed_pipelined_held_bytes "); ok {
			return value
		}
	}
	return ""
}

// Guards against memory of requests that run ahead which is not returned when they are answered, refused, or dropped
// because their caller has closed the connection.
func TestMemoryOfPipelinedRequestsIsReturned(t *testing.T) {
	ingress, backs, gates := newPipelineFleet(t, 4, "a1")
	c, left := dialCaller(t, ingress), dialCaller(t, ingress)
	c.send(text("GET", "/read/1", "p1"), text("GET", "/read/2", "p2"))
	left.send(text("GET", "/read/3", "l1"), text("GET", "/read/4", "l2"))
	awaitRun(t, backs, "p1", "p2", "l1", "l2")
	require.NotEqual(t, "0", aheadMemory(t, ingress))
	require.NoError(t, left.conn.Close())
	gates.release("p1", "p2")
	c.answered("p1", false)
	c.answered("p2", false)
	eventually(t, "the memory is returned", func() bool { return aheadMemory(t, ingress) == "0" })
}

// Guards against a pipelined request with more fields than a daemon accepts that runs, is answered out of turn, or
// ends the responses to those before it.
func TestPipelinedRequestWithTooManyFieldsIsRefusedInItsTurn(t *testing.T) {
	ingress, backs, gates := newPipelineFleet(t, 4, "a1")
	c := dialCaller(t, ingress)
	over := strings.TrimSuffix(text("GET", "/read/3", "over"), "\r\n")
	for n := range 300 {
		over += fmt.Sprintf("A%d: x\r\n", n)
	}
	c.send(text("GET", "/read/1", "p1"), text("GET", "/read/2", "p2"), over, "\r\n", text("GET", "/read/4", "p4"))
	awaitRun(t, backs, "p1", "p2")
	require.Equal(t, "1", metric(t, ingress, "started"))
	gates.release("p1", "p2", "p4")
	c.answered("p1", false)
	c.answered("p2", false)
	got := c.answer("over")
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, got.status, got.body)
	require.Equal(t, refusal.NotRun.String(), got.run)
	c.answered("p4", false)
	require.Zero(t, runCount(backs, "over"))
}
