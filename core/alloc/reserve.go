package alloc

import (
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
	need := ps.step.Allocation()
	if need == (batch.Amount{}) {
		// There is always room for a task that needs nothing.
		return time.Time{}, false
	}
	free := p.free[w.index]
	for free.Contains(need) {
		free = free.Sub(need)
	}
	for _, end := range p.expectedEnds(w) {
		free = free.Add(end.amount)
		if end.at.After(p.now) && free.Contains(need) {
			return end.at, true
		}
		for free.Contains(need) {
			free = free.Sub(need)
		}
	}
	return time.Time{}, false
}

// reserveForGang reserves workers until all members of a gang are expected to fit at the same time.
func (p *plan) reserveForGang(ps *pendingStep, tasks []*task) {
	if p.gangReservations == maxGangReservations {
		return
	}
	slots := p.soonestSlots(ps)
	if len(slots) < len(tasks) {
		return
	}
	for _, s := range slots[:len(tasks)] {
		p.reserved[s.worker.index] = slots[len(tasks)-1].at
	}
	p.gangReservations++
}

// availableSlot is capacity for one task on a worker that is expected to be free from a time on.
type availableSlot struct {
	worker *worker
	at     time.Time
}

// soonestSlots returns the slots for the step's tasks on workers that aren't reserved, the soonest first. Only workers in
// the data's rack are included until the step may run elsewhere.
func (p *plan) soonestSlots(ps *pendingStep) []availableSlot {
	var list []availableSlot
	allowRemote := ps.step.DataRack == "" || p.allowsRemote(ps)
	for _, w := range p.candidates(ps) {
		if !p.reserved[w.index].IsZero() || !allowRemote && w.rack() != ps.step.DataRack {
			continue
		}
		free := p.free[w.index]
		expectedEnds := p.expectedEnds(w)
		for i := -1; i < len(expectedEnds); i++ {
			at := p.now
			if i >= 0 {
				free = free.Add(expectedEnds[i].amount)
				at = expectedEnds[i].at
			}
			// The tasks may need nothing, so that any number of them fits.
			for slots := 0; slots < len(ps.tasks) && free.Contains(ps.step.Allocation()); slots++ {
				free = free.Sub(ps.step.Allocation())
				list = append(list, availableSlot{w, at})
			}
		}
	}
	sort.SliceStable(list, func(x, y int) bool { return list[x].at.Before(list[y].at) })
	return list
}

// expectedEnd is the estimated end of a run and the amount that it frees.
type expectedEnd struct {
	at     time.Time
	amount batch.Amount
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
		list = append(list, expectedEnd{at, step.Allocation()})
	}
	sort.SliceStable(list, func(x, y int) bool { return list[x].at.Before(list[y].at) })
	p.expected[w.index] = list
	return list
}
