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
	// balanceAfter is how long a job waits in its cell before it may be handed over to another one.
	balanceAfter = 2 * time.Second
	// balanceInterval is the shortest time between two balancing rounds of a cell. A round reads the plans of the other cells
	// and makes a trial decision on each of them.
	balanceInterval = 2 * time.Second
	// feasibilityInterval is the shortest time between two searches for jobs that can never start in their cell. A search
	// makes a trial decision for each job.
	feasibilityInterval = 30 * time.Second
	// maxBalanceJobs bounds the jobs in a round.
	maxBalanceJobs = 16
)

// trialDecider makes trial decisions, which start no jobs.
type trialDecider interface {
	// Startable returns the jobs that a cell would start at once.
	Startable(now time.Time, in Input, jobs []model.JobSpec) []model.JobID
	// Feasible returns the jobs that a cell could start if it had no jobs.
	Feasible(now time.Time, in Input, jobs []model.JobSpec) []model.JobID
}

// Startable returns the jobs that a cell would start at once if they were submitted to it now.
func (d *planDecider) Startable(now time.Time, in Input, jobs []model.JobSpec) []model.JobID {
	in.Plan = withoutHandovers(in.Plan)
	d.syncState(now, in)
	return plan.StartableJobs(now, d.state, jobs)
}

// Feasible returns the jobs that a cell could start if it had no jobs.
func (d *planDecider) Feasible(now time.Time, in Input, jobs []model.JobSpec) []model.JobID {
	in.Plan = withoutHandovers(in.Plan)
	d.syncState(now, in)
	return plan.FeasibleJobs(now, d.state, jobs)
}

// balance hands waiting jobs over to cells that would start them at once, and jobs that can never start in this cell to cells
// where they can. The trial decisions run in a goroutine of their own.
func (c *controller) balance(ctx context.Context) {
	now := c.sched.clock()
	if !c.cell.Owns(now) || c.cell.Detached() || now.Before(c.nextBalance) || c.balancing.Load() {
		return
	}
	jobs := c.longWaitingJobs(now)
	if len(jobs) == 0 {
		return
	}
	c.nextBalance = now.Add(balanceInterval)
	searchFeasible := !now.Before(c.nextFeasibilitySearch)
	if searchFeasible {
		c.nextFeasibilitySearch = now.Add(feasibilityInterval)
	}
	c.balancing.Store(true)
	c.goroutines.Go(func() {
		defer c.balancing.Store(false)
		if actions := c.sched.placeElsewhere(ctx, c, jobs, searchFeasible); len(actions) > 0 {
			c.sendEvent(ctx, cell.DecisionMade{Actions: actions})
		}
	})
}

// longWaitingJobs returns the first maxBalanceJobs jobs, in the order of submission, that have waited here for balanceAfter.
// Jobs with a guarantee stay in the cell of the guarantee, and jobs that have run before stay with their checkpoints.
func (c *controller) longWaitingJobs(now time.Time) []model.JobSpec {
	p := c.cell.Plan()
	waitingSince := make(map[model.JobID]time.Time, len(c.decision.Waiting))
	var out []*cell.Job
	for _, w := range c.decision.Waiting {
		j := p.Jobs[w.Job]
		if j == nil || j.Phase != cell.Waiting || j.HandoverTo != "" || j.Placement > 0 || j.Spec.Guarantee != "" ||
			w.Reason.Permanent() || w.Reason.Code == plan.Reclaiming || w.Reason.Code == plan.Quota {
			continue
		}
		since, seen := c.waitingSince[w.Job]
		if !seen {
			since = now
		}
		waitingSince[w.Job] = since
		if now.Sub(since) >= balanceAfter {
			out = append(out, j)
		}
	}
	c.waitingSince = waitingSince
	slices.SortFunc(out, func(a, b *cell.Job) int { return int(a.Sequence) - int(b.Sequence) })
	specs := make([]model.JobSpec, 0, maxBalanceJobs)
	for _, j := range out[:min(len(out), maxBalanceJobs)] {
		specs = append(specs, j.Spec)
	}
	return specs
}

