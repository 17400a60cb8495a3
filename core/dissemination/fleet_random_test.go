package dissemination

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/model"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "2026", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if !given(name) {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

func given(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

// Guards I1, I2, I3 and I9 under random orders of faults, several at a time: after the
// last fault ends, the newest version is in effect everywhere within 14 s, and all
// views are equal.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt, 3)
		f.startAll()
		s := &script{fleet: f, version: 1, published: []model.Version{1}}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			s.step(rt)
			f.run(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 30, 300, 2000, 12000}).Draw(rt, "ms")) * time.Millisecond)
		}
		s.heal()
		took := f.runUntil(30*time.Second, f.converged(s.version))
		f.requireConverged(s.version)
		require.Less(rt, took, 14*time.Second)
		f.run(60 * time.Second)
		for _, id := range f.ids {
			require.Equal(rt, f.nodes[f.ids[0]].view, f.nodes[id].view, "%s", id)
			require.True(rt, f.nodes[id].ready, "%s", id)
		}
	})
}

// script performs random faults on a fleet.
type script struct {
	fleet   *fleet
	version model.Version
	// published holds all versions published so far.
	published []model.Version
}

func (s *script) step(rt *rapid.T) {
	f := s.fleet
	n := f.nodes[rapid.SampledFrom(f.ids).Draw(rt, "daemon")]
	switch rapid.IntRange(0, 11).Draw(rt, "fault") {
	case 0, 1, 2:
		s.publish(model.Version(rapid.IntRange(1, 40).Draw(rt, "step")))
	case 3:
		_, m, segments := build(f.t, rapid.SampledFrom(s.published).Draw(rt, "rolled back to"), 0, nil)
		f.put(m, segments)
	case 4:
		_, m, segments := build(f.t, s.version+1000, 0, nil)
		m.TableDigest[0]++
		f.put(m, segments)
	case 5, 6:
		if n.alive {
			f.kill(n.instance.ID)
		} else {
			f.start(n.instance.ID)
		}
	case 7:
		n.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "pause")) * time.Millisecond)
	case 8:
		f.partition(!f.cut)
	case 9:
		f.storeDown = !f.storeDown
		f.notify()
	case 10:
		var dead []model.InstanceID
		for _, id := range f.ids {
			if !f.nodes[id].alive {
				dead = append(dead, id)
			}
		}
		f.list(dead...)
	case 11:
		if n.alive {
			f.deliver(n, Leave{})
			f.run(time.Second)
			f.kill(n.instance.ID)
		}
	}
}

func (s *script) publish(step model.Version) {
	s.version += step
	s.published = append(s.published, s.version)
	s.fleet.publish(s.version)
}

// heal ends all faults and publishes a last version.
func (s *script) heal() {
	f := s.fleet
	f.storeDown = false
	f.partition(false)
	for _, id := range f.ids {
		f.nodes[id].pausedUntil = time.Time{}
		if !f.nodes[id].alive {
			f.start(id)
		}
	}
	f.list()
	s.publish(1)
}
