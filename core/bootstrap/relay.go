// Package bootstrap decides how the state of the store reaches daemons that start at the same time.
//
// After a loss of all machines, every daemon of a region needs the state at the same moment. If each
// reads it from the store or asks a daemon of another region, the answers fill the link between the
// regions for a second or more. So only the first daemons of a region get the state from elsewhere.
// Each daemon that is asked by many sends the state to a few at a time and refers the others to those
// that hold it already, so that the number of daemons that can pass the state on doubles with each
// transfer.
//
// Relay is a state machine without a clock: callers pass the time. It is not safe for concurrent use.
package bootstrap

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxTransfers is the number of transfers of the state within the own region at a time while
	// there are others to refer to.
	maxTransfers = 4
	// maxRemoteTransfers is the number of daemons of another region that get the state before one of
	// them is known to hold it. The second one covers the loss of the first.
	maxRemoteTransfers = 2
	// remoteTransferTime is the time after which a transfer to another region counts as lost.
	remoteTransferTime = 300 * time.Millisecond
	// holderLifetime is the time for which a daemon that holds a state is named to others. Later ones
	// find neighbours in the list of instances.
	holderLifetime = 5 * time.Second
	// maxHolders bounds the number of daemons remembered for each region, maxReferred the number of
	// those that are named to one daemon, and maxRegions the number of regions.
	maxHolders  = 32
	maxReferred = 4
	maxRegions  = 64
)

// Asker is a daemon that asks for the state.
type Asker struct {
	// Address is its forward address, Region its region. Both are empty if it names none.
	Address, Region string
	// Holds is set if it holds a state itself and asks for a newer one.
	Holds bool
}

// Decision is the answer to an asker.
type Decision struct {
	// Serve is set if the state is to be sent. The caller reports the end of the transfer with Done.
	Serve bool
	// Refer are the addresses of daemons of the asker's region that hold a state.
	Refer []string
}

// Relay decides which askers get the state from this daemon.
type Relay struct {
	region    string
	random    *rand.Rand
	transfers int // within the own region
	regions   map[string]*regionState
}

// regionState is what is known of the daemons of one region.
type regionState struct {
	holders []holder // the latest last
	// sentAt are the times of the last transfers to the region if it is another one.
	sentAt []time.Time
}

type holder struct {
	address string
	at      time.Time
}

// NewRelay returns the relay of a daemon in a region. Relays with equal seeds refer to the same daemons.
func NewRelay(region string, seed uint64) *Relay {
	return &Relay{region: region, random: rand.New(rand.NewPCG(seed, seed)), regions: make(map[string]*regionState)}
}

// Ask decides about an asker. hasState is set if this daemon holds a state that is new to the asker.
func (r *Relay) Ask(now time.Time, a Asker, hasState bool) Decision {
	if a.Address == "" || a.Region == "" {
		return Decision{Serve: hasState}
	}
	s := r.stateOf(now, a.Region)
	if a.Holds {
		if !hasState {
			s.addHolder(now, a.Address) // its state is as new as that of this daemon
		}
		return Decision{Serve: hasState}
	}
	refer := r.refer(s, a.Address)
	switch {
	case !hasState:
		return Decision{Refer: refer}
	case a.Region == r.region:
		if r.transfers >= maxTransfers && len(refer) > 0 {
			return Decision{Refer: refer}
		}
		r.transfers++
	case len(refer) > 0:
		return Decision{Refer: refer}
	default:
		s.sentAt = slices.DeleteFunc(s.sentAt, func(at time.Time) bool { return now.Sub(at) >= remoteTransferTime })
		if len(s.sentAt) >= maxRemoteTransfers {
			return Decision{}
		}
		s.sentAt = append(s.sentAt, now)
	}
	return Decision{Serve: true}
}

// Done records the end of a transfer to an asker. sent is set if the asker has received the state.
func (r *Relay) Done(now time.Time, a Asker, sent bool) {
	if a.Address == "" || a.Region == "" || a.Holds {
		return
	}
	if a.Region == r.region {
		r.transfers--
	}
	if sent {
		r.stateOf(now, a.Region).addHolder(now, a.Address)
	}
}

// stateOf returns the state of a region without outdated holders.
func (r *Relay) stateOf(now time.Time, region string) *regionState {
	s := r.regions[region]
	if s == nil {
		if len(r.regions) >= maxRegions {
			clear(r.regions)
		}
		s = &regionState{}
		r.regions[region] = s
	}
	s.holders = slices.DeleteFunc(s.holders, func(h holder) bool { return now.Sub(h.at) >= holderLifetime })
	return s
}

// addHolder records that the daemon at an address holds a state.
func (s *regionState) addHolder(now time.Time, address string) {
	s.holders = slices.DeleteFunc(s.holders, func(h holder) bool { return h.address == address })
	if len(s.holders) >= maxHolders {
		s.holders = slices.Delete(s.holders, 0, 1)
	}
	s.holders = append(s.holders, holder{address, now})
}

// refer returns the addresses of random holders other than the asker.
func (r *Relay) refer(s *regionState, asker string) []string {
	var list []string
	for _, i := range r.random.Perm(len(s.holders)) {
		if address := s.holders[i].address; address != asker && len(list) < maxReferred {
			list = append(list, address)
		}
	}
	return list
}
