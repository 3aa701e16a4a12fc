package alloc

import (
	"slices"
	"sort"
	"time"

	"wagtailhoist/core/batch"
)

// preemptionLead is how long before the latest possible start of a step of priority 0 other runs are preempted for it. A
// stop takes up to 900 ms, and the start has to wait for a write to the store.
const preemptionLead = 1200 * time.Millisecond

// needsPreemption reports whether a step of priority 0 misses its objective unless others are preempted now. It is for
// bursts of urgent jobs that exceed their team's guarantee.
func (p *plan) needsPreemption(ps *pendingStep) bool {
	return ps.queue.Priority == 0 && ps.timeliness == onTime && p.now.Add(ps.estimate+preemptionLead).After(ps.deadline)
}

// preempt stops the runs that lose the least work until the tasks fit, and reports whether they do. It is mainly for jobs
// that claim their team's guarantee while others borrow its accelerators. For other jobs, nothing is stopped if that would
// lose more work than the tasks are estimated to need. free is the capacity without any further stop, and contains that of the
// awaited runs, which aren't stopped.
func (p *plan) preempt(ps *pendingStep, tasks []*task, free []batch.Amount, awaited map[*task]bool) bool {
	if awaited == nil && !ps.queue.RequiresTicket && knownMisfit(p.notByPreemption, ps, len(tasks)) {
		return false
	}
	victims := p.victims(ps, awaited)
	var best []victim
	found := false
	for _, group := range p.workerGroups(ps) {
		chosen, ok := p.preemptOn(ps, tasks, group, free, victims)
		if ok && (!found || totalCost(chosen) < totalCost(best)) {
			best, found = chosen, true
		}
	}
	if !found && awaited == nil {
		p.notByPreemption = recordMisfit(p.notByPreemption, ps, len(tasks))
	}
	if !found || !ps.guaranteed && totalCost(best) > ps.estimatedWork(len(tasks)) {
		return false
	}
	for _, v := range best {
		p.stopVictim(ps, v)
	}
	return true
}

// freed is the capacity of a group of workers while victims are chosen for the tasks of a step.
type freed struct {
	plan  *plan
	ps    *pendingStep
	tasks []*task
	free  []batch.Amount
	// inside marks the workers of the group; slots holds the number of tasks that fit on each of them, and total their sum.
	inside []bool
	slots  []int
	total  int
}

// add adds what the victim's runs use to the free capacity of their workers, or subtracts it if sign is negative.
func (f *freed) add(v victim, sign int) {
	for _, t := range v.tasks {
		w := f.plan.Scheduler.worker(t.Worker)
		amount := t.job.job.Steps[t.Step].Allocation()
		if sign > 0 {
			f.free[w.index] = f.free[w.index].Add(amount)
		} else {
			f.free[w.index] = f.free[w.index].Sub(amount)
		}
		f.count(w)
	}
}

// count updates the number of tasks that fit on a worker.
func (f *freed) count(w *worker) {
	if !f.inside[w.index] {
		return
	}
	n := f.plan.slots(f.ps, f.tasks[0], w, f.free[w.index], len(f.tasks))
	f.total += n - f.slots[w.index]
	f.slots[w.index] = n
}

// fits reports whether all tasks fit.
func (f *freed) fits() bool { return f.total >= len(f.tasks) }

// preemptOn returns the victims that must be stopped for the tasks to fit on a group of workers, and whether they would fit.
func (p *plan) preemptOn(ps *pendingStep, tasks []*task, group []*worker, free []batch.Amount, all []victim) ([]victim, bool) {
	f := &freed{
		plan: p, ps: ps, tasks: tasks, free: slices.Clone(free),
		inside: make([]bool, len(p.workers)), slots: make([]int, len(p.workers)),
	}
	for _, w := range group {
		f.inside[w.index] = true
		f.count(w)
	}
	victims := make([]victim, 0, len(all))
	for _, v := range all {
		if slices.ContainsFunc(v.tasks, func(t *task) bool { return f.inside[p.Scheduler.worker(t.Worker).index] }) {
			victims = append(victims, v)
		}
	}
	if !p.fitsWithAllStopped(f, victims) {
		return nil, false
	}
	var chosen []victim
	for len(victims) > 0 && !f.fits() {
		i := p.bestVictim(ps, victims, f.free)
		f.add(victims[i], 1)
		chosen = append(chosen, victims[i])
		victims = append(victims[:i], victims[i+1:]...)
	}
	if !f.fits() {
		return nil, false
	}
	return minimalVictims(f, chosen), true
}

// fitsWithAllStopped reports whether the tasks would fit if all victims were stopped.
func (p *plan) fitsWithAllStopped(f *freed, victims []victim) bool {
	for _, v := range victims {
		f.add(v, 1)
	}
	fits := f.fits()
	for _, v := range victims {
		f.add(v, -1)
	}
	return fits
}

// totalCost returns the work that is lost by stopping the victims, in core seconds.
func totalCost(victims []victim) float64 {
	sum := 0.0
	for _, v := range victims {
		sum += v.cost
	}
	return sum
}

// estimatedWork returns the estimated work of a number of the step's tasks, in core seconds.
func (ps *pendingStep) estimatedWork(tasks int) float64 {
	return float64(tasks) * ps.estimate.Seconds() * ps.step.Need.Cores()
}

