package plan

import (
	"cmp"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// placeClaim starts a job on the anchor of its guarantee. If the anchor is held by borrowers, uses only a part of a rack
// or has a worker on which the job failed, it tries to move the anchor first. If borrowers still hold the anchor, it
// stops them.
func (p *planner) placeClaim(j *Job) {
	name := j.Spec.Guarantee
	i := slices.IndexFunc(p.state.Anchors, func(a Anchor) bool {
		return a.Team == j.Spec.Team && a.Guarantee.Name == name
	})
	a := p.currentAnchor(i)
	if a.Shortfall != nil || len(a.Slots) == 0 {
		p.reasons[j.Spec.ID] = Reason{Code: GuaranteeShortfall, Guarantee: name, Evacuated: a.evacuatedCentre()}
		return
	}
	spots := p.claimSearch(a, j).cheapest()
	if spots == nil {
		p.reasons[j.Spec.ID] = Reason{Code: GuaranteeInUse, Guarantee: name}
		return
	}
	onFailedWorker := slices.ContainsFunc(spots, func(s spot) bool { return slices.Contains(j.Failed, p.nodes[s.node].id) })
	rackSplitCost := 0.0
	if j.ReservedStart.IsZero() {
		rackSplitCost = p.splitCost(p.anchorSpots(a), PerTask(a.Guarantee.Shape))
	}
	if !onFailedWorker && rackSplitCost == 0 && p.spotsFree(j, spots) {
		p.start(j, spots, true)
		return
	}
	if p.moveAnchor(j, i, spots, rackSplitCost, onFailedWorker) {
		return
	}
	if p.spotsFree(j, spots) {
		p.start(j, spots, true)
		return
	}
	p.preemptForClaim(a, j, spots)
}

// preemptForClaim stops the borrowers on the spots of a claim. It reserves the spots, so that later decisions don't
// choose other workers for the claim and make it wait for a second grace period.
func (p *planner) preemptForClaim(a *Anchor, j *Job, spots []spot) {
	until := p.now
	for _, s := range spots {
		need := PerTask(j.Spec.Shape).Times(s.tasks)
		until = later(until, p.reclaimNode(s.node, need, j.Spec.ID, a.Guarantee.Grace))
	}
	p.withhold(j, spots)
	if j.ReservedStart.IsZero() {
		p.recordReservation(j, spots, until)
	}
	p.addClaimedParts(a, j, spots)
	p.reasons[j.Spec.ID] = Reason{Code: Reclaiming, Guarantee: a.Guarantee.Name, Until: until}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// currentAnchor returns anchor i, including a move by this decision.
func (p *planner) currentAnchor(i int) *Anchor {
	if a := p.movedAnchors[i]; a != nil {
		return a
	}
	a := p.state.Anchors[i]
	return &a
}

// addClaimedParts records the part of an anchor that a waiting claim is going to use, so that other claims don't use
// it.
func (p *planner) addClaimedParts(a *Anchor, j *Job, spots []spot) {
	for _, s := range spots {
		key := claimedPartKey{a.Team, a.Guarantee.Name, s.node}
		p.claimedParts[key] = p.claimedParts[key].Plus(PerTask(j.Spec.Shape).Times(s.tasks))
	}
}

// claimedPartKey identifies the part of an anchor on one node.
type claimedPartKey struct {
	team      model.Team
	guarantee string
	node      int
}

// claimedPart returns the part of an anchor on a node that waiting claims are going to use.
func (p *planner) claimedPart(a *Anchor, node int) Amount {
	return p.claimedParts[claimedPartKey{a.Team, a.Guarantee.Name, node}]
}

// moveAnchor moves anchor i, which j claims, if no job uses any of it, to the place with the lowest cost, provided that
// this is cheaper than presentSpots or onFailedWorker is set. It then starts the job there or stops the borrowers, and
// reports whether the anchor was moved. Taking a part of a rack counts as a cost; presentSplitCost is that of the
// present place. onFailedWorker means that the job has failed on a worker of presentSpots.
func (p *planner) moveAnchor(j *Job, i int, presentSpots []spot, presentSplitCost float64, onFailedWorker bool) bool {
	a := p.currentAnchor(i)
	for key := range p.claimedParts {
		if key.team == a.Team && key.guarantee == a.Guarantee.Name {
			return false
		}
	}
	if len(p.tasksInUse(a)) > 0 {
		return false
	}
	grace := a.Guarantee.Grace
	q := p.anchorSearch(i, nil)
	q.room = func(k int) Amount {
		n := &p.nodes[k]
		if !n.usable || p.avoidsWorker(j, n.id) {
			return Amount{}
		}
		return n.roomForAnchor(grace, i).smaller(p.reclaimableRoom(k, grace, false))
	}
	q.cost = func(_ nodeRange, spots []spot) float64 {
		sum := p.reclaimCost(spots, q.perTask, grace)
		if j.ReservedStart.IsZero() {
			sum += p.splitCost(spots, q.perTask)
		}
		return sum
	}
	spots := q.cheapest()
	if spots == nil || (!onFailedWorker && q.cost(nodeRange{}, spots)+restartTime.Seconds() >= p.reclaimCost(presentSpots, PerTask(j.Spec.Shape), grace)+presentSplitCost) {
		return false
	}
	moved := *a
	moved.Slots = slotsOf(p.view, a.Guarantee.Shape, spots)
	if !p.switchAnchor(i, a, &moved) {
		return false
	}
	p.movedAnchors[i] = &moved
	p.d.Actions = append(p.d.Actions, Action{Verb: Anchored, Team: a.Team, Guarantee: a.Guarantee.Name, Slots: moved.Slots})
	spots = p.claimSearch(&moved, j).cheapest()
	if p.spotsFree(j, spots) {
		p.start(j, spots, true)
	} else {
		p.preemptForClaim(&moved, j, spots)
	}
	return true
}

// splitRackPenalty is the time for which the accelerators left over in a rack count as lost if a claim takes a part of
// the rack: large jobs can't use them until the claim ends.
const splitRackPenalty = 5 * time.Minute

// splitCost returns the accelerator seconds lost by using only parts of racks.
func (p *planner) splitCost(spots []spot, perTask Amount) float64 {
	rest := 0
	for k, s := range spots {
		rack := p.nodes[s.node].rack
		if !slices.ContainsFunc(spots[:k], func(o spot) bool { return p.nodes[o.node].rack == rack }) {
			rest += p.rackSize(p.racks[rack])
		}
		rest -= s.tasks * perTask.GPUs
	}
	return splitRackPenalty.Seconds() * float64(max(rest, 0))
}

// anchorSpots returns the spots of an anchor on known workers.
func (p *planner) anchorSpots(a *Anchor) []spot {
	out := make([]spot, 0, len(a.Slots))
	for _, s := range a.Slots {
		if i, ok := p.byID[s.Worker]; ok {
			out = append(out, spot{i, s.Tasks})
		}
	}
	return out
}

// switchAnchor replaces anchor a by b in the view and reports whether it did so. It doesn't if that uses up the
// headroom: slow borrowers on the workers that the anchor leaves would no longer be stopped by its claim.
func (p *planner) switchAnchor(i int, a, b *Anchor) bool {
	old := p.unavailableToUrgent
	p.removeAnchor(i, a)
	p.addAnchor(i, b)
	p.unavailableToUrgent = p.sumUnavailableToUrgent()
	if p.unavailableToUrgent <= old || p.headroomDeficit() <= 0 {
		return true
	}
	p.removeAnchor(i, b)
	p.addAnchor(i, a)
	p.unavailableToUrgent = old
	return false
}

// claimSearch returns a search for room for a claim on the unused part of an anchor.
func (p *planner) claimSearch(a *Anchor, j *Job) *search {
	q := &search{v: p.view, shape: j.Spec.Shape, perTask: PerTask(j.Spec.Shape)}
	q.room = func(k int) Amount {
		if len(p.nodes[k].anchorParts) == 0 {
			return Amount{}
		}
		return p.unusedPart(a, k).Minus(p.claimedPart(a, k))
	}
	return q
}

// reclaimCost returns the accelerator seconds lost by freeing the spots within a time.
func (p *planner) reclaimCost(spots []spot, perTask Amount, within time.Duration) float64 {
	sum := 0.0
	for _, s := range spots {
		sum += p.nodeReclaimCost(s.node, perTask.Times(s.tasks), within)
	}
	return sum
}

// reclaimNode stops borrowers on a node until need is free, and returns when it will be free.
func (p *planner) reclaimNode(i int, need Amount, forJob model.JobID, within time.Duration) time.Time {
	n := &p.nodes[i]
	room := n.free()
	until := p.now
	for _, u := range n.allocations {
		if p.stoppedWithin(u.job, within) {
			room = room.Plus(u.amount)
			until = later(until, stopDeadline(p.now, u.job))
		}
	}
	for _, u := range p.victims(i, within, false) {
		if need.FitsIn(room) {
			break
		}
		if p.beingStopped(u.job) {
			continue
		}
		p.stop(u.job, forJob)
		room = room.Plus(u.amount)
		until = later(until, p.now.Add(u.job.Spec.Grace))
	}
	return until
}

// stoppedWithin reports whether a job is being stopped and ends within a time. A cancelled job may take longer than the
// grace of the guarantee that is claimed.
func (p *planner) stoppedWithin(j *Job, within time.Duration) bool {
	return p.beingStopped(j) && stopDeadline(p.now, j).Sub(p.now) <= within
}

// stopDeadline returns the time by which a job that is being stopped has ended.
func stopDeadline(now time.Time, j *Job) time.Time {
	if j.Phase == Stopping {
		return later(now, j.StopBy)
	}
	return now.Add(j.Spec.Grace)
}

// victims returns the borrowers on a node that can be stopped within a time, those with the lowest cost first. Jobs
// that this decision has started are left out.
func (p *planner) victims(i int, within time.Duration, exceptUrgent bool) []allocation {
	var out []allocation
	for _, u := range p.nodes[i].allocations {
		j := u.job
		if j.Anchored || !stopsWithin(j, within) || p.started[j.Spec.ID] || (exceptUrgent && j.Spec.Urgent) {
			continue
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b allocation) int {
		return cmp.Or(cmp.Compare(p.stopCost(a.job), p.stopCost(b.job)), bySequence(a.job, b.job))
	})
	return out
}

// restartTime is the run time that a job loses by a checkpoint and the later start.
const restartTime = 30 * time.Second

// stopCost returns the accelerator seconds lost by stopping a job. Backfilled jobs that have exceeded their estimate
// ahead of a reservation have a negative cost, so that they are stopped first. The cost of urgent jobs includes another
// 24 hours of run time, so that they are stopped last.
func (p *planner) stopCost(j *Job) float64 {
	ran := p.now.Sub(j.Started)
	size := float64(max(j.Spec.Shape.Size(), 1))
	if j.BackfillAheadOf != "" && ran > j.Expected {
		return -1 / size
	}
	lost := ran
	if j.Spec.Checkpoint {
		lost = min(ran, restartTime) + restartTime
	}
	if j.Spec.Urgent {
		lost += 24 * time.Hour
	}
	return lost.Seconds() * size
}

// placeUrgent starts an urgent job, if necessary by stopping jobs that can end in time.
func (p *planner) placeUrgent(j *Job) {
	id := j.Spec.ID
	r := p.overQuota(j)
	if r.Code != 0 && !p.preemptOwnTeam(j) {
		p.reasons[id] = r
		return
	}
	if spots := p.reservedSpots(j); spots != nil && p.canBeLent(j, spots) {
		if p.spotsFree(j, spots) {
			p.start(j, spots, false)
			return
		}
		if p.now.Before(j.ReservedStart) {
			p.withhold(j, spots)
			p.reasons[id] = Reason{Code: Reclaiming, Until: j.ReservedStart}
			p.d.scheduleNext(j.ReservedStart)
			return
		}
	}
	q := p.jobSearch(j)
	q.room = func(i int) Amount { return p.room(i, j, 0) }
	if spots := q.cheapest(); spots != nil {
		p.start(j, spots, false)
		return
	}
	within := UrgentWithin - urgentMargin
	q.room = func(i int) Amount { return p.urgentRoom(i, j, within) }
	q.cost = func(_ nodeRange, spots []spot) float64 {
		sum := 0.0
		for _, s := range spots {
			sum += p.nodeReclaimCost(s.node, q.perTask.Times(s.tasks), within)
		}
		return sum
	}
	spots := q.cheapest()
	if spots == nil {
		p.reasons[id] = p.noRoomReason(j)
		return
	}
	until := p.now
	for _, s := range spots {
		until = later(until, p.reclaimNode(s.node, q.perTask.Times(s.tasks), id, within))
	}
	p.withhold(j, spots)
	p.recordReservation(j, spots, until)
	p.reasons[id] = Reason{Code: Reclaiming, Until: until}
}

// preemptOwnTeam stops jobs of a team that is at its quota, so that an urgent job of the team stays within it. It
// reports whether enough jobs can be stopped in time; if not, it stops none. Jobs in evacuated data centres are not stopped.
func (p *planner) preemptOwnTeam(j *Job) bool {
	within := UrgentWithin - urgentMargin
	excess := p.used[j.Spec.Team] + j.Spec.Shape.Size() - p.state.Team(j.Spec.Team).Quota
	seen := map[model.JobID]bool{}
	var stoppable []*Job
	for i := range p.nodes {
		if p.nodes[i].evacuated {
			continue
		}
		for _, u := range p.nodes[i].allocations {
			o := u.job
			if o.Spec.Team != j.Spec.Team || o.Anchored || o.Spec.Urgent || seen[o.Spec.ID] || p.started[o.Spec.ID] {
				continue
			}
			seen[o.Spec.ID] = true
			switch {
			case p.stoppedWithin(o, within):
				excess -= o.Spec.Shape.Size()
			case !p.beingStopped(o) && stopsWithin(o, within):
				stoppable = append(stoppable, o)
			}
		}
	}
	slices.SortFunc(stoppable, func(a, b *Job) int { return cmp.Or(cmp.Compare(p.stopCost(a), p.stopCost(b)), bySequence(a, b)) })
	sum := 0
	for _, o := range stoppable {
		sum += o.Spec.Shape.Size()
	}
	if sum < excess {
		return false
	}
	for _, o := range stoppable {
		if excess <= 0 {
			break
		}
		p.stop(o, j.Spec.ID)
		excess -= o.Spec.Shape.Size()
	}
	return true
}

// urgentRoom returns the room for a job on a node once all jobs have ended that can be stopped within a time, except
// urgent ones.
func (p *planner) urgentRoom(i int, j *Job, within time.Duration) Amount {
	n := &p.nodes[i]
	if !n.usable || p.avoidsWorker(j, n.id) {
		return Amount{}
	}
	return n.limitToLendable(p.reclaimableRoom(i, within, true), j.Spec.Grace)
}

// reclaimableRoom returns the resources that are free on a node once all borrowers have ended that can be stopped
// within a time.
func (p *planner) reclaimableRoom(i int, within time.Duration, exceptUrgent bool) Amount {
	n := &p.nodes[i]
	r := n.free()
	for _, u := range n.allocations {
		if p.stoppedWithin(u.job, within) {
			r = r.Plus(u.amount)
		}
	}
	for _, u := range p.victims(i, within, exceptUrgent) {
		if !p.beingStopped(u.job) {
			r = r.Plus(u.amount)
		}
	}
	return r
}

// nodeReclaimCost returns the accelerator seconds lost by freeing need on a node within a time.
func (p *planner) nodeReclaimCost(i int, need Amount, within time.Duration) float64 {
	n := &p.nodes[i]
	room := n.free()
	for _, u := range n.allocations {
		if p.stoppedWithin(u.job, within) {
			room = room.Plus(u.amount)
		}
	}
	sum := 0.0
	for _, u := range p.victims(i, within, true) {
		if need.FitsIn(room) {
			break
		}
		if !p.beingStopped(u.job) {
			room = room.Plus(u.amount)
			sum += p.stopCost(u.job)
		}
	}
	return sum
}
