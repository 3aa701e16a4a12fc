package sched

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// refreshTimeout bounds the wait for the plan of a cell with another owner.
const refreshTimeout = 500 * time.Millisecond

// Hold is a part of a worker that is kept free, either for a guarantee or for a job with a reservation.
type Hold struct {
	Worker model.WorkerID `json:"worker"`
	GPUs   int            `json:"gpus"`
	Team   model.Team     `json:"team"`
	// Guarantee is the guarantee that has an anchor on the worker.
	Guarantee string `json:"guarantee,omitempty"`
	// Job is the job with the reservation, expected to start at Due.
	Job model.JobID `json:"job,omitempty"`
	Due time.Time   `json:"due,omitzero"`
}

// Run is a job that is placed on workers.
type Run struct {
	Spec      model.JobSpec `json:"spec"`
	Job       model.JobID   `json:"job"`
	Team      model.Team    `json:"team"`
	Placement int           `json:"placement"`
	Phase     cell.Phase    `json:"phase"`
	// Workers holds the worker of each task; each task uses GPUs accelerators of its worker.
	Workers []model.WorkerID `json:"workers"`
	GPUs    int              `json:"gpus"`
	Since   time.Time        `json:"since"`
	// Anchored is true if the job runs on the anchors of its guarantee.
	Anchored bool `json:"anchored,omitempty"`
	// Cause is why a stopping job is being stopped.
	Cause cell.Cause `json:"cause,omitempty"`
}

// Wait is a job that waits for its start, with the reason.
type Wait struct {
	Spec   model.JobSpec `json:"spec"`
	Job    model.JobID   `json:"job"`
	Team   model.Team    `json:"team"`
	Since  time.Time     `json:"since"`
	Reason plan.Reason   `json:"reason"`
	// LastStop is why the last placement of the job ended, if it had one.
	LastStop cell.Cause `json:"last,omitempty"`
}

// CellView is the state of a cell as this process knows it.
type CellView struct {
	Cell  model.CellID `json:"cell"`
	Owner model.NodeID `json:"owner"`
	Epoch model.Epoch  `json:"epoch"`
	// Owned is true if this process is the owner; the views of other processes lag behind.
	Owned bool `json:"owned"`
	// Detached is true while this process schedules during an outage of the store; the view may not be stored yet.
	Detached bool           `json:"detached,omitempty"`
	Revision uint64         `json:"revision"`
	Workers  []model.Worker `json:"workers"`
	// WorkerStates holds the state of each worker as of the last decision, with failures and quarantine.
	WorkerStates map[model.WorkerID]plan.WorkerState `json:"hosts"`
	Running      []Run                               `json:"running"`
	Holds        []Hold                              `json:"held"`
	Waiting      []Wait                              `json:"waiting"`
	Shortfalls   []plan.Shortfall                    `json:"shortfalls"`
	Ended        []cell.Ended                        `json:"ended"`
	Capacity     plan.FreeCapacity                   `json:"room"`
	// UsageByJob holds the sizes of the jobs whose usage is known.
	UsageByJob map[model.JobID]JobUsage `json:"uses"`
}

// Snapshot is the state of all cells as this process knows them, in the order of their names.
type Snapshot struct {
	At    time.Time  `json:"at"`
	Cells []CellView `json:"cells"`
}

// compare orders identifiers as strings.
func compare[T ~string](a, b T) int { return cmp.Compare(a, b) }

// Snapshot returns the running and waiting jobs, holds and workers of all cells. It reads the plans of other owners first.
func (s *Sched) Snapshot() Snapshot {
	controllers := s.refreshAllViews(context.Background())
	out := Snapshot{At: s.clock()}
	for _, c := range controllers {
		out.Cells = append(out.Cells, c.buildView(out.At))
	}
	return out
}

// FreeCapacities returns the free and reclaimable accelerators of each cell that this process owns, as of the cell's last decision.
func (s *Sched) FreeCapacities() map[model.CellID]plan.FreeCapacity {
	out := map[model.CellID]plan.FreeCapacity{}
	for _, c := range s.allControllers() {
		if v := c.view.Load(); v.owned && v.decided {
			out[c.id] = v.decision.Capacity
		}
	}
	return out
}

// buildView returns the state of the cell at a time.
func (c *controller) buildView(now time.Time) CellView {
	v := c.view.Load()
	in, ok := c.sched.cellInputs(c.id)
	decision := v.decision
	if !v.owned && ok {
		// Another process makes the decisions. A decision on the plan as known here gives the reasons of the waiting jobs.
		decision = c.sched.newDecider().Decide(now, Input{
			Cell: c.id, Plan: v.plan, Workers: in.workers, Declaration: in.declaration,
		})
	}
	out := CellView{
		Cell: c.id, Owner: v.plan.Owner, Epoch: v.plan.Epoch, Owned: v.owned, Detached: v.detached, Revision: v.plan.Revision,
		Workers: in.workers, WorkerStates: decision.WorkerStates, Holds: decision.Holds, Shortfalls: decision.Shortfalls, Ended: v.plan.Ended,
		Capacity:   decision.Capacity,
		UsageByJob: decision.UsageByJob,
	}
	reasons := make(map[model.JobID]plan.Reason, len(decision.Waiting))
	for _, w := range decision.Waiting {
		reasons[w.Job] = w.Reason
	}
	for _, j := range jobsBySequence(v.plan) {
		if j.Phase == cell.Waiting {
			if j.HandoverTo != "" {
				reasons[j.Spec.ID] = plan.Reason{Code: plan.GuaranteeShortfall, Guarantee: j.Spec.Guarantee}
			}
			out.Waiting = append(out.Waiting, Wait{
				Spec: j.Spec, Job: j.Spec.ID, Team: j.Spec.Team, Since: time.UnixMilli(j.Submitted),
				Reason: reasons[j.Spec.ID], LastStop: j.Cause,
			})
			continue
		}
		var note placementNote
		if cbor.Unmarshal(j.Note, &note) != nil {
			note = placementNote{}
		}
		out.Running = append(out.Running, Run{
			Spec: j.Spec, Anchored: note.Anchored, Job: j.Spec.ID, Team: j.Spec.Team, Placement: j.Placement, Phase: j.Phase,
			Workers: slices.Clone(j.Workers), GPUs: j.Spec.Shape.GPUs, Since: time.UnixMilli(j.PhaseSince), Cause: j.Cause,
		})
	}
	return out
}
