package plan

import (
	"cmp"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// searchBudget bounds one search for anchors, in visited nodes; about 20 ms.
const searchBudget = 2_000_000

// branches is the number of blocks that the search tries for one guarantee.
const branches = 8

// declare puts a declaration in force. Unchanged guarantees keep their anchors; jobs on the
// anchors of changed ones become borrowers.
func (s *State) declare(now time.Time, d model.Declaration) {
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
			s.change(now, j, func(c *Job) { c.Anchored = false })
		}
	}
	s.idx = nil
}

// inUse returns how many tasks of an anchor its own jobs use on each node.
func (x *index) inUse(a *Anchor) map[int]int {
	out := map[int]int{}
	each := PerTask(a.Guarantee.Shape)
	for _, sl := range a.Slots {
		i, ok := x.byID[sl.Worker]
		if !ok {
			continue
		}
		var sum Amount
		for _, u := range x.nodes[i].uses {
			if u.job.Anchored && u.job.Spec.Team == a.Team && u.job.Spec.Guarantee == a.Guarantee.Name {
				sum = sum.Plus(u.amount.Minus(u.excess))
			}
		}
		for n := 1; n <= sl.Tasks && sum != (Amount{}); n++ {
			if sum.FitsIn(each.Times(n)) {
				out[i] = n
				break
			}
		}
	}
	return out
}

// repair makes the set of anchors feasible again after a loss or a change.
func (s *State) repair(now time.Time) {
	x := s.ready(now)
	x.loose = false
	v := &view{index: *x, st: s, now: now}
	var bad []int
	for i := range s.Anchors {
		if !x.standing(&s.Anchors[i]) {
			bad = append(bad, i)
		}
	}
	if len(bad) == 0 {
		return
	}
	mins := make([]map[int]int, len(s.Anchors))
	for _, i := range bad {
		mins[i] = x.inUse(&s.Anchors[i])
		x.untie(i, &s.Anchors[i])
		s.Anchors[i].Slots = nil
	}
	if found := v.solve(bad, mins); found != nil {
		s.anchorAll(found)
		return
	}
	s.rematch(now, v, bad, mins)
}

// retry places guarantees with a shortfall again, one by one, after work has left.
func (s *State) retry(now time.Time) {
	v := &view{index: *s.idx, st: s, now: now}
	none := make([]map[int]int, len(s.Anchors))
	for i := range s.Anchors {
		if s.Anchors[i].Shortfall == nil {
			continue
		}
		if found := v.solve([]int{i}, none); found != nil {
			s.anchorAll(found)
			continue
		}
		since := s.Anchors[i].Shortfall.Since
		s.Anchors[i].Shortfall = v.shortfall(i)
		s.Anchors[i].Shortfall.Since = since
	}
}

// standing reports whether an anchor is feasible where it is.
func (x *index) standing(a *Anchor) bool {
	if len(a.Slots) == 0 {
		return false
	}
	for _, sl := range a.Slots {
		i, ok := x.byID[sl.Worker]
		if !ok || !x.nodes[i].sound() {
			return false
		}
	}
	return true
}

// rematch places all anchors anew; those that can't be placed are reported as shortfalls.
func (s *State) rematch(now time.Time, v *view, bad []int, mins []map[int]int) {
	all := make([]int, len(s.Anchors))
	was := make([][]Slot, len(s.Anchors))
	for i := range s.Anchors {
		all[i] = i
		was[i] = s.Anchors[i].Slots
		if mins[i] == nil {
			mins[i] = v.inUse(&s.Anchors[i])
		}
		v.untie(i, &s.Anchors[i])
	}
	if found := v.solve(all, mins); found != nil {
		s.anchorAll(found)
		return
	}
	for i := range s.Anchors {
		v.tie(i, &s.Anchors[i])
	}
	for _, i := range bad {
		a := &s.Anchors[i]
		found := v.solve([]int{i}, mins)
		if found == nil && len(mins[i]) > 0 {
			s.release(now, a)
			mins[i] = nil
			found = v.solve([]int{i}, mins)
		}
		if found != nil {
			s.anchorAll(found)
			continue
		}
		since := now
		if a.Shortfall != nil {
			since = a.Shortfall.Since
		}
		a.Shortfall = v.shortfall(i)
		a.Shortfall.Since = since
	}
}

// release makes borrowers of the jobs on an anchor, so that the anchor can move.
func (s *State) release(now time.Time, a *Anchor) {
	for _, j := range s.Jobs {
		if j.Anchored && j.Spec.Team == a.Team && j.Spec.Guarantee == a.Guarantee.Name {
			s.change(now, j, func(c *Job) { c.Anchored = false })
		}
	}
}

