package sched

import (
	"context"
	"slices"
	"sync"
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
	// fitEvery spaces the search for jobs that can't ever start here, which costs a trial decision for each job.
	fitEvery = 30 * time.Second
	// balanceJobs is the number of jobs in a try.
	balanceJobs = 16
)

// taker tells which jobs a cell would start at once, and which it could start if it was empty.
type taker interface {
	Takes(now time.Time, in Input, jobs []model.JobSpec) []model.JobID
	Fits(now time.Time, in Input, jobs []model.JobSpec) []model.JobID
}

// Takes makes a trial decision on a cell, with jobs that are submitted to it now.
func (d *driver) Takes(now time.Time, in Input, jobs []model.JobSpec) []model.JobID {
	in.Plan = settledPlan(in.Plan)
	d.sync(now, in)
	return plan.StartableJobs(now, d.state, jobs)
}

// Fits makes trial decisions on a cell without its jobs.
func (d *driver) Fits(now time.Time, in Input, jobs []model.JobSpec) []model.JobID {
	in.Plan = settledPlan(in.Plan)
	d.sync(now, in)
	return plan.FeasibleJobs(now, d.state, jobs)
}

// balance sends jobs that wait here to cells that would start them at once, and those that can't ever start here to
// cells where they can.
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
	fit := !now.Before(c.nextFit)
	if fit {
		c.nextFit = now.Add(fitEvery)
	}
	c.balancing.Store(true)
	c.wait.Go(func() {
		defer c.balancing.Store(false)
		if actions := c.sched.placeElsewhere(ctx, c, jobs, fit); len(actions) > 0 {
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

// trial is what trial decisions on a cell need.
type trial struct {
	taker
	in Input
}

// placeElsewhere returns the actions that send jobs to cells that would start them at once and, with fit, those that
// can't ever start here to cells where they can.
func (s *Sched) placeElsewhere(ctx context.Context, from *control, jobs []model.JobSpec, fit bool) []cell.Action {
	var out []cell.Action
	send := func(to model.CellID, taken []model.JobID) {
		for _, id := range taken {
			out = append(out, cell.Action{Job: id, To: to})
		}
		jobs = slices.DeleteFunc(jobs, func(j model.JobSpec) bool { return slices.Contains(taken, j.ID) })
	}
	others := s.otherTrials(ctx, from)
	for _, t := range others {
		if len(jobs) == 0 {
			return out
		}
		send(t.in.Cell, t.Takes(s.clock(), t.in, jobs))
	}
	if !fit || len(jobs) == 0 || len(others) == 0 {
		return out
	}
	here, ok := s.trial(from)
	if !ok {
		return out
	}
	fitting := here.Fits(s.clock(), here.in, jobs)
	jobs = slices.DeleteFunc(jobs, func(j model.JobSpec) bool { return slices.Contains(fitting, j.ID) })
	for _, t := range others {
		if len(jobs) == 0 {
			break
		}
		send(t.in.Cell, t.Fits(s.clock(), t.in, jobs))
	}
	return out
}

// otherTrials reads the plans of all cells but one. Their order differs by the one left out, so that senders don't fill
// the same cell first.
func (s *Sched) otherTrials(ctx context.Context, from *control) []trial {
	all := s.all()
	i := slices.Index(all, from)
	var out []trial
	for _, c := range slices.Concat(all[i+1:], all[:i]) {
		if c.upToDate(ctx) {
			if t, ok := s.trial(c); ok {
				out = append(out, t)
			}
		}
	}
	return out
}

// trial returns what a trial decision on a cell needs, if it has an owner.
func (s *Sched) trial(c *control) (trial, bool) {
	t, isTaker := s.newDecider().(taker)
	in, known := s.inputs(c.id)
	p := c.view.Load().plan
	return trial{t, Input{Cell: c.id, Plan: p, Workers: in.workers, Declaration: in.declaration}}, isTaker && known && p.Epoch > 0
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

// refreshAll reads the plans of all cells with other owners. Without an answer in time a plan stays as last known.
func (s *Sched) refreshAll(ctx context.Context) []*control {
	all := s.all()
	var wait sync.WaitGroup
	for _, c := range all {
		wait.Go(func() { c.upToDate(ctx) })
	}
	wait.Wait()
	return all
}

// knows reports whether any cell knows a job, and whether its plan is stored as shown. A job may be in another cell than
// that of its first submission.
func (s *Sched) knows(ctx context.Context, id model.JobID) (known, stored bool) {
	for _, c := range s.refreshAll(ctx) {
		if v := c.view.Load(); v.plan.Has(id) {
			return true, !v.detached
		}
	}
	return false, false
}
