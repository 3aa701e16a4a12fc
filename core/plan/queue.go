package plan

import (
	"slices"
	"time"
)

// overQuota returns a reason if starting the job would exceed the quota of its team, and a zero Reason otherwise.
func (p *planner) overQuota(j *Job) Reason {
	t := p.state.Team(j.Spec.Team)
	size := j.Spec.Shape.Size()
	if t != nil && t.Quota > 0 && p.used[t.Name]+size > t.Quota {
		return Reason{Code: Quota, Need: size, Have: max(t.Quota-p.used[t.Name], 0)}
	}
	return Reason{}
}

// noRoomReason returns the reason of a job that found no room: too few free accelerators, or enough but scattered.
func (p *planner) noRoomReason(j *Job) Reason {
	if p.freeGPUs < 0 {
		p.freeGPUs = 0
		for i := range p.nodes {
			if p.nodes[i].usable {
				p.freeGPUs += max(p.nodes[i].free().GPUs, 0)
			}
		}
	}
	r := Reason{Code: NoRoom, Need: j.Spec.Shape.Size(), Have: p.freeGPUs, Evacuated: p.evacuatedRoom(j.Spec.Shape)}
	if r.Have >= r.Need {
		r.Code = Scattered
	}
	return r
}

// searchFailedReason returns the reason of a job after a failed search.
func (p *planner) searchFailedReason(j *Job, onlyKeptFreeRack bool) Reason {
	if onlyKeptFreeRack {
		return Reason{Code: RackKeptFree, Until: j.Submitted.Add(p.keepFreeWait(j))}
	}
	return p.noRoomReason(j)
}

// fitsKeptFreeRack reports whether a job finds room if it may use the rack that is kept free.
func (p *planner) fitsKeptFreeRack(j *Job) bool {
	rack := p.keptFreeRack
	p.keptFreeRack = -1
	spots := p.jobSearch(j).cheapest()
	p.keptFreeRack = rack
	return spots != nil
}

// waitsForRoom reports whether the job waits for accelerators rather than because of its quota, the headroom or the
// rack that is kept free.
func (p *planner) waitsForRoom(j *Job) bool {
	c := p.reasons[j.Spec.ID].Code
	return c == NoRoom || c == Scattered
}

// reservedSpots returns the spots of the job's reserved slots, or nil if it has none or one of the workers is not
// usable.
func (p *planner) reservedSpots(j *Job) []spot {
	var spots []spot
	for _, s := range j.ReservedSlots {
		i, ok := p.byID[s.Worker]
		if !ok || !p.nodes[i].usable {
			return nil
		}
		spots = append(spots, spot{i, s.Tasks})
	}
	return spots
}

// canBeLent reports whether the anchors on the nodes leave room to lend the spots to the job.
func (p *planner) canBeLent(j *Job, spots []spot) bool {
	for _, s := range spots {
		n := &p.nodes[s.node]
		if !PerTask(j.Spec.Shape).Times(s.tasks).FitsIn(n.limitToLendable(n.capacity, j.Spec.Grace)) {
			return false
		}
	}
	return true
}

// recordReservation adds an action that reserves the spots for a job, unless the job already holds that reservation.
func (p *planner) recordReservation(j *Job, spots []spot, due time.Time) {
	slots := slotsOf(p.view, j.Spec.Shape, spots)
	if slices.Equal(slots, j.ReservedSlots) && due.Equal(j.ReservedStart) {
		return
	}
	p.d.Actions = append(p.d.Actions, Action{Verb: Reserve, Job: j.Spec.ID, Slots: slots, Deadline: due})
}

// dropReservation adds an action that releases the slots reserved for a job.
func (p *planner) dropReservation(j *Job) {
	if len(j.ReservedSlots) > 0 {
		p.d.Actions = append(p.d.Actions, Action{Verb: Reserve, Job: j.Spec.ID})
	}
}

// startRelocated starts a moved job on the slots reserved for it. If they are not free, it drops the reservation and
// tries any other slots.
func (p *planner) startRelocated(j *Job) {
	spots := p.reservedSpots(j)
	if spots != nil && p.canBeLent(j, spots) && p.spotsFree(j, spots) {
		p.start(j, spots, false)
		return
	}
	p.dropReservation(j)
	p.tryStart(j)
}

// placeRest starts jobs in order on free accelerators. Jobs with a reservation go first. While fewer than
// maxReservations jobs hold one, the first large jobs that found no room get a reservation.
func (p *planner) placeRest(jobs []*Job) {
	var blocked []*Job
	p.chooseNextSlowJob(jobs)
	for _, j := range jobs {
		if len(j.ReservedSlots) > 0 && !p.tryStart(j) {
			if !p.waitsForRoom(j) || !p.reserveEarliest(j) {
				p.dropReservation(j)
			}
		}
	}
	for k, j := range jobs {
		if p.started[j.Spec.ID] || len(j.ReservedSlots) > 0 {
			continue
		}
		if k >= maxTried {
			p.reasons[j.Spec.ID] = Reason{Code: QueuedBehind, Job: jobs[0].Spec.ID}
			continue
		}
		if p.tryStart(j) {
			continue
		}
		if p.waitsForRoom(j) && !p.preempt(j) && j.Spec.Shape.Size() >= minReservedSize {
			blocked = append(blocked, j)
		}
	}
	for _, j := range blocked {
		if len(p.reserved) < maxReservations {
			p.reserveEarliest(j)
		}
	}
}

// minReservedSize is the number of accelerators from which a job may hold a reservation.
const minReservedSize = 8

// tryStart starts a job if there are free accelerators for it, and otherwise records the reason. It reports whether the
// job was started.
func (p *planner) tryStart(j *Job) bool {
	id := j.Spec.ID
	if r := p.overQuota(j); r.Code != 0 {
		p.reasons[id] = r
		return false
	}
	if p.exceedsTeamHeadroom(j) {
		p.reasons[id] = Reason{Code: BelowHeadroom, Need: j.Spec.Shape.Size(), Have: max(p.state.Team(j.Spec.Team).Quota-minHeadroomGPUs-p.slowByTeam[j.Spec.Team], 0)}
		return false
	}
	headroomLimited := p.headroomLimited(j)
	key := searchKey{shape: j.Spec.Shape, avoidsRack: p.avoidsKeptFreeRack(j), headroomLimited: headroomLimited}
	if key.avoidsRack {
		p.d.scheduleNext(j.Submitted.Add(p.keepFreeWait(j)))
	}
	thisSearch := failedSearch{grace: j.Spec.Grace, run: p.state.remaining(j)}
	if earlier := p.findFailedSearch(key, thisSearch); earlier != nil && len(j.Failed) == 0 {
		p.reasons[id] = p.searchFailedReason(j, earlier.onlyKeptFreeRack)
		return false
	}
	q := p.placeSearch(j)
	if headroomLimited {
		q.room = p.roomOutsideHeadroom(q.room)
	}
	spots := q.cheapest()
	if spots == nil && headroomLimited && p.placeSearch(j).cheapest() != nil {
		p.reasons[id] = Reason{Code: BelowHeadroom, Need: j.Spec.Shape.Size(), Have: max(p.totalGPUs-p.unavailableToUrgent, 0)}
		return false
	}
	if spots == nil {
		thisSearch.onlyKeptFreeRack = key.avoidsRack && p.fitsKeptFreeRack(j)
		if len(j.Failed) == 0 {
			p.failedSearches[key] = append(p.failedSearches[key], thisSearch)
		}
		p.reasons[id] = p.searchFailedReason(j, thisSearch.onlyKeptFreeRack)
		return false
	}
	p.start(j, spots, false)
	return true
}
