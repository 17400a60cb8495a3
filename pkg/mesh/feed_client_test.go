package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
)

// inForceTime is the time within which a change must be in force.
const inForceTime = 2 * time.Second

// errUnreachable is returned for anything that this daemon cannot reach.
var errUnreachable = errors.New("the daemon is unreachable")

// testRegion is a region of daemons connected by pipes. Some read the store for others, the rest
// decline.
type testRegion struct {
	t       *testing.T
	fleet   *Fleet // state of the readers
	ranking []string
	servers map[string]*pipeServer

	declines declinedPeers // known to all daemons of the region

	mu      sync.Mutex
	reads   map[string]bool
	asked   int    // number of requests for a feed that were declined
	follows string // the reader that declining daemons name in their response
	// dials and answers hold the time that connecting to a daemon takes, and the time until it
	// responds.
	dials, answers map[string]time.Duration
}

// pipeServer is an HTTP server that accepts connections over pipes.
type pipeServer struct {
	conns      chan net.Conn
	done, stop chan struct{}
	http       *http.Server
	once       sync.Once
}

func (s *pipeServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

func (s *pipeServer) Close() error   { return nil }
func (s *pipeServer) Addr() net.Addr { return &net.TCPAddr{} }

// newTestRegion returns a region of n daemons. Those at the given ranks read the store for others.
func newTestRegion(t *testing.T, n int, readers ...int) *testRegion {
	region := &testRegion{
		t: t, fleet: fleetOf(t, n), reads: make(map[string]bool), servers: make(map[string]*pipeServer),
		dials: make(map[string]time.Duration), answers: make(map[string]time.Duration),
	}
	region.ranking = region.fleet.View().Ranking("a")
	for _, rank := range readers {
		region.reads[region.ranking[rank]] = true
	}
	region.follows = region.ranking[readers[0]]
	for _, address := range region.ranking {
		region.serve(address)
	}
	return region
}

// serve starts the feed server of a daemon.
func (region *testRegion) serve(address string) {
	s := &pipeServer{conns: make(chan net.Conn), done: make(chan struct{}), stop: make(chan struct{})}
	feed := &feedServer{
		fleet: region.fleet, age: func() time.Duration { return 0 }, decline: !region.reads[address], stopped: s.stop, declined: &region.declines,
		reader: func() string {
			region.mu.Lock()
			defer region.mu.Unlock()
			region.asked++
			return region.follows
		},
	}
	s.http = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		region.mu.Lock()
		wait := region.answers[address]
		region.mu.Unlock()
		sleep(r.Context(), wait)
		feed.ServeHTTP(rw, r)
	})}
	region.servers[address] = s
	go func() { _ = s.http.Serve(s) }()
}

// setDelays sets the times for connecting and responding of all daemons.
func (region *testRegion) setDelays(dial, answer time.Duration) {
	region.mu.Lock()
	defer region.mu.Unlock()
	for _, address := range region.ranking {
		region.dials[address], region.answers[address] = dial, answer
	}
}

// dial connects to a daemon of the region.
func (region *testRegion) dial(ctx context.Context, address string) (net.Conn, error) {
	region.mu.Lock()
	wait, s := region.dials[address], region.servers[address]
	region.mu.Unlock()
	if sleep(ctx, min(wait, peerDial)); wait > peerDial || ctx.Err() != nil {
		return nil, errUnreachable
	}
	near, far := net.Pipe()
	select {
	case s.conns <- far:
		return near, nil
	case <-s.done:
		return nil, errUnreachable
	}
}

// stop stops a daemon.
func (region *testRegion) stop(address string) {
	s := region.servers[address]
	s.once.Do(func() {
		close(s.stop)
		close(s.done)
		_ = s.http.Close()
	})
}

func (region *testRegion) close() {
	for address := range region.servers {
		region.stop(address)
	}
}

// noStore is a store that this daemon cannot reach.
type noStore struct{}

func (noStore) List(context.Context) (catalog.State, error) { return catalog.State{}, errUnreachable }

func (noStore) Instances(context.Context) ([]catalog.Instance, error) { return nil, errUnreachable }

