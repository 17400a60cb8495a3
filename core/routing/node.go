package routing

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mangoshed.example/mangoshed/core/admission"
	"mangoshed.example/mangoshed/core/model"
)

const (
	// loadLife is the age at which reported load counts for nothing.
	loadLife = time.Second
	// RampUp is the time in which a new instance reaches its share.
	RampUp = 5 * time.Second
	// rampStart is the part of its share that a new instance starts with.
	rampStart = 0.1
	// suspicionMin and suspicionMax bound the time for which an instance gets nothing
	// after a failure; it doubles with each failed probe. The maximum stays under the
	// 30 s that the platform's list lags behind.
	suspicionMin = time.Second
	suspicionMax = 10 * time.Second
	// silence is the time without any answer after which a timed-out call speaks
	// against the instance. It is far above a path's round-trip time of 16 ms, so that
	// calls with short deadlines do not shut out an instance that is only slow.
	silence = 250 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
	// latencyLife is the time after which a latency counts for nothing, so that an
	// instance that was slow is tried again.
	latencyLife = 5 * time.Second
)

// Load is what an instance reports with each answer.
type Load struct {
	InFlight, Slots, Queued int
}

// ParseLoad reads the value of the header refusal.HeaderLoad.
func ParseLoad(value string) (Load, bool) {
	inFlight, rest, ok1 := strings.Cut(value, "/")
	slots, queued, ok2 := strings.Cut(rest, "/")
	if !ok1 || !ok2 {
		return Load{}, false
	}
	var l Load
	for _, part := range []struct {
		text string
		to   *int
	}{{inFlight, &l.InFlight}, {slots, &l.Slots}, {queued, &l.Queued}} {
		n, err := strconv.ParseUint(part.text, 10, 24)
		if err != nil {
			return Load{}, false
		}
		*part.to = int(n)
	}
	return l, l.Slots > 0
}

// String returns the value of the header refusal.HeaderLoad.
func (l Load) String() string {
	return strconv.Itoa(l.InFlight) + "/" + strconv.Itoa(l.Slots) + "/" + strconv.Itoa(l.Queued)
}

// node is what an ingress learns about an instance. It outlives route tables. Times
// are nanoseconds since the base of the route tables.
type node struct {
	rampFrom atomic.Int64 // start of the ramp

	inFlight   atomic.Int64 // own calls
	reported   atomic.Uint64
	loadAt     atomic.Int64
	firstHand  atomic.Bool  // the load is that of the own guard, which does not lag
	answeredAt atomic.Int64 // any answer, refusals included
	latency    atomic.Int64 // moving average in nanoseconds, 0 if unknown
	latencyAt  atomic.Int64

	strikes      atomic.Int32 // failures in a row; 0 means not suspect
	suspectUntil atomic.Int64
	leaving      atomic.Bool // the instance itself refused because it leaves
}

// report stores the load. The calls of others are what the instance reports minus the
// own calls at that time.
func (n *node) report(l Load, now int64) {
	others := max(0, l.InFlight+l.Queued-int(n.inFlight.Load()))
	n.reported.Store(uint64(others)<<32 | uint64(l.Slots))
	n.loadAt.Store(now)
}

// load returns the estimated calls at the instance and its slots, 0 if unknown.
func (n *node) load(now int64) (calls float64, slots int, fresh bool) {
	calls = float64(n.inFlight.Load())
	reported := n.reported.Load()
	slots = int(reported & 0xffffffff)
	age := now - n.loadAt.Load()
	if slots == 0 || age >= int64(loadLife) {
		return calls, slots, false
	}
	share := 1 - float64(max(0, age))/float64(loadLife)
	return calls + float64(reported>>32)*share, slots, true
}

// took adds the latency of an answered call to the moving average.
func (n *node) took(latency time.Duration, now int64) {
	average := float64(n.latency.Load())
	if average == 0 {
		average = float64(latency)
	}
	n.latency.Store(int64(average + latencyWeight*(float64(latency)-average)))
	n.latencyAt.Store(now)
}

// recentLatency returns the average, 0 if there is none that still counts.
func (n *node) recentLatency(now int64) float64 {
	if now-n.latencyAt.Load() >= int64(latencyLife) {
		return 0
	}
	return float64(n.latency.Load())
}

// slots returns the slots that the instance is taken to have. Until it reports its own,
// these are the default ones, fewer while it ramps up; an old report from its ramp is a
// lower bound.
func (n *node) slots(now int64) int {
	_, reported, fresh := n.load(now)
	if reported > 0 && (fresh || n.ramp(n.loadAt.Load()) >= 1) {
		return reported
	}
	return max(1, reported, int(n.ramp(now)*admission.DefaultSlots))
}

func (n *node) full(now int64) bool {
	calls, _, _ := n.load(now)
	return calls >= float64(n.slots(now))
}

// crowded reports whether the instance is full for certain: the own calls alone fill it,
// which are known before the first of them is answered, or its load is known at first hand.
func (n *node) crowded(now int64) bool {
	return int(n.inFlight.Load()) >= n.slots(now) || n.firstHand.Load() && n.full(now)
}

// newNode returns a node whose ramp starts at the given time.
func newNode(rampFrom int64) *node {
	n := &node{}
	n.rampFrom.Store(rampFrom)
	return n
}

// born takes the start of the instance from its announcement. An instance can be listed
// before it is announced, so that it looked settled at first.
func (n *node) born(at, now int64) {
	if at <= now && now-at < int64(RampUp) {
		n.rampFrom.Store(max(n.rampFrom.Load(), at))
	}
}

// ramp returns the part of its share that the instance gets, up to 1.
func (n *node) ramp(now int64) float64 {
	age := now - n.rampFrom.Load()
	if age >= int64(RampUp) {
		return 1
	}
	return rampStart + (1-rampStart)*float64(max(0, age))/float64(RampUp)
}

func (n *node) suspect() bool { return n.strikes.Load() > 0 }

// probe reports whether the suspicion has expired and the calling request is the one
// that probes the instance. The next probe is due one suspicion later.
func (n *node) probe(now int64) bool {
	until := n.suspectUntil.Load()
	return now >= until && n.suspectUntil.CompareAndSwap(until, now+int64(suspicion(n.strikes.Load())))
}

// silent reports whether the instance has answered nothing since then, for long enough.
func (n *node) silent(since, now int64) bool {
	return n.answeredAt.Load() < since && now-since >= int64(silence)
}

// fail makes the instance suspect. Of a suspect only a failed probe counts: other
// failures belong to calls that started before the suspicion.
func (n *node) fail(now int64, probe bool) {
	until, strikes := n.suspectUntil.Load(), n.strikes.Load()
	if strikes > 0 && !probe {
		return
	}
	if n.suspectUntil.CompareAndSwap(until, now+int64(suspicion(strikes+1))) {
		n.strikes.Store(strikes + 1)
	}
}

func suspicion(strikes int32) time.Duration {
	return min(suspicionMin<<min(max(strikes, 1)-1, 8), suspicionMax)
}

// target is an instance with what is known about it. Both parts are shared by the
// route tables that contain it.
type target struct {
	inst *model.Instance
	node *node
}
