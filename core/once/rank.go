package once

import (
	"crypto/sha256"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangoshed.example/mangoshed/core/model"
)

// Digest identifies a key of a service: a prefix of the SHA-256 hash of both. With a shorter hash,
// a collision could give a caller the recorded response to another caller's request.
type Digest [16]byte

// Key identifies a request that runs at most once.
type Key struct {
	ID Digest
	// Created is the creation time of the key in Unix milliseconds, as sent by the caller.
	Created int64
	hash    uint64
}

// NewKey returns the Key of a request to the service.
func NewKey(service, key string, createdMillis int64) Key {
	buf := make([]byte, 0, 256)
	buf = append(append(append(buf, service...), 0), key...)
	sum := sha256.Sum256(buf)
	return Key{ID: Digest(sum[:16]), Created: createdMillis, hash: hashDigest(Digest(sum[:16]))}
}

// rank returns the rendezvous score of an instance for a key: the instance with the highest score
// owns the key. The mixing step is the finalizer of splitmix64; with a plain XOR, instances with
// similar hashes would have correlated scores.
func rank(key, instance uint64) uint64 {
	z := key ^ instance
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// precedes reports whether instance a comes before b in the rendezvous order of the key.
func precedes(key, a, b uint64) bool {
	ra, rb := rank(key, a), rank(key, b)
	return ra > rb || ra == rb && a > b
}

func hashID(id model.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// Order returns the instances in the rendezvous order of the key. The first owns a new key if all
// instances are confirmed; until then, a later one owns it.
func Order(key Key, instances []model.Instance) []model.Instance {
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(a, b model.Instance) int {
		if precedes(key.hash, hashID(a.ID), hashID(b.ID)) {
			return -1
		}
		return 1
	})
	return ordered
}

func hashDigest(id Digest) uint64 { return xxhash.Sum64(id[:]) }
