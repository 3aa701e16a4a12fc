package alloc

import (
	"slices"
	"sort"
	"time"

	"wagtailhoist/core/batch"
)

// evictLead is how long before a unit of priority 0 must start to meet its objective others are stopped for it:
// a stop takes up to 900 ms, and a start as long as a write of the store.
const evictLead = 1200 * time.Millisecond

// urgent reports whether a unit of priority 0 misses its objective unless others give way. It answers bursts of
// urgent jobs that exceed their team's guarantee.
func (p *plan) urgent(u *unit) bool {
	return u.queue.Priority == 0 && u.class == inTime && p.now.Add(u.step.Estimate+evictLead).After(u.deadline)
}

// evict stops the runs whose loss costs least until the tasks find room. It answers a claim of guaranteed work
// while others borrow its accelerators.
func (p *plan) evict(u *unit, tasks []*task) bool {
	victims := p.victims(u)
	var best []victim
	found := false
	for _, group := range p.groups(u) {
		chosen, ok := p.evictIn(u, tasks, group, append([]victim(nil), victims...))
		if ok && (!found || loss(chosen) < loss(best)) {
			best, found = chosen, true
		}
	}
	if !found || !u.guaranteed && loss(best) > u.work(len(tasks)) {
		return false
	}
	for _, v := range best {
		p.stopVictim(u, v)
	}
	return true
}

// evictIn returns the victims without whom the tasks find room on a group of workers, and whether there are such.
func (p *plan) evictIn(u *unit, tasks []*task, group []*worker, victims []victim) ([]victim, bool) {
	room := make(map[*worker]batch.Amount, len(p.later))
	for w, a := range p.later {
		room[w] = a
	}
	inside := make(map[string]bool, len(group))
	for _, w := range group {
		inside[w.ID] = true
	}
	victims = slices.DeleteFunc(victims, func(v victim) bool {
		return !slices.ContainsFunc(v.tasks, func(t *task) bool { return inside[t.Worker] })
	})
	var chosen []victim
	for len(victims) > 0 && p.seat(u, tasks, room, group, false) == nil {
		i := p.cheapest(u, victims, room)
		p.give(room, victims[i], 1)
		chosen = append(chosen, victims[i])
		victims = append(victims[:i], victims[i+1:]...)
	}
	if p.seat(u, tasks, room, group, false) == nil {
		return nil, false
	}
	return p.needed(u, tasks, room, group, chosen), true
}

// loss is what the stop of victims throws away, in core seconds.
func loss(victims []victim) float64 {
	sum := 0.0
	for _, v := range victims {
		sum += v.cost
	}
	return sum
}

// work is the estimated work of some of the unit's tasks, in core seconds.
func (u *unit) work(tasks int) float64 {
	return float64(tasks) * u.step.Estimate.Seconds() * u.step.Need.Cores()
}

// needed drops the chosen victims without which the tasks find room as well, the most expensive first.
func (p *plan) needed(u *unit, tasks []*task, room map[*worker]batch.Amount, workers []*worker, chosen []victim) []victim {
	sort.SliceStable(chosen, func(x, y int) bool { return chosen[x].cost > chosen[y].cost })
	var kept []victim
	for _, v := range chosen {
		p.give(room, v, -1)
		if p.seat(u, tasks, room, workers, false) == nil {
			p.give(room, v, 1)
			kept = append(kept, v)
		}
	}
	return kept
}

func (p *plan) give(room map[*worker]batch.Amount, v victim, sign int) {
	for _, t := range v.tasks {
		w := p.Scheduler.worker(t.Worker)
		amount := t.job.job.Steps[t.Step].Allocation()
		if sign > 0 {
			room[w] = room[w].Add(amount)
		} else {
			room[w] = room[w].Sub(amount)
		}
	}
}

func (p *plan) stopVictim(u *unit, v victim) {
	for _, t := range v.tasks {
		t.stop = true
		w := p.Scheduler.worker(t.Worker)
		p.later[w] = p.later[w].Add(t.job.job.Steps[t.Step].Allocation())
		p.trace("stop", batch.RunID{Task: t.id(t.job), Run: t.Run}, t.Worker, "room for "+string(u.job.job.ID))
	}
}

// cheapest returns the victim that frees most of what is missing for its cost. A worker that is nearly
// free for a task counts more than one that is full.
func (p *plan) cheapest(u *unit, victims []victim, room map[*worker]batch.Amount) int {
	best, bestCost := 0, 0.0
	for i, v := range victims {
		cost := v.cost
		w := p.Scheduler.worker(v.tasks[0].Worker)
		missing := u.step.Need.GPU - room[w].GPU
		if missing <= 0 && room[w].Contains(u.step.Allocation()) {
			cost += 1e6
		}
		cost *= 1 + float64(max(0, missing))
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// victims returns the runs that may be stopped for guaranteed work of the unit's service.
func (p *plan) victims(u *unit) []victim {
	covered := p.covered(p.wall)
	seen := map[*task]bool{}
	var list []victim
	for _, w := range p.workers {
		if !w.usable(p.now, u.queue.Service) {
			continue
		}
		for _, id := range w.sortedRuns() {
			t := w.runs[id]
			if seen[t] || t.stop || covered[t.job.job.ID] {
				continue
			}
			step := &t.job.job.Steps[t.Step]
			if step.LongRunning && step.MaxUnavailable != nil || !u.guaranteed && p.policy.QueueFor(&t.job.job).Priority <= u.queue.Priority {
				continue
			}
			v := victim{tasks: []*task{t}}
			if step.Gang {
				v.tasks = v.tasks[:0]
				for _, m := range t.job.members(t) {
					if m.Phase == batch.TaskPlaced && !m.stop {
						v.tasks = append(v.tasks, m)
					}
				}
			}
			for _, m := range v.tasks {
				seen[m] = true
				v.cost += p.loss(m, step)
			}
			list = append(list, v)
		}
	}
	return list
}

// minLoss is the time that a stop costs at least: ending, placing and starting again.
const minLoss = 500 * time.Millisecond

// loss is what the stop of a run throws away, in core seconds.
func (p *plan) loss(t *task, step *batch.Step) float64 {
	lost := minLoss
	if !step.Checkpoints && t.confirmed {
		lost += p.now.Sub(t.began)
	}
	return lost.Seconds() * step.Need.Cores()
}
