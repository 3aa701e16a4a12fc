package alloc

import (
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

const (
	// maxGangReservations limits the gangs with reserved workers.
	maxGangReservations = 5
	// largeTaskGPUs is the number of accelerators from which workers are reserved for single tasks, half of the eight of a
	// worker: the capacity that smaller tasks leave free is seldom enough for them.
	largeTaskGPUs = 4
	// singleReservationDivisor limits the workers that are reserved for single tasks to one in so many, so that a job with
	// many tasks leaves workers for others.
	singleReservationDivisor = 4
)

// plan is one pass over the pending steps. Slices by worker are indexed by worker.index.
type plan struct {
	*Scheduler
	now, wall time.Time
	workers   []*worker
	// free is the free capacity of each worker, freeAfterStops that after the end of the runs that are being stopped.
	free, freeAfterStops []batch.Amount
	// reserved holds the time from which each worker is reserved, zero for the others. Only runs that end before that time
	// are placed there.
	reserved []time.Time
	// cold marks the cold workers; it is nil if there are none.
	cold []bool
	// gangReservations counts the gangs with reserved workers, singleReservations the workers reserved for single tasks.
	gangReservations, singleReservations int
	// guaranteedJobs are the jobs that fit into their team's guarantee.
	guaranteedJobs map[model.JobID]bool
	// placements counts the tasks that this plan has placed.
	placements int

	// candidateLists caches the candidates of steps that don't depend on what else runs on a worker.
	candidateLists map[candidateKey][]*worker
	// evacuatedRacks caches rackEvacuated.
	evacuatedRacks map[rackKey]bool
	// expected caches the expected ends of each worker's runs, nil where they have to be determined.
	expected [][]expectedEnd
	// victimLists caches the runs that may be preempted, by service, as of victimPlacements placements.
	victimLists      map[string][]victim
	victimPlacements int
	// ends holds the ends that are expected soon, once endsKnown is set.
	ends      []awaitedEnd
	endsKnown bool
	// notPlaceable, notAfterStops and notByPreemption hold what didn't fit into the free capacity, into the capacity after
	// the ordered stops, and after preemption.
	notPlaceable, notAfterStops, notByPreemption []misfit
}

// candidateKey identifies the steps that have the same candidates.
type candidateKey struct{ service, label string }

// misfit is a number of equal tasks that don't fit on any of the candidates.
type misfit struct {
	candidateKey
	// guaranteed reports whether the misfit holds for guaranteed steps; it then holds for the others too.
	guaranteed bool
	need       batch.Amount
	tasks      int
	estimate   time.Duration
}

// covers reports whether the tasks of a step can't fit either, because they need at least as much on the same or fewer
// workers.
func (m *misfit) covers(ps *pendingStep, tasks int) bool {
	return m.service == ps.queue.Service && (m.label == "" || m.label == ps.step.RequiredLabel) && (m.guaranteed || !ps.guaranteed) &&
		tasks >= m.tasks && ps.estimate >= m.estimate && ps.step.Allocation().Contains(m.need)
}

// knownMisfit reports whether tasks of a step certainly don't fit.
func knownMisfit(list []misfit, ps *pendingStep, tasks int) bool {
	for i := range list {
		if list[i].covers(ps, tasks) {
			return true
		}
	}
	return false
}

// recordMisfit adds the tasks of a step that don't fit. A step with restrictions of its own says nothing about others.
func recordMisfit(list []misfit, ps *pendingStep, tasks int) []misfit {
	step := ps.step
	if step.DataRack != "" || step.RackLocal || step.MaxPerWorker > 0 || step.CPUExempt || step.MaxTailLatency > 0 || ps.queue.RequiresTicket {
		return list
	}
	return append(list, misfit{ps.candidateKey(), ps.guaranteed, step.Allocation(), tasks, ps.estimate})
}

func (ps *pendingStep) candidateKey() candidateKey {
	return candidateKey{ps.queue.Service, ps.step.RequiredLabel}
}

// Plan places waiting tasks and preempts runs for tasks that are guaranteed or would be late.
func (s *Scheduler) Plan(now, wall time.Time) {
	s.needsPlan = false
	s.adviceQueries = nil
	guaranteedJobs := s.guaranteedJobs(wall)
	pendingSteps := s.pendingSteps(now, wall, guaranteedJobs)
	s.planned = pendingSteps
	if len(pendingSteps) == 0 {
		return
	}
	used := s.dueCharges(now)
	p := s.newPlan(now, wall, guaranteedJobs, used)
	if s.Settings.TeamOrder == ByShare {
		s.charge(now, used)
		p.takeTurns(pendingSteps)
	}
	for _, ps := range pendingSteps {
		p.placeStep(ps)
	}
}

// newPlan returns a plan with the present capacity of all workers, and adds what their runs have used to used unless it is nil.
func (s *Scheduler) newPlan(now, wall time.Time, guaranteedJobs map[model.JobID]bool, used []int64) *plan {
	n := len(s.sorted)
	p := &plan{
		Scheduler: s, now: now, wall: wall, workers: s.sorted, guaranteedJobs: guaranteedJobs,
		free: make([]batch.Amount, n), freeAfterStops: make([]batch.Amount, n), reserved: make([]time.Time, n),
		expected: make([][]expectedEnd, n), candidateLists: map[candidateKey][]*worker{}, victimLists: map[string][]victim{},
	}
	for i, w := range p.workers {
		p.free[i] = w.freeCapacity()
		p.freeAfterStops[i] = p.free[i]
		if w.cold(now) {
			if p.cold == nil {
				p.cold = make([]bool, n)
			}
			p.cold[i] = true
		}
		for _, t := range w.runs {
			if used != nil {
				used[t.job.team] += t.uncharged(now)
			}
			if t.mustStop {
				p.freeAfterStops[i] = p.freeAfterStops[i].Add(t.job.job.Steps[t.Step].Allocation())
			}
		}
	}
	return p
}

// NeedsPlan reports whether the state has changed since the last Plan, so that another one may place tasks.
func (s *Scheduler) NeedsPlan() bool { return s.needsPlan }

// placeStep places the tasks of a step, and makes room for those that don't fit.
func (p *plan) placeStep(ps *pendingStep) {
	if !ps.step.Gang {
		p.placeTasks(ps)
		return
	}
	// The candidates of a queue with tickets are always determined, since that adds queries for tickets.
	if ps.queue.RequiresTicket || !knownMisfit(p.notPlaceable, ps, len(ps.tasks)) {
		if assigned := p.assignGang(ps, p.free); assigned != nil {
			p.recordPlacement(ps, ps.tasks, assigned)
			return
		}
		p.notPlaceable = recordMisfit(p.notPlaceable, ps, len(ps.tasks))
	}
	p.makeRoom(ps, ps.tasks)
}

// placeTasks places the tasks of a step that is not a gang, as many as fit.
func (p *plan) placeTasks(ps *pendingStep) {
	var assigned []*worker
	if ps.queue.RequiresTicket || !knownMisfit(p.notPlaceable, ps, 1) {
		// Where workers of other racks are allowed, p.better still prefers those in the data's rack.
		assigned = p.assignUpTo(ps, ps.tasks, p.free, p.candidates(ps), !p.allowsRemote(ps))
		for i, w := range assigned {
			p.recordPlacement(ps, ps.tasks[i:i+1], []*worker{w})
		}
		if len(assigned) == len(ps.tasks) {
			return
		}
		p.notPlaceable = recordMisfit(p.notPlaceable, ps, 1)
	}
	p.makeRoom(ps, ps.tasks[len(assigned):])
}

// guaranteedLocalWait is how long guaranteed jobs wait for workers in their data's rack, or in one rack. On other workers
// they would miss their objective as surely as by waiting, but a team must get its guarantee within about three seconds.
const guaranteedLocalWait = 1200 * time.Millisecond

// allowsRemote reports whether a step may run outside of its data's rack, or a rack-local one on several racks. For
// guaranteed jobs that is so after guaranteedLocalWait, for others once the job is older than twice the time that a task
// loses by running there. If the data's rack can't be used because of an evacuation, other racks are allowed at once.
func (p *plan) allowsRemote(ps *pendingStep) bool {
	if ps.step.DataRack == "" && !ps.step.RackLocal {
		return true
	}
	return p.waitedForRack(ps) || p.rackEvacuated(ps.queue.Service, ps.step.DataRack)
}

// waitedForRack reports whether a step has waited as long as it should for a place in its data's rack, or in one rack.
func (p *plan) waitedForRack(ps *pendingStep) bool {
	age := p.now.Sub(ps.job.acceptedAt)
	if ps.guaranteed {
		return age > guaranteedLocalWait
	}
	return age > time.Duration((p.remoteSlowdown()-1)*2*float64(ps.estimate))
}

// workerGroups returns the sets of workers on which all tasks of a step may be placed together, the preferred ones first.
func (p *plan) workerGroups(ps *pendingStep) [][]*worker {
	all := p.candidates(ps)
	allowRemote := p.allowsRemote(ps)
	if ps.step.DataRack == "" && !ps.step.RackLocal {
		return [][]*worker{all}
	}
	// A rack-local step whose data's rack is evacuated goes to another rack at once, but not yet to several.
	allowSpread := allowRemote && (!ps.step.RackLocal || p.waitedForRack(ps))
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
	if allowSpread || !possible {
		workerGroups = append(workerGroups, all)
	}
	return workerGroups
}

// candidates returns the workers that may run the step's tasks, regardless of their free capacity.
func (p *plan) candidates(ps *pendingStep) []*worker {
	conflicts := ps.step.CPUExempt || ps.step.MaxTailLatency > 0
	list, cached := p.candidateLists[ps.candidateKey()]
	if !cached || conflicts {
		list = nil
		for _, w := range p.workers {
			if w.usable(p.now, ps.queue.Service) && w.hasLabel(ps.step.RequiredLabel) && !w.conflictsWith(ps.step) {
				list = append(list, w)
			}
		}
		if !conflicts {
			p.candidateLists[ps.candidateKey()] = list
		}
	}
	if ps.queue.RequiresTicket {
		return p.workersWithTicket(ps, list)
	}
	return list
}

// assignGang returns a worker for each task of a gang, or nil if they don't fit. It chooses the group of workers on which the
// fewest tasks are on cold workers, and among these the one with the fewest free accelerators.
func (p *plan) assignGang(ps *pendingStep, free []batch.Amount) []*worker {
	var best []*worker
	var bestFree int64
	bestCold := 0
	workerGroups := p.workerGroups(ps)
	for i, group := range workerGroups {
		if best != nil && i > 0 && len(group) > len(workerGroups[0]) {
			// The last group may hold all workers; it is only for gangs that don't fit into a rack.
			break
		}
		assigned := p.assignTasks(ps, ps.tasks, free, group)
		if assigned == nil {
			continue
		}
		freeGPUs := int64(0)
		for _, w := range group {
			freeGPUs += free[w.index].GPU
		}
		if cold := p.countCold(assigned); best == nil || cold < bestCold || cold == bestCold && freeGPUs < bestFree {
			best, bestFree, bestCold = assigned, freeGPUs, cold
		}
	}
	return best
}

// countCold returns the number of cold workers among those assigned, with repetitions.
func (p *plan) countCold(assigned []*worker) int {
	n := 0
	if p.cold != nil {
		for _, w := range assigned {
			if p.cold[w.index] {
				n++
			}
		}
	}
	return n
}

// fitsWhenIdle reports whether all tasks of a step would fit on the workers if they had no runs.
func (p *plan) fitsWhenIdle(ps *pendingStep, workers []*worker) bool {
	slots := 0
	for _, w := range workers {
		slots += p.slots(ps, ps.tasks[0], w, w.Capacity, len(ps.tasks))
	}
	return slots >= len(ps.tasks)
}

// slots returns how many tasks of t's step can be placed on a worker with the given free capacity, at most limit.
func (p *plan) slots(ps *pendingStep, t *task, w *worker, free batch.Amount, limit int) int {
	if !p.endsBeforeReservation(ps, w) {
		return 0
	}
	own := 0
	if ps.step.MaxPerWorker > 0 {
		own = p.tasksOnWorker(ps, t, w)
	}
	return p.slotsBeside(ps, free, own, limit)
}

// slotsBeside returns how many tasks of a step can be placed in the given free capacity beside own tasks of the same step, at most limit.
func (p *plan) slotsBeside(ps *pendingStep, free batch.Amount, own, limit int) int {
	if ps.step.MaxPerWorker > 0 {
		limit = min(limit, ps.step.MaxPerWorker-own)
	}
	need := ps.step.Allocation()
	n := 0
	for n < limit && free.Contains(need) {
		free = free.Sub(need)
		n++
	}
	return n
}

// totalSlots returns how many tasks of a step can be placed on the workers together, at most len(tasks).
func (p *plan) totalSlots(ps *pendingStep, tasks []*task, free []batch.Amount, workers []*worker) int {
	total := 0
	for _, w := range workers {
		if total += p.slots(ps, tasks[0], w, free[w.index], len(tasks)-total); total == len(tasks) {
			break
		}
	}
	return total
}

// assignTasks returns the best worker for each task, or nil if not all of them fit.
func (p *plan) assignTasks(ps *pendingStep, tasks []*task, free []batch.Amount, workers []*worker) []*worker {
	if p.totalSlots(ps, tasks, free, workers) < len(tasks) {
		return nil
	}
	return p.assignUpTo(ps, tasks, free, workers, false)
}

// openSlots is a worker with the capacity that is left and the number of tasks that still fit.
type openSlots struct {
	worker *worker
	left   batch.Amount
	count  int
}

// assignUpTo returns the best worker for each of the first tasks, as many as fit. If inDataRack is set, only workers in the
// rack of the step's data are used.
func (p *plan) assignUpTo(ps *pendingStep, tasks []*task, free []batch.Amount, workers []*worker, inDataRack bool) []*worker {
	var open []openSlots
	for _, w := range workers {
		if inDataRack && ps.step.DataRack != "" && w.rack() != ps.step.DataRack {
			continue
		}
		if n := p.slots(ps, tasks[0], w, free[w.index], len(tasks)); n > 0 {
			open = append(open, openSlots{w, free[w.index], n})
		}
	}
	need := ps.step.Allocation()
	assigned := make([]*worker, 0, len(tasks))
	for range tasks {
		best := -1
		for i := range open {
			if open[i].count > 0 && (best < 0 || p.better(ps, &open[i], &open[best])) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		assigned = append(assigned, open[best].worker)
		open[best].left = open[best].left.Sub(need)
		open[best].count--
	}
	return assigned
}

// better reports whether x is a better worker for the step than y: first one in the data's rack, then one with fewer
// failures in a row, then a warm one, then the best fit, which is the one with the least free capacity.
func (p *plan) better(ps *pendingStep, x, y *openSlots) bool {
	w, v := x.worker, y.worker
	if ps.step.DataRack != "" && (w.rack() == ps.step.DataRack) != (v.rack() == ps.step.DataRack) {
		return w.rack() == ps.step.DataRack
	}
	if w.failureStreak != v.failureStreak {
		return w.failureStreak < v.failureStreak
	}
	if p.cold != nil && p.cold[w.index] != p.cold[v.index] {
		return p.cold[v.index]
	}
	if x.left.GPU != y.left.GPU {
		return x.left.GPU < y.left.GPU
	}
	return x.left.CPU < y.left.CPU
}

// endsBeforeReservation reports whether a task of the step would end before the worker's reservation, if it has one.
func (p *plan) endsBeforeReservation(ps *pendingStep, w *worker) bool {
	until := p.reserved[w.index]
	return until.IsZero() || p.now.Add(ps.estimate).Before(until)
}

// tasksOnWorker counts the placed tasks of the same step and occurrence on a worker.
func (p *plan) tasksOnWorker(ps *pendingStep, t *task, w *worker) int {
	n := 0
	for id := range w.runs {
		if id.Job == ps.job.job.ID && id.Step == t.Step && id.Occurrence == t.Occurrence {
			n++
		}
	}
	return n
}

// recordPlacement records a new run for each task on its assigned worker. Members of a gang share the run number.
func (p *plan) recordPlacement(ps *pendingStep, tasks []*task, assigned []*worker) {
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
		t.partial = t.Checkpoint != "" && ps.step.Checkpoints
		t.Phase, t.Run, t.Worker, t.placedGeneration = batch.TaskPlaced, run, w.ID, j.generation
		t.chargedAt = p.now
		w.runs[t.id(j)] = t
		p.subtract(ps, w)
		p.expected[w.index] = nil
		p.placements++
		p.trace("placed", batch.RunID{Task: t.id(j), Run: run}, w.ID, placementReason)
	}
}

// subtract takes the allocation of a task of the step from the capacity of a worker.
func (p *plan) subtract(ps *pendingStep, w *worker) {
	p.free[w.index] = p.free[w.index].Sub(ps.step.Allocation())
	p.freeAfterStops[w.index] = p.freeAfterStops[w.index].Sub(ps.step.Allocation())
}

// makeRoom handles tasks that don't fit now. They wait for runs that are being stopped if these free enough capacity.
// Otherwise other runs are preempted for guaranteed and urgent tasks. If that isn't possible, workers are reserved for gangs
// and large tasks.
func (p *plan) makeRoom(ps *pendingStep, tasks []*task) {
	assigned := p.assignAfterStops(ps, tasks)
	if assigned == nil && (ps.guaranteed || p.needsPreemption(ps)) {
		assigned = p.assignByPreemption(ps, tasks)
	}
	if assigned != nil {
		for _, w := range assigned {
			p.subtract(ps, w)
		}
		return
	}
	if ps.timeliness != tooLate && (ps.step.Gang || ps.step.Need.GPU >= largeTaskGPUs) {
		p.reserveWorkers(ps, tasks)
	}
}

// assignAfterStops returns a worker for each task as of the end of the runs that are being stopped, or nil if they don't fit.
func (p *plan) assignAfterStops(ps *pendingStep, tasks []*task) []*worker {
	if !ps.queue.RequiresTicket && knownMisfit(p.notAfterStops, ps, len(tasks)) {
		return nil
	}
	assigned := p.assign(ps, tasks, p.freeAfterStops)
	if assigned == nil {
		p.notAfterStops = recordMisfit(p.notAfterStops, ps, len(tasks))
	}
	return assigned
}

// assign returns a worker for each task with the given free capacity, or nil if they don't fit.
func (p *plan) assign(ps *pendingStep, tasks []*task, free []batch.Amount) []*worker {
	if ps.step.Gang {
		return p.assignGang(ps, free)
	}
	return p.assignTasks(ps, tasks, free, p.candidates(ps))
}

// victim is a run, or all runs of a gang, that may be preempted. cost is the work that is lost, in core seconds.
type victim struct {
	tasks []*task
	cost  float64
	// worker is that of the first task.
	worker   *worker
	priority int
}
