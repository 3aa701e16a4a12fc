package plan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// moveGain is the delay saved per accelerator second lost from which moves are worth it.
	moveGain = 2.0
	// moveRest is how long a job runs before it may be moved again.
	moveRest = 10 * time.Minute
	// moveWait is the wait up to which nothing is moved for a job.
	moveWait = 5 * time.Minute
	// moveBlocks is the number of blocks that are tried for one job.
	moveBlocks = 6
)

// move is a job with the place that it moves to.
type move struct {
	job *Job
	at  []spot
}

// makeRoom moves work out of a block for a job with a reservation, if that starts the job so much
// earlier that it outweighs the work lost.
func (p *pass) makeRoom(j *Job, due time.Time) bool {
	if due.Sub(p.now) < moveWait {
		return false
	}
	type option struct {
		block span
		cost  float64
	}
	var options []option
	for _, b := range p.blocks(j.Spec.Shape.Adjacent) {
		if cost, ok := p.openCost(j, b); ok {
			options = append(options, option{b, cost})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	for _, o := range options[:min(len(options), moveBlocks)] {
		gain := due.Sub(p.now).Seconds() * float64(j.Spec.Shape.Size())
		if gain < moveGain*o.cost {
			return false
		}
		if moves := p.relocate(j, o.block); moves != nil {
			return p.open(j, o.block, moves)
		}
	}
	return false
}

// liftable reports whether a job may be moved.
func (p *pass) liftable(j *Job) bool {
	return j.Phase == Running && !j.Anchored && !j.Cancelled && movable(j) && !p.leaving(j) &&
		!j.Spec.Urgent && p.now.Sub(j.Started) >= moveRest && p.end(j).Sub(p.now) > moveWait
}

// moveCost returns the accelerator seconds that a move wastes.
func moveCost(j *Job) float64 {
	return (j.Spec.Grace + 2*restart).Seconds() * float64(max(j.Spec.Shape.Size(), 1))
}

// lifted returns the jobs to move from a node so that need tasks of each fit, the cheapest first.
func (p *pass) lifted(j *Job, i int) (uses []use, room Amount) {
	n := &p.nodes[i]
	if !n.ok || p.avoids(j, n.id) {
		return nil, Amount{}
	}
	room = n.free()
	for _, u := range n.uses {
		if p.leaving(u.job) {
			room = room.Plus(u.amount)
		} else if p.liftable(u.job) {
			uses = append(uses, u)
		}
	}
	for _, h := range n.holds {
		if h.job != j {
			return nil, Amount{}
		}
	}
	slices.SortFunc(uses, func(a, b use) int {
		return cmp.Or(cmp.Compare(moveCost(a.job), moveCost(b.job)), bySequence(a.job, b.job))
	})
	return uses, room
}

// openCost returns the cost of moving all liftable work that is in the way of a job in a block.
func (p *pass) openCost(j *Job, b span) (float64, bool) {
	each, tasks, cost := PerTask(j.Spec.Shape), 0, 0.0
	for i := b.lo; i < b.hi && tasks < j.Spec.Shape.Tasks; i++ {
		uses, room := p.lifted(j, i)
		fit := func() int {
			return count(p.nodes[i].lend(room, j.Spec.Grace), each, j.Spec.Shape.Tasks-tasks)
		}
		want := count(p.nodes[i].cap, each, j.Spec.Shape.Tasks-tasks)
		for _, u := range uses {
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

// relocate finds places outside a block for the work that is in the way of a job, or returns nil.
func (p *pass) relocate(j *Job, b span) []move {
	each, tasks := PerTask(j.Spec.Shape), 0
	out := []move{}
	chosen := map[*Job]bool{}
	defer func() {
		for _, m := range out {
			p.holdMore(m, -1)
		}
	}()
	for i := b.lo; i < b.hi && tasks < j.Spec.Shape.Tasks; i++ {
		uses, room := p.lifted(j, i)
		want := count(p.nodes[i].cap, each, j.Spec.Shape.Tasks-tasks)
		for _, u := range uses {
			if count(p.nodes[i].lend(room, j.Spec.Grace), each, want) >= want {
				break
			}
			room = room.Plus(u.amount)
			if chosen[u.job] {
				continue
			}
			chosen[u.job] = true
			q := p.placeSearch(u.job)
			inner := q.room
			q.room = func(k int) Amount {
				if k >= b.lo && k < b.hi {
					return Amount{}
				}
				return inner(k)
			}
			at := q.best()
			if at == nil {
				return nil
			}
			out = append(out, move{u.job, at})
			p.holdMore(out[len(out)-1], 1)
		}
		tasks += count(p.nodes[i].lend(room, j.Spec.Grace), each, want)
	}
	if tasks < j.Spec.Shape.Tasks {
		return nil
	}
	return out
}

// holdMore holds the places of a move sign times.
func (p *pass) holdMore(m move, sign int) {
	for _, s := range m.at {
		n := &p.nodes[s.node]
		n.held = n.held.Plus(PerTask(m.job.Spec.Shape).Times(sign * s.tasks))
	}
}

// open carries out the moves and reserves the block for the job.
func (p *pass) open(j *Job, b span, moves []move) bool {
	until := p.now
	for _, m := range moves {
		p.holdMore(m, 1)
		p.ending[m.job.Spec.ID] = true
		p.d.Actions = append(p.d.Actions, Action{
			Verb: Move, Job: m.job.Spec.ID, Run: m.job.Run, ForJob: j.Spec.ID, Deadline: p.now.Add(m.job.Spec.Grace),
			Slots: slotsOf(p.view, m.job.Spec.Shape, m.at),
		})
	}
	for i := b.lo; i < b.hi; i++ {
		for _, u := range p.nodes[i].uses {
			if p.leaving(u.job) {
				until = later(until, gone(p.now, u.job))
			}
		}
	}
	q := p.jobSearch(j)
	at := p.fitsAt(q, j, b, until)
	if at == nil {
		return true
	}
	p.occupy(j, at, until)
	return true
}
