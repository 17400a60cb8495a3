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
	slowPercentile = 95
	// minRuns is the number of runs from which on the slowest one counts as an outlier.
	minRuns = 20
	// slowRunFactor multiplies the first guess of a run time to guess that of a slow run. A
	// planned shutdown leaves time for at least as many expected runs.
	slowRunFactor = 2
)

// runHistory is a ring buffer of the runHistory run times of a route.
type runHistory struct {
	runTimes [recentRuns]time.Duration
	added    int // number of runs added so far
	// cachedSlow is the last result of slowRun, valid until the next run is added.
	cachedSlow time.Duration
	cacheValid bool
}

func (r *runHistory) add(runTime time.Duration) {
	r.runTimes[r.added%recentRuns] = runTime
	r.added++
	r.cacheValid = false
}

// slowRun returns the run time that few of the recent runs exceeded, or 0 if there are none.
func (r *runHistory) slowRun() time.Duration {
	n := min(r.added, recentRuns)
	if n == 0 || r.cacheValid {
		return r.cachedSlow
	}
	sorted := r.runTimes
	slices.Sort(sorted[:n])
	r.cachedSlow, r.cacheValid = sorted[(n*slowPercentile+99)/100-1], true
	return r.cachedSlow
}

// recordRecentRun adds a run time to the history of a route.
func (q *Queue) recordRecentRun(route string, runTime time.Duration) {
	r := q.runHistory[route]
	if r == nil {
		if len(q.runHistory) >= maxEstimates {
			clear(q.runHistory)
		}
		r = &runHistory{}
		q.runHistory[route] = r
	}
	r.add(runTime)
}

// slowRun returns the time that few runs of the call's route exceed. Until minRuns runs have been
// recorded, it is at least the first guess.
func (q *Queue) slowRun(c *Call) time.Duration {
	r, guess := q.runHistory[c.Route], slowRunFactor*firstGuess(c)
	switch {
	case r == nil:
		return guess
	case r.added < minRuns:
		return max(r.slowRun(), guess)
	}
	return r.slowRun()
}