// trial holds a decider and the input for trial decisions on a cell.
type trial struct {
	trialDecider
	input Input
}

// placeElsewhere returns the actions that hand jobs over to cells that would start them at once and, with searchFeasible, jobs
// that can never start in the cell that they come from to cells where they can.
func (s *Sched) placeElsewhere(ctx context.Context, from *controller, jobs []model.JobSpec, searchFeasible bool) []cell.Action {
	var out []cell.Action
	addHandovers := func(to model.CellID, ids []model.JobID) {
		for _, id := range ids {
			out = append(out, cell.Action{Job: id, HandoverTo: to})
		}
		jobs = slices.DeleteFunc(jobs, func(j model.JobSpec) bool { return slices.Contains(ids, j.ID) })
	}
	others := s.trialsElsewhere(ctx, from)
	for _, t := range others {
		if len(jobs) == 0 {
			return out
		}
		addHandovers(t.input.Cell, t.Startable(s.clock(), t.input, jobs))
	}
	if !searchFeasible || len(jobs) == 0 || len(others) == 0 {
		return out
	}
	here, ok := s.trial(from)
	if !ok {
		return out
	}
	feasibleHere := here.Feasible(s.clock(), here.input, jobs)
	jobs = slices.DeleteFunc(jobs, func(j model.JobSpec) bool { return slices.Contains(feasibleHere, j.ID) })
	for _, t := range others {
		if len(jobs) == 0 {
			break
		}
		addHandovers(t.input.Cell, t.Feasible(s.clock(), t.input, jobs))
	}
	return out
}

// trialsElsewhere reads the plans of the other cells and returns their trials. The order begins with the cell after from, so
// that different cells don't all fill the same one first.
func (s *Sched) trialsElsewhere(ctx context.Context, from *controller) []trial {
	allControllers := s.allControllers()
	i := slices.Index(allControllers, from)
	var out []trial
	for _, c := range slices.Concat(allControllers[i+1:], allControllers[:i]) {
		if c.refreshUnlessOwned(ctx) {
			if t, ok := s.trial(c); ok {
				out = append(out, t)
			}
		}
	}
	return out
}

// trial returns the trial of a cell, and false if the cell never had an owner, its inputs are unknown or its decider makes no
// trial decisions.
func (s *Sched) trial(c *controller) (trial, bool) {
	t, hasTrials := s.newDecider().(trialDecider)
	in, known := s.cellInputs(c.id)
	p := c.view.Load().plan
	return trial{t, Input{Cell: c.id, Plan: p, Workers: in.workers, Declaration: in.declaration}}, hasTrials && known && p.Epoch > 0
}

// refreshUnlessOwned reads the plan of a cell that this process doesn't own, and reports whether the view is up to date.
func (c *controller) refreshUnlessOwned(ctx context.Context) bool {
	if c.owned.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	return c.refreshView(ctx) == nil
}

// refreshAllViews reads the plans of all cells that this process doesn't own, and returns all controllers. A view whose plan
// isn't read within refreshTimeout stays as it was.
func (s *Sched) refreshAllViews(ctx context.Context) []*controller {
	allControllers := s.allControllers()
	var wait sync.WaitGroup
	for _, c := range allControllers {
		wait.Go(func() { c.refreshUnlessOwned(ctx) })
	}
	wait.Wait()
	return allControllers
}

// findJob reports whether the plan of any cell has a job, and whether that plan is in the store, not only in this process
// during an outage of the store. All cells are searched, since a job may have been handed over since its first submission.
func (s *Sched) findJob(ctx context.Context, id model.JobID) (known, stored bool) {
	for _, c := range s.refreshAllViews(ctx) {
		if v := c.view.Load(); v.plan.Has(id) {
			return true, !v.detached
		}
	}
	return false, false
}
