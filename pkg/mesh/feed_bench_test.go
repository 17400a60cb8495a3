package mesh

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkFeeders measures how a daemon finds its readers, which it does for each frame of its feed.
func BenchmarkFeeders(b *testing.B) {
	for _, size := range []int{195, 1000, 19_000} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			fleet := fleetOf(b, size)
			f := newFeedClient("a", "10.0.0.1:1", fleet, false, &declinedPeers{})
			now := time.Now()
			for b.Loop() {
				f.feeders(now)
			}
		})
	}
}