func (noStore) Watch(context.Context, uint64, time.Duration, func()) (catalog.State, error) {
	return catalog.State{}, errUnreachable
}

// decliningFollower returns the follower of a daemon of the region that does not read the store for
// others.
func (region *testRegion) decliningFollower(own string, store Store) *Follower {
	f := &Follower{
		Store: store, Fleet: fleetOf(region.t, len(region.ranking)), Log: zap.NewNop(), Region: "a", OwnAddr: own, Decline: true, dial: region.dial,
	}
	f.listed = true
	f.fallbackDelay = f.newFallbackDelay()
	f.freshness.peerProved(time.Now())
	return f
}

// runDecliningDaemon runs the daemon of the last rank, which does not read for others, in virtual time.
func runDecliningDaemon(t *testing.T, n int, readers []int, test func(region *testRegion, f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		region := newTestRegion(t, n, readers...)
		ctx, cancel := context.WithCancel(context.Background())
		f := region.decliningFollower(region.ranking[n-1], noStore{})
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			<-done
			region.close()
		}()
		test(region, f)
	})
}

// maxProofAge returns the maximum age of the daemon's freshness proof over a period.
func maxProofAge(f *Follower, within time.Duration) time.Duration {
	var age time.Duration
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		age = max(age, f.Age())
	}
	return age
}

// The daemons ranked before the reader in use decline, and the link is saturated. Guards against a
// daemon that drops its feed in order to ask them, and misses changes meanwhile.
func TestFeedIsKeptWhileOthersAreAsked(t *testing.T) {
	runDecliningDaemon(t, 20, []int{12, 15}, func(region *testRegion, f *Follower) {
		time.Sleep(5 * time.Second)
		region.setDelays(300*time.Millisecond, 300*time.Millisecond)
		age := maxProofAge(f, time.Minute)
		region.t.Logf("maximum age of the freshness proof: %v", age)
		require.LessOrEqual(region.t, age, 2*frameInterval)
	})
}

// The reader in use stops while the link to the other daemons is saturated. Guards against asking
// one daemon after the other for longer than a change may take to be in force.
func TestFindsAFeedBehindAFullLink(t *testing.T) {
	for name, delay := range map[string]time.Duration{"free": 0, "slow": 300 * time.Millisecond, "unreachable": time.Second} {
		t.Run(name, func(t *testing.T) {
			runDecliningDaemon(t, 20, []int{12, 15}, func(region *testRegion, f *Follower) {
				time.Sleep(30 * time.Second)
				stopped, other := region.ranking[12], region.ranking[15]
				if f.Reader() == other {
					stopped, other = other, stopped
				}
				region.setDelays(delay, delay)
				region.mu.Lock()
				region.follows = other
				if delay > peerDial {
					region.dials[other], region.answers[other] = 0, 0
				}
				region.mu.Unlock()
				region.stop(stopped)
				age := maxProofAge(f, 10*time.Second)
				region.t.Logf("maximum age of the freshness proof: %v", age)
				require.LessOrEqual(region.t, age, maxFreshAge)
				require.Equal(region.t, other, f.Reader())
			})
		})
	}
}

// All daemons of a region except the readers decline. Guards against asking each of them repeatedly
// although one of them can name the others.
func TestKnownDeclinersAreNotAsked(t *testing.T) {
	runDecliningDaemon(t, 60, []int{40, 50}, func(region *testRegion, f *Follower) {
		region.declineAll()
		time.Sleep(time.Minute)
		region.mu.Lock()
		defer region.mu.Unlock()
		region.t.Logf("declined requests for a feed: %d", region.asked)
		require.LessOrEqual(region.t, region.asked, maxAsked)
	})
}

// The reader in use was named by a declining daemon and stops, while a reader ranked before it
// still runs. Guards against a daemon that assumes that all daemons ranked before the named reader
// decline, and asks none of them.
func TestReadersBeforeTheNamedOneAreAsked(t *testing.T) {
	runDecliningDaemon(t, 20, []int{12, 15}, func(region *testRegion, f *Follower) {
		region.mu.Lock()
		region.follows = region.ranking[15]
		region.mu.Unlock()
		time.Sleep(5 * time.Second)
		region.stop(region.ranking[15])
		age := maxProofAge(f, 5*time.Second)
		region.t.Logf("maximum age of the freshness proof: %v", age)
		require.Equal(region.t, region.ranking[12], f.Reader())
		require.LessOrEqual(region.t, age, 2*frameInterval)
	})
}

