package membership

import "fmt"

// StaleListError reports a platform list that is older than the current one.
type StaleListError struct {
	Held, Got uint64
}

// Error names both revisions.
func (e *StaleListError) Error() string {
	return fmt.Sprintf("instance list revision %d is older than the current revision %d; it is ignored until the platform sends a newer one", e.Got, e.Held)
}

// ConflictError reports a platform list that has the current revision but other contents.
type ConflictError struct {
	Revision uint64
}

// Error names the revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("instance list revision %d was received again with different contents; the first contents are kept until the next revision", e.Revision)
}

// GapError reports a list delta that does not start at the current revision.
type GapError struct {
	Held, From uint64
}

// Error names both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("list delta starts at revision %d, but the current revision is %d; fetch the differing buckets", e.From, e.Held)
}

// SizeError reports a list that has more than MaxInstances instances.
type SizeError struct {
	Got int
}

// Error names the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("instance list has %d instances, more than the limit of %d; raise the limit in the daemon", e.Got, MaxInstances)
}

// DuplicateError reports a list that contains an instance twice, or one without an ID.
type DuplicateError struct {
	ID string
}

// Error names the instance.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("instance list contains instance %q twice, or an instance without an ID; correct the list", e.ID)
}
