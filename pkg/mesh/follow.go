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
	// holdTime is the time after which the store answers a watch that has no changes to report.
	// holdSlack is the additional time after which a watch without a response counts as failed.
	// Together they bound how long a reader with a silent connection to the store still appears
	// current. The daemons that it feeds need the rest of the 2 s, within which a change must be in
	// force, to find another source.
	holdTime  = 700 * time.Millisecond
	holdSlack = 400 * time.Millisecond
	// probeHold is the hold of a watch that follows a failed call. It is short so that the return
	// of the store is noticed at once, and changes made after the return can be distinguished from
	// entries lost during the outage.
	probeHold = time.Millisecond
	// answerTime bounds the time for receiving a response of the store after its first byte.
	answerTime = 3 * time.Second
	// freshTime is the maximum age of the last freshness proof at which the view counts as current.
	// Beyond it, the daemon looks for another source.
	freshTime = holdTime + holdSlack + pace
	// patienceEach is added, for each instance, to the maximum time for which a daemon leaves
	// reading the store to others. Reading the full state, some 100 kB, takes this long on a link
	// of 100 Mbit/s.
	patienceEach = 8 * time.Millisecond
	// roleTick is the interval at which an idle daemon checks whether it has to read the store or
	// needs a reader.
	roleTick = 50 * time.Millisecond
	// stormTime is the time within which two new tables count as a burst. A watch that resumes
	// after a burst returns every table in between, a list only the last one.
	stormTime = 3 * time.Second
	// missedTime is the age of the last freshness proof beyond which a burst is assumed to have
	// produced several tables that this daemon has not read.
	missedTime = 600 * time.Millisecond
	// listTimeout bounds a read of the full state.
	listTimeout = 1500 * time.Millisecond
	// firstTimeout bounds the first read of the full state. Meanwhile, askers goroutines ask other
	// daemons for their state, each pausing for askPause after a failed request. A request costs
	// some 200 bytes.
	firstTimeout = 4 * time.Second
	askers       = 2
	askPause     = 30 * time.Millisecond
	// seedTime bounds the random delay before a starting daemon that is not a seed reads the full
	// state. A daemon that declines to be a reader waits for seedTime in addition. Others need some
	// 300 ms to read the state and pass it on.
	seedTime = 500 * time.Millisecond
	// introduceAfter is the time for which a starting daemon that declines to be a reader asks only
	// the seeds.
	introduceAfter = 60 * time.Millisecond
	// pace is the pause between a response and the next watch. The platform bills each response as
	// a call, and changes made during the pause are read together. A change has to be in force
	// within 2 s or more.
	pace = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each
	// failure. They are short because a daemon that reaches the store again must be up to date well
	// within 2 s.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// outageTime is the minimum time without a freshness proof, with at least two failed calls,
	// after which the store counts as unavailable.
	outageTime = time.Second
	// askAfter is the time for which calls to the store must have failed before other daemons are
	// asked for their state.
	askAfter = 250 * time.Millisecond
)

// Peers asks other daemons for their state.
type Peers interface {
	// AskState returns the state of another daemon, newer than the revision, and the address of
	// that daemon.
	AskState(ctx context.Context, newer uint64) (catalog.State, string, error)
	// Introduce adds the addresses of daemons that AskState may ask until the own view lists some.
	Introduce(addresses []string)
}

// Follower keeps a Fleet up to date with the store, either by reading the store or over a feed,
// which is a stream of changes from another daemon that reads it (a reader).
type Follower struct {
	Store Store
	Fleet *Fleet
	Peers Peers
	Log   *zap.Logger
	// Calls counts the calls to the store by outcome. It may be nil.
	Calls func(call, outcome string)
	// Region is the daemon's region and Own its forward address. If Own is set, the daemon reads
	// the store only if it is one of the region's readers or cannot get a feed from one. If Own is
	// empty, it always reads the store.
	Region, Own string
	// Decline is set on a daemon that does not read the store for others: it rejects requests for a
	// feed.
	Decline bool
	// Seed is set on a daemon whose address other daemons ask at their start.
	Seed bool

	dial      dialFunc // replaces dialPeer in tests, otherwise nil
	feeds     atomic.Pointer[feeds]
	declines  decliners
	proof     proof
	answering atomic.Bool // a response of the store is arriving
	listed    bool
	failedAt  time.Time // time of the first of the consecutive failures
	failures  int
	pause     time.Duration
	patience  time.Duration // see newPatience
	alone     bool          // the daemon reads the store as a last resort
	pulse     pulse
}

// Run keeps the fleet up to date until the context ends. The daemon gets a feed from a reader of
// its region, or reads the store if it is a reader itself or no reader is current. While it changes
// from one source to the other, it uses both.
func (f *Follower) Run(ctx context.Context) {
	feeds := newFeeds(f.Region, f.Own, f.Fleet, f.Decline, &f.declines)
	if f.dial != nil {
		feeds.dial = f.dial
	}
	f.feeds.Store(feeds)
	var feeding sync.WaitGroup
	if f.Own != "" {
		feeding.Go(func() { f.followReaders(ctx) })
	}
	defer feeding.Wait()
	for ctx.Err() == nil {
		if !f.reads(time.Now()) {
			sleep(ctx, roleTick)
			continue
		}
		f.patience = f.newPatience()
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errFromPeer):
		case err != nil:
			f.failed(ctx, err)
		default:
			f.succeeded()
			sleep(ctx, pace)
		}
	}
}

