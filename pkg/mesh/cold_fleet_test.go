package mesh_test

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// newColdFleet starts a fleet whose upstreams are cold for a time and then take few requests per second.
func newColdFleet(t *testing.T, perSecond float64, cold time.Duration, dataCentres ...string) (*meshtest.Fleet, *meshtest.Member, []*meshtest.Member) {
	fleet, ingress, backs := newFleet(t, 9, dataCentres...)
	for _, m := range backs {
		m.Upstream.SetCold(cold)
	}
	table := meshtest.Table(2, "back")
	table, err := route.New(2, table.Routes, []route.Service{{Name: "back", HealthPath: meshtest.HealthPath, ColdPerSecond: perSecond, ColdStart: time.Minute}}, route.Limits{})
	require.NoError(t, err)
	fleet.Store.SetTable(table)
	awaitSynced(t, fleet)
	for _, m := range backs {
		eventually(t, "the rate applies", func() bool { return m.Daemon.Status().ColdRate > 0 })
	}
	return fleet, ingress, backs
}

// Guards against a fleet of cold upstreams that serves less than it may, or whose refusals do not say that
// the request has not run and when to come back; and against a cold phase that does not end.
func TestFleetOfColdUpstreams(t *testing.T) {
	_, ingress, backs := newColdFleet(t, 20, 3*time.Second, "a1", "a2", "b1")
	for _, got := range press(time.Now().Add(time.Second), ingress) {
		if got.status == http.StatusOK {
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
	}
	for _, m := range backs {
		require.Positive(t, len(m.Upstream.Health()))
		eventually(t, "the cold phase ends", func() bool { return m.Daemon.Status().ColdRate == 0 })
	}
	for _, got := range press(time.Now().Add(300*time.Millisecond), ingress) {
		require.Equal(t, http.StatusOK, got.status)
	}
}

// Guards against an ingress that tries one cold instance after the other for a request that none of them
// takes.
func TestNoSearchThroughColdInstances(t *testing.T) {
	_, ingress, backs := newColdFleet(t, 1, time.Minute, "a1", "a2", "b1", "b2")
	// Uses up the allowance, and lets the ingress learn of it.
	for range 30 {
		send(ingress, http.MethodGet, "/read/x", "", meshtest.Headers.Remaining, "150")
	}
	before := totalColdRefusals(t, backs)
	const requests = 20
	refused := 0
	for range requests {
		if _, got := send(ingress, http.MethodGet, "/read/x", "", meshtest.Headers.Remaining, "150"); got.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	require.Positive(t, refused)
	require.LessOrEqual(t, totalColdRefusals(t, backs)-before, requests+len(backs), "one instance for each request")
}

// totalColdRefusals returns the number of jobs that the members have refused because of cold upstreams.
func totalColdRefusals(t *testing.T, members []*meshtest.Member) int {
	total := 0
	for _, m := range members {
		resp, err := http.Get("http://" + m.Settings.Listen.AdminAddress + "/metrics")
		require.NoError(t, err)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		found := regexp.MustCompile(`(?m)^\S*upstream_cold_refused_total (\d+)$`).FindSubmatch(text)
		require.NotNil(t, found)
		n, err := strconv.Atoi(string(found[1]))
		require.NoError(t, err)
		total += n
	}
	return total
}
