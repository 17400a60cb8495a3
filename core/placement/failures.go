package placement

import "time"

const (
	// failureWeight is the weight of one outcome in the failure rate of an instance, and
	// serviceFailureWeight in that of a service, of which a daemon sees many more.
	failureWeight        = 1.0 / 10
	serviceFailureWeight = 1.0 / 40
	// failurePenalty is added to the expected time of an instance, multiplied by its failure rate.
	failurePenalty = 600 * time.Millisecond
	// failureDecay is the time in which a failure rate that gets no outcomes returns to 0.
	failureDecay = 4 * time.Second
)

// failureRate is the moving average of outcomes: 0 for a success, 1 for a failure.
type failureRate struct {
	rate float64
	at   time.Time
}

// current returns the rate at a time.
func (f *failureRate) current(now time.Time) float64 {
	return f.rate * decay(now.Sub(f.at), failureDecay)
}

func (f *failureRate) add(now time.Time, outcome, weight float64) {
	rate := f.current(now)
	f.rate, f.at = rate+weight*(outcome-rate), now
}

// recordOutcome adds an outcome (0 for success, 1 for failure) to the failure rates of an instance and of
// its service.
func (p *Placer) recordOutcome(now time.Time, service string, s *instanceStats, outcome float64) {
	s.failures.add(now, outcome, failureWeight)
	mean := p.failures[service]
	if mean == nil {
		mean = &failureRate{}
		p.failures[service] = mean
	}
	mean.add(now, outcome, serviceFailureWeight)
}

// excessFailures returns by how much an instance fails more often than its service. If all instances shed
// load alike, avoiding those that have done so last only moves requests to other data centres.
func (p *Placer) excessFailures(now time.Time, service string, s *instanceStats) float64 {
	rate := s.failures.current(now)
	if mean := p.failures[service]; mean != nil && p.stayShare > 0 {
		rate -= mean.current(now)
	}
	return max(0, rate)
}
