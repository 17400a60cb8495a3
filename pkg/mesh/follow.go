package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// watchHold is the time after which the store answers a watch that has no changes to report.
	// watchSlack is the additional time after which a watch without a response counts as failed.
	// Together they bound how long a reader with a silent connection to the store still appears
	// current. The daemons that it feeds need the rest of the 2 s, within which a change must be in
	// force, to find another source.
	watchHold  = 700 * time.Millisecond
	watchSlack = 400 * time.Millisecond
	// probeHold is the hold of a watch that follows a failed call. It is short so that the return
	// of the store is noticed at once, and changes made after the return can be distinguished from
	// entries lost during the outage.
	probeHold = time.Millisecond
	// responseTimeout bounds the time for receiving a response of the store after its first byte.
	responseTimeout = 3 * time.Second
	// maxFreshAge is the maximum age of the last freshness proof at which the view counts as current.
	// A freshness proof is evidence that the store has nothing newer than the view: a response of
	// the store, or a frame from a reader. If the last proof is older, the daemon looks for another
	// source.
	maxFreshAge = watchHold + watchSlack + watchPause
	// fallbackDelayPerInstance is added, for each instance, to the maximum time for which a daemon
	// leaves reading the store to others. Reading the full state, some 100 kB, takes this long on a
	// link of 100 Mbit/s.
	fallbackDelayPerInstance = 8 * time.Millisecond
	// roleCheckInterval is the interval at which an idle daemon checks whether it has to read the
	// store or needs a reader.
	roleCheckInterval = 50 * time.Millisecond
	// burstWindow is the time within which two new tables count as a burst. A watch that resumes
	// after a burst returns every table of the burst, whereas a read of the full state returns only
	// the last one.
	burstWindow = 3 * time.Second
	// missedTablesAge is the age of the last freshness proof beyond which a burst is assumed to have
	// produced several tables that this daemon has not read. The daemon then reads the full state
	// instead of resuming the watch.
	missedTablesAge = 600 * time.Millisecond
	// listTimeout bounds a read of the full state.
	listTimeout = 1500 * time.Millisecond
	// watchPause is the pause between a response and the next watch. The platform bills each
	// response as a call, and changes made during the pause are read together. The bound within which
	// a change must be in force is 2 s or more.
	watchPause = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each
	// failure. They are short because a daemon that reaches the store again must be up to date well
	// within 2 s.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// minOutage is the minimum time without a freshness proof, with at least two failed calls,
	// after which the store counts as unavailable.
	minOutage = time.Second
	// askPeersAfter is the time for which calls to the store must have failed before other daemons are
	// asked for their state.
	askPeersAfter = 250 * time.Millisecond
)

// Follower keeps a Fleet up to date with the store, either by reading the store or over a feed,
// which is a stream of changes from another daemon that reads it (a reader).
type Follower struct {
	Store Store
	Fleet *Fleet
	Peers Peers
	Log   *zap.Logger
	// Calls counts the calls to the store by outcome. It may be nil.
	Calls func(call, outcome string)
	// Region is the daemon's region and OwnAddr its forward address. If OwnAddr is set, the daemon
	// reads the store only if it is one of the region's readers or cannot get a feed from one. If
	// OwnAddr is empty, it always reads the store.
	Region, OwnAddr string
	// Decline is set on a daemon that does not read the store for others: it rejects requests for a
	// feed.
	Decline bool
	// Seed is set on a daemon that other daemons ask for the state when they start, and on every
	// daemon if no seeds are configured. Such a daemon reads the store at once when it starts.
	Seed bool

	dial           dialFunc // replaces dialPeer in tests, otherwise nil
	feedClient     atomic.Pointer[feedClient]
	declined       declinedPeers
	freshness      freshness
	responding     atomic.Bool // a response of the store is arriving
	listed         bool
	firstFailureAt time.Time // time of the first of the consecutive failures
	failures       int
	backoff        time.Duration
	fallbackDelay  time.Duration // see newFallbackDelay
	lastResort     bool          // the daemon reads the store as a last resort
	ignoring       bool          // the last state of the store belonged to an earlier era
	burstDetector  burstDetector
	announcing     sync.WaitGroup
	// respondedAt is the time at which another daemon has last responded that it holds no newer state;
	// nil if none has.
	respondedAt atomic.Pointer[time.Time]
}

