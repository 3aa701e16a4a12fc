package sched

import (
	"fmt"

	"wagtailhoist/core/model"
)

// PendingError reports a change to a plan that may or may not have become durable.
type PendingError struct {
	Cell  model.CellID
	Cause error
}

// Error names the cell and the cause.
func (e *PendingError) Error() string {
	return fmt.Sprintf("cell %s: change not confirmed: %v", e.Cell, e.Cause)
}

// Unwrap returns the cause.
func (e *PendingError) Unwrap() error { return e.Cause }

// OutageError reports a change that was refused because the store is down. Owner is the process that may accept the change
// meanwhile; it is empty if no owner is known.
type OutageError struct {
	Cell  model.CellID
	Owner model.NodeID
}

// Error names the cell and its owner.
func (e *OutageError) Error() string {
	if e.Owner == "" {
		return fmt.Sprintf("the store is down and no owner of cell %s is known", e.Cell)
	}
	return fmt.Sprintf("the store is down; ask entry %s, which owns cell %s", e.Owner, e.Cell)
}

// FullError reports a cell whose plan has reached its size limit.
type FullError struct{ Cell model.CellID }

// Error names the cell.
func (e *FullError) Error() string {
	return fmt.Sprintf("the plan of cell %s has no room for more jobs", e.Cell)
}

// NoCellError reports a job that can't be assigned to a cell: no workers are listed yet, or none in the cell of its guarantee.
type NoCellError struct{ Job model.JobID }

// Error names the job.
func (e *NoCellError) Error() string { return fmt.Sprintf("no cell known for job %q", e.Job) }

// InvalidError reports a job with an invalid specification.
type InvalidError struct {
	Job    model.JobID
	Reason string
}

// Error names the job and the reason.
func (e *InvalidError) Error() string { return fmt.Sprintf("job %q: %s", e.Job, e.Reason) }

// UnknownWorkerError reports a worker that the worker service does not list.
type UnknownWorkerError struct{ Worker model.WorkerID }

// Error names the worker.
func (e *UnknownWorkerError) Error() string { return fmt.Sprintf("unknown worker %q", e.Worker) }

// UnknownJobsError reports jobs that are in no cell's plan.
type UnknownJobsError struct{ Jobs []model.JobID }

// Error names the jobs.
func (e *UnknownJobsError) Error() string { return fmt.Sprintf("unknown jobs %q", e.Jobs) }

// LayoutError reports that this process has not read the layout of the cells from the store yet.
type LayoutError struct{}

// Error says that the layout is missing.
func (e *LayoutError) Error() string {
	return "the layout of the cells has not been read from the store yet"
}
