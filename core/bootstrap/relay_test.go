package bootstrap

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Replays the return of a region after a loss of all machines: its daemons ask a seed of another region,
// and the link between the regions takes one transfer at a time. Guards against a link that carries the
// state once for each daemon.
func TestStateCrossesTheRegionLinkOnce(t *testing.T) {
	seed := NewRelay("klang", 1)
	daemons := make([]*Relay, 200)
	holds := make([]bool, len(daemons))
	for i := range daemons {
		daemons[i] = NewRelay("penang", uint64(i))
	}
	index := func(address string) (i int) {
		_, err := fmt.Sscanf(address, "d%d", &i)
		require.NoError(t, err)
		return i
	}
	const transferTime, step = 60, 20 // milliseconds
	type transfer struct {
		from *Relay
		to   int
		ends int
	}
	var running []transfer
	waiting := make([]bool, len(daemons))
	acrossRegions, ready := 0, 0
	for ms := 0; ready < len(daemons); ms += step {
		require.Less(t, ms, 1500, "%d of %d daemons hold the state", ready, len(daemons))
		var still []transfer
		for _, x := range running {
			if x.ends > ms {
				still = append(still, x)
				continue
			}
			x.from.Done(at(ms), Asker{Address: fmt.Sprint("d", x.to), Region: "penang"}, true)
			holds[x.to] = true
			ready++
		}
		running = still
		for i := range daemons {
			if holds[i] || waiting[i] {
				continue
			}
			asker := Asker{Address: fmt.Sprint("d", i), Region: "penang"}
			d, from := seed.Ask(at(ms), asker, true), seed
			if d.Serve {
				acrossRegions++
			} else if len(d.Refer) > 0 {
				j := index(d.Refer[0])
				d, from = daemons[j].Ask(at(ms), asker, holds[j]), daemons[j]
				if !d.Serve && len(d.Refer) > 0 {
					j = index(d.Refer[0])
					d, from = daemons[j].Ask(at(ms), asker, holds[j]), daemons[j]
				}
			}
			if d.Serve {
				waiting[i] = true
				running = append(running, transfer{from, i, ms + transferTime})
			}
		}
	}
	require.LessOrEqual(t, acrossRegions, maxRemoteTransfers)
}

// Guards against a region that gets no state because the daemon that was to get it first is lost.
func TestLostTransferToARegionIsRepeated(t *testing.T) {
	r := NewRelay("klang", 1)
	ask := func(ms int, name string) Decision {
		return r.Ask(at(ms), Asker{Address: name, Region: "penang"}, true)
	}
	require.True(t, ask(0, "a").Serve)
	require.True(t, ask(10, "b").Serve)
	require.Equal(t, Decision{}, ask(20, "c"))
	require.True(t, ask(310, "c").Serve)
	r.Done(at(350), Asker{Address: "c", Region: "penang"}, true)
	require.Equal(t, Decision{Refer: []string{"c"}}, ask(360, "d"))
	require.Empty(t, ask(360+int(holderLifetime.Milliseconds()), "d").Refer, "c may have gone")
}

// Guards against a daemon that sends the state to all others of its region itself, and against one that
// refers to nobody.
func TestOwnRegionIsServedAFewAtATime(t *testing.T) {
	r := NewRelay("klang", 1)
	a := func(n int) Asker { return Asker{Address: fmt.Sprint("a", n), Region: "klang"} }
	for i := range maxTransfers + 1 {
		require.True(t, r.Ask(at(0), a(i), true).Serve, "nobody else holds the state")
	}
	r.Done(at(1), a(0), true)
	require.Equal(t, []string{"a0"}, r.Ask(at(1), a(9), true).Refer)
	r.Done(at(2), a(1), false)
	require.True(t, r.Ask(at(2), a(9), true).Serve)
	require.Equal(t, []string{"a0"}, r.Ask(at(3), a(8), true).Refer, "a1 has not received the state")
}

// Guards against daemons that have lost the store and get no newer state, because they count as holders
// of an older one.
func TestHolderOfAnOlderStateIsServed(t *testing.T) {
	r := NewRelay("klang", 1)
	for i := range 20 {
		a := Asker{Address: fmt.Sprint("a", i), Region: []string{"klang", "penang"}[i%2], Holds: true}
		require.Equal(t, Decision{Serve: true}, r.Ask(at(0), a, true))
		r.Done(at(0), a, true)
	}
	require.True(t, r.Ask(at(1), Asker{Address: "b", Region: "penang"}, true).Serve, "none of them is known to hold the latest state")
}

// Guards against a seed that has just started and refers nobody to the daemons that hold the state.
func TestSeedWithoutAStateRefersToHolders(t *testing.T) {
	r := NewRelay("klang", 1)
	require.Equal(t, Decision{}, r.Ask(at(0), Asker{Address: "b", Region: "penang"}, false))
	require.Equal(t, Decision{}, r.Ask(at(1), Asker{Address: "a", Region: "penang", Holds: true}, false))
	require.Equal(t, []string{"a"}, r.Ask(at(2), Asker{Address: "b", Region: "penang"}, false).Refer)
	require.Empty(t, r.Ask(at(2), Asker{Address: "c", Region: "klang"}, false).Refer)
}
