package dissemination

import (
	"container/heap"
	"errors"
	"fmt"
	"time"

	"github.com/stretchr/testify/require"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/snapshot"
	"pgregory.net/rapid"
)

const (
	nearDelay    = 100 * time.Microsecond
	regionDelay  = 500 * time.Microsecond
	crossDelay   = 8 * time.Millisecond
	storeDelay   = 2 * time.Millisecond
	storeRegion  = "klang"
	remoteRegion = "penang"
)

// ackTimeout is the time after which the sender of a lost frame learns that the link is
// down.
const ackTimeout = 3 * time.Second

// idleTimeouts are the times by distance after which a link notices a dead peer without
// sending.
var idleTimeouts = [...]time.Duration{40 * time.Second, 50 * time.Second, 100 * time.Second}

var errClosed = errors.New("link closed")

// node is a daemon of the fleet: a Core and the links that its runner would hold.
type node struct {
	instance    model.Instance
	core        *Core
	alive       bool
	generation  int // of the process; events for an earlier one are dropped
	pausedUntil time.Time
	tickAt      time.Time
	links       map[model.InstanceID]int // peer to epoch of the link
	watching    bool
	applied     *snapshot.Snapshot
	view        membership.View
	ready       bool
	stale       bool
	records     []Record
	delivered   []Deliver
}

type queued struct {
	at       time.Time
	sequence int
	run      func()
}

type queue []queued

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(queued)) }
func (q *queue) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// fleet joins cores by a queue of messages in virtual time, and checks the invariants
// of the distribution after every step.
type fleet struct {
	t         rapid.TB
	now       time.Time
	queue     queue
	sequence  int
	nodes     map[model.InstanceID]*node
	ids       []model.InstanceID
	verifier  *snapshot.Verifier
	signer    *snapshot.Signer
	cut       bool                             // the regions are partitioned
	slow      time.Duration                    // added to the delay between regions
	storeSlow time.Duration                    // added to the delay of the store's answers
	defect    func(n *node, a Action) []Action // of a daemon's double; nil for none
	storeDown bool
	manifest  []byte
	segments  map[model.Version][][]byte
	good      map[model.Version]model.Digest
	revision  uint64
	listed    []model.Instance
	epoch     int
	broken    map[int]bool // links by epoch
	reads     int
	frames    map[model.Distance]int
	bytes     map[model.Distance]int
}

// newFleet starts regions x 2 data centres x size daemons with a store in klang.
func newFleet(t rapid.TB, size int) *fleet {
	f := &fleet{
		t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), nodes: map[model.InstanceID]*node{},
		segments: map[model.Version][][]byte{}, good: map[model.Version]model.Digest{},
		broken: map[int]bool{}, frames: map[model.Distance]int{}, bytes: map[model.Distance]int{},
	}
	for _, region := range []string{storeRegion, remoteRegion} {
		for dc := range 2 {
			for i := range size {
				id := model.InstanceID(fmt.Sprintf("%s-%d-%d", region, dc, i))
				place := model.Place{Region: region, DataCentre: fmt.Sprintf("%s-%d", region, dc)}
				f.ids = append(f.ids, id)
				f.nodes[id] = &node{instance: model.Instance{ID: id, Service: "shifts", Place: place, ControlAddr: string(id), ForwardAddr: string(id)}}
				f.listed = append(f.listed, f.nodes[id].instance)
			}
		}
	}
	f.revision = 1
	return f
}

// startAll publishes version 1, starts all daemons and waits until they are ready.
func (f *fleet) startAll() {
	f.publish(1)
	for _, id := range f.ids {
		f.start(id)
	}
	f.run(8 * time.Second)
	for _, id := range f.ids {
		require.True(f.t, f.nodes[id].ready, "%s is not ready", id)
	}
	f.requireConverged(1)
}

// start starts a daemon, with two seeds of each data centre.
func (f *fleet) start(id model.InstanceID) {
	n := f.nodes[id]
	n.generation++
	n.instance.Incarnation = uint64(f.now.UnixMilli())
	var seeds []model.Instance
	for i, other := range f.ids {
		if i%(len(f.ids)/4) < 2 {
			seeds = append(seeds, f.nodes[other].instance)
		}
	}
	n.core = New(Config{Self: n.instance, StoreRegion: storeRegion, Verifier: f.verifier, Seed: uint64(n.generation), Seeds: seeds})
	n.alive, n.applied, n.ready, n.stale, n.watching = true, nil, false, false, false
	n.view, n.links = membership.View{}, map[model.InstanceID]int{}
	n.tickAt = time.Time{}
	f.deliver(n, Tick{})
}

// arm schedules the next tick after an event, as the runner does.
func (f *fleet) arm(n *node) {
	at := n.core.NextTick()
	if !n.tickAt.IsZero() && !at.Before(n.tickAt) {
		return
	}
	n.tickAt = at
	generation := n.generation
	f.at(at, func() {
		if n.alive && n.generation == generation && n.tickAt.Equal(at) {
			n.tickAt = time.Time{}
			f.deliver(n, Tick{})
		}
	})
}