// anchorAll puts anchors on the spots found for them.
func (s *State) anchorAll(found map[int][]spot) {
	v := &view{index: *s.idx, st: s}
	for i, at := range found {
		a := &s.Anchors[i]
		a.Slots = slotsOf(v, a.Guarantee.Shape, at)
		a.Shortfall = nil
		s.idx.tie(i, a)
	}
}

// anchorSearch returns the search for a place of anchor i.
func (v *view) anchorSearch(i int, keep map[int]int) *search {
	g := v.st.Anchors[i].Guarantee
	return &search{
		v: v, shape: g.Shape, each: PerTask(g.Shape), centre: g.Centre, min: keep,
		room: func(n int) Amount { return v.nodes[n].anchorable(g.Grace, i) },
	}
}

// solve finds places for the listed anchors together, the hardest first, or returns nil.
func (v *view) solve(list []int, mins []map[int]int) map[int][]spot {
	order := slices.Clone(list)
	rank := map[model.Adjacency]int{model.SameWorker: 0, model.SameRack: 1, model.AnyPlace: 2}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := v.st.Anchors[a].Guarantee, v.st.Anchors[b].Guarantee
		return cmp.Or(
			cmp.Compare(len(mins[b]), len(mins[a])),
			cmp.Compare(y.Shape.GPUs, x.Shape.GPUs),
			cmp.Compare(rank[x.Shape.Adjacent], rank[y.Shape.Adjacent]),
			cmp.Compare(y.Shape.Size(), x.Shape.Size()))
	})
	// Each guarantee is worth two visits of all workers: 380 of them on 30,000 workers exceed searchBudget.
	budget := max(searchBudget, 2*len(list)*len(v.nodes))
	found := map[int][]spot{}
	if v.branch(order, mins, found, &budget) {
		return found
	}
	return nil
}

// branch places order[0] on each candidate in turn and the rest recursively. It leaves the view
// as it was.
func (v *view) branch(order []int, mins []map[int]int, found map[int][]spot, budget *int) bool {
	if len(order) == 0 {
		return true
	}
	i := order[0]
	q := v.anchorSearch(i, mins[i])
	if !valid(q.shape) {
		return false
	}
	type option struct {
		at   []spot
		left int
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
		if at, left := q.within(b); at != nil {
			options = append(options, option{at, left})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.left, b.left) })
	for _, o := range options[:min(len(options), branches)] {
		found[i] = o.at
		a := Anchor{Guarantee: v.st.Anchors[i].Guarantee, Slots: slotsOf(v, q.shape, o.at)}
		v.tie(i, &a)
		ok := v.branch(order[1:], mins, found, budget)
		v.untie(i, &a)
		if ok {
			return true
		}
	}
	delete(found, i)
	return false
}

// shortfall describes why anchor i can't be placed.
func (v *view) shortfall(i int) *Shortfall {
	a := v.st.Anchors[i]
	g := a.Guarantee
	out := &Shortfall{Team: a.Team, Guarantee: g.Name, Cause: TooFew}
	q := v.anchorSearch(i, nil)
	q.room = func(n int) Amount { return v.nodes[n].clearable(i, false) }
	if at := q.best(); at != nil {
		out.Cause = NotPreemptible
		for _, p := range at {
			within := g.Grace
			for _, t := range v.nodes[p.node].ties {
				within = min(within, t.grace)
			}
			for _, u := range v.nodes[p.node].uses {
				holds := u.excess != (Amount{}) || !u.job.Anchored && !leaves(u.job, within)
				if holds && !slices.Contains(out.Jobs, u.job.Spec.ID) {
					out.Jobs = append(out.Jobs, u.job.Spec.ID)
				}
			}
		}
		return out
	}
	free := 0
	for n := range v.nodes {
		if v.inCentre(span{lo: n, hi: n + 1}, g.Centre) {
			free += count(v.nodes[n].clearable(i, false), q.each, g.Shape.Tasks)
			if !v.nodes[n].ok {
				out.Workers = append(out.Workers, v.nodes[n].id)
			}
		}
	}
	q.room = func(n int) Amount { return v.nodes[n].clearable(i, true) }
	switch {
	case len(out.Workers) > 0 && q.best() != nil:
		out.Cause = Lost
	case free >= g.Shape.Tasks:
		out.Cause, out.Workers = NoBlock, nil
	default:
		out.Workers = nil
	}
	return out
}

// clearable returns the room for anchor skip once all borrowers and pinned work have left; with
// lost, lost workers count as present.
func (n *node) clearable(skip int, lost bool) Amount {
	if !n.ok && !lost {
		return Amount{}
	}
	room := n.cap
	for _, t := range n.ties {
		if t.anchor != skip {
			room = room.Minus(t.amount)
		}
	}
	return room
}
