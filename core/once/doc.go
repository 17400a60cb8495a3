// Package once decides whether a request with an idempotency key may run, so that it runs at most
// once across all daemons. It contains the registry of keys and the ownership protocol that
// assigns each key to one instance.
//
// # Guarantee
//
// A request with an Idempotency-Key runs at most once per service and key for KeyLifetime (10 min)
// after the key's creation time. This holds for requests through any daemon and for any number of
// retries, while instances join, leave, crash, restart, pause or are partitioned. A retry receives
// the state of the first run (running, done or failed), the recorded response if it is at most
// MaxAnswer bytes long, or unknown_outcome if the daemon that may have run the request is gone.
// Before its expiry, a key is removed only if its request definitely did not run.
//
// # Requirements on the caller
//
// Every retry carries the same Idempotency-Key and the same Idempotency-Created. The latter is the
// Unix time in milliseconds at which the caller first used the key, taken before the first attempt
// from a clock that differs from the daemons' clocks by at most MaxClockSkew (2 s). A caller never
// uses a key for a second, different request. A request whose key is older than KeyLifetime is
// answered with unknown_outcome, and a request whose key was created more than MaxClockSkew in the
// future is refused.
//
// # Ownership
//
// Every instance of a service holds an interval of key creation times that starts at its Since.
// The owner of a key is the first instance in rendezvous order whose interval contains the key's
// creation time. The creation time of a key never changes, so neither does its owner while
// that instance lives.
//
// A starting instance probes all other listed instances, chooses a Since later than the creation
// time of every key that any of them has run, and requests an acknowledgement from each of them. An
// instance that acknowledges no longer runs keys created at or after Since for which the new
// instance comes first in rendezvous order. The new instance owns keys once all have acknowledged.
// Three rules keep this safe although lists can be stale and a restarted instance has forgotten
// which intervals it acknowledged:
//
//   - A reply names the instances and incarnations that its sender knows. The starting instance also
//     queries those that are missing from its own list, and repeats its request to an instance that
//     has restarted since it acknowledged.
//   - The starting instance needs a list that was read from the platform after the start of its
//     process. While the platform cannot be read, it needs an acknowledgement from at least one
//     instance that is itself confirmed as an owner.
//   - Since is later than the removal of any listed instance, and later than the start of every
//     acknowledging instance, by twice the maximum clock skew.
//
// When an instance disappears from the list, its successors answer unknown_outcome for
// the keys that it may have run. A leaving instance first stops owning newer keys. It then hands
// each of its records to the successor of the key, which from then on answers requests for it.
//
// # Limits of the guarantee
//
//   - The platform removes an instance from the list, or starts it again, only after it has stopped.
//   - Clocks of callers and daemons differ by at most MaxClockSkew and do not jump by more.
//   - If the platform serves an older list than before, a restarting instance can miss an instance
//     that is still running, unless an instance that knows both replies to it.
//   - If the platform removes an instance, lists it again under the same ID, and the instance starts
//     while the platform cannot be read, then instances with stale lists can mistake it for its
//     predecessor.
//   - Safety takes precedence over availability: a starting instance that cannot reach every listed
//     instance owns nothing, and the previous owners keep its keys. The keys of a crashed instance
//     are refused until the list shows its removal.
//
// The types take the time as an argument and are not safe for concurrent use.
package once
