package cmds

import (
	"context"
	"errors"
	"slices"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
	"wagtailhoist/core/query"
	"wagtailhoist/io/admin"
	"wagtailhoist/io/conf"
	"wagtailhoist/io/sched"
)

// jobControl implements admin.Jobs: it passes operators' changes to the scheduler of the cells and reads its state.
type jobControl struct {
	sched *sched.Sched
	conf  *conf.Manager
}

var _ admin.Jobs = jobControl{}

// Submit submits a job; stored is false if the job is accepted but not yet in the store.
func (j jobControl) Submit(ctx context.Context, spec model.JobSpec) (stored bool, err error) {
	stored, err = j.sched.Submit(ctx, spec)
	return stored, schedFailure(err)
}

// Cancel cancels jobs; stored is as for Submit.
func (j jobControl) Cancel(ctx context.Context, ids []model.JobID) (stored bool, err error) {
	stored, err = j.sched.Cancel(ctx, ids)
	return stored, schedFailure(err)
}

// SetQuarantined takes a worker out of use, or returns it to use if quarantined is false; stored is as for Submit.
func (j jobControl) SetQuarantined(ctx context.Context, worker model.WorkerID, quarantined bool) (stored bool, err error) {
	stored, err = j.sched.SetQuarantined(ctx, worker, quarantined)
	return stored, schedFailure(err)
}

// schedFailure converts an error of the scheduler to an admin.Failure of the matching kind; other errors are returned
// as they are.
func schedFailure(err error) error {
	var (
		pending *sched.PendingError
		invalid *sched.InvalidError
		unknown *sched.UnknownJobsError
		full    *sched.FullError
		noCell  *sched.NoCellError
		outage  *sched.OutageError
		worker  *sched.UnknownWorkerError
	)
	switch {
	case errors.As(err, &pending):
		return &admin.Failure{Kind: admin.KindUnknown, Text: err.Error()}
	case errors.As(err, &invalid):
		return &admin.Failure{Kind: admin.KindInvalid, Text: err.Error()}
	case errors.As(err, &unknown), errors.As(err, &worker):
		return &admin.Failure{Kind: admin.KindMissing, Text: err.Error()}
	case errors.As(err, &full), errors.As(err, &noCell), errors.As(err, &outage):
		return &admin.Failure{Kind: admin.KindUnavailable, Text: err.Error()}
	}
	return err
}

// Observe adds the jobs, workers and shortfalls of all cells to the snapshot, and says what of them is missing.
func (j jobControl) Observe(_ context.Context, s *query.Snapshot) {
	view := j.sched.Snapshot()
	if len(view.Cells) == 0 {
		s.Missing = append(s.Missing, "cells: the worker service has not listed any workers yet")
	}
	for _, c := range view.Cells {
		if c.Detached {
			s.Missing = append(s.Missing, "the store in the cell "+string(c.Cell)+": it is down, and what is shown may not be stored yet")
		}
		if c.Owner == "" {
			s.Missing = append(s.Missing, "changes in the cell "+string(c.Cell)+": it has no owner")
		}
		s.Observe(planState(c, s.Declaration), plan.Decision{Waiting: waitingReasons(c), Shortfalls: c.Shortfalls})
		for i := range s.Jobs {
			if use, ok := c.UsageByJob[s.Jobs[i].Spec.ID]; ok {
				s.Jobs[i].Size, s.Jobs[i].LastStop = use.Size, use.Stopped
			}
		}
	}
}

// Cells returns the owner, the free capacity and the fragmentation of each cell.
func (j jobControl) Cells() []admin.CellStatus {
	var out []admin.CellStatus
	for _, c := range j.sched.Snapshot().Cells {
		out = append(out, admin.CellStatus{Cell: c.Cell, Owner: c.Owner, Capacity: c.Capacity, Fragmentation: c.Capacity.Fragmentation()})
	}
	return out
}

