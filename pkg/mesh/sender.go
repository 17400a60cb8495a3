package mesh

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/quarantine"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// peerIdle is the idle time after which a connection to another daemon is not reused.
	peerIdle = 20 * time.Second
	// peerServerIdle is the time for which a daemon keeps idle connections from other daemons open.
	peerServerIdle = 40 * time.Second
	// peerDial is the timeout for connecting to another daemon. The round trip between regions is
	// 16 ms, so this allows for one lost packet.
	peerDial = 400 * time.Millisecond
	// peerUnacknowledged is the time without a TCP acknowledgement after which a daemon counts as
	// unreachable.
	peerUnacknowledged = 500 * time.Millisecond
)

// Sender sends jobs to the instances' daemons. It is safe for concurrent use.
type Sender struct {
	ownAddress string // forward address of this daemon
	guard      *Guard
	fleet      *Fleet
	client     *exchange.Client
	seeds      func() []string
	reach      *reachability
	states     *stateCalls

	mu        sync.Mutex
	nextIndex int
	// introduced are the addresses of further daemons to ask for their state, for the time before
	// a view lists them.
	introduced []string
	// inFlight counts the jobs in flight by daemon address and request ID. It holds counts because
	// callers may send several requests with the same ID, or without an ID.
	inFlight map[string]map[string]int
	// blocks are the digests of the blocked fingerprints of other daemons, by address, as of their
	// last results. Daemons that block none are left out.
	blocks map[string]quarantine.Digest
}

// NewSender returns a sender that passes jobs for the daemon's own forward address directly to the
// guard.
func NewSender(ownAddress, region string, guard *Guard, fleet *Fleet, budget *exchange.Budget, seeds func() []string) *Sender {
	return &Sender{
		ownAddress: ownAddress, states: newStateCalls(region, xxhash.Sum64String(ownAddress)), guard: guard, fleet: fleet, seeds: seeds, inFlight: make(map[string]map[string]int), blocks: make(map[string]quarantine.Digest),
		client: exchange.NewClient(exchange.Config{
			DialTimeout: peerDial, Unacknowledged: peerUnacknowledged, MaxIdle: peerIdle, Budget: budget,
		}),
	}
}

// Send sends a job to the instance's daemon and returns the result.
func (s *Sender) Send(ctx context.Context, j *Job, inst *catalog.Instance) Result {
	if inst.ForwardAddr == s.ownAddress {
		return s.guard.Run(ctx, j)
	}
	s.addWaiting(inst.ForwardAddr, j.ID)
	defer s.removeWaiting(inst.ForwardAddr, j.ID)
	now := time.Now()
	resp, err := s.client.Do(ctx, j.encode(now, inst.ForwardAddr, s.fleet.View().Revision, s.guard.suspects.gossip(now, s.blockedBy(inst.ForwardAddr))))
	if errors.Is(err, exchange.ErrAbandoned) && j.Withdrawn != nil && j.Withdrawn() {
		return Result{Refusal: regionRefusal(inst.Place.Region)}
	}
	if errors.Is(err, exchange.ErrAbandoned) {
		return Result{Refusal: notRun(refusal.Cut, "the caller has disconnected", 0)}
	}
	var over *exchange.BoundError
	if errors.As(err, &over) {
		return limitExceededResult(err)
	}
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			s.reach.requestFailed(time.Now(), inst.Host())
		}
		return unreachableResult(ctx, err)
	}
	roundTrip := peerRoundTrip(resp, time.Since(now))
	res, from := decodeResult(resp)
	res.RoundTrip = roundTrip
	if res.Refusal != nil && res.Refusal.Kind == refusal.Leaving {
		// The daemon is shutting down. A job sent on a connection that it is about to close would
		// count as one that may have run.
		s.client.CloseIdle(inst.ForwardAddr)
	}
	if res.Response == nil {
		resp.Release()
	}
	now = time.Now()
	s.reach.markAlive(now, inst.Host())
	s.fleet.ObserveRevision(now, from.revision)
	s.setBlockedBy(inst.ForwardAddr, s.guard.suspects.mergeGossip(now, from.gossip))
	return res
}

// blockedBy returns the digest of what the daemon at the address blocks, as of its last result.
func (s *Sender) blockedBy(address string) quarantine.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blocks[address]
}

func (s *Sender) setBlockedBy(address string, digest quarantine.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if digest == 0 {
		delete(s.blocks, address)
		return
	}
	s.blocks[address] = digest
}

// limitExceededResult returns the result for a response that exceeded a limit. The other daemon is
// reachable in this case.
func limitExceededResult(err error) Result {
	var failed *exchange.Error
	refused := mayHaveRun(refusal.UpstreamFailed, "the response of the instance's daemon exceeds a limit: "+err.Error())
	sent := !errors.As(err, &failed) || failed.Sent
	if !sent {
		refused.Run = refusal.NotRun
	}
	return Result{Arrived: sent, Refusal: refused}
}

// unreachableResult returns the result for a failed exchange with another daemon.
func unreachableResult(ctx context.Context, err error) Result {
	var failed *exchange.Error
	sent := !errors.As(err, &failed) || failed.Sent
	refused := mayHaveRun(refusal.Cut, "the connection to the instance's daemon broke: "+err.Error())
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refused = mayHaveRun(refusal.Deadline, "the instance's daemon did not respond in time")
	}
	if !sent {
		refused.Run = refusal.NotRun
		if ctx.Err() == nil {
			refused.Kind = refusal.UpstreamFailed
		}
	}
	return Result{Arrived: sent, Unreachable: true, Refusal: refused}
}

// Introduce implements Peers.
func (s *Sender) Introduce(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.introduced = addresses
}

// nextPeer returns the address of the nextPeer daemon to ask for its state.
func (s *Sender) nextPeer() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := slices.Concat(s.seeds(), s.introduced)
	if view := s.fleet.View(); view.Table != nil {
		for _, inst := range view.Daemons() {
			addresses = append(addresses, inst.ForwardAddr)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == s.ownAddress })
	if len(addresses) == 0 {
		return "", false
	}
	s.nextIndex++
	return addresses[s.nextIndex%len(addresses)], true
}

// Prune closes connections that are not reused or that lead to instances that have left the mesh.
func (s *Sender) Prune(now time.Time) {
	known := make(map[string]bool)
	for _, inst := range s.fleet.View().Daemons() {
		known[inst.ForwardAddr] = true
	}
	s.client.Prune(now, func(address string) bool { return known[address] })
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.blocks, func(address string, _ quarantine.Digest) bool { return !known[address] })
}
