// Package trial decides when an estimate is put to the test that refuses all requests it is made of. Such an
// estimate changes only with the results of requests, so that it would stay in force for good.
//
// Pacer is a state machine without a clock: callers pass the time. It is not safe for concurrent use.
package trial

import "time"

const (
	// MinPause is the time from a result to the next trial.
	MinPause = 500 * time.Millisecond
	// MaxPause bounds the pause, which doubles with each trial without a result: requests of a route that has
	// really become too slow are refused, but for a few.
	MaxPause = 8 * time.Second
	// Weight is the weight of the result of a trial in the estimate, which it contradicts.
	Weight = 0.5
)

// Pacer spaces out the trials of one estimate. The zero value allows one at once.
type Pacer struct {
	due   time.Time
	pause time.Duration
}

// Confirm records a result that the estimate includes. There is no trial while results arrive.
func (p *Pacer) Confirm(now time.Time) {
	p.pause = MinPause
	p.due = now.Add(p.pause)
}

// Take reports whether a request that the estimate refuses may be tried nevertheless.
func (p *Pacer) Take(now time.Time) bool {
	if now.Before(p.due) {
		return false
	}
	p.pause = min(max(2*p.pause, MinPause), MaxPause)
	p.due = now.Add(p.pause)
	return true
}
