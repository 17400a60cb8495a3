package intake

import (
	"math"
	"time"
)

const (
	// The platform tolerates 1.5 times the calls that a limit allows, and five besides, in any four
	// seconds. extraShare and extraRate, in calls per second, are what is used of that beyond the
	// limit. The rest is a reserve for bursts and for a restart of this process.
	extraShare = 0.4
	extraRate  = 0.5
	// paceBurst is the time for which an upstream with a limit may save up what it did not use.
	paceBurst = 150 * time.Millisecond
	// minPace is the least rate in calls per second. A call now and then shows whether an upstream
	// that has named a limit of 0 still does.
	minPace = 0.25
	// maxPace is the rate from which on a limit counts as none.
	maxPace = 1e6
	// After the upstream has stopped naming a limit, the rate doubles every rampStep, and there is none
	// after rampSteps, so that the calls that were kept away do not arrive all at once.
	rampStep  = time.Second
	rampSteps = 4
	// tokenTolerance allows for rounding: a call may start at the time that wait returned.
	tokenTolerance = 1e-6
)

// pace admits calls at the rate that the upstream has named. Calls that no other instance has room for
// may also use what the platform tolerates beyond it. The zero value has no limit.
type pace struct {
	rate float64 // named limit in calls per second; 0 for none
	at   time.Time
	// named holds the calls that the limit allows, tolerated those beyond it. The number at the time at
	// is negative after calls that could not be refused.
	named, tolerated float64
	// liftedAt is the time at which the upstream stopped naming the limit; zero while it names it.
	liftedAt time.Time
}

// set sets the limit in calls per second. It reports whether there was none before.
func (p *pace) set(now time.Time, perSecond float64) bool {
	if math.IsNaN(perSecond) || perSecond < 0 || perSecond >= maxPace {
		p.lift(now)
		return false
	}
	p.refill(now)
	began := p.rate == 0
	p.rate, p.liftedAt = max(perSecond, minPace), time.Time{}
	if began {
		p.at, p.named, p.tolerated = now, 1, 0
	}
	p.cap()
	return began
}

// lift removes the limit in steps. It reports whether there was one that was named until now.
func (p *pace) lift(now time.Time) bool {
	if p.rate == 0 || !p.liftedAt.IsZero() {
		return false
	}
	p.refill(now)
	p.liftedAt = now
	return true
}

// reset removes the limit at once, for another process at the upstream's address.
func (p *pace) reset() { *p = pace{} }

// current returns the rate in calls per second at a time; 0 for none.
func (p *pace) current(now time.Time) float64 {
	if p.rate == 0 || p.liftedAt.IsZero() {
		return p.rate
	}
	steps := float64(now.Sub(p.liftedAt)) / float64(rampStep)
	if steps >= rampSteps {
		return 0
	}
	return p.rate * math.Exp2(steps)
}

// cap drops what was saved up for longer than paceBurst.
func (p *pace) cap() {
	saved := p.rate * paceBurst.Seconds()
	p.named = min(p.named, max(1, saved))
	p.tolerated = min(p.tolerated, max(1, p.extra(p.rate)*paceBurst.Seconds()))
}

// extra returns the rate of calls beyond the limit in calls per second, for a rate within it.
func (p *pace) extra(rate float64) float64 { return extraShare*rate + min(extraRate, rate) }

// refill adds what has become free since the last call.
func (p *pace) refill(now time.Time) {
	if p.rate == 0 {
		return
	}
	rate := p.current(now)
	if rate == 0 {
		p.reset()
		return
	}
	if elapsed := now.Sub(p.at); elapsed > 0 {
		p.at, p.named, p.tolerated = now, p.named+rate*elapsed.Seconds(), p.tolerated+p.extra(rate)*elapsed.Seconds()
		p.cap()
	}
}

// available returns the number of calls that the limit allows to start now.
func (p *pace) available(now time.Time) int {
	p.refill(now)
	if p.rate == 0 {
		return math.MaxInt
	}
	return max(0, int(p.named+tokenTolerance))
}

// allows reports whether a call may start now. pressing says that no other instance has room for it.
func (p *pace) allows(now time.Time, pressing bool) bool {
	return p.available(now) > 0 || pressing && p.tolerated+tokenTolerance >= 1
}

// take charges a call.
func (p *pace) take(now time.Time) {
	p.refill(now)
	switch {
	case p.rate == 0:
	case p.named+tokenTolerance < 1 && p.tolerated+tokenTolerance >= 1:
		p.tolerated--
	default:
		p.named--
	}
}

// wait returns the time until the nth of the next pressing calls may start.
func (p *pace) wait(now time.Time, n int) time.Duration {
	p.refill(now)
	if p.rate == 0 {
		return 0
	}
	if n == 1 {
		return p.waitForOne(now)
	}
	missing := float64(n) - p.named - p.tolerated
	if missing <= tokenTolerance {
		return 0
	}
	rate := p.current(now)
	return seconds(missing / (rate + p.extra(rate)))
}

// waitForOne returns the time until one of the two parts allows a call.
func (p *pace) waitForOne(now time.Time) time.Duration {
	rate := p.current(now)
	missing := min((1-p.named)/rate, (1-p.tolerated)/p.extra(rate))
	if missing*rate <= tokenTolerance {
		return 0
	}
	return seconds(missing)
}

// seconds rounds up to whole nanoseconds.
func seconds(s float64) time.Duration { return time.Duration(math.Ceil(s * float64(time.Second))) }
