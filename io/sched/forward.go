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
	// forwardTime bounds one try to send a job to another cell.
	forwardTime = 5 * time.Second
	// rehomeAfter is how long a guarantee is in shortfall before another cell gets it. A worker that is replaced at once
	// and a restart of the worker service cause no move.
	rehomeAfter = 5 * time.Second
)

// strays returns the actions that send waiting claims to the cells that hold their guarantees.
func (s *Sched) strays(id model.CellID, p *cell.Plan) []cell.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []cell.Action
	for _, j := range sorted(p) {
		if j.Spec.Guarantee == "" || j.Phase != cell.Waiting || j.To != "" {
			continue
		}
		to := s.homes[plan.Ref{Team: j.Spec.Team, Guarantee: j.Spec.Guarantee}.String()]
		if to != "" && to != id && s.controls[to] != nil {
			out = append(out, cell.Action{Job: j.Spec.ID, To: to})
		}
	}
	return out
}

// settledPlan returns the plan without the jobs that are on their way to other cells.
func settledPlan(p *cell.Plan) *cell.Plan {
	leaving := func(_ model.JobID, j *cell.Job) bool { return j.To != "" }
	for id, j := range p.Jobs {
		if leaving(id, j) {
			p = p.Clone()
			maps.DeleteFunc(p.Jobs, leaving)
			break
		}
	}
	return p
}

// forward sends the jobs that the plan gives to other cells, each once at a time.
func (c *control) forward(ctx context.Context) {
	if !c.owned.Load() {
		return
	}
	for id, j := range c.cell.Plan().Jobs {
		if j.To == "" || c.leaving[id] {
			continue
		}
		c.sched.mu.Lock()
		next := c.sched.controls[j.To]
		c.sched.mu.Unlock()
		if next == nil {
			continue
		}
		if c.leaving == nil {
			c.leaving = map[model.JobID]bool{}
		}
		c.leaving[id] = true
		c.wait.Go(func() {
			if err := c.pass(ctx, next, j); err != nil {
				c.log.Warn("sending a job to another cell", "job", string(id), "to", string(j.To), "error", err.Error())
			}
			select {
			case c.left <- id:
			case <-ctx.Done():
			}
		})
	}
}

// pass writes a job to the plan of the next cell and then removes it from this one. A try that ends in between is
// repeated: the next cell takes a job once. A job that is cancelled meanwhile is cancelled there too.
func (c *control) pass(ctx context.Context, next *control, j *cell.Job) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTime)
	defer cancel()
	id, now := j.Spec.ID, c.sched.clock().UnixMilli()
	if !j.Cancelled {
		if err := next.store(ctx, cell.Change{Kind: cell.Submitted, Spec: &j.Spec, At: j.Submitted, Cell: c.id}); err != nil {
			return err
		}
	}
	cancelThere := func() error {
		return next.store(ctx, cell.Change{Kind: cell.Cancelling, Jobs: []model.JobID{id}, At: now})
	}
	if here := c.view.Load().plan.Jobs[id]; here == nil || here.Cancelled {
		if err := cancelThere(); err != nil {
			return err
		}
	}
	if err := c.store(ctx, cell.Change{Kind: cell.Handed, Job: id, Cell: j.To, At: now}); err != nil {
		return err
	}
	ended := c.view.Load().plan.Ended
	if slices.ContainsFunc(ended, func(e cell.Ended) bool { return e.Job == id && e.Cause == cell.Cancelled }) {
		return cancelThere()
	}
	c.log.Info("job sent to another cell", "job", string(id), "to", string(j.To))
	return nil
}

// store writes a change and returns when it is durable. One that is only accepted during an outage of the store is an
// error, since it may be lost with its owner; the job stays on its way and is sent again.
func (c *control) store(ctx context.Context, change cell.Change) error {
	stored, err := c.request(ctx, change)
	if err == nil && !stored {
		return &PendingError{Cell: c.id, Cause: &OutageError{Cell: c.id}}
	}
	return err
}

// rehome gives guarantees that have been in shortfall in cells of this process to cells that have room for them. It
// runs beside the lists of workers, which must not wait for the store.
func (s *Sched) rehome(ctx context.Context) {
	if s.Rehome == nil || !s.short() || !s.rehoming.CompareAndSwap(false, true) {
		return
	}
	s.wait.Go(func() {
		defer s.rehoming.Store(false)
		s.moveHomes(ctx)
	})
}

func (s *Sched) moveHomes(ctx context.Context) {
	d, ok := s.Declaration()
	s.mu.Lock()
	workers := slices.Concat(slices.Collect(maps.Values(s.workers))...)
	s.mu.Unlock()
	if _, moved := assign.Reassign(workers, d); !ok || len(moved) == 0 {
		return
	}
	var moved []plan.Ref
	err := s.Rehome(ctx, func(former map[string]model.CellID) (map[string]model.CellID, error) {
		d.GuaranteeCells = former
		var next map[string]model.CellID
		next, moved = assign.Reassign(workers, d)
		return next, nil
	})
	if err != nil {
		s.logger().Warn("giving guarantees to other cells", "error", err.Error())
		return
	}
	for _, ref := range moved {
		s.logger().Info("guarantee given to another cell", "guarantee", ref.String())
	}
}

// short reports whether a guarantee in a cell of this process has been in shortfall for rehomeAfter, or no worker of
// its cell was listed since then.
func (s *Sched) short() bool {
	now := s.clock()
	d, _ := s.Declaration()
	s.mu.Lock()
	listed := now.Sub(s.met) < rehomeAfter
	for _, id := range d.GuaranteeCells {
		if !listed && s.workers[id] == nil {
			s.mu.Unlock()
			return true
		}
	}
	s.mu.Unlock()
	for _, c := range s.all() {
		v := c.view.Load()
		if v.owned && slices.ContainsFunc(v.decision.Shortfalls, func(f plan.Shortfall) bool { return now.Sub(f.Since) >= rehomeAfter }) {
			return true
		}
	}
	return false
}
