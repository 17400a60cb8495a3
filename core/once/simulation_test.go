package once

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangoshed.example/mangoshed/core/model"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260101")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "500")
	m.Run()
}

// defect is a fault injected into the simulation, which the at-most-once check must detect.
type defect uint8

const (
	noDefect defect = iota
	skipsAcknowledgements
	staleListCountsAsFresh
	clearsWithoutNotRun
	losesRecordsOnLeave
)

// node is one process of the simulated service.
type node struct {
	id           model.InstanceID
	core         *Core
	running      map[Digest]bool // by key: whether the upstream executed the request
	listRevision uint64          // highest list revision received
	skew         time.Duration
	awake        bool
	leaving      bool
}

type envelope struct {
	from, to model.InstanceID
	sent     Send
	reply    *Reply
}

// world simulates the platform, the network and the processes in virtual time.
type world struct {
	rng             *rand.Rand
	defect          defect
	now             time.Time
	listHistory     [][]model.InstanceID // by revision
	nodes           map[model.InstanceID]*node
	network         []envelope
	partitioned     map[[2]model.InstanceID]bool
	keys            []Key
	runs            map[Digest]int
	lastIncarnation uint64
	// unique means that a replaced instance gets a new ID. Only then may the platform be unreadable.
	unique      bool
	generations [instanceCount]int
	log         []string
}

const instanceCount = 4

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%s ", w.now.Format("05.000"))+fmt.Sprintf(format, args...))
}

func (w *world) nodeID(i int) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("n%d.%d", i, w.generations[i]))
}

func (w *world) current() []model.InstanceID { return w.listHistory[len(w.listHistory)-1] }

func (n *node) time(w *world) time.Time { return w.now.Add(n.skew) }

// start starts a new process for the instance. The first list that it receives may be of any age.
func (w *world) start(id model.InstanceID) {
	w.lastIncarnation += 1000 // incarnations are in milliseconds; a Core that was removed from the list increments its own
	skew := time.Duration(w.draw(-1000, 1000)) * time.Millisecond
	n := &node{id: id, running: map[Digest]bool{}, skew: skew, awake: true}
	n.core = New(Config{Self: model.Instance{ID: id, Service: "s", Incarnation: w.lastIncarnation}}, n.time(w))
	w.nodes[id] = n
	w.logf("start %s inc %d", id, w.lastIncarnation)
	if !slices.Contains(w.current(), id) {
		w.listHistory = append(w.listHistory, append(slices.Clone(w.current()), id))
	}
}

func (w *world) list(n *node, revision int, fresh bool) {
	list := List{Revision: uint64(revision), Fresh: fresh}
	for _, id := range w.listHistory[revision] {
		list.Instances = append(list.Instances, model.Instance{ID: id, Service: "s"})
	}
	n.listRevision = max(n.listRevision, uint64(revision))
	w.logf("list %s rev %d fresh %v %v", n.id, revision, fresh, w.listHistory[revision])
	w.send(n, n.core.List(n.time(w), list))
	n.core.ViewChecked(n.time(w))
}

func (w *world) send(n *node, sends []Send) {
	for _, s := range sends {
		if w.defect == skipsAcknowledgements && s.Message.Kind == Acquire {
			w.send(n, n.core.Reply(n.time(w), s, Reply{OK: true, Confirmed: true, Since: s.Message.Since, Incarnation: n.core.peers[s.To.ID].incarnation}))
			continue
		}
		w.network = append(w.network, envelope{from: n.id, to: s.To.ID, sent: s})
	}
}

func (w *world) deliver(i int, duplicate bool) {
	e := w.network[i]
	if !duplicate {
		w.network = slices.Delete(w.network, i, i+1)
	}
	n := w.nodes[e.to]
	if n == nil || w.partitioned[[2]model.InstanceID{e.from, e.to}] {
		return
	}
	if !n.awake {
		w.network = append(w.network, e)
		return
	}
	if e.reply != nil {
		w.logf("reply %s->%s ok %v confirmed %v since %d", e.from, e.to, e.reply.OK, e.reply.Confirmed, e.reply.Since)
		w.send(n, n.core.Reply(n.time(w), e.sent, *e.reply))
		return
	}
	m := e.sent.Message
	if w.defect == losesRecordsOnLeave {
		m.Records = nil
	}
	r, sends := n.core.Handle(n.time(w), m)
	w.logf("message %s->%s kind %d inc %d rev %d since %d: ok %v", e.from, e.to, m.Kind, m.Incarnation, m.Revision, m.Since, r.OK)
	w.send(n, sends)
	w.network = append(w.network, envelope{from: e.to, to: e.from, sent: e.sent, reply: &r})
}

