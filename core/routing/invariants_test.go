package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
)

// wrongRoutes sends calls through a router and returns the choices that violate one of two
// invariants: I2 (no call to an instance that is not in the view) and I7 (no new call to an
// instance that has announced its shutdown).
func wrongRoutes(r *Router, members []model.Instance, at time.Time) (wrong []string) {
	states := map[model.InstanceID]model.State{}
	for _, m := range members {
		states[m.ID] = m.State
	}
	check := func(id model.InstanceID, routed bool) {
		switch state, ok := states[id]; {
		case !ok:
			wrong = append(wrong, fmt.Sprintf("I2: route to %s", id))
		case state == model.Leaving && routed:
			wrong = append(wrong, fmt.Sprintf("I7: new call to %s", id))
		}
	}
	for _, c := range r.Explain("shifts", at).Instances {
		check(c.ID, c.Step != "")
	}
	for range 200 {
		if d, refused := r.Pick(Query{Service: "shifts"}, at); refused == nil {
			check(d.Instance.ID, true)
			r.Report(d, Outcome{}, at)
		}
	}
	return wrong
}

// Guards against calls to a removed or a leaving instance after an update that arrives
// while calls are in flight. Two cases with a defect, in which the router does not get the
// removal or the announcement, guard against a check that detects nothing.
func TestRoutesFollowTheView(t *testing.T) {
	without := func(list []model.Instance) []model.Instance { return list[1:] }
	leaving := func(list []model.Instance) []model.Instance {
		list[0].State = model.Leaving
		return list
	}
	same := func(list []model.Instance) []model.Instance { return list }
	for _, c := range []struct {
		name         string
		view, routed func([]model.Instance) []model.Instance
		invariant    string // violated by the defect; empty in cases without a defect
	}{
		{"instance removed", without, without, ""},
		{"instance leaves", leaving, leaving, ""},
		{"defect: keeps a removed instance", without, same, "I2"},
		{"defect: picks a leaving instance", leaving, same, "I7"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(sixteenInstances(), row("shifts", 1, 1, 1, 1, 1))
			var open []Decision
			for range 50 {
				d, refused := r.Pick(Query{Service: "shifts"}, start)
				require.Nil(t, refused)
				open = append(open, d)
			}
			r.swap(2, tableOf(row("shifts", 2, 1, 1, 1, 1)), c.routed(sixteenInstances()), start)
			for _, d := range open { // the instance starts to drain after it was picked and before the call is sent
				o := Outcome{}
				if c.invariant == "" && d.Instance.ID == sixteenInstances()[0].ID {
					o.Refused = refusal.Leaving
				}
				r.Report(d, o, start)
			}
			wrong := wrongRoutes(r, c.view(sixteenInstances()), start)
			if c.invariant == "" {
				require.Empty(t, wrong)
				return
			}
			require.NotEmpty(t, wrong)
			require.Contains(t, wrong[0], c.invariant)
		})
	}
}
