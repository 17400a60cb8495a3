package once

import (
	"crypto/sha256"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangoshed.example/mangoshed/core/model"
)

// Digest identifies a key of a service: a prefix of the SHA-256 of both. A shorter hash
// could give a caller the recorded answer of another caller's request.
type Digest [16]byte

// Key is the identity of a request that runs at most once.
type Key struct {
	ID Digest
	// Created is the key's creation time in Unix milliseconds, as the caller sends it.
	Created int64
	hash    uint64
}

// NewKey returns the key of a request to the service.
func NewKey(service, key string, createdMillis int64) Key {
	buf := make([]byte, 0, 256)
	buf = append(append(append(buf, service...), 0), key...)
	sum := sha256.Sum256(buf)
	return Key{ID: Digest(sum[:16]), Created: createdMillis, hash: hashDigest(Digest(sum[:16]))}
}

// rank orders instances for a key: the highest rank owns the key. The mixing step is the
// finalizer of splitmix64; a plain XOR would give neighbouring instances correlated ranks.
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

// Order returns the instances in the rendezvous order of the key. The first is the owner of a
// new key when all instances are confirmed; the next ones own it before that.
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
