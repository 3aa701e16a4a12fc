package cell

import (
	"slices"

	"wagtailhoist/core/model"
)

// Kind is the kind of a change.
type Kind uint8

// Kinds of changes. The comments name the fields of Change that a kind uses besides At.
const (
	// OwnerChanged makes Owner the owner of the cell from Epoch on.
	OwnerChanged Kind = iota + 1
	// JobSubmitted adds the job Spec. Cell is the cell that handed the job over, if any.
	JobSubmitted
	// JobsCancelled cancels Jobs.
	JobsCancelled
	// JobPlaced assigns Workers and a new placement number to Job. Note is opaque data of the decision.
	JobPlaced
	// JobReleased lets the tasks of Placement of Job run under Grant.
	JobReleased
	// JobStopRequested stops Placement of Job for Cause. Worker is the worker at fault, if known; WithCheckpoint asks for a
	// checkpoint.
	JobStopRequested
	// JobTasksEnded records that every task of Placement of Job has ended. WithCheckpoint says that a checkpoint was taken.
	JobTasksEnded
	// JobEnded removes Job for Cause. All of its tasks have ended, or it has none.
	JobEnded
	// NoteReplaced replaces the Note of the plan.
	NoteReplaced
	// WorkerQuarantineSet takes Worker out of use if Quarantined is set, and makes it usable again otherwise.
	WorkerQuarantineSet
	// JobHandoverStarted marks the waiting Job as being sent to Cell. It is no longer placed in this cell.
	JobHandoverStarted
	// JobHandoverDone completes the handover of Job: it removes Job, which is now in the plan of Cell.
	JobHandoverDone
)

// Change is one change of the plan. Kind says which of the other fields are used.
type Change struct {
	Kind           Kind             `cbor:"1,keyasint"`
	Epoch          model.Epoch      `cbor:"2,keyasint,omitempty"`
	Owner          model.NodeID     `cbor:"3,keyasint,omitempty"`
	Spec           *model.JobSpec   `cbor:"4,keyasint,omitempty"`
	Jobs           []model.JobID    `cbor:"5,keyasint,omitempty"`
	Job            model.JobID      `cbor:"6,keyasint,omitempty"`
	Placement      int              `cbor:"7,keyasint,omitempty"`
	Workers        []model.WorkerID `cbor:"8,keyasint,omitempty"`
	Grant          uint64           `cbor:"9,keyasint,omitempty"`
	Cause          Cause            `cbor:"10,keyasint,omitempty"`
	Worker         model.WorkerID   `cbor:"11,keyasint,omitempty"`
	WithCheckpoint bool             `cbor:"12,keyasint,omitempty"`
	Note           []byte           `cbor:"13,keyasint,omitempty"`
	Quarantined    bool             `cbor:"15,keyasint,omitempty"`
	Cell           model.CellID     `cbor:"16,keyasint,omitempty"`
	// At is in milliseconds since the Unix epoch.
	At int64 `cbor:"14,keyasint"`
}

// Batch is an entry of the change log: changes that were written together.
type Batch struct {
	// Revision is the revision of the plan after the batch.
	Revision uint64 `cbor:"1,keyasint"`
	// Writer identifies the process that wrote the batch, and its start.
	Writer string `cbor:"2,keyasint"`
	// Number counts the batches of the writer.
	Number  uint64   `cbor:"3,keyasint"`
	Changes []Change `cbor:"4,keyasint"`
}

// Apply applies a batch to the plan. A change that the plan no longer allows, for example one of an earlier epoch, has
// no effect; whether it has one depends on the plan alone, so that every reader of the log gets the same plan.
func (p *Plan) Apply(b Batch) {
	for _, c := range b.Changes {
		p.apply(c)
	}
	p.Revision = b.Revision
	p.recordLastBatch(b.Writer, b.Number)
}

func (p *Plan) apply(c Change) {
	if p.Jobs == nil {
		p.Jobs = map[model.JobID]*Job{}
	}
	switch c.Kind {
	case OwnerChanged:
		if c.Epoch > p.Epoch {
			p.Epoch, p.Owner = c.Epoch, c.Owner
		}
	case JobSubmitted:
		// After a handover, only another cell can send the job back. A client that submitted it again would make it
		// run in both cells.
		if !p.Has(c.Spec.ID) && (c.Cell != "" || !p.movedAway(c.Spec.ID)) {
			p.Sequence++
			p.Jobs[c.Spec.ID] = &Job{Spec: *c.Spec, Sequence: p.Sequence, Submitted: c.At, PhaseSince: c.At}
		}
	case JobsCancelled:
		for _, id := range c.Jobs {
			p.cancelJob(id, c.At)
		}
	case WorkerQuarantineSet:
		p.Quarantined = slices.DeleteFunc(p.Quarantined, func(w model.WorkerID) bool { return w == c.Worker })
		if c.Quarantined {
			p.Quarantined = append(p.Quarantined, c.Worker)
		}
	case JobHandoverDone:
		p.finishHandover(c)
	default:
		if c.Epoch == p.Epoch {
			p.applyOwnerChange(c)
		}
	}
}

