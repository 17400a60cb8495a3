package intake

import "time"

const (
	// HostPaceLifetime is the age at which a pace has no weight any more. Paces change about every
	// 600 ms, so that the chance that a reading still holds falls to about 0 within that time.
	HostPaceLifetime = 600 * time.Millisecond
	// MaxHostPace and MinHostPace bound a pace that an upstream reports, as a factor.
	MaxHostPace = 100.0
	// MinHostPace is the least factor.
	MinHostPace = 0.01
)

// HostPace is how long work takes on an upstream's host, as a multiple of the usual time, and the time
// at which that was known. The zero value is an unknown pace, which counts as 1.
type HostPace struct {
	Factor float64
	At     time.Time
}

// Current returns the factor at a time. The pace loses weight linearly in favour of the usual one until
// its age in either direction reaches the lifetime.
func (p HostPace) Current(now time.Time) float64 {
	age := now.Sub(p.At).Abs()
	if p.Factor <= 0 || age >= HostPaceLifetime {
		return 1
	}
	return 1 + (p.Factor-1)*(1-float64(age)/float64(HostPaceLifetime))
}

// work returns how much is done between two times, in time at the usual pace.
func (p HostPace) work(from, to time.Time) time.Duration {
	d := to.Sub(from)
	if d <= 0 {
		return 0
	}
	return time.Duration(float64(d) / p.Current(from.Add(d/2)))
}

// SetHostPace records the pace that the upstream has reported in a response. What runs counts as having
// run under the reading that is nearest in time.
func (q *Queue) SetHostPace(now time.Time, factor float64) {
	next := HostPace{Factor: min(max(factor, MinHostPace), MaxHostPace), At: now}
	for _, c := range q.running {
		from := c.started
		if c.workAt.After(from) {
			from = c.workAt
		}
		middle := q.hostPace.At.Add(now.Sub(q.hostPace.At) / 2)
		if middle.Before(from) {
			middle = from
		}
		c.work += q.hostPace.work(from, middle) + next.work(middle, now)
		c.workAt = now
	}
	q.hostPace = next
	q.advance(now)
}

// ResetHostPace forgets the pace, because another process is at the upstream's address.
func (q *Queue) ResetHostPace() { q.hostPace = HostPace{} }

// HostPace returns the last pace that the upstream has reported.
func (q *Queue) HostPace() HostPace { return q.hostPace }

// workDone returns how long a call has run, in time at the usual pace.
func (q *Queue) workDone(now time.Time, c *Call) time.Duration {
	if c.workAt.IsZero() {
		return q.hostPace.work(c.started, now)
	}
	return c.work + q.hostPace.work(c.workAt, now)
}

// pacedRun returns the time that a run of a duration at the usual pace takes from now on.
func (q *Queue) pacedRun(run time.Duration) time.Duration {
	if q.hostPaceNow == 1 {
		return run
	}
	return time.Duration(float64(run) * q.hostPaceNow)
}