// idleStore is a reachable store without changes, at a given revision.
type idleStore struct {
	mu       sync.Mutex
	revision uint64
}

func (s *idleStore) state() catalog.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return catalog.State{Revision: s.revision}
}

func (s *idleStore) List(context.Context) (catalog.State, error) { return s.state(), nil }

func (s *idleStore) Instances(context.Context) ([]catalog.Instance, error) { return nil, nil }

func (s *idleStore) Watch(ctx context.Context, after uint64, hold time.Duration, answering func()) (catalog.State, error) {
	state := s.state()
	if after == state.Revision {
		sleep(ctx, hold)
	}
	answering()
	return state, ctx.Err()
}

// change advances the store to the next revision.
func (s *idleStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
}

// declineAll records for all daemons of the region which of them decline.
func (region *testRegion) declineAll() {
	for _, address := range region.ranking {
		if !region.reads[address] {
			region.declines.record(time.Now(), address, declineTTL)
		}
	}
}

// All readers of a region stop, and its other daemons decline. Guards against all of them reading
// the store at once, which saturates the link that the next readers need, and against a daemon that
// stops reading before it has a feed.
func TestLastResortReadsAreSpread(t *testing.T) {
	const n, step = 60, 10 * time.Millisecond
	start, fleet, known := time.Now(), fleetOf(t, n+2), &declinedPeers{}
	ranking := fleet.View().Ranking("a")
	readers, others := ranking[n:], ranking[:n]
	for _, address := range others {
		known.record(start, address, declineTTL)
	}
	begun := make(map[time.Duration]int) // reads, by the time in 100 ms
	for _, own := range others {
		f := &Follower{Fleet: fleet, Region: "a", OwnAddr: own, Decline: true}
		f.fallbackDelay = f.newFallbackDelay()
		f.feedClient.Store(newFeedClient("a", own, fleet, true, known))
		f.freshness.peerProved(start)
		now := start
		for ; !f.shouldRead(now); now = now.Add(step) {
			for _, reader := range readers { // connecting to it fails
				f.feedClient.Load().endAttempt(now, reader, errUnreachable)
			}
		}
		require.Less(t, now.Sub(start), maxFreshAge+proofAgeTolerance+takeoverTime+(n+3)*fallbackDelayPerInstance+step)
		begun[now.Sub(start)/(100*time.Millisecond)]++
		f.freshness.responseReceived(now)
		require.True(t, f.shouldRead(now.Add(watchPause)))
		f.feedClient.Load().useFeed(now.Add(watchPause), readers[0], true)
		require.False(t, f.shouldRead(now.Add(watchPause)))
	}
	for at, reads := range begun {
		require.LessOrEqual(t, reads, n/2, "reads of all daemons within 100 ms, after %v", at*100*time.Millisecond)
	}
	t.Logf("reads in each 100 ms: %v", begun)
}

// A daemon reaches none of the readers while others have a newer revision. Guards against a daemon
// that leaves the store to the readers for longer than a change may take to be in force.
func TestLastResortComesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		region, store := newTestRegion(t, 60, 40, 50), &idleStore{revision: 1}
		region.declineAll()
		f := region.decliningFollower(region.ranking[59], store)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			<-done
			region.close()
		}()
		time.Sleep(10 * time.Second)
		region.setDelays(time.Second, time.Second)
		region.stop(f.Reader())
		store.change()
		began := time.Now()
		for f.Fleet.Revision() < 2 && time.Since(began) < time.Minute {
			f.Fleet.ObserveRevision(time.Now(), 2)
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("up to date after %v", time.Since(began))
		require.LessOrEqual(t, time.Since(began), inForceTime)
		// The daemon continues to read the store while it has no feed.
		require.LessOrEqual(t, maxProofAge(f, 10*time.Second), maxFreshAge)
	})
}
