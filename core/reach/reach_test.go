package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newMonitor(n int) (*Monitor, []string) {
	var hosts []string
	for i := range n {
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	m := New(start, 1)
	m.SetHosts(hosts)
	return m, hosts
}

// Guards against excluding a host because of one lost packet.
func TestProbeClearsASuspect(t *testing.T) {
	m, _ := newMonitor(5)
	m.RequestFailed(at(0), "h1")
	require.False(t, m.Unreachable("h1"), "a suspect host is still used")
	require.Equal(t, []string{"h1"}, m.DueProbes(at(0)))
	require.Empty(t, m.DueProbes(at(1)), "one probe at a time")
	require.False(t, m.MarkAlive(at(2), "h1"))
	require.Empty(t, m.DueProbes(at(5000)))
}

// Guards against sending requests to unreachable hosts, and against not using them for longer than
// about a second after the end of the partition.
func TestUnreachableHostIsProbedUntilItAnswers(t *testing.T) {
	m, _ := newMonitor(5)
	m.RequestFailed(at(0), "h1")
	probes := 0
	for ms := 0; ms < 20_000; ms += 10 {
		m.MarkAlive(at(ms), "h2")
		for _, name := range m.DueProbes(at(ms)) {
			probes++
			m.ProbeFailed(at(ms), name, "no response")
			require.True(t, m.Unreachable("h1"))
		}
	}
	require.Greater(t, probes, 12)
	require.Less(t, probes, 45)
	require.False(t, m.Isolated(at(20_000)), "other hosts respond")
	answered := 0
	for ms := 20_000; ms < 20_000+1500 && answered == 0; ms += 10 {
		for _, name := range m.DueProbes(at(ms)) {
			require.True(t, m.MarkAlive(at(ms), name))
			answered++
		}
	}
	require.Equal(t, 1, answered)
	require.False(t, m.Unreachable("h1"))
}

// Guards against a daemon that keeps its callers although a partition isolates it from all other
// daemons, and against one that stays isolated after the partition has ended.
func TestIsolationIsDetected(t *testing.T) {
	m, hosts := newMonitor(20)
	for i := range 6 {
		m.RequestFailed(at(100*i), hosts[i])
	}
	isolated := -1
	for ms := 0; ms < 3000; ms += 10 {
		for _, name := range m.DueProbes(at(ms)) {
			m.ProbeFailed(at(ms), name, "no response")
		}
		if isolated < 0 && m.Isolated(at(ms)) {
			isolated = ms
		}
	}
	require.GreaterOrEqual(t, isolated, int(isolatedAfter/time.Millisecond))
	require.Less(t, isolated, 1000)
	require.True(t, m.MarkAlive(at(3000), hosts[3]))
	require.False(t, m.Isolated(at(3000)))
	require.NotEmpty(t, m.DueProbes(at(3000)), "the others are probed at once")
}

// Guards against counting a daemon as isolated because there are no other hosts, because it has no
// traffic or because a single host is unreachable.
func TestDaemonWithoutTrafficIsNotIsolated(t *testing.T) {
	m, _ := newMonitor(0)
	require.False(t, m.Isolated(at(60_000)))
	m, _ = newMonitor(5)
	require.False(t, m.Isolated(at(60_000)))
	m.RequestFailed(at(60_000), "h1")
	m.ProbeFailed(at(60_100), "h1", "no response")
	require.False(t, m.Isolated(at(60_200)), "one host of five")
}

// Guards against keeping the state of hosts that are no longer in the fleet.
func TestHostsThatLeftAreForgotten(t *testing.T) {
	m, hosts := newMonitor(5)
	m.RequestFailed(at(0), "h1")
	m.RequestFailed(at(0), "stranger")
	m.ProbeFailed(at(100), "h1", "no response")
	require.Equal(t, 1, m.UnreachableCount())
	m.SetHosts(hosts[2:])
	require.Zero(t, m.UnreachableCount())
	require.Empty(t, m.DueProbes(at(5000)))
}
