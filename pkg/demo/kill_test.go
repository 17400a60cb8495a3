package demo

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against a claim that runs twice, an untrue not-run and a version that goes back
// while daemons die without notice and start again, on real connections.
func TestInvariantsWhileDaemonsDie(t *testing.T) {
	d, err := FindDeployment("haddad")
	require.NoError(t, err)
	s, err := newSite(d, true, zap.NewNop())
	require.NoError(t, err)
	f := &fleet{site: s}
	require.NoError(t, f.awaitReady(t.Context()))
	c := newCallers(s.services(), s.targets(), s.ledger)
	ctx, stop := context.WithCancel(t.Context())
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.run(ctx, callerCount, 1)
	}()
	for n := range 4 {
		s.table = editTable(s.table, n)
		version, _, err := s.publish()
		require.NoError(t, err)
		index := n * replaceStride % len(s.daemons)
		f.daemons[index].Kill()
		require.NoError(t, f.restart(index))
		f.announceInstances()
		c.setTargets(s.targets())
		require.NoError(t, f.awaitReady(t.Context()))
		waitCtx, cancel := context.WithTimeout(t.Context(), convergenceTimeout)
		_, converged := s.progress.wait(waitCtx, version, len(s.daemons))
		cancel()
		require.True(t, converged)
	}
	stop()
	<-finished
	totals := c.result()
	t.Logf("%+v", totals)
	drainCtx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s.stop(drainCtx)
	require.Positive(t, totals.Calls-totals.Failed-totals.Refused)
	require.Zero(t, s.ledger.doubled())
	require.Zero(t, c.falseNotRun())
	require.Zero(t, s.progress.regressionCount())
}
