// Package once decides whether a keyed request may run, so that it runs at most once in the
// whole fleet. It holds the registry of keys and the state machine of their ownership.
//
// # Promise
//
// A request with an Idempotency-Key runs at most once per service and key, for Window (10 min)
// after the key's creation time, through any daemon, with any number of resends, while instances
// join, leave, crash, restart, pause or are partitioned. A resend receives the state of the first
// run (running, done, failed), its recorded answer when it is small (MaxAnswer), or
// unknown_outcome when the daemon that may have run it is gone. Only a true not-run clears a key.
//
// # What the caller sends
//
// Every resend carries the same Idempotency-Key and the same Idempotency-Created: the Unix time in
// milliseconds of the key's first use, before its first attempt, by a clock that differs from the
// daemons' by at most Skew (2 s). A key is never used for a second, different request.
// A request whose key is older than Window is answered unknown_outcome; one created more
// than Skew in the future is refused.
//
// # Ownership
//
// Every instance of a service holds an interval of creation times that starts at its Since. The
// owner of a key is the first instance in rendezvous order whose interval contains the key's
// creation time. The creation time of a key never changes, so neither does its owner while
// that instance lives.
//
// An instance that starts probes all others of the list, chooses a Since later than every key
// that any of them has run, and asks them. An acknowledging instance gives up the keys that the new
// one precedes it for, from Since on. The new instance owns keys after all have acknowledged.
// Three rules make this safe although lists lag and a restart forgets given acknowledgements:
//
//   - Answers name the known instances and incarnations. The asker also asks those that its list
//     lacks, and asks again when an instance has restarted since it acknowledged.
//   - The asker needs a list that was read from the platform after the start of its process. While
//     the platform cannot be read, one acknowledging instance must itself be confirmed.
//   - Since is later than the removal of any listed instance, and later than the start of every
//     acknowledging instance, by twice the skew.
//
// When an instance disappears from the list, its successors answer unknown_outcome for
// the keys that it may have run. A leaving instance first gives up newer keys, then hands its
// records to the successor of each key, which from then on answers for them.
//
// # Limits of the promise
//
//   - The platform removes an instance from the list, or starts it again, only after it has stopped.
//   - Clocks of callers and daemons differ by at most Skew and do not jump by more.
//   - A platform that serves an older list than before can hide a running instance from one that
//     restarts, when no instance that knows both answers.
//   - An instance that the platform removes and lists again under the same ID, and that starts while
//     the platform cannot be read, can be taken for its predecessor by instances whose lists lag.
//   - Availability is given up first: a starting instance that cannot reach every listed instance
//     owns nothing, and its predecessors keep its keys; the keys of a dead instance are refused
//     until the list shows its removal.
//
// The types take the time as an argument and are not safe for concurrent use.
package once
