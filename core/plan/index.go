package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// ReactionTime is the time allowed for a decision and for delivering its commands. A borrower can be stopped for a
// guarantee if its grace plus ReactionTime is within the grace of the guarantee.
const ReactionTime = time.Second

// allocation is the part of a job that runs on one node.
type allocation struct {
	job    *Job
	amount Amount
	// excess is the measured usage of an anchored job above its declared amount.
	excess Amount
	// maxAmount is the larger of amount and the declared amount. It counts where the job can't be stopped in time, so
	// that usage that grows back to the declaration takes nothing from an anchor.
	maxAmount Amount
}

// anchorPart is the part of an anchor on one node.
type anchorPart struct {
	anchor int
	grace  time.Duration
	amount Amount
}

// lendLimit is the amount on a node that can't be lent to jobs that take longer than grace to stop: all anchors, and
// the jobs that can't be stopped within grace. Anchors with a longer grace are included, since jobs of their own
// guarantee may run on them.
type lendLimit struct {
	grace     time.Duration
	committed Amount
}

// reservation keeps room on a node for a job from a time on.
type reservation struct {
	job  *Job
	from time.Time
	// leftover is the room beside the reserved job once it has started.
	leftover Amount
}

// node is a worker with the jobs, anchors and reservations on it.
type node struct {
	id   model.WorkerID
	rack int
	// usable is set if the worker can be given work, evacuated if its data centre is evacuated.
	usable    bool
	evacuated bool
	capacity  Amount
	used      Amount
	// unmovable counts the accelerators of anchored jobs and of jobs that can't be checkpointed within a minute.
	unmovable int
	// slowToStop counts the accelerators of borrowers that can't be stopped in time for urgent work.
	slowToStop int
	// withheld is room that this decision keeps for jobs that start later.
	withheld     Amount
	allocations  []allocation
	anchorParts  []anchorPart
	lendLimits   []lendLimit
	reservations []reservation
}

// nodeRange is a range of nodes: those of a data centre, of a rack, or a single one.
type nodeRange struct {
	name   string
	lo, hi int
}

// index holds the nodes and jobs of a State in the form that decisions need. It is rebuilt when workers join or change
// and is updated in place otherwise.
type index struct {
	nodes   []node
	byID    map[model.WorkerID]int
	racks   []nodeRange
	centres []nodeRange
	// singleNodes holds one range for each node.
	singleNodes []nodeRange
	queue       []*Job
	refused     map[model.JobID]*Job
	// cancelledPlaced holds the cancelled jobs that still have to be stopped.
	cancelledPlaced map[model.JobID]*Job
	// quarantined holds the nodes whose quarantine has not ended.
	quarantined map[int]bool
	// moving holds the stopping jobs that have reserved slots to move to.
	moving map[model.JobID]*Job
	// used counts the accelerators in use by team.
	used map[model.Team]int
	// maxTasksByShape caches the results of view.maxTasks.
	maxTasksByShape map[model.Shape]int
	// anchorsStale is set when anchors may have become infeasible.
	anchorsStale bool
}

// view is a copy of the index on which one decision is computed.
type view struct {
	index
	state *State
	now   time.Time
	// cands is a buffer that searches reuse.
	cands []candidate
}

