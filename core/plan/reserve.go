package plan

import (
	"slices"
	"time"
)

// expectedEnd returns when a placed job is expected to end.
func (p *planner) expectedEnd(j *Job) time.Time {
	if p.beingStopped(j) {
		return stopDeadline(p.now, j)
	}
	ran := p.now.Sub(j.Started)
	if ran < j.Expected {
		return j.Started.Add(j.Expected)
	}
	return p.now.Add(remainingTime(j.Expected, ran))
}

// reserveEarliest reserves the place where a job can start first, and stops backfilled jobs there that have exceeded
// their estimated run time. It keeps an existing reservation that delays the start by at most a tenth. It reports
// whether the job has a reservation.
func (p *planner) reserveEarliest(j *Job) bool {
	spots, due := p.earliestStart(j)
	if spots == nil {
		return false
	}
	if old := p.reservedSpots(j); old != nil && p.canBeLent(j, old) {
		if t := p.expectedFree(j, old); !t.After(due.Add(due.Sub(p.now) / 10)) {
			spots, due = old, t
		}
	}
	if p.moveWorkAway(j, due) {
		return true
	}
	for _, s := range spots {
		for _, u := range p.nodes[s.node].allocations {
			if u.job.BackfillAheadOf == j.Spec.ID && p.now.Sub(u.job.Started) > u.job.Expected {
				p.stop(u.job, j.Spec.ID)
			}
		}
	}
	p.reserveSpots(j, spots, due)
	return true
}

// reserveSpots reserves the spots for a job from due on, so that only jobs that end before due, or fit beside the job,
// can be backfilled there.
func (p *planner) reserveSpots(j *Job, spots []spot, due time.Time) {
	p.recordReservation(j, spots, due)
	p.reasons[j.Spec.ID] = Reason{Code: Reserving, Until: due, Evacuated: p.evacuatedRoom(j.Spec.Shape)}
	p.reserved = append(p.reserved, j)
	for _, s := range spots {
		n := &p.nodes[s.node]
		leftover := p.roomAt(s.node, j, due).Minus(PerTask(j.Spec.Shape).Times(s.tasks)).floor()
		n.reservations = append(n.reservations[:len(n.reservations):len(n.reservations)], reservation{job: j, from: due, leftover: leftover})
	}
	p.d.scheduleNext(due)
}

// roomAt returns the resources on a node that a job may use at a later time, according to the run-time estimates.
func (p *planner) roomAt(i int, j *Job, at time.Time) Amount {
	n := &p.nodes[i]
	if !n.usable || slices.Contains(j.Failed, n.id) {
		return Amount{}
	}
	m := node{capacity: n.capacity, anchorParts: n.anchorParts}
	for _, u := range n.allocations {
		if p.expectedEnd(u.job).After(at) {
			m.allocations = append(m.allocations, u)
		}
	}
	m.recalc()
	r := m.limitToLendable(m.free(), j.Spec.Grace)
	for _, h := range n.reservations {
		if h.job != j {
			r = r.smaller(h.leftover)
		}
	}
	return r.smaller(n.capacity.Minus(n.withheld))
}

// expectedEnds returns the distinct expected end times of the jobs in a block, in ascending order.
func (p *planner) expectedEnds(b nodeRange) []time.Time {
	var out []time.Time
	for i := b.lo; i < b.hi; i++ {
		for _, u := range p.nodes[i].allocations {
			out = append(out, p.expectedEnd(u.job))
		}
	}
	slices.SortFunc(out, func(a, b time.Time) int { return a.Compare(b) })
	return slices.CompactFunc(out, func(a, b time.Time) bool { return a.Equal(b) })
}

// earliestStart returns the spots on which a job can start first, and when. It searches the end times of each block by
// bisection, and only those before the best start found so far.
func (p *planner) earliestStart(j *Job) ([]spot, time.Time) {
	var spots []spot
	var due time.Time
	q := p.jobSearch(j)
	for _, b := range p.blocks(j.Spec.Shape.Adjacent) {
		expectedEnds := p.expectedEnds(b)
		if spots != nil {
			k, _ := slices.BinarySearchFunc(expectedEnds, due, func(a, b time.Time) int { return a.Compare(b) })
			expectedEnds = expectedEnds[:k]
		}
		lo, hi := 0, len(expectedEnds)
		for lo < hi {
			mid := (lo + hi) / 2
			if p.spotsAt(q, j, b, expectedEnds[mid]) != nil {
				hi = mid
			} else {
				lo = mid + 1
			}
		}
		if lo < len(expectedEnds) {
			spots, due = p.spotsAt(q, j, b, expectedEnds[lo]), expectedEnds[lo]
		}
	}
	return spots, due
}

// spotsAt returns spots for a job in a block at a later time, or nil if it doesn't fit then.
func (p *planner) spotsAt(q *search, j *Job, b nodeRange, when time.Time) []spot {
	q.room = func(i int) Amount { return p.roomAt(i, j, when) }
	spots, _ := q.placeInBlock(b)
	return spots
}

// expectedFree returns when the spots are expected to be free for a job; a year from now if that can't be foreseen.
func (p *planner) expectedFree(j *Job, spots []spot) time.Time {
	var expectedEnds []time.Time
	for _, s := range spots {
		expectedEnds = append(expectedEnds, p.expectedEnds(nodeRange{lo: s.node, hi: s.node + 1})...)
	}
	slices.SortFunc(expectedEnds, func(a, b time.Time) int { return a.Compare(b) })
	for _, when := range expectedEnds {
		ok := true
		for _, s := range spots {
			ok = ok && PerTask(j.Spec.Shape).Times(s.tasks).FitsIn(p.roomAt(s.node, j, when))
		}
		if ok {
			return when
		}
	}
	return p.now.AddDate(1, 0, 0)
}
