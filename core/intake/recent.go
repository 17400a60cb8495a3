package intake

import (
	"slices"
	"time"
)

const (
	// recentRuns is the number of recent runs of a route from which the slow run time is
	// computed. Two of them may be outliers.
	recentRuns = 40
	// slowPercentile defines a slow run: this percentage of runs take no longer. During a
	// shutdown, aborting one run in twenty costs less than sending all of them elsewhere.
	slowPercent = 95
	// minRuns is the number of runs from which on the slowest one counts as an outlier.
	fewRuns = 20
	// slowRunFactor multiplies the first guess of a run time to guess that of a slow run. A
	// planned shutdown leaves time for at least as many expected runs.
	slowGuess = 2
)

// runHistory is a ring buffer of the recent run times of a route.
type recent struct {
	took [recentRuns]time.Duration
	n    int // number of runs added so far
	// cachedSlow is the last result of slowRun, valid until the next run is added.
	slowest time.Duration
	known   bool
}

func (r *recent) add(took time.Duration) {
	r.took[r.n%recentRuns] = took
	r.n++
	r.known = false
}

// slowRun returns the run time that few of the recent runs exceeded, or 0 if there are none.
func (r *recent) slow() time.Duration {
	n := min(r.n, recentRuns)
	if n == 0 || r.known {
		return r.slowest
	}
	sorted := r.took
	slices.Sort(sorted[:n])
	r.slowest, r.known = sorted[(n*slowPercent+99)/100-1], true
	return r.slowest
}

// recordRecentRun adds a run time to the history of a route.
func (q *Queue) remember(route string, took time.Duration) {
	r := q.recent[route]
	if r == nil {
		if len(q.recent) >= maxEstimates {
			clear(q.recent)
		}
		r = &recent{}
		q.recent[route] = r
	}
	r.add(took)
}

// slowRun returns the time that few runs of the call's route exceed. Until minRuns runs have been
// recorded, it is at least the first guess.
func (q *Queue) slow(c *Call) time.Duration {
	r, guess := q.recent[c.Route], slowGuess*firstGuess(c)
	switch {
	case r == nil:
		return guess
	case r.n < fewRuns:
		return max(r.slow(), guess)
	}
	return r.slow()
}
