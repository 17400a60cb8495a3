package intake

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// coldFleet plays callers against cold upstreams in virtual time.
type coldFleet struct {
	rng    *rand.Rand
	now    time.Time
	queues []*Queue
	events coldEvents
	ticks  map[*Queue]time.Time // next tick of each queue
	// served, late and refused count requests by priority; starts are the runs that began while requests
	// arrived.
	served, late, refused [2]int
	asked                 [2]int
	starts                int
}

type coldEvent struct {
	at time.Time
	do func()
}

type coldEvents []coldEvent

func (e coldEvents) Len() int           { return len(e) }
func (e coldEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e coldEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *coldEvents) Push(x any)        { *e = append(*e, x.(coldEvent)) }
func (e *coldEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// coldKinds are the two kinds of requests of the load: priority 0 with value 1.4, priority 1 with 1.5.
var coldKinds = [2]struct {
	route          string
	work           time.Duration
	goal, deadline time.Duration
	value          float64
}{
	{"urgent", 96 * time.Millisecond, 250 * time.Millisecond, 1200 * time.Millisecond, 1.4},
	{"usual", 130 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 1.5},
}

func (f *coldFleet) at(t time.Time, do func()) { heap.Push(&f.events, coldEvent{t, do}) }

// request sends a request to the one of three queues with the shortest wait, and to another one if that
// refuses it. The caller then comes back once, if it may wait for that long.
func (f *coldFleet) request(priority int, arrived time.Time, returning bool) {
	f.attempt(priority, arrived, returning, 2)
}

func (f *coldFleet) attempt(priority int, arrived time.Time, returning bool, attempts int) {
	kind := coldKinds[priority]
	q := f.queues[f.rng.IntN(len(f.queues))]
	for range 2 {
		if other := f.queues[f.rng.IntN(len(f.queues))]; other.Load(f.now).Wait < q.Load(f.now).Wait {
			q = other
		}
	}
	c := &Call{
		Route: kind.route, Priority: priority, Returning: returning, Goal: arrived.Add(kind.goal), Deadline: arrived.Add(kind.deadline), Objective: kind.goal,
	}
	decided := func(v Verdict) {
		if v == Started {
			f.start(q, c, priority)
			return
		}
		if attempts > 1 {
			f.attempt(priority, arrived, returning, attempts-1)
			return
		}
		after, left := q.RetryAfter(f.now, c), c.Deadline.Sub(f.now)
		if returning || after > left/3 {
			f.refused[priority]++
			return
		}
		f.at(f.now.Add(after), func() { f.request(priority, arrived, true) })
	}
	c.Decide = decided
	if v := q.Offer(f.now, c, true); v != Waiting {
		decided(v)
	}
	f.schedule(q)
}

func (f *coldFleet) start(q *Queue, c *Call, priority int) {
	if !f.now.After(start.Add(coldFleetTime)) {
		f.starts++
	}
	work := time.Duration(float64(coldKinds[priority].work) * (0.5 + f.rng.Float64()))
	f.at(f.now.Add(work), func() {
		switch {
		case f.now.After(c.Deadline):
		case f.now.After(c.Goal):
			f.late[priority]++
		default:
			f.served[priority]++
		}
		q.Done(f.now, c, true)
		f.schedule(q)
	})
}

// schedule advances a queue at its next tick, as the guard does.
func (f *coldFleet) schedule(q *Queue) {
	next, ok := q.NextTick()
	if !ok {
		return
	}
	if earliest := f.now.Add(time.Millisecond); next.Before(earliest) {
		next = earliest
	}
	if armed := f.ticks[q]; !armed.IsZero() && !next.Before(armed) {
		return
	}
	f.ticks[q] = next
	f.at(next, func() {
		if f.ticks[q].Equal(f.now) {
			delete(f.ticks, q)
			q.Advance(f.now)
			f.schedule(q)
		}
	})
}

// coldFleetTime is the time for which requests arrive.
const coldFleetTime = 4 * time.Second

// playColdFleet asks 31 cold upstreams, which take 14 to 21 requests a second each, for 1,300 a second for
// four seconds. urgent is the share of priority 0.
func playColdFleet(seed uint64, urgent float64) *coldFleet {
	const perSecond, upstreams = 1300, 31
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, 5)), now: start, ticks: make(map[*Queue]time.Time)}
	rule := coldRule()
	rule.Start = time.Hour
	for range upstreams {
		q := New(9)
		q.SetColdRule(f.now, rule)
		f.queues = append(f.queues, q)
	}
	end := start.Add(coldFleetTime)
	var arrive func()
	arrive = func() {
		if f.now.After(end) {
			return
		}
		priority := 1
		if f.rng.Float64() < urgent {
			priority = 0
		}
		f.asked[priority]++
		f.request(priority, f.now, false)
		f.at(f.now.Add(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second))), arrive)
	}
	f.at(start, arrive)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(coldEvent)
		f.now = e.at
		e.do()
	}
	return f
}

// Simulates 31 cold upstreams that are asked for twice what they take. Guards against urgent requests that
// are refused or late while less urgent ones are served, and against allowance that stays unused.
func TestUrgentRequestsGoFirstAtColdUpstreams(t *testing.T) {
	for _, urgent := range []float64{0.2, 0.4} {
		f := playColdFleet(1, urgent)
		t.Logf("urgent %.1f: asked %v served %v late %v refused %v runs %d", urgent, f.asked, f.served, f.late, f.refused, f.starts)
		taken := 31 * f.queues[0].cold.rate.rate * coldFleetTime.Seconds()
		require.Greater(t, float64(f.starts), 0.97*taken, "the allowance is used")
		require.Greater(t, float64(f.served[0]+f.served[1]), 0.8*taken, "for requests that are answered in time")
		require.Greater(t, float64(f.served[0]), 0.85*float64(f.asked[0]), "urgent requests are served in time")
		require.Positive(t, f.served[1])
	}
}

// Guards against requests that go first because they need little slot time, while slots are free and the
// rate is what is short; and against the order by value while slots are what is short.
func TestSlotTimeDoesNotCountWhileTheRateIsShort(t *testing.T) {
	for _, test := range []struct {
		slots int
		first string
	}{{9, "urgent"}, {1, "short"}} {
		q := New(test.slots)
		setRunTime(q, "urgent", 96)
		setRunTime(q, "short", 20)
		q.SetColdRule(at(0), coldRule())
		var order []string
		offer := func(route string, priority, ms int) {
			c, _ := call(route, priority, ms, 1000, 2000)
			c.Decide = func(v Verdict) {
				require.Equal(t, Started, v)
				order = append(order, route)
				q.Done(at(100), c, false)
			}
			require.Equal(t, Waiting, q.Offer(at(ms), c, true))
		}
		offer("short", 1, 1)
		offer("urgent", 0, 2)
		q.Advance(at(60))
		require.Equal(t, test.first, order[0])
	}
}