// waitingReasons returns the waiting jobs of a cell with their reasons.
func waitingReasons(c sched.CellView) []plan.Waiting {
	out := make([]plan.Waiting, len(c.Waiting))
	for i, w := range c.Waiting {
		out[i] = plan.Waiting{Job: w.Job, Reason: w.Reason}
	}
	return out
}

// planState converts the view of a cell to the input state of the planner, for use with query.Snapshot.Observe.
func planState(c sched.CellView, d model.Declaration) *plan.State {
	s := &plan.State{
		Cell: c.Cell, Policy: d.Policy, Teams: d.Teams, Evacuated: d.Evacuate,
		Workers: map[model.WorkerID]plan.WorkerState{}, Jobs: map[model.JobID]*plan.Job{},
		History: map[string]plan.RunHistory{}, Cancelled: map[model.JobID]time.Time{},
	}
	for _, w := range c.Workers {
		host := c.WorkerStates[w.ID]
		host.Worker = w
		s.Workers[w.ID] = host
	}
	for _, r := range c.Running {
		job := &plan.Job{
			Spec: r.Spec, Phase: sched.PlanPhases[r.Phase], Started: r.Since, Submitted: r.Since, Run: r.Placement, Anchored: r.Anchored,
		}
		for _, w := range r.Workers {
			job.Slots = addSlot(job.Slots, plan.Slot{Worker: w, Tasks: 1, GPUs: r.GPUs})
		}
		s.Jobs[r.Job] = job
	}
	for _, w := range c.Waiting {
		job := &plan.Job{Spec: w.Spec, Phase: plan.Queued, Submitted: w.Since}
		if w.Reason.Permanent() {
			job.Phase, job.Refusal = plan.Refused, w.Reason
		}
		s.Jobs[w.Job] = job
	}
	for _, h := range c.Holds {
		addReservation(s, h, d)
	}
	for _, short := range c.Shortfalls {
		if a := ensureAnchor(s, short.Team, short.Guarantee, d); a != nil {
			a.Shortfall, a.Slots = &short, nil
		}
	}
	return s
}

// addReservation adds to the state what is reserved on one worker, either for a job or for the anchor of a guarantee.
func addReservation(s *plan.State, h sched.Hold, d model.Declaration) {
	slot := plan.Slot{Worker: h.Worker, Tasks: 1, GPUs: h.GPUs}
	if h.Job != "" {
		if job := s.Jobs[h.Job]; job != nil {
			job.ReservedSlots, job.ReservedStart = append(job.ReservedSlots, slot), h.Due
		}
		return
	}
	if a := ensureAnchor(s, h.Team, h.Guarantee, d); a != nil {
		if perTask := a.Guarantee.Shape.GPUs; perTask > 0 {
			slot.Tasks = h.GPUs / perTask
		}
		a.Slots = append(a.Slots, slot)
	}
}

// ensureAnchor returns the anchor of a guarantee and adds it to the state if it is missing. It returns
// nil if the guarantee is no longer declared.
func ensureAnchor(s *plan.State, team model.Team, name string, d model.Declaration) *plan.Anchor {
	for i, a := range s.Anchors {
		if a.Team == team && a.Guarantee.Name == name {
			return &s.Anchors[i]
		}
	}
	for _, t := range d.Teams {
		if t.Name != team {
			continue
		}
		if i := slices.IndexFunc(t.Guarantees, func(g model.Guarantee) bool { return g.Name == name }); i >= 0 {
			s.Anchors = append(s.Anchors, plan.Anchor{Team: team, Guarantee: t.Guarantees[i]})
			return &s.Anchors[len(s.Anchors)-1]
		}
	}
	return nil
}

// addSlot adds the tasks and accelerators of a slot to the slot of the same worker, or appends it.
func addSlot(slots []plan.Slot, added plan.Slot) []plan.Slot {
	for i := range slots {
		if slots[i].Worker == added.Worker {
			slots[i].Tasks += added.Tasks
			slots[i].GPUs += added.GPUs
			return slots
		}
	}
	return append(slots, added)
}
