package cell

import (
	"time"

	"wagtailhoist/core/model"
)

// Event is an input of Cell.Step.
type Event interface{ event() }

type (
	// Tick reports that a control interval has passed.
	Tick struct{}
	// OwnerKeySeen reports whether the owner key exists, and the owner that it named last.
	OwnerKeySeen struct {
		Exists bool
		Owner  model.NodeID
	}
	// StoreUnanswered reports that a watch at the store got no answer.
	StoreUnanswered struct{}
	// LogVersionSeen reports the version that the change log has in the store.
	LogVersionSeen struct{ Version uint64 }
	// ChangeRequest asks to write changes to the plan; a Reply with the same number follows.
	ChangeRequest struct {
		Number  uint64
		Changes []Change
	}
	// PlanReadRequest asks for a new read of the plan from the store; a Reply with the same number follows.
	PlanReadRequest struct{ Number uint64 }
	// DecisionMade is the result of a Decide effect.
	DecisionMade struct {
		Actions []Action
		// Note replaces the note of the plan, unless it is nil.
		Note []byte
	}
	// DrainRequested asks the process to give up the cell and not to contend for it again.
	DrainRequested struct{}
	// Answer is the result of ForEffect.
	Answer struct {
		ForEffect Effect
		Code      Code
		// Sent is the time at which the call was sent.
		Sent time.Time
		// ID is the new lease or grant, Version the version of the key after a write.
		ID      uint64
		Version uint64
		Stored  Stored
		Task    Task
		Tasks   []Task
	}
)

func (Tick) event()            {}
func (OwnerKeySeen) event()    {}
func (LogVersionSeen) event()  {}
func (StoreUnanswered) event() {}
func (ChangeRequest) event()   {}
func (PlanReadRequest) event() {}
func (DecisionMade) event()    {}
func (DrainRequested) event()  {}
func (Answer) event()          {}

// Code classifies the result of a call to the store or the worker service.
type Code uint8

// The codes of results.
const (
	// OK means that the call took effect.
	OK Code = iota
	// OutcomeUnknown means that the call may have taken effect, or still may.
	OutcomeUnknown
	// Conflict means that the compare-and-swap failed.
	Conflict
	// LeaseEnded means that the lease at the store has ended.
	LeaseEnded
	// Fenced means that the worker service refused the command because it has seen a higher epoch.
	Fenced
	// GrantEnded means that the grant has ended.
	GrantEnded
	// Refused means that the worker service refused to prepare the task; the call has no effect later either.
	Refused
	// Overdue means that the call was not sent because its deadline had passed.
	Overdue
)

// Action is one action of a decision: it starts, stops, rejects or hands over a job.
type Action struct {
	Job model.JobID
	// Workers holds the worker of each task to start; nil stops the job unless Reject or HandoverTo is set.
	Workers []model.WorkerID
	// Note is opaque data that the plan keeps with the placement.
	Note []byte
	// WithCheckpoint asks for a checkpoint before the stop.
	WithCheckpoint bool
	// Cause is why the job is stopped; empty means Preempted.
	Cause Cause
	// Reject removes a waiting job that can never run.
	Reject bool
	// HandoverTo is the cell that a waiting job is to be handed over to.
	HandoverTo model.CellID
}

// State is the state of a task at the worker service.
type State string

// The states of tasks.
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

// live reports whether the task still occupies its GPUs.
func (t Task) live() bool {
	return t.State == TaskPrepared || t.State == TaskRunning || t.State == TaskPaused
}
