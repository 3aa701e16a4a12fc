package alloc

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"sort"
	"time"

	"wagtailhoist/core/batch"
)

// reserveWorkers reserves the workers that are expected to be free soonest for large tasks, so that a stream of small
// tasks doesn't fill them again and again.
func (p *plan) reserveWorkers(ps *pendingStep, tasks []*task) {
	if ps.step.Gang {
		p.reserveForGang(ps, tasks)
		return
	}
	limit := (p.workersInService() + singleReservationDivisor - 1) / singleReservationDivisor
	if p.singleReservations == limit {
		return
	}
	for _, s := range p.soonestWorkers(ps, min(len(tasks), limit-p.singleReservations)) {
		p.reserved[s.worker.index] = s.at
		p.singleReservations++
	}
}

// soonestWorkers returns the workers that are expected to have room for a task of the step soonest, at most limit, with the
// time at which they have it. Workers that have room at once aren't included, since the task could not be placed on them.
func (p *plan) soonestWorkers(ps *pendingStep, limit int) []availableSlot {
	soonest := make([]availableSlot, 0, limit+1)
	allowRemote := ps.step.DataRack == "" || p.allowsRemote(ps)
	for _, w := range p.candidates(ps) {
		if !p.reserved[w.index].IsZero() || !allowRemote && w.rack() != ps.step.DataRack {
			continue
		}
		at, ok := p.nextRoom(ps, w)
		if !ok || len(soonest) == limit && !at.Before(soonest[limit-1].at) {
			continue
		}
		i := sort.Search(len(soonest), func(i int) bool { return at.Before(soonest[i].at) })
		soonest = slices.Insert(soonest, i, availableSlot{w, at})
		soonest = soonest[:min(len(soonest), limit)]
	}
	return soonest
}

// nextRoom returns when the end of a run is expected to make room for a task of the step on a worker.
func (p *plan) nextRoom(ps *pendingStep, w *worker) (time.Time, bool) {
	if ps.step.Allocation() == (batch.Amount{}) {
		// There is always room for a task that needs nothing.
		return time.Time{}, false
	}
	for at := range p.expectedSlots(ps, w, math.MaxInt) {
		if at.After(p.now) {
			return at, true
		}
	}
	return time.Time{}, false
}

// reserveForGang reserves workers until all members of a gang are expected to fit at the same time on one of the groups of workers on
// which they may be placed together. A gang that doesn't fit on any of them holds nothing back.
func (p *plan) reserveForGang(ps *pendingStep, tasks []*task) {
	if p.gangReservations == maxGangReservations {
		return
	}
	var best []availableSlot
	for _, group := range p.workerGroups(ps) {
		slots := p.soonestSlots(ps, group)
		if len(slots) < len(tasks) {
			continue
		}
		if slots = slots[:len(tasks)]; best == nil || slots[len(slots)-1].at.Before(best[len(best)-1].at) {
			best = slots
		}
	}
	if best == nil {
		p.reportMisfit(ps, tasks)
		return
	}
	for _, s := range best {
		p.reserved[s.worker.index] = best[len(best)-1].at
	}
	p.gangReservations++
}

// reportMisfit reports once a gang that would not fit on the workers in service if they had no runs.
func (p *plan) reportMisfit(ps *pendingStep, tasks []*task) {
	if ps.job.misfitReported || p.now.Before(p.termStart.Add(p.leaseTimeout())) {
		// At the beginning of a term, workers may not have reported yet.
		return
	}
	slots := 0
	for _, w := range p.candidates(ps) {
		slots += p.slotsBeside(ps, w.Capacity, 0, len(tasks)-slots)
	}
	if slots < len(tasks) {
		ps.job.misfitReported = true
		p.trace("gang doesn't fit", batch.RunID{Task: tasks[0].id(ps.job)}, "", fmt.Sprintf("%d of %d tasks fit on the idle workers", slots, len(tasks)))
	}
}

// availableSlot is capacity for one task on a worker that is expected to be free from a time on.
type availableSlot struct {
	worker *worker
	at     time.Time
}

// soonestSlots returns the slots for the step's tasks on those of the workers that aren't reserved, the soonest first.
func (p *plan) soonestSlots(ps *pendingStep, workers []*worker) []availableSlot {
	var list []availableSlot
	for _, w := range workers {
		if !p.reserved[w.index].IsZero() {
			continue
		}
		for at := range p.expectedSlots(ps, w, len(ps.tasks)) {
			list = append(list, availableSlot{w, at})
		}
	}
	sort.SliceStable(list, func(x, y int) bool { return list[x].at.Before(list[y].at) })
	return list
}

// expectedSlots returns when each further task of the step is expected to fit on a worker beside the others, at most limit of them.
func (p *plan) expectedSlots(ps *pendingStep, w *worker, limit int) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		free, own, slots := p.free[w.index], p.tasksOnWorker(ps, ps.tasks[0], w), 0
		ends := p.expectedEnds(w)
		for i := -1; i < len(ends); i++ {
			at := p.now
			if i >= 0 {
				at, free = ends[i].at, free.Add(ends[i].amount)
				if ends[i].task.sameStep(ps.tasks[0]) {
					own--
				}
			}
			for n := p.slotsBeside(ps, free, own, limit); slots < n; slots++ {
				if !yield(at) {
					return
				}
			}
		}
	}
}

// expectedEnd is the estimated end of a run and the amount that it frees.
type expectedEnd struct {
	at     time.Time
	amount batch.Amount
	task   *task
}

// expectedEnds returns the estimated ends of a worker's runs in order of time.
func (p *plan) expectedEnds(w *worker) []expectedEnd {
	if list := p.expected[w.index]; list != nil {
		return list
	}
	list := make([]expectedEnd, 0, len(w.runs))
	for _, id := range w.sortedRuns() {
		t := w.runs[id]
		step := &t.job.job.Steps[t.Step]
		at := p.now
		if !t.mustStop {
			at = p.now.Add(p.remainingTime(p.now, t))
		}
		list = append(list, expectedEnd{at, step.Allocation(), t})
	}
	sort.SliceStable(list, func(x, y int) bool { return list[x].at.Before(list[y].at) })
	p.expected[w.index] = list
	return list
}
