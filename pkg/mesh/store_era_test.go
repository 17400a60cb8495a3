package mesh

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"pgregory.net/rapid"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/route"
)

// limitedTable returns a table of the service "back" whose contents depend on the limit.
func limitedTable(t *testing.T, version uint64, limit int64) *route.Table {
	made, err := route.New(version, nil, []route.Service{{Name: "back"}}, route.Limits{MaxBodyBytes: limit})
	require.NoError(t, err)
	return made
}

// eraEntry returns the entry of an instance with an address of its own.
func eraEntry(id string, revision uint64) catalog.Entry {
	inst := &catalog.Instance{Instance: model.Instance{ID: model.InstanceID(id), Service: "back"}, Upstream: id, Slots: 9}
	return catalog.Entry{ID: inst.ID, Instance: inst, Revision: revision}
}

// receive applies a change to a catalog as the receiver of a feed does.
func receive(t require.TestingT, c *catalog.Catalog, sent *change, revision uint64) error {
	data, err := sent.pack()
	require.NoError(t, err)
	decoded, err := unpack(data)
	require.NoError(t, err)
	s, err := decoded.state(c.View(), revision)
	if err != nil {
		return err
	}
	if decoded.Whole {
		c.Replace(time.Now(), s)
	} else {
		c.Apply(time.Now(), s)
	}
	return nil
}

// Guards against daemons that a reader feeds and that do not follow it into a later era, that keep for good what
// only they knew before the restore, or that end the grace period at another time.
func TestRestorePassesBetweenDaemons(t *testing.T) {
	reader, fed, started := catalog.New(), catalog.New(), catalog.New()
	reader.Replace(time.Now(), catalog.State{Revision: 500, Table: limitedTable(t, 7, 1), Entries: []catalog.Entry{eraEntry("a", 490), eraEntry("young", 491)}})
	before := reader.View()
	first := initialChange(before, 500, 0, 0)
	require.NoError(t, receive(t, fed, &first, 500))
	fed.Apply(time.Now(), catalog.State{Revision: 510, Entries: []catalog.Entry{eraEntry("only here", 510)}, Evacuations: []catalog.Evacuation{{DataCentre: "a1", Revision: 509}}})

	reader.Replace(time.Now(), catalog.State{Revision: catalog.Position(1, 450), Entries: []catalog.Entry{eraEntry("a", catalog.Position(1, 440))}})
	reader.Apply(time.Now(), catalog.State{Revision: catalog.Position(1, 451), Entries: []catalog.Entry{eraEntry("new", catalog.Position(1, 451))}})
	after := reader.View()
	next := diffViews(before, after)
	require.True(t, next.Whole)
	require.Nil(t, next.Table)
	require.NoError(t, receive(t, fed, &next, after.Revision))
	require.Equal(t, after.Revision, fed.Revision())
	for _, id := range []model.InstanceID{"young", "only here"} {
		inst, ok := fed.View().ByID(id)
		require.True(t, ok, id)
		require.False(t, inst.LapsesAt.IsZero(), id)
	}
	require.True(t, fed.View().IsEvacuated("a1"))
	inst, _ := fed.View().ByID("a")
	require.True(t, inst.Copied)
	inst, _ = fed.View().ByID("new")
	require.False(t, inst.Copied)

	data, err := new(stateEncoder).encode(fed.View())
	require.NoError(t, err)
	state, err := decodeState(data)
	require.NoError(t, err)
	started.Replace(time.Now(), state)
	require.Equal(t, after.Restore.Position, started.View().Restore.Position)
	later := time.Now().Add(maxRestoreGrace)
	for _, c := range []*catalog.Catalog{reader, fed, started} {
		require.WithinDuration(t, after.Restore.GraceEnd, c.View().Restore.GraceEnd, time.Minute, "it passes in milliseconds that remain")
		require.Equal(t, uint64(7), c.View().Table.Version)
		c.Expire(later)
		require.Len(t, c.View().Instances, 2)
		require.Empty(t, c.View().Evacuated)
	}
	require.Zero(t, encodeRestore(later, after).Grace)
	require.Nil(t, encodeRestore(later, before), "without a restore nothing is sent")
}

