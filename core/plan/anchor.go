package plan

import (
	"cmp"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// minSearchVisits bounds one search for anchors, in visited nodes; about 20 ms.
const minSearchVisits = 2_000_000

// maxBranches is the number of blocks that the search tries for one guarantee.
const maxBranches = 8

// applyDeclaration puts a declaration in force. Unchanged guarantees keep their anchors; jobs on the
// anchors of changed ones become borrowers.
func (s *State) applyDeclaration(now time.Time, d model.Declaration) {
	old := s.Anchors
	s.Policy, s.Teams, s.Anchors = d.Policy, slices.Clone(d.Teams), nil
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			a := Anchor{Team: t.Name, Guarantee: g}
			for _, o := range old {
				if o.Team == t.Name && o.Guarantee == g {
					a = o
				}
			}
			s.Anchors = append(s.Anchors, a)
		}
	}
	for _, j := range s.Jobs {
		if a := s.anchor(j.Spec.Team, j.Spec.Guarantee); j.Anchored && (a == nil || len(a.Slots) == 0) {
			s.replaceJob(now, j, func(c *Job) { c.Anchored = false })
		}
	}
	s.idx = nil
}

// tasksInUse returns how many tasks of an anchor its own jobs use on each node.
func (x *index) tasksInUse(a *Anchor) map[int]int {
	out := map[int]int{}
	perTask := PerTask(a.Guarantee.Shape)
	for _, sl := range a.Slots {
		i, ok := x.byID[sl.Worker]
		if !ok {
			continue
		}
		var sum Amount
		for _, u := range x.nodes[i].allocations {
			if u.job.Anchored && u.job.Spec.Team == a.Team && u.job.Spec.Guarantee == a.Guarantee.Name {
				sum = sum.Plus(u.amount.Minus(u.excess))
			}
		}
		for n := 1; n <= sl.Tasks && sum != (Amount{}); n++ {
			if sum.FitsIn(perTask.Times(n)) {
				out[i] = n
				break
			}
		}
	}
	return out
}

// repairAnchors makes the set of anchors feasible again after a loss or a change.
func (s *State) repairAnchors(now time.Time) {
	x := s.ensureIndex(now)
	x.anchorsStale = false
	v := &view{index: *x, state: s, now: now}
	var infeasible []int
	for i := range s.Anchors {
		if !x.anchorFeasible(&s.Anchors[i]) {
			infeasible = append(infeasible, i)
		}
	}
	if len(infeasible) == 0 {
		return
	}
	minTasks := make([]map[int]int, len(s.Anchors))
	for _, i := range infeasible {
		minTasks[i] = x.tasksInUse(&s.Anchors[i])
		x.removeAnchor(i, &s.Anchors[i])
		s.Anchors[i].Slots = nil
	}
	if found := v.solveAnchors(infeasible, minTasks); found != nil {
		s.setAnchorSlots(found)
		return
	}
	s.reassignAnchors(now, v, infeasible, minTasks)
}

// retryShortfalls places guarantees with a shortfall again, one by one, after work has left.
func (s *State) retryShortfalls(now time.Time) {
	v := &view{index: *s.idx, state: s, now: now}
	none := make([]map[int]int, len(s.Anchors))
	for i := range s.Anchors {
		if s.Anchors[i].Shortfall == nil {
			continue
		}
		if found := v.solveAnchors([]int{i}, none); found != nil {
			s.setAnchorSlots(found)
			continue
		}
		since := s.Anchors[i].Shortfall.Since
		s.Anchors[i].Shortfall = v.describeShortfall(i)
		s.Anchors[i].Shortfall.Since = since
	}
}

// anchorFeasible reports whether an anchor is feasible where it is.
func (x *index) anchorFeasible(a *Anchor) bool {
	if len(a.Slots) == 0 {
		return false
	}
	for _, sl := range a.Slots {
		i, ok := x.byID[sl.Worker]
		if !ok || !x.nodes[i].anchorsReclaimable() {
			return false
		}
	}
	return true
}

// reassignAnchors places all anchors anew; those that can't be placed are reported as shortfalls.
func (s *State) reassignAnchors(now time.Time, v *view, infeasible []int, minTasks []map[int]int) {
	all := make([]int, len(s.Anchors))
	previous := make([][]Slot, len(s.Anchors))
	for i := range s.Anchors {
		all[i] = i
		previous[i] = s.Anchors[i].Slots
		if minTasks[i] == nil {
			minTasks[i] = v.tasksInUse(&s.Anchors[i])
		}
		v.removeAnchor(i, &s.Anchors[i])
	}
	if found := v.solveAnchors(all, minTasks); found != nil {
		s.setAnchorSlots(found)
		return
	}
	for i := range s.Anchors {
		v.addAnchor(i, &s.Anchors[i])
	}
	for _, i := range infeasible {
		a := &s.Anchors[i]
		found := v.solveAnchors([]int{i}, minTasks)
		if found == nil && len(minTasks[i]) > 0 {
			s.detachJobs(now, a)
			minTasks[i] = nil
			found = v.solveAnchors([]int{i}, minTasks)
		}
		if found != nil {
			s.setAnchorSlots(found)
			continue
		}
		since := now
		if a.Shortfall != nil {
			since = a.Shortfall.Since
		}
		a.Shortfall = v.describeShortfall(i)
		a.Shortfall.Since = since
	}
}

// detachJobs makes borrowers of the jobs on an anchor, so that the anchor can move.
func (s *State) detachJobs(now time.Time, a *Anchor) {
	for _, j := range s.Jobs {
		if j.Anchored && j.Spec.Team == a.Team && j.Spec.Guarantee == a.Guarantee.Name {
			s.replaceJob(now, j, func(c *Job) { c.Anchored = false })
		}
	}
}

