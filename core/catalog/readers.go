package catalog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangoshed.example/mangoshed/core/model"
)

// ReadersPerRegion is the number of daemons of a region that read the store and stream its state
// to the other daemons of the region. With two, the others only reconnect when one is lost.
const ReadersPerRegion = 2

// Ranking returns the forward addresses of the live daemons of a region in the order in which they
// are chosen as readers of the store. Daemons with the same view compute the same order; while
// views differ, there may briefly be more or fewer readers than ReadersPerRegion. The order
// depends on the address and not on the instance ID, because the address survives a restart.
func (v *View) Ranking(region string) []string {
	var addresses []string
	seen := make(map[string]bool)
	daemons := v.Daemons()
	for i := range daemons {
		inst := &daemons[i]
		if inst.Place.Region == region && inst.State == model.Live && !seen[inst.ForwardAddr] {
			seen[inst.ForwardAddr] = true
			addresses = append(addresses, inst.ForwardAddr)
		}
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return addresses
}

// Feeders returns the readers from which the daemon at the address own can receive the state of
// the store, in order of preference, according to the ranking of its region. The result is false if
// that daemon has to read the store itself; the list then contains the other readers. declined
// reports whether the daemon at an address has declined to be a reader, including the daemon at own.
func Feeders(ranking []string, own string, declined func(address string) bool) ([]string, bool) {
	var readers []string
	reader := false
	for _, address := range ranking {
		if declined(address) {
			continue
		}
		readers = append(readers, address)
		reader = reader || address == own
		if len(readers) == ReadersPerRegion {
			break
		}
	}
	readers = slices.DeleteFunc(readers, func(address string) bool { return address == own })
	slices.SortFunc(readers, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(own+a), xxhash.Sum64String(own+b))
	})
	return readers, !reader && len(readers) > 0
}
