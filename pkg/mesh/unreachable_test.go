package mesh

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

var errProbe = errors.New("no response to the probe")

// reachFleet is the reachability and the placer of a daemon on host 10.0.0.9 whose service "s" has
// instances on other hosts.
type reachFleet struct {
	*reachability
	logged bytes.Buffer
}

func newReachFleet(t testing.TB) *reachFleet {
	f := &reachFleet{}
	log, err := telemetry.NewLogger(&f.logged, "info")
	require.NoError(t, err)
	f.reachability = newReachability(time.Now(), "10.0.0.9", 1, nil, placement.New(model.Place{Region: "a", DataCentre: "a1"}, placement.DefaultCosts, 1), log)
	return f
}

// view passes on a view with an instance on each of the hosts.
func (f *reachFleet) view(hosts ...string) {
	v := &catalog.View{}
	for _, host := range hosts {
		inst := catalog.Instance{Slots: 9}
		inst.ID, inst.Service, inst.ForwardAddr = model.InstanceID("at-"+host), "s", host+":1"
		inst.Place = model.Place{Region: "a", DataCentre: "a1"}
		v.Instances = append(v.Instances, inst)
	}
	f.placer.Update(time.Now(), v)
	f.update(v)
}

// lose lets a request to the host and the probe after it fail.
func (f *reachFleet) lose(host string) {
	now := time.Now()
	f.requestFailed(now, host)
	f.monitor.DueProbes(now)
	f.probeFailed(now, host, errProbe)
}

// choose returns the choice for a request to the service, which it does not send.
func (f *reachFleet) choose() placement.Choice {
	now := time.Now()
	c, ok := f.placer.Choose(now, placement.Query{Service: "s", Route: "r", Slack: time.Second})
	if ok {
		f.placer.Done(now, c, "r", placement.Report{Outcome: placement.Cancelled})
	}
	return c
}

// gather returns the values of the metrics about unreachable hosts.
func (f *reachFleet) gather(t testing.TB) map[string][]float64 {
	registry := prometheus.NewRegistry()
	registry.MustRegister(newUnreachableCollector(f.reachability))
	families, err := registry.Gather()
	require.NoError(t, err)
	values := make(map[string][]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			values[family.GetName()] = append(values[family.GetName()], metric.GetGauge().GetValue())
		}
	}
	return values
}

// Guards against a host that gets no requests without a trace in the log, the metrics and the status after
// the line about its first failure.
func TestUnreachableHostsAreReportedWhileTheyLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReachFleet(t)
		f.view("10.0.0.1", "10.0.0.2")
		f.lose("10.0.0.1")
		f.lose("10.0.0.2")
		require.Equal(t, 2, f.choose().Unusable.Unreachable)
		for range 30 {
			time.Sleep(time.Second)
			now := time.Now()
			f.mu.Lock()
			report := f.dueReport(now)
			f.mu.Unlock()
			logUnreachable(f.log, now, report)
		}
		require.Equal(t, 3, strings.Count(f.logged.String(), `event=daemons_unreachable count=2`))
		require.Contains(t, f.logged.String(), `hosts=10.0.0.1,10.0.0.2 cause="no response to the probe"`)
		listed, total := f.status()
		require.Equal(t, 2, total)
		require.Equal(t, "10.0.0.1", listed[0].Host)
		require.Equal(t, "no response to the probe", listed[0].Cause)
		require.Equal(t, 30*time.Second, time.Since(listed[0].Since))
		require.Equal(t, map[string][]float64{"mangoshed_unreachable_hosts": {2}, "mangoshed_unreachable_host_seconds": {30, 30}}, f.gather(t))

		f.markAlive(time.Now(), "10.0.0.1")
		f.view("10.0.0.1")
		require.Contains(t, f.logged.String(), "event=daemon_reachable host=10.0.0.1 after=30")
		require.Contains(t, f.logged.String(), "event=unreachable_daemon_unlisted host=10.0.0.2 after=30")
		_, total = f.status()
		require.Zero(t, total)
	})
}

// Guards against a status, metrics and log lines that grow with the fleet during a partition.
func TestListOfUnreachableHostsIsBounded(t *testing.T) {
	f := newReachFleet(t)
	hosts := make([]string, 3*maxUnreachableListed)
	for i := range hosts {
		hosts[i] = "10.0.1." + string(rune('A'+i))
	}
	f.view(hosts...)
	for _, host := range hosts {
		f.lose(host)
	}
	listed, total := f.status()
	require.Len(t, listed, maxUnreachableListed)
	require.Equal(t, len(hosts), total)
	require.Len(t, f.gather(t)["mangoshed_unreachable_host_seconds"], maxUnreachableListed)
}