// The operator writes a lost version again with other contents. Guards against a daemon that does not get them over a
// feed, also if the feed is requested again, and against one that applies a delta to the lost contents.
func TestRewrittenTablePassesBetweenDaemons(t *testing.T) {
	lost := catalog.State{Revision: 500, Table: limitedTable(t, 7, 1)}
	restored := func() *catalog.Catalog {
		c := catalog.New()
		c.Replace(time.Now(), lost)
		c.Replace(time.Now(), catalog.State{Revision: catalog.Position(1, 450)})
		return c
	}
	reader, fed, reconnected, missed := restored(), restored(), restored(), restored()
	before := reader.View()
	reader.Apply(time.Now(), catalog.State{Revision: catalog.Position(1, 451), Table: limitedTable(t, 7, 2)})
	rewritten := reader.View()
	next := diffViews(before, rewritten)
	require.NoError(t, receive(t, fed, &next, rewritten.Revision))
	require.Equal(t, int64(2), fed.View().Table.Limits.MaxBodyBytes)

	first := initialChange(rewritten, rewritten.Revision, rewritten.Revision, 7)
	first.addRewrittenTable(rewritten, 7, parseEra(""))
	require.NoError(t, receive(t, reconnected, &first, rewritten.Revision))
	require.Equal(t, int64(2), reconnected.View().Table.Limits.MaxBodyBytes)
	known := initialChange(rewritten, rewritten.Revision, rewritten.Revision, 7)
	known.addRewrittenTable(rewritten, 7, parseEra("1"))
	require.Nil(t, known.Table, "the daemon has it")

	reader.Apply(time.Now(), catalog.State{Revision: catalog.Position(1, 452), Table: limitedTable(t, 8, 2)})
	delta := diffViews(rewritten, reader.View())
	require.NotNil(t, delta.Delta)
	var base *route.BaseError
	require.ErrorAs(t, receive(t, missed, &delta, reader.Revision()), &base, "the daemon asks again and gets the whole table")
	require.NoError(t, receive(t, fed, &delta, reader.Revision()))
	require.Equal(t, uint64(8), fed.View().Table.Version)
}

// A reader reads the table that it and the daemons that it feeds hold again in a later era. Guards against a feed that
// ends at the next table because the daemon has not learnt the era: in the frame that begins the era ("with the restore")
// and in a later one ("written again with the same contents").
func TestTableThatIsReadAgainInALaterEra(t *testing.T) {
	for _, name := range []string{"with the restore", "written again with the same contents"} {
		t.Run(name, func(t *testing.T) {
			reader, fed := catalog.New(), catalog.New()
			for _, c := range []*catalog.Catalog{reader, fed} {
				c.Replace(time.Now(), catalog.State{Revision: 500, Table: limitedTable(t, 7, 1)})
			}
			sent := reader.View()
			frame := func() change {
				c := diffViews(sent, reader.View())
				sent = reader.View()
				return c
			}
			restored := catalog.State{Revision: catalog.Position(1, 450)}
			if name == "with the restore" {
				restored.Table = limitedTable(t, 7, 1)
			}
			reader.Replace(time.Now(), restored)
			next := frame()
			require.True(t, next.Whole)
			require.Nil(t, next.Table)
			require.NoError(t, receive(t, fed, &next, reader.Revision()))
			reader.Apply(time.Now(), catalog.State{Revision: catalog.Position(1, 451), Table: limitedTable(t, 7, 1)})
			next = frame()
			require.Nil(t, next.Table)
			require.NoError(t, receive(t, fed, &next, reader.Revision()))
			require.Equal(t, uint64(1), reader.View().TableEra)
			require.Equal(t, uint64(1), fed.View().TableEra)

			reader.Apply(time.Now(), catalog.State{Revision: catalog.Position(1, 452), Table: limitedTable(t, 8, 2)})
			next = frame()
			require.NotNil(t, next.Delta)
			require.NoError(t, receive(t, fed, &next, reader.Revision()))
			require.Equal(t, reader.View().Table, fed.View().Table)
		})
	}
}

