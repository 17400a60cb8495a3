package intake

import (
	"slices"
	"time"
)

const (
	// recentRuns is the number of the last runs of a route that are kept to tell a slow one. Two of
	// them may be exceptions.
	recentRuns = 40
	// slowPercent is the percentage of the runs that take no longer than a slow one. One run in
	// twenty that is cut weighs less than all of them sent elsewhere.
	slowPercent = 95
	// fewRuns is the number of runs from which on the slowest one counts as an exception.
	fewRuns = 20
	// slowGuess is the number of expected runs that a slow one takes by the first guess, as many as
	// a planned end leaves time for at least.
	slowGuess = 2
)

// recent holds the last run times of a route, in a ring.
type recent struct {
	took [recentRuns]time.Duration
	n    int // all that were added
	// slowest is the answer of slow until the next run is added.
	slowest time.Duration
	known   bool
}

func (r *recent) add(took time.Duration) {
	r.took[r.n%recentRuns] = took
	r.n++
	r.known = false
}

// slow returns the run time that few of the recent runs exceeded, 0 without any.
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

// remember keeps a run time of a route.
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

// slow returns the time that few runs of the call's route exceed. The first guess counts until
// enough runs have been seen.
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
