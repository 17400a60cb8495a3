package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"pgregory.net/rapid"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/placement"
)

// Guards against a service that no other daemon ever calls again (503, no_instance) because its hosts were
// unreachable when the store removed their entries.
func TestHostThatIsListedAgainIsUsed(t *testing.T) {
	f := newReachFleet(t)
	f.view("10.0.0.1", "10.0.0.2")
	f.lose("10.0.0.1")
	f.lose("10.0.0.2")
	require.Nil(t, f.choose().Instance)
	f.view()
	f.view("10.0.0.1", "10.0.0.2")
	require.NotNil(t, f.choose().Instance)
}

// Guards against a host that is left out for good because a response of it arrives while the failure of a
// probe is being recorded.
func TestResponseDuringAFailedProbeKeepsTheHostInUse(t *testing.T) {
	f := newReachFleet(t)
	f.view("10.0.0.1")
	f.log = f.log.WithOptions(zap.Hooks(func(e zapcore.Entry) error {
		if e.Message == "daemon_unreachable" {
			f.markAlive(time.Now(), "10.0.0.1")
		}
		return nil
	}))
	f.lose("10.0.0.1")
	require.NotNil(t, f.choose().Instance)
}

// Guards against a recovery that leaves the instances of a host excluded for the rest of the time that their
// failures have earned them.
func TestRecoveryEndsTheExclusionAfterFailures(t *testing.T) {
	f := newReachFleet(t)
	f.view("10.0.0.1", "10.0.0.2")
	now := time.Now()
	for range 8 {
		if c, ok := f.placer.Choose(now, placement.Query{Service: "s", Route: "r", Slack: time.Second}); ok {
			f.placer.Done(now, c, "r", placement.Report{Outcome: placement.Unreachable})
		}
	}
	f.lose("10.0.0.1")
	f.markAlive(time.Now(), "10.0.0.1")
	for range 20 {
		require.Equal(t, model.InstanceID("at-10.0.0.1"), f.choose().Instance.ID)
	}
}

// randomHosts are the hosts of the random test. Each has two instances at most.
var randomHosts = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}

// randomFleet plays random events against the reachability and the placer of a daemon.
type randomFleet struct {
	*reachFleet
	t      *rapid.T
	now    time.Time
	listed map[string]bool // hosts in the view
	// probes are the hosts whose probes are in flight.
	probes []string
	// overlaps is set while an event is played in the middle of another one.
	overlaps bool
}

// overlap may play another event in the middle of the present one, as another goroutine can.
func (f *randomFleet) overlap() {
	if f.overlaps || !rapid.Bool().Draw(f.t, "overlap") {
		return
	}
	f.overlaps = true
	defer func() { f.overlaps = false }()
	f.event()
}

// changeView passes on a view with a random part of the hosts. A host may return with other instances, as
// another machine at the same address, and the data centre may be evacuated.
func (f *randomFleet) changeView() {
	v := &catalog.View{}
	f.listed = make(map[string]bool)
	for _, host := range randomHosts {
		for n := range rapid.IntRange(0, 2).Draw(f.t, "instances") {
			inst := catalog.Instance{Slots: 9}
			machine := rapid.IntRange(1, 2).Draw(f.t, "machine")
			inst.ID, inst.Service, inst.ForwardAddr = model.InstanceID(fmt.Sprint(host, "-", machine, "-", n)), host, fmt.Sprint(host, ":", n+1)
			inst.Place = model.Place{Region: "a", DataCentre: "a1"}
			v.Instances = append(v.Instances, inst)
			f.listed[host] = true
		}
	}
	if rapid.IntRange(0, 4).Draw(f.t, "evacuated") == 0 {
		v.Evacuated = []catalog.Evacuation{{DataCentre: "a1"}}
		f.listed = nil
	}
	f.placer.Update(f.now, v)
	f.overlap()
	f.update(v)
}

// event plays a random event.
func (f *randomFleet) event() {
	host := rapid.SampledFrom(randomHosts).Draw(f.t, "host")
	switch rapid.IntRange(0, 5).Draw(f.t, "event") {
	case 0:
		// No view is passed on in the middle of another event of the view.
		if !f.overlaps {
			f.changeView()
		}
	case 1:
		f.requestFailed(f.now, host)
	case 2:
		f.markAlive(f.now, host)
	case 3:
		f.probes = append(f.probes, f.monitor.DueProbes(f.now)...)
	case 4:
		f.endProbe(rapid.Bool().Draw(f.t, "answered"))
	default:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(f.t, "ms")) * time.Millisecond)
	}
}

// endProbe ends a random probe in flight.
func (f *randomFleet) endProbe(answered bool) {
	if len(f.probes) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.probes)-1).Draw(f.t, "probe")
	host := f.probes[i]
	f.probes = append(f.probes[:i], f.probes[i+1:]...)
	if answered {
		f.markAlive(f.now, host)
		return
	}
	f.probeFailed(f.now, host, errProbe)
}

// usable reports whether a request to the host can be placed.
func (f *randomFleet) usable(host string) bool {
	c, ok := f.placer.Choose(f.now, placement.Query{Service: host, Route: "r", Slack: time.Second})
	if ok {
		f.placer.Done(f.now, c, "r", placement.Report{Outcome: placement.Cancelled})
	}
	return ok
}

// Guards against a host that gets no requests although nothing holds it to be unreachable, so that no probe
// ever ends that, and against one that does while it is unreachable. View changes, failed requests, traffic
// and the ends of probes come in any order, also in the middle of each other.
func TestOnlyUnreachableHostsAreLeftOut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &randomFleet{reachFleet: newReachFleet(t), t: rt, now: time.Unix(1000, 0)}
		f.log = f.log.WithOptions(zap.Hooks(func(zapcore.Entry) error {
			f.overlap()
			return nil
		}))
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			f.event()
			for _, host := range randomHosts {
				require.Equal(rt, f.listed[host] && !f.monitor.Unreachable(host), f.usable(host), "host %s", host)
			}
		}
		// All hosts respond from now on. Each is probed within one and a half times the longest pause of a second.
		for end := f.now.Add(2 * time.Second); f.now.Before(end); f.now = f.now.Add(probeCheckInterval) {
			f.probes = append(f.probes, f.monitor.DueProbes(f.now)...)
			for len(f.probes) > 0 {
				f.endProbe(true)
			}
		}
		for _, host := range randomHosts {
			require.Equal(rt, f.listed[host], f.usable(host), "host %s at the end", host)
		}
	})
}
