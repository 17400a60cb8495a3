package admission

import (
	"time"

	"golang.org/x/time/rate"
)

// NoLimit as Share.PerSecond admits every request.
const NoLimit = -1

// burstDuration is the bucket capacity, expressed as the time in which the bucket fills.
const burstDuration = 100 * time.Millisecond

// Share is a rate limit for all daemons of a group (a data centre or a region) together, and the
// number of live instances among which it is divided.
type Share struct {
	// PerSecond is the limit of the group in calls per second. NoLimit means no limit; 0 admits
	// nothing.
	PerSecond float64
	// Live is the number of live instances of the service in the group, including this one.
	Live int
}

// Limits enforces this daemon's share of the rate limits of its service, with one token bucket per
// group.
//
// The shares of n daemons with equal views add up to the limit, even if a share is below one call
// per second, because a bucket keeps fractions of a token. In a time t, a group admits at most
// limit x t plus one burst per daemon. A burst is the share of 100 ms, but at least one call.
// While up to k of the n live instances are missing from the daemons' views, each daemon admits at
// most limit/(n-k), so the group admits at most n/(n-k) times the limit. While views still contain k
// dead instances, each daemon admits less than its share, and the group admits (n-k)/n of the limit.
type Limits struct{ buckets []bucket }

type bucket struct {
	share   Share
	limiter *rate.Limiter
}

// Set replaces the shares. The order of the groups must be the same in every call. A bucket keeps
// its tokens when only its rate changes, so that a change of the view permits no extra burst.
func (l *Limits) Set(now time.Time, shares ...Share) {
	if len(l.buckets) != len(shares) {
		l.buckets = make([]bucket, len(shares))
	}
	for i, share := range shares {
		l.buckets[i].set(now, share)
	}
}

func (b *bucket) set(now time.Time, share Share) {
	if share == b.share && (b.limiter != nil || share.PerSecond < 0) {
		return
	}
	b.share = share
	if share.PerSecond < 0 {
		b.limiter = nil
		return
	}
	perSecond := share.PerSecond / float64(max(1, share.Live))
	burst := max(1, int(perSecond*burstDuration.Seconds()))
	if perSecond == 0 {
		burst = 0
	}
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burst)
}

// Allow consumes a token from every bucket. If any bucket is empty, it consumes none and returns
// false.
func (l *Limits) Allow(now time.Time) bool {
	for _, b := range l.buckets {
		if b.limiter != nil && b.limiter.TokensAt(now) < 1 {
			return false
		}
	}
	for _, b := range l.buckets {
		if b.limiter != nil {
			b.limiter.AllowN(now, 1)
		}
	}
	return true
}

// RetryAfter returns the time in which the slowest bucket gains one token.
func (l *Limits) RetryAfter() time.Duration {
	var longest time.Duration
	for _, b := range l.buckets {
		if b.limiter != nil && b.limiter.Limit() > 0 {
			longest = max(longest, time.Duration(float64(time.Second)/float64(b.limiter.Limit())))
		}
	}
	return longest
}
