package membership

import "fmt"

// StaleListError reports a platform list that is older than the one held.
type StaleListError struct {
	Held, Got uint64
}

// Error names both revisions.
func (e *StaleListError) Error() string {
	return fmt.Sprintf("instance list revision %d is older than revision %d; it is ignored until the platform catches up", e.Got, e.Held)
}

// ConflictError reports a platform list of the held revision with other contents.
type ConflictError struct {
	Revision uint64
}

// Error names the revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("instance list revision %d has two contents; the first is kept until the next revision", e.Revision)
}

// GapError reports a list delta that does not start at the revision held.
type GapError struct {
	Held, From uint64
}

// Error names both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("list delta starts at revision %d while revision %d is held; pull the differing buckets", e.From, e.Held)
}

// SizeError reports a list with more instances than MaxInstances.
type SizeError struct {
	Got int
}

// Error names the bound.
func (e *SizeError) Error() string {
	return fmt.Sprintf("instance list has %d instances, more than %d; raise the limit in the daemon", e.Got, MaxInstances)
}

// DuplicateError reports an instance that a list names twice or without an ID.
type DuplicateError struct {
	ID string
}

// Error names the instance.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("instance list names %q twice or an instance without an ID; correct the list", e.ID)
}
