package plan

import (
	"cmp"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// claim starts a job under its guarantee, on free accelerators if the anchors can move there, or
// else by stopping borrowers.
func (p *pass) claim(j *Job) {
	name := j.Spec.Guarantee
	i := slices.IndexFunc(p.st.Anchors, func(a Anchor) bool {
		return a.Team == j.Spec.Team && a.Guarantee.Name == name
	})
	a := p.anchorNow(i)
	if a.Shortfall != nil || len(a.Slots) == 0 {
		p.waits[j.Spec.ID] = Reason{Code: Short, Guarantee: name}
		return
	}
	at := p.claimSearch(a, j).best()
	if at == nil {
		p.waits[j.Spec.ID] = Reason{Code: InUse, Guarantee: name}
		return
	}
	failed := slices.ContainsFunc(at, func(s spot) bool { return slices.Contains(j.Failed, p.nodes[s.node].id) })
	split := 0.0
	if j.ReservedStart.IsZero() {
		split = p.splitCost(p.anchorSpots(a), PerTask(a.Guarantee.Shape))
	}
	if !failed && split == 0 && p.freeAt(j, at) {
		p.start(j, at, true)
		return
	}
	if p.moveAnchor(j, i, at, split, failed) {
		return
	}
	if p.freeAt(j, at) {
		p.start(j, at, true)
		return
	}
	p.displace(a, j, at)
}

// displace stops the borrowers on the spots of a claim. The reservation keeps the claim from moving on to
// other workers and waiting for a second grace there.
func (p *pass) displace(a *Anchor, j *Job, at []spot) {
	until := p.now
	for _, s := range at {
		need := PerTask(j.Spec.Shape).Times(s.tasks)
		until = later(until, p.reclaim(s.node, need, j.Spec.ID, a.Guarantee.Grace))
	}
	p.holdNow(j, at)
	if j.ReservedStart.IsZero() {
		p.reserve(j, at, until)
	}
	p.promise(a, j, at)
	p.waits[j.Spec.ID] = Reason{Code: Reclaiming, Guarantee: a.Guarantee.Name, Until: until}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// anchorNow returns anchor i as this decision has left it.
func (p *pass) anchorNow(i int) *Anchor {
	if a := p.moved[i]; a != nil {
		return a
	}
	a := p.st.Anchors[i]
	return &a
}

// promise keeps the part of an anchor that a claim waits for from other claims.
func (p *pass) promise(a *Anchor, j *Job, at []spot) {
	for _, s := range at {
		key := promiseKey{a.Team, a.Guarantee.Name, s.node}
		p.promises[key] = p.promises[key].Plus(PerTask(j.Spec.Shape).Times(s.tasks))
	}
}

type promiseKey struct {
	team      model.Team
	guarantee string
	node      int
}

func (p *pass) promised(a *Anchor, k int) Amount {
	return p.promises[promiseKey{a.Team, a.Guarantee.Name, k}]
}

// moveAnchor moves a wholly unused anchor to where the least work is lost, if that is less than
// at the spots, and starts the job there or stops the borrowers. Splitting a rack counts as lost work:
// split is the cost of the present workers.
func (p *pass) moveAnchor(j *Job, i int, here []spot, split float64, failed bool) bool {
	a := p.anchorNow(i)
	for key := range p.promises {
		if key.team == a.Team && key.guarantee == a.Guarantee.Name {
			return false
		}
	}
	if len(p.inUse(a)) > 0 {
		return false
	}
	grace := a.Guarantee.Grace
	q := p.anchorSearch(i, nil)
	q.room = func(k int) Amount {
		n := &p.nodes[k]
		if !n.ok || p.avoids(j, n.id) {
			return Amount{}
		}
		return n.anchorable(grace, i).smaller(p.cleared(k, grace, false))
	}
	q.cost = func(_ span, at []spot) float64 {
		sum := p.displaceCost(at, q.each, grace)
		if j.ReservedStart.IsZero() {
			sum += p.splitCost(at, q.each)
		}
		return sum
	}
	at := q.best()
	if at == nil || (!failed && q.cost(span{}, at)+restart.Seconds() >= p.displaceCost(here, PerTask(j.Spec.Shape), grace)+split) {
		return false
	}
	b := *a
	b.Slots = slotsOf(p.view, a.Guarantee.Shape, at)
	if !p.shift(i, a, &b) {
		return false
	}
	p.moved[i] = &b
	p.d.Actions = append(p.d.Actions, Action{Verb: Anchored, Team: a.Team, Guarantee: a.Guarantee.Name, Slots: b.Slots})
	at = p.claimSearch(&b, j).best()
	if p.freeAt(j, at) {
		p.start(j, at, true)
	} else {
		p.displace(&b, j, at)
	}
	return true
}

// splitLoss is the time for which the accelerators left over in a rack count as lost if a claim takes
// part of the rack: large jobs can't use them until it ends.
const splitLoss = 5 * time.Minute

// splitCost returns the accelerator seconds lost by taking only a part of racks.
func (p *pass) splitCost(at []spot, each Amount) float64 {
	rest := 0
	for k, s := range at {
		rack := p.nodes[s.node].rack
		if !slices.ContainsFunc(at[:k], func(o spot) bool { return p.nodes[o.node].rack == rack }) {
			rest += p.rackSize(p.racks[rack])
		}
		rest -= s.tasks * each.GPUs
	}
	return splitLoss.Seconds() * float64(max(rest, 0))
}

// anchorSpots returns the spots of an anchor.
func (p *pass) anchorSpots(a *Anchor) []spot {
	out := make([]spot, 0, len(a.Slots))
	for _, s := range a.Slots {
		if i, ok := p.byID[s.Worker]; ok {
			out = append(out, spot{i, s.Tasks})
		}
	}
	return out
}

// shift ties an anchor to other workers, unless that takes from the headroom what it needs: slow
// borrowers on the workers that the anchor leaves no longer leave for its claim.
func (p *pass) shift(i int, a, b *Anchor) bool {
	old := p.bound
	p.untie(i, a)
	p.tie(i, b)
	p.bound = p.boundNow()
	if p.bound <= old || p.lacking() <= 0 {
		return true
	}
	p.untie(i, b)
	p.tie(i, a)
	p.bound = old
	return false
}

// claimSearch returns the search for the spots of a claim on the unused part of an anchor.
func (p *pass) claimSearch(a *Anchor, j *Job) *search {
	q := &search{v: p.view, shape: j.Spec.Shape, each: PerTask(j.Spec.Shape)}
	q.room = func(k int) Amount {
		if len(p.nodes[k].ties) == 0 {
			return Amount{}
		}
		return p.unused(a, k).Minus(p.promised(a, k))
	}
	return q
}

// displaceCost returns the accelerator seconds wasted by freeing the spots.
func (p *pass) displaceCost(at []spot, each Amount, within time.Duration) float64 {
	sum := 0.0
	for _, s := range at {
		sum += p.clearCost(s.node, each.Times(s.tasks), within)
	}
	return sum
}

// reclaim stops borrowers on a node until need is free, and returns when it will be.
func (p *pass) reclaim(i int, need Amount, by model.JobID, within time.Duration) time.Time {
	n := &p.nodes[i]
	room := n.free()
	until := p.now
	for _, u := range n.uses {
		if p.leavingWithin(u.job, within) {
			room = room.Plus(u.amount)
			until = later(until, gone(p.now, u.job))
		}
	}
	for _, u := range p.victims(i, within, false) {
		if need.FitsIn(room) {
			break
		}
		if p.leaving(u.job) {
			continue
		}
		p.stop(u.job, by)
		room = room.Plus(u.amount)
		until = later(until, p.now.Add(u.job.Spec.Grace))
	}
	return until
}

// leavingWithin reports whether a job is on its way out and gone within a time. A cancelled job may
// take longer than the grace of the guarantee that waits.
func (p *pass) leavingWithin(j *Job, within time.Duration) bool {
	return p.leaving(j) && gone(p.now, j).Sub(p.now) <= within
}

// gone returns when a job that is on its way out has left.
func gone(now time.Time, j *Job) time.Time {
	if j.Phase == Stopping {
		return later(now, j.StopBy)
	}
	return now.Add(j.Spec.Grace)
}

// victims returns the borrowers on a node that can leave within a time, the cheapest first.
// Jobs that this decision started are no victims.
func (p *pass) victims(i int, within time.Duration, spareUrgent bool) []use {
	var out []use
	for _, u := range p.nodes[i].uses {
		j := u.job
		if j.Anchored || !leaves(j, within) || p.started[j.Spec.ID] || (spareUrgent && j.Spec.Urgent) {
			continue
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b use) int {
		return cmp.Or(cmp.Compare(p.loss(a.job), p.loss(b.job)), bySequence(a.job, b.job))
	})
	return out
}

// restart is the run time that a checkpoint and a later start cost a job.
const restart = 30 * time.Second

// loss returns the accelerator seconds that a stop wastes. Jobs that have outlived their estimate
// and are backfill in front of a reservation come first.
func (p *pass) loss(j *Job) float64 {
	ran := p.now.Sub(j.Started)
	size := float64(max(j.Spec.Shape.Size(), 1))
	if j.BackfillAheadOf != "" && ran > j.Expected {
		return -1 / size
	}
	lost := ran
	if j.Spec.Checkpoint {
		lost = min(ran, restart) + restart
	}
	if j.Spec.Urgent {
		lost += 24 * time.Hour
	}
	return lost.Seconds() * size
}

// hurry starts an urgent job, if need be by stopping work that can leave in time.
func (p *pass) hurry(j *Job) {
	id := j.Spec.ID
	r := p.overQuota(j)
	if r.Code != 0 && !p.yield(j) {
		p.waits[id] = r
		return
	}
	if at := p.targetSpots(j); at != nil && p.lendable(j, at) {
		if p.freeAt(j, at) {
			p.start(j, at, false)
			return
		}
		if p.now.Before(j.ReservedStart) {
			p.holdNow(j, at)
			p.waits[id] = Reason{Code: Reclaiming, Until: j.ReservedStart}
			p.d.wake(j.ReservedStart)
			return
		}
	}
	q := p.jobSearch(j)
	q.room = func(i int) Amount { return p.room(i, j, 0) }
	if at := q.best(); at != nil {
		p.start(j, at, false)
		return
	}
	within := UrgentWithin - urgentMargin
	q.room = func(i int) Amount { return p.clearable(i, j, within) }
	q.cost = func(_ span, at []spot) float64 {
		sum := 0.0
		for _, s := range at {
			sum += p.clearCost(s.node, q.each.Times(s.tasks), within)
		}
		return sum
	}
	at := q.best()
	if at == nil {
		p.waits[id] = p.noRoom(j)
		return
	}
	until := p.now
	for _, s := range at {
		until = later(until, p.reclaim(s.node, q.each.Times(s.tasks), id, within))
	}
	p.holdNow(j, at)
	p.reserve(j, at, until)
	p.waits[id] = Reason{Code: Reclaiming, Until: until}
}

// yield stops work of a team at its quota, so that an urgent job of the team stays within it.
// It reports whether enough work leaves in time.
func (p *pass) yield(j *Job) bool {
	within := UrgentWithin - urgentMargin
	over := p.used[j.Spec.Team] + j.Spec.Shape.Size() - p.st.Team(j.Spec.Team).Quota
	seen := map[model.JobID]bool{}
	var own []*Job
	for i := range p.nodes {
		for _, u := range p.nodes[i].uses {
			o := u.job
			if o.Spec.Team != j.Spec.Team || o.Anchored || o.Spec.Urgent || seen[o.Spec.ID] || p.started[o.Spec.ID] {
				continue
			}
			seen[o.Spec.ID] = true
			switch {
			case p.leavingWithin(o, within):
				over -= o.Spec.Shape.Size()
			case !p.leaving(o) && leaves(o, within):
				own = append(own, o)
			}
		}
	}
	slices.SortFunc(own, func(a, b *Job) int { return cmp.Or(cmp.Compare(p.loss(a), p.loss(b)), bySequence(a, b)) })
	sum := 0
	for _, o := range own {
		sum += o.Spec.Shape.Size()
	}
	if sum < over {
		return false
	}
	for _, o := range own {
		if over <= 0 {
			break
		}
		p.stop(o, j.Spec.ID)
		over -= o.Spec.Shape.Size()
	}
	return true
}

// clearable returns the room for a job on a node once work that can leave within a time has left.
func (p *pass) clearable(i int, j *Job, within time.Duration) Amount {
	n := &p.nodes[i]
	if !n.ok || p.avoids(j, n.id) {
		return Amount{}
	}
	return n.lend(p.cleared(i, within, true), j.Spec.Grace)
}

// cleared returns what is free on a node once work that can leave within a time has left.
func (p *pass) cleared(i int, within time.Duration, spareUrgent bool) Amount {
	n := &p.nodes[i]
	r := n.free()
	for _, u := range n.uses {
		if p.leavingWithin(u.job, within) {
			r = r.Plus(u.amount)
		}
	}
	for _, u := range p.victims(i, within, spareUrgent) {
		if !p.leaving(u.job) {
			r = r.Plus(u.amount)
		}
	}
	return r
}

// clearCost returns the accelerator seconds wasted by freeing need on a node.
func (p *pass) clearCost(i int, need Amount, within time.Duration) float64 {
	n := &p.nodes[i]
	room := n.free()
	for _, u := range n.uses {
		if p.leavingWithin(u.job, within) {
			room = room.Plus(u.amount)
		}
	}
	sum := 0.0
	for _, u := range p.victims(i, within, true) {
		if need.FitsIn(room) {
			break
		}
		if !p.leaving(u.job) {
			room = room.Plus(u.amount)
			sum += p.loss(u.job)
		}
	}
	return sum
}
