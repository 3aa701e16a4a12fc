package works

import (
	"fmt"

	"wagtailhoist/core/model"
)

// FencedError reports a command whose epoch, Want, is below Have, the highest that the service has seen for the cell.
type FencedError struct {
	Cell       model.CellID
	Want, Have model.Epoch
}

// Error names the cell and both epochs.
func (e *FencedError) Error() string {
	return fmt.Sprintf("cell %s: epoch %d is fenced by epoch %d", e.Cell, e.Want, e.Have)
}

// GrantError reports a grant that has ended or never existed.
type GrantError struct{ Grant uint64 }

// Error names the grant.
func (e *GrantError) Error() string {
	return fmt.Sprintf("grant %d has ended or never existed", e.Grant)
}

// UnknownTaskError reports a task that does not exist at the service.
type UnknownTaskError struct{ Task string }

// Error names the task.
func (e *UnknownTaskError) Error() string {
	return fmt.Sprintf("task %q does not exist at the worker service", e.Task)
}

// ReasonWorkerUnavailable is the reason of a RefusedError for a task whose worker is lost or unknown.
const ReasonWorkerUnavailable = "worker"

// RefusedError reports a task that the service refused to create.
type RefusedError struct {
	Task string
	// Reason is "exists" for a task that exists with other content, "full" for a worker without capacity for the task, or
	// ReasonWorkerUnavailable.
	Reason string
}

// Error names the task and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker service refused task %q: %s", e.Task, e.Reason)
}

// UnavailableError reports a call without a usable answer. If the call was a change, it may or may not have taken effect.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error names the call and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("call %s of the worker service failed: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
