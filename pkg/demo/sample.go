package demo

import (
	"maps"
	"runtime"
	"slices"
	"syscall"
	"time"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/daemon"
	"mangoshed.example/mangoshed/pkg/peer"
	"mangoshed.example/mangoshed/pkg/platform/standin"
)

// sample holds the counters of a fleet at one moment, or the difference of two samples.
type sample struct {
	elapsed   time.Duration // since the process's first sample
	processor time.Duration // user and system time of the process
	traffic   peer.Traffic
	store     standin.Counts
	// loads holds the bytes sent and received by each daemon that runs; a difference
	// has the daemons that ran all the time.
	loads map[*daemon.Daemon]float64
}

// firstSample is the start of sample.elapsed.
var firstSample = time.Now()

// sample reads the counters.
func (f *fleet) sample() sample {
	s := sample{elapsed: time.Since(firstSample), traffic: f.gone, store: f.platform.Counts(), loads: map[*daemon.Daemon]float64{}}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		s.processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	for _, d := range f.daemons {
		own := d.Traffic()
		s.traffic = addTraffic(s.traffic, own)
		for distance := range own {
			s.loads[d] += float64(own[distance][peer.Sent].Bytes + own[distance][peer.Received].Bytes)
		}
	}
	return s
}

// since returns the difference to an earlier sample.
func (s sample) since(earlier sample) sample {
	d := sample{elapsed: s.elapsed - earlier.elapsed, processor: s.processor - earlier.processor, loads: map[*daemon.Daemon]float64{}}
	for running, load := range s.loads {
		if before, ok := earlier.loads[running]; ok {
			d.loads[running] = load - before
		}
	}
	for distance := range s.traffic {
		for direction := range s.traffic[distance] {
			now, then := s.traffic[distance][direction], earlier.traffic[distance][direction]
			d.traffic[distance][direction] = peer.Count{Datagrams: now.Datagrams - then.Datagrams, Bytes: now.Bytes - then.Bytes}
		}
	}
	d.store.Reads, d.store.Watches = s.store.Reads-earlier.store.Reads, s.store.Watches-earlier.store.Watches
	d.store.Lists, d.store.ListWatches = s.store.Lists-earlier.store.Lists, s.store.ListWatches-earlier.store.ListWatches
	d.store.Refused = s.store.Refused - earlier.store.Refused
	return d
}

// storeCalls returns the calls to the store, refused ones included.
func (s sample) storeCalls() float64 {
	return float64(s.store.Reads + s.store.Watches + s.store.Lists + s.store.ListWatches + s.store.Refused)
}

// bytes returns the bytes sent over a distance, so that each datagram counts once.
func (s sample) bytes(distance model.Distance) float64 {
	return float64(s.traffic[distance][peer.Sent].Bytes)
}

// load returns the bytes of the median and of the busiest daemon, both directions.
func (s sample) load() (median, highest float64) {
	sorted := slices.Sorted(maps.Values(s.loads))
	if len(sorted) == 0 {
		return 0, 0
	}
	return sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// total returns the datagrams and bytes sent over all distances.
func (s sample) total() (datagrams, bytes float64) {
	for distance := range s.traffic {
		datagrams += float64(s.traffic[distance][peer.Sent].Datagrams)
		bytes += float64(s.traffic[distance][peer.Sent].Bytes)
	}
	return datagrams, bytes
}

func addTraffic(a, b peer.Traffic) peer.Traffic {
	for distance := range a {
		for direction := range a[distance] {
			a[distance][direction].Datagrams += b[distance][direction].Datagrams
			a[distance][direction].Bytes += b[distance][direction].Bytes
		}
	}
	return a
}

// memoryInUse returns the heap and the stacks in use after a collection, in bytes.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
