package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

// naming returns a table that names the services.
func naming(t require.TestingT, version uint64, names ...string) *route.Table {
	var services []route.Service
	for _, name := range names {
		services = append(services, route.Service{Name: name})
	}
	made, err := route.New(version, nil, services, route.Limits{})
	require.NoError(t, err)
	return made
}

// forged returns an entry of another writer at the address of the instances of listed, which looks like
// a later start.
func forged(id, service string, revision uint64) Entry {
	e := listed(id, revision)
	e.Instance.Service, e.Instance.Incarnation, e.Instance.Created, e.Instance.Slots = service, 1000, 1000, 1
	return e
}

// requireOnly requires a view in which the instance with the ID is the only one that is used.
func requireOnly(t *testing.T, c *Catalog, id string, unnamed ...string) {
	t.Helper()
	v := c.View()
	require.Equal(t, []string{id}, ids(c))
	at, ok := v.ByUpstream("10.0.0.1:1")
	require.True(t, ok)
	require.Equal(t, model.InstanceID(id), at.ID)
	require.Len(t, v.Daemons(), 1)
	require.Len(t, v.AllListed(), 1+len(unnamed))
	for _, other := range unnamed {
		inst, ok := v.Listed(model.InstanceID(other))
		require.True(t, ok, "it is passed on to other daemons")
		require.Equal(t, model.InstanceID(other), inst.ID)
		_, ok = v.ByID(inst.ID)
		require.False(t, ok, "it gets no requests")
	}
}

// Guards against an entry of another writer, with a service that no table names, that takes the place of
// the instance at its address.
func TestEntryOfAnUnnamedServiceHidesNoInstance(t *testing.T) {
	own, other := listed("own", 2), forged("other", "nobody", 3)
	for name, states := range map[string][]State{
		"after the instance's own": {{Revision: 2, Table: naming(t, 1, "s"), Entries: []Entry{own}}, {Revision: 3, Entries: []Entry{other}}},
		"before the instance's own": {
			{Revision: 3, Table: naming(t, 1, "s"), Entries: []Entry{other}}, {Revision: 4, Entries: []Entry{listed("own", 4)}},
		},
		"before the first table": {{Revision: 3, Entries: []Entry{own, other}}, {Revision: 4, Table: naming(t, 1, "s")}},
		"with the first table":   {{Revision: 3, Table: naming(t, 1, "s"), Entries: []Entry{other, own}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := New()
			for _, s := range states {
				c.Apply(now, s)
			}
			requireOnly(t, c, "own", "other")

			beat := listed("own", 10)
			c.Apply(now, State{Revision: 10, Entries: []Entry{beat}})
			requireOnly(t, c, "own", "other")
			restarted := listed("own", 11)
			restarted.Instance.Incarnation = 500
			c.Apply(now, State{Revision: 11, Entries: []Entry{restarted}})
			requireOnly(t, c, "own", "other")
			c.Apply(now, State{Revision: 12, Entries: []Entry{removed("other", 12)}})
			requireOnly(t, c, "own")
		})
	}
}

// Guards against a rule that looks at the table of the time at which an entry was read: a later one may name
// the service of the entry, or no longer that of the other instance.
func TestServicesCountByTheTableInForce(t *testing.T) {
	c := New()
	c.Apply(now, State{Revision: 3, Table: naming(t, 1, "s"), Entries: []Entry{listed("own", 2), forged("other", "later", 3)}})
	requireOnly(t, c, "own", "other")
	require.True(t, c.Apply(now, State{Revision: 4, Table: naming(t, 2, "s", "later")}))
	require.Equal(t, []string{"other"}, ids(c), "a later start at the address, of a service that is named now")
	require.True(t, c.Apply(now, State{Revision: 5, Table: naming(t, 3, "s")}))
	requireOnly(t, c, "own", "other")
	require.True(t, c.Apply(now, State{Revision: 6, Table: naming(t, 4, "later")}))
	require.Equal(t, []string{"other"}, ids(c))
	require.True(t, c.Apply(now, State{Revision: 7, Table: naming(t, 5, "elsewhere")}))
	require.Empty(t, ids(c))
	require.Len(t, c.View().Daemons(), 1, "one daemon is at the address")
	require.True(t, c.Apply(now, State{Revision: 8, Table: naming(t, 6, "s")}))
	requireOnly(t, c, "own", "other")
}

