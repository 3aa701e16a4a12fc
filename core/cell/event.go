package cell

import (
	"time"

	"wagtailhoist/core/model"
)

// Event is something that happened; see the types below.
type Event interface{ event() }

type (
	// Tick comes once every control interval.
	Tick struct{}
	// OwnerSeen reports whether the key of the owner exists, and whom it named last.
	OwnerSeen struct {
		Held  bool
		Owner model.NodeID
	}
	// StoreMissed reports that the store did not answer a watch.
	StoreMissed struct{}
	// PlanSeen reports the version of the change log in the store.
	PlanSeen struct{ Version uint64 }
	// Request asks to write changes; a Reply with the same number follows.
	Request struct {
		Number  uint64
		Changes []Change
	}
	// Refresh asks to read the plan again; a Reply with the same number follows.
	Refresh struct{ Number uint64 }
	// Decided is the answer to a Decide effect.
	Decided struct {
		Actions []Action
		// Note replaces the note of the plan, unless it is nil.
		Note []byte
	}
	// Drain asks the owner to hand the cell over.
	Drain struct{}
	// Answer is the result of an effect.
	Answer struct {
		To   Effect
		Code Code
		// Sent is the time at which the call was sent.
		Sent time.Time
		// ID is the lease or grant, Version the version after a write.
		ID      uint64
		Version uint64
		Stored  Stored
		Task    Task
		Tasks   []Task
	}
)

func (Tick) event()        {}
func (OwnerSeen) event()   {}
func (PlanSeen) event()    {}
func (StoreMissed) event() {}
func (Request) event()     {}
func (Refresh) event()     {}
func (Decided) event()     {}
func (Drain) event()       {}
func (Answer) event()      {}

// Code classifies the result of a call.
type Code uint8

// Codes of results.
const (
	// OK means that the call took effect.
	OK Code = iota
	// Unknown means that the call may have taken effect, or still may.
	Unknown
	// Conflict means that the compare-and-swap failed.
	Conflict
	// LeaseEnded means that the store's lease has ended.
	LeaseEnded
	// Fenced means that the worker service has seen a higher epoch.
	Fenced
	// GrantEnded means that the grant has ended.
	GrantEnded
	// Refused means that the task was not prepared and will not be.
	Refused
	// Overdue means that the call was not sent because its time had passed.
	Overdue
)

// Action is one step of a decision.
type Action struct {
	Job model.JobID
	// Workers has the worker of each task to start; nil means that the job is to be stopped.
	Workers []model.WorkerID
	// Note is kept with a placement.
	Note []byte
	// Save asks for a checkpoint before the stop.
	Save bool
	// Cause is that of a stop; empty means Preempted.
	Cause Cause
	// Reject removes a waiting job that can never run.
	Reject bool
	// To is the cell that a waiting job is to be sent to.
	To model.CellID
}

// State is the state of a task at the worker service.
type State string

// States of tasks.
const (
	TaskPrepared State = "prepared"
	TaskRunning  State = "running"
	TaskPaused   State = "paused"
	TaskDone     State = "done"
	TaskFailed   State = "failed"
	TaskLost     State = "lost"
)

// Task is a task of the worker service.
type Task struct {
	ID     string
	Job    model.JobID
	Worker model.WorkerID
	GPUs   int
	Grant  uint64
	State  State
}

// live reports whether the task still holds its accelerators.
func (t Task) live() bool {
	return t.State == TaskPrepared || t.State == TaskRunning || t.State == TaskPaused
}
