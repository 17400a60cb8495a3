package intake

import (
	"math"
	"time"
)

const (
	// coldWindow is the window in which the platform counts the requests to a cold upstream.
	coldWindow = time.Second
	// coldShare is the share of the platform's bound that is used. The rest covers rounding.
	coldShare = 0.97
	// coldJitter is the time by which requests may bunch up between their admission and their arrival at
	// the upstream: the period of the processor quota on machines with a part of a core.
	coldJitter = 100 * time.Millisecond
	// coldReserve is the number of health requests in each window that do not wait for the allowance: one of
	// this process and one of a process before, since the first request of a process is sent at once.
	// minReserveBound is the least bound, in requests per window, from which that much is set aside.
	coldReserve     = 2
	minReserveBound = 12
	// minColdShare keeps a rate above 0 if the bound allows less than two requests in a window.
	minColdShare = 0.1
	// defaultColdStart is the duration of a cold phase if the table gives a rate without one.
	defaultColdStart = 3 * time.Second
	// maxColdRemaining bounds the remaining time that an upstream may report: an hour, and the millisecond
	// that is added because upstreams round down. A longer one is no cold phase.
	maxColdRemaining = time.Hour + time.Millisecond
	// healthInterval is the time between two health requests while calls arrive, idleHealthInterval
	// without calls: the platform bills each of them.
	healthInterval     = time.Second
	idleHealthInterval = 10 * time.Second
	// minHealthInterval is the least time between two health requests, for example to an upstream that
	// refuses connections, or one that keeps dropping them.
	minHealthInterval = 250 * time.Millisecond
	// coldIdle is the time without contact after which the upstream counts as cold until it has
	// responded: it may have restarted, or become cold, unnoticed.
	coldIdle = 5 * time.Second
)

// ColdRule describes how many requests a cold upstream takes. The zero value sets no limit.
type ColdRule struct {
	// PerSecond is the rate that the upstream takes while it is cold; 0 for no limit.
	PerSecond float64
	// Start is the duration of a cold phase; 0 stands for defaultColdStart.
	Start time.Duration
	// Ratio and Allowance set the platform's bound: in any second at most PerSecond x Ratio + Allowance
	// requests.
	Ratio, Allowance float64
	// Health is set if the upstream's health path is known.
	Health bool
}

// bound returns the number of requests that the platform allows in any window.
func (r ColdRule) bound() float64 { return r.PerSecond*r.Ratio + r.Allowance }

// coldRate is a token bucket. Within any window it admits at most burst + rate x coldWindow requests, and
// coldReserve health requests. A bucket that starts empty continues that of a process before, so that
// both together keep the bound.
type coldRate struct {
	rate, burst float64 // requests per second, and requests at once
	reserve     float64
	at          time.Time
	tokens      float64 // at the time at; negative after requests that were not held back
	// fresh is the number of tokens without the debt of requests before the cold phase, for the case that
	// the process that got them turns out to be gone.
	fresh float64
}

// set derives rate and burst from a rule. The requests of a window of coldWindow + coldJitter stay within
// the bound.
func (b *coldRate) set(now time.Time, r ColdRule) {
	b.refill(now)
	bound := r.bound()
	b.reserve = 0
	if bound >= minReserveBound {
		b.reserve = coldReserve
	}
	usable := coldShare*bound - b.reserve
	window := (coldWindow + coldJitter).Seconds()
	b.rate = coldShare * r.PerSecond * r.Ratio
	b.burst = usable - b.rate*window
	if b.burst < 1 {
		b.burst = 1
		b.rate = max((usable-1)/window, minColdShare*r.PerSecond)
	}
	b.tokens, b.fresh, b.at = min(b.tokens, b.burst), min(b.fresh, b.burst), now
}

func (b *coldRate) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		added := b.rate * elapsed.Seconds()
		b.tokens, b.fresh, b.at = min(b.burst, b.tokens+added), min(b.burst, b.fresh+added), now
	}
}

// take charges a request. The debt is bounded by what one window pays off: older requests do not count.
func (b *coldRate) take(now time.Time) {
	b.refill(now)
	least := -b.rate * coldWindow.Seconds()
	b.tokens, b.fresh = max(b.tokens-1, least), max(b.fresh-1, least)
}

// wait returns the time until the nth of the next requests is allowed.
func (b *coldRate) wait(now time.Time, n int) time.Duration {
	b.refill(now)
	missing := float64(n) - b.tokens
	if missing <= tokenTolerance {
		return 0
	}
	return seconds(min(missing/b.rate, maxColdRemaining.Seconds()))
}

// cold is what is known about the coldness of the upstream, together with the rate limit that holds while
// it is cold. The zero value sets no limit.
type cold struct {
	rule ColdRule
	rate coldRate
	// until is the end of the cold phase, unless down is set: then the upstream refuses connections, and
	// the phase begins when it accepts them.
	until time.Time
	down  bool
	// assumedAt is the time of the last event after which the upstream is assumed cold. Reports of an
	// earlier time do not count. asked is cleared by an event and set by the next health request.
	assumedAt time.Time
	asked     bool
	// askedAt is the time of the last health request, reportedAt that of the last response to one,
	// arrivedAt that of the last call.
	askedAt, reportedAt, arrivedAt time.Time
}

