package plan

import (
	"cmp"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// minSearchVisits is the least budget of one search for anchors, in visited nodes; it takes about 20 ms.
const minSearchVisits = 2_000_000

// maxBranches is the number of blocks that the search tries for each guarantee.
const maxBranches = 8

// applyDeclaration replaces the declaration. Unchanged guarantees keep their anchors; jobs on the anchors of changed
// guarantees become borrowers.
func (s *State) applyDeclaration(now time.Time, d model.Declaration) {
	old := s.Anchors
	s.Policy, s.Teams, s.Anchors, s.Evacuated = d.Policy, slices.Clone(d.Teams), nil, slices.Clone(d.Evacuate)
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

// tasksInUse returns how many tasks of an anchor the jobs of its guarantee use, by node.
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

// repairAnchors finds new places for the anchors that have become infeasible, for example by the loss of a worker.
func (s *State) repairAnchors(now time.Time) {
	x := s.ensureIndex(now)
	x.anchorsStale = false
	v := &view{index: *x, state: s, now: now}
	var infeasible []int
	for i := range s.Anchors {
		if !x.anchorFeasible(&s.Anchors[i]) && !s.resumeAnchor(now, v, i) {
			infeasible = append(infeasible, i)
		}
	}
	if len(infeasible) == 0 {
		return
	}
	minTasks := make([]map[int]int, len(s.Anchors))
	for _, i := range infeasible {
		if x.anchorEvacuated(&s.Anchors[i]) {
			// The jobs on the anchor stay where they are, and the guarantee has to be available elsewhere.
			s.detachJobs(now, &s.Anchors[i])
		}
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

// retryShortfalls tries again to place the guarantees that have a shortfall, one by one.
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

// anchorFeasible reports whether an anchor has slots and can be reclaimed on each of their workers.
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

// reassignAnchors searches for new places for all anchors together. If that fails, it keeps the feasible ones, tries
// the infeasible ones one by one, and records a shortfall for those that can't be placed.
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

// detachJobs turns the jobs on an anchor into borrowers, so that the anchor can move.
func (s *State) detachJobs(now time.Time, a *Anchor) {
	for _, j := range s.Jobs {
		if j.Anchored && j.Spec.Team == a.Team && j.Spec.Guarantee == a.Guarantee.Name {
			s.replaceJob(now, j, func(c *Job) { c.Anchored = false })
		}
	}
}

// setAnchorSlots sets the slots of anchors to the spots found for them and clears their shortfalls.
func (s *State) setAnchorSlots(found map[int][]spot) {
	v := &view{index: *s.idx, state: s}
	for i, spots := range found {
		a := &s.Anchors[i]
		a.Slots = slotsOf(v, a.Guarantee.Shape, spots)
		a.Shortfall = nil
		s.idx.addAnchor(i, a)
	}
}

// anchorSearch returns a search for a place for anchor i. minTasks holds the tasks that must stay on their nodes.
func (v *view) anchorSearch(i int, minTasks map[int]int) *search {
	g := v.state.Anchors[i].Guarantee
	return &search{
		v: v, shape: g.Shape, perTask: PerTask(g.Shape), centre: g.Centre, min: minTasks,
		room: func(n int) Amount { return v.nodes[n].roomForAnchor(g.Grace, i) },
	}
}

// solveAnchors finds places for the listed anchors together, or returns nil. Anchors in use are placed first, then
// those whose shapes are hardest to place.
func (v *view) solveAnchors(anchors []int, minTasks []map[int]int) map[int][]spot {
	order := slices.Clone(anchors)
	rank := map[model.Adjacency]int{model.SameWorker: 0, model.SameRack: 1, model.SameCentre: 2}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := v.state.Anchors[a].Guarantee, v.state.Anchors[b].Guarantee
		return cmp.Or(
			cmp.Compare(len(minTasks[b]), len(minTasks[a])),
			cmp.Compare(y.Shape.GPUs, x.Shape.GPUs),
			cmp.Compare(rank[x.Shape.Adjacent], rank[y.Shape.Adjacent]),
			cmp.Compare(y.Shape.Size(), x.Shape.Size()))
	})
	// Each guarantee gets two visits of all workers: 380 guarantees on 30,000 workers exceed minSearchVisits.
	budget := max(minSearchVisits, 2*len(anchors)*len(v.nodes))
	found := map[int][]spot{}
	if v.placeAnchors(order, minTasks, found, &budget) {
		return found
	}
	return nil
}

// placeAnchors places anchor order[0] in each candidate block in turn and the other anchors recursively. The places are
// added to found; the view is left unchanged. It reports whether all anchors were placed.
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

// describeShortfall returns a Shortfall with the cause why anchor i can't be placed. Evacuation is the cause if the anchor
// would fit without it.
func (v *view) describeShortfall(i int) *Shortfall {
	a := v.state.Anchors[i]
	g := a.Guarantee
	out := &Shortfall{Team: a.Team, Guarantee: g.Name, Cause: TooFewAccelerators}
	q := v.anchorSearch(i, nil)
	q.room = func(n int) Amount { return v.nodes[n].roomBesideAnchors(i, v.nodes[n].usable) }
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
	q.room = func(n int) Amount { return v.nodes[n].roomBesideAnchors(i, v.usableUnlessEvacuated(n)) }
	if spots := q.cheapest(); spots != nil {
		out.Cause, out.Centre = CentreEvacuated, v.state.Workers[v.nodes[spots[0].node].id].Worker.Centre
		return out
	}
	free := 0
	for n := range v.nodes {
		if v.inCentre(nodeRange{lo: n, hi: n + 1}, g.Centre) {
			free += tasksThatFit(v.nodes[n].roomBesideAnchors(i, v.nodes[n].usable), q.perTask, g.Shape.Tasks)
			if !v.usableUnlessEvacuated(n) {
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

// roomBesideAnchors returns the room that a node has beside all anchors except skip, as if no jobs ran there; it is zero
// unless the node counts.
func (n *node) roomBesideAnchors(skip int, counts bool) Amount {
	if !counts {
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