// Guards against a daemon that takes its table for the one that its reader has read again although it holds another
// version, or other contents under the same version, and against an error that names two equal versions.
func TestOtherTableThanTheOneThatIsReadAgain(t *testing.T) {
	reader := catalog.New()
	reader.Replace(time.Now(), catalog.State{Revision: 500, Table: limitedTable(t, 7, 1)})
	before := reader.View()
	reader.Replace(time.Now(), catalog.State{Revision: catalog.Position(2, 450), Table: limitedTable(t, 7, 1)})
	after := reader.View()
	reader.Apply(time.Now(), catalog.State{Revision: catalog.Position(2, 451), Table: limitedTable(t, 8, 2)})
	readAgain, delta := diffViews(before, after), diffViews(after, reader.View())

	otherVersion := catalog.New()
	otherVersion.Replace(time.Now(), catalog.State{Revision: 500, Table: limitedTable(t, 6, 1)})
	require.NoError(t, receive(t, otherVersion, &readAgain, after.Revision))
	require.Zero(t, otherVersion.View().TableEra)
	require.EqualError(t, receive(t, otherVersion, &delta, reader.Revision()), "the delta applies to version 7, not to version 6; read the full table")

	otherContents := catalog.New()
	otherContents.Replace(time.Now(), catalog.State{Revision: 500, Table: limitedTable(t, 6, 1)})
	otherContents.Replace(time.Now(), catalog.State{Revision: catalog.Position(1, 450), Table: limitedTable(t, 7, 3)})
	require.NoError(t, receive(t, otherContents, &readAgain, after.Revision))
	require.Equal(t, uint64(1), otherContents.View().TableEra)
	require.EqualError(t, receive(t, otherContents, &delta, reader.Revision()),
		"the delta applies to version 7 as it was read in era 2, not to version 7 of era 1; read the full table")

	none := catalog.New()
	require.NoError(t, receive(t, none, &readAgain, after.Revision))
	require.Nil(t, none.View().Table)
}

// Guards against a guard that refuses jobs for a live upstream until its next heartbeat because the copy lists its
// draining predecessor.
func TestGuardAndThePredecessorInTheCopy(t *testing.T) {
	now := time.Now()
	entry := func(position, incarnation uint64, state model.State) catalog.Entry {
		e := eraEntry("a", position)
		e.Instance.Upstream, e.Instance.Incarnation, e.Instance.State = "10.0.0.1:1", incarnation, state
		return e
	}
	c, g := catalog.New(), virtualDaemon(t, 6*time.Second).guard
	g.address = "10.0.0.1:1"
	c.Replace(now, catalog.State{Revision: 10, Table: limitedTable(t, 1, 1), Entries: []catalog.Entry{entry(10, 1, model.Leaving)}})
	c.Apply(now, catalog.State{Revision: 20, Entries: []catalog.Entry{entry(20, 2, model.Live)}})
	g.Update(now, c.View())
	require.False(t, g.queue.Closed())
	c.Replace(now, catalog.State{Revision: catalog.Position(1, 12), Entries: []catalog.Entry{entry(catalog.Position(1, 10), 1, model.Leaving)}})
	g.Update(now, c.View())
	require.False(t, g.queue.Closed())
}

// feedFrom makes a daemon of the region serve the feed of a state. It returns a function that returns the eras of the
// tables that the requests named.
func (region *testRegion) feedFrom(address string, fleet *Fleet) func() []string {
	region.stop(address)
	var tableEras []string
	s := &pipeServer{conns: make(chan net.Conn), done: make(chan struct{}), stop: make(chan struct{})}
	feed := &feedServer{fleet: fleet, age: func() time.Duration { return 0 }, stopped: s.stop, declined: &region.declines, reader: func() string { return "" }}
	s.http = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		region.mu.Lock()
		tableEras = append(tableEras, r.URL.Query().Get(tableEraParam))
		region.mu.Unlock()
		feed.ServeHTTP(rw, r)
	})}
	region.mu.Lock()
	region.servers[address] = s
	region.mu.Unlock()
	go func() { _ = s.http.Serve(s) }()
	return func() []string {
		region.mu.Lock()
		defer region.mu.Unlock()
		return slices.Clone(tableEras)
	}
}