// kill stops a daemon without a word. Its peers notice after the idle timeout.
func (f *fleet) kill(id model.InstanceID) {
	n := f.nodes[id]
	n.alive = false
	for peer, epoch := range n.links {
		f.breakLink(f.nodes[peer], id, epoch)
	}
	n.links = nil
}

func (f *fleet) breakLink(n *node, peer model.InstanceID, epoch int) {
	f.loseLink(n, peer, epoch, idleTimeouts[n.instance.Place.DistanceTo(f.nodes[peer].instance.Place)])
}

// loseLink reports a link as down after a time, on one side.
func (f *fleet) loseLink(n *node, peer model.InstanceID, epoch int, after time.Duration) {
	f.at(f.now.Add(after), func() {
		if n.alive && n.links[peer] == epoch {
			delete(n.links, peer)
			f.deliver(n, LinkDown{Peer: peer, Err: errClosed})
		}
	})
}

// partition separates the regions or joins them again. Links that cross it fail after
// the idle timeout.
func (f *fleet) partition(on bool) {
	f.cut = on
	for _, id := range f.ids {
		for peer, epoch := range f.nodes[id].links {
			if on && !f.reachable(f.nodes[id], f.nodes[peer]) {
				f.breakLink(f.nodes[id], peer, epoch)
			}
		}
	}
}

func (f *fleet) reachable(a, b *node) bool {
	return !f.cut || a.instance.Place.Region == b.instance.Place.Region
}

func (f *fleet) delay(a, b *node) time.Duration {
	return [...]time.Duration{nearDelay, regionDelay, crossDelay + f.slow}[a.instance.Place.DistanceTo(b.instance.Place)]
}

func (f *fleet) at(at time.Time, run func()) {
	f.sequence++
	heap.Push(&f.queue, queued{at: at, sequence: f.sequence, run: run})
}

func (f *fleet) run(d time.Duration) { f.runUntil(d, func() bool { return false }) }

// runUntil lets time pass until the condition holds and returns the time it took.
func (f *fleet) runUntil(limit time.Duration, condition func() bool) time.Duration {
	start := f.now
	for end := f.now.Add(limit); f.queue.Len() > 0 && !f.queue[0].at.After(end); {
		if condition() {
			return f.now.Sub(start)
		}
		next := heap.Pop(&f.queue).(queued)
		if next.at.After(f.now) {
			f.now = next.at
		}
		next.run()
	}
	if !condition() {
		f.now = start.Add(limit)
	}
	return f.now.Sub(start)
}

// deliver hands an event to a core, later if the daemon is paused, and performs the actions.
func (f *fleet) deliver(n *node, ev Event) {
	if f.now.Before(n.pausedUntil) {
		generation := n.generation
		f.at(n.pausedUntil, func() {
			if n.alive && n.generation == generation {
				f.deliver(n, ev)
			}
		})
		return
	}
	for _, action := range n.core.Handle(f.now, ev) {
		performed := []Action{action}
		if f.defect != nil {
			performed = f.defect(n, action)
		}
		for _, a := range performed {
			f.perform(n, a)
		}
	}
	f.arm(n)
}

func (f *fleet) perform(n *node, action Action) {
	switch a := action.(type) {
	case Dial:
		f.connect(n, f.nodes[a.Instance.ID])
	case Close:
		epoch, ok := n.links[a.Peer]
		delete(n.links, a.Peer)
		if peer := f.nodes[a.Peer]; ok {
			f.at(f.now.Add(f.delay(n, peer)), func() {
				if peer.alive && peer.links[n.instance.ID] == epoch {
					delete(peer.links, n.instance.ID)
					f.deliver(peer, LinkDown{Peer: n.instance.ID, Err: errClosed})
				}
			})
		}
	case Send:
		f.transmit(n, f.nodes[a.Peer], a.Data)
	case Watch:
		n.watching = a.On
		f.answerManifest(n)
		f.answerList(n)
	case ReadManifest:
		f.reads++
		f.answerManifest(n)
	case ReadList:
		f.reads++
		f.answerList(n)
	case FetchSegments:
		f.reads += len(a.Manifest.Segments)
		f.fromStore(n, func() Event { return StoreSegments{Manifest: a.Manifest, Segments: f.segments[a.Manifest.Version]} },
			func() Event { return StoreSegments{Manifest: a.Manifest, Err: errClosed} })
	case Apply:
		f.checkApply(n, a)
	case Members:
		require.GreaterOrEqual(f.t, a.View.Revision, n.view.Revision, "the view of %s went back", n.instance.ID)
		n.view = a.View
	case Ready:
		require.True(f.t, !a.On || n.applied != nil, "%s is ready without a version", n.instance.ID)
		n.ready = a.On
	case Stale:
		n.stale = a.On
	case Record:
		n.records = append(n.records, a)
	case Deliver:
		n.delivered = append(n.delivered, a)
	}
}

