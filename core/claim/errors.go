package claim

import (
	"fmt"
	"time"

	"wagtailhoist/core/model"
)

// DuplicateError reports a key that another attempt holds.
type DuplicateError struct {
	Team model.Team
	Key  string
	// Holder is the attempt that holds the key, since Since.
	Holder model.Attempt
	Since  time.Time
}

// Error names the holder.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("key is held by another attempt: key %q of team %q, attempt %v since %v", e.Key, e.Team, e.Holder, e.Since.UTC().Format(time.RFC3339))
}

// UnavailableError reports a key that could not be claimed in time; the request was not run.
type UnavailableError struct {
	Key   string
	Cause error
}

// Error describes the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("key is not claimed: key %q: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
