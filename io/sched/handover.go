package sched

import (
	"context"
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/assign"
	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

const (
	// handoverTimeout bounds one attempt to hand a job over to another cell.
	handoverTimeout = 5 * time.Second
	// reassignAfter is how long a guarantee is in shortfall before it is moved to another cell, so that a worker that is
	// replaced at once or a restart of the worker service doesn't move it.
	reassignAfter = 5 * time.Second
)

// guaranteeHandovers returns the actions that hand waiting jobs with a guarantee over to the cell that the guarantee is
// assigned to now.
func (s *Sched) guaranteeHandovers(id model.CellID, p *cell.Plan) []cell.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []cell.Action
	for _, j := range jobsBySequence(p) {
		if j.Spec.Guarantee == "" || j.Phase != cell.Waiting || j.HandoverTo != "" {
			continue
		}
		to := s.guaranteeCells[plan.Ref{Team: j.Spec.Team, Guarantee: j.Spec.Guarantee}.String()]
		if to != "" && to != id && s.controllers[to] != nil {
			out = append(out, cell.Action{Job: j.Spec.ID, HandoverTo: to})
		}
	}
	return out
}

// withoutHandovers returns the plan without the jobs that are being handed over to other cells.
func withoutHandovers(p *cell.Plan) *cell.Plan {
	handingOver := func(_ model.JobID, j *cell.Job) bool { return j.HandoverTo != "" }
	for id, j := range p.Jobs {
		if handingOver(id, j) {
			p = p.Clone()
			maps.DeleteFunc(p.Jobs, handingOver)
			break
		}
	}
	return p
}

// startHandovers starts an attempt for each job that the plan hands over to another cell, unless one is in progress.
func (c *controller) startHandovers(ctx context.Context) {
	if !c.owned.Load() {
		return
	}
	for id, j := range c.cell.Plan().Jobs {
		if j.HandoverTo == "" || c.handingOver[id] {
			continue
		}
		c.sched.mu.Lock()
		target := c.sched.controllers[j.HandoverTo]
		c.sched.mu.Unlock()
		if target == nil {
			continue
		}
		if c.handingOver == nil {
			c.handingOver = map[model.JobID]bool{}
		}
		c.handingOver[id] = true
		c.goroutines.Go(func() {
			if err := c.handOverJob(ctx, target, j); err != nil {
				c.log.Warn("handing a job over to another cell failed; it is tried again",
					"job", string(id), "to", string(j.HandoverTo), "error", err.Error())
			}
			select {
			case c.handoverEnded <- id:
			case <-ctx.Done():
			}
		})
	}
}

// handOverJob writes a job to the plan of the target cell and then removes it from the plan of this one. An attempt that ends
// in between is repeated, and the target adds the job only once. A job that is cancelled meanwhile is cancelled at the target
// too.
func (c *controller) handOverJob(ctx context.Context, target *controller, j *cell.Job) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	id, now := j.Spec.ID, c.sched.clock().UnixMilli()
	if !j.Cancelled {
		if err := target.writeDurably(ctx, cell.Change{Kind: cell.JobSubmitted, Spec: &j.Spec, At: j.Submitted, Cell: c.id}); err != nil {
			return err
		}
	}
	cancelAtTarget := func() error {
		return target.writeDurably(ctx, cell.Change{Kind: cell.JobsCancelled, Jobs: []model.JobID{id}, At: now})
	}
	if here := c.view.Load().plan.Jobs[id]; here == nil || here.Cancelled {
		if err := cancelAtTarget(); err != nil {
			return err
		}
	}
	if err := c.writeDurably(ctx, cell.Change{Kind: cell.JobHandoverDone, Job: id, Cell: j.HandoverTo, At: now}); err != nil {
		return err
	}
	ended := c.view.Load().plan.Ended
	if slices.ContainsFunc(ended, func(e cell.Ended) bool { return e.Job == id && e.Cause == cell.Cancelled }) {
		return cancelAtTarget()
	}
	c.log.Info("job handed over to another cell", "job", string(id), "to", string(j.HandoverTo))
	return nil
}

// writeDurably writes a change and returns when it is durable. A change that is only accepted during an outage of the store
// may be lost with the owner, so it returns an error for it, and the handover is repeated.
func (c *controller) writeDurably(ctx context.Context, change cell.Change) error {
	stored, err := c.writeChanges(ctx, change)
	if err == nil && !stored {
		return &PendingError{Cell: c.id, Cause: &OutageError{Cell: c.id}}
	}
	return err
}

// startReassignment moves guarantees whose shortfall persists to cells with enough capacity. It does so in a goroutine of its
// own, since the next list of the workers must not wait for the store.
func (s *Sched) startReassignment(ctx context.Context) {
	if s.StoreReassignment == nil || !s.shortfallPersists() || !s.reassigning.CompareAndSwap(false, true) {
		return
	}
	s.goroutines.Go(func() {
		defer s.reassigning.Store(false)
		s.moveGuarantees(ctx)
	})
}

// moveGuarantees assigns guarantees that don't fit into their cells any more to other cells, and stores the assignment.
func (s *Sched) moveGuarantees(ctx context.Context) {
	d, ok := s.Declaration()
	s.mu.Lock()
	workers := slices.Concat(slices.Collect(maps.Values(s.workers))...)
	s.mu.Unlock()
	if _, moved := assign.Reassign(workers, d); !ok || len(moved) == 0 {
		return
	}
	var moved []plan.Ref
	err := s.StoreReassignment(ctx, func(former map[string]model.CellID) (map[string]model.CellID, error) {
		d.GuaranteeCells = former
		var next map[string]model.CellID
		next, moved = assign.Reassign(workers, d)
		return next, nil
	})
	if err != nil {
		s.logger().Warn("moving guarantees to other cells failed", "error", err.Error())
		return
	}
	for _, ref := range moved {
		s.logger().Info("guarantee moved to another cell", "guarantee", ref.String())
	}
}

// shortfallPersists reports whether a guarantee in a cell that this process owns has been in shortfall for reassignAfter, or,
// once reassignAfter has passed since the first list of the workers, the cell of any guarantee has no listed worker.
func (s *Sched) shortfallPersists() bool {
	now := s.clock()
	d, _ := s.Declaration()
	s.mu.Lock()
	justListed := now.Sub(s.firstListed) < reassignAfter
	for _, id := range d.GuaranteeCells {
		if !justListed && s.workers[id] == nil {
			s.mu.Unlock()
			return true
		}
	}
	s.mu.Unlock()
	for _, c := range s.allControllers() {
		v := c.view.Load()
		if v.owned && slices.ContainsFunc(v.decision.Shortfalls, func(shortfall plan.Shortfall) bool { return now.Sub(shortfall.Since) >= reassignAfter }) {
			return true
		}
	}
	return false
}
