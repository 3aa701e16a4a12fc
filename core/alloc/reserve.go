package alloc

import (
	"sort"
	"time"

	"wagtailhoist/core/batch"
)

// keep holds the workers that are free soonest for large tasks, so that small work doesn't fill them again and again.
// It answers streams of small tasks on full workers.
func (p *plan) keep(u *unit, tasks []*task) {
	if u.step.Gang {
		p.keepGang(u, tasks)
		return
	}
	most := (len(p.workers) + keptShare - 1) / keptShare
	if p.singles == most {
		return
	}
	for _, s := range p.soonest(u) {
		if p.singles == most || len(tasks) == 0 {
			return
		}
		// Room that is free already didn't suit the task.
		if s.at.After(p.now) && p.kept[s.worker].IsZero() {
			p.kept[s.worker] = s.at
			p.singles++
			tasks = tasks[1:]
		}
	}
}

// keepGang holds workers until all members of a gang find room at the same time.
func (p *plan) keepGang(u *unit, tasks []*task) {
	if p.reservations == reserved {
		return
	}
	seats := p.soonest(u)
	if len(seats) < len(tasks) {
		return
	}
	for _, s := range seats[:len(tasks)] {
		p.kept[s.worker] = seats[len(tasks)-1].at
	}
	p.reservations++
}

// opening is room for a task on a worker from a time on.
type opening struct {
	worker *worker
	at     time.Time
}

// soonest returns the room for the unit's tasks on workers that aren't kept, the soonest first: only at its data while
// it takes no other.
func (p *plan) soonest(u *unit) []opening {
	var list []opening
	anywhere := u.step.DataRack == "" || p.settlesForRemote(u)
	for _, w := range p.candidates(u) {
		if _, kept := p.kept[w]; kept || !anywhere && w.rack() != u.step.DataRack {
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
			for room.Contains(u.step.Allocation()) {
				room = room.Sub(u.step.Allocation())
				list = append(list, opening{w, at})
			}
		}
	}
	sort.SliceStable(list, func(x, y int) bool { return list[x].at.Before(list[y].at) })
	return list
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
		list = append(list, release{at, step.Allocation()})
	}
	sort.SliceStable(list, func(x, y int) bool { return list[x].at.Before(list[y].at) })
	return list
}
