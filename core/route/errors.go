package route

import (
	"fmt"
	"time"
)

// The text of each error up to the colon is fixed: refusals are counted under it.

// NoCandidateError reports that no agent of the service can get the request now.
type NoCandidateError struct {
	Service string
	// Known is the number of agents of the service in the table, live or not. Evacuated of them are in evacuated data centres.
	Known, Evacuated int
}

// Error names the service and the number of its known agents.
func (e *NoCandidateError) Error() string {
	if e.Evacuated > 0 {
		return fmt.Sprintf("no agent can take the request: service %q has %d known agents, %d of them in evacuated data centres",
			e.Service, e.Known, e.Evacuated)
	}
	return fmt.Sprintf("no agent can take the request: service %q has %d known agents", e.Service, e.Known)
}

// NotConfiguredError reports that the entry doesn't know yet which data centres are evacuated.
type NotConfiguredError struct{ Service string }

// Error names the service.
func (e *NotConfiguredError) Error() string {
	return fmt.Sprintf("no configuration is in force yet: service %q", e.Service)
}

// ByteBudgetError reports that only another region has candidates, and that the byte budget between regions doesn't cover the
// request.
type ByteBudgetError struct {
	Service string
	// Bytes is the size of the request.
	Bytes int
	// Wait is the time until the budget covers the request.
	Wait time.Duration
}

// Error names the service and the size of the request.
func (e *ByteBudgetError) Error() string {
	return fmt.Sprintf("byte budget between regions is spent: service %q is in another region only and the request has %d bytes", e.Service, e.Bytes)
}

// RetryBudgetError reports that the retry budget of the entry is spent.
type RetryBudgetError struct{ Service string }

// Error names the service.
func (e *RetryBudgetError) Error() string {
	return fmt.Sprintf("retry budget is spent: service %q", e.Service)
}
