package plan

import (
	"slices"
	"time"
)

// overQuota returns a reason if a start would exceed the quota of the team.
func (p *pass) overQuota(j *Job) Reason {
	t := p.st.Team(j.Spec.Team)
	size := j.Spec.Shape.Size()
	if t != nil && t.Quota > 0 && p.used[t.Name]+size > t.Quota {
		return Reason{Code: Quota, Need: size, Have: max(t.Quota-p.used[t.Name], 0)}
	}
	return Reason{}
}

// noRoom tells too few free accelerators from scattered ones.
func (p *pass) noRoom(j *Job) Reason {
	if p.idle < 0 {
		p.idle = 0
		for i := range p.nodes {
			if p.nodes[i].ok {
				p.idle += max(p.nodes[i].free().GPUs, 0)
			}
		}
	}
	r := Reason{Code: NoRoom, Need: j.Spec.Shape.Size(), Have: p.idle}
	if r.Have >= r.Need {
		r.Code = Scattered
	}
	return r
}

// searched returns the reason of a job after a search without result.
func (p *pass) searched(j *Job, kept bool) Reason {
	if kept {
		return Reason{Code: RackKeptFree, Until: j.Submitted.Add(p.patience(j))}
	}
	return p.noRoom(j)
}

// fitsClean reports whether a job fits if it doesn't keep off the cleanest rack.
func (p *pass) fitsClean(j *Job) bool {
	rack := p.clean
	p.clean = -1
	at := p.jobSearch(j).best()
	p.clean = rack
	return at != nil
}

// roomless reports whether the job waits for room, and not for its team or a rule.
func (p *pass) roomless(j *Job) bool {
	c := p.waits[j.Spec.ID].Code
	return c == NoRoom || c == Scattered
}

// targetSpots returns the spots of a job's target, or nil if there is none or a worker is not usable.
func (p *pass) targetSpots(j *Job) []spot {
	var at []spot
	for _, s := range j.ReservedSlots {
		i, ok := p.byID[s.Worker]
		if !ok || !p.nodes[i].ok {
			return nil
		}
		at = append(at, spot{i, s.Tasks})
	}
	return at
}

// lendable reports whether the spots may be lent to the job beside the anchors there.
func (p *pass) lendable(j *Job, at []spot) bool {
	for _, s := range at {
		n := &p.nodes[s.node]
		if !PerTask(j.Spec.Shape).Times(s.tasks).FitsIn(n.lend(n.cap, j.Spec.Grace)) {
			return false
		}
	}
	return true
}

// reserve records the slots kept for a job, if they have changed.
func (p *pass) reserve(j *Job, at []spot, due time.Time) {
	slots := slotsOf(p.view, j.Spec.Shape, at)
	if slices.Equal(slots, j.ReservedSlots) && due.Equal(j.ReservedStart) {
		return
	}
	p.d.Actions = append(p.d.Actions, Action{Verb: Reserve, Job: j.Spec.ID, Slots: slots, Deadline: due})
}

// unreserve gives up the slots kept for a job.
func (p *pass) unreserve(j *Job) {
	if len(j.ReservedSlots) > 0 {
		p.d.Actions = append(p.d.Actions, Action{Verb: Reserve, Job: j.Spec.ID})
	}
}

// keep starts a moved job on the slots that it was moved to, or gives them up.
func (p *pass) keep(j *Job) {
	at := p.targetSpots(j)
	if at != nil && p.lendable(j, at) && p.freeAt(j, at) {
		p.start(j, at, false)
		return
	}
	p.unreserve(j)
	p.try(j)
}

// fill starts jobs in order on free accelerators. Jobs with a reservation come first; when there are
// fewer than reservations, the large jobs that come first in order get one.
func (p *pass) fill(jobs []*Job) {
	var blocked []*Job
	p.chooseSlow(jobs)
	for _, j := range jobs {
		if len(j.ReservedSlots) > 0 && !p.try(j) {
			if !p.roomless(j) || !p.book(j) {
				p.unreserve(j)
			}
		}
	}
	for k, j := range jobs {
		if p.started[j.Spec.ID] || len(j.ReservedSlots) > 0 {
			continue
		}
		if k >= depth {
			p.waits[j.Spec.ID] = Reason{Code: Behind, Job: jobs[0].Spec.ID}
			continue
		}
		if p.try(j) {
			continue
		}
		if p.roomless(j) && !p.preempt(j) && j.Spec.Shape.Size() >= largeSize {
			blocked = append(blocked, j)
		}
	}
	for _, j := range blocked {
		if len(p.booked) < reservations {
			p.book(j)
		}
	}
}

// largeSize is the number of accelerators from which a job may hold a reservation.
const largeSize = 8

// try starts a job on free accelerators.
func (p *pass) try(j *Job) bool {
	id := j.Spec.ID
	if r := p.overQuota(j); r.Code != 0 {
		p.waits[id] = r
		return false
	}
	if p.tight(j) {
		p.waits[id] = Reason{Code: Headroom, Need: j.Spec.Shape.Size(), Have: max(p.st.Team(j.Spec.Team).Quota-headroomLeast-p.slowOf[j.Spec.Team], 0)}
		return false
	}
	spared := p.spared(j)
	key := missKey{shape: j.Spec.Shape, off: p.keptOff(j), spared: spared}
	if key.off {
		p.d.wake(j.Submitted.Add(p.patience(j)))
	}
	own := miss{grace: j.Spec.Grace, run: p.st.remaining(j)}
	if old := p.missed(key, own); old != nil && len(j.Failed) == 0 {
		p.waits[id] = p.searched(j, old.kept)
		return false
	}
	q := p.placeSearch(j)
	if spared {
		q.room = p.spareRoom(q.room)
	}
	at := q.best()
	if at == nil && spared && p.placeSearch(j).best() != nil {
		p.waits[id] = Reason{Code: Headroom, Need: j.Spec.Shape.Size(), Have: max(p.size-p.bound, 0)}
		return false
	}
	if at == nil {
		own.kept = key.off && p.fitsClean(j)
		if len(j.Failed) == 0 {
			p.misses[key] = append(p.misses[key], own)
		}
		p.waits[id] = p.searched(j, own.kept)
		return false
	}
	p.start(j, at, false)
	return true
}
