package catalog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangoshed.example/mangoshed/core/model"
)

// ReadersPerRegion is the number of daemons of a region that read the store and feed the
// others: two, so that the loss of one costs the others no more than a connection.
const ReadersPerRegion = 2

// Ranking returns the forward addresses of the daemons of a region in the order in which they
// read the store for the others. Every daemon with the same list finds the same order; while
// lists differ, more or fewer read for a moment. The rank depends on the address, which
// outlives the upstream's ID.
func (v *View) Ranking(region string) []string {
	var addresses []string
	seen := make(map[string]bool)
	for i := range v.Instances {
		inst := &v.Instances[i]
		if inst.Place.Region == region && inst.State == model.Live && !seen[inst.ForwardAddr] {
			seen[inst.ForwardAddr] = true
			addresses = append(addresses, inst.ForwardAddr)
		}
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return addresses
}

// Feeders returns the readers that feed the daemon with the address, the preferred one first,
// and false if the daemon is to read the store itself; the list then names the other readers.
// declined names daemons that do not take the role; a daemon that does not take it names itself.
func (v *View) Feeders(region, own string, declined func(address string) bool) ([]string, bool) {
	var readers []string
	reader := false
	for _, address := range v.Ranking(region) {
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
