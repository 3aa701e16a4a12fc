package store

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Check is a condition of a transaction: the key has the version; 0 means that the key doesn't exist.
type Check struct {
	Key     string
	Version uint64
}

// Set is the new value of a key; lease 0 means that the key doesn't expire.
type Set struct {
	Key   string
	Value []byte
	Lease uint64
}

// Change is a transaction: either all of its sets and deletes are applied, or, if a check fails, none.
type Change struct {
	Checks  []Check
	Sets    []Set
	Deletes []string
}

// CheckError reports a transaction that was not applied because a check failed.
type CheckError struct {
	// Items hold the current state of the checked keys; keys that don't exist have version 0 or are omitted.
	Items []Item
}

// Error gives the number of returned keys.
func (e *CheckError) Error() string {
	return fmt.Sprintf("transaction not applied because a check failed: the store returned %d of the checked keys", len(e.Items))
}

// RefusedError reports a call that had no effect, because the service refused it or was never reached.
type RefusedError struct {
	Op string
	// Status is the HTTP status; 0 means that no connection was made.
	Status int
	Cause  error
}

// Error names the call and why it was not carried out.
func (e *RefusedError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("store %s: request not sent: %v", e.Op, e.Cause)
	}
	return fmt.Sprintf("store %s: request refused with HTTP status %d", e.Op, e.Status)
}

// Unwrap returns Cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// HadNoEffect reports whether the failed call certainly had no effect. An UnavailableError may wrap a RefusedError: the
// call was sent over several paths, of which one was refused and another gave no answer.
func HadNoEffect(err error) bool {
	var unavailable *UnavailableError
	var refused *RefusedError
	return !errors.As(err, &unavailable) && errors.As(err, &refused)
}

// RefusedForGood reports whether the store has refused a call for its content, so that it would refuse it again, also over other paths.
func RefusedForGood(err error) bool {
	var refused *RefusedError
	if !HadNoEffect(err) || !errors.As(err, &refused) {
		return false
	}
	switch refused.Status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return refused.Status/100 == 4
}

// HistoryError reports a watch from a revision whose later changes the service has discarded, or can't return in one answer. The
// caller has to list the keys again.
type HistoryError struct {
	Prefix string
	After  uint64
}

// Error names the watched prefix and the revision.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("can't watch %q: the store has no readable history after revision %d", e.Prefix, e.After)
}
