package plan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minMoveGain is the least delay saved, in accelerator seconds, per accelerator second lost by moving jobs.
	minMoveGain = 2.0
	// minRunBeforeMove is how long a job must have run before it is moved or preempted.
	minRunBeforeMove = 10 * time.Minute
	// minWaitForMove is the shortest expected wait for which jobs are moved.
	minWaitForMove = 5 * time.Minute
	// maxMoveBlocks is the number of blocks tried for one job.
	maxMoveBlocks = 6
)

// relocation is a job and the spots that it moves to.
type relocation struct {
	job   *Job
	spots []spot
}

// moveWorkAway moves jobs out of a block for a job with a reservation, if the job then starts so much earlier that this
// outweighs the work lost. It reports whether it moved any.
func (p *planner) moveWorkAway(j *Job, due time.Time) bool {
	if due.Sub(p.now) < minWaitForMove {
		return false
	}
	type option struct {
		block nodeRange
		cost  float64
	}
	var options []option
	for _, b := range p.blocks(j.Spec.Shape.Adjacent) {
		if cost, ok := p.relocationCost(j, b); ok {
			options = append(options, option{b, cost})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	for _, o := range options[:min(len(options), maxMoveBlocks)] {
		gain := due.Sub(p.now).Seconds() * float64(j.Spec.Shape.Size())
		if gain < minMoveGain*o.cost {
			return false
		}
		if moves := p.findRelocations(j, o.block); moves != nil {
			return p.startRelocations(j, o.block, moves)
		}
	}
	return false
}

// relocatable reports whether a job may be moved or preempted.
func (p *planner) relocatable(j *Job) bool {
	return j.Phase == Running && !j.Anchored && !j.Cancelled && movable(j) && !p.beingStopped(j) &&
		!j.Spec.Urgent && p.now.Sub(j.Started) >= minRunBeforeMove && p.expectedEnd(j).Sub(p.now) > minWaitForMove
}

// moveCost returns the accelerator seconds lost by moving a job.
func moveCost(j *Job) float64 {
	return (j.Spec.Grace + 2*restartTime).Seconds() * float64(max(j.Spec.Shape.Size(), 1))
}

// relocationCandidates returns the jobs on a node that may be moved for j, those with the lowest cost first, and the
// room without moving them. It returns none if j may not use the node.
func (p *planner) relocationCandidates(j *Job, i int) (allocations []allocation, room Amount) {
	n := &p.nodes[i]
	if !n.usable || p.avoidsWorker(j, n.id) {
		return nil, Amount{}
	}
	room = n.free()
	for _, u := range n.allocations {
		if p.beingStopped(u.job) {
			room = room.Plus(u.amount)
		} else if p.relocatable(u.job) {
			allocations = append(allocations, u)
		}
	}
	for _, h := range n.reservations {
		if h.job != j {
			return nil, Amount{}
		}
	}
	slices.SortFunc(allocations, func(a, b allocation) int {
		return cmp.Or(cmp.Compare(moveCost(a.job), moveCost(b.job)), bySequence(a.job, b.job))
	})
	return allocations, room
}

// relocationCost returns the cost of moving the relocatable jobs in the way of a job in a block, and whether that makes
// enough room.
func (p *planner) relocationCost(j *Job, b nodeRange) (float64, bool) {
	perTask, tasks, cost := PerTask(j.Spec.Shape), 0, 0.0
	for i := b.lo; i < b.hi && tasks < j.Spec.Shape.Tasks; i++ {
		allocations, room := p.relocationCandidates(j, i)
		fit := func() int {
			return tasksThatFit(p.nodes[i].limitToLendable(room, j.Spec.Grace), perTask, j.Spec.Shape.Tasks-tasks)
		}
		want := tasksThatFit(p.nodes[i].capacity, perTask, j.Spec.Shape.Tasks-tasks)
		for _, u := range allocations {
			if fit() >= want {
				break
			}
			room = room.Plus(u.amount)
			cost += moveCost(u.job)
		}
		tasks += fit()
	}
	return cost, tasks >= j.Spec.Shape.Tasks
}

// findRelocations finds spots outside a block for the jobs that are in the way of a job, or returns nil.
func (p *planner) findRelocations(j *Job, b nodeRange) []relocation {
	perTask, tasks := PerTask(j.Spec.Shape), 0
	out := []relocation{}
	chosen := map[*Job]bool{}
	defer func() {
		for _, m := range out {
			p.withholdMove(m, -1)
		}
	}()
	for i := b.lo; i < b.hi && tasks < j.Spec.Shape.Tasks; i++ {
		allocations, room := p.relocationCandidates(j, i)
		want := tasksThatFit(p.nodes[i].capacity, perTask, j.Spec.Shape.Tasks-tasks)
		for _, u := range allocations {
			if tasksThatFit(p.nodes[i].limitToLendable(room, j.Spec.Grace), perTask, want) >= want {
				break
			}
			room = room.Plus(u.amount)
			if chosen[u.job] {
				continue
			}
			chosen[u.job] = true
			q := p.placeSearch(u.job)
			roomForJob := q.room
			q.room = func(k int) Amount {
				if k >= b.lo && k < b.hi {
					return Amount{}
				}
				return roomForJob(k)
			}
			spots := q.cheapest()
			if spots == nil {
				return nil
			}
			out = append(out, relocation{u.job, spots})
			p.withholdMove(out[len(out)-1], 1)
		}
		tasks += tasksThatFit(p.nodes[i].limitToLendable(room, j.Spec.Grace), perTask, want)
	}
	if tasks < j.Spec.Shape.Tasks {
		return nil
	}
	return out
}

// withholdMove withholds the spots of a move if sign is 1, and releases them if it is -1.
func (p *planner) withholdMove(m relocation, sign int) {
	for _, s := range m.spots {
		n := &p.nodes[s.node]
		n.withheld = n.withheld.Plus(PerTask(m.job.Spec.Shape).Times(sign * s.tasks))
	}
}

// startRelocations adds the moves to the decision and reserves spots in the block for the job. It returns true even if
// no spots can be reserved, because the moves are part of the decision by then.
func (p *planner) startRelocations(j *Job, b nodeRange, moves []relocation) bool {
	until := p.now
	for _, m := range moves {
		p.withholdMove(m, 1)
		p.stopping[m.job.Spec.ID] = true
		p.d.Actions = append(p.d.Actions, Action{
			Verb: Move, Job: m.job.Spec.ID, Run: m.job.Run, ForJob: j.Spec.ID, Deadline: p.now.Add(m.job.Spec.Grace),
			Slots: slotsOf(p.view, m.job.Spec.Shape, m.spots),
		})
	}
	for i := b.lo; i < b.hi; i++ {
		for _, u := range p.nodes[i].allocations {
			if p.beingStopped(u.job) {
				until = later(until, stopDeadline(p.now, u.job))
			}
		}
	}
	q := p.jobSearch(j)
	spots := p.spotsAt(q, j, b, until)
	if spots == nil {
		return true
	}
	p.reserveSpots(j, spots, until)
	return true
}
