package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// ReactionTime is the time allowed for deciding and for delivering a command; a borrower's grace and
// ReactionTime together have to be within the grace of the guarantee.
const ReactionTime = time.Second

// use is the part of a job that runs on one node.
type use struct {
	job    *Job
	amount Amount
	// excess is measured usage of an anchored job above its declared amount.
	excess Amount
	// most is the larger of amount and the declared one. It counts where nothing can be taken back, so that work that
	// grows back to its declaration takes nothing from an anchor.
	most Amount
}

// tie is the part of an anchor that lies on one node.
type tie struct {
	anchor int
	grace  time.Duration
	amount Amount
}

// level is the amount that can't be lent to work slower to stop than grace: all anchors, and the
// work that can't leave within grace. Anchors with a longer grace count too, since their own
// jobs may be on them.
type level struct {
	grace time.Duration
	taken Amount
}

// hold keeps room on a node for a reserved job from a time on.
type hold struct {
	job  *Job
	from time.Time
	// spare is the room left beside the reservation once it has started.
	spare Amount
}

// node is the working form of a WorkerState.
type node struct {
	id   model.WorkerID
	rack int
	ok   bool
	cap  Amount
	used Amount
	// fixed counts the accelerators of work that can't be moved without loss.
	fixed int
	// slow counts the accelerators of borrowers that can\'t leave for urgent work in time.
	slow   int
	held   Amount
	uses   []use
	ties   []tie
	levels []level
	holds  []hold
}

// span is a range of nodes.
type span struct {
	name   string
	lo, hi int
}

// index is the working form of a State; it is rebuilt when workers join and updated otherwise.
type index struct {
	nodes   []node
	byID    map[model.WorkerID]int
	racks   []span
	centres []span
	// singles holds one span for each node.
	singles []span
	queue   []*Job
	refused map[model.JobID]*Job
	doomed  map[model.JobID]*Job
	aside   map[int]bool
	// moving holds the stopping jobs that have slots to go to.
	moving map[model.JobID]*Job
	used   map[model.Team]int
	// limits caches the largest number of tasks of a shape that any block holds.
	limits map[model.Shape]int
	// loose is set when anchors may have become infeasible.
	loose bool
}

// view is a scratch copy of the index on which one decision is worked out.
type view struct {
	index
	st  *State
	now time.Time
	// cands is a buffer of the searches.
	cands []cand
}

