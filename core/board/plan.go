package board

import (
	"slices"
	"sort"
	"time"

	"wagtailhoist/core/batch"
)

// reserved bounds the units that keep workers free for themselves.
const reserved = 5

// plan is one pass over the waiting units.
type plan struct {
	*Board
	now, wall time.Time
	workers   []*worker
	// room is what is free on each worker, later what is free once the stopped runs have ended.
	room, later map[*worker]batch.Amount
	// kept holds workers for a unit that waits for them: only runs that end before are placed there.
	kept map[*worker]time.Time
	// reservations counts the units that keep workers.
	reservations int
}

// Plan places waiting tasks and stops runs that have to give way. wall is the time of day.
func (b *Board) Plan(now, wall time.Time) {
	b.changed = false
	b.questions = nil
	units := b.units(now, wall)
	if len(units) == 0 {
		return
	}
	p := &plan{
		Board: b, now: now, wall: wall, workers: b.sortedWorkers(),
		room: map[*worker]batch.Amount{}, later: map[*worker]batch.Amount{}, kept: map[*worker]time.Time{},
	}
	for _, w := range p.workers {
		p.room[w] = w.free()
		p.later[w] = p.room[w]
		for _, t := range w.runs {
			if t.stop {
				p.later[w] = p.later[w].Add(t.job.job.Steps[t.Step].Taken())
			}
		}
	}
	for _, u := range units {
		p.serve(u)
	}
}

// Changed reports whether Plan may find something new.
func (b *Board) Changed() bool { return b.changed }

// serve places what it can of a unit, or makes room for it.
func (p *plan) serve(u *unit) {
	if !u.step.Gang {
		p.serveTasks(u)
		return
	}
	if seats := p.seatGang(u, p.room); seats != nil {
		p.commit(u, u.tasks, seats)
		return
	}
	p.claim(u, u.tasks)
}

func (p *plan) serveTasks(u *unit) {
	var open []*task
	for _, t := range u.tasks {
		seats := p.seat(u, []*task{t}, p.room, p.candidates(u), true)
		if seats == nil && p.settlesForRemote(u) {
			seats = p.seat(u, []*task{t}, p.room, p.candidates(u), false)
		}
		if seats == nil {
			open = append(open, t)
			continue
		}
		p.commit(u, []*task{t}, seats)
	}
	if len(open) > 0 {
		p.claim(u, open)
	}
}

// guaranteedPatience is how long guaranteed work looks for room at its data or in one rack only: away from it, it
// misses its objective as surely as by waiting, but a claim has to be met within about three seconds.
const guaranteedPatience = 1200 * time.Millisecond

// settlesForRemote reports whether a unit takes workers away from its data, or a gang those of several racks: when
// the wait for near ones has cost as much as the longer run would, several times over.
func (p *plan) settlesForRemote(u *unit) bool {
	if u.step.Rack == "" && !u.step.OneRack {
		return true
	}
	age := p.now.Sub(u.job.seen)
	if u.guaranteed {
		return age > guaranteedPatience
	}
	return age > time.Duration((p.remote()-1)*2*float64(u.step.Estimate))
}

