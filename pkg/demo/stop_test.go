package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
)

// awaitOwners waits until the instances own keys: after the start of a whole service claims
// are answered unknown_outcome for seconds.
func awaitOwners(t *testing.T, s *site) {
	c := newCallers(s.services(), s.targets(), s.ledger)
	random := rand.New(rand.NewPCG(1, 1))
	sent, inSequence := 0, 0
	require.Eventually(t, func() bool {
		sent++
		req := c.request(http.MethodPost, c.services[sent%len(c.services)], pathClaim, nil, random)
		req.Header.Set(refusal.HeaderKey, fmt.Sprintf("start-%d", sent))
		req.Header.Set(refusal.HeaderCreated, strconv.FormatInt(time.Now().UnixMilli(), 10))
		if answer, _ := c.exchange(req); answer == nil {
			inSequence = 0
			return false
		}
		inSequence++
		return inSequence == 50
	}, 2*startTimeout, pollInterval)
}

// Guards against a planned stop of a whole data centre that cuts a request, while callers
// call its daemons and the others.
func TestPlannedStopOfDataCentre(t *testing.T) {
	d, err := FindDeployment("kopi")
	require.NoError(t, err)
	s, err := newSite(d, false, zap.NewNop())
	require.NoError(t, err)
	f := &fleet{site: s}
	require.NoError(t, f.awaitReady(t.Context()))
	awaitOwners(t, s)
	c := newCallers(s.services(), s.targets(), s.ledger)
	ctx, stop := context.WithCancel(t.Context())
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.run(ctx, callerCount, 1)
	}()
	drainCtx, cancel := context.WithTimeout(t.Context(), convergenceTimeout)
	defer cancel()
	var group sync.WaitGroup
	stopped := model.Place{Region: "penang", DataCentre: "b"}
	for _, daemon := range s.daemons {
		if daemon.Self().Place == stopped {
			group.Go(func() {
				if err := daemon.Drain(drainCtx); err != nil {
					t.Errorf("%s cut calls: %v", daemon.Self().ID, err)
				}
			})
		}
	}
	group.Wait()
	stop()
	<-finished
	totals := c.result()
	t.Logf("%+v", totals)
	s.kill()
	require.Positive(t, totals.Calls-totals.Failed-totals.Refused)
	require.Zero(t, totals.Cut)
	require.Zero(t, totals.Failed)
	require.Zero(t, c.falseNotRun())
	require.Zero(t, s.ledger.doubled())
}
