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

// Readers returns the forward addresses of the daemons of a region that read the store, in
// order. Every daemon with the same list finds the same ones; while lists differ, more or
// fewer read for a moment. The rank depends on the address, which outlives the upstream's ID.
func (v *View) Readers(region string) []string {
	var addresses []string
	for i := range v.Instances {
		inst := &v.Instances[i]
		if inst.Place.Region == region && inst.State == model.Live && !slices.Contains(addresses, inst.ForwardAddr) {
			addresses = append(addresses, inst.ForwardAddr)
		}
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return addresses[:min(ReadersPerRegion, len(addresses))]
}

// Feeders returns the readers that feed the daemon with the address, the preferred one first,
// and false if the daemon is to read the store itself.
func (v *View) Feeders(region, own string) ([]string, bool) {
	readers := v.Readers(region)
	if len(readers) == 0 || slices.Contains(readers, own) {
		return nil, false
	}
	slices.SortFunc(readers, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(own+a), xxhash.Sum64String(own+b))
	})
	return readers, true
}
