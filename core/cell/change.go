package cell

import (
	"slices"

	"wagtailhoist/core/model"
)

// Kind is the kind of a change.
type Kind uint8

// Kinds of changes, with the fields that they set beside At.
const (
	// Owned makes Owner the owner from Epoch on.
	Owned Kind = iota + 1
	// Submitted adds the job Spec; Cell is the cell that sent it here, if one did.
	Submitted
	// Cancelling cancels Jobs.
	Cancelling
	// Placing gives Job the Workers and a new placement number; Note belongs to the decision.
	Placing
	// Releasing allows Placement of Job to run under Grant.
	Releasing
	// Halting stops Placement of Job for Cause; Worker is at fault, if known, and Save asks for a checkpoint.
	Halting
	// Gone says that every task of Placement of Job has gone; Save says that a checkpoint was taken.
	Gone
	// Ending removes Job for Cause; its tasks have ended, or it has none.
	Ending
	// Noting replaces the plan's Note.
	Noting
	// Siding takes Worker out of use if Aside is set, and returns it if not.
	Siding
	// Handing sends the waiting Job to Cell; it is not placed here from now on.
	Handing
	// Handed removes Job, which the plan of Cell holds now.
	Handed
)

// Change is one entry of the change log.
type Change struct {
	Kind      Kind             `cbor:"1,keyasint"`
	Epoch     model.Epoch      `cbor:"2,keyasint,omitempty"`
	Owner     model.NodeID     `cbor:"3,keyasint,omitempty"`
	Spec      *model.JobSpec   `cbor:"4,keyasint,omitempty"`
	Jobs      []model.JobID    `cbor:"5,keyasint,omitempty"`
	Job       model.JobID      `cbor:"6,keyasint,omitempty"`
	Placement int              `cbor:"7,keyasint,omitempty"`
	Workers   []model.WorkerID `cbor:"8,keyasint,omitempty"`
	Grant     uint64           `cbor:"9,keyasint,omitempty"`
	Cause     Cause            `cbor:"10,keyasint,omitempty"`
	Worker    model.WorkerID   `cbor:"11,keyasint,omitempty"`
	Save      bool             `cbor:"12,keyasint,omitempty"`
	Note      []byte           `cbor:"13,keyasint,omitempty"`
	Aside     bool             `cbor:"15,keyasint,omitempty"`
	Cell      model.CellID     `cbor:"16,keyasint,omitempty"`
	// At is in milliseconds since the Unix epoch.
	At int64 `cbor:"14,keyasint"`
}

// Batch is a number of changes written together.
type Batch struct {
	// Revision is that of the plan after the batch.
	Revision uint64 `cbor:"1,keyasint"`
	Writer   string `cbor:"2,keyasint"`
	// Number counts the batches of the writer.
	Number  uint64   `cbor:"3,keyasint"`
	Changes []Change `cbor:"4,keyasint"`
}

// Apply adds a batch to the plan. Changes that no longer fit, for example those of an earlier epoch, have no
// effect, so that every reader of the log arrives at the same plan.
func (p *Plan) Apply(b Batch) {
	for _, c := range b.Changes {
		p.apply(c)
	}
	p.Revision = b.Revision
	p.remember(b.Writer, b.Number)
}

func (p *Plan) apply(c Change) {
	if p.Jobs == nil {
		p.Jobs = map[model.JobID]*Job{}
	}
	switch c.Kind {
	case Owned:
		if c.Epoch > p.Epoch {
			p.Epoch, p.Owner = c.Epoch, c.Owner
		}
	case Submitted:
		// A job that was sent away comes back from a cell only: submitted again, it would run in both.
		if !p.Has(c.Spec.ID) && (c.Cell != "" || !p.sent(c.Spec.ID)) {
			p.Sequence++
			p.Jobs[c.Spec.ID] = &Job{Spec: *c.Spec, Sequence: p.Sequence, Submitted: c.At, Since: c.At}
		}
	case Cancelling:
		for _, id := range c.Jobs {
			p.cancel(id, c.At)
		}
	case Siding:
		p.Aside = slices.DeleteFunc(p.Aside, func(w model.WorkerID) bool { return w == c.Worker })
		if c.Aside {
			p.Aside = append(p.Aside, c.Worker)
		}
	case Handed:
		p.handed(c)
	default:
		if c.Epoch == p.Epoch {
			p.own(c)
		}
	}
}

// own applies a change that only the owner makes.
func (p *Plan) own(c Change) {
	if c.Kind == Noting {
		p.Note = c.Note
		return
	}
	old := p.Jobs[c.Job]
	if old == nil {
		return
	}
	if c.Kind == Placing {
		if old.Phase == Waiting && old.To == "" {
			p.edit(old, Placed, c.At, func(j *Job) {
				j.Placement++
				j.Workers, j.Note, j.Cause, j.Save = c.Workers, c.Note, "", false
			})
		}
		return
	}
	if old.Placement != c.Placement {
		return
	}
	switch {
	case c.Kind == Handing && old.Phase == Waiting && old.To == "":
		p.edit(old, Waiting, old.Since, func(j *Job) { j.To = c.Cell })
	case c.Kind == Releasing && old.Phase == Placed:
		p.edit(old, Released, c.At, func(j *Job) { j.Grant = c.Grant })
	case c.Kind == Halting && (old.Phase == Placed || old.Phase == Released):
		p.edit(old, Stopping, c.At, func(j *Job) {
			j.Cause, j.Save = c.Cause, c.Save
			if c.Cause == Failed && c.Worker != "" {
				j.Failed = append(slices.Clone(j.Failed), c.Worker)
			}
		})
	case c.Kind == Gone && old.Phase == Stopping:
		if old.Cancelled {
			p.end(old.Spec.ID, Cancelled, c.At)
			return
		}
		p.edit(old, Waiting, c.At, func(j *Job) { j.Workers, j.Grant, j.Save, j.Note = nil, 0, c.Save, nil })
	case c.Kind == Ending && old.Phase != Placed:
		// A job that has ended may have been cancelled meanwhile.
		p.end(old.Spec.ID, c.Cause, c.At)
	}
}

func (p *Plan) edit(old *Job, phase Phase, at int64, fn func(*Job)) {
	j := *old
	j.Phase, j.Since = phase, at
	fn(&j)
	p.Jobs[j.Spec.ID] = &j
}

func (p *Plan) cancel(id model.JobID, at int64) {
	old := p.Jobs[id]
	switch {
	case old == nil || old.Cancelled:
	case old.To != "":
		// The other cell may have the job already, so it stays until that cell is told.
		p.edit(old, Waiting, old.Since, func(j *Job) { j.Cancelled = true })
	case old.Phase == Waiting:
		p.end(id, Cancelled, at)
	case old.Phase == Stopping:
		p.edit(old, Stopping, old.Since, func(j *Job) { j.Cancelled = true })
	default:
		p.edit(old, Stopping, at, func(j *Job) { j.Cancelled, j.Cause = true, Cancelled })
	}
}

func (p *Plan) handed(c Change) {
	old := p.Jobs[c.Job]
	if old == nil || old.To == "" || old.To != c.Cell {
		return
	}
	if old.Cancelled {
		p.end(c.Job, Cancelled, c.At)
		return
	}
	p.end(c.Job, Moved, c.At)
}

func (p *Plan) end(id model.JobID, cause Cause, at int64) {
	delete(p.Jobs, id)
	p.Ended = append(p.Ended, Ended{Job: id, Cause: cause, At: at})
	if n := len(p.Ended) - recent; n > 0 {
		p.Ended = slices.Delete(p.Ended, 0, n)
	}
}
