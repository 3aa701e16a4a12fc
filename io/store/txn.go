package store

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Check is a condition of a change: the key has the version; 0 means that it doesn't exist.
type Check struct {
	Key     string
	Version uint64
}

// Set is a key's new value; lease 0 means that the key doesn't expire.
type Set struct {
	Key   string
	Value []byte
	Lease uint64
}

// Change is applied as a whole if all its checks hold.
type Change struct {
	Checks  []Check
	Sets    []Set
	Deletes []string
}

// CheckError reports a change whose checks don't hold; nothing was done.
type CheckError struct {
	// Items are the present state of the checked keys; those that don't exist have version 0 or are left out.
	Items []Item
}

// Error describes the failed checks.
func (e *CheckError) Error() string {
	return fmt.Sprintf("the checks of a change don't hold: %d keys differ or were returned", len(e.Items))
}

// RefusedError reports a call that the service turned away or that never reached it; nothing was done.
type RefusedError struct {
	Op string
	// Status is the HTTP status, 0 if no connection was made.
	Status int
	Cause  error
}

// Error describes the refused call.
func (e *RefusedError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("store %s: not sent: %v", e.Op, e.Cause)
	}
	return fmt.Sprintf("store %s: refused with status %d", e.Op, e.Status)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// NotDone reports whether a call has certainly had no effect. An UnavailableError may wrap a refusal: one of the
// ways was refused, another had no answer.
func NotDone(err error) bool {
	var unknown *UnavailableError
	var refused *RefusedError
	return !errors.As(err, &unknown) && errors.As(err, &refused)
}

// HistoryError reports a watch from a revision that the service no longer has; the caller lists again.
type HistoryError struct {
	Prefix string
	After  uint64
}

// Error describes the watch.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("the history of %q after revision %d is gone", e.Prefix, e.After)
}
