package route

import (
	"fmt"
	"time"
)

// Error texts begin with a fixed part up to a colon, by which refusals are counted.

// NoCandidateError reports that no agent can take the request now.
type NoCandidateError struct {
	Service string
	// Known counts the known agents of the service, live or not.
	Known int
}

// Error describes the service without candidates.
func (e *NoCandidateError) Error() string {
	return fmt.Sprintf("no agent can take the request: service %q has %d known agents", e.Service, e.Known)
}

// BytesError reports that only another region has candidates and that the byte budget between
// regions does not cover the request.
type BytesError struct {
	Service string
	Bytes   int
	// Wait is the time until the budget covers the request.
	Wait time.Duration
}

// Error describes the budget.
func (e *BytesError) Error() string {
	return fmt.Sprintf("byte budget between regions is spent: service %q is in another region only and the request has %d bytes", e.Service, e.Bytes)
}

// RetryError reports that the retry budget is spent.
type RetryError struct{ Service string }

// Error describes the budget.
func (e *RetryError) Error() string {
	return fmt.Sprintf("retry budget is spent: service %q", e.Service)
}
