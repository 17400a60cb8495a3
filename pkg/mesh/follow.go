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
	// holdTime is the time after which a watch without news returns, and holdSlack the time
	// beyond it after which a watch without an answer counts as lost. Together they bound the
	// time for which a reader whose connection has gone silent still seems to follow the store;
	// those that it feeds need the rest of the 2 s, in which a change has to be in force, to
	// find another way.
	holdTime  = 700 * time.Millisecond
	holdSlack = 400 * time.Millisecond
	// probeHold is the hold of a watch after a failed call: the return of the store is noticed
	// at once, so that what changes after it is told from what was lost before.
	probeHold = time.Millisecond
	// answerTime bounds the time in which an answer arrives once it has begun.
	answerTime = 3 * time.Second
	// freshTime is the age of the last proof from the store up to which the view counts as
	// current. Beyond it a daemon looks for another way.
	freshTime = holdTime + holdSlack + pace
	// patienceEach is what each instance adds to the longest time for which a daemon leaves the
	// store to others: a read of some 100 kB takes as long on a link of 100 Mbit/s.
	patienceEach = 8 * time.Millisecond
	// roleTick is the period of looks at the own role while nothing is to be done.
	roleTick = 50 * time.Millisecond
	// stormTime is the time within which two new tables make a storm. A watch that has missed
	// changes of a storm brings every table between, a list only the last one.
	stormTime = 3 * time.Second
	// missedTime is the age of the own state from which on a storm has brought several tables.
	missedTime = 600 * time.Millisecond
	// listTimeout bounds the read of the whole state.
	listTimeout = 1500 * time.Millisecond
	// firstTimeout bounds the first read of the whole state. Meanwhile askers questions to
	// other daemons are under way, with askPause between them; one costs some 200 bytes.
	firstTimeout = 4 * time.Second
	askers       = 2
	askPause     = 30 * time.Millisecond
	// seedTime is the time, and again the scatter, for which a daemon that starts leaves the
	// read of the whole state to others: reading and passing on takes them some 300 ms.
	seedTime = 500 * time.Millisecond
	// introduceAfter is the time for which a weak daemon that starts asks the seeds alone.
	introduceAfter = 60 * time.Millisecond
	// pace is the time from an answer to the next watch. Each answer is a call that the
	// platform bills, and changes that come together are read together. The bound for a change
	// to be in force is 2 s or more.
	pace = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call, doubling from one to the
	// other. A daemon that finds the store again must be in step well within 2 s.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// outageTime is the time without a proof, over two failed calls or more, after which the
	// store counts as away.
	outageTime = time.Second
	// askAfter is the time for which calls have failed when other daemons are asked.
	askAfter = 250 * time.Millisecond
)

// Peers asks other daemons for their state.
type Peers interface {
	// AskState returns the state of another daemon that is newer than the revision, or an error.
	AskState(ctx context.Context, newer uint64) (catalog.State, string, error)
	// Introduce names daemons to ask until the own view does.
	Introduce(addresses []string)
}

// Follower keeps a Fleet in step with the store.
type Follower struct {
	Store Store
	Fleet *Fleet
	Peers Peers
	Log   *zap.Logger
	// Calls counts the calls to the store by outcome; it may be nil.
	Calls func(call, outcome string)
	// Region and Own are the region and the forward address of the daemon. If they are set, the
	// daemon reads the store only as one of its region's readers, or while it is not fed.
	Region, Own string
	// Decline says that the daemon does not read for others.
	Decline bool
	// Seed says that daemons that start ask this one.
	Seed bool

	dial      dialFunc // in place of dialPeer; nil outside of tests
	feeds     atomic.Pointer[feeds]
	declines  decliners
	proof     proof
	answering atomic.Bool // an answer of the store is arriving
	listed    bool
	failedAt  time.Time // of the first failure in a row
	failures  int
	pause     time.Duration
	patience  time.Duration // see newPatience
	alone     bool          // the daemon reads the store as the last resort
	pulse     pulse
}

// Run follows the store until the context ends. A daemon is fed by the readers of its region
// and reads the store as one of them, or while none of them is current. Both go on at the same
// time while one way takes over from the other.
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

// reads reports whether the daemon is to read the store. One that is fed by others does so as the
// last resort, and goes on until it follows a reader again.
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

