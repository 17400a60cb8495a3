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

// inForceTime is the time within which platforms want a change to be in force.
const inForceTime = 2 * time.Second

// errNoWay is the error of whatever this daemon does not reach.
var errNoWay = errors.New("no way there")

// town is a region of daemons on pipes: some read for others, the rest declines.
type town struct {
	t       *testing.T
	fleet   *Fleet // of the readers
	ranking []string
	servers map[string]*pipeServer

	declines declinedPeers // known to all daemons of the town

	mu      sync.Mutex
	reads   map[string]bool
	asked   int    // number of requests for a feed that were declined
	follows string // the reader that declining daemons name
	// dials and answers are the times for connecting and for an answer.
	dials, answers map[string]time.Duration
}

// pipeServer serves on pipes.
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

// newTown returns a region of n daemons, of which those of the ranks given read for others.
func newTown(t *testing.T, n int, readers ...int) *town {
	w := &town{
		t: t, fleet: fleetOf(t, n), reads: make(map[string]bool), servers: make(map[string]*pipeServer),
		dials: make(map[string]time.Duration), answers: make(map[string]time.Duration),
	}
	w.ranking = w.fleet.View().Ranking("a")
	for _, rank := range readers {
		w.reads[w.ranking[rank]] = true
	}
	w.follows = w.ranking[readers[0]]
	for _, address := range w.ranking {
		w.serve(address)
	}
	return w
}

// serve starts a daemon's answers to those that ask it for a feed.
func (w *town) serve(address string) {
	s := &pipeServer{conns: make(chan net.Conn), done: make(chan struct{}), stop: make(chan struct{})}
	feed := &feedServer{
		fleet: w.fleet, age: func() time.Duration { return 0 }, decline: !w.reads[address], stopped: s.stop, declined: &w.declines,
		reader: func() string {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.asked++
			return w.follows
		},
	}
	s.http = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		wait := w.answers[address]
		w.mu.Unlock()
		sleep(r.Context(), wait)
		feed.ServeHTTP(rw, r)
	})}
	w.servers[address] = s
	go func() { _ = s.http.Serve(s) }()
}

// slow sets the times for connecting and for an answer of all daemons.
func (w *town) slow(dial, answer time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, address := range w.ranking {
		w.dials[address], w.answers[address] = dial, answer
	}
}

// dial connects to a daemon of the town.
func (w *town) dial(ctx context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	wait, s := w.dials[address], w.servers[address]
	w.mu.Unlock()
	if sleep(ctx, min(wait, peerDial)); wait > peerDial || ctx.Err() != nil {
		return nil, errNoWay
	}
	near, far := net.Pipe()
	select {
	case s.conns <- far:
		return near, nil
	case <-s.done:
		return nil, errNoWay
	}
}

// stop ends a daemon.
func (w *town) stop(address string) {
	s := w.servers[address]
	s.once.Do(func() {
		close(s.stop)
		close(s.done)
		_ = s.http.Close()
	})
}

func (w *town) close() {
	for address := range w.servers {
		w.stop(address)
	}
}

// noStore is a store that this daemon does not reach.
type noStore struct{}

func (noStore) List(context.Context) (catalog.State, error) { return catalog.State{}, errNoWay }

func (noStore) Instances(context.Context) ([]catalog.Instance, error) { return nil, errNoWay }

func (noStore) Watch(context.Context, uint64, time.Duration, func()) (catalog.State, error) {
	return catalog.State{}, errNoWay
}

// weak returns the follower of a daemon of the town that does not read for others.
func (w *town) weak(own string, store Store) *Follower {
	f := &Follower{
		Store: store, Fleet: fleetOf(w.t, len(w.ranking)), Log: zap.NewNop(), Region: "a", OwnAddr: own, Decline: true, dial: w.dial,
	}
	f.listed = true
	f.fallbackDelay = f.newFallbackDelay()
	f.freshness.peerProved(time.Now())
	return f
}

// play runs the weak daemon of the last rank of a town in virtual time.
func play(t *testing.T, n int, readers []int, test func(w *town, f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		w := newTown(t, n, readers...)
		ctx, cancel := context.WithCancel(context.Background())
		f := w.weak(w.ranking[n-1], noStore{})
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			<-done
			w.close()
		}()
		test(w, f)
	})
}

// oldest returns the highest age of the daemon's proof within a time.
func oldest(f *Follower, within time.Duration) time.Duration {
	var age time.Duration
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		age = max(age, f.Age())
	}
	return age
}

