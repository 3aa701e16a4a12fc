package sched

import (
	"context"
	"slices"
	"time"

	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

const (
	// balanceAfter is how long a job waits in its cell before other cells are tried.
	balanceAfter = 2 * time.Second
	// balanceEvery spaces the tries of a cell. Each reads the plans of the other cells and makes a trial decision on
	// each of them.
	balanceEvery = 2 * time.Second
	// balanceJobs is the number of jobs in a try.
	balanceJobs = 16
)

// taker tells which jobs a cell would start at once.
type taker interface {
	Takes(now time.Time, in Input, jobs []model.JobSpec) []model.JobID
}

// Takes makes a trial decision on a cell, with jobs that are submitted to it now.
func (d *driver) Takes(now time.Time, in Input, jobs []model.JobSpec) []model.JobID {
	in.Plan = settledPlan(in.Plan)
	d.sync(now, in)
	return plan.Takes(now, d.state, jobs)
}

// balance sends jobs that wait here to cells that would start them at once.
func (c *control) balance(ctx context.Context) {
	now := c.sched.clock()
	if !c.cell.Owns(now) || c.cell.Detached() || now.Before(c.nextBalance) || c.balancing.Load() {
		return
	}
	jobs := c.stuck(now)
	if len(jobs) == 0 {
		return
	}
	c.nextBalance = now.Add(balanceEvery)
	c.balancing.Store(true)
	c.wait.Go(func() {
		defer c.balancing.Store(false)
		if actions := c.sched.placeElsewhere(ctx, c, jobs); len(actions) > 0 {
			c.send(ctx, cell.Decided{Actions: actions})
		}
	})
}

// stuck returns jobs that have waited here for balanceAfter, in the order of submission. Claims stay with their
// guarantees, and jobs that have run before with their checkpoints.
func (c *control) stuck(now time.Time) []model.JobSpec {
	p := c.cell.Plan()
	waits := make(map[model.JobID]time.Time, len(c.decision.Waiting))
	var out []*cell.Job
	for _, w := range c.decision.Waiting {
		j := p.Jobs[w.Job]
		if j == nil || j.Phase != cell.Waiting || j.To != "" || j.Placement > 0 || j.Spec.Guarantee != "" ||
			w.Reason.Final() || w.Reason.Code == plan.Reclaiming || w.Reason.Code == plan.Quota {
			continue
		}
		since, seen := c.waits[w.Job]
		if !seen {
			since = now
		}
		waits[w.Job] = since
		if now.Sub(since) >= balanceAfter {
			out = append(out, j)
		}
	}
	c.waits = waits
	slices.SortFunc(out, func(a, b *cell.Job) int { return int(a.Sequence) - int(b.Sequence) })
	specs := make([]model.JobSpec, 0, balanceJobs)
	for _, j := range out[:min(len(out), balanceJobs)] {
		specs = append(specs, j.Spec)
	}
	return specs
}

// placeElsewhere returns the actions that send jobs to other cells than from. The order of the cells differs by the
// sender, so that senders don't fill the same cell first.
func (s *Sched) placeElsewhere(ctx context.Context, from *control, jobs []model.JobSpec) []cell.Action {
	all := s.all()
	i := slices.Index(all, from)
	var out []cell.Action
	for _, next := range slices.Concat(all[i+1:], all[:i]) {
		if len(jobs) == 0 {
			break
		}
		decider, ok := s.newDecider().(taker)
		if !ok || !next.upToDate(ctx) {
			continue
		}
		in, ok := s.inputs(next.id)
		p := next.view.Load().plan
		if !ok || p.Epoch == 0 {
			continue
		}
		taken := decider.Takes(s.clock(), Input{Cell: next.id, Plan: p, Workers: in.workers, Declaration: in.declaration}, jobs)
		for _, id := range taken {
			out = append(out, cell.Action{Job: id, To: next.id})
		}
		jobs = slices.DeleteFunc(jobs, func(j model.JobSpec) bool { return slices.Contains(taken, j.ID) })
	}
	return out
}

// upToDate reads the plan of a cell with another owner, and reports whether the view shows the present one.
func (c *control) upToDate(ctx context.Context) bool {
	if c.owned.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, refreshWait)
	defer cancel()
	return c.refresh(ctx) == nil
}

// knows reports whether any cell knows a job, and whether its plan is stored as shown. A job may be in another cell than
// that of its first submission.
func (s *Sched) knows(ctx context.Context, id model.JobID) (known, stored bool) {
	all := s.all()
	fresh := make(chan bool, len(all))
	for _, c := range all {
		go func() { fresh <- c.upToDate(ctx) }()
	}
	for range all {
		<-fresh
	}
	for _, c := range all {
		if v := c.view.Load(); v.plan.Has(id) {
			return true, !v.detached
		}
	}
	return false, false
}