// ensureIndex returns the index and builds it if there is none.
func (s *State) ensureIndex(now time.Time) *index {
	if s.idx != nil {
		return s.idx
	}
	x := &index{
		byID:    make(map[model.WorkerID]int, len(s.Workers)),
		refused: map[model.JobID]*Job{}, cancelledPlaced: map[model.JobID]*Job{}, quarantined: map[int]bool{}, moving: map[model.JobID]*Job{},
		used: map[model.Team]int{}, maxTasksByShape: map[model.Shape]int{}, anchorsStale: true,
	}
	evacuated := s.evacuatedSet()
	workers := make([]*model.Worker, 0, len(s.Workers))
	for _, ws := range s.Workers {
		w := ws.Worker
		workers = append(workers, &w)
	}
	slices.SortFunc(workers, func(a, b *model.Worker) int {
		return cmp.Or(cmp.Compare(a.Centre, b.Centre), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	x.nodes, x.singleNodes = make([]node, len(workers)), make([]nodeRange, len(workers))
	for i, w := range workers {
		x.byID[w.ID] = i
		x.singleNodes[i] = nodeRange{lo: i, hi: i + 1}
		if i == 0 || workers[i-1].Centre != w.Centre {
			x.centres = append(x.centres, nodeRange{name: string(w.Centre), lo: i})
		}
		if i == 0 || workers[i-1].Centre != w.Centre || workers[i-1].Rack != w.Rack {
			x.racks = append(x.racks, nodeRange{name: w.Rack, lo: i})
		}
		x.centres[len(x.centres)-1].hi = i + 1
		x.racks[len(x.racks)-1].hi = i + 1
		x.nodes[i] = node{id: w.ID, rack: len(x.racks) - 1, capacity: Capacity(*w), evacuated: evacuated[w.Centre]}
	}
	s.idx = x
	for _, j := range s.Jobs {
		if j.Phase == Queued {
			x.queue = append(x.queue, j)
			continue
		}
		x.addJob(j)
	}
	for i := range s.Anchors {
		x.addAnchor(i, &s.Anchors[i])
	}
	for i := range x.nodes {
		x.nodes[i].recalc()
		x.refreshUsable(s, i, now)
	}
	slices.SortFunc(x.queue, bySequence)
	return x
}

// bySequence compares two jobs by order of submission.
func bySequence(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) }

// refreshUsable updates whether a node is usable and whether it is quarantined.
func (x *index) refreshUsable(s *State, i int, now time.Time) {
	ws := s.Workers[x.nodes[i].id]
	ok := ws.Usable(now) && !x.nodes[i].evacuated
	if ok != x.nodes[i].usable {
		x.anchorsStale = true
	}
	x.nodes[i].usable = ok
	if ws.QuarantinedUntil.After(now) {
		x.quarantined[i] = true
	} else {
		delete(x.quarantined, i)
	}
}

// chargedAmount returns the amount charged for a slot of a job: the larger of declared and measured usage until the
// measurement is settled, and the measured usage afterwards. Jobs on their own anchors are never charged less than
// declared, so that no part of a guarantee is lent while it is in use. Their cores are always charged as declared: a
// worker can throttle cores, so cores used beyond the guarantee don't make other guarantees infeasible.
func chargedAmount(j *Job, s Slot) Amount {
	declared := PerTask(j.Spec.Shape).Times(s.Tasks)
	for _, o := range j.Observed {
		if o.Worker != s.Worker {
			continue
		}
		if o.Settled && !j.Anchored {
			return o.Amount
		}
		sum := declared.Max(o.Amount)
		if j.Anchored {
			sum.Cores = declared.Cores
		}
		return sum
	}
	return declared
}

// addJob adds a job to the index.
func (x *index) addJob(j *Job) {
	switch {
	case j.Phase == Queued:
		i, _ := slices.BinarySearchFunc(x.queue, j, bySequence)
		x.queue = slices.Insert(x.queue, i, j)
	case j.Phase == Refused:
		x.refused[j.Spec.ID] = j
	default:
		x.addSlots(j)
		if j.Cancelled && j.Phase != Stopping {
			x.cancelledPlaced[j.Spec.ID] = j
		}
		if j.Phase == Stopping && len(j.ReservedSlots) > 0 {
			x.moving[j.Spec.ID] = j
		}
	}
}

// addSlots adds the slots of a placed job to the nodes.
func (x *index) addSlots(j *Job) {
	for _, s := range j.Slots {
		i, ok := x.byID[s.Worker]
		if !ok {
			continue
		}
		u := allocation{job: j, amount: chargedAmount(j, s)}
		declared := PerTask(j.Spec.Shape).Times(s.Tasks)
		u.maxAmount = u.amount.Max(declared)
		if j.Anchored {
			u.excess = u.amount.Minus(declared).floor()
		}
		n := &x.nodes[i]
		n.allocations = append(n.allocations[:len(n.allocations):len(n.allocations)], u)
		n.recalc()
		x.used[j.Spec.Team] += u.amount.GPUs
	}
}

// dropJob removes a job from the index.
func (x *index) dropJob(j *Job) {
	switch {
	case j.Phase == Queued:
		if i, ok := slices.BinarySearchFunc(x.queue, j, bySequence); ok {
			x.queue = slices.Delete(x.queue, i, i+1)
		}
	case j.Phase == Refused:
		delete(x.refused, j.Spec.ID)
	default:
		x.removeSlots(j)
		delete(x.cancelledPlaced, j.Spec.ID)
		delete(x.moving, j.Spec.ID)
	}
}

// removeSlots removes the slots of a placed job from the nodes.
func (x *index) removeSlots(j *Job) {
	for _, s := range j.Slots {
		i, ok := x.byID[s.Worker]
		if !ok {
			continue
		}
		n := &x.nodes[i]
		for k, u := range n.allocations {
			if u.job.Spec.ID == j.Spec.ID {
				x.used[j.Spec.Team] -= u.amount.GPUs
				n.allocations = append(n.allocations[:k:k], n.allocations[k+1:]...)
				n.recalc()
				break
			}
		}
	}
}

// addAnchor adds the slots of an anchor to the nodes.
func (x *index) addAnchor(i int, a *Anchor) {
	for _, s := range a.Slots {
		if k, ok := x.byID[s.Worker]; ok {
			n := &x.nodes[k]
			t := anchorPart{anchor: i, grace: a.Guarantee.Grace, amount: PerTask(a.Guarantee.Shape).Times(s.Tasks)}
			n.anchorParts = append(n.anchorParts[:len(n.anchorParts):len(n.anchorParts)], t)
			n.recalc()
		}
	}
}

// removeAnchor removes the slots of an anchor from the nodes.
func (x *index) removeAnchor(i int, a *Anchor) {
	for _, s := range a.Slots {
		if k, ok := x.byID[s.Worker]; ok {
			n := &x.nodes[k]
			n.anchorParts = slices.DeleteFunc(slices.Clone(n.anchorParts), func(t anchorPart) bool { return t.anchor == i })
			n.recalc()
		}
	}
}

// recalc recomputes the sums and the lend limits of a node.
func (n *node) recalc() {
	n.used, n.unmovable, n.slowToStop = Amount{}, 0, 0
	for _, u := range n.allocations {
		n.used = n.used.Plus(u.amount)
		if u.job.Anchored || !movable(u.job) {
			n.unmovable += u.amount.GPUs
		}
		if !u.job.Anchored && !stopsForUrgent(u.job) {
			n.slowToStop += u.amount.GPUs
		}
	}
	n.lendLimits = nil
	for _, t := range n.anchorParts {
		if !slices.ContainsFunc(n.lendLimits, func(l lendLimit) bool { return l.grace == t.grace }) {
			n.lendLimits = append(n.lendLimits, lendLimit{grace: t.grace, committed: n.committed(t.grace, -1)})
		}
	}
}

// committed returns the amount of all anchors except skip, of the usage of anchored jobs above their anchors, and of the
// borrowers that can't be stopped within grace.
func (n *node) committed(grace time.Duration, skip int) Amount {
	var sum Amount
	for _, t := range n.anchorParts {
		if t.anchor != skip {
			sum = sum.Plus(t.amount)
		}
	}
	for _, u := range n.allocations {
		switch {
		case u.job.Anchored:
			sum = sum.Plus(u.excess)
		case !stopsWithin(u.job, grace):
			sum = sum.Plus(u.maxAmount)
		}
	}
	return sum
}

// movable reports whether a job can be checkpointed within a minute.
func movable(j *Job) bool { return j.Spec.Checkpoint && stopsWithin(j, time.Minute) }

// stopsForUrgent reports whether a job can be stopped in time for urgent work. Jobs for which it is false are called
// slow; these include all urgent jobs.
func stopsForUrgent(j *Job) bool { return !j.Spec.Urgent && stopsWithin(j, UrgentWithin-urgentMargin) }

// stopsWithin reports whether a job can be stopped within grace.
func stopsWithin(j *Job, grace time.Duration) bool { return j.Spec.Grace+ReactionTime <= grace }

// free returns the resources that are neither used nor withheld.
func (n *node) free() Amount { return n.capacity.Minus(n.used).Minus(n.withheld) }

// limitToLendable limits room to what a job with this grace may use without making an anchor infeasible.
func (n *node) limitToLendable(room Amount, grace time.Duration) Amount {
	for _, l := range n.lendLimits {
		if grace+ReactionTime > l.grace {
			room = room.smaller(n.capacity.Minus(l.committed))
		}
	}
	return room
}

// roomForAnchor returns the room for an anchor with this grace. Anchor skip is ignored.
func (n *node) roomForAnchor(grace time.Duration, skip int) Amount {
	if !n.usable {
		return Amount{}
	}
	room := n.capacity.Minus(n.committed(grace, skip))
	for _, t := range n.anchorParts {
		if t.anchor != skip {
			room = room.smaller(n.capacity.Minus(n.committed(t.grace, skip)))
		}
	}
	return room
}

// anchorsReclaimable reports whether every anchor on the node can be reclaimed within its grace. It is false if there is
// an anchor and the node can't be given work.
func (n *node) anchorsReclaimable() bool {
	for _, l := range n.lendLimits {
		if !l.committed.FitsIn(n.capacity) {
			return false
		}
	}
	return n.usable || len(n.anchorParts) == 0
}

// scratchView returns a view that can be changed without changing the State.
func (s *State) scratchView(now time.Time) *view {
	x := s.ensureIndex(now)
	v := &view{index: *x, state: s, now: now}
	v.nodes = slices.Clone(x.nodes)
	v.used = maps.Clone(x.used)
	v.quarantined = maps.Clone(x.quarantined)
	for i := range x.quarantined {
		v.refreshUsable(s, i, now)
	}
	return v
}