// restore makes the readers enter era 1, with a table.
func (region *testRegion) restore(table *route.Table) {
	state := catalog.State{Revision: catalog.Position(1, 1), Table: table}
	for i := range region.fleet.View().Instances {
		inst := &region.fleet.View().Instances[i]
		state.Entries = append(state.Entries, catalog.Entry{ID: inst.ID, Instance: inst, Revision: catalog.Position(1, 1)})
	}
	region.fleet.Replace(state, "store")
}

// The table is written again, with other contents under the same version, while a daemon has no feed. Guards against a
// request for a feed that does not bring it, or brings it each time.
func TestRequestForAFeedBringsARewrittenTable(t *testing.T) {
	runDecliningDaemon(t, 20, []int{12, 15}, func(region *testRegion, f *Follower) {
		t, first, second := region.t, region.ranking[12], region.ranking[15]
		time.Sleep(5 * time.Second)
		table := region.fleet.View().Table
		region.restore(nil)
		time.Sleep(2 * frameInterval)
		require.Equal(t, catalog.Position(1, 1), f.Fleet.Revision())
		region.stop(first)
		region.stop(second)
		rewritten, err := route.New(table.Version, table.Routes, table.Services, route.Limits{MaxBodyBytes: 77})
		require.NoError(t, err)
		region.fleet.Apply(catalog.State{Revision: catalog.Position(1, 2), Table: rewritten}, "store")
		eras := region.feedFrom(first, region.fleet)
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(77), f.Fleet.View().Table.Limits.MaxBodyBytes)
		require.Equal(t, []string{""}, eras())
		region.stop(first)
		eras = region.feedFrom(second, region.fleet)
		time.Sleep(5 * time.Second)
		require.Contains(t, eras(), "1")
		require.NotContains(t, eras(), "")
	})
}

// One reader has seen the restore and the other one has not. Guards against a daemon that takes the frames of the
// latter for a proof that its view is current, or goes back to it, and against one that stays with it although other
// daemons report the later era.
func TestReaderOfAnEarlierEraIsLeft(t *testing.T) {
	runDecliningDaemon(t, 20, []int{12, 15}, func(region *testRegion, f *Follower) {
		t, current, old := region.t, region.ranking[12], region.ranking[15] // the others decline
		earlier := fleetOf(t, 20)
		region.feedFrom(old, earlier)
		region.stop(current) // the daemon is fed by the other reader
		time.Sleep(5 * time.Second)
		require.Equal(t, old, f.Reader())
		region.restore(region.fleet.View().Table)
		region.feedFrom(current, region.fleet)
		for range 100 {
			f.Fleet.ObserveRevision(time.Now(), catalog.Position(1, 1))
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, current, f.Reader())
		require.Equal(t, catalog.Position(1, 1), f.Fleet.Revision())
		earlier.Apply(catalog.State{Revision: 900, Evacuations: []catalog.Evacuation{{DataCentre: "a1", Revision: 900}}}, "store")
		age := maxProofAge(f, 30*time.Second)
		require.LessOrEqual(t, age, 2*frameInterval)
		require.Equal(t, current, f.Reader())
		region.stop(current)
		time.Sleep(30 * time.Second)
		require.False(t, f.Fresh(), "a reader of the earlier era proves nothing")
		require.False(t, f.Fleet.View().IsEvacuated("a1"))
		require.Equal(t, catalog.Position(1, 1), f.Fleet.Revision())
	})
}