// ready builds the index if it is missing.
func (s *State) ready(now time.Time) *index {
	if s.idx != nil {
		return s.idx
	}
	x := &index{
		byID:    make(map[model.WorkerID]int, len(s.Workers)),
		refused: map[model.JobID]*Job{}, doomed: map[model.JobID]*Job{}, aside: map[int]bool{}, moving: map[model.JobID]*Job{},
		used: map[model.Team]int{}, limits: map[model.Shape]int{}, loose: true,
	}
	hosts := make([]*model.Worker, 0, len(s.Workers))
	for _, h := range s.Workers {
		w := h.Worker
		hosts = append(hosts, &w)
	}
	slices.SortFunc(hosts, func(a, b *model.Worker) int {
		return cmp.Or(cmp.Compare(a.Centre, b.Centre), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	x.nodes, x.singles = make([]node, len(hosts)), make([]span, len(hosts))
	for i, w := range hosts {
		x.byID[w.ID] = i
		x.singles[i] = span{lo: i, hi: i + 1}
		if i == 0 || hosts[i-1].Centre != w.Centre {
			x.centres = append(x.centres, span{name: string(w.Centre), lo: i})
		}
		if i == 0 || hosts[i-1].Centre != w.Centre || hosts[i-1].Rack != w.Rack {
			x.racks = append(x.racks, span{name: w.Rack, lo: i})
		}
		x.centres[len(x.centres)-1].hi = i + 1
		x.racks[len(x.racks)-1].hi = i + 1
		x.nodes[i] = node{id: w.ID, rack: len(x.racks) - 1, cap: Capacity(*w)}
	}
	s.idx = x
	for _, j := range s.Jobs {
		if j.Phase == Queued {
			x.queue = append(x.queue, j)
			continue
		}
		x.add(j)
	}
	for i := range s.Anchors {
		x.tie(i, &s.Anchors[i])
	}
	for i := range x.nodes {
		x.nodes[i].recalc()
		x.refresh(s, i, now)
	}
	slices.SortFunc(x.queue, bySequence)
	return x
}

func bySequence(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) }

// refresh brings the usability of a node up to date.
func (x *index) refresh(s *State, i int, now time.Time) {
	h := s.Workers[x.nodes[i].id]
	ok := h.Usable(now)
	if ok != x.nodes[i].ok {
		x.loose = true
	}
	x.nodes[i].ok = ok
	if h.QuarantinedUntil.After(now) {
		x.aside[i] = true
	} else {
		delete(x.aside, i)
	}
}

// charge returns what counts as used by a slot: the larger of declared and measured usage until
// the measurement is settled, then the measured one. Jobs on their own anchors never count less than declared, so
// that nothing of a guarantee is lent while it is in use. Their cores always count as declared: a worker can throttle
// cores, so that what such a job takes beyond its guarantee makes no other guarantee infeasible.
func charge(j *Job, s Slot) Amount {
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

// add enters a job.
func (x *index) add(j *Job) {
	switch {
	case j.Phase == Queued:
		i, _ := slices.BinarySearchFunc(x.queue, j, bySequence)
		x.queue = slices.Insert(x.queue, i, j)
	case j.Phase == Refused:
		x.refused[j.Spec.ID] = j
	default:
		x.put(j)
		if j.Cancelled && j.Phase != Stopping {
			x.doomed[j.Spec.ID] = j
		}
		if j.Phase == Stopping && len(j.ReservedSlots) > 0 {
			x.moving[j.Spec.ID] = j
		}
	}
}

// put enters the slots of a placed job.
func (x *index) put(j *Job) {
	for _, s := range j.Slots {
		i, ok := x.byID[s.Worker]
		if !ok {
			continue
		}
		u := use{job: j, amount: charge(j, s)}
		declared := PerTask(j.Spec.Shape).Times(s.Tasks)
		u.most = u.amount.Max(declared)
		if j.Anchored {
			u.excess = u.amount.Minus(declared).floor()
		}
		n := &x.nodes[i]
		n.uses = append(n.uses[:len(n.uses):len(n.uses)], u)
		n.recalc()
		x.used[j.Spec.Team] += u.amount.GPUs
	}
}

// drop removes a job.
func (x *index) drop(j *Job) {
	switch {
	case j.Phase == Queued:
		if i, ok := slices.BinarySearchFunc(x.queue, j, bySequence); ok {
			x.queue = slices.Delete(x.queue, i, i+1)
		}
	case j.Phase == Refused:
		delete(x.refused, j.Spec.ID)
	default:
		x.take(j)
		delete(x.doomed, j.Spec.ID)
		delete(x.moving, j.Spec.ID)
	}
}

// take removes the slots of a placed job.
func (x *index) take(j *Job) {
	for _, s := range j.Slots {
		i, ok := x.byID[s.Worker]
		if !ok {
			continue
		}
		n := &x.nodes[i]
		for k, u := range n.uses {
			if u.job.Spec.ID == j.Spec.ID {
				x.used[j.Spec.Team] -= u.amount.GPUs
				n.uses = append(n.uses[:k:k], n.uses[k+1:]...)
				n.recalc()
				break
			}
		}
	}
}

// tie enters the slots of an anchor.
func (x *index) tie(i int, a *Anchor) {
	for _, s := range a.Slots {
		if k, ok := x.byID[s.Worker]; ok {
			n := &x.nodes[k]
			t := tie{anchor: i, grace: a.Guarantee.Grace, amount: PerTask(a.Guarantee.Shape).Times(s.Tasks)}
			n.ties = append(n.ties[:len(n.ties):len(n.ties)], t)
			n.recalc()
		}
	}
}

// untie removes the slots of an anchor.
func (x *index) untie(i int, a *Anchor) {
	for _, s := range a.Slots {
		if k, ok := x.byID[s.Worker]; ok {
			n := &x.nodes[k]
			n.ties = slices.DeleteFunc(slices.Clone(n.ties), func(t tie) bool { return t.anchor == i })
			n.recalc()
		}
	}
}

// recalc sums up the uses and levels of a node.
func (n *node) recalc() {
	n.used, n.fixed, n.slow = Amount{}, 0, 0
	for _, u := range n.uses {
		n.used = n.used.Plus(u.amount)
		if u.job.Anchored || !movable(u.job) {
			n.fixed += u.amount.GPUs
		}
		if !u.job.Anchored && !brisk(u.job) {
			n.slow += u.amount.GPUs
		}
	}
	n.levels = nil
	for _, t := range n.ties {
		if !slices.ContainsFunc(n.levels, func(l level) bool { return l.grace == t.grace }) {
			n.levels = append(n.levels, level{grace: t.grace, taken: n.taken(t.grace, -1)})
		}
	}
}

// taken returns the anchors, but for anchor skip, and the work that can't leave within grace.
func (n *node) taken(grace time.Duration, skip int) Amount {
	var sum Amount
	for _, t := range n.ties {
		if t.anchor != skip {
			sum = sum.Plus(t.amount)
		}
	}
	for _, u := range n.uses {
		switch {
		case u.job.Anchored:
			sum = sum.Plus(u.excess)
		case !leaves(u.job, grace):
			sum = sum.Plus(u.most)
		}
	}
	return sum
}

// movable reports whether a job can be checkpointed within a minute.
func movable(j *Job) bool { return j.Spec.Checkpoint && leaves(j, time.Minute) }

// brisk reports whether a job leaves soon enough for urgent work.
func brisk(j *Job) bool { return !j.Spec.Urgent && leaves(j, UrgentWithin-urgentMargin) }

// leaves reports whether a job can be gone within grace.
func leaves(j *Job, grace time.Duration) bool { return j.Spec.Grace+ReactionTime <= grace }

// free returns what is neither used nor held.
func (n *node) free() Amount { return n.cap.Minus(n.used).Minus(n.held) }

// lend limits room to what work with this grace may take without blocking an anchor.
func (n *node) lend(room Amount, grace time.Duration) Amount {
	for _, l := range n.levels {
		if grace+ReactionTime > l.grace {
			room = room.smaller(n.cap.Minus(l.taken))
		}
	}
	return room
}

// anchorable returns the room for an anchor with this grace; anchor skip is left out of account.
func (n *node) anchorable(grace time.Duration, skip int) Amount {
	if !n.ok {
		return Amount{}
	}
	room := n.cap.Minus(n.taken(grace, skip))
	for _, t := range n.ties {
		if t.anchor != skip {
			room = room.smaller(n.cap.Minus(n.taken(t.grace, skip)))
		}
	}
	return room
}

// sound reports whether every anchor on the node can be reclaimed within its grace.
func (n *node) sound() bool {
	for _, l := range n.levels {
		if !l.taken.FitsIn(n.cap) {
			return false
		}
	}
	return n.ok || len(n.ties) == 0
}

// scratch returns a view that can be changed without changing the State.
func (s *State) scratch(now time.Time) *view {
	x := s.ready(now)
	v := &view{index: *x, st: s, now: now}
	v.nodes = slices.Clone(x.nodes)
	v.used = maps.Clone(x.used)
	v.aside = maps.Clone(x.aside)
	for i := range x.aside {
		v.refresh(s, i, now)
	}
	return v
}
