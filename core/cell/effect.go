package cell

import (
	"strconv"
	"time"

	"wagtailhoist/core/model"
)

// Effect is something to carry out; each one but Reply and Decide is answered by an Answer.
type Effect interface{ effect() }

// Command is what each change at the worker service carries.
type Command struct {
	Epoch model.Epoch
	Plan  uint64
}

type (
	// GrantLease asks the store for a lease.
	GrantLease struct{ TTL time.Duration }
	// RenewLease renews the lease of the owner's key.
	RenewLease struct{ Lease uint64 }
	// RevokeLease ends a lease.
	RevokeLease struct{ Lease uint64 }
	// WriteOwner creates the key of the owner.
	WriteOwner struct {
		Lease uint64
		Epoch model.Epoch
	}
	// LoadPlan reads both keys of the plan at one moment. Probe asks for an early end of a read without answer, so
	// that the return of the store is noticed soon.
	LoadPlan struct{ Probe bool }
	// WriteBase writes the base by compare-and-swap.
	WriteBase struct {
		Value   []byte
		Version uint64
	}
	// WriteLog writes the change log by compare-and-swap.
	WriteLog struct {
		Value   []byte
		Version uint64
	}
	// Reply tells a caller that its changes are durable; Full means that they were refused for lack of room,
	// Unstored that a detached owner has accepted them and has not written them yet, and Refused that the store
	// can't be reached and this process is not the owner, which Owner names if known.
	Reply struct {
		Number   uint64
		Full     bool
		Unstored bool
		Refused  bool
		Owner    model.NodeID
	}
	// Decide asks for a decision on the plan.
	Decide struct{}

	// Fence raises the epoch at the worker service.
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
	// RenewTasks renews a grant; it must not be sent after By.
	RenewTasks struct {
		Command Command
		Grant   uint64
		By      time.Time
	}
	// RevokeTasks ends a grant, and with it all tasks of the gang.
	RevokeTasks struct {
		Command   Command
		Job       model.JobID
		Placement int
		Grant     uint64
	}
	// PrepareTask creates a task with share 0.
	PrepareTask struct {
		Command   Command
		Placement int
		Task      Task
	}
	// ReleaseTask sets the share of a task to 1; it must not be sent after By.
	ReleaseTask struct {
		Command   Command
		Job       model.JobID
		Placement int
		Task      string
		By        time.Time
	}
	// SaveTask checkpoints a task.
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

// TaskID returns the identifier of a task; no two placements of a job share one.
func TaskID(job model.JobID, placement, index int) string {
	return string(job) + "." + strconv.Itoa(placement) + "." + strconv.Itoa(index)
}
