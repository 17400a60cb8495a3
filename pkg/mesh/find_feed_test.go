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

// errNoWay is the error of whatever this daemon does not reach.
var errNoWay = errors.New("no way there")

// town is a region of daemons on pipes: some read for others, the rest declines.
type town struct {
	t       *testing.T
	fleet   *Fleet // of the readers
	ranking []string
	servers map[string]*pipeServer

	declines decliners // known to all daemons of the town

	mu      sync.Mutex
	reads   map[string]bool
	asked   int    // decliners that were asked
	follows string // the reader that decliners name
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
		fleet: w.fleet, age: func() time.Duration { return 0 }, decline: !w.reads[address], stopped: s.stop, declines: &w.declines,
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

// play runs the weak daemon of the last rank of a town in virtual time.
func play(t *testing.T, n int, readers []int, test func(w *town, f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		w := newTown(t, n, readers...)
		ctx, cancel := context.WithCancel(context.Background())
		f := &Follower{
			Store: noStore{}, Fleet: fleetOf(t, n), Log: zap.NewNop(), Region: "a", Own: w.ranking[n-1], Decline: true, dial: w.dial,
		}
		f.proof.told(time.Now())
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
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Millisecond) {
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
		require.LessOrEqual(w.t, age, 2*beaconTime)
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
				require.LessOrEqual(w.t, age, freshTime)
				require.Equal(w.t, other, f.Reader())
			})
		})
	}
}

// Replays a reader in a region whose other daemons decline. Guards against asking each of them,
// again and again, when one of them can name the others.
func TestKnownDeclinersAreNotAsked(t *testing.T) {
	play(t, 60, []int{40, 50}, func(w *town, f *Follower) {
		for _, address := range w.ranking {
			if !w.reads[address] {
				w.declines.note(time.Now(), address, declinedRest)
			}
		}
		time.Sleep(time.Minute)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.t.Logf("decliners asked: %d", w.asked)
		require.LessOrEqual(w.t, w.asked, maxAsked)
	})
}

// Replays the end of a reader that is followed second to another one. Guards against a daemon that
// takes the readers before the one that is named to it for decliners, and asks none of them.
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
		require.LessOrEqual(w.t, age, 2*beaconTime)
	})
}
