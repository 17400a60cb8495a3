package mesh

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// peerIdle is the age at which an idle connection to another daemon is not used again.
	peerIdle = 20 * time.Second
	// peerServerIdle is the time for which a daemon keeps the idle connections of others.
	peerServerIdle = 40 * time.Second
	// peerDial bounds connecting to another daemon: regions are 16 ms apart and back, so that
	// this allows for one lost packet.
	peerDial = 400 * time.Millisecond
	// peerUnacknowledged is the time after which a daemon that acknowledges nothing counts as gone.
	peerUnacknowledged = 500 * time.Millisecond
	// statePath is the path of the state that daemons ask each other for.
	statePath = "/mangoshed-peer/state"
	// maxState bounds the state of another daemon in bytes.
	maxState = 16 << 20
)

// Sender passes jobs to the daemons beside instances. It is safe for concurrent use.
type Sender struct {
	own    string // forward address of this daemon
	guard  *Guard
	fleet  *Fleet
	client *exchange.Client
	seeds  func() []string
	reach  *reachability
	states stateEncoder

	mu   sync.Mutex
	turn int
	// introduced are daemons to ask before a view names them.
	introduced []string
	// waiting counts the jobs that wait for an answer, by the address of the daemon and their ID:
	// callers may send several with one ID, or without any.
	waiting map[string]map[string]int
}

// NewSender returns a sender that passes jobs for the daemon's own forward address to the guard.
func NewSender(own string, guard *Guard, fleet *Fleet, answers *exchange.Budget, seeds func() []string) *Sender {
	return &Sender{
		own: own, guard: guard, fleet: fleet, seeds: seeds, waiting: make(map[string]map[string]int),
		client: exchange.NewClient(exchange.Config{
			DialTimeout: peerDial, Unacknowledged: peerUnacknowledged, MaxIdle: peerIdle, Budget: answers,
		}),
	}
}

// Send passes a job to the daemon beside the instance.
func (s *Sender) Send(ctx context.Context, j *Job, inst *catalog.Instance) Result {
	if inst.ForwardAddr == s.own {
		return s.guard.Run(ctx, j)
	}
	s.note(inst.ForwardAddr, j.ID)
	defer s.forget(inst.ForwardAddr, j.ID)
	now := time.Now()
	resp, err := s.client.Do(ctx, j.encode(now, inst.ForwardAddr, s.fleet.View().Revision, s.guard.suspects.gossip(now)))
	if errors.Is(err, exchange.ErrAbandoned) {
		return Result{Refusal: notRun(refusal.Cut, "the caller has gone", 0)}
	}
	var over *exchange.BoundError
	if errors.As(err, &over) {
		return overBound(err)
	}
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			s.reach.failed(time.Now(), inst.Host())
		}
		return unreachable(ctx, err)
	}
	way := wayOf(resp, time.Since(now))
	res, from := decodeResult(resp)
	res.RoundTrip = way
	if res.Refusal != nil && res.Refusal.Kind == refusal.Leaving {
		// The daemon may end: what is sent on a connection that it is about to close may have run.
		s.client.CloseIdle(inst.ForwardAddr)
	}
	if res.Answer == nil {
		resp.Release()
	}
	now = time.Now()
	s.reach.heard(now, inst.Host())
	s.fleet.ObserveRevision(now, from.revision)
	s.guard.suspects.hear(now, from.gossip)
	return res
}

// overBound turns an answer that has passed a bound into a result. The other daemon is there.
func overBound(err error) Result {
	var failed *exchange.Error
	refused := mayHaveRun(refusal.UpstreamFailed, "the answer of the instance's daemon failed: "+err.Error())
	sent := !errors.As(err, &failed) || failed.Sent
	if !sent {
		refused.Run = refusal.NotRun
	}
	return Result{Arrived: sent, Refusal: refused}
}

// unreachable turns the error of an exchange with another daemon into a result.
func unreachable(ctx context.Context, err error) Result {
	var failed *exchange.Error
	sent := !errors.As(err, &failed) || failed.Sent
	refused := mayHaveRun(refusal.Cut, "the connection to the instance's daemon broke: "+err.Error())
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refused = mayHaveRun(refusal.Deadline, "no answer in time")
	}
	if !sent {
		refused.Run = refusal.NotRun
		if ctx.Err() == nil {
			refused.Kind = refusal.UpstreamFailed
		}
	}
	return Result{Arrived: sent, Unreachable: true, Refusal: refused}
}

// AskState implements Peers. It asks one daemon at each call, in turn.
func (s *Sender) AskState(ctx context.Context, newer uint64) (catalog.State, string, error) {
	address, ok := s.next()
	if !ok {
		return catalog.State{}, "", errors.New("no other daemon is known; the seeds may name some")
	}
	resp, err := s.client.Do(ctx, &exchange.Request{
		Address: address, Method: http.MethodGet, Target: fmt.Sprintf("%s?newer=%d", statePath, newer), Host: address, MaxIdle: peerIdle,
	})
	if err != nil {
		return catalog.State{}, "", err
	}
	defer resp.Release()
	if resp.Status != http.StatusOK {
		return catalog.State{}, "", fmt.Errorf("daemon %s knows nothing newer (status %d)", address, resp.Status)
	}
	state, err := decodeState(resp.Body)
	return state, address, err
}

// Introduce implements Peers.
func (s *Sender) Introduce(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.introduced = addresses
}

// next returns the address of the daemon to ask next.
func (s *Sender) next() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := slices.Concat(s.seeds(), s.introduced)
	if view := s.fleet.View(); view.Table != nil {
		for _, inst := range view.Instances {
			addresses = append(addresses, inst.ForwardAddr)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == s.own })
	if len(addresses) == 0 {
		return "", false
	}
	s.turn++
	return addresses[s.turn%len(addresses)], true
}

// serveState answers daemons that ask for the state.
func (s *Sender) serveState(w http.ResponseWriter, r *http.Request) {
	view := s.fleet.View()
	var newer uint64
	if _, err := fmt.Sscan(r.URL.Query().Get("newer"), &newer); err != nil || view.Table == nil || view.Revision <= newer {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	data, err := s.states.encode(view)
	if err != nil {
		http.Error(w, "the state cannot be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

// Prune closes connections that are not used again or lead to instances that have left.
func (s *Sender) Prune(now time.Time) {
	known := make(map[string]bool)
	for _, inst := range s.fleet.View().Instances {
		known[inst.ForwardAddr] = true
	}
	s.client.Prune(now, func(address string) bool { return known[address] })
}
