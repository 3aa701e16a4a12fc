package claim

import (
	"fmt"
	"time"

	"wagtailhoist/core/model"
)

// DuplicateError reports that another attempt holds the key.
type DuplicateError struct {
	Team model.Team
	Key  string
	// Holder is the attempt that holds the key, since Since.
	Holder model.Attempt
	Since  time.Time
}

// Error describes the key and its holder.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("key is held by another attempt: key %q of team %q, attempt %v since %v", e.Key, e.Team, e.Holder, e.Since.UTC().Format(time.RFC3339))
}

// UnavailableError reports that a claim or release of the key was not decided in time. A request whose claim fails with it
// has not been run.
type UnavailableError struct {
	Key   string
	Cause error
}

// Error describes the key and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("key could not be claimed or released: key %q: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