// request sends a request with the key to the node, which need not be the owner.
func (w *world) request(n *node, key Key) Decision {
	decision, _ := n.core.Begin(n.time(w), key)
	if decision == Run {
		executed := w.draw(0, 3) > 0
		n.running[key.ID] = executed
		if executed {
			w.runs[key.ID]++
			if w.runs[key.ID] > 1 {
				w.logf("SECOND RUN of %x created %d at %s", key.ID[:2], key.Created, n.id)
			}
		}
	}
	w.logf("request %x created %d at %s: %s", key.ID[:2], key.Created, n.id, decision)
	return decision
}

func (w *world) finish(n *node, id Digest) {
	executed := n.running[id]
	delete(n.running, id)
	if !executed || w.defect == clearsWithoutNotRun {
		n.core.Clear(id)
	} else {
		n.core.Finish(id, State(w.draw(1, 2)), []byte("answer"))
	}
}

func (w *world) kill(n *node) {
	w.logf("kill %s", n.id)
	delete(w.nodes, n.id)
}

// step advances the time, delivers some messages and performs one random operation.
func (w *world) step() {
	slot := w.draw(0, instanceCount-1)
	id := w.nodeID(slot)
	n := w.nodes[id]
	w.now = w.now.Add(time.Duration(w.draw(0, 3)) * 100 * time.Millisecond)
	for _, other := range w.sortedNodes() {
		if other.awake {
			w.send(other, other.core.Tick(other.time(w)))
		}
	}
	op := w.draw(0, 99)
	for range min(w.draw(0, 6), len(w.network)) {
		w.deliver(w.draw(0, len(w.network)-1), w.draw(0, 19) == 0)
	}
	switch {
	case n == nil && op < 30:
		w.start(id)
	case n == nil && op < 60 && slices.Contains(w.current(), id):
		w.listHistory = append(w.listHistory, slices.DeleteFunc(slices.Clone(w.current()), func(x model.InstanceID) bool { return x == id }))
		w.logf("remove %s", id)
		if w.unique {
			w.generations[slot]++
		}
	case n == nil:
	case op < 2 && w.draw(0, 9) == 0: // all processes of the service restart
		for _, other := range w.sortedNodes() {
			w.kill(other)
			w.start(other.id)
		}
	case op < 2:
		w.kill(n)
	case op == 2 || op < 12 && !n.awake:
		n.awake = !n.awake
	case op < 5 && n.awake && !n.leaving:
		w.logf("leave %s", id)
		n.leaving = true
		w.send(n, n.core.Leave(n.time(w)))
	case op < 7:
		pair := [2]model.InstanceID{id, w.nodeID(w.draw(0, instanceCount-1))}
		w.partitioned[pair] = op == 5
	case op < 9:
		w.partitioned = map[[2]model.InstanceID]bool{}
	case !n.awake:
	case n.leaving && op >= 65:
		for _, key := range w.keys {
			if _, open := n.running[key.ID]; open {
				w.finish(n, key.ID)
			}
		}
		w.send(n, n.core.HandOverRecords(n.time(w)))
		if n.core.HandedOver() {
			w.kill(n)
		}
	case op < 25:
		w.list(n, w.draw(int(n.listRevision), len(w.listHistory)-1), w.defect == staleListCountsAsFresh)
		if n.core.NeedsFreshList() && op < 12 {
			w.list(n, len(w.listHistory)-1, true)
		} else if w.unique {
			w.send(n, n.core.FreshListFailed(n.time(w)))
		}
	case op < 45:
		key := NewKey("s", fmt.Sprint(len(w.keys)), w.now.UnixMilli()+int64(w.draw(-1000, 1000)))
		w.keys = append(w.keys, key)
		w.request(n, key)
	case op < 75 && len(w.keys) > 0:
		last := len(w.keys) - 1
		w.request(n, w.keys[w.draw(max(0, last-8), last)])
	case op < 85:
		for _, key := range w.keys {
			if _, open := n.running[key.ID]; open {
				w.finish(n, key.ID)
				break
			}
		}
	}
}

