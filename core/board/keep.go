package board

import (
	"sort"
	"time"

	"wagtailhoist/core/batch"
)

// keep holds the workers that are free soonest for large tasks, so that small work doesn't fill them again and again.
// The members of a gang need theirs at the same time; other tasks take each as soon as it is free. It answers streams
// of small tasks on full workers.
func (p *plan) keep(u *unit, tasks []*task) {
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
	if len(seats) == 0 || u.step.Gang && len(seats) < len(tasks) {
		return
	}
	sort.SliceStable(seats, func(x, y int) bool { return seats[x].at.Before(seats[y].at) })
	seats = seats[:min(len(seats), len(tasks))]
	for _, s := range seats {
		if u.step.Gang {
			s.at = seats[len(seats)-1].at
		}
		p.kept[s.worker] = s.at
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
