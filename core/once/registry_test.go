package once

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
)

var startTime = time.Unix(3_000_000, 0)

// confirmedCore returns the Core of the only instance of a service, and a time at which it owns new
// keys.
func confirmedCore(cfg Config) (*Core, time.Time) {
	cfg.Self = model.Instance{ID: "a", Service: "s", Incarnation: 1}
	c := New(cfg, startTime)
	c.List(startTime, List{Revision: 1, Instances: []model.Instance{cfg.Self}, Fresh: true})
	now := startTime.Add(5 * time.Second)
	c.ViewChecked(now)
	return c, now
}

// Guards against evicting keys from a full registry, recording responses beyond the byte bound,
// expiring keys too early or too late, and running requests after a pause.
func TestRegistry(t *testing.T) {
	c, now := confirmedCore(Config{MaxKeys: 2, MaxAnswerBytes: 10})
	decide := func(name string, created time.Time) Decision {
		decision, _ := c.Begin(now, NewKey("s", name, created.UnixMilli()))
		return decision
	}
	require.Equal(t, Run, decide("one", now))
	require.Equal(t, Run, decide("two", now))
	require.Equal(t, Full, decide("three", now))
	require.Equal(t, Duplicate, decide("one", now))
	require.Equal(t, Future, decide("early", now.Add(MaxClockSkew+time.Millisecond)))
	require.Equal(t, Unknown, decide("before the takeover", startTime))
	require.Equal(t, Unknown, decide("too old", now.Add(-KeyLifetime-time.Millisecond)))
	one, two := NewKey("s", "one", 0).ID, NewKey("s", "two", 0).ID
	c.Finish(one, Done, []byte("12345678"))
	c.Finish(two, Failed, []byte("123"))
	rec, _ := c.Registry().Lookup(one)
	require.Equal(t, Record{one, now.UnixMilli(), Done, []byte("12345678"), hashDigest(one)}, rec)
	rec, _ = c.Registry().Lookup(two)
	require.Nil(t, rec.Answer, "the responses together exceed the bound")
	c.Clear(one)
	require.Equal(t, Duplicate, decide("one", now), "only a running key can be cleared")
	now = now.Add(KeyLifetime + 2*MaxClockSkew - bucketMillis*time.Millisecond)
	c.Tick(now)
	require.Equal(t, Paused, decide("after a pause", now))
	require.Equal(t, Duplicate, decide("one", now))
	now = now.Add(3 * bucketMillis * time.Millisecond)
	c.Tick(now)
	c.ViewChecked(now)
	require.Equal(t, Run, decide("three", now))
	keys, bytes, running := c.Registry().Usage()
	require.Equal(t, [3]int{1, 0, 1}, [3]int{keys, bytes, running})
	c.Clear(NewKey("s", "three", 0).ID)
	later := now.Add(MaxClockSkew)
	require.Equal(t, Run, decide("three", later), "a request that did not run clears the key")
	c.Finish(NewKey("s", "three", 0).ID, Done, nil)
	c.Tick(now.Add(KeyLifetime + 2*MaxClockSkew + bucketMillis*time.Millisecond))
	require.Equal(t, Duplicate, decide("three", later), "the bucket of the cleared key must not expire the key that was added again")
}

// fleet returns n Cores. settle passes a fresh list to the given ones and delivers all messages
// without delay; messages and size count the messages and their bytes.
func fleet(n int) (cores map[model.InstanceID]*Core, settle func(now time.Time, fresh ...model.InstanceID), messages, size *int) {
	cores, messages, size = map[model.InstanceID]*Core{}, new(int), new(int)
	list := List{Revision: 1}
	for i := range n {
		list.Instances = append(list.Instances, model.Instance{ID: model.InstanceID(fmt.Sprintf("i%02d", i)), Service: "s", ForwardAddr: "10.0.0.1:8443"})
	}
	for _, instance := range list.Instances {
		instance.Incarnation = 1
		cores[instance.ID] = New(Config{Self: instance}, startTime)
	}
	settle = func(now time.Time, ids ...model.InstanceID) {
		var queue []Send
		for _, id := range ids {
			list.Fresh = true
			queue = append(queue, cores[id].List(now, list)...)
		}
		for len(queue) > 0 {
			s := queue[0]
			reply, more := cores[s.To.ID].Handle(now, s.Message)
			queue = append(append(queue[1:], more...), cores[s.Message.From.ID].Reply(now, s, reply)...)
			*messages += 2
			for _, part := range []any{s.Message, reply} {
				data, _ := cbor.Marshal(part)
				*size += len(data)
			}
		}
	}
	return cores, settle, messages, size
}

// Guards against a service whose instances all start at once and never become confirmed. It also
// reports the number of messages that the restart of one of 36 instances causes.
func TestMessagesPerRestart(t *testing.T) {
	const n = 36
	cores, settle, messages, size := fleet(n)
	var ids []model.InstanceID
	for id := range cores {
		ids = append(ids, id)
	}
	settle(startTime, ids...)
	for id, c := range cores {
		require.True(t, c.Confirmed(), id)
	}
	t.Logf("start of a service of %d instances: %d messages", n, *messages)
	*messages, *size = 0, 0
	self := cores["i07"].cfg.Self
	self.Incarnation = 2
	cores["i07"] = New(Config{Self: self}, startTime)
	settle(startTime, "i07")
	require.True(t, cores["i07"].Confirmed())
	t.Logf("restart of one of %d instances: %d messages, %d bytes; at 7400 restarts per day: %.1f messages/s and %.0f B/s in total",
		n, *messages, *size, 7400*float64(*messages)/86400, 7400*float64(*size)/86400)
	require.LessOrEqual(t, *messages, 2*2*(n-1))
}

// BenchmarkKey reports the memory of a key without a recorded response, and the time of a decision in
// a service of 36 instances.
func BenchmarkKey(b *testing.B) {
	b.Run("memory", func(b *testing.B) {
		const keys = 100_000
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := NewRegistry(keys, 0)
			for i := range keys {
				key := NewKey("s", strconv.Itoa(i), int64(i)*6)
				r.add(key)
				r.finish(key.ID, Done, nil)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
			runtime.KeepAlive(r)
		}
	})
	b.Run("decision", func(b *testing.B) {
		cores, settle, _, _ := fleet(36)
		for id := range cores {
			settle(startTime, id)
		}
		now := startTime.Add(10 * time.Second)
		cores["i07"].ViewChecked(now)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			key := NewKey("s", strconv.Itoa(i), now.UnixMilli())
			if decision, _ := cores["i07"].Begin(now, key); decision == Run {
				cores["i07"].Clear(key.ID)
			}
		}
	})
}
