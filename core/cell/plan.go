package cell

import (
	"maps"
	"slices"

	"wagtailhoist/core/model"
)

const (
	// maxEndedJobs limits the number of ended jobs in the plan.
	maxEndedJobs = 256
	// maxWriters limits the number of writers whose last batch the plan records.
	maxWriters = 64
)

// Phase is the state of a job in the plan.
type Phase uint8

// Phases of a job.
const (
	// Waiting jobs have no workers.
	Waiting Phase = iota
	// Placed jobs have workers, on which their tasks are being prepared.
	Placed
	// Released jobs have all tasks prepared and may run.
	Released
	// Stopping jobs keep their workers until every task has ended.
	Stopping
)

// String returns the name of the phase.
func (p Phase) String() string {
	names := [...]string{"waiting", "placed", "released", "stopping"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Cause says why a placement was stopped or a job has ended.
type Cause string

// Causes of stops and ends.
const (
	// Finished means that every task has ended successfully.
	Finished Cause = "finished"
	// Failed means that a task has failed.
	Failed Cause = "failed"
	// Lost means that a worker was lost.
	Lost Cause = "lost"
	// Expired means that the grant ended, or that another client of the worker service stopped a task.
	Expired Cause = "expired"
	// Unprepared means that not all tasks could be prepared.
	Unprepared Cause = "unprepared"
	// Unreleased means that not all tasks were seen running in time after the release.
	Unreleased Cause = "unreleased"
	// Preempted means that a decision stopped the job.
	Preempted Cause = "preempted"
	// Exceeded means that a decision stopped the job because it exceeded its declared memory.
	Exceeded Cause = "exceeded"
	// Cancelled means that an operator cancelled the job.
	Cancelled Cause = "cancelled"
	// Rejected means that the job can never run.
	Rejected Cause = "rejected"
	// Adopted means that a new owner found a placement of which not all tasks were running.
	Adopted Cause = "adopted"
	// Moved means that the job was handed over to another cell.
	Moved Cause = "moved"
	// Evacuated means that a decision stopped the job before it was released, because its data centre was evacuated.
	Evacuated Cause = "evacuated"
)

// Job is a job of the plan. A Job in a Plan is never modified, only replaced, since clones of the plan share it.
type Job struct {
	Spec model.JobSpec `cbor:"1,keyasint" json:"spec"`
	// Sequence numbers the jobs of a cell in the order of submission.
	Sequence uint64 `cbor:"2,keyasint" json:"sequence"`
	Phase    Phase  `cbor:"3,keyasint,omitempty" json:"phase"`
	// Placement is the number of the last placement, counted from 1; task identifiers contain it.
	Placement int `cbor:"4,keyasint,omitempty" json:"placement,omitempty"`
	// Workers holds the worker of each task; it is empty for waiting jobs.
	Workers []model.WorkerID `cbor:"5,keyasint,omitempty" json:"workers,omitempty"`
	// Grant is the grant of the tasks, set when the job is released.
	Grant uint64 `cbor:"6,keyasint,omitempty" json:"grant,omitempty"`
	// Submitted is when the job was submitted, PhaseSince when its phase began, both in milliseconds since the Unix epoch.
	Submitted  int64 `cbor:"7,keyasint" json:"submitted"`
	PhaseSince int64 `cbor:"8,keyasint" json:"since"`
	// Cause is why a stopping job is stopped, or why the last placement of a waiting job ended.
	Cause Cause `cbor:"9,keyasint,omitempty" json:"cause,omitempty"`
	// WithCheckpoint says that a stopping job is to be checkpointed first, or that the last placement of a waiting job was.
	WithCheckpoint bool `cbor:"10,keyasint,omitempty" json:"save,omitempty"`
	// Cancelled jobs leave the plan when their tasks have ended.
	Cancelled bool `cbor:"11,keyasint,omitempty" json:"cancelled,omitempty"`
	// Failed lists the workers that were at fault for failures of the job.
	Failed []model.WorkerID `cbor:"12,keyasint,omitempty" json:"failed,omitempty"`
	// Note is opaque data that the decision has attached to the placement.
	Note []byte `cbor:"13,keyasint,omitempty" json:"-"`
	// HandoverTo is the cell that a waiting job is being handed over to.
	HandoverTo model.CellID `cbor:"14,keyasint,omitempty" json:"to,omitempty"`
}

// Ended is a job that has left the plan at the time At, in milliseconds since the Unix epoch.
type Ended struct {
	Job   model.JobID `cbor:"1,keyasint" json:"job"`
	Cause Cause       `cbor:"2,keyasint" json:"cause"`
	At    int64       `cbor:"3,keyasint" json:"at"`
}

// Plan is the durable state of a cell. The zero value is the plan of a new cell.
type Plan struct {
	// Epoch is the epoch in which Owner owns the cell.
	Epoch model.Epoch  `cbor:"1,keyasint"`
	Owner model.NodeID `cbor:"2,keyasint"`
	// Revision counts the changes that the plan has had.
	Revision uint64 `cbor:"3,keyasint"`
	// Sequence is the sequence number of the job that was submitted last.
	Sequence uint64               `cbor:"4,keyasint"`
	Jobs     map[model.JobID]*Job `cbor:"5,keyasint"`
	// Ended lists the jobs that have left the plan most recently, oldest first.
	Ended []Ended `cbor:"6,keyasint,omitempty"`
	// LastBatches holds the last batch of each writer. A writer that got no answer finds out there whether its batch
	// was written.
	LastBatches []LastBatch `cbor:"7,keyasint,omitempty"`
	// Note is opaque data that the decision keeps for later owners.
	Note []byte `cbor:"8,keyasint,omitempty"`
	// Quarantined lists the workers that operators have taken out of use.
	Quarantined []model.WorkerID `cbor:"9,keyasint,omitempty"`
}

// LastBatch is the number of the last batch of a writer.
type LastBatch struct {
	Writer string `cbor:"1,keyasint"`
	Batch  uint64 `cbor:"2,keyasint"`
}

// Clone returns a copy of the plan that shares its jobs.
func (p *Plan) Clone() *Plan {
	c := *p
	c.Jobs = maps.Clone(p.Jobs)
	c.Ended = slices.Clone(p.Ended)
	c.LastBatches = slices.Clone(p.LastBatches)
	c.Quarantined = slices.Clone(p.Quarantined)
	return &c
}

// Has reports whether the job is in the plan or has ended recently. Jobs that were handed over to another cell don't
// count, since they may come back.
func (p *Plan) Has(id model.JobID) bool {
	if p.Jobs[id] != nil {
		return true
	}
	return slices.ContainsFunc(p.Ended, func(e Ended) bool { return e.Job == id && e.Cause != Moved })
}

// movedAway reports whether the job was handed over to another cell recently.
func (p *Plan) movedAway(id model.JobID) bool {
	return slices.ContainsFunc(p.Ended, func(e Ended) bool { return e.Job == id && e.Cause == Moved })
}

// hasBatch reports whether the plan contains the batch of a writer.
func (p *Plan) hasBatch(writer string, batch uint64) bool {
	return slices.ContainsFunc(p.LastBatches, func(w LastBatch) bool { return w.Writer == writer && w.Batch >= batch })
}

// recordLastBatch replaces the last batch of a writer, and drops the writer that wrote longest ago if there are too many.
func (p *Plan) recordLastBatch(writer string, batch uint64) {
	p.LastBatches = slices.DeleteFunc(p.LastBatches, func(w LastBatch) bool { return w.Writer == writer })
	p.LastBatches = append(p.LastBatches, LastBatch{writer, batch})
	if n := len(p.LastBatches) - maxWriters; n > 0 {
		p.LastBatches = slices.Delete(p.LastBatches, 0, n)
	}
}
