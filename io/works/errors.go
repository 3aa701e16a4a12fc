package works

import (
	"fmt"

	"wagtailhoist/core/model"
)

// FencedError reports a command whose epoch is below the highest that the service has seen for the cell.
type FencedError struct {
	Cell       model.CellID
	Want, Have model.Epoch
}

// Error names both epochs.
func (e *FencedError) Error() string {
	return fmt.Sprintf("cell %s: epoch %d is fenced by epoch %d", e.Cell, e.Want, e.Have)
}

// GrantError reports a grant that has ended or never existed.
type GrantError struct{ Grant uint64 }

// Error names the grant.
func (e *GrantError) Error() string { return fmt.Sprintf("grant %d has ended", e.Grant) }

// UnknownError reports a task that the service does not know.
type UnknownError struct{ Task string }

// Error names the task.
func (e *UnknownError) Error() string { return fmt.Sprintf("task %q is unknown", e.Task) }

// NoWorker is the reason of a RefusedError for a worker that is lost or unknown.
const NoWorker = "worker"

// RefusedError reports a task that was not created and will not be by this call.
type RefusedError struct {
	Task string
	// Reason is exists, full or worker.
	Reason string
}

// Error names the task and the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("task %q refused: %s", e.Task, e.Reason) }

// UnavailableError reports a call without an answer; a change may or may not have taken effect.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error describes the failed call.
func (e *UnavailableError) Error() string { return fmt.Sprintf("worker service %s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
