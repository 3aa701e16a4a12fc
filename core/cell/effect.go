package cell

import (
	"strconv"
	"time"

	"wagtailhoist/core/model"
)

// Effect is an output of Cell.Step that the caller carries out. An Answer has to follow for each effect except Reply
// and Decide.
type Effect interface{ effect() }

// Command is part of each call that changes something at the worker service. Epoch is the fencing token, Plan the
// revision of the plan that the call is based on.
type Command struct {
	Epoch model.Epoch
	Plan  uint64
}

type (
	// GrantLease takes a lease at the store.
	GrantLease struct{ TTL time.Duration }
	// RenewLease renews the lease of the owner key.
	RenewLease struct{ Lease uint64 }
	// RevokeLease ends a lease at the store, and deletes the owner key with it.
	RevokeLease struct{ Lease uint64 }
	// WriteOwner creates the owner key under a lease; it fails if the key exists.
	WriteOwner struct {
		Lease uint64
		Epoch model.Epoch
	}
	// LoadPlan reads both keys of the plan at the same moment. Probe asks for a shorter timeout, so that an owner
	// notices soon when the store answers again.
	LoadPlan struct{ Probe bool }
	// WriteBase writes the base of the plan by compare-and-swap on Version.
	WriteBase struct {
		Value   []byte
		Version uint64
	}
	// WriteLog writes the change log by compare-and-swap on Version.
	WriteLog struct {
		Value   []byte
		Version uint64
	}
	// Reply answers the ChangeRequest or PlanReadRequest with the same Number. Without a flag, the changes are durable, or the plan
	// was read. PlanFull means that the changes were refused because the plan is too large, Unstored that a detached
	// owner has accepted them but not written them yet, and Refused that the store is unavailable and this process
	// is not the owner. Owner then names the owner, if known.
	Reply struct {
		Number   uint64
		PlanFull bool
		Unstored bool
		Refused  bool
		Owner    model.NodeID
	}
	// Decide asks for a scheduling decision on the plan; a DecisionMade event follows.
	Decide struct{}

	// Fence makes the worker service refuse commands of earlier epochs.
	Fence struct{ Command Command }
	// ListTasks lists the tasks of the cell.
	ListTasks struct{ Epoch model.Epoch }
	// GrantTasks creates the grant of a placement.
	GrantTasks struct {
		Command   Command
		Job       model.JobID
		Placement int
		TTL       time.Duration
	}
	// RenewTasks renews the grant of a placement; it must not be sent after Deadline.
	RenewTasks struct {
		Command  Command
		Grant    uint64
		Deadline time.Time
	}
	// RevokeTasks ends a grant, which stops all tasks under it.
	RevokeTasks struct {
		Command   Command
		Job       model.JobID
		Placement int
		Grant     uint64
	}
	// PrepareTask creates a task with share 0, so that it doesn't run yet.
	PrepareTask struct {
		Command   Command
		Placement int
		Task      Task
	}
	// ReleaseTask sets the share of a task to 1, so that it runs. It must not be sent after Deadline.
	ReleaseTask struct {
		Command   Command
		Job       model.JobID
		Placement int
		Task      string
		Deadline  time.Time
	}
	// SaveTask takes a checkpoint of a task.
	SaveTask struct {
		Command   Command
		Job       model.JobID
		Placement int
		Task      string
	}
)

func (GrantLease) effect()  {}
func (RenewLease) effect()  {}
func (RevokeLease) effect() {}
func (WriteOwner) effect()  {}
func (LoadPlan) effect()    {}
func (WriteBase) effect()   {}
func (WriteLog) effect()    {}
func (Reply) effect()       {}
func (Decide) effect()      {}
func (Fence) effect()       {}
func (ListTasks) effect()   {}
func (GrantTasks) effect()  {}
func (RenewTasks) effect()  {}
func (RevokeTasks) effect() {}
func (PrepareTask) effect() {}
func (ReleaseTask) effect() {}
func (SaveTask) effect()    {}

// TaskID returns the identifier of the task of a placement with the given index. It is unique among all placements of
// the job.
func TaskID(job model.JobID, placement, index int) string {
	return string(job) + "." + strconv.Itoa(placement) + "." + strconv.Itoa(index)
}
