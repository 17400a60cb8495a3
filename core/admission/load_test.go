package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load comparison runs in virtual time. The upstream divides 9 units of capacity among the
// requests in flight. Service times are exponentially distributed with a mean of 20 ms and a minimum
// of 1 ms. Deadlines are drawn from a range after the arrival, and a request is cancelled when its
// deadline passes.
const (
	loadCapacity       = 9
	meanServiceSeconds = 0.020
	loadSeconds        = 12.0
)

type simRequest struct {
	class             Class
	arrived, deadline float64
	work, started     float64
	ticket            *Ticket
}

type simResult struct {
	offered, onTime [classCount]int
	waits           []float64
	wasted          float64
}

// goodput returns the given work, in seconds, as a fraction of the capacity.
func (r *simResult) goodput(work float64) float64 { return work / (loadCapacity * loadSeconds) }

func (r *simResult) waitP99() float64 {
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*99/100]
}

type policy interface {
	submit(now float64, r *simRequest, start func(*simRequest))
	finish(now float64, r *simRequest, completed bool)
}

type unlimited struct{}

func (unlimited) submit(_ float64, r *simRequest, start func(*simRequest)) { start(r) }
func (unlimited) finish(float64, *simRequest, bool)                        {}

type fifo struct {
	busy  int
	queue []func()
}

func (f *fifo) submit(_ float64, r *simRequest, start func(*simRequest)) {
	if f.busy < loadCapacity {
		f.busy++
		start(r)
		return
	}
	if len(f.queue) < 1000 {
		f.queue = append(f.queue, func() { start(r) })
	}
}

func (f *fifo) finish(float64, *simRequest, bool) {
	if len(f.queue) == 0 {
		f.busy--
		return
	}
	next := f.queue[0]
	f.queue = f.queue[1:]
	next()
}

type deadlineQueue struct{ *Queue }

func simTime(s float64) time.Time { return time.Unix(0, int64(s*1e9)) }

func (d deadlineQueue) submit(now float64, r *simRequest, start func(*simRequest)) {
	r.ticket = &Ticket{Class: r.class, Deadline: simTime(r.deadline), OnVerdict: func(v Verdict) {
		if v == Granted {
			start(r)
		}
	}}
	if d.Submit(simTime(now), r.ticket) == Granted {
		start(r)
	}
}

func (d deadlineQueue) finish(now float64, r *simRequest, completed bool) {
	d.Release(simTime(now), r.ticket, completed)
}

// simulate offers requests of both classes at the given multiples of the capacity. It returns the
// result and the work in seconds of the requests that completed before their deadline.
func simulate(p policy, seed uint64, load [classCount]float64, deadlines [2]float64) (*simResult, float64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	var next [classCount]float64
	nextInterval := func(c int) float64 {
		if load[c] == 0 {
			return math.Inf(1)
		}
		return rng.ExpFloat64() * meanServiceSeconds / (loadCapacity * load[c])
	}
	for c := range next {
		next[c] = nextInterval(c)
	}
	res, useful, now := &simResult{}, 0.0, 0.0
	var active []*simRequest
	remaining := map[*simRequest]float64{}
	start := func(r *simRequest) {
		res.waits = append(res.waits, now-r.arrived)
		r.started = now
		active = append(active, r)
		remaining[r] = r.work
	}
	for now < loadSeconds {
		c := 0
		if next[1] < next[0] {
			c = 1
		}
		speed := min(1, loadCapacity/math.Max(1, float64(len(active))))
		eventTime, finishedIndex := next[c], -1
		for i, r := range active {
			if end := min(now+remaining[r]/speed, max(now, r.deadline)); end < eventTime {
				eventTime, finishedIndex = end, i
			}
		}
		for _, r := range active {
			remaining[r] -= (eventTime - now) * speed
		}
		now = eventTime
		if finishedIndex < 0 {
			res.offered[c]++
			r := &simRequest{class: Class(c), arrived: now, deadline: now + deadlines[0] + (deadlines[1]-deadlines[0])*rng.Float64(), work: meanServiceSeconds*0.95*rng.ExpFloat64() + 0.001}
			next[c] = now + nextInterval(c)
			p.submit(now, r, start)
			continue
		}
		r := active[finishedIndex]
		active = slices.Delete(active, finishedIndex, finishedIndex+1)
		completed := remaining[r] < 1e-9
		if completed {
			useful += r.work
			res.onTime[r.class]++
		} else {
			res.wasted += r.work - remaining[r]
		}
		delete(remaining, r)
		p.finish(now, r, completed)
	}
	return res, useful
}

func newSimQueue() policy {
	return deadlineQueue{NewQueue(Config{Slots: loadCapacity, Ramp: -1}, simTime(0))}
}

// Guards against a collapse of the goodput at twice the capacity, as it occurs with FIFO queueing and
// with unlimited admission, and against one class starving the other.
func TestLoadComparison(t *testing.T) {
	for _, c := range []struct {
		name      string
		load      [classCount]float64
		deadlines [2]float64
	}{
		{"both 1x", [2]float64{1, 1}, [2]float64{0.1, 0.5}},
		{"reads 1.8x, claims 0.2x", [2]float64{1.8, 0.2}, [2]float64{0.1, 0.5}},
		{"reads 0.2x, claims 1.8x", [2]float64{0.2, 1.8}, [2]float64{0.1, 0.5}},
		{"equal deadlines", [2]float64{1, 1}, [2]float64{0.2, 0.2}},
		{"tight deadlines", [2]float64{1, 1}, [2]float64{0.04, 0.12}},
	} {
		for seed := range uint64(3) {
			for name, p := range map[string]policy{"queue": newSimQueue(), "fifo": &fifo{}, "unlimited": unlimited{}} {
				res, useful := simulate(p, seed, c.load, c.deadlines)
				t.Logf("%-24s seed %d %-10s goodput %.3f wait p99 %3.0f ms good reads %.2f claims %.2f wasted %.3f", c.name, seed, name,
					res.goodput(useful), 1e3*res.waitP99(), ratio(res, 0), ratio(res, 1), res.goodput(res.wasted))
				if name != "queue" {
					continue
				}
				require.Greater(t, res.goodput(useful), 0.9)
				for class, load := range c.load {
					// A class that offers at most half of the capacity is served almost completely.
					// A class that offers more is served at least with what the other class does
					// not use.
					fairShare := max(0.5, 1-c.load[1-class])
					require.Greater(t, ratio(res, class), 0.9*min(1, fairShare/load), "class %d", class)
				}
			}
		}
	}
}

func ratio(r *simResult, class int) float64 {
	return float64(r.onTime[class]) / float64(r.offered[class])
}
