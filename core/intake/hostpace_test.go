package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pace that counts for longer than its lifetime, or not at all while it is new.
func TestHostPaceLosesItsWeight(t *testing.T) {
	p := HostPace{Factor: 2.5, At: at(0)}
	require.InDelta(t, 2.5, p.Current(at(0)), 1e-9)
	require.InDelta(t, 1.75, p.Current(at(300)), 1e-9)
	require.InDelta(t, 1.0, p.Current(at(600)), 1e-9)
	require.InDelta(t, 1.0, p.Current(at(60_000)), 1e-9)
	require.InDelta(t, 1.0, HostPace{}.Current(at(0)), 1e-9)
}

// Guards against an upstream whose host was slow for a while and that is taken for a slow one
// afterwards: runs are learned at the usual pace.
func TestRunsAreLearnedAtTheUsualPace(t *testing.T) {
	q := New(4)
	setRunTime(q, "r", 100)
	for n := range 20 {
		begin := n * 250
		q.SetHostPace(at(begin), 2.5)
		c, _ := call("r", 0, begin, 5000, 10_000)
		require.Equal(t, Started, q.Offer(at(begin), c, true))
		q.SetHostPace(at(begin+250), 2.5)
		require.InDelta(t, 100, q.Done(at(begin+250), c, true).Milliseconds(), 25)
	}
	require.InDelta(t, 100, q.Expected(at(5000), "r").Milliseconds(), 25)
	// The slow run of a shutdown keeps what the pace adds.
	c, _ := call("r", 0, 5000, 5000, 10_000)
	require.InDelta(t, 250, q.slowRun(c).Milliseconds(), 5)
}

// Guards against a run that is charged with the pace of another time: half of it was at the usual pace.
func TestRunAcrossAChangeOfThePace(t *testing.T) {
	q := New(4)
	q.SetHostPace(at(0), 1)
	c, _ := call("r", 0, 0, 5000, 10_000)
	require.Equal(t, Started, q.Offer(at(0), c, true))
	for ms := 10; ms <= 100; ms += 10 {
		q.SetHostPace(at(ms), 1)
	}
	for ms := 110; ms <= 300; ms += 10 {
		q.SetHostPace(at(ms), 2)
	}
	require.InDelta(t, 200, q.Done(at(300), c, true).Milliseconds(), 5)
}

// Guards against a guard that starts requests, or lets them wait, which cannot meet their deadline while
// the host is slow, and against one that refuses them for longer than the pace has weight.
func TestSlowPaceRaisesTheEstimates(t *testing.T) {
	q := New(1)
	setRunTime(q, "r", 100)
	running, _ := call("r", 0, 0, 5000, 10_000)
	require.Equal(t, Started, q.Offer(at(0), running, true))
	require.Equal(t, 100*time.Millisecond, q.Load(at(0)).Next)
	q.SetHostPace(at(0), 3)
	require.Equal(t, 300*time.Millisecond, q.Load(at(0)).Next)
	require.Equal(t, 100*time.Millisecond, q.Expected(at(0), "r"), "the expected time without the pace")
	short, _ := call("r", 0, 0, 100, 350)
	require.Equal(t, Overloaded, q.Offer(at(0), short, true))
	later, _ := call("r", 0, 900, 300, 400)
	q.Done(at(850), running, false)
	require.Equal(t, Started, q.Offer(at(900), later, true))
}

// Guards against an upstream that looks overdue, so that it is taken for slow, because of the pace of its
// host alone.
func TestPaceMakesNoRunOverdue(t *testing.T) {
	for _, pace := range []float64{1, 2.5} {
		q := New(9)
		setRunTime(q, "r", 100)
		q.SetHostPace(at(0), pace)
		for range 9 {
			c, _ := call("r", 0, 0, 5000, 10_000)
			require.Equal(t, Started, q.Offer(at(0), c, true))
		}
		q.SetHostPace(at(100), pace)
		q.SetHostPace(at(230), pace)
		if pace == 1 {
			require.Greater(t, q.Expected(at(230), "r"), 110*time.Millisecond)
			continue
		}
		require.Equal(t, 100*time.Millisecond, q.Expected(at(230), "r"))
		// A run that is late beyond what the pace explains still shows.
		for ms := 300; ms <= 900; ms += 100 {
			q.SetHostPace(at(ms), pace)
		}
		require.Greater(t, q.Expected(at(900), "r"), 150*time.Millisecond)
	}
}

// Guards against the pace of a process that has been replaced, and against figures out of range.
func TestHostPaceOfAnotherProcessAndOutOfRange(t *testing.T) {
	q := New(1)
	q.SetHostPace(at(0), 3)
	q.ResetHostPace()
	require.Zero(t, q.HostPace())
	require.InDelta(t, 1.0, q.HostPace().Current(at(0)), 1e-9)
	q.SetHostPace(at(0), 1e9)
	require.InDelta(t, MaxHostPace, q.HostPace().Factor, 1e-9)
}