func (w *world) sortedNodes() []*node {
	var out []*node
	for i := range instanceCount {
		if n := w.nodes[w.nodeID(i)]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// heal ends all faults and runs until the processes had time to become confirmed.
func (w *world) heal() {
	w.partitioned = map[[2]model.InstanceID]bool{}
	for i := range instanceCount {
		if id := w.nodeID(i); w.nodes[id] == nil || w.nodes[id].leaving {
			delete(w.nodes, id)
			w.listHistory = append(w.listHistory, slices.DeleteFunc(slices.Clone(w.current()), func(x model.InstanceID) bool { return x == id }))
			if w.unique {
				w.generations[i]++
			}
		}
	}
	w.start(w.nodeID(0))
	for range 100 {
		w.now = w.now.Add(TickPeriod)
		for _, n := range w.sortedNodes() {
			n.awake = true
			w.list(n, len(w.listHistory)-1, n.core.NeedsFreshList())
			w.send(n, n.core.Tick(n.time(w)))
		}
		for range len(w.network) {
			w.deliver(0, false)
		}
	}
}

// draw returns a uniformly distributed number from low to high. Numbers drawn by rapid are mostly
// small, so that nearly all steps would be the same operation. Therefore rapid draws only the
// parameters of a simulation, such as its seed and the number of steps.
func (w *world) draw(low, high int) int { return low + w.rng.IntN(high-low+1) }

func simulate(t *rapid.T, d defect) *world {
	steps := rapid.IntRange(300, 800).Draw(t, "steps")
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	w := &world{rng: rng, unique: rapid.Bool().Draw(t, "unique"), defect: d, now: time.Unix(2_000_000, 0), nodes: map[model.InstanceID]*node{}, partitioned: map[[2]model.InstanceID]bool{}, runs: map[Digest]int{}, listHistory: [][]model.InstanceID{nil}}
	for i := range instanceCount - 1 {
		w.start(w.nodeID(i))
	}
	for _, n := range w.sortedNodes() {
		w.list(n, len(w.listHistory)-1, true)
	}
	for range 4 * instanceCount {
		for range len(w.network) {
			w.deliver(0, false)
		}
	}
	w.now = w.now.Add(10 * time.Second)
	for _, n := range w.sortedNodes() {
		w.send(n, n.core.Tick(n.time(w)))
		n.core.ViewChecked(n.time(w))
	}
	for range steps {
		w.step()
	}
	return w
}

// Guards against a second run of a key during joins, crashes, restarts, stale lists, partitions,
// pauses, graceful shutdowns and retries through any process; and against a service that cannot run
// new keys after all faults have ended.
func TestAtMostOnce(t *testing.T) {
	ran, total, duplicates := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := simulate(t, noDefect)
		for id, runs := range w.runs {
			if runs > 1 {
				t.Fatalf("key %x ran %d times\n%s", id[:2], runs, joinLog(w))
			}
		}
		ran, total = ran+len(w.runs), total+len(w.keys)
		w.heal()
		key := NewKey("s", "after", w.now.UnixMilli())
		decisions := map[Decision]int{}
		for range 2 {
			for _, n := range w.sortedNodes() {
				decisions[w.request(n, key)]++
			}
		}
		duplicates += decisions[Duplicate]
		if decisions[Run] != 1 || decisions[Duplicate] == 0 {
			t.Fatalf("after healing: %v\n%s", decisions, joinLog(w))
		}
	})
	t.Logf("%d keys sent, %d ran once, %d duplicates after healing", total, ran, duplicates)
	require.Greater(t, ran, total/10, "the simulation ran too few keys")
}

func joinLog(w *world) string {
	out := ""
	for _, line := range w.log {
		out += line + "\n"
	}
	return out
}

// Guards against an at-most-once check that detects nothing: each injected defect must cause a second
// run of some key.
func TestDefectsAreFound(t *testing.T) {
	for name, d := range map[string]defect{
		"skips acknowledgements": skipsAcknowledgements, "stale list counts as fresh": staleListCountsAsFresh,
		"clears without not-run": clearsWithoutNotRun, "loses records on leave": losesRecordsOnLeave,
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			rapid.Check(t, func(t *rapid.T) {
				for _, runs := range simulate(t, d).runs {
					if runs > 1 {
						found++
					}
				}
			})
			t.Logf("%d second runs", found)
			require.Positive(t, found)
		})
	}
}
