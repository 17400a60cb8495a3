package ctl

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/pkg/mesh"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// Guards against an operator who cannot see which daemon lags behind or does not answer.
func TestMeshStatus(t *testing.T) {
	fleet := meshtest.NewFleet(zap.NewNop())
	defer fleet.Close()
	m, err := fleet.Add("back", "a1", 4, 0)
	require.NoError(t, err)
	fleet.Store.SetTable(meshtest.Table(7, "back"))
	require.Eventually(t, func() bool { return m.Daemon.Status().Version == 7 }, 20*time.Second, 5*time.Millisecond)
	var out bytes.Buffer
	cmd := New()
	cmd.Writer = &out
	address := m.Settings.Listen.AdminAddress
	err = cmd.Run(context.Background(), []string{"mangoshedctl", "mesh", "status", "-a", address, "-a", "127.0.0.1:1"})
	var failed *DaemonsError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, 1, failed.Failed)
	require.Regexp(t, `(?m)^`+address+` +yes +7 +3 +3 +1 +0/4\+0 +0$`, out.String())
	require.Contains(t, out.String(), "127.0.0.1:1")
}

// Guards against an operator who cannot see which data centres are evacuated, at which daemons, or that a name is wrong.
func TestMeshStatusShowsEvacuations(t *testing.T) {
	lines := meshLines([]answer[mesh.Status]{
		{Address: "10.0.0.1:1", Answer: &mesh.Status{Evacuated: []mesh.EvacuatedDataCentre{{Name: "a2", Revision: 9}, {Name: "mars", Revision: 7, Unknown: true}}}},
		{Address: "10.0.0.2:1", Answer: &mesh.Status{}},
		{Address: "10.0.0.3:1"},
	})
	require.Regexp(t, `SUSPECTS +EVACUATED$`, lines[0])
	require.Regexp(t, `^10.0.0.1:1 .* a2@9, mars@7 \(unknown\)$`, lines[1])
	require.Regexp(t, `^10.0.0.2:1 .* -$`, lines[2])
	require.Regexp(t, `^10.0.0.3:1 +no answer`, lines[3])
}

// Guards against an operator who cannot see which daemons have not noticed that the store was restored from a copy.
func TestMeshStatusShowsTheEra(t *testing.T) {
	lines := meshLines([]answer[mesh.Status]{
		{Address: "10.0.0.1:1", Answer: &mesh.Status{Revision: 450, Era: 1}},
		{Address: "10.0.0.2:1", Answer: &mesh.Status{Revision: 500}},
	})
	require.Regexp(t, `SUSPECTS +ERA$`, lines[0])
	require.Regexp(t, `^10.0.0.1:1 .* 450 .* 1$`, lines[1])
	require.Regexp(t, `^10.0.0.2:1 .* 500 .* 0$`, lines[2])
}
