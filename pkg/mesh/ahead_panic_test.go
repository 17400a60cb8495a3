package mesh

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/refusal"
)

// Guards against a panic in a request that runs ahead and ends the process: net/http recovers those of
// handlers only. The ingress of the test has no retry budget, which makes the request panic.
func TestPanicOfARequestThatRunsAheadIsARefusal(t *testing.T) {
	i := newDrainIngress(t)
	i.log = newRequestLog(zap.NewNop(), 1)
	var err error
	i.metrics, err = newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	req, refused := accept(i, "new", nil)
	require.Nil(t, refused)
	i.active.Add(1)
	run := &aheadRun{ingress: i, req: req, cancel: func(error) {}, done: make(chan struct{})}
	run.send(context.Background())
	<-run.done
	require.Equal(t, refusal.UpstreamFailed, run.res.Refusal.Kind)
	require.Equal(t, refusal.MayHaveRun, run.res.Refusal.Run)
	run.Drop()
	run.Drop()
	require.Zero(t, i.active.Load(), "a run that is dropped twice counts once")
}

// Guards against a setting of 0 that does not turn read-ahead off.
func TestNoPipelinedRequestsTurnReadAheadOff(t *testing.T) {
	i := newDrainIngress(t)
	require.Nil(t, i.pipelining(0))
	require.NotNil(t, i.pipelining(1))
}
