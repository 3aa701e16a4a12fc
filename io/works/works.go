package works

import (
	"context"
	"time"

	"wagtailhoist/core/model"
)

// Command is part of every change. Its epoch is the fencing token of the cell's owner: the service refuses an epoch below the
// highest that it has seen for the cell.
type Command struct {
	Cell  model.CellID `json:"cell"`
	Epoch model.Epoch  `json:"epoch"`
	// Plan is the revision of the cell's plan that the change is based on.
	Plan uint64 `json:"plan"`
}

// State is the state of a task at the worker service.
type State string

// States of a task; all but the first three are final.
const (
	Prepared State = "prepared"
	Running  State = "running"
	Paused   State = "paused"
	Done     State = "done"
	Stopped  State = "stopped"
	Failed   State = "failed"
	Lost     State = "lost"
	Expired  State = "expired"
)

// Task is a task of a job with its state.
type Task struct {
	Command
	ID     string         `json:"id"`
	Worker model.WorkerID `json:"worker"`
	GPUs   int            `json:"gpus"`
	Job    model.JobID    `json:"job"`
	// Lease is the grant that the task runs under; the task ends when the grant ends.
	Lease uint64 `json:"lease"`
	// Share is the part of its accelerators that the task may use, from 0 to 1. A task with share 0 does not run.
	Share float64 `json:"share"`
	State State   `json:"state,omitempty"`
	// Saved is the number of checkpoints.
	Saved int `json:"saved,omitempty"`
}

// Usage is a measurement of the resources that a task uses on its worker.
type Usage struct {
	// Task is the identifier of the task.
	Task   string         `json:"task"`
	Worker model.WorkerID `json:"worker"`
	Job    model.JobID    `json:"job"`
	GPUs   float64        `json:"gpus"`
	Cores  float64        `json:"cores"`
	// Memory is the memory in gigabytes.
	Memory float64 `json:"memory"`
	// Age is the time between the measurement and the answer, in milliseconds.
	Age int64 `json:"age"`
}

// Works is the complete API of the worker service. Packages that need fewer calls declare a smaller interface.
type Works interface {
	// Workers lists all workers.
	Workers(ctx context.Context) ([]model.Worker, error)
	// Tasks lists the tasks of a cell, ended ones included.
	Tasks(ctx context.Context, cell model.CellID) ([]Task, error)
	// Prepare creates a task that does not run yet. A task that exists with the same content is returned as it is.
	Prepare(ctx context.Context, task Task) (Task, error)
	// Throttle sets the share of a task, which starts or pauses it. A task that has ended is returned as it is.
	Throttle(ctx context.Context, id string, cmd Command, share float64) (Task, error)
	// Checkpoint saves the work of a task.
	Checkpoint(ctx context.Context, id string, cmd Command) (Task, error)
	// Stop ends a task.
	Stop(ctx context.Context, id string, cmd Command) (Task, error)
	// Grant creates a lease that tasks can run under, and returns its identifier.
	Grant(ctx context.Context, cmd Command, ttl time.Duration) (uint64, error)
	// Renew extends a grant by its ttl. Unless it is sent before the given time, it fails without effect.
	Renew(ctx context.Context, grant uint64, cmd Command, before time.Time) error
	// Revoke ends a grant and the tasks that run under it.
	Revoke(ctx context.Context, grant uint64, cmd Command) error
	// Usage returns the usage of the tasks that the service has measured.
	Usage(ctx context.Context) ([]Usage, error)
}
