package mesh

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/drain"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/retry"
	"mangoshed.example/mangoshed/core/route"
)

// newRetryIngress returns an ingress that expects runs of 80 ms and whose retry budget allows retries.
func newRetryIngress(t *testing.T, now time.Time) *Ingress {
	measured, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	i := &Ingress{
		placer: placement.New(model.Place{}, placement.DefaultCosts, 1), metrics: measured,
		budget: retry.NewFleetBudget(retry.FleetRules{Allowance: 10, Window: time.Second}, now),
	}
	require.Equal(t, 80*time.Millisecond, i.placer.MeanRun("read"))
	return i
}

func newRetryRequest(now time.Time, kind route.Kind) *request {
	return &request{route: &route.Route{Name: "read", Kind: kind, MaxAttempts: 2}, service: "back", deadline: now.Add(10 * time.Second)}
}

// interruptedRun returns the result of a run that was interrupted because the instance's daemon ended.
func interruptedRun() Result {
	return Result{Arrived: true, Refusal: mayHaveRun(refusal.Cut, "the daemon stopped")}
}

// Guards against failing a request because the daemon of its first instance ended, although the
// request may be retried and other instances will soon have a free slot.
func TestRunInterruptedByAShutdownIsRetried(t *testing.T) {
	now := time.Now()
	i := newRetryIngress(t, now)
	full := Result{Refusal: notRun(refusal.Overloaded, "full", 0)}
	req := newRetryRequest(now, route.Safe)
	for range retry.FreeSlotAttempts {
		i.recordAttempt(req, &Job{Instance: "full"}, &full)
	}
	res := interruptedRun()
	i.recordAttempt(req, &Job{Instance: "ends"}, &res)
	require.True(t, i.shouldRetry(t.Context(), req, &res))
	require.True(t, req.mayQueue())
	require.Equal(t, []model.InstanceID{"ends"}, req.excluded())
	for range retry.FreeSlotAttempts {
		i.recordAttempt(req, &Job{Instance: "full"}, &full)
		require.True(t, i.shouldRetry(t.Context(), req, &full), "other instances may queue the request")
	}

	res = interruptedRun()
	unsafe := newRetryRequest(now, route.Unsafe)
	i.recordAttempt(unsafe, &Job{Instance: "ends"}, &res)
	require.False(t, i.shouldRetry(t.Context(), unsafe, &res))

	failed := Result{Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "the connection failed")}
	other := newRetryRequest(now, route.Safe)
	i.recordAttempt(other, &Job{Instance: "fails"}, &failed)
	require.True(t, i.shouldRetry(t.Context(), other, &failed))
	require.False(t, other.mayQueue(), "the failure is probably due to overload")
}

// Guards against a stopping daemon that fails a request without a retry although a retry might still
// finish before the process ends.
func TestStoppingDaemonRetriesUntilItsProcessEnds(t *testing.T) {
	now := time.Now()
	i := newRetryIngress(t, now)
	for left, want := range map[time.Duration]struct{ first, repeated bool }{
		time.Second:            {true, true},
		161 * time.Millisecond: {true, true},
		160 * time.Millisecond: {false, true},
		40 * time.Millisecond:  {false, true},
		39 * time.Millisecond:  {false, false},
	} {
		i.plan.Store(&drain.Plan{AbortAt: now.Add(left)})
		req := newRetryRequest(now, route.Safe)
		require.Equal(t, want.first, i.hasTimeForAttempt(req, now), left)
		req.mayHaveRun = true
		require.Equal(t, want.repeated, i.hasTimeForAttempt(req, now), left)
	}
}

// Guards against giving no retry to a request whose run was interrupted by a graceful shutdown,
// because the other instances were full at the first attempt.
func TestInterruptedRunMayRetryAtFullInstances(t *testing.T) {
	now := time.Now()
	i := newRetryIngress(t, now)
	req := newRetryRequest(now, route.Safe)
	full := Result{Refusal: notRun(refusal.Overloaded, "full", 0)}
	i.recordAttempt(req, &Job{Instance: "full", MayWait: true}, &full)
	require.Equal(t, []model.InstanceID{"full"}, req.excluded())
	res := interruptedRun()
	i.recordAttempt(req, &Job{Instance: "ends"}, &res)
	require.Equal(t, []model.InstanceID{"ends"}, req.excluded())
}
