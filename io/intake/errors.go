package intake

import (
	"errors"
	"fmt"
	"net/http"

	"wagtailhoist/core/budget"
)

// EvictedError reports a body that was given up in favour of others.
type EvictedError struct{}

// Error describes the eviction.
func (e *EvictedError) Error() string {
	return "request body given up: the memory budget for bodies is full and this one made no progress"
}

// LateError reports a body that didn't arrive in time.
type LateError struct{ Received int64 }

// Error gives the number of bytes that arrived.
func (e *LateError) Error() string {
	return fmt.Sprintf("request body not complete in time: %d bytes arrived", e.Received)
}

// TooLargeError reports a body that is larger than its limit.
type TooLargeError struct{ Limit int64 }

// Error gives the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("request body exceeds the limit of %d bytes", e.Limit)
}

// UnreadError reports a body that couldn't be read, for example because the connection broke.
type UnreadError struct{ Cause error }

// Error gives the cause.
func (e *UnreadError) Error() string { return "request body not received: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadError) Unwrap() error { return e.Cause }

// Reason returns the reason under which the refusal of a request is counted whose body couldn't be read or decoded.
func Reason(err error) string {
	var full *budget.FullError
	var busy *BusyError
	var evicted *EvictedError
	var late *LateError
	var large *TooLargeError
	switch {
	case errors.As(err, &busy):
		return ReasonBusy
	case errors.As(err, &full):
		return ReasonFull
	case errors.As(err, &evicted):
		return ReasonEvicted
	case errors.As(err, &late):
		return ReasonLate
	case errors.As(err, &large):
		return ReasonTooLarge
	}
	return ReasonUnread
}

// StatusCode returns the HTTP status of the answer to a request whose body couldn't be read or decoded. 503 is for
// those that may succeed when they are repeated.
func StatusCode(err error) int {
	switch Reason(err) {
	case ReasonFull, ReasonEvicted, ReasonBusy:
		return http.StatusServiceUnavailable
	case ReasonLate:
		return http.StatusRequestTimeout
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}