// applyOwnerChange applies a change that only the owner of the cell may make.
func (p *Plan) applyOwnerChange(c Change) {
	if c.Kind == NoteReplaced {
		p.Note = c.Note
		return
	}
	old := p.Jobs[c.Job]
	if old == nil {
		return
	}
	if c.Kind == JobPlaced {
		if old.Phase == Waiting && old.HandoverTo == "" {
			p.updateJob(old, Placed, c.At, func(j *Job) {
				j.Placement++
				j.Workers, j.Note, j.Cause, j.WithCheckpoint = c.Workers, c.Note, "", false
			})
		}
		return
	}
	if old.Placement != c.Placement {
		return
	}
	switch {
	case c.Kind == JobHandoverStarted && old.Phase == Waiting && old.HandoverTo == "":
		p.updateJob(old, Waiting, old.PhaseSince, func(j *Job) { j.HandoverTo = c.Cell })
	case c.Kind == JobReleased && old.Phase == Placed:
		p.updateJob(old, Released, c.At, func(j *Job) { j.Grant = c.Grant })
	case c.Kind == JobStopRequested && (old.Phase == Placed || old.Phase == Released):
		p.updateJob(old, Stopping, c.At, func(j *Job) {
			j.Cause, j.WithCheckpoint = c.Cause, c.WithCheckpoint
			if c.Cause == Failed && c.Worker != "" {
				j.Failed = append(slices.Clone(j.Failed), c.Worker)
			}
		})
	case c.Kind == JobTasksEnded && old.Phase == Stopping:
		if old.Cancelled {
			p.endJob(old.Spec.ID, Cancelled, c.At)
			return
		}
		p.updateJob(old, Waiting, c.At, func(j *Job) { j.Workers, j.Grant, j.WithCheckpoint, j.Note = nil, 0, c.WithCheckpoint, nil })
	case c.Kind == JobEnded && old.Phase != Placed:
		// Another process may have cancelled the job meanwhile, so its phase may be Stopping.
		p.endJob(old.Spec.ID, c.Cause, c.At)
	}
}

// updateJob replaces a job by a changed copy, since readers may share the old one.
func (p *Plan) updateJob(old *Job, phase Phase, at int64, change func(*Job)) {
	j := *old
	j.Phase, j.PhaseSince = phase, at
	change(&j)
	p.Jobs[j.Spec.ID] = &j
}

// cancelJob removes a waiting job and stops a placed one.
func (p *Plan) cancelJob(id model.JobID, at int64) {
	old := p.Jobs[id]
	switch {
	case old == nil || old.Cancelled:
	case old.HandoverTo != "":
		// The other cell may have accepted the job already, so it stays in the plan until the cancellation has been
		// sent there.
		p.updateJob(old, Waiting, old.PhaseSince, func(j *Job) { j.Cancelled = true })
	case old.Phase == Waiting:
		p.endJob(id, Cancelled, at)
	case old.Phase == Stopping:
		p.updateJob(old, Stopping, old.PhaseSince, func(j *Job) { j.Cancelled = true })
	default:
		p.updateJob(old, Stopping, at, func(j *Job) { j.Cancelled, j.Cause = true, Cancelled })
	}
}

// finishHandover removes a job that has arrived in the cell that it was being handed over to.
func (p *Plan) finishHandover(c Change) {
	old := p.Jobs[c.Job]
	if old == nil || old.HandoverTo == "" || old.HandoverTo != c.Cell {
		return
	}
	if old.Cancelled {
		p.endJob(c.Job, Cancelled, c.At)
		return
	}
	p.endJob(c.Job, Moved, c.At)
}

// endJob moves a job to the list of ended jobs.
func (p *Plan) endJob(id model.JobID, cause Cause, at int64) {
	delete(p.Jobs, id)
	p.Ended = append(p.Ended, Ended{Job: id, Cause: cause, At: at})
	if n := len(p.Ended) - maxEndedJobs; n > 0 {
		p.Ended = slices.Delete(p.Ended, 0, n)
	}
}
