package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/bootstrap"
	"mangoshed.example/mangoshed/core/catalog"
)

const (
	// bootstrapTimeout bounds the first read of the full state. Meanwhile, bootstrapAskers
	// goroutines ask other daemons for their state, each pausing after a request without result, for
	// askRetryPause at first and for up to maxAskRetryPause later. A request costs some 200 bytes.
	bootstrapTimeout = 4 * time.Second
	bootstrapAskers  = 2
	askRetryPause    = 30 * time.Millisecond
	maxAskRetryPause = 120 * time.Millisecond
	// referredPause is the pause before asking a daemon to which another one has referred.
	referredPause = 5 * time.Millisecond
	// outdatedStateDelay is the time for which a starting daemon that has only the state of one that
	// has lost the store looks for a better one.
	outdatedStateDelay = 300 * time.Millisecond
	// bootstrapDelay bounds the random delay before a starting daemon that is not a seed reads the
	// full state. A daemon that declines to be a reader waits for bootstrapDelay in addition.
	// Others need some 300 ms to read the state and pass it on.
	bootstrapDelay = 500 * time.Millisecond
	// bootstrapCheckInterval is the interval at which a starting daemon checks whether others respond.
	bootstrapCheckInterval = 20 * time.Millisecond
	// introduceDelay is the time without a response after which a starting daemon that declines to be a
	// reader asks others than the seeds and those that they name. The list of a few hundred instances has more than 100 kB, so
	// that the reads of all daemons of a region take a second on the link between regions.
	introduceDelay = 600 * time.Millisecond
)

// Peers asks other daemons for their state.
type Peers interface {
	// AskState returns the state of another daemon, newer than the revision. The error is ErrNoNewerState
	// if that daemon has responded without one, and ErrReferred if it has named others, which further
	// calls ask.
	AskState(ctx context.Context, newer uint64) (PeerState, error)
	// Introduce adds the addresses of daemons that AskState may ask until the own view lists some.
	Introduce(addresses []string)
	// AnnounceState tells the seeds that this daemon holds the state, so that they can refer others of
	// its region to it. It returns when they know it or cannot be reached for some time.
	AnnounceState(ctx context.Context)
}

// PeerState is the state of another daemon.
type PeerState struct {
	catalog.State
	// Source is the address of that daemon.
	Source string
	// Age is the age of that daemon's last proof that the store had nothing newer.
	Age time.Duration
}

// bootstrap gets the first state, from another daemon or from the store. When many daemons start at
// once and each reads the full state from the store, these reads saturate the link between regions
// for seconds, while the response of another daemon is small. So only the seeds read the store at
// once. All daemons ask others; see package bootstrap for who sends the state to whom. Those that get
// no state read the store after a random delay, and later while others respond without a state. The
// delay is shorter for daemons with plenty of bandwidth, so that they can serve the others. Daemons
// that decline to be readers and get no response at all read the list of instances meanwhile, to
// learn the addresses of neighbours to ask.
func (f *Follower) bootstrap(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	start := bootstrap.Start{Began: time.Now()}
	switch {
	case f.Seed:
	case f.Decline:
		start.Delay = bootstrapDelay + rand.N(bootstrapDelay)
		calls.Go(func() { f.introduce(callCtx) })
	default:
		start.Delay = rand.N(bootstrapDelay)
	}
	listResults, peerResponses := make(chan listResult, 1), make(chan PeerState, bootstrapAskers)
	calls.Go(func() {
		for !f.Seed && callCtx.Err() == nil && !start.MayRead(time.Now(), f.lastResponse()) {
			sleep(callCtx, bootstrapCheckInterval)
		}
		if callCtx.Err() != nil {
			listResults <- listResult{err: callCtx.Err()}
			return
		}
		state, err := f.Store.List(callCtx)
		listResults <- listResult{state, err}
	})
	for range bootstrapAskers {
		calls.Go(func() { f.askUntilAnswered(callCtx, peerResponses) })
	}
	select {
	case a := <-listResults:
		err := f.applyList(a)
		if err == nil && f.Fleet.View().Table != nil {
			f.announce(ctx)
		}
		return err
	case a := <-peerResponses:
		f.applyPeerState(a)
		return errFromPeer
	}
}

// errFromPeer is returned by bootstrap if the state came from another daemon, not from the store.
var errFromPeer = errors.New("the state came from another daemon")

// announce tells the seeds in the background that this daemon has read the state from the store.
func (f *Follower) announce(ctx context.Context) {
	f.announcing.Go(func() { f.Peers.AnnounceState(ctx) })
}

// introduce reads the list of instances and passes the addresses to Peers.Introduce, in random
// order: those of the other daemons of the own region or, if it has none, those of all other
// regions.
func (f *Follower) introduce(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil && time.Since(later(started, f.lastResponse())) < introduceDelay {
		sleep(ctx, bootstrapCheckInterval)
	}
	if ctx.Err() != nil {
		return // another daemon or the store has sent the state
	}
	list, err := f.Store.Instances(ctx)
	if ctx.Err() != nil {
		return
	}
	f.count("instances", err)
	if err != nil {
		f.Log.Warn("instances_not_read", zap.Error(err))
		return
	}
	var sameRegion, otherRegions []string
	for i := range list {
		switch inst := &list[i]; {
		case inst.ForwardAddr == f.OwnAddr:
		case inst.Place.Region == f.Region:
			sameRegion = append(sameRegion, inst.ForwardAddr)
		default:
			otherRegions = append(otherRegions, inst.ForwardAddr)
		}
	}
	if len(sameRegion) == 0 {
		sameRegion = otherRegions
	}
	rand.Shuffle(len(sameRegion), func(i, j int) { sameRegion[i], sameRegion[j] = sameRegion[j], sameRegion[i] })
	f.Peers.Introduce(sameRegion)
}

// askUntilAnswered asks one daemon after the other until one responds with a current state. The state
// of a daemon that has lost the store may list instances that have left since, so it is used only if
// no better one is found in outdatedStateDelay.
func (f *Follower) askUntilAnswered(ctx context.Context, responses chan<- PeerState) {
	var best PeerState
	began := time.Now()
	for pause := askRetryPause; ctx.Err() == nil; pause = min(pause*3/2, maxAskRetryPause) {
		answer, err := f.askPeer(ctx, best.Revision)
		if err == nil {
			best = answer
		}
		if best.Table != nil && (best.Age <= maxFreshAge || time.Since(began) >= outdatedStateDelay) {
			responses <- best
			return
		}
		if errors.Is(err, ErrReferred) || errors.Is(err, ErrNoNewerState) {
			now := time.Now()
			f.respondedAt.Store(&now)
		}
		if errors.Is(err, ErrReferred) {
			sleep(ctx, referredPause)
			continue
		}
		sleep(ctx, pause/2+rand.N(pause))
	}
}

// applyPeerState applies the state of another daemon. This state does not prove that the view is
// current, but counts as a proof of half the maximum age or of its own age, so that the daemon has time
// to find a reader.
func (f *Follower) applyPeerState(a PeerState) {
	f.listed = true
	f.Fleet.Replace(a.State, a.Source)
	f.freshness.peerProved(time.Now().Add(-max(a.Age, maxFreshAge/2)))
	if !f.Seed {
		f.feedClient.Load().followSource(a.Source)
	}
}

// lastResponse returns the time of respondedAt, the zero time if there is none.
func (f *Follower) lastResponse() time.Time {
	if at := f.respondedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
