package plan

import (
	"slices"
	"time"
)

// Accept applies the actions of a decision to the State and returns those that are still valid; only these may be
// carried out. An action is dropped if its job has ended or changed since the decision, if a worker was lost, or if its
// room has been taken.
func (s *State) Accept(now time.Time, actions []Action) []Action {
	s.initMaps()
	s.ensureIndex(now)
	var out []Action
	anchorMoved := false
	for _, a := range actions {
		if s.acceptAction(now, a) {
			out = append(out, a)
			anchorMoved = anchorMoved || a.Verb == Anchored
		}
	}
	if anchorMoved {
		// A guarantee with a shortfall may now fit in the place that the anchor has left.
		s.retryShortfalls(now)
	}
	return out
}

// acceptAction applies an action to the State if it is still valid, and reports whether it did.
func (s *State) acceptAction(now time.Time, a Action) bool {
	if a.Verb == Anchored {
		return s.acceptAnchorMove(a)
	}
	j := s.Jobs[a.Job]
	if j == nil {
		return false
	}
	switch a.Verb {
	case Start:
		if j.Phase != Queued || a.Run != j.Run+1 || !s.startFits(j, a) {
			return false
		}
		s.replaceJob(now, j, func(c *Job) {
			c.Phase, c.Started, c.Run, c.Slots = Starting, now, a.Run, a.Slots
			c.Anchored, c.Expected, c.BackfillAheadOf = a.Anchored, a.Expected, a.ForJob
			c.ReservedSlots, c.ReservedStart, c.LastStopReason = nil, time.Time{}, Reason{}
		})
	case Checkpoint, Stop, Move:
		needed := a.ForJob == "" || s.Jobs[a.ForJob] != nil
		if a.Reason.Code == StartEvacuated && j.Phase != Starting {
			// The job has begun to run since the decision.
			return false
		}
		if !j.placed() || j.Phase == Stopping || a.Run != j.Run || !(needed || j.Cancelled) {
			return false
		}
		s.replaceJob(now, j, func(c *Job) {
			c.Phase, c.StopBy, c.ReservedSlots, c.ReservedStart = Stopping, a.Deadline, a.Slots, a.Deadline
			c.Preemptions++
			c.LastStopReason, c.PeakUsage = a.Reason, c.peak().Max(c.PeakUsage)
		})
	case Reserve:
		if j.Phase != Queued {
			return false
		}
		s.replaceJob(now, j, func(c *Job) { c.ReservedSlots, c.ReservedStart = a.Slots, a.Deadline })
	default:
		return false
	}
	return true
}

// startFits reports whether the slots of a start still have room for it. Unless the job starts on its own anchor, the
// room must also be lendable to it.
func (s *State) startFits(j *Job, a Action) bool {
	x := s.idx
	for _, sl := range a.Slots {
		i, ok := x.byID[sl.Worker]
		if !ok || !x.nodes[i].usable {
			return false
		}
		n := &x.nodes[i]
		need := PerTask(j.Spec.Shape).Times(sl.Tasks)
		if !need.FitsIn(n.free()) {
			return false
		}
		if !a.Anchored && !need.FitsIn(n.limitToLendable(n.free(), j.Spec.Grace)) {
			return false
		}
	}
	return !a.Anchored || x.anchorHolds(s, j, a.Slots)
}

// anchorHolds reports whether the slots fit in the unused part of the anchor of the job's guarantee.
func (x *index) anchorHolds(s *State, j *Job, slots []Slot) bool {
	g := s.anchor(j.Spec.Team, j.Spec.Guarantee)
	if g == nil {
		return false
	}
	perTask := PerTask(j.Spec.Shape)
	for _, sl := range slots {
		if !perTask.Times(sl.Tasks).FitsIn(x.unusedPart(g, x.byID[sl.Worker])) {
			return false
		}
	}
	return true
}

// unusedPart returns the part of an anchor on a node that the jobs of its guarantee don't use.
func (x *index) unusedPart(a *Anchor, i int) Amount {
	var sum Amount
	for _, sl := range a.Slots {
		if x.nodes[i].id == sl.Worker {
			sum = sum.Plus(PerTask(a.Guarantee.Shape).Times(sl.Tasks))
		}
	}
	for _, u := range x.nodes[i].allocations {
		if u.job.Anchored && u.job.Spec.Team == a.Team && u.job.Spec.Guarantee == a.Guarantee.Name {
			sum = sum.Minus(u.amount.Minus(u.excess))
		}
	}
	return sum
}

// acceptAnchorMove moves the anchor of a guarantee if no job uses it and the new place is still feasible.
func (s *State) acceptAnchorMove(a Action) bool {
	g := s.anchor(a.Team, a.Guarantee)
	if g == nil || len(s.idx.tasksInUse(g)) > 0 {
		return false
	}
	i := slices.IndexFunc(s.Anchors, func(o Anchor) bool { return o.Team == a.Team && o.Guarantee.Name == a.Guarantee })
	for _, sl := range a.Slots {
		k, ok := s.idx.byID[sl.Worker]
		if !ok || !PerTask(g.Guarantee.Shape).Times(sl.Tasks).FitsIn(s.idx.nodes[k].roomForAnchor(g.Guarantee.Grace, i)) {
			return false
		}
	}
	s.idx.removeAnchor(i, g)
	g.Slots = a.Slots
	s.idx.addAnchor(i, g)
	return true
}