// minimalVictims returns the chosen victims without those that needn't be stopped for the tasks to fit. The most expensive
// ones are left out first.
func minimalVictims(f *freed, chosen []victim) []victim {
	sort.SliceStable(chosen, func(x, y int) bool { return chosen[x].cost > chosen[y].cost })
	var required []victim
	for _, v := range chosen {
		f.add(v, -1)
		if !f.fits() {
			f.add(v, 1)
			required = append(required, v)
		}
	}
	return required
}

// stopVictim stops the victim's runs for the tasks of a step.
func (p *plan) stopVictim(ps *pendingStep, v victim) {
	for _, t := range v.tasks {
		p.orderStop(t)
		w := p.Scheduler.worker(t.Worker)
		p.freeAfterStops[w.index] = p.freeAfterStops[w.index].Add(t.job.job.Steps[t.Step].Allocation())
		p.expected[w.index] = nil
		p.traceStop(t, "room for "+string(ps.job.job.ID))
	}
	p.notAfterStops = nil
}

// bestVictim returns the index of the victim to be stopped next: the cheapest, with the cost multiplied by the number of
// accelerators that its worker lacks for a task, so that workers with nearly enough are preferred. Victims on workers that
// already have enough come last.
func (p *plan) bestVictim(ps *pendingStep, victims []victim, free []batch.Amount) int {
	best, bestCost := 0, 0.0
	need := ps.step.Allocation()
	for i := range victims {
		v := &victims[i]
		cost := v.cost
		missing := ps.step.Need.GPU - free[v.worker.index].GPU
		if missing <= 0 && free[v.worker.index].Contains(need) {
			cost += 1e6
		}
		cost *= 1 + float64(max(0, missing))
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// victims returns the runs that may be preempted for a step: not those of guaranteed jobs, nor long-running ones with a
// limit on their unavailability, nor awaited ones, nor, unless the step is guaranteed, those of the same or a higher priority.
func (p *plan) victims(ps *pendingStep, awaited map[*task]bool) []victim {
	if p.placements != p.victimPlacements {
		clear(p.victimLists)
		p.victimPlacements = p.placements
	}
	all, cached := p.victimLists[ps.queue.Service]
	if !cached {
		all = p.listVictims(ps.queue.Service)
		p.victimLists[ps.queue.Service] = all
	}
	list := make([]victim, 0, len(all))
	for _, v := range all {
		// The members of a gang are stopped together.
		if !v.tasks[0].mustStop && !slices.ContainsFunc(v.tasks, func(t *task) bool { return awaited[t] }) &&
			(ps.guaranteed || v.priority > ps.queue.Priority) {
			list = append(list, v)
		}
	}
	return list
}

// listVictims returns the runs on the workers of a service that may be preempted for guaranteed steps.
func (p *plan) listVictims(service string) []victim {
	seen := map[*task]bool{}
	var list []victim
	for _, w := range p.workers {
		if !w.usable(p.now, service) {
			continue
		}
		for _, id := range w.sortedRuns() {
			t := w.runs[id]
			step := &t.job.job.Steps[t.Step]
			if t.mustStop || p.guaranteedJobs[id.Job] || step.LongRunning && step.MaxUnavailable != nil || step.Gang && seen[t] {
				continue
			}
			v := victim{tasks: []*task{t}, priority: p.policy.QueueFor(&t.job.job).Priority}
			if step.Gang {
				v.tasks = v.tasks[:0]
				for _, m := range t.job.gangMembers(t) {
					if m.Phase == batch.TaskPlaced && !m.mustStop {
						v.tasks = append(v.tasks, m)
					}
				}
			}
			v.worker = p.Scheduler.worker(v.tasks[0].Worker)
			for _, m := range v.tasks {
				if step.Gang {
					seen[m] = true
				}
				v.cost += p.stopCost(m, step)
			}
			list = append(list, v)
		}
	}
	return list
}

// minLostTime is the run time that a stop costs at least: for ending, placing and restarting the run.
const minLostTime = 500 * time.Millisecond

// stopCost returns the work that is lost by stopping a run, in core seconds: since its start, or since its last checkpoint.
// A run with checkpoints that lists none saves its work when it is stopped. The nearer a run is to its end, the more a stop
// delays its job, and the sooner its capacity would have become free anyhow; at its end the cost counts twice.
func (p *plan) stopCost(t *task, step *batch.Step) float64 {
	lostTime := minLostTime
	if !t.confirmed {
		return lostTime.Seconds() * step.Need.Cores()
	}
	switch {
	case !step.Checkpoints:
		lostTime += p.now.Sub(t.startedAt)
	case !t.checkpointedAt.IsZero():
		lostTime += p.now.Sub(t.checkpointedAt)
	}
	return lostTime.Seconds() * step.Need.Cores() * (1 + p.doneShare(t))
}

// doneShare returns the share of a run's time that has passed, 0 if too little is known.
func (p *plan) doneShare(t *task) float64 {
	prediction := p.predictRun(t)
	if prediction.Samples() < minAwaitedSamples || t.job.job.Steps[t.Step].LongRunning {
		return 0
	}
	elapsed := p.now.Sub(t.startedAt)
	remaining := p.remainingTime(p.now, t)
	if elapsed+remaining <= 0 {
		return 0
	}
	return float64(elapsed) / float64(elapsed+remaining)
}
