package peer

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
)

// linked returns two transports of different regions with a link that is quiet.
func linked(b *testing.B, places ...model.Place) (*Transport, *Transport, recorder, recorder) {
	f := newFleet(b)
	child, rc := f.start("child", places[0], nil)
	parent, rp := f.start("parent", places[1], nil)
	child.Dial(instance(parent))
	rc.next(b, "up")
	rp.next(b, "up")
	settle(child)
	return child, parent, rc, rp
}

// datagrams returns the number of datagrams in both directions.
func datagrams(t *Transport) uint64 {
	var n uint64
	for _, class := range t.Traffic() {
		n += class[Sent].Datagrams + class[Received].Datagrams
	}
	return n
}

// settle waits until no datagram passed for 200 ms, eight times the delay of
// acknowledgements.
func settle(t *Transport) {
	for last, n := uint64(0), datagrams(t); n != last; n = datagrams(t) {
		last = n
		<-time.After(200 * time.Millisecond)
	}
}

// BenchmarkWireBytesOfFrame reports the bytes on the wire of one 100-byte frame on an
// idle link with its acknowledgement, and of the frame alone.
func BenchmarkWireBytesOfFrame(b *testing.B) {
	for _, down := range []bool{true, false} {
		b.Run(map[bool]string{true: "parent to child", false: "child to parent"}[down], func(b *testing.B) {
			child, parent, rc, rp := linked(b, east, west)
			from, to, received, direction := child, model.InstanceID("parent"), rp, Sent
			if down {
				from, to, received, direction = parent, "child", rc, Received
			}
			before := child.Traffic()[model.CrossRegion]
			for b.Loop() {
				require.NoError(b, from.Send(to, make([]byte, 100)))
				received.next(b, "frame")
				settle(child)
			}
			after := child.Traffic()[model.CrossRegion]
			frame := after[direction].Bytes - before[direction].Bytes
			ack := after[1-direction].Bytes - before[1-direction].Bytes
			b.ReportMetric(float64(frame)/float64(b.N), "frame-B")
			b.ReportMetric(float64(ack)/float64(b.N), "ack-B")
			b.ReportMetric(float64(frame+ack)/float64(b.N), "wire-B")
			b.ReportMetric(float64(datagrams(child))/float64(b.N), "datagrams")
		})
	}
}

// BenchmarkWireBytesOfIdleMinute reports the bytes on the wire of three idle minutes.
func BenchmarkWireBytesOfIdleMinute(b *testing.B) {
	const minutes = 3
	places := map[model.Distance]model.Place{
		model.SameDataCentre: east, model.SameRegion: {Region: east.Region, DataCentre: "b"}, model.CrossRegion: west,
	}
	children := make(map[model.Distance]*Transport)
	before := make(map[model.Distance][2]Count)
	for distance, place := range places {
		children[distance], _, _, _ = linked(b, east, place)
		before[distance] = children[distance].Traffic()[distance]
	}
	<-time.After(minutes * time.Minute)
	for distance, child := range children {
		after := child.Traffic()[distance]
		bytes := after[Sent].Bytes + after[Received].Bytes - before[distance][Sent].Bytes - before[distance][Received].Bytes
		b.ReportMetric(float64(bytes)/minutes, distance.String()+"-B/min")
	}
}

// BenchmarkHandshake reports time, processor time and wire bytes of a link's start and end.
func BenchmarkHandshake(b *testing.B) {
	f := newFleet(b)
	child, rc := f.start("child", west, nil)
	parent, rp := f.start("parent", east, func(c *Config) { c.HandshakesPerSecond = 1 << 20 })
	target := instance(parent)
	cpu := processorTime(b)
	for b.Loop() {
		child.Dial(target)
		rc.next(b, "up")
		rp.next(b, "up")
		child.Close("parent", "benchmark")
		rp.next(b, "down")
	}
	b.ReportMetric(float64(processorTime(b)-cpu)/float64(b.N), "cpu-ns/op")
	t := child.Traffic()[model.CrossRegion]
	b.ReportMetric(float64(t[Sent].Bytes+t[Received].Bytes)/float64(b.N), "wire-B")
}

// star starts a parent with n children and returns the children's names, a channel of
// their events, and the memory that each child with its link takes at both ends.
func star(b *testing.B, n int) (*Transport, []model.InstanceID, recorder, float64) {
	f := newFleet(b)
	parent, rp := f.start("parent", east, func(c *Config) { c.HandshakesPerSecond = 1 << 20 })
	before := memory()
	shared := make(recorder, 1000)
	names := make([]model.InstanceID, n)
	for i := range n {
		names[i] = model.InstanceID(fmt.Sprintf("child-%d", i))
		child, rc := f.start(names[i], east, nil)
		child.Dial(instance(parent))
		rc.next(b, "up")
		rp.next(b, "up")
		go func() {
			for e := range rc {
				shared <- e
				if e.kind == "down" {
					return
				}
			}
		}()
	}
	return parent, names, shared, float64(memory()-before) / float64(n)
}

// BenchmarkOneHop reports the cost of one change of 200 bytes from a parent to its
// children, from the first Send to the last arrival, and the memory of a child and its
// link at both ends.
func BenchmarkOneHop(b *testing.B) {
	for _, n := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("links=%d", n), func(b *testing.B) {
			parent, names, shared, bytes := star(b, n)
			change := make([]byte, 200)
			cpu := processorTime(b)
			for b.Loop() {
				for _, name := range names {
					require.NoError(b, parent.Send(name, change))
				}
				for range names {
					shared.next(b, "frame")
				}
			}
			b.ReportMetric(float64(processorTime(b)-cpu)/float64(b.N*n), "cpu-ns/link")
			b.ReportMetric(bytes, "B/link")
		})
	}
}

// BenchmarkIdleLinks reports the processor time of idle links within a data centre.
func BenchmarkIdleLinks(b *testing.B) {
	const links, seconds = 128, 60
	star(b, links)
	cpu := processorTime(b)
	<-time.After(seconds * time.Second)
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/(links*seconds), "cpu-us/s/link")
}

// memory returns the heap and the stacks in use after a collection.
func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// processorTime returns the process's user and system time.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