// setAnchorSlots puts anchors on the spots found for them.
func (s *State) setAnchorSlots(found map[int][]spot) {
	v := &view{index: *s.idx, state: s}
	for i, spots := range found {
		a := &s.Anchors[i]
		a.Slots = slotsOf(v, a.Guarantee.Shape, spots)
		a.Shortfall = nil
		s.idx.addAnchor(i, a)
	}
}

// anchorSearch returns the search for a place of anchor i.
func (v *view) anchorSearch(i int, minTasks map[int]int) *search {
	g := v.state.Anchors[i].Guarantee
	return &search{
		v: v, shape: g.Shape, perTask: PerTask(g.Shape), centre: g.Centre, min: minTasks,
		room: func(n int) Amount { return v.nodes[n].roomForAnchor(g.Grace, i) },
	}
}

// solveAnchors finds places for the listed anchors together, the hardest first, or returns nil.
func (v *view) solveAnchors(anchors []int, minTasks []map[int]int) map[int][]spot {
	order := slices.Clone(anchors)
	rank := map[model.Adjacency]int{model.SameWorker: 0, model.SameRack: 1, model.AnyPlace: 2}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := v.state.Anchors[a].Guarantee, v.state.Anchors[b].Guarantee
		return cmp.Or(
			cmp.Compare(len(minTasks[b]), len(minTasks[a])),
			cmp.Compare(y.Shape.GPUs, x.Shape.GPUs),
			cmp.Compare(rank[x.Shape.Adjacent], rank[y.Shape.Adjacent]),
			cmp.Compare(y.Shape.Size(), x.Shape.Size()))
	})
	// Each guarantee is worth two visits of all workers: 380 of them on 30,000 workers exceed searchBudget.
	budget := max(minSearchVisits, 2*len(anchors)*len(v.nodes))
	found := map[int][]spot{}
	if v.placeAnchors(order, minTasks, found, &budget) {
		return found
	}
	return nil
}

// placeAnchors places order[0] on each candidate in turn and the rest recursively. It leaves the view
// as it was.
func (v *view) placeAnchors(order []int, minTasks []map[int]int, found map[int][]spot, budget *int) bool {
	if len(order) == 0 {
		return true
	}
	i := order[0]
	q := v.anchorSearch(i, minTasks[i])
	if !validShape(q.shape) {
		return false
	}
	type option struct {
		spots []spot
		left  int
	}
	var options []option
	for _, b := range v.blocks(q.shape.Adjacent) {
		if *budget <= 0 {
			return false
		}
		*budget -= b.hi - b.lo
		if !v.inCentre(b, q.centre) {
			continue
		}
		if spots, left := q.placeInBlock(b); spots != nil {
			options = append(options, option{spots, left})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.left, b.left) })
	for _, o := range options[:min(len(options), maxBranches)] {
		found[i] = o.spots
		a := Anchor{Guarantee: v.state.Anchors[i].Guarantee, Slots: slotsOf(v, q.shape, o.spots)}
		v.addAnchor(i, &a)
		ok := v.placeAnchors(order[1:], minTasks, found, budget)
		v.removeAnchor(i, &a)
		if ok {
			return true
		}
	}
	delete(found, i)
	return false
}

// describeShortfall describes why anchor i can't be placed.
func (v *view) describeShortfall(i int) *Shortfall {
	a := v.state.Anchors[i]
	g := a.Guarantee
	out := &Shortfall{Team: a.Team, Guarantee: g.Name, Cause: TooFewAccelerators}
	q := v.anchorSearch(i, nil)
	q.room = func(n int) Amount { return v.nodes[n].roomBesideAnchors(i, false) }
	if spots := q.cheapest(); spots != nil {
		out.Cause = NotPreemptible
		for _, p := range spots {
			within := g.Grace
			for _, t := range v.nodes[p.node].anchorParts {
				within = min(within, t.grace)
			}
			for _, u := range v.nodes[p.node].allocations {
				blocking := u.excess != (Amount{}) || !u.job.Anchored && !stopsWithin(u.job, within)
				if blocking && !slices.Contains(out.Jobs, u.job.Spec.ID) {
					out.Jobs = append(out.Jobs, u.job.Spec.ID)
				}
			}
		}
		return out
	}
	free := 0
	for n := range v.nodes {
		if v.inCentre(nodeRange{lo: n, hi: n + 1}, g.Centre) {
			free += tasksThatFit(v.nodes[n].roomBesideAnchors(i, false), q.perTask, g.Shape.Tasks)
			if !v.nodes[n].ok {
				out.Workers = append(out.Workers, v.nodes[n].id)
			}
		}
	}
	q.room = func(n int) Amount { return v.nodes[n].roomBesideAnchors(i, true) }
	switch {
	case len(out.Workers) > 0 && q.cheapest() != nil:
		out.Cause = WorkersLost
	case free >= g.Shape.Tasks:
		out.Cause, out.Workers = NoAdjacentBlock, nil
	default:
		out.Workers = nil
	}
	return out
}

// roomBesideAnchors returns the room for anchor skip once all borrowers and pinned work have left; with
// lost, lost workers count as present.
func (n *node) roomBesideAnchors(skip int, lost bool) Amount {
	if !n.ok && !lost {
		return Amount{}
	}
	room := n.capacity
	for _, t := range n.anchorParts {
		if t.anchor != skip {
			room = room.Minus(t.amount)
		}
	}
	return room
}