// Guards against an instance that stays hidden, or is used for longer, because of another entry at its address in
// an outage of the store.
func TestEntryOfAnUnnamedServiceInAnOutage(t *testing.T) {
	start := func() *Catalog {
		c := New()
		c.Replace(now, State{Revision: 5, Table: naming(t, 1, "s"), Entries: []Entry{listed("own", 1), forged("other", "nobody", 2)}})
		c.StoreRecovered(now, 9)
		return c
	}
	c := start()
	c.Replace(now, State{Revision: 9, Entries: []Entry{listed("own", 1)}})
	requireOnly(t, c, "own", "other")
	require.True(t, c.Expire(now.Add(recoveryGrace)))
	requireOnly(t, c, "own")

	c = start()
	c.Replace(now, State{Revision: 9, Entries: []Entry{forged("other", "nobody", 2)}})
	requireOnly(t, c, "own", "other")
	require.Equal(t, now.Add(recoveryGrace), c.View().Instances[0].LapsesAt)
	require.True(t, c.Expire(now.Add(recoveryGrace)))
	require.Empty(t, ids(c))
}

// Guards against a daemon beside an upstream of a service without a route that no longer counts as one of the fleet.
func TestDaemonsOfUnnamedServicesCount(t *testing.T) {
	c := New()
	var entries []Entry
	for n, service := range []string{"s", "unrouted", "unrouted"} {
		e := listed(fmt.Sprint(n), 1)
		e.Instance.Service, e.Instance.ForwardAddr, e.Instance.Upstream = service, fmt.Sprintf("10.0.0.%d:2", n), fmt.Sprintf("10.0.0.%d:1", n)
		e.Instance.Place = model.Place{Region: "a", DataCentre: "a1"}
		entries = append(entries, e)
	}
	other := forged("other", "nobody", 2)
	other.Instance.ForwardAddr, other.Instance.Upstream = entries[0].Instance.ForwardAddr, entries[0].Instance.Upstream
	other.Instance.Place = model.Place{Region: "b", DataCentre: "b1"}
	c.Apply(now, State{Revision: 2, Table: naming(t, 1, "s"), Entries: append(entries, other)})
	require.Equal(t, []string{"0"}, ids(c))
	require.Len(t, c.View().Daemons(), 3)
	require.Len(t, c.View().Ranking("a"), 3)
	require.Empty(t, c.View().Ranking("b"), "the entry names the daemon of another instance")
}

// Guards against any effect of entries of unnamed services on the instances that are used: the order of the entries,
// the tables and the outages is random.
func TestEntriesOfUnnamedServicesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, spoiled := New(), New()
		at, revision, version := now, uint64(1), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			revision++
			id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "instance"))
			e := listed(id, revision)
			e.Instance.Incarnation, e.Instance.Created = rapid.Uint64Range(0, 5).Draw(t, "incarnation"), rapid.Uint64Range(0, 5).Draw(t, "created")
			e.Instance.Upstream = fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(1, 2).Draw(t, "address"))
			both := State{Revision: revision}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				both.Entries = []Entry{e}
			case 2:
				both.Entries = []Entry{removed(id, revision)}
			case 3:
				version++
				both.Table = naming(t, version, rapid.SampledFrom([][]string{{"s"}, {"s", "s2"}, {"s2"}}).Draw(t, "services")...)
			case 4:
				plain.StoreRecovered(at, revision)
				spoiled.StoreRecovered(at, revision)
			default:
				plain.Apply(at, both)
				e.ID, e.Instance.Service = model.InstanceID("x"+id), "nobody"
				e.Instance.ID = e.ID
				if rapid.Bool().Draw(t, "remove") {
					e = removed(string(e.ID), revision)
				}
				spoiled.Apply(at, State{Revision: revision, Entries: []Entry{e}})
				continue
			}
			plain.Apply(at, both)
			spoiled.Apply(at, both)
			plain.Expire(at)
			spoiled.Expire(at)
			if version > 0 {
				require.Equal(t, plain.View().Instances, spoiled.View().Instances)
				require.True(t, slices.IsSortedFunc(spoiled.View().Unnamed, func(a, b Instance) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) }))
			}
		}
	})
}
