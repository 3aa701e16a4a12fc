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
	return ps.queue.Priority == 0 && ps.timeliness == onTime && p.now.Add(ps.step.Estimate+preemptionLead).After(ps.deadline)
}

// preempt stops the runs that lose the least work until the tasks fit, and reports whether they do. It is mainly for jobs
// that claim their team's guarantee while others borrow its accelerators. For other jobs, nothing is stopped if that would
// lose more work than the tasks are estimated to need.
func (p *plan) preempt(ps *pendingStep, tasks []*task) bool {
	victims := p.victims(ps)
	var best []victim
	found := false
	for _, group := range p.workerGroups(ps) {
		chosen, ok := p.preemptOn(ps, tasks, group, append([]victim(nil), victims...))
		if ok && (!found || totalCost(chosen) < totalCost(best)) {
			best, found = chosen, true
		}
	}
	if !found || !ps.guaranteed && totalCost(best) > ps.estimatedWork(len(tasks)) {
		return false
	}
	for _, v := range best {
		p.stopVictim(ps, v)
	}
	return true
}

// preemptOn returns the victims that must be stopped for the tasks to fit on a group of workers, and whether they would fit.
func (p *plan) preemptOn(ps *pendingStep, tasks []*task, group []*worker, victims []victim) ([]victim, bool) {
	free := make(map[*worker]batch.Amount, len(p.freeAfterStops))
	for w, a := range p.freeAfterStops {
		free[w] = a
	}
	inside := make(map[string]bool, len(group))
	for _, w := range group {
		inside[w.ID] = true
	}
	victims = slices.DeleteFunc(victims, func(v victim) bool {
		return !slices.ContainsFunc(v.tasks, func(t *task) bool { return inside[t.Worker] })
	})
	var chosen []victim
	for len(victims) > 0 && p.assignTasks(ps, tasks, free, group, false) == nil {
		i := p.bestVictim(ps, victims, free)
		p.addAllocation(free, victims[i], 1)
		chosen = append(chosen, victims[i])
		victims = append(victims[:i], victims[i+1:]...)
	}
	if p.assignTasks(ps, tasks, free, group, false) == nil {
		return nil, false
	}
	return p.minimalVictims(ps, tasks, free, group, chosen), true
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
	return float64(tasks) * ps.step.Estimate.Seconds() * ps.step.Need.Cores()
}

// minimalVictims returns the chosen victims without those that needn't be stopped for the tasks to fit. The most expensive
// ones are left out first.
func (p *plan) minimalVictims(ps *pendingStep, tasks []*task, free map[*worker]batch.Amount, workers []*worker, chosen []victim) []victim {
	sort.SliceStable(chosen, func(x, y int) bool { return chosen[x].cost > chosen[y].cost })
	var required []victim
	for _, v := range chosen {
		p.addAllocation(free, v, -1)
		if p.assignTasks(ps, tasks, free, workers, false) == nil {
			p.addAllocation(free, v, 1)
			required = append(required, v)
		}
	}
	return required
}

// addAllocation adds what the victim's runs use to the free capacity of their workers, or subtracts it if sign is negative.
func (p *plan) addAllocation(free map[*worker]batch.Amount, v victim, sign int) {
	for _, t := range v.tasks {
		w := p.Scheduler.worker(t.Worker)
		amount := t.job.job.Steps[t.Step].Allocation()
		if sign > 0 {
			free[w] = free[w].Add(amount)
		} else {
			free[w] = free[w].Sub(amount)
		}
	}
}

// stopVictim stops the victim's runs for the tasks of a step.
func (p *plan) stopVictim(ps *pendingStep, v victim) {
	for _, t := range v.tasks {
		t.mustStop = true
		w := p.Scheduler.worker(t.Worker)
		p.freeAfterStops[w] = p.freeAfterStops[w].Add(t.job.job.Steps[t.Step].Allocation())
		p.trace("stop", batch.RunID{Task: t.id(t.job), Run: t.Run}, t.Worker, "room for "+string(ps.job.job.ID))
	}
}

// bestVictim returns the index of the victim to be stopped next: the cheapest, with the cost multiplied by the number of
// accelerators that its worker lacks for a task, so that workers with nearly enough are preferred. Victims on workers that
// already have enough come last.
func (p *plan) bestVictim(ps *pendingStep, victims []victim, free map[*worker]batch.Amount) int {
	best, bestCost := 0, 0.0
	for i, v := range victims {
		cost := v.cost
		w := p.Scheduler.worker(v.tasks[0].Worker)
		missing := ps.step.Need.GPU - free[w].GPU
		if missing <= 0 && free[w].Contains(ps.step.Allocation()) {
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
// limit on their unavailability, nor, unless the step is guaranteed, those of the same or a higher priority.
func (p *plan) victims(ps *pendingStep) []victim {
	guaranteedJobs := p.guaranteedJobs(p.wall)
	seen := map[*task]bool{}
	var list []victim
	for _, w := range p.workers {
		if !w.usable(p.now, ps.queue.Service) {
			continue
		}
		for _, id := range w.sortedRuns() {
			t := w.runs[id]
			if seen[t] || t.mustStop || guaranteedJobs[t.job.job.ID] {
				continue
			}
			step := &t.job.job.Steps[t.Step]
			if step.LongRunning && step.MaxUnavailable != nil || !ps.guaranteed && p.policy.QueueFor(&t.job.job).Priority <= ps.queue.Priority {
				continue
			}
			v := victim{tasks: []*task{t}}
			if step.Gang {
				v.tasks = v.tasks[:0]
				for _, m := range t.job.gangMembers(t) {
					if m.Phase == batch.TaskPlaced && !m.mustStop {
						v.tasks = append(v.tasks, m)
					}
				}
			}
			for _, m := range v.tasks {
				seen[m] = true
				v.cost += p.stopCost(m, step)
			}
			list = append(list, v)
		}
	}
	return list
}

// minLostTime is the run time that a stop costs at least: for ending, placing and restarting the run.
const minLostTime = 500 * time.Millisecond

// stopCost returns the work that is lost by stopping a run, in core seconds.
func (p *plan) stopCost(t *task, step *batch.Step) float64 {
	lostTime := minLostTime
	if !step.Checkpoints && t.confirmed {
		lostTime += p.now.Sub(t.startedAt)
	}
	return lostTime.Seconds() * step.Need.Cores()
}