// Run keeps the fleet up to date until the context ends. The daemon gets a feed from a reader of
// its region, or reads the store if it is a reader itself or no reader is current. While it changes
// from one source to the other, it uses both.
func (f *Follower) Run(ctx context.Context) {
	feedClient := newFeedClient(f.Region, f.OwnAddr, f.Fleet, f.Decline, &f.declined)
	if f.dial != nil {
		feedClient.dial = f.dial
	}
	f.feedClient.Store(feedClient)
	defer f.announcing.Wait()
	var feeding sync.WaitGroup
	if f.OwnAddr != "" {
		feeding.Go(func() { f.followReaders(ctx) })
	}
	defer feeding.Wait()
	for ctx.Err() == nil {
		if !f.shouldRead(time.Now()) {
			sleep(ctx, roleCheckInterval)
			continue
		}
		f.fallbackDelay = f.newFallbackDelay()
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errFromPeer):
		case err != nil:
			f.callFailed(ctx, err)
		default:
			f.callSucceeded()
			sleep(ctx, watchPause)
		}
	}
}

// shouldRead reports whether the daemon has to read the store. A daemon that is not a reader does so
// only as a last resort, and then continues until it has a feed again.
func (f *Follower) shouldRead(now time.Time) bool {
	if f.OwnAddr == "" || f.Fleet.View().Table == nil || !f.feedClient.Load().fed(now) {
		return true
	}
	age, _ := f.freshness.ages(now)
	noReader := f.Reader() == ""
	lagging := noReader && f.Fleet.Lag(now) > lagTolerance+f.lagAllowance()
	f.lastResort = age > maxFreshAge+proofAgeTolerance+f.fallbackDelay || lagging || f.lastResort && noReader
	return f.lastResort
}

// lagAllowance returns an additional time, different for each daemon, for which a daemon without a feed
// may lag behind others before it reads the store. Others being ahead means that the store and the
// readers work, so that few daemons lag.
func (f *Follower) lagAllowance() time.Duration { return max(0, f.fallbackDelay-takeoverTime) / 2 }

// newFallbackDelay returns a random time for which the daemon leaves the store to the next readers in
// the ranking when no reader is current. Its maximum grows with the fleet, so that the reads of
// many daemons do not saturate the link that the readers use.
func (f *Follower) newFallbackDelay() time.Duration {
	return takeoverTime + rand.N(time.Duration(1+len(f.Fleet.View().Daemons()))*fallbackDelayPerInstance)
}

// wantsFeed reports whether the daemon should have a feed: always if it is not a reader, and
// otherwise only while the store does not respond to it.
func (f *Follower) wantsFeed(now time.Time) bool {
	if f.feedClient.Load().fed(now) {
		return true
	}
	_, sinceResponse := f.freshness.ages(now)
	return sinceResponse > maxFreshAge && !f.responding.Load()
}

// listResult is the result of a read of the full state.
type listResult struct {
	state catalog.State
	err   error
}

// applyList applies the full state of the store.
func (f *Follower) applyList(a listResult) error {
	f.count("list", a.err)
	if a.err != nil {
		return a.err
	}
	if err := f.checkEra(a.state.Revision); err != nil {
		return err
	}
	f.reportStoreReturn(a.state.Revision)
	f.listed = true
	f.Fleet.Replace(a.state, "store")
	return nil
}

// watch waits for the next change in the store after a revision.
func (f *Follower) watch(ctx context.Context, after uint64) (catalog.State, error) {
	ctx, cancel := context.WithTimeout(ctx, watchHold+watchSlack+responseTimeout)
	defer cancel()
	responding, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	defer f.responding.Store(false)
	timeout := time.AfterFunc(watchHold+watchSlack, cancel)
	defer timeout.Stop()
	go cancelIfBehind(cancel, f.Fleet.Behind(), responding, done)
	hold := watchHold
	if f.failures > 0 {
		hold = probeHold
	}
	return f.Store.Watch(ctx, after, hold, sync.OnceFunc(func() {
		timeout.Stop()
		f.responding.Store(true)
		close(responding)
	}))
}

// cancelIfBehind cancels a watch when other daemons have a newer revision, unless its response is
// already arriving: a large response may take longer to arrive here than at the others, and asking
// again would delay it further.
func cancelIfBehind(cancel func(), behind, responding, done <-chan struct{}) {
	select {
	case <-behind:
		select {
		case <-responding:
		default:
			cancel()
		}
	case <-responding:
	case <-done:
	}
}

