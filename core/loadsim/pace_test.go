package loadsim

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pacedPattern is a fleet of 64 daemons that send to 46 instances of uneven speed, whose hosts are slow
// for a part of the time.
func pacedPattern(rate float64) *Pattern {
	return &Pattern{
		Seed: 1, Duration: 5 * time.Second, DataCentres: 6, Repeats: Repeats{Ratio: 0.2, Allowance: 40, Window: 10 * time.Second},
		Services: []Service{
			{
				Name: "board", Instances: 46, Slots: 18, Speeds: []float64{0.7, 0.7, 1.7},
				Pace: &Pace{Factor: 2.5, Share: 0.15, Interval: 600 * time.Millisecond},
			},
			{Name: "front", Instances: 18, Slots: 18},
		},
		Kinds: []Kind{
			{Name: "view", Service: "board", PerSecond: 1000 * rate, Run: 320 * time.Millisecond, Goal: 640 * time.Millisecond, Deadline: 2500 * time.Millisecond, Worth: 1, LateWorth: 0.5, Priority: 2, MayRepeat: true, MaxAttempts: 2, Returns: 1},
			{Name: "claim", Service: "board", PerSecond: 300 * rate, Run: 340 * time.Millisecond, Goal: 800 * time.Millisecond, Deadline: 3 * time.Second, Worth: 2, LateWorth: 1, Priority: 1, MaxAttempts: 2, Returns: 1},
			{Name: "peek", Service: "board", PerSecond: 200 * rate, Run: 120 * time.Millisecond, Goal: 300 * time.Millisecond, Deadline: time.Second, Worth: 1, LateWorth: 0.5, Priority: 1, MayRepeat: true, MaxAttempts: 2, Returns: 1},
		},
	}
}

// Guards against a reported pace that the daemons do not use: hosts that are slow for 15% of the time must
// cost callers less if the upstreams say so.
func TestReportedPaceServesCallersBetter(t *testing.T) {
	hidden, reported := pacedPattern(1.6), pacedPattern(1.6)
	hidden.Services[0].Pace.Hidden = true
	before, after := play(t, hidden).Total(), play(t, reported).Total()
	t.Logf("worth %.4f without the pace, %.4f with it; %d and %d of %d late", before.Share(), after.Share(), before.Late, after.Late, after.Asked)
	require.Greater(t, after.Share(), before.Share()+0.01)
	require.Less(t, after.Late, before.Late*3/4)
}

// Guards against work that a change of the pace loses or does twice: what runs across intervals takes the
// sum of its parts.
func TestWorkAcrossPacesTakesTheSumOfItsParts(t *testing.T) {
	track := &paceTrack{rule: &Pace{Factor: 2, Share: 0.5, Interval: 100 * time.Millisecond}, first: time.Unix(0, 0), drawn: []float64{1, 2, 1}}
	s := &sim{start: time.Unix(0, 0)}
	s.now = s.start
	n := &node{pace: track}
	require.Equal(t, 60*time.Millisecond, s.timeFor(n, 60*time.Millisecond))
	require.Equal(t, 180*time.Millisecond, s.timeFor(n, 140*time.Millisecond))
	require.Equal(t, 220*time.Millisecond, s.timeFor(n, 170*time.Millisecond))
	require.Equal(t, time.Second, s.timeFor(&node{}, time.Second))
}

// Guards against a play that never ends because of a speed or a pace in a pattern.
func TestInvalidSpeedsAndPaces(t *testing.T) {
	for key, change := range map[string]func(s *Service){
		"services[0].speeds[1]":     func(s *Service) { s.Speeds = []float64{1, 0} },
		"services[0].speeds[0]":     func(s *Service) { s.Speeds = []float64{math.NaN()} },
		"services[0].pace.factor":   func(s *Service) { s.Pace.Factor = -1 },
		"services[0].pace.share":    func(s *Service) { s.Pace.Share = 1.1 },
		"services[0].pace.interval": func(s *Service) { s.Pace.Interval = 0 },
	} {
		p := pacedPattern(1)
		change(&p.Services[0])
		var invalid *PatternError
		require.ErrorAs(t, p.Validate(), &invalid, key)
		require.Equal(t, key, invalid.Key)
		require.NotEmpty(t, invalid.Remedy)
	}
}
