package plan

import (
	"slices"
	"time"
)

// end returns when a placed job is expected to leave.
func (p *pass) end(j *Job) time.Time {
	if p.leaving(j) {
		return gone(p.now, j)
	}
	ran := p.now.Sub(j.Started)
	if ran < j.Expected {
		return j.Started.Add(j.Expected)
	}
	return p.now.Add(left(j.Expected, ran))
}

// book reserves the place where a job can start first, and stops backfill there that has outlived
// its estimate.
func (p *pass) book(j *Job) bool {
	at, due := p.earliest(j)
	if at == nil {
		return false
	}
	if old := p.targetSpots(j); old != nil && p.lendable(j, old) {
		if t := p.freeBy(j, old); !t.After(due.Add(due.Sub(p.now) / 10)) {
			at, due = old, t
		}
	}
	if p.makeRoom(j, due) {
		return true
	}
	for _, s := range at {
		for _, u := range p.nodes[s.node].uses {
			if u.job.BackfillAheadOf == j.Spec.ID && p.now.Sub(u.job.Started) > u.job.Expected {
				p.stop(u.job, j.Spec.ID)
			}
		}
	}
	p.occupy(j, at, due)
	return true
}

// occupy reserves the spots for a job from due on.
func (p *pass) occupy(j *Job, at []spot, due time.Time) {
	p.reserve(j, at, due)
	p.waits[j.Spec.ID] = Reason{Code: Reserving, Until: due}
	p.booked = append(p.booked, j)
	for _, s := range at {
		n := &p.nodes[s.node]
		spare := p.roomAt(s.node, j, due).Minus(PerTask(j.Spec.Shape).Times(s.tasks)).floor()
		n.holds = append(n.holds[:len(n.holds):len(n.holds)], hold{job: j, from: due, spare: spare})
	}
	p.d.wake(due)
}

// roomAt returns what a job may take on a node at a later time, by the estimates.
func (p *pass) roomAt(i int, j *Job, at time.Time) Amount {
	n := &p.nodes[i]
	if !n.ok || slices.Contains(j.Failed, n.id) {
		return Amount{}
	}
	m := node{cap: n.cap, ties: n.ties}
	for _, u := range n.uses {
		if p.end(u.job).After(at) {
			m.uses = append(m.uses, u)
		}
	}
	m.recalc()
	r := m.lend(m.free(), j.Spec.Grace)
	for _, h := range n.holds {
		if h.job != j {
			r = r.smaller(h.spare)
		}
	}
	return r.smaller(n.cap.Minus(n.held))
}

// ends returns the expected ends of the work in a block, in order.
func (p *pass) ends(b span) []time.Time {
	var out []time.Time
	for i := b.lo; i < b.hi; i++ {
		for _, u := range p.nodes[i].uses {
			out = append(out, p.end(u.job))
		}
	}
	slices.SortFunc(out, func(a, b time.Time) int { return a.Compare(b) })
	return slices.CompactFunc(out, func(a, b time.Time) bool { return a.Equal(b) })
}

// earliest returns the block where a job can start first, and when.
func (p *pass) earliest(j *Job) ([]spot, time.Time) {
	var at []spot
	var due time.Time
	q := p.jobSearch(j)
	for _, b := range p.blocks(j.Spec.Shape.Adjacent) {
		ends := p.ends(b)
		if at != nil {
			k, _ := slices.BinarySearchFunc(ends, due, func(a, b time.Time) int { return a.Compare(b) })
			ends = ends[:k]
		}
		lo, hi := 0, len(ends)
		for lo < hi {
			mid := (lo + hi) / 2
			if p.fitsAt(q, j, b, ends[mid]) != nil {
				hi = mid
			} else {
				lo = mid + 1
			}
		}
		if lo < len(ends) {
			at, due = p.fitsAt(q, j, b, ends[lo]), ends[lo]
		}
	}
	return at, due
}

// fitsAt returns the spots of a job in a block at a later time.
func (p *pass) fitsAt(q *search, j *Job, b span, when time.Time) []spot {
	q.room = func(i int) Amount { return p.roomAt(i, j, when) }
	at, _ := q.within(b)
	return at
}

// freeBy returns when the spots are expected to be free for a job.
func (p *pass) freeBy(j *Job, at []spot) time.Time {
	var ends []time.Time
	for _, s := range at {
		ends = append(ends, p.ends(span{lo: s.node, hi: s.node + 1})...)
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return a.Compare(b) })
	for _, when := range ends {
		ok := true
		for _, s := range at {
			ok = ok && PerTask(j.Spec.Shape).Times(s.tasks).FitsIn(p.roomAt(s.node, j, when))
		}
		if ok {
			return when
		}
	}
	return p.now.AddDate(1, 0, 0)
}
