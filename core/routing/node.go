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
	// maxLoadAge is the age at which a reported load is no longer used.
	maxLoadAge = time.Second
	// RampUp is the time that a new instance takes to reach its full share of the calls.
	RampUp = 5 * time.Second
	// rampStart is the part of its full share that a new instance starts with.
	rampStart = 0.1
	// suspicionMin and suspicionMax bound the time for which an instance gets no calls
	// after a failure. The time doubles with each failed probe. The maximum stays below
	// the 30 s by which the platform's instance list lags.
	suspicionMin = time.Second
	suspicionMax = 10 * time.Second
	// unresponsiveAfter is the time without any response after which a call that timed out counts
	// as a failure of the instance. It is far above a path's round-trip time of 16 ms, so
	// that calls with short deadlines do not make a merely slow instance suspect.
	unresponsiveAfter = 250 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
	// maxLatencyAge is the age at which a measured latency is no longer used, so that an
	// instance that was slow gets its full share of the calls again.
	maxLatencyAge = 5 * time.Second
)

// Load is the load that an instance reports with each response, in calls.
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

// node holds the state that an ingress daemon keeps about an instance. Successive route
// tables share it. Times are nanoseconds since the base of the route tables.
type node struct {
	rampFrom atomic.Int64 // start of the ramp

	inFlight     atomic.Int64  // calls from this daemon
	reported     atomic.Uint64 // calls from other daemons in the upper 32 bits, slots in the lower
	loadTime     atomic.Int64  // time of the last load report
	loadIsLocal  atomic.Bool   // the load comes from this daemon's own guard and does not lag
	lastResponse atomic.Int64  // time of the last response, including refusals
	latency      atomic.Int64  // moving average in nanoseconds, 0 if unknown
	latencyAt    atomic.Int64  // time of the last latency measurement

	failures     atomic.Int32 // consecutive failures; 0 means not suspect
	suspectUntil atomic.Int64 // time of the next probe
	leaving      atomic.Bool  // the instance refused a call because it is shutting down
}

// recordLoad stores a load recordLoad. The calls from other daemons are the reported ones minus the
// calls from this daemon at that time.
func (n *node) recordLoad(l Load, now int64) {
	others := max(0, l.InFlight+l.Queued-int(n.inFlight.Load()))
	n.reported.Store(uint64(others)<<32 | uint64(l.Slots))
	n.loadTime.Store(now)
}

// load returns the estimated number of calls at the instance and its number of slots, 0 if
// unknown. The estimate is the calls from this daemon plus the reported calls from other
// daemons, whose part decreases linearly to 0 as the report ages.
func (n *node) load(now int64) (calls float64, slots int, fresh bool) {
	calls = float64(n.inFlight.Load())
	reported := n.reported.Load()
	slots = int(reported & 0xffffffff)
	age := now - n.loadTime.Load()
	if slots == 0 || age >= int64(maxLoadAge) {
		return calls, slots, false
	}
	share := 1 - float64(max(0, age))/float64(maxLoadAge)
	return calls + float64(reported>>32)*share, slots, true
}

// recordLatency adds the latency of a call that got a response to the moving average.
func (n *node) recordLatency(latency time.Duration, now int64) {
	average := float64(n.latency.Load())
	if average == 0 {
		average = float64(latency)
	}
	n.latency.Store(int64(average + latencyWeight*(float64(latency)-average)))
	n.latencyAt.Store(now)
}

// recentLatency returns the average latency in nanoseconds, or 0 if there is no recent one.
func (n *node) recentLatency(now int64) float64 {
	if now-n.latencyAt.Load() >= int64(maxLatencyAge) {
		return 0
	}
	return float64(n.latency.Load())
}

// slots returns the assumed number of slots of the instance. Before its first report it is
// the default number, or fewer while the instance ramps up. An old report that was made
// during the ramp is a lower bound.
func (n *node) slots(now int64) int {
	_, reported, fresh := n.load(now)
	if reported > 0 && (fresh || n.ramp(n.loadTime.Load()) >= 1) {
		return reported
	}
	return max(1, reported, int(n.ramp(now)*admission.DefaultSlots))
}

// full reports whether the estimated calls fill all slots of the instance.
func (n *node) full(now int64) bool {
	calls, _, _ := n.load(now)
	return calls >= float64(n.slots(now))
}

// certainlyFull reports whether the instance is full without doubt: either the calls from this
// daemon alone fill it, whose number is exact even before any response, or the instance is
// full by the load that this daemon's own guard reports.
func (n *node) certainlyFull(now int64) bool {
	return int(n.inFlight.Load()) >= n.slots(now) || n.loadIsLocal.Load() && n.full(now)
}

// newNode returns the node of an instance whose ramp starts at rampFrom.
func newNode(rampFrom int64) *node {
	n := &node{}
	n.rampFrom.Store(rampFrom)
	return n
}

// setStartTime sets the start of the ramp to the announced start time of the instance. The platform
// can list an instance before its announcement arrives; until then it counts as one that has
// completed its ramp.
func (n *node) setStartTime(startedAt, now int64) {
	if startedAt <= now && now-startedAt < int64(RampUp) {
		n.rampFrom.Store(max(n.rampFrom.Load(), startedAt))
	}
}

// ramp returns the part of its full share that the instance gets at this time, up to 1.
func (n *node) ramp(now int64) float64 {
	age := now - n.rampFrom.Load()
	if age >= int64(RampUp) {
		return 1
	}
	return rampStart + (1-rampStart)*float64(max(0, age))/float64(RampUp)
}

// suspect reports whether the last outcome that counted was a failure.
func (n *node) suspect() bool { return n.failures.Load() > 0 }

// claimProbe reports whether a claimProbe of the suspect is due and the calling request may make it.
// Of concurrent requests only one may. The next probe is due one suspicion period later.
func (n *node) claimProbe(now int64) bool {
	until := n.suspectUntil.Load()
	return now >= until && n.suspectUntil.CompareAndSwap(until, now+int64(suspicionPeriod(n.failures.Load())))
}

// unresponsive reports whether the instance has sent no response since the given time, and that
// time is long enough ago.
func (n *node) unresponsive(since, now int64) bool {
	return n.lastResponse.Load() < since && now-since >= int64(unresponsiveAfter)
}

// recordFailure records a failure and makes the instance suspect. If it is suspect already, only a
// failed probe counts, because all other failures are of calls that started before.
func (n *node) recordFailure(now int64, probe bool) {
	until, failures := n.suspectUntil.Load(), n.failures.Load()
	if failures > 0 && !probe {
		return
	}
	if n.suspectUntil.CompareAndSwap(until, now+int64(suspicionPeriod(failures+1))) {
		n.failures.Store(failures + 1)
	}
}

// suspicionPeriod returns the time for which an instance gets no calls after the given number of
// consecutive failures.
func suspicionPeriod(failures int32) time.Duration {
	return min(suspicionMin<<min(max(failures, 1)-1, 8), suspicionMax)
}

// target is an instance together with its node. All route tables that contain the instance
// share both.
type target struct {
	inst *model.Instance
	node *node
}