// setRule applies a rule. It reports whether there was no rate before: the upstream is assumed cold then,
// and the allowance is empty, because what earlier processes sent is unknown.
func (c *cold) setRule(now time.Time, r ColdRule) bool {
	if r.PerSecond <= 0 {
		*c = cold{}
		return false
	}
	if r.Start <= 0 {
		r.Start = defaultColdStart
	}
	if r == c.rule {
		return false
	}
	began := c.rule.PerSecond == 0
	c.rule = r
	if began {
		c.rate = coldRate{at: now}
		c.reportedAt, c.arrivedAt = now, now
	}
	c.rate.set(now, r)
	if began {
		c.assume(now, false)
	}
	return began
}

// assume records an event after which the upstream may be cold. replaced says that the requests that were
// sent before are known to have gone to a process that is gone. Those sent while the upstream was cold
// still count, because the platform may count them by address.
func (c *cold) assume(now time.Time, replaced bool) {
	if c.rule.PerSecond == 0 {
		return
	}
	c.rate.refill(now)
	if !c.active(now) {
		c.rate.fresh = max(c.rate.tokens, 0)
	}
	if replaced {
		c.rate.tokens = c.rate.fresh
	}
	c.assumedAt, c.asked = now, false
	c.until = now.Add(c.rule.Start)
}

// refused records that the upstream does not accept connections.
func (c *cold) refused(now time.Time) {
	if c.rule.PerSecond == 0 || c.down {
		return
	}
	c.assume(now, true)
	c.down = true
}

// accepted records a response to a request that was sent at the given time. It reports whether that ends
// a time in which the upstream refused connections.
func (c *cold) accepted(now, sent time.Time) bool {
	if !c.down || sent.Before(c.assumedAt) {
		return false
	}
	c.down = false
	c.assume(now, true)
	return true
}

// report records the remaining time of the cold phase, 0 for none, as the upstream has reported it in the
// response to a health request that was sent at the given time.
func (c *cold) report(now, sent time.Time, remaining time.Duration) {
	if c.rule.PerSecond == 0 || sent.Before(c.assumedAt) || remaining < 0 || remaining > maxColdRemaining {
		return
	}
	c.down, c.reportedAt = false, now
	c.until = now.Add(remaining)
}

// active reports whether the upstream counts as cold.
func (c *cold) active(now time.Time) bool {
	return c.rule.PerSecond > 0 && (c.down || now.Before(c.until))
}

// arrive records the arrival of a call.
func (c *cold) arrive(now time.Time) {
	if c.rule.PerSecond == 0 {
		return
	}
	if !c.active(now) && now.Sub(c.arrivedAt) >= coldIdle && now.Sub(c.reportedAt) >= coldIdle {
		c.assume(now, false)
	}
	c.arrivedAt = now
}

// take charges a request to the upstream. Requests to a warm one are charged too, since it may have
// become cold unnoticed.
func (c *cold) take(now time.Time) {
	if c.rule.PerSecond > 0 {
		c.rate.take(now)
	}
}

// wait returns the time until the nth of the next requests may be sent: by the rate, or because the cold
// phase ends.
func (c *cold) wait(now time.Time, n int) time.Duration {
	if !c.active(now) {
		return 0
	}
	wait := c.rate.wait(now, n)
	if !c.down {
		wait = min(wait, c.until.Sub(now))
	}
	return wait
}

// available returns the number of requests that may be sent now.
func (c *cold) available(now time.Time) int {
	if !c.active(now) {
		return math.MaxInt
	}
	c.rate.refill(now)
	return max(0, int(c.rate.tokens+tokenTolerance))
}

// nextHealth returns the time of the next health request; ok is false if there is none.
func (c *cold) nextHealth(now time.Time) (at time.Time, ok bool) {
	if c.rule.PerSecond == 0 || !c.rule.Health {
		return time.Time{}, false
	}
	switch {
	case !c.asked:
		at = c.askedAt.Add(minHealthInterval)
		if at.Before(c.assumedAt) {
			at = c.assumedAt
		}
	case c.down:
		at = c.askedAt.Add(minHealthInterval)
	case c.arrivedAt.After(c.askedAt):
		at = c.askedAt.Add(healthInterval)
	default:
		at = c.askedAt.Add(idleHealthInterval)
	}
	if wait := c.wait(now, 1); wait > 0 {
		from := now.Add(wait)
		reserved := now
		if !c.askedAt.IsZero() {
			reserved = c.askedAt.Add(coldWindow + coldJitter)
		}
		if c.rate.reserve > 0 && reserved.Before(from) {
			from = reserved
		}
		if from.After(at) {
			at = from
		}
	}
	return at, true
}

// ask charges a health request if one is due.
func (c *cold) ask(now time.Time) bool {
	at, ok := c.nextHealth(now)
	if !ok || now.Before(at) {
		return false
	}
	c.askedAt, c.asked = now, true
	c.take(now)
	return true
}
