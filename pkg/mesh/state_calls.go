package mesh

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/bootstrap"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// statePath is the path at which daemons serve their state to each other.
	statePath = "/mangoshed-peer/state"
	// maxStateBytes limits the size of another daemon's state, in bytes.
	maxStateBytes = 16 << 20
	// headerRefer names, in a response without a state, daemons that hold one, separated by commas.
	headerRefer = refusal.HeaderPrefix + "Refer"
	// headerAge carries, with a state, the age of the daemon's last proof that the store had nothing
	// newer, in milliseconds.
	headerAge = refusal.HeaderPrefix + "Age"
	// maxReferred bounds the number of daemons that a daemon remembers from such responses.
	maxReferred = 16
	// announceStateFor is the time for which a daemon tries to tell the seeds that it holds the state,
	// and announceStatePause the pause between two attempts: seeds may start later than others.
	announceStateFor   = time.Second
	announceStatePause = 100 * time.Millisecond
)

// The errors of AskState if the other daemon has responded without a state.
var (
	ErrNoNewerState = errors.New("the daemon has no newer state")
	// ErrReferred means that the daemon has named others that hold the state.
	ErrReferred = errors.New("the daemon has referred to others that hold the state")
)

// stateCalls exchanges full states with other daemons. It is safe for concurrent use.
type stateCalls struct {
	region  string
	encoder stateEncoder
	// age returns the age of this daemon's last proof that the store has nothing newer than its view.
	age func() time.Duration

	mu    sync.Mutex
	relay *bootstrap.Relay
	// referred are the daemons to ask next because others have referred to them.
	referred []string
}

func newStateCalls(region string, seed uint64) *stateCalls {
	return &stateCalls{region: region, age: func() time.Duration { return 0 }, relay: bootstrap.NewRelay(region, seed)}
}

// refer adds the daemons named by another daemon, without those in the list already.
// It reports whether it has added any.
func (c *stateCalls) refer(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := false
	for address := range strings.SplitSeq(text, ",") {
		if address != "" && len(c.referred) < maxReferred && !slices.Contains(c.referred, address) {
			c.referred = append(c.referred, address)
			added = true
		}
	}
	return added
}

// nextReferred returns a daemon to which others have referred and removes it from the list.
func (c *stateCalls) nextReferred() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.referred) == 0 {
		return "", false
	}
	address := c.referred[0]
	c.referred = c.referred[1:]
	return address, true
}

func (c *stateCalls) ask(a bootstrap.Asker, hasState bool) bootstrap.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay.Ask(time.Now(), a, hasState)
}

func (c *stateCalls) done(a bootstrap.Asker, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay.Done(time.Now(), a, sent)
}

// target returns the request target that asks for a state newer than a revision, for the daemon at the
// address own.
func (c *stateCalls) target(newer uint64, own string) string {
	query := url.Values{"newer": {strconv.FormatUint(newer, 10)}}
	if c.region != "" && own != "" {
		query.Set("region", c.region)
		query.Set("from", own)
	}
	return statePath + "?" + query.Encode()
}

// AskState implements Peers. It asks one daemon per call: those to which others have referred, then all
// known ones in round-robin order.
func (s *Sender) AskState(ctx context.Context, newer uint64) (PeerState, error) {
	address, ok := s.states.nextReferred()
	if !ok {
		address, ok = s.nextPeer()
	}
	if !ok || address == s.ownAddress {
		return PeerState{}, errors.New("no other daemon is known; add the address of one as a seed")
	}
	resp, err := s.callState(ctx, address, s.states.target(newer, s.ownAddress))
	if err != nil {
		return PeerState{}, err
	}
	defer resp.Release()
	if resp.Status != http.StatusOK {
		if s.states.refer(resp.Header.Get(headerRefer)) {
			return PeerState{}, fmt.Errorf("%s: %w", address, ErrReferred)
		}
		return PeerState{}, fmt.Errorf("%s: %w (status %d)", address, ErrNoNewerState, resp.Status)
	}
	state, err := decodeState(resp.Body)
	if err != nil {
		return PeerState{}, fmt.Errorf("the state of daemon %s cannot be read: %w", address, err)
	}
	age, err := strconv.ParseInt(resp.Header.Get(headerAge), 10, 32)
	if err != nil {
		age = maxFreshAge.Milliseconds() // unknown: it counts as just current
	}
	return PeerState{State: state, Source: address, Age: time.Duration(age) * time.Millisecond}, nil
}

func (s *Sender) callState(ctx context.Context, address, target string) (*exchange.Response, error) {
	return s.client.Do(ctx, &exchange.Request{Address: address, Method: http.MethodGet, Target: target, Host: address, MaxIdle: peerIdle})
}

// AnnounceState implements Peers. It returns once all seeds have responded or announceStateFor has
// passed.
func (s *Sender) AnnounceState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceStateFor)
	defer cancel()
	target := s.states.target(math.MaxUint64, s.ownAddress) // nothing is newer, so that no state is sent
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, address := range s.seeds() {
		calls.Go(func() {
			for ctx.Err() == nil {
				if resp, err := s.callState(ctx, address, target); err == nil {
					resp.Release()
					return
				}
				sleep(ctx, announceStatePause)
			}
		})
	}
}

// serveState handles requests of other daemons for this daemon's state.
func (s *Sender) serveState(w http.ResponseWriter, r *http.Request) {
	view, query := s.fleet.View(), r.URL.Query()
	newer, err := strconv.ParseUint(query.Get("newer"), 10, 64)
	if err != nil {
		http.Error(w, "the query must name the revision that the daemon holds", http.StatusBadRequest)
		return
	}
	asker := bootstrap.Asker{Address: query.Get("from"), Region: query.Get("region"), Holds: newer > 0}
	decision := s.states.ask(asker, view.Table != nil && view.Revision > newer)
	if !decision.Serve {
		if len(decision.Refer) > 0 {
			w.Header().Set(headerRefer, strings.Join(decision.Refer, ","))
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	sent := false
	defer func() { s.states.done(asker, sent) }()
	data, err := s.states.encoder.encode(view)
	if err != nil {
		http.Error(w, "the state cannot be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerAge, formatMillis(s.states.age()))
	_, err = w.Write(data)
	sent = err == nil
}
