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

// repeatingIngress returns an ingress that expects runs of 80 ms, with room in its budget.
func repeatingIngress(t *testing.T, now time.Time) *Ingress {
	measured, err := newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	i := &Ingress{
		placer: placement.New(model.Place{}, placement.DefaultCosts, 1), metrics: measured,
		budget: retry.NewFleetBudget(retry.FleetRules{Allowance: 10, Window: time.Second}, now),
	}
	require.Equal(t, 80*time.Millisecond, i.placer.MeanRun("read"))
	return i
}

func repeatedRequest(now time.Time, kind route.Kind) *request {
	return &request{route: &route.Route{Name: "read", Kind: kind, MaxAttempts: 2}, service: "back", deadline: now.Add(10 * time.Second)}
}

// ranUntilTheEnd is the result of a run that the end of the daemon beside the upstream broke off.
func ranUntilTheEnd() Result {
	return Result{Arrived: true, Refusal: mayHaveRun(refusal.Cut, "the daemon stopped")}
}

// Guards against a request that fails because the daemon beside its first instance ended, though
// it may be repeated and others have room soon.
func TestRunThatAStopBrokeOffIsRepeated(t *testing.T) {
	now := time.Now()
	i := repeatingIngress(t, now)
	full := Result{Refusal: notRun(refusal.Overloaded, "full", 0)}
	req := repeatedRequest(now, route.Safe)
	for range freeSlotAttempts {
		i.recordAttempt(req, &Job{Instance: "full"}, &full)
	}
	res := ranUntilTheEnd()
	i.recordAttempt(req, &Job{Instance: "ends"}, &res)
	require.True(t, i.shouldRetry(t.Context(), req, &res))
	require.True(t, req.mayQueue())
	require.Equal(t, []model.InstanceID{"ends"}, req.excluded())
	for range freeSlotAttempts {
		i.recordAttempt(req, &Job{Instance: "full"}, &full)
		require.True(t, i.shouldRetry(t.Context(), req, &full), "others may let it wait")
	}

	res = ranUntilTheEnd()
	unsafe := repeatedRequest(now, route.Unsafe)
	i.recordAttempt(unsafe, &Job{Instance: "ends"}, &res)
	require.False(t, i.shouldRetry(t.Context(), unsafe, &res))

	failed := Result{Arrived: true, Refusal: mayHaveRun(refusal.UpstreamFailed, "the connection failed")}
	other := repeatedRequest(now, route.Safe)
	i.recordAttempt(other, &Job{Instance: "fails"}, &failed)
	require.True(t, i.shouldRetry(t.Context(), other, &failed))
	require.False(t, other.mayQueue(), "what failed it is mostly a lack of room")
}

// Guards against a stopping daemon that lets a request fail, which another run would save, because
// that run may come too late.
func TestStoppingDaemonRepeatsUntilItsEnd(t *testing.T) {
	now := time.Now()
	i := repeatingIngress(t, now)
	for left, want := range map[time.Duration]struct{ first, repeated bool }{
		time.Second:            {true, true},
		161 * time.Millisecond: {true, true},
		160 * time.Millisecond: {false, true},
		40 * time.Millisecond:  {false, true},
		39 * time.Millisecond:  {false, false},
	} {
		i.plan.Store(&drain.Plan{AbortAt: now.Add(left)})
		req := repeatedRequest(now, route.Safe)
		require.Equal(t, want.first, i.hasTimeForAttempt(req, now), left)
		req.mayHaveRun = true
		require.Equal(t, want.repeated, i.hasTimeForAttempt(req, now), left)
	}
}

// Guards against a run that a planned end broke off and that is not repeated, because the other
// instances had no room when it was first placed.
func TestBrokenOffRunMayGoWhereThereWasNoRoom(t *testing.T) {
	now := time.Now()
	i := repeatingIngress(t, now)
	req := repeatedRequest(now, route.Safe)
	full := Result{Refusal: notRun(refusal.Overloaded, "full", 0)}
	i.recordAttempt(req, &Job{Instance: "full", MayWait: true}, &full)
	require.Equal(t, []model.InstanceID{"full"}, req.excluded())
	res := ranUntilTheEnd()
	i.recordAttempt(req, &Job{Instance: "ends"}, &res)
	require.Equal(t, []model.InstanceID{"ends"}, req.excluded())
}