// groups returns the sets of workers that may hold all tasks of a unit together, the preferred ones first.
func (p *plan) groups(u *unit) [][]*worker {
	all := p.candidates(u)
	settles := p.settlesForRemote(u)
	if u.step.Rack == "" && !u.step.OneRack {
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
	var groups [][]*worker
	possible := false
	for _, name := range names {
		if u.step.Rack != "" && name != u.step.Rack && !settles {
			continue
		}
		if p.couldHold(u, racks[name]) {
			possible = true
			groups = append(groups, racks[name])
		}
	}
	if settles || !possible {
		groups = append(groups, all)
	}
	return groups
}

// candidates are the workers that may run the unit's tasks.
func (p *plan) candidates(u *unit) []*worker {
	var list []*worker
	for _, w := range p.workers {
		if w.usable(p.now, u.queue.Service) && w.has(u.step.Label) && !w.clashes(u.step) {
			list = append(list, w)
		}
	}
	if u.queue.Advised {
		return p.advised(u, list)
	}
	return list
}

// seatGang returns a worker for each task of a gang, or nil: from the group of workers with the least left over.
func (p *plan) seatGang(u *unit, room map[*worker]batch.Amount) []*worker {
	var best []*worker
	var bestLeft int64
	groups := p.groups(u)
	for i, group := range groups {
		if best != nil && i > 0 && len(group) > len(groups[0]) {
			// The last group may hold all workers; it is for those who find no room in a rack.
			break
		}
		seats := p.seat(u, u.tasks, room, group, false)
		if seats == nil {
			continue
		}
		left := int64(0)
		for _, w := range group {
			left += room[w].GPU
		}
		if best == nil || left < bestLeft {
			best, bestLeft = seats, left
		}
	}
	return best
}

// couldHold reports whether idle workers would hold all tasks of a unit.
func (p *plan) couldHold(u *unit, workers []*worker) bool {
	empty := make(map[*worker]batch.Amount, len(workers))
	for _, w := range workers {
		empty[w] = w.Capacity
	}
	return p.seat(u, u.tasks, empty, workers, false) != nil
}

// seat returns a worker for each task, best fit first, or nil. With near, only workers at the data count.
func (p *plan) seat(u *unit, tasks []*task, room map[*worker]batch.Amount, workers []*worker, near bool) []*worker {
	need := u.step.Taken()
	left := make(map[*worker]batch.Amount, len(workers))
	count := map[*worker]int{}
	for _, w := range workers {
		left[w] = room[w]
		if u.step.PerWorker > 0 {
			count[w] = p.onWorker(u, tasks[0], w)
		}
	}
	seats := make([]*worker, 0, len(tasks))
	for range tasks {
		var best *worker
		for _, w := range workers {
			if !left[w].Holds(need) || near && u.step.Rack != "" && w.rack() != u.step.Rack || !p.endsBefore(u, w) {
				continue
			}
			if u.step.PerWorker > 0 && count[w] >= u.step.PerWorker {
				continue
			}
			if best == nil || p.better(u, w, best, left) {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		left[best] = left[best].Sub(need)
		count[best]++
		seats = append(seats, best)
	}
	return seats
}

// better reports whether w suits the unit more than v: at its data, then with the least left over.
func (p *plan) better(u *unit, w, v *worker, left map[*worker]batch.Amount) bool {
	if u.step.Rack != "" && (w.rack() == u.step.Rack) != (v.rack() == u.step.Rack) {
		return w.rack() == u.step.Rack
	}
	if w.streak != v.streak {
		return w.streak < v.streak
	}
	if left[w].GPU != left[v].GPU {
		return left[w].GPU < left[v].GPU
	}
	return left[w].CPU < left[v].CPU
}

func (p *plan) endsBefore(u *unit, w *worker) bool {
	until, kept := p.kept[w]
	return !kept || p.now.Add(u.step.Estimate).Before(until)
}

// onWorker counts the tasks of the same step and occurrence on a worker.
func (p *plan) onWorker(u *unit, t *task, w *worker) int {
	n := 0
	for id := range w.runs {
		if id.Job == u.job.job.ID && id.Step == t.Step && id.Occurrence == t.Occurrence {
			n++
		}
	}
	return n
}

// commit records a new run for each task. Members of a gang share the number of their run.
func (p *plan) commit(u *unit, tasks []*task, seats []*worker) {
	run := 0
	for _, t := range tasks {
		run = max(run, t.Run+1)
	}
	j := u.job
	j.touch()
	why := u.why(p.now)
	for i, t := range tasks {
		w := seats[i]
		t.release()
		t.Phase, t.Run, t.Worker, t.placedAt = batch.Placed, run, w.ID, j.version
		w.runs[t.id(j)] = t
		p.room[w] = p.room[w].Sub(j.job.Steps[t.Step].Taken())
		p.later[w] = p.later[w].Sub(j.job.Steps[t.Step].Taken())
		p.trace("placed", batch.RunID{Task: t.id(j), Run: run}, w.ID, why)
	}
}

// claim makes room for tasks that found none: guaranteed ones stop others, the first of the rest keep workers.
func (p *plan) claim(u *unit, tasks []*task) {
	seats := p.claimSeats(u, tasks)
	if seats == nil && (u.guaranteed || p.urgent(u)) {
		if p.evict(u, tasks) {
			seats = p.claimSeats(u, tasks)
		}
	}
	if seats != nil {
		for _, w := range seats {
			p.room[w] = p.room[w].Sub(u.step.Taken())
			p.later[w] = p.later[w].Sub(u.step.Taken())
		}
		return
	}
	if u.step.Gang && u.class != useless {
		p.keep(u)
	}
}

// claimSeats finds room that the ends of stopped runs will leave.
func (p *plan) claimSeats(u *unit, tasks []*task) []*worker {
	if u.step.Gang {
		return p.seatGang(u, p.later)
	}
	return p.seat(u, tasks, p.later, p.candidates(u), false)
}

// victim is a set of runs that end together.
type victim struct {
	tasks []*task
	cost  float64
}

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
		w := p.Board.worker(t.Worker)
		amount := t.job.job.Steps[t.Step].Taken()
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
		w := p.Board.worker(t.Worker)
		p.later[w] = p.later[w].Add(t.job.job.Steps[t.Step].Taken())
		p.trace("stop", batch.RunID{Task: t.id(t.job), Run: t.Run}, t.Worker, "room for "+string(u.job.job.ID))
	}
}

// cheapest returns the victim that frees most of what is missing for its cost. A worker that is nearly
// free for a task counts more than one that is full.
func (p *plan) cheapest(u *unit, victims []victim, room map[*worker]batch.Amount) int {
	best, bestCost := 0, 0.0
	for i, v := range victims {
		cost := v.cost
		w := p.Board.worker(v.tasks[0].Worker)
		missing := u.step.Need.GPU - room[w].GPU
		if missing <= 0 && room[w].Holds(u.step.Taken()) {
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
			if step.Lasting && step.MayMiss != nil || !u.guaranteed && p.terms.Queue(&t.job.job).Priority <= u.queue.Priority {
				continue
			}
			v := victim{tasks: []*task{t}}
			if step.Gang {
				v.tasks = v.tasks[:0]
				for _, m := range t.job.members(t) {
					if m.Phase == batch.Placed && !m.stop {
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

// keep holds the workers that are free soonest for a gang, so that small work doesn't fill them again and again.
func (p *plan) keep(u *unit) {
	if p.reservations == reserved {
		return
	}
	type seat struct {
		worker *worker
		at     time.Time
	}
	var seats []seat
	for _, w := range p.candidates(u) {
		if _, kept := p.kept[w]; kept {
			continue
		}
		room := p.room[w]
		ends := p.ends(w)
		for i := -1; i < len(ends); i++ {
			at := p.now
			if i >= 0 {
				room = room.Add(ends[i].amount)
				at = ends[i].at
			}
			for room.Holds(u.step.Taken()) {
				room = room.Sub(u.step.Taken())
				seats = append(seats, seat{w, at})
			}
		}
	}
	if len(seats) < len(u.tasks) {
		return
	}
	sort.SliceStable(seats, func(x, y int) bool { return seats[x].at.Before(seats[y].at) })
	last := seats[len(u.tasks)-1].at
	for _, s := range seats[:len(u.tasks)] {
		p.kept[s.worker] = last
	}
	p.reservations++
}

type release struct {
	at     time.Time
	amount batch.Amount
}

// ends returns when the runs of a worker should end, by their estimates.
func (p *plan) ends(w *worker) []release {
	list := make([]release, 0, len(w.runs))
	for _, id := range w.sortedRuns() {
		t := w.runs[id]
		step := &t.job.job.Steps[t.Step]
		at := p.now.Add(step.Estimate)
		if t.confirmed {
			at = t.began.Add(step.Estimate)
		}
		if t.stop || at.Before(p.now) {
			at = p.now
		}
		list = append(list, release{at, step.Taken()})
	}
	sort.SliceStable(list, func(x, y int) bool { return list[x].at.Before(list[y].at) })
	return list
}