// reads reports whether the daemon has to read the store. A daemon that is not a reader does so
// only as a last resort, and then continues until it has a feed again.
func (f *Follower) reads(now time.Time) bool {
	if f.Own == "" || f.Fleet.View().Table == nil || !f.feeds.Load().fed(now) {
		return true
	}
	age, _ := f.proof.ages(now)
	unfed := f.Reader() == ""
	outrun := unfed && f.Fleet.Lag(now) > behindTime+f.scatter()
	f.alone = age > freshTime+feedGrace+f.patience || outrun || f.alone && unfed
	return f.alone
}

// scatter returns an additional time, different for each daemon, for which a daemon without a feed
// may lag behind others before it reads the store. Others being ahead means that the store and the
// readers work, so that few daemons lag.
func (f *Follower) scatter() time.Duration { return max(0, f.patience-takeOverTime) / 2 }

// newPatience returns a random time for which the daemon leaves the store to the next readers in
// the ranking when no reader is current. Its maximum grows with the fleet, so that the reads of
// many daemons do not saturate the link that the readers use.
func (f *Follower) newPatience() time.Duration {
	return takeOverTime + rand.N(time.Duration(1+len(f.Fleet.View().Instances))*patienceEach)
}

// fromOthers reports whether the daemon should have a feed: always if it is not a reader, and
// otherwise only while the store does not respond to it.
func (f *Follower) fromOthers(now time.Time) bool {
	if f.feeds.Load().fed(now) {
		return true
	}
	_, own := f.proof.ages(now)
	return own > freshTime && !f.answering.Load()
}

// first gets the first state, from another daemon or from the store. When many daemons start at
// once and each reads the full state from the store, these reads saturate the link between regions
// for seconds, while the response of another daemon is small. So only the seeds read the store at
// once. All daemons ask others, and those without a response read the store after a random delay.
// The delay is shorter for daemons with plenty of bandwidth, so that they can serve the others.
// Daemons that decline to be readers read only the list of instances meanwhile, to learn the
// addresses of neighbours to ask.
func (f *Follower) first(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, firstTimeout)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	var patience time.Duration
	switch {
	case f.Seed:
	case f.Decline:
		patience = seedTime + rand.N(seedTime)
		calls.Go(func() { f.introduce(ctx) })
	default:
		patience = rand.N(seedTime)
	}
	listed, told := make(chan listAnswer, 1), make(chan peerAnswer, askers)
	calls.Go(func() {
		if sleep(ctx, patience); ctx.Err() != nil {
			listed <- listAnswer{err: ctx.Err()}
			return
		}
		state, err := f.Store.List(ctx)
		listed <- listAnswer{state, err}
	})
	for range askers {
		calls.Go(func() { f.askUntilTold(ctx, told) })
	}
	select {
	case a := <-listed:
		return f.takeList(a)
	case a := <-told:
		f.take(a)
		return errFromPeer
	}
}

// errFromPeer is returned by first if the state came from another daemon, not from the store.
var errFromPeer = errors.New("the state came from another daemon")

