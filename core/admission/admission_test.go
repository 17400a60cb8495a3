package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func ticket(class Class, remaining time.Duration, out *[]string, name string) *Ticket {
	return &Ticket{Class: class, Deadline: start.Add(remaining), OnVerdict: func(v Verdict) {
		if v == Granted {
			*out = append(*out, name)
		} else {
			*out = append(*out, "refused "+name)
		}
	}}
}

// Guards against serving requests in order of arrival, against serving one class twice in a row
// while the other has queued requests, and against granting a slot after the deadline.
func TestQueueOrder(t *testing.T) {
	q := NewQueue(Config{Slots: 1, QueuePerClass: 2, Ramp: -1}, start)
	var order []string
	first := ticket(Repeatable, time.Second, &order, "")
	require.Equal(t, Granted, q.Submit(start, first))
	tickets := map[string]*Ticket{}
	submit := func(class Class, remaining time.Duration, name string) Verdict {
		tickets[name] = ticket(class, remaining, &order, name)
		return q.Submit(start, tickets[name])
	}
	require.Equal(t, Queued, submit(Repeatable, 900*time.Millisecond, "late read"))
	require.Equal(t, Queued, submit(Repeatable, 5*time.Millisecond, "expiring read"))
	require.Equal(t, Full, submit(Repeatable, time.Second, "one too many"))
	require.Equal(t, Queued, submit(NonRepeatable, 800*time.Millisecond, "late claim"))
	require.Equal(t, Queued, submit(NonRepeatable, 400*time.Millisecond, "early claim"))
	require.Equal(t, Load{1, 1, 4}, q.Load(start))
	next, ok := q.NextTick(start)
	require.True(t, ok)
	require.Equal(t, start.Add(5*time.Millisecond), next)
	now := start.Add(10 * time.Millisecond)
	q.Release(now, first, true)
	for _, name := range []string{"early claim", "late read"} {
		q.Release(now, tickets[name], true)
	}
	require.Equal(t, []string{"refused expiring read", "early claim", "late read", "late claim"}, order)
	q.Release(now, tickets["early claim"], true)
	require.Equal(t, 1, q.Load(now).InFlight, "a second release of a ticket must not free a slot")
	require.Equal(t, Late, q.Submit(now, &Ticket{Deadline: now.Add(time.Millisecond)}), "the expected service time exceeds the time until the deadline")
	waiting := ticket(Repeatable, time.Minute, &order, "waiting")
	require.Equal(t, Queued, q.Submit(now, waiting))
	q.Close()
	require.Equal(t, "refused waiting", order[len(order)-1])
	require.Equal(t, Closed, q.Submit(now, &Ticket{Deadline: now.Add(time.Hour)}))
	require.False(t, q.Cancel(waiting))
}

// Guards against Occupied returning false although a request would have to wait, for example because
// others are queued or during the ramp, and against it returning true although a slot is free.
func TestOccupiedReportsWhetherARequestWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Config{Slots: rapid.IntRange(1, 4).Draw(t, "slots")}, start)
		now := start
		var running []*Ticket
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "release") && len(running) > 0 {
				q.Release(now, running[0], false)
				running = running[1:]
				continue
			}
			occupied := q.Occupied(now)
			submitted := &Ticket{Class: Class(rapid.IntRange(0, 1).Draw(t, "class")), Deadline: now.Add(time.Hour)}
			submitted.OnVerdict = func(v Verdict) {
				if v == Granted {
					running = append(running, submitted)
				}
			}
			verdict := q.Submit(now, submitted)
			require.Equal(t, occupied, verdict != Granted)
			if verdict == Granted {
				running = append(running, submitted)
			}
		}
	})
}

// Guards against sending full load to a cold upstream and against a ramp that never ends.
func TestRamp(t *testing.T) {
	q := NewQueue(Config{}, start)
	previous := 1
	require.Equal(t, 1, q.Slots(start))
	for at := time.Duration(0); at <= DefaultRamp; at += 50 * time.Millisecond {
		slots := q.Slots(start.Add(at))
		require.GreaterOrEqual(t, slots, previous)
		previous = slots
	}
	require.Equal(t, DefaultSlots, previous)
	q.RestartRamp(start.Add(time.Minute))
	require.Equal(t, 1, q.Slots(start.Add(time.Minute)))
}

// Guards against shares that do not add up to the limit, also below one call per second, and against
// admitting more than n/(n-k) times the limit while k of n instances are missing from the views.
func TestLimitsAddUp(t *testing.T) {
	const n, seconds = 10, 120
	for _, c := range []struct {
		name    string
		limit   float64
		missing int
	}{{"fractional", 2, 0}, {"large", 1000, 0}, {"zero", 0, 0}, {"views lack 3", 1000, 3}, {"fractional, views lack 5", 2, 5}} {
		t.Run(c.name, func(t *testing.T) {
			admitted := 0
			for range n {
				var l Limits
				l.Set(start, Share{c.limit, n - c.missing}, Share{NoLimit, 1})
				for at := time.Duration(0); at < seconds*time.Second; at += 4 * time.Millisecond {
					if l.Allow(start.Add(at)) {
						admitted++
					}
				}
			}
			factor := float64(n) / float64(n-c.missing)
			bursts := n * max(1, c.limit/float64(n-c.missing)*0.1)
			require.LessOrEqual(t, float64(admitted), c.limit*seconds*factor+bursts)
			require.GreaterOrEqual(t, float64(admitted), 0.99*c.limit*seconds*factor)
		})
	}
}

// Guards against a change of the view refilling a bucket, and against one bucket losing a token
// although the other is empty.
func TestLimitsKeepTokens(t *testing.T) {
	var l Limits
	l.Set(start, Share{100, 10}, Share{50, 10})
	require.True(t, l.Allow(start))
	for live := 9; live > 0; live-- {
		l.Set(start, Share{100, live}, Share{50, 10})
		require.False(t, l.Allow(start))
	}
	require.Equal(t, 200*time.Millisecond, l.RetryAfter())
	require.True(t, l.Allow(start.Add(200*time.Millisecond)))
}
