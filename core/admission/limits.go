package admission

import (
	"time"

	"golang.org/x/time/rate"
)

// NoLimit as a Share's limit admits every request.
const NoLimit = -1

// burstTime is the time whose share of a limit a bucket can hold.
const burstTime = 100 * time.Millisecond

// Share is a limit over all daemons of a group (a data centre or a region) and the number of
// live instances that divide it.
type Share struct {
	// PerSecond is the limit in calls per second over the group; NoLimit for none, 0 admits nothing.
	PerSecond float64
	// Live is the number of live instances of the service in the group, this one included.
	Live int
}

// Limits is this daemon's share of the rate limits of its service, one token bucket per group.
//
// The shares of n daemons with equal views add up to the limit, also when one share is below
// one call per second, because a bucket keeps fractions of a token. Over a time t a group admits
// at most limit x t plus one burst per daemon. A burst is 100 ms of the share and at least one call.
// While the views of daemons lack up to k of the n live instances, the group admits at most
// n/(n-k) times the limit: each daemon takes at most limit/(n-k). A daemon whose view still has
// k dead instances takes less than its share: the group then admits (n-k)/n of the limit.
type Limits struct{ buckets []bucket }

type bucket struct {
	share   Share
	limiter *rate.Limiter
}

// Set replaces the shares, in a fixed order of groups. A bucket keeps its tokens when only its
// rate changes, so that a change of the view grants no extra burst.
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
	burst := max(1, int(perSecond*burstTime.Seconds()))
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

// Allow takes a token of every bucket, or none when one of them is empty.
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