// introduce reads the list of instances and passes the addresses to Peers.Introduce, in random
// order: those of the other daemons of the own region or, if it has none, those of all other
// regions.
func (f *Follower) introduce(ctx context.Context) {
	if sleep(ctx, introduceAfter); ctx.Err() != nil {
		return // another daemon or the store has responded
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
	var near, far []string
	for i := range list {
		switch inst := &list[i]; {
		case inst.ForwardAddr == f.Own:
		case inst.Place.Region == f.Region:
			near = append(near, inst.ForwardAddr)
		default:
			far = append(far, inst.ForwardAddr)
		}
	}
	if len(near) == 0 {
		near = far
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	f.Peers.Introduce(near)
}

// peerAnswer is the state of another daemon and that daemon's address.
type peerAnswer struct {
	state  catalog.State
	source string
}

// askUntilTold asks one daemon after the other until one responds with its state.
func (f *Follower) askUntilTold(ctx context.Context, told chan<- peerAnswer) {
	for ctx.Err() == nil {
		answer, err := f.askOne(ctx, 0)
		if err == nil {
			told <- answer
			return
		}
		sleep(ctx, askPause)
	}
}

// take applies the state of another daemon. This state does not prove that the view is current, but
// counts as a proof of half the maximum age, so that the daemon has time to find a reader.
func (f *Follower) take(a peerAnswer) {
	f.listed = true
	f.Fleet.Replace(a.state, a.source)
	f.proof.told(time.Now().Add(-freshTime / 2))
}

// listAnswer is the result of a read of the full state.
type listAnswer struct {
	state catalog.State
	err   error
}

// takeList applies the full state of the store.
func (f *Follower) takeList(a listAnswer) error {
	f.count("list", a.err)
	if a.err != nil {
		return a.err
	}
	f.cameBack(a.state.Revision)
	f.listed = true
	f.Fleet.Replace(a.state, "store")
	return nil
}

// watch waits for the next change in the store.
func (f *Follower) watch(ctx context.Context) (catalog.State, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTime+holdSlack+answerTime)
	defer cancel()
	answering, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	defer f.answering.Store(false)
	lost := time.AfterFunc(holdTime+holdSlack, cancel)
	defer lost.Stop()
	go cancelIfBehind(cancel, f.Fleet.Behind(), answering, done)
	hold := holdTime
	if f.failures > 0 {
		hold = probeHold
	}
	return f.Store.Watch(ctx, f.Fleet.Revision(), hold, sync.OnceFunc(func() {
		lost.Stop()
		f.answering.Store(true)
		close(answering)
	}))
}

// cancelIfBehind cancels a watch when other daemons have a newer revision, unless its response is
// already arriving: a large response may take longer to arrive here than at the others, and asking
// again would delay it further.
func cancelIfBehind(cancel func(), behind, answering, done <-chan struct{}) {
	select {
	case <-behind:
		select {
		case <-answering:
		default:
			cancel()
		}
	case <-answering:
	case <-done:
	}
}

// Fresh reports whether the view counts as current.
func (f *Follower) Fresh() bool { return f.Age() <= freshTime }

// Age returns the age of the last proof that the view is current. It is 0 while a response of the
// store is arriving, since a large one takes some time.
func (f *Follower) Age() time.Duration {
	if f.answering.Load() {
		return 0
	}
	age, _ := f.proof.ages(time.Now())
	return age
}

// Reader returns the address of the reader whose feed is in use, or an empty string.
func (f *Follower) Reader() string {
	if feeds := f.feeds.Load(); feeds != nil {
		return feeds.reader()
	}
	return ""
}

// step reads the full state, or waits for the next change.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed && f.Fleet.View().Table == nil && f.Peers != nil {
		return f.first(ctx)
	}
	if !f.listed || f.missedTables(time.Now()) {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		state, err := f.Store.List(ctx)
		return f.takeList(listAnswer{state, err})
	}
	state, err := f.watch(ctx)
	f.count("watch", err)
	if errors.Is(err, ErrHistoryGone) {
		f.listed = false
		return nil
	}
	var over *exchange.BoundError
	if errors.As(err, &over) {
		f.listed = false // the full state comes in pages, and is smaller than all changes together
	}
	if err != nil {
		return err
	}
	f.cameBack(state.Revision)
	f.Fleet.Apply(state, "store")
	return nil
}

// missedTables reports whether the store has probably had several new tables since the daemon's
// last freshness proof.
func (f *Follower) missedTables(now time.Time) bool {
	f.pulse.note(now, f.Fleet.View())
	age, _ := f.proof.ages(now)
	return age > missedTime && f.pulse.storm(now)
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

// cameBack reports the end of an outage to the fleet before the newly read state is applied. If
// another daemon could read the store meanwhile, there was no outage: no entries have expired
// because of it, and instances missing from the store have really left.
func (f *Follower) cameBack(revision uint64) {
	if now := time.Now(); f.proof.away(now) {
		f.Fleet.Returned(now, revision)
	}
}

func (f *Follower) succeeded() {
	if f.failures > 0 {
		f.Log.Info("store_regained", zap.Int("failures", f.failures), zap.Duration("away", time.Since(f.failedAt)), zap.Uint64("revision", f.Fleet.Revision()))
	}
	f.failures, f.pause = 0, 0
	f.proof.answered(time.Now())
}

func (f *Follower) failed(ctx context.Context, err error) {
	f.failures++
	f.proof.failed(time.Now())
	if f.failures == 1 {
		f.failedAt = time.Now()
		f.Log.Warn("store_lost", zap.Error(err), zap.Uint64("revision", f.Fleet.Revision()))
	}
	if f.Peers != nil && (f.Fleet.View().Table == nil || time.Since(f.failedAt) >= askAfter) {
		f.ask(ctx)
	}
	f.pause = min(max(2*f.pause, minBackoff), maxBackoff)
	sleep(ctx, f.pause/2+time.Duration(rand.Int64N(int64(f.pause))))
}

// ask applies the state of another daemon that has a newer revision.
func (f *Follower) ask(ctx context.Context) {
	answer, err := f.askOne(ctx, f.Fleet.Revision())
	if err != nil {
		f.Log.Debug("peer_state_not_read", zap.Error(err))
		return
	}
	f.take(answer)
}

// askOne asks one daemon for a state newer than the revision.
func (f *Follower) askOne(ctx context.Context, newer uint64) (peerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state, source, err := f.Peers.AskState(ctx, newer)
	return peerAnswer{state, source}, err
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
