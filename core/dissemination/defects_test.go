package dissemination

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/model"
	"pgregory.net/rapid"
)

// silent is a double of a daemon that sends beacons and forwards no version.
func silent(mute model.InstanceID) func(*node, Action) []Action {
	return func(n *node, a Action) []Action {
		if send, ok := a.(Send); ok && n.instance.ID == mute && (kind(send.Data[0]) == kindDelta || kind(send.Data[0]) == kindFull) {
			return nil
		}
		return []Action{a}
	}
}

var errStopped = errors.New("stopped by a failed check")

// recorder keeps the failure of a check instead of failing the test.
type recorder struct {
	rapid.TB
	report string
}

func (r *recorder) Errorf(format string, args ...any) { r.report += fmt.Sprintf(format, args...) }
func (r *recorder) FailNow()                          { panic(errStopped) }

// reported runs a scenario and returns what its checks report.
func reported(t *testing.T, scenario func(f *fleet)) string {
	r := &recorder{TB: t}
	func() {
		defer func() {
			if p := recover(); p != nil && p != any(errStopped) {
				panic(p)
			}
		}()
		f := newFleet(r, 6)
		f.startAll()
		scenario(f)
	}()
	return r.report
}

// Guards against checks of the fleet that find nothing: each defect of a daemon's double
// must be reported under the invariant that it breaks.
func TestDefectsAreFound(t *testing.T) {
	t.Parallel()
	change := func(f *fleet) {
		f.publish(2)
		f.runUntil(boundAny, f.converged(2))
		f.requireConverged(2)
	}
	leave := func(f *fleet) {
		leaving := f.ids[len(f.ids)-1]
		f.leave(leaving, time.Minute)
		f.requireAnnounced(leaving, 2*time.Second)
	}
	one := model.InstanceID(remoteRegion + "-1-3")
	for _, c := range []struct {
		name, invariant string
		scenario        func(f *fleet)
		defect          func(f *fleet) func(n *node, a Action) []Action
	}{
		{"none", "", change, nil},
		{"none while one leaves", "", leave, nil},
		{"applies an older snapshot", "I1", change, func(*fleet) func(*node, Action) []Action {
			return func(n *node, a Action) []Action {
				if apply, ok := a.(Apply); ok && n.instance.ID == one && apply.Previous != nil {
					return []Action{a, Apply{Snapshot: apply.Previous, Previous: apply.Snapshot}}
				}
				return []Action{a}
			}
		}},
		{"applies a part of a version", "I3", change, func(f *fleet) func(*node, Action) []Action {
			return func(n *node, a Action) []Action {
				if apply, ok := a.(Apply); ok && n.instance.ID == one {
					apply.Snapshot, _, _ = build(f.t, apply.Snapshot.Version(), 1, nil)
					return []Action{apply}
				}
				return []Action{a}
			}
		}},
		{"entry forwards nothing", "I9", change, func(f *fleet) func(*node, Action) []Action {
			return silent(f.role(remoteEntry))
		}},
		{"announces nothing", "I7", leave, func(f *fleet) func(*node, Action) []Action {
			return func(n *node, a Action) []Action {
				if send, ok := a.(Send); ok && n.instance.ID == f.ids[len(f.ids)-1] && kind(send.Data[0]) == kindMembers {
					return nil
				}
				return []Action{a}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			report := reported(t, func(f *fleet) {
				if c.defect != nil {
					f.defect = c.defect(f)
				}
				c.scenario(f)
				f.run(time.Second)
			})
			if c.invariant == "" {
				require.Empty(t, report)
				return
			}
			require.Contains(t, report, c.invariant)
		})
	}
}
