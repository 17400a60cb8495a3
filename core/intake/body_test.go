package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Simulates uploads whose connections fall silent while their bodies are on the way, in eight of nine
// slots. Guards against taking the upstream, which runs none of them, for slow: other calls would be
// refused although a slot is free.
func TestAwaitedBodiesAreNoSlowRuns(t *testing.T) {
	q := New(9)
	setRunTime(q, "upload", 70)
	setRunTime(q, "read", 100)
	silent := make([]*Call, 8)
	for i := range silent {
		silent[i], _ = call("upload", 1, 0, 600, 1200)
		require.Equal(t, Started, q.Offer(at(0), silent[i], false))
		silent[i].AwaitingBody = true
	}
	by := q.LatestStart(at(0), silent[0])
	require.Equal(t, at(1200).Add(-70*time.Millisecond/remainingDivisor), by)
	c, _ := call("read", 1, 1100, 250, 300)
	require.Equal(t, Started, q.Offer(at(1100), c, true))
	q.Done(at(1200), c, true)
	for _, c := range silent {
		q.Withdraw(by, c)
	}
	require.Equal(t, 70*time.Millisecond, q.Expected(by, "upload"), "no run was measured")
	require.Zero(t, q.Load(by).Running)
}

// Guards against a slot that stays free, until the next event, after a call was withdrawn.
func TestWaitingCallGetsTheSlotOfAWithdrawnOne(t *testing.T) {
	q := New(1)
	first, _ := call("upload", 1, 0, 600, 1200)
	require.Equal(t, Started, q.Offer(at(0), first, false))
	second, o := call("read", 1, 0, 5000, 5000)
	require.Equal(t, Waiting, q.Offer(at(0), second, true))
	q.Withdraw(at(1000), first)
	require.Equal(t, []Verdict{Started}, o.verdicts)
	q.Withdraw(at(1000), first)
	require.Equal(t, 1, q.Load(at(1000)).Running, "a call is withdrawn once")
}