// Guards against a frame of another era that counts as a proof, and against the loss of a reader that has not noticed a
// restore within the usual time yet.
func TestErasOfFrames(t *testing.T) {
	began := time.Unix(1000, 0)
	frames := func(f *Fleet, after time.Duration) (accepted []uint64) {
		for era := range uint64(4) {
			if checkFrameEra(f, began.Add(after), catalog.Position(era, 400)) == nil {
				accepted = append(accepted, era)
			}
		}
		return accepted
	}
	f := NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
	f.Replace(catalog.State{Revision: catalog.Position(1, 500)}, "test")
	require.Equal(t, []uint64{1}, frames(f, time.Hour))
	f.ObserveRevision(began, catalog.Position(1, 900))
	require.Equal(t, []uint64{1}, frames(f, time.Hour), "the other daemon is in the same era")
	f.ObserveRevision(began, catalog.Position(2, 3))
	f.ObserveRevision(began.Add(time.Second), catalog.Position(2, 4))
	f.Apply(catalog.State{Revision: catalog.Position(1, 950)}, "test")
	require.Equal(t, []uint64{1}, frames(f, lagTolerance))
	require.Empty(t, frames(f, lagTolerance+1))
	f.Replace(catalog.State{Revision: catalog.Position(2, 5)}, "test")
	require.Equal(t, []uint64{2}, frames(f, time.Hour))
	f.ObserveRevision(began.Add(time.Hour), catalog.Position(3, 1))
	require.Equal(t, []uint64{2}, frames(f, time.Hour+lagTolerance), "another restore")
	require.Empty(t, frames(f, time.Hour+lagTolerance+1))
}

// Guards against queries for a newer state that compare revisions without their eras.
func TestAskForAStateOfALaterEra(t *testing.T) {
	view := fleetOf(t, 1).View()
	later := *view
	later.Revision = catalog.Position(1, 1)
	holder := newStateDaemon(t, "a", &later)
	asker := newStateDaemon(t, "a", nil, holder.address)
	state, err := asker.AskState(context.Background(), 500)
	require.NoError(t, err)
	require.Equal(t, catalog.Position(1, 1), state.Revision)
	_, err = asker.AskState(context.Background(), catalog.Position(1, 1))
	require.ErrorIs(t, err, ErrNoNewerState)
	earlier := newStateDaemon(t, "a", view)
	asker = newStateDaemon(t, "a", nil, earlier.address)
	_, err = asker.AskState(context.Background(), catalog.Position(1, 1))
	require.ErrorIs(t, err, ErrNoNewerState)
}

// Guards against an era that an operator cannot tell from the revision, and against a change of the log in deployments
// without restores.
func TestEraIsShownApart(t *testing.T) {
	registry := prometheus.NewRegistry()
	fleet := NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
	require.NoError(t, registerFleet(registry, fleet))
	fleet.Replace(catalog.State{Revision: catalog.Position(3, 7)}, "store")
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families, 1)
	require.Equal(t, "mangoshed_store_era", families[0].GetName())
	require.InDelta(t, 3, families[0].GetMetric()[0].GetGauge().GetValue(), 0)
	fields := func(p uint64) map[string]any {
		enc := zapcore.NewMapObjectEncoder()
		positionField(p).AddTo(enc)
		return enc.Fields
	}
	require.Equal(t, map[string]any{"era": uint64(3), "revision": uint64(7)}, fields(catalog.Position(3, 7)))
	require.Equal(t, map[string]any{"revision": uint64(7)}, fields(7))
}

// restoredStore simulates a store that is restored from copies of itself.
type restoredStore struct {
	era, revision uint64
	entries       map[model.InstanceID]catalog.Entry // with revisions without the era
	history       []catalog.Entry
	// written holds, for each era, the instances whose entries were written in it.
	written map[uint64]map[model.InstanceID]bool
	copies  []restoredStore
}

func (s *restoredStore) change(id model.InstanceID, listed bool) {
	s.revision++
	e := catalog.Entry{ID: id, Revision: s.revision}
	delete(s.entries, id)
	if listed {
		e = eraEntry(string(id), s.revision)
		s.entries[id] = e
		if s.written[s.era] == nil {
			s.written[s.era] = make(map[model.InstanceID]bool)
		}
		s.written[s.era][id] = true
	}
	s.history = append(s.history, e)
}

func (s *restoredStore) ids() []string {
	list := []string{}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		list = append(list, string(id))
	}
	return list
}

// inEra returns the state of a response.
func (s *restoredStore) inEra(entries []catalog.Entry) catalog.State {
	state := catalog.State{Revision: catalog.Position(s.era, s.revision)}
	for _, e := range entries {
		e.Revision = catalog.Position(s.era, e.Revision)
		state.Entries = append(state.Entries, e)
	}
	return state
}