// Replays a reader that is followed while the daemons before it in the order decline, over a full
// link. Guards against a daemon that leaves it in order to ask them, and misses changes meanwhile.
func TestFeedIsKeptWhileOthersAreAsked(t *testing.T) {
	play(t, 20, []int{12, 15}, func(w *town, f *Follower) {
		time.Sleep(5 * time.Second)
		w.slow(300*time.Millisecond, 300*time.Millisecond)
		age := oldest(f, time.Minute)
		w.t.Logf("oldest proof: %v", age)
		require.LessOrEqual(w.t, age, 2*frameInterval)
	})
}

// Replays the end of a reader while the way to the others is full. Guards against asking one
// daemon after the other for longer than a change may take to be in force.
func TestFindsAFeedBehindAFullLink(t *testing.T) {
	for name, way := range map[string]time.Duration{"free": 0, "slow": 300 * time.Millisecond, "unreachable": time.Second} {
		t.Run(name, func(t *testing.T) {
			play(t, 20, []int{12, 15}, func(w *town, f *Follower) {
				time.Sleep(30 * time.Second)
				left, other := w.ranking[12], w.ranking[15]
				if f.Reader() == other {
					left, other = other, left
				}
				w.slow(way, way)
				w.mu.Lock()
				w.follows = other
				if way > peerDial {
					w.dials[other], w.answers[other] = 0, 0
				}
				w.mu.Unlock()
				w.stop(left)
				age := oldest(f, 10*time.Second)
				w.t.Logf("oldest proof: %v", age)
				require.LessOrEqual(w.t, age, maxFreshAge)
				require.Equal(w.t, other, f.Reader())
			})
		})
	}
}

// Replays a reader in a region whose other daemons decline. Guards against asking each of them,
// again and again, when one of them can name the others.
func TestKnownDeclinersAreNotAsked(t *testing.T) {
	play(t, 60, []int{40, 50}, func(w *town, f *Follower) {
		w.declineAll()
		time.Sleep(time.Minute)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.t.Logf("decliners asked: %d", w.asked)
		require.LessOrEqual(w.t, w.asked, maxAsked)
	})
}

// Replays the end of a reader that is followed second to another one. Guards against a daemon that
// takes the readers before the one that is named to it for declinedPeers, and asks none of them.
func TestReadersBeforeTheNamedOneAreAsked(t *testing.T) {
	play(t, 20, []int{12, 15}, func(w *town, f *Follower) {
		w.mu.Lock()
		w.follows = w.ranking[15]
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		w.stop(w.ranking[15])
		age := oldest(f, 5*time.Second)
		w.t.Logf("oldest proof: %v", age)
		require.Equal(w.t, w.ranking[12], f.Reader())
		require.LessOrEqual(w.t, age, 2*frameInterval)
	})
}

// openStore is a store without news at a revision.
type openStore struct {
	mu       sync.Mutex
	revision uint64
}

func (s *openStore) state() catalog.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return catalog.State{Revision: s.revision}
}

func (s *openStore) List(context.Context) (catalog.State, error) { return s.state(), nil }

func (s *openStore) Instances(context.Context) ([]catalog.Instance, error) { return nil, nil }

func (s *openStore) Watch(ctx context.Context, after uint64, hold time.Duration, answering func()) (catalog.State, error) {
	state := s.state()
	if after == state.Revision {
		sleep(ctx, hold)
	}
	answering()
	return state, ctx.Err()
}

// change moves the store to the next revision.
func (s *openStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
}

// declineAll lets the daemons of a town know which of them decline.
func (w *town) declineAll() {
	for _, address := range w.ranking {
		if !w.reads[address] {
			w.declines.record(time.Now(), address, declineTTL)
		}
	}
}

// Replays the end of all readers of a region whose other daemons decline. Guards against all of
// them reading the store at once, which fills the link that the next readers need, and against
// ceasing to read before a reader is followed.
func TestLastResortIsScattered(t *testing.T) {
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
			for _, reader := range readers { // cannot be reached
				f.feedClient.Load().endAttempt(now, reader, errNoWay)
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

// Replays a daemon that reaches none of the readers while others know more. Guards against one that
// leaves the store to them for longer than a change may take to be in force.
func TestLastResortComesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, store := newTown(t, 60, 40, 50), &openStore{revision: 1}
		w.declineAll()
		f := w.weak(w.ranking[59], store)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			<-done
			w.close()
		}()
		time.Sleep(10 * time.Second)
		w.slow(time.Second, time.Second)
		w.stop(f.Reader())
		store.change()
		began := time.Now()
		for f.Fleet.Revision() < 2 && time.Since(began) < time.Minute {
			f.Fleet.ObserveRevision(time.Now(), 2)
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("in step after %v", time.Since(began))
		require.LessOrEqual(t, time.Since(began), inForceTime)
		// It goes on reading while it has no reader.
		require.LessOrEqual(t, oldest(f, 10*time.Second), maxFreshAge)
	})
}
