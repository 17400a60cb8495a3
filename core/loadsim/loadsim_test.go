package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testPattern is a fleet of two services at nine tenths of its capacity. Runs of the first one call the
// second one.
func testPattern() *Pattern {
	return &Pattern{
		Seed: 1, Duration: 5 * time.Second, DataCentres: 4, Repeats: Repeats{Ratio: 0.2, Allowance: 40, Window: 10 * time.Second},
		Services: []Service{{Name: "board", Instances: 12, Slots: 8}, {Name: "records", Instances: 8, Slots: 8}},
		Kinds: []Kind{
			{
				Name: "view", Service: "board", PerSecond: 180, Run: 260 * time.Millisecond, Goal: time.Second, Deadline: 4 * time.Second, Worth: 1, LateWorth: 0.5,
				Priority: 2, MayRepeat: true, MaxAttempts: 2, Returns: 1, Calls: &Calls{Kind: "check", Times: 2, Share: 0.7},
			},
			{Name: "claim", Service: "board", PerSecond: 60, Run: 340 * time.Millisecond, Goal: 1200 * time.Millisecond, Deadline: 5 * time.Second, Worth: 2, LateWorth: 1, Priority: 1, MaxAttempts: 2, Returns: 1},
			{Name: "upload", Service: "records", PerSecond: 40, Run: 310 * time.Millisecond, Goal: 1500 * time.Millisecond, Deadline: 6 * time.Second, Worth: 2, LateWorth: 1, Priority: 1, MaxAttempts: 2, Returns: 1},
			{Name: "check", Service: "records", Run: 65 * time.Millisecond, Goal: 250 * time.Millisecond, Deadline: 800 * time.Millisecond, MayRepeat: true, MaxAttempts: 2},
		},
	}
}

func play(t *testing.T, p *Pattern) *Result {
	require.NoError(t, p.Validate())
	return Play(p)
}

// Guards against a play that depends on anything but the pattern, and against requests that are lost
// without an outcome.
func TestEqualSeedsPlayEqually(t *testing.T) {
	first, second := play(t, testPattern()), play(t, testPattern())
	require.Equal(t, first.Total(), second.Total())
	total := first.Total()
	require.Equal(t, total.Asked, total.InTime+total.Late+total.Refused+total.Failed)
	require.InDelta(t, 1400, total.Asked, 140)
	other := testPattern()
	other.Seed = 2
	require.NotEqual(t, total, func() Counts { c := play(t, other).Total(); return c }())
	asked := 0
	for _, s := range first.Seconds {
		asked += s.Asked
	}
	require.Equal(t, total.Asked, asked)
}

// Guards against a fleet that loses requests although it has room for all of them.
func TestUsualLoadIsServedInTime(t *testing.T) {
	total := play(t, testPattern()).Total()
	require.Greater(t, total.Share(), 0.98)
}

// Replays a third of the instances slow, at 20 and at 200 instances. Guards against a choice of
// instances that gets worse as the fleet grows, because each daemon meets each instance less often.
func TestChoiceOfInstancesDoesNotGetWorseWithTheFleet(t *testing.T) {
	share := func(n int) float64 {
		p := testPattern()
		p.Scale(n)
		p.Troubles = []Trouble{{What: Slow, Service: "board", Share: 0.3, Factor: 4, From: time.Second, To: 4 * time.Second}}
		for i := range p.Kinds {
			p.Kinds[i].PerSecond *= 0.8
		}
		total := play(t, p).Total()
		return total.Share()
	}
	small, large := share(20), share(200)
	t.Logf("worth %.3f with 20 instances, %.3f with 200", small, large)
	require.GreaterOrEqual(t, large, small-0.02)
}

// Replays a service all of whose instances refuse half of what they get. Guards against more repeats than
// the limits allow, and against a bound that a play exceeds.
func TestSheddingServiceStaysWithinTheBudget(t *testing.T) {
	p := testPattern()
	p.Troubles = []Trouble{{What: Shed, Service: "records", Share: 1, Factor: 0.5, From: 0, To: p.Duration}}
	r := play(t, p)
	total := r.Total()
	requests := float64(total.Asked) * (1 + 2*0.7) * 2 // with their calls, and callers that come back once
	require.LessOrEqual(t, float64(r.Repeats), p.Repeats.Ratio*requests+p.Repeats.Allowance)
	require.Less(t, total.Share(), 0.99)
	require.Greater(t, total.Share(), 0.5)
	bound := 0.0
	for _, s := range r.Seconds {
		bound += s.Bound / float64(len(r.Seconds))
	}
	require.LessOrEqual(t, total.Share(), bound)
}

// Guards against a limit of an upstream, its leaving or failures that the play ignores.
func TestTroublesTakeEffect(t *testing.T) {
	usual := play(t, testPattern()).Total()
	for what, factor := range map[string]float64{Slow: 3, Shed: 0.9, Fail: 0.5, Limit: 5, Leave: 0, Burst: 1.6} {
		t.Run(what, func(t *testing.T) {
			p := testPattern()
			p.Troubles = []Trouble{{What: what, Service: "board", Share: 0.6, Factor: factor, From: time.Second, To: 4 * time.Second}}
			total := play(t, p).Total()
			require.Less(t, total.Share(), usual.Share())
			require.Greater(t, total.Share(), 0.2)
		})
	}
}

// Guards against a play that never ends or panics because of a value in a pattern.
func TestInvalidPatterns(t *testing.T) {
	for key, change := range map[string]func(p *Pattern){
		"duration":              func(p *Pattern) { p.Duration = time.Hour },
		"data_centres":          func(p *Pattern) { p.DataCentres = 0 },
		"repeats":               func(p *Pattern) { p.Repeats.Window = 0 },
		"services[1]":           func(p *Pattern) { p.Services[1].Name = "board" },
		"services":              func(p *Pattern) { p.Services[0].Instances = maxInstances },
		"kinds[0].service":      func(p *Pattern) { p.Kinds[0].Service = "none" },
		"kinds[1].per_second":   func(p *Pattern) { p.Kinds[1].PerSecond = -1 },
		"kinds[2]":              func(p *Pattern) { p.Kinds[2].Deadline = 0 },
		"kinds[0].calls.kind":   func(p *Pattern) { p.Kinds[0].Calls.Kind = "view" },
		"kinds[0].calls":        func(p *Pattern) { p.Kinds[0].Calls.Times = 0 },
		"kinds[3].max_attempts": func(p *Pattern) { p.Kinds[3].MaxAttempts = 0 },
		"kinds[3].name":         func(p *Pattern) { p.Kinds[3].Name = "view" },
		"kinds":                 func(p *Pattern) { p.Kinds = nil },
		"troubles[0].what":      func(p *Pattern) { p.Troubles = []Trouble{{What: "flood"}} },
		"troubles[0].factor":    func(p *Pattern) { p.Troubles = []Trouble{{What: Slow}} },
		"troubles[0]":           func(p *Pattern) { p.Troubles = []Trouble{{What: Leave, Service: "none"}} },
		"troubles[0].to":        func(p *Pattern) { p.Troubles = []Trouble{{What: Leave, Service: "board"}} },
	} {
		p := testPattern()
		change(p)
		var invalid *PatternError
		require.ErrorAs(t, p.Validate(), &invalid, key)
		require.Equal(t, key, invalid.Key)
		require.NotEmpty(t, invalid.Remedy)
	}
}