// Fresh reports whether the view counts as current.
func (f *Follower) Fresh() bool { return f.Age() <= maxFreshAge }

// Age returns the age of the last proof that the view is current. It is 0 while a response of the
// store is arriving, since a large one takes some time.
func (f *Follower) Age() time.Duration {
	if f.responding.Load() {
		return 0
	}
	age, _ := f.freshness.ages(time.Now())
	return age
}

// Reader returns the address of the reader whose feed is in use, or an empty string.
func (f *Follower) Reader() string {
	if feedClient := f.feedClient.Load(); feedClient != nil {
		return feedClient.currentReader()
	}
	return ""
}

// step reads the full state, or waits for the next change.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed && f.Fleet.View().Table == nil && f.Peers != nil {
		return f.bootstrap(ctx)
	}
	if !f.listed || f.missedTables(time.Now()) {
		return f.list(ctx)
	}
	after := f.Fleet.Revision()
	state, err := f.watch(ctx, after)
	f.count("watch", err)
	if errors.Is(err, ErrHistoryGone) {
		f.listed = false
		return nil
	}
	var tooLarge *exchange.BoundError
	if errors.As(err, &tooLarge) {
		f.listed = false // the full state comes in pages, and is smaller than all changes together
	}
	if err != nil {
		return err
	}
	if err := f.checkEra(state.Revision); err != nil {
		return err
	}
	if catalog.Era(state.Revision) != catalog.Era(after) {
		f.listed = false // the store counts its changes from another state than that of the daemon
		return f.list(ctx)
	}
	f.reportStoreReturn(state.Revision)
	f.Fleet.Apply(state, "store")
	return nil
}

// list reads and applies the full state.
func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	state, err := f.Store.List(ctx)
	return f.applyList(listResult{state, err})
}

// missedTables reports whether the store has probably had several new tables since the daemon's
// last freshness proof.
func (f *Follower) missedTables(now time.Time) bool {
	f.burstDetector.note(now, f.Fleet.View())
	age, _ := f.freshness.ages(now)
	return age > missedTablesAge && f.burstDetector.inBurst(now)
}

func (f *Follower) count(call string, err error) {
	if f.Calls == nil {
		return
	}
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	f.Calls(call, outcome)
}

// reportStoreReturn reports the end of an outage to the fleet before the newly read state is
// applied. If another daemon could read the store meanwhile, there was no outage: no entries have
// expired because of it, and instances missing from the store have really left.
func (f *Follower) reportStoreReturn(revision uint64) {
	if now := time.Now(); f.freshness.storeAway(now) {
		f.Fleet.StoreRecovered(now, revision)
	}
}

func (f *Follower) callSucceeded() {
	if f.failures > 0 {
		f.Log.Info("store_regained", zap.Int("failures", f.failures), zap.Duration("away", time.Since(f.firstFailureAt)), positionField(f.Fleet.Revision()))
	}
	f.failures, f.backoff = 0, 0
	f.freshness.responseReceived(time.Now())
}

func (f *Follower) callFailed(ctx context.Context, err error) {
	f.failures++
	f.freshness.callFailed(time.Now())
	if f.failures == 1 {
		f.firstFailureAt = time.Now()
		f.Log.Warn("store_lost", zap.Error(err), positionField(f.Fleet.Revision()))
	}
	if f.Peers != nil && (f.Fleet.View().Table == nil || time.Since(f.firstFailureAt) >= askPeersAfter) {
		f.applyNewerPeerState(ctx)
	}
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	sleep(ctx, f.backoff/2+time.Duration(rand.Int64N(int64(f.backoff))))
}

// applyNewerPeerState applies the state of another daemon that has a newer revision.
func (f *Follower) applyNewerPeerState(ctx context.Context) {
	answer, err := f.askPeer(ctx, f.Fleet.Revision())
	if err != nil {
		f.Log.Debug("peer_state_not_read", zap.Error(err))
		return
	}
	f.applyPeerState(answer)
}

// askPeer asks one daemon for a state newer than the revision.
func (f *Follower) askPeer(ctx context.Context, newer uint64) (PeerState, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return f.Peers.AskState(ctx, newer)
}

// askTimeout bounds a request for another daemon's state.
const askTimeout = 700 * time.Millisecond

// await waits until the signal arrives, the time has passed or the context ends.
func await(ctx context.Context, signal <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-signal:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
