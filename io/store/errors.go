package store

import "fmt"

// NotFoundError reports a key that does not exist.
type NotFoundError struct{ Key string }

// Error describes the missing key.
func (e *NotFoundError) Error() string { return fmt.Sprintf("key %q not found", e.Key) }

// ConflictError reports a compare-and-swap whose expected version no longer holds.
type ConflictError struct {
	Key string
	// Want is the version that the caller expected, Have the version in the store (0: no such key).
	Want, Have uint64
}

// Error describes the two versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has version %d, not %d", e.Key, e.Have, e.Want)
}

// LeaseError reports a lease that has ended or never existed.
type LeaseError struct{ Lease uint64 }

// Error describes the ended lease.
func (e *LeaseError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// UnavailableError reports a call without an answer; a change may or may not have taken
// effect, so the caller has to read back before it decides.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error describes the failed call.
func (e *UnavailableError) Error() string { return fmt.Sprintf("store %s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
