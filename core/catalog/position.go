package catalog

// A position orders all states that the store has had, also those before and after it was restored from
// an older copy. The number of the last restore, the era, is in the upper 16 bits, and the store's own
// revision in the lower 48, so that a state of a later era is newer whatever its revision. Without
// restores a position equals the revision. All revisions in this package are positions, except
// Instance.Created.
const (
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// Position returns the position of a revision in an era. Larger numbers than the position has bits for
// count as the largest, so that they cannot change the era.
func Position(era, revision uint64) uint64 {
	return min(era, maxEra)<<revisionBits | min(revision, maxRevision)
}

// Era returns the era of a position.
func Era(position uint64) uint64 { return position >> revisionBits }

// StoreRevision returns the store's own revision of a position.
func StoreRevision(position uint64) uint64 { return position & maxRevision }
