package alloc

import (
	"time"

	"wagtailhoist/core/batch"
)

const (
	// reserved bounds the gangs that keep workers free for themselves.
	reserved = 5
	// large is the number of accelerators from which single tasks keep workers free too, half of the eight of a worker:
	// the room that smaller tasks leave is seldom enough for them.
	large = 4
	// keptShare is the part of the workers that single tasks keep, one in so many, so that a wide job leaves room.
	keptShare = 4
)

// plan is one pass over the waiting units.
type plan struct {
	*Scheduler
	now, wall time.Time
	workers   []*worker
	// room is what is free on each worker, later what is free once the stopped runs have ended.
	room, later map[*worker]batch.Amount
	// kept holds workers for a unit that waits for them: only runs that end before are placed there.
	kept map[*worker]time.Time
	// reservations counts the gangs that keep workers, singles the workers that single tasks keep.
	reservations, singles int
}

// Plan places waiting tasks and stops runs that have to give way. wall is the time of day.
func (s *Scheduler) Plan(now, wall time.Time) {
	s.changed = false
	s.questions = nil
	units := s.units(now, wall)
	if len(units) == 0 {
		return
	}
	p := &plan{
		Scheduler: s, now: now, wall: wall, workers: s.sortedWorkers(),
		room: map[*worker]batch.Amount{}, later: map[*worker]batch.Amount{}, kept: map[*worker]time.Time{},
	}
	for _, w := range p.workers {
		p.room[w] = w.free()
		p.later[w] = p.room[w]
		for _, t := range w.runs {
			if t.stop {
				p.later[w] = p.later[w].Add(t.job.job.Steps[t.Step].Allocation())
			}
		}
	}
	for _, u := range units {
		p.serve(u)
	}
}

// NeedsPlan reports whether Plan may find something new.
func (s *Scheduler) NeedsPlan() bool { return s.changed }

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
	for i, t := range u.tasks {
		// Workers at the data are preferred in any case.
		seats := p.seat(u, []*task{t}, p.room, p.candidates(u), !p.settlesForRemote(u))
		if seats == nil {
			// The others need the same, and placing leaves less room.
			p.claim(u, u.tasks[i:])
			return
		}
		p.commit(u, []*task{t}, seats)
	}
}

// guaranteedPatience is how long guaranteed work looks for room at its data or in one rack only: away from it, it
// misses its objective as surely as by waiting, but a claim has to be met within about three seconds.
const guaranteedPatience = 1200 * time.Millisecond

// settlesForRemote reports whether a unit takes workers away from its data, or a gang those of several racks: when
// the wait for near ones has cost as much as the longer run would, several times over.
func (p *plan) settlesForRemote(u *unit) bool {
	if u.step.DataRack == "" && !u.step.RackLocal {
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
	if u.step.DataRack == "" && !u.step.RackLocal {
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
		if u.step.DataRack != "" && name != u.step.DataRack && !settles {
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
		if w.usable(p.now, u.queue.Service) && w.has(u.step.RequiredLabel) && !w.clashes(u.step) {
			list = append(list, w)
		}
	}
	if u.queue.RequiresTicket {
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
	need := u.step.Allocation()
	left := room
	if len(tasks) > 1 {
		left = make(map[*worker]batch.Amount, len(workers))
		for _, w := range workers {
			left[w] = room[w]
		}
	}
	var count map[*worker]int
	if u.step.MaxPerWorker > 0 {
		count = make(map[*worker]int, len(workers))
		for _, w := range workers {
			count[w] = p.onWorker(u, tasks[0], w)
		}
	}
	seats := make([]*worker, 0, len(tasks))
	for range tasks {
		var best *worker
		for _, w := range workers {
			if !left[w].Contains(need) || near && u.step.DataRack != "" && w.rack() != u.step.DataRack || !p.endsBefore(u, w) {
				continue
			}
			if u.step.MaxPerWorker > 0 && count[w] >= u.step.MaxPerWorker {
				continue
			}
			if best == nil || p.better(u, w, best, left) {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		seats = append(seats, best)
		if len(tasks) > 1 {
			left[best] = left[best].Sub(need)
		}
		if count != nil {
			count[best]++
		}
	}
	return seats
}

// better reports whether w suits the unit more than v: at its data, then with the least left over.
func (p *plan) better(u *unit, w, v *worker, left map[*worker]batch.Amount) bool {
	if u.step.DataRack != "" && (w.rack() == u.step.DataRack) != (v.rack() == u.step.DataRack) {
		return w.rack() == u.step.DataRack
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
		t.Phase, t.Run, t.Worker, t.placedAt = batch.TaskPlaced, run, w.ID, j.version
		w.runs[t.id(j)] = t
		p.room[w] = p.room[w].Sub(j.job.Steps[t.Step].Allocation())
		p.later[w] = p.later[w].Sub(j.job.Steps[t.Step].Allocation())
		p.trace("placed", batch.RunID{Task: t.id(j), Run: run}, w.ID, why)
	}
}

// claim makes room for tasks that found none: guaranteed ones stop others, the first gangs and large tasks of the rest
// keep workers.
func (p *plan) claim(u *unit, tasks []*task) {
	seats := p.claimSeats(u, tasks)
	if seats == nil && (u.guaranteed || p.urgent(u)) {
		if p.evict(u, tasks) {
			seats = p.claimSeats(u, tasks)
		}
	}
	if seats != nil {
		for _, w := range seats {
			p.room[w] = p.room[w].Sub(u.step.Allocation())
			p.later[w] = p.later[w].Sub(u.step.Allocation())
		}
		return
	}
	if u.class != useless && (u.step.Gang || u.step.Need.GPU >= large) {
		p.keep(u, tasks)
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