// readBy lets a daemon watch, or read the full state if the store does not have the watch's revision or has another
// era.
func (s *restoredStore) readBy(now time.Time, c *catalog.Catalog) {
	after := c.Revision()
	if catalog.Era(after) != s.era || after == 0 {
		c.Replace(now, s.inEra(slices.Collect(maps.Values(s.entries))))
		return
	}
	var later []catalog.Entry
	for _, e := range s.history {
		if e.Revision > catalog.StoreRevision(after) {
			later = append(later, e)
		}
	}
	c.Apply(now, s.inEra(later))
}

// Guards against daemons that bring back an instance of which they knew that it was removed, although it has not been
// written since the store returned, or that disagree for good. The order of restores, reads, feeds and changes is
// random.
func TestDaemonsAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		store := &restoredStore{entries: make(map[model.InstanceID]catalog.Entry), written: make(map[uint64]map[model.InstanceID]bool)}
		daemons := []*catalog.Catalog{catalog.New(), catalog.New(), catalog.New()}
		alive := map[model.InstanceID]bool{}
		removed := make([]map[model.InstanceID]bool, len(daemons)) // instances that a daemon has listed before
		listed := make([]map[model.InstanceID]bool, len(daemons))
		for n := range daemons {
			removed[n], listed[n] = map[model.InstanceID]bool{}, map[model.InstanceID]bool{}
		}
		check := func() {
			for n, d := range daemons {
				d.Expire(now)
				current := map[model.InstanceID]bool{}
				for _, inst := range d.View().Instances {
					current[inst.ID] = true
					if era := catalog.Era(d.Revision()); removed[n][inst.ID] && era > 0 {
						require.True(t, store.written[era][inst.ID], "daemon %d brings back %s in era %d", n, inst.ID, era)
					}
					delete(removed[n], inst.ID)
				}
				for id := range listed[n] {
					if !current[id] {
						removed[n][id] = true
					}
				}
				listed[n] = current
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := model.InstanceID(fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "instance")))
			n := rapid.IntRange(0, 2).Draw(t, "daemon")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				alive[id] = true
				store.change(id, true)
			case 2:
				delete(alive, id)
				if _, ok := store.entries[id]; ok {
					store.change(id, false)
				}
			case 3:
				store.copies = append(store.copies, restoredStore{revision: store.revision, entries: maps.Clone(store.entries), history: slices.Clone(store.history)})
			case 4:
				if len(store.copies) > 0 && rapid.IntRange(0, 2).Draw(t, "restore") == 0 {
					from := store.copies[len(store.copies)-1]
					store.era++
					store.revision, store.entries, store.history = from.revision, maps.Clone(from.entries), slices.Clone(from.history)
				}
			case 5, 6:
				store.readBy(now, daemons[n])
			default:
				from, to := daemons[n], daemons[(n+1)%3]
				c := initialChange(from.View(), from.Revision(), to.Revision(), 0)
				c.Put, c.Lapses = slices.Clone(c.Put), nil
				s, err := c.state(to.View(), from.Revision())
				require.NoError(t, err)
				if s.Restore != nil {
					s.Restore = &catalog.Restore{Position: from.View().Restore.Position, GraceEnd: from.View().Restore.GraceEnd}
				}
				if c.Whole {
					to.Replace(now, s)
				}
			}
			check()
		}
		// Live instances write their entries again, those of the others expire. An entry that is written between
		// the return of the store and a daemon's first read counts with its next write only.
		for range 2 {
			for n := range 5 {
				id := model.InstanceID(fmt.Sprint("i", n))
				if _, ok := store.entries[id]; ok || alive[id] {
					store.change(id, alive[id])
				}
			}
			for _, d := range daemons {
				store.readBy(now, d)
			}
		}
		now = now.Add(maxRestoreGrace)
		check()
		for _, d := range daemons {
			var list []string
			for _, inst := range d.View().Instances {
				list = append(list, string(inst.ID))
			}
			require.ElementsMatch(t, store.ids(), list)
		}
	})
}
