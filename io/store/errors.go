package store

import "fmt"

// NotFoundError reports a key that does not exist.
type NotFoundError struct{ Key string }

// Error describes the missing key.
func (e *NotFoundError) Error() string { return fmt.Sprintf("key %q not found", e.Key) }

// ConflictError reports a compare-and-swap that failed because the key does not have the expected version.
type ConflictError struct {
	Key string
	// Want is the version that the caller expected, Have the version in the store; 0 means that the key doesn't exist.
	Want, Have uint64
}

// Error names the key and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has version %d in the store, expected %d", e.Key, e.Have, e.Want)
}

// LeaseError reports a lease that has expired, was revoked or never existed.
type LeaseError struct{ Lease uint64 }

// Error names the lease.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("lease %d has expired, was revoked or never existed", e.Lease)
}

// UnavailableError reports a call without a usable answer. A write may or may not have taken effect, so the caller
// has to read the key before it decides whether to retry.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error names the call and the cause.
func (e *UnavailableError) Error() string { return fmt.Sprintf("store %s: %v", e.Op, e.Cause) }

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
