package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shedding replays a service "records" all of whose instances refuse a part of the requests, for some
// seconds. Direct requests may come back once; runs of the service "board" need two calls each.
type shedding struct {
	random  *rand.Rand
	budget  *FleetBudget
	refused float64 // part of the requests to records that is refused
	// ranked makes the replay rank repeats by their chance; otherwise all rank alike.
	ranked  bool
	served  int
	repeats float64 // arrivals at records beyond the first of each request
}

const (
	sheddingRate   = 5                    // requests in one step: one direct request, and runs
	sheddingStep   = 5 * time.Millisecond // virtual time
	sheddingWarmUp = 10 * time.Second
	sheddingTime   = 8 * time.Second
)

func (s *shedding) refuses(now time.Duration) bool {
	return now >= sheddingWarmUp && s.random.Float64() < s.refused
}

// repeat reports whether the budget allows a repeat.
func (s *shedding) repeat(now time.Duration, r Repeat, a FailedAttempt) bool {
	if s.ranked {
		r.Chance = a.Chance()
	}
	return s.budget.Take(time.Unix(0, int64(now)), r)
}

// direct plays a request to records, whose caller comes back once.
func (s *shedding) direct(now time.Duration, returning bool) {
	s.budget.RecordRequest(time.Unix(0, int64(now)), Request{Service: "records"})
	if s.refuses(now) {
		if s.repeat(now, Repeat{Service: "records", Calls: Calls{}}, FailedAttempt{NotRun: true, Returning: returning}) {
			s.repeats++
			if !s.refuses(now) {
				s.served++
				return
			}
		}
		if !returning {
			s.direct(now+100*time.Millisecond, true)
		}
		return
	}
	s.served++
}

// run plays one attempt of a run with two calls and reports whether both succeeded.
func (s *shedding) run(now time.Duration, repeated bool) bool {
	open, failed := 0, false // calls without an answer; whether one was given up
	for range 2 {
		s.budget.RecordRequest(time.Unix(0, int64(now)), Request{Service: "records", Nested: true})
		if repeated {
			s.repeats++
		}
		if !s.refuses(now) {
			continue
		}
		open++
		if !s.repeat(now, Repeat{Service: "records", Calls: Calls{}}, FailedAttempt{NotRun: true, Nested: true, SiblingFailed: open > 1}) {
			failed = true
			continue
		}
		s.repeats++
		if s.refuses(now) {
			failed = true
		} else {
			open--
		}
	}
	return !failed
}

func (s *shedding) board(now time.Duration) {
	calls := Calls{"records": 2}
	s.budget.RecordRequest(time.Unix(0, int64(now)), Request{Service: "board", Calls: calls})
	if s.run(now, false) || s.repeat(now, Repeat{Service: "board", Calls: calls}, FailedAttempt{CallFailed: true}) && s.run(now, true) {
		s.served++
	}
}

func (s *shedding) play() {
	for now := time.Duration(0); now < sheddingWarmUp+sheddingTime; now += sheddingStep {
		if now == sheddingWarmUp {
			s.served, s.repeats = 0, 0
		}
		for i := range sheddingRate {
			if i == 0 {
				s.direct(now, false)
			} else {
				s.board(now)
			}
		}
	}
}

// Replays a service that refuses half of all requests, with budgets from a tenth to a half of the
// requests. Guards against repeats that are spent on runs which fail all the same.
func TestRepeatsGoWhereTheyDecide(t *testing.T) {
	for _, ratio := range []float64{0.1, 0.2, 0.3, 0.5} {
		served := map[bool]int{}
		for _, ranked := range []bool{false, true} {
			for seed := range uint64(3) {
				s := &shedding{random: rand.New(rand.NewPCG(seed, seed)), refused: 0.55, ranked: ranked}
				s.budget = NewFleetBudget(FleetRules{Ratio: ratio, Window: 10 * time.Second}, time.Unix(0, 0))
				s.play()
				served[ranked] += s.served
				requests := sheddingTime.Seconds() / sheddingStep.Seconds() * (1 + (sheddingRate-1)*2)
				require.LessOrEqual(t, s.repeats, ratio*requests*sheddingWarmUp.Seconds()/sheddingTime.Seconds())
			}
		}
		t.Logf("ratio %.1f: %d served with equal repeats, %d with ranked ones", ratio, served[false], served[true])
		require.Greater(t, served[true], served[false], "ratio %.1f", ratio)
	}
}

// Guards against ranking a repeat wrongly.
func TestChanceOfARepeat(t *testing.T) {
	for _, c := range []struct {
		attempt FailedAttempt
		want    Chance
	}{
		{FailedAttempt{}, Decisive},
		{FailedAttempt{NotRun: true}, Spare},
		{FailedAttempt{NotRun: true, Returning: true}, Decisive},
		{FailedAttempt{NotRun: true, Nested: true}, Decisive},
		{FailedAttempt{NotRun: true, Nested: true, SiblingFailed: true}, Doubtful},
		{FailedAttempt{CallFailed: true}, Doubtful},
		{FailedAttempt{CallFailed: true, Returning: true}, Doubtful},
	} {
		require.Equal(t, c.want, c.attempt.Chance(), "%+v", c.attempt)
	}
}