// checkApply checks I1 (versions rise on a daemon), I2 and I3 (only the complete
// contents of an accepted version are applied).
func (f *fleet) checkApply(n *node, a Apply) {
	require.Equal(f.t, n.applied, a.Previous)
	if n.applied != nil {
		require.Greater(f.t, a.Snapshot.Version(), n.applied.Version(), "I1: %s", n.instance.ID)
	}
	digest, ok := f.good[a.Snapshot.Version()]
	require.True(f.t, ok, "I3: %s applied version %d", n.instance.ID, a.Snapshot.Version())
	require.Equal(f.t, digest, a.Snapshot.Digest(), "I3: %s applied version %d", n.instance.ID, a.Snapshot.Version())
	require.NoError(f.t, a.Snapshot.Table().Validate(), "I2")
	n.applied = a.Snapshot
}

func (f *fleet) connect(from, to *node) {
	generation := to.generation
	f.at(f.now.Add(2*f.delay(from, to)), func() {
		if !from.alive || !to.alive || to.generation != generation || !f.reachable(from, to) || f.now.Before(to.pausedUntil) {
			return // the core gives up the dial itself
		}
		f.epoch++
		pairs, epoch := [][2]*node{{from, to}, {to, from}}, f.epoch
		for _, pair := range pairs {
			if _, ok := pair[0].links[pair[1].instance.ID]; ok {
				delete(pair[0].links, pair[1].instance.ID)
				f.deliver(pair[0], LinkDown{Peer: pair[1].instance.ID, Err: errClosed}) // replaced
			}
		}
		from.links[to.instance.ID], to.links[from.instance.ID] = epoch, epoch
		for _, pair := range pairs {
			if pair[0].links[pair[1].instance.ID] == epoch {
				f.deliver(pair[0], LinkUp{Peer: pair[1].instance.ID})
			}
		}
	})
}

func (f *fleet) transmit(from, to *node, data []byte) {
	epoch, ok := from.links[to.instance.ID]
	if !ok {
		return
	}
	distance := from.instance.Place.DistanceTo(to.instance.Place)
	f.frames[distance]++
	f.bytes[distance] += len(data)
	if f.broken[epoch] || !to.alive || to.links[from.instance.ID] != epoch || !f.reachable(from, to) {
		f.fail(from, to, epoch)
		return
	}
	f.at(f.now.Add(f.delay(from, to)), func() {
		if to.alive && to.links[from.instance.ID] == epoch {
			f.deliver(to, Frame{Peer: from.instance.ID, Data: data})
		}
	})
}

// fail breaks a link on which a frame is lost: retransmissions are so far apart soon that
// the link stays silent until a timeout, even if the peer can be reached again.
func (f *fleet) fail(from, to *node, epoch int) {
	f.broken[epoch] = true
	f.breakLink(from, to.instance.ID, epoch)
	f.breakLink(to, from.instance.ID, epoch)
	f.loseLink(from, to.instance.ID, epoch, ackTimeout)
}

func (f *fleet) fromStore(n *node, answer, failure func() Event) {
	delay, generation := storeDelay+f.storeSlow, n.generation
	if n.instance.Place.Region != storeRegion {
		delay += 2 * (crossDelay + f.slow)
	}
	f.at(f.now.Add(delay), func() {
		if !n.alive || n.generation != generation {
			return
		}
		if f.storeDown || f.cut && n.instance.Place.Region != storeRegion {
			f.deliver(n, failure())
			return
		}
		f.deliver(n, answer())
	})
}

func (f *fleet) answerManifest(n *node) {
	f.fromStore(n, func() Event { return StoreManifest{Data: f.manifest, Revision: 1} }, func() Event { return StoreManifest{Err: errClosed} })
}

func (f *fleet) answerList(n *node) {
	f.fromStore(n, func() Event { return StoreList{Revision: f.revision, Instances: f.listed} }, func() Event { return StoreList{Err: errClosed} })
}

// notify tells the watching daemons about the store's contents.
func (f *fleet) notify() {
	for _, id := range f.ids {
		if n := f.nodes[id]; n.alive && n.watching {
			f.answerManifest(n)
			f.answerList(n)
		}
	}
}

// converged reports whether every running daemon has applied the version.
func (f *fleet) converged(v model.Version) func() bool {
	return func() bool {
		for _, id := range f.ids {
			if n := f.nodes[id]; n.alive && (n.applied == nil || n.applied.Version() != v) {
				return false
			}
		}
		return true
	}
}

func (f *fleet) requireConverged(v model.Version) {
	f.t.Helper()
	for _, id := range f.ids {
		if n := f.nodes[id]; n.alive {
			require.NotNil(f.t, n.applied, "I9: %s has no version", id)
			require.Equal(f.t, v, n.applied.Version(), "I9: %s", id)
		}
	}
}

// role returns the daemon for which the predicate holds; the plans of all agree.
func (f *fleet) role(predicate func(c *Core) bool) model.InstanceID {
	for _, id := range f.ids {
		if predicate(f.nodes[id].core) {
			return id
		}
	}
	require.Fail(f.t, "no daemon has the role")
	return ""
}

func (f *fleet) hasRecord(kind RecordKind) bool {
	for _, n := range f.nodes {
		for _, r := range n.records {
			if r.Kind == kind {
				return true
			}
		}
	}
	return false
}
