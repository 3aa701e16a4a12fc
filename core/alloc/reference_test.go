package alloc

import (
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// referencePlan is the plan as it was before it kept slices by worker, cached candidates and known misfits: each step is
// compared with all workers. Plan must take the same decisions. It shares only the methods of plan that use neither workers
// nor caches: waitedForRack, needsPreemption, awaitUntil, latestEnd, stopCost and tasksOnWorker.
type referencePlan struct {
	*plan
	now, wall                            time.Time
	workers                              []*worker
	free, freeAfterStops                 map[*worker]batch.Amount
	reserved                             map[*worker]time.Time
	gangReservations, singleReservations int
}

// referencePlanOf is Plan with a referencePlan.
func referencePlanOf(s *Scheduler, now, wall time.Time) {
	s.needsPlan = false
	pendingSteps := s.pendingSteps(now, wall, s.guaranteedJobs(wall))
	if len(pendingSteps) > 0 && s.dueCharges(now) != nil {
		s.chargeRuns(now)
	}
	p := &referencePlan{
		plan: &plan{Scheduler: s, now: now, wall: wall}, now: now, wall: wall, workers: s.sorted,
		free: map[*worker]batch.Amount{}, freeAfterStops: map[*worker]batch.Amount{}, reserved: map[*worker]time.Time{},
	}
	for _, w := range p.workers {
		p.free[w] = w.freeCapacity()
		p.freeAfterStops[w] = p.free[w]
		for _, t := range w.runs {
			if t.mustStop {
				p.freeAfterStops[w] = p.freeAfterStops[w].Add(t.job.job.Steps[t.Step].Allocation())
			}
		}
	}
	if s.Settings.TeamOrder == ByShare {
		pendingSteps = p.inTurns(pendingSteps)
	}
	for _, ps := range pendingSteps {
		p.placeStep(ps)
	}
}

// inTurns returns the steps in the order in which teams take turns. It compares each step with all others, and decides by usage
// and weight alone.
func (p *referencePlan) inTurns(steps []*pendingStep) []*pendingStep {
	var ordered []*pendingStep
	for _, ps := range steps {
		ps.order, ps.turn = ByDeadline, 0
		var teams []model.Team
		need, free := batch.Amount{}, batch.Amount{}
		for _, other := range steps {
			if other.queue.Service != ps.queue.Service {
				continue
			}
			for range other.tasks {
				need = need.Add(other.step.Allocation())
			}
			if other.rank() == ps.rank() && other.ownRank() && !slices.Contains(teams, other.job.job.Team) {
				teams = append(teams, other.job.job.Team)
			}
		}
		for _, w := range p.workers {
			if w.usable(p.now, ps.queue.Service) {
				free = free.Add(p.free[w])
			}
		}
		if ps.ownRank() && len(teams) > 1 && !free.Contains(need) {
			slices.Sort(teams)
			ps.order = ByShare
			ps.turn = p.usage.Rank(p.now, ps.job.job.Team) - p.usage.CommonRank(p.now, teams)
			objective := ps.queue.Objective(p.criticalPath(&ps.job.job))
			late := p.now.Sub(ps.deadline)
			if ps.turn > 0 && late > -objective/2 {
				ps.turn = 0
			}
			if late > objective/2 {
				ps.turn = firstTurn
			}
		}
		at := len(ordered)
		for at > 0 && ps.before(ordered[at-1]) {
			at--
		}
		ordered = slices.Insert(ordered, at, ps)
	}
	return ordered
}

// ownRank reports whether a step is neither guaranteed nor long-running nor of no use, which have ranks of their own.
func (ps *pendingStep) ownRank() bool {
	return !ps.guaranteed && !ps.step.LongRunning && ps.timeliness != tooLate
}

// before reports whether a step comes before one that follows it by deadline.
func (ps *pendingStep) before(other *pendingStep) bool {
	return ps.ownRank() && other.ownRank() && ps.queue.Priority == other.queue.Priority && ps.turn < other.turn
}

// placeStep places the tasks of a step, and makes room for those that don't fit.
func (p *referencePlan) placeStep(ps *pendingStep) {
	if !ps.step.Gang {
		p.placeTasks(ps)
		return
	}
	if assigned := p.assignGang(ps, p.free); assigned != nil {
		p.recordPlacement(ps, ps.tasks, assigned)
		return
	}
	p.makeRoom(ps, ps.tasks)
}

// placeTasks places the tasks of a step that is not a gang one by one.
func (p *referencePlan) placeTasks(ps *pendingStep) {
	for i, t := range ps.tasks {
		// Where workers of other racks are allowed, p.better still prefers those in the data's rack.
		assigned := p.assignTasks(ps, []*task{t}, p.free, p.candidates(ps), !p.allowsRemote(ps))
		if assigned == nil {
			// The remaining tasks need as much, so that none of them fits either.
			p.makeRoom(ps, ps.tasks[i:])
			return
		}
		p.recordPlacement(ps, []*task{t}, assigned)
	}
}

// allowsRemote reports whether a step may run outside of its data's rack, or a rack-local one on several racks: once it has waited
// for its rack, and at once if the rack is in an evacuated data centre and has no ready worker in another one.
func (p *referencePlan) allowsRemote(ps *pendingStep) bool {
	if ps.step.DataRack == "" {
		return !ps.step.RackLocal || p.waitedForRack(ps)
	}
	if p.waitedForRack(ps) {
		return true
	}
	evacuated, ready := p.evacuated[p.racks[ps.step.DataRack]] != nil, false
	for _, w := range p.workers {
		if w.rack() == ps.step.DataRack {
			inService := p.evacuated[w.Centre] == nil
			evacuated = evacuated || !inService
			ready = ready || inService && w.ready(ps.queue.Service)
		}
	}
	return evacuated && !ready
}

// workerGroups returns the sets of workers on which all tasks of a step may be placed together, the preferred ones first.
func (p *referencePlan) workerGroups(ps *pendingStep) [][]*worker {
	all := p.candidates(ps)
	allowRemote := p.allowsRemote(ps)
	if ps.step.DataRack == "" && !ps.step.RackLocal {
		return [][]*worker{all}
	}
	racks := map[string][]*worker{}
	var names []string
	for _, w := range all {
		if racks[w.rack()] == nil {
			names = append(names, w.rack())
		}
		racks[w.rack()] = append(racks[w.rack()], w)
	}
	var workerGroups [][]*worker
	possible := false
	for _, name := range names {
		if ps.step.DataRack != "" && name != ps.step.DataRack && !allowRemote {
			continue
		}
		if p.fitsWhenIdle(ps, racks[name]) {
			possible = true
			workerGroups = append(workerGroups, racks[name])
		}
	}
	if allowRemote && (!ps.step.RackLocal || p.waitedForRack(ps)) || !possible {
		workerGroups = append(workerGroups, all)
	}
	return workerGroups
}

// candidates returns the workers that may run the step's tasks, regardless of their free capacity.
func (p *referencePlan) candidates(ps *pendingStep) []*worker {
	var list []*worker
	for _, w := range p.workers {
		if w.usable(p.now, ps.queue.Service) && w.hasLabel(ps.step.RequiredLabel) && !w.conflictsWith(ps.step) {
			list = append(list, w)
		}
	}
	return list
}

// assignGang returns a worker for each task of a gang, or nil if they don't fit. It chooses the group of workers on which the
// fewest tasks are on cold workers, and among these the one with the fewest free accelerators.
func (p *referencePlan) assignGang(ps *pendingStep, free map[*worker]batch.Amount) []*worker {
	var best []*worker
	var bestFree int64
	bestCold := 0
	workerGroups := p.workerGroups(ps)
	for i, group := range workerGroups {
		if best != nil && i > 0 && len(group) > len(workerGroups[0]) {
			// The last group may hold all workers; it is only for gangs that don't fit into a rack.
			break
		}
		assigned := p.assignTasks(ps, ps.tasks, free, group, false)
		if assigned == nil {
			continue
		}
		freeGPUs := int64(0)
		for _, w := range group {
			freeGPUs += free[w].GPU
		}
		cold := 0
		for _, w := range assigned {
			if w.cold(p.now) {
				cold++
			}
		}
		if best == nil || cold < bestCold || cold == bestCold && freeGPUs < bestFree {
			best, bestFree, bestCold = assigned, freeGPUs, cold
		}
	}
	return best
}

// fitsWhenIdle reports whether all tasks of a step would fit on the workers if they had no runs.
func (p *referencePlan) fitsWhenIdle(ps *pendingStep, workers []*worker) bool {
	idle := make(map[*worker]batch.Amount, len(workers))
	for _, w := range workers {
		idle[w] = w.Capacity
	}
	return p.assignTasks(ps, ps.tasks, idle, workers, false) != nil
}

// assignTasks returns the best worker for each task, or nil if not all of them fit. If inDataRack is set, only
// workers in the rack of the step's data are used.
func (p *referencePlan) assignTasks(ps *pendingStep, tasks []*task, free map[*worker]batch.Amount, workers []*worker, inDataRack bool) []*worker {
	need := ps.step.Allocation()
	remaining := free
	if len(tasks) > 1 {
		remaining = make(map[*worker]batch.Amount, len(workers))
		for _, w := range workers {
			remaining[w] = free[w]
		}
	}
	var tasksPerWorker map[*worker]int
	if ps.step.MaxPerWorker > 0 {
		tasksPerWorker = make(map[*worker]int, len(workers))
		for _, w := range workers {
			tasksPerWorker[w] = p.tasksOnWorker(ps, tasks[0], w)
		}
	}
	assigned := make([]*worker, 0, len(tasks))
	for range tasks {
		var best *worker
		for _, w := range workers {
			if !remaining[w].Contains(need) || inDataRack && ps.step.DataRack != "" && w.rack() != ps.step.DataRack ||
				!p.endsBeforeReservation(ps, w) {
				continue
			}
			if ps.step.MaxPerWorker > 0 && tasksPerWorker[w] >= ps.step.MaxPerWorker {
				continue
			}
			if best == nil || p.better(ps, w, best, remaining) {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		assigned = append(assigned, best)
		if len(tasks) > 1 {
			remaining[best] = remaining[best].Sub(need)
		}
		if tasksPerWorker != nil {
			tasksPerWorker[best]++
		}
	}
	return assigned
}

// better reports whether w is a better worker for the step than v: first one in the data's rack, then one with fewer
// failures in a row, then a warm one, then the best fit, which is the one with the least free capacity.
func (p *referencePlan) better(ps *pendingStep, w, v *worker, remaining map[*worker]batch.Amount) bool {
	if ps.step.DataRack != "" && (w.rack() == ps.step.DataRack) != (v.rack() == ps.step.DataRack) {
		return w.rack() == ps.step.DataRack
	}
	if w.failureStreak != v.failureStreak {
		return w.failureStreak < v.failureStreak
	}
	if w, v := w.cold(p.now), v.cold(p.now); w != v {
		return v
	}
	if remaining[w].GPU != remaining[v].GPU {
		return remaining[w].GPU < remaining[v].GPU
	}
	return remaining[w].CPU < remaining[v].CPU
}

// endsBeforeReservation reports whether a task of the step would end before the worker's reservation, if it has one.
func (p *referencePlan) endsBeforeReservation(ps *pendingStep, w *worker) bool {
	until, reserved := p.reserved[w]
	return !reserved || p.now.Add(ps.estimate).Before(until)
}

// recordPlacement records a new run for each task on its assigned worker. Members of a gang share the run number.
func (p *referencePlan) recordPlacement(ps *pendingStep, tasks []*task, assigned []*worker) {
	run := 0
	for _, t := range tasks {
		run = max(run, t.Run+1)
	}
	j := ps.job
	j.markChanged()
	placementReason := ps.placementReason(p.now)
	for i, t := range tasks {
		w := assigned[i]
		t.resetRun()
		t.Phase, t.Run, t.Worker, t.placedGeneration, t.chargedAt = batch.TaskPlaced, run, w.ID, j.generation, p.now
		w.runs[t.id(j)] = t
		p.free[w] = p.free[w].Sub(j.job.Steps[t.Step].Allocation())
		p.freeAfterStops[w] = p.freeAfterStops[w].Sub(j.job.Steps[t.Step].Allocation())
		p.trace("placed", batch.RunID{Task: t.id(j), Run: run}, w.ID, placementReason)
	}
}

// makeRoom handles tasks that don't fit now. They wait for runs that are being stopped if these free enough capacity.
// Otherwise other runs are preempted for guaranteed and urgent tasks. If that isn't possible, workers are reserved for gangs
// and large tasks.
func (p *referencePlan) makeRoom(ps *pendingStep, tasks []*task) {
	assigned := p.assignAfterStops(ps, tasks)
	if assigned == nil && (ps.guaranteed || p.needsPreemption(ps)) {
		free, awaited := p.freeAfterEnds(ps)
		assigned = p.assign(ps, tasks, free)
		if assigned == nil && p.preempt(ps, tasks, free, awaited) {
			free, _ = p.freeAfterEnds(ps)
			assigned = p.assign(ps, tasks, free)
		}
	}
	if assigned != nil {
		for _, w := range assigned {
			p.free[w] = p.free[w].Sub(ps.step.Allocation())
			p.freeAfterStops[w] = p.freeAfterStops[w].Sub(ps.step.Allocation())
		}
		return
	}
	if ps.timeliness != tooLate && (ps.step.Gang || ps.step.Need.GPU >= largeTaskGPUs) {
		p.reserveWorkers(ps, tasks)
	}
}

// assignAfterStops returns a worker for each task as of the end of the runs that are being stopped, or nil if they don't fit.
func (p *referencePlan) assignAfterStops(ps *pendingStep, tasks []*task) []*worker {
	return p.assign(ps, tasks, p.freeAfterStops)
}

// assign returns a worker for each task with the given free capacity, or nil if they don't fit.
func (p *referencePlan) assign(ps *pendingStep, tasks []*task, free map[*worker]batch.Amount) []*worker {
	if ps.step.Gang {
		return p.assignGang(ps, free)
	}
	return p.assignTasks(ps, tasks, free, p.candidates(ps), false)
}

// freeAfterEnds returns the capacity after the ordered stops and after the ends for which a step may wait, and the runs that
// are waited for.
func (p *referencePlan) freeAfterEnds(ps *pendingStep) (map[*worker]batch.Amount, map[*task]bool) {
	free, awaited := maps.Clone(p.freeAfterStops), map[*task]bool{}
	until := p.awaitUntil(ps)
	for _, w := range p.workers {
		for _, t := range w.runs {
			at, ok := p.latestEnd(p.now, t)
			if ok && until.After(p.now) && !at.After(until) && !at.After(p.now.Add(stopDuration)) {
				awaited[t] = true
				free[w] = free[w].Add(t.job.job.Steps[t.Step].Allocation())
			}
		}
	}
	return free, awaited
}
