package cell

import (
	"maps"
	"slices"

	"wagtailhoist/core/model"
)

const (
	// recent is the number of ended jobs that the plan remembers.
	recent = 256
	// writers is the number of processes whose last write the plan remembers.
	writers = 64
)

// Phase is the stage of a job in the plan.
type Phase uint8

// Phases of a job.
const (
	// Waiting jobs have no workers.
	Waiting Phase = iota
	// Placed jobs have workers, on which their tasks are being prepared.
	Placed
	// Released jobs have all tasks prepared and may run.
	Released
	// Stopping jobs keep their workers until every task has gone.
	Stopping
)

// String names the phase.
func (p Phase) String() string {
	names := [...]string{"waiting", "placed", "released", "stopping"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Cause says why a placement was stopped or a job has ended.
type Cause string

// Causes.
const (
	// Finished means that every task has ended well.
	Finished Cause = "finished"
	// Failed means that a task has failed.
	Failed Cause = "failed"
	// Lost means that a worker was lost.
	Lost Cause = "lost"
	// Expired means that the grant ended or a task was stopped by someone else.
	Expired Cause = "expired"
	// Unprepared means that not all tasks could be prepared.
	Unprepared Cause = "unprepared"
	// Unreleased means that not all tasks were seen running in time after the release.
	Unreleased Cause = "unreleased"
	// Preempted means that the decision stopped the job.
	Preempted Cause = "preempted"
	// Exceeded means that the decision stopped the job because it exceeded its declared memory.
	Exceeded Cause = "exceeded"
	// Cancelled means that an operator cancelled the job.
	Cancelled Cause = "cancelled"
	// Rejected means that the job can never run.
	Rejected Cause = "rejected"
	// Adopted means that a new owner found a placement that was not yet, or no longer, running as a whole.
	Adopted Cause = "adopted"
	// Moved means that another cell has the job.
	Moved Cause = "moved"
)

// Job is a job of the plan; a Job in a Plan is never changed in place.
type Job struct {
	Spec model.JobSpec `cbor:"1,keyasint" json:"spec"`
	// Sequence is the order of submission.
	Sequence uint64 `cbor:"2,keyasint" json:"sequence"`
	Phase    Phase  `cbor:"3,keyasint,omitempty" json:"phase"`
	// Placement counts the placements; task identifiers contain it.
	Placement int `cbor:"4,keyasint,omitempty" json:"placement,omitempty"`
	// Workers has the worker of each task while the job holds workers.
	Workers []model.WorkerID `cbor:"5,keyasint,omitempty" json:"workers,omitempty"`
	// Grant is the grant of the tasks, known from the release on.
	Grant uint64 `cbor:"6,keyasint,omitempty" json:"grant,omitempty"`
	// Submitted and Since (of the phase) are in milliseconds since the Unix epoch.
	Submitted int64 `cbor:"7,keyasint" json:"submitted"`
	Since     int64 `cbor:"8,keyasint" json:"since"`
	// Cause says why a stopping job is stopped, or why the last placement of a waiting job ended.
	Cause Cause `cbor:"9,keyasint,omitempty" json:"cause,omitempty"`
	// Save says that a stopping job is checkpointed first, or that the last placement of a waiting one was.
	Save bool `cbor:"10,keyasint,omitempty" json:"save,omitempty"`
	// Cancelled jobs leave the plan when their tasks have gone.
	Cancelled bool `cbor:"11,keyasint,omitempty" json:"cancelled,omitempty"`
	// Failed names the workers at fault for failures of the job.
	Failed []model.WorkerID `cbor:"12,keyasint,omitempty" json:"failed,omitempty"`
	// Note belongs to the decision.
	Note []byte `cbor:"13,keyasint,omitempty" json:"-"`
	// To is the cell that a waiting job is being sent to.
	To model.CellID `cbor:"14,keyasint,omitempty" json:"to,omitempty"`
}

// Ended is a job that has left the plan.
type Ended struct {
	Job   model.JobID `cbor:"1,keyasint" json:"job"`
	Cause Cause       `cbor:"2,keyasint" json:"cause"`
	At    int64       `cbor:"3,keyasint" json:"at"`
}

// Plan is the durable state of a cell; the zero value is that of a new cell.
type Plan struct {
	Epoch model.Epoch  `cbor:"1,keyasint"`
	Owner model.NodeID `cbor:"2,keyasint"`
	// Revision counts the changes.
	Revision uint64               `cbor:"3,keyasint"`
	Sequence uint64               `cbor:"4,keyasint"`
	Jobs     map[model.JobID]*Job `cbor:"5,keyasint"`
	// Ended holds the jobs that left last, oldest first.
	Ended []Ended `cbor:"6,keyasint,omitempty"`
	// Writes holds the number of the last batch of each writer, so that a lost answer can be resolved.
	Writes []Write `cbor:"7,keyasint,omitempty"`
	// Note belongs to the decision.
	Note []byte `cbor:"8,keyasint,omitempty"`
	// Aside names the workers that operators have taken out of use.
	Aside []model.WorkerID `cbor:"9,keyasint,omitempty"`
}

// Write names the last batch of a writer.
type Write struct {
	Writer string `cbor:"1,keyasint"`
	Batch  uint64 `cbor:"2,keyasint"`
}

// Clone returns a copy that shares the jobs.
func (p *Plan) Clone() *Plan {
	c := *p
	c.Jobs = maps.Clone(p.Jobs)
	c.Ended = slices.Clone(p.Ended)
	c.Writes = slices.Clone(p.Writes)
	c.Aside = slices.Clone(p.Aside)
	return &c
}

// Has reports whether the plan knows the job, as present or recently ended. A job that has moved may come back.
func (p *Plan) Has(id model.JobID) bool {
	if p.Jobs[id] != nil {
		return true
	}
	return slices.ContainsFunc(p.Ended, func(e Ended) bool { return e.Job == id && e.Cause != Moved })
}

// sent reports whether a job was sent to another cell recently.
func (p *Plan) sent(id model.JobID) bool {
	return slices.ContainsFunc(p.Ended, func(e Ended) bool { return e.Job == id && e.Cause == Moved })
}

// wrote reports whether the batch of a writer is part of the plan.
func (p *Plan) wrote(writer string, batch uint64) bool {
	return slices.ContainsFunc(p.Writes, func(w Write) bool { return w.Writer == writer && w.Batch >= batch })
}

func (p *Plan) remember(writer string, batch uint64) {
	p.Writes = slices.DeleteFunc(p.Writes, func(w Write) bool { return w.Writer == writer })
	p.Writes = append(p.Writes, Write{writer, batch})
	if n := len(p.Writes) - writers; n > 0 {
		p.Writes = slices.Delete(p.Writes, 0, n)
	}
}