// scatter returns the time for which a daemon without a reader leaves the store alone although
// others know more. The store and the readers work then, and few daemons are out of step.
func (f *Follower) scatter() time.Duration { return max(0, f.patience-takeOverTime) / 2 }

// newPatience returns the time for which the daemon leaves the store to the next readers in the
// order when none is current. It grows with the fleet, so that the reads of many daemons do not
// fill the link over which the readers read.
func (f *Follower) newPatience() time.Duration {
	return takeOverTime + rand.N(time.Duration(1+len(f.Fleet.View().Instances))*patienceEach)
}

// fromOthers reports whether the daemon is to take changes from a reader: always, unless it is
// one itself and the store answers.
func (f *Follower) fromOthers(now time.Time) bool {
	if f.feeds.Load().fed(now) {
		return true
	}
	_, own := f.proof.ages(now)
	return own > freshTime && !f.answering.Load()
}

// first gets a first state from other daemons or from the store. When many daemons start at
// once, the whole configuration for each of them fills the link between regions for seconds,
// while the answer of another daemon is small. So only the seeds read the store at once; all
// ask others, and those that get no answer read it at a random time: daemons with plenty of
// bandwidth earlier, so that others can ask them. Weak ones read only the list of instances
// meanwhile, which names neighbours to ask.
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

// errFromPeer says that the state came from another daemon, not from the store.
var errFromPeer = errors.New("the state came from another daemon")

// introduce reads the list of instances and names those to ask: the ones of the own region if
// there are any others, in random order.
func (f *Follower) introduce(ctx context.Context) {
	if sleep(ctx, introduceAfter); ctx.Err() != nil {
		return // a seed has answered
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

// peerAnswer is the state of another daemon.
type peerAnswer struct {
	state  catalog.State
	source string
}

// askUntilTold asks one daemon after the other until one answers with its state.
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

// take takes the state of another daemon. It proves nothing about the store, but leaves some
// time to find a reader.
func (f *Follower) take(a peerAnswer) {
	f.listed = true
	f.Fleet.Replace(a.state, a.source)
	f.proof.told(time.Now().Add(-freshTime / 2))
}

// listAnswer is the answer to a read of the whole state.
type listAnswer struct {
	state catalog.State
	err   error
}

// takeList takes the whole state of the store.
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

// watch waits for the next change.
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

// cancelIfBehind ends a watch when other daemons know more, unless its answer is on the way:
// a large one may take longer than theirs, and asking again would make it later still.
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

// Fresh reports whether the view is known to be current.
func (f *Follower) Fresh() bool { return f.Age() <= freshTime }

// Age returns the age of the last proof that the view is current. A large answer that is
// arriving counts as one.
func (f *Follower) Age() time.Duration {
	if f.answering.Load() {
		return 0
	}
	age, _ := f.proof.ages(time.Now())
	return age
}

// Reader returns the address of the reader that is followed, empty without one.
func (f *Follower) Reader() string {
	if feeds := f.feeds.Load(); feeds != nil {
		return feeds.reader()
	}
	return ""
}

// step reads the whole state, or waits for the next change.
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
		f.listed = false // the state comes in pages, and is less than all that has changed
	}
	if err != nil {
		return err
	}
	f.cameBack(state.Revision)
	f.Fleet.Apply(state, "store")
	return nil
}

// missedTables reports whether the store has probably had several tables since the own state.
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

// cameBack tells the fleet about the end of an outage before what it brings is applied. A store
// that only this daemon could not read was not away: no entries lapsed, and what it removed has left.
func (f *Follower) cameBack(revision uint64) {
	if now := time.Now(); f.proof.away(now) {
		f.Fleet.StoreRecovered(now, revision)
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

// ask takes the state of another daemon that knows more.
func (f *Follower) ask(ctx context.Context) {
	answer, err := f.askOne(ctx, f.Fleet.Revision())
	if err != nil {
		f.Log.Debug("peer_state_not_read", zap.Error(err))
		return
	}
	f.take(answer)
}

// askOne asks one daemon for a state newer than a revision.
func (f *Follower) askOne(ctx context.Context, newer uint64) (peerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state, source, err := f.Peers.AskState(ctx, newer)
	return peerAnswer{state, source}, err
}

// askTimeout bounds the read of another daemon's state.
const askTimeout = 700 * time.Millisecond

// await waits for a signal, at most for a time.
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
