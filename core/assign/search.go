package assign

import (
	"cmp"
	"slices"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// item is a guarantee of a team.
type item struct {
	ref       plan.Ref
	guarantee model.Guarantee
}

// items returns the guarantees of d, the largest first.
func items(d model.Declaration) []item {
	var out []item
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			out = append(out, item{plan.Ref{Team: t.Name, Guarantee: g.Name}, g})
		}
	}
	slices.SortStableFunc(out, func(a, b item) int {
		return cmp.Compare(b.guarantee.Shape.Size(), a.guarantee.Shape.Size())
	})
	return out
}

// search puts guarantees on cells.
type search struct {
	fleet
	free map[model.CellID]int
	held map[model.CellID][]item
	left int
}

func newSearch(f fleet) *search {
	s := &search{fleet: f, free: map[model.CellID]int{}, held: map[model.CellID][]item{}}
	for id, workers := range f.workers {
		for _, w := range workers {
			s.free[id] += w.GPUs
		}
	}
	return s
}

// keep leaves guarantees in their former cells where these can still hold them, and returns the others.
func (s *search) keep(all []item, former map[plan.Ref]model.CellID) []item {
	var rest []item
	for _, i := range all {
		if id, ok := former[i.ref]; ok && s.takes(id, i) {
			s.add(id, i)
		} else {
			rest = append(rest, i)
		}
	}
	return rest
}

// place finds a cell for each guarantee, going back where a choice leaves no room for a later one.
func (s *search) place(rest []item) bool {
	if len(rest) == 0 {
		return true
	}
	for _, id := range s.candidates(rest[0]) {
		if s.left <= 0 {
			return false
		}
		if !s.takes(id, rest[0]) {
			continue
		}
		s.add(id, rest[0])
		if s.place(rest[1:]) {
			return true
		}
		s.drop(id, rest[0])
	}
	return false
}

// candidates returns the cells with enough accelerators left, the fullest first.
func (s *search) candidates(i item) []model.CellID {
	var out []model.CellID
	for _, id := range s.ids {
		if s.free[id] >= i.guarantee.Shape.Size() && s.has(id, i.guarantee.Centre) {
			out = append(out, id)
		}
	}
	slices.SortStableFunc(out, func(a, b model.CellID) int { return cmp.Compare(s.free[a], s.free[b]) })
	return out
}

func (s *search) takes(id model.CellID, i item) bool {
	return s.fits(id, append(slices.Clip(s.held[id]), i))
}

// fits reports whether the workers of a cell hold guarantees together.
func (s *search) fits(id model.CellID, held []item) bool {
	s.left--
	var d model.Declaration
	for _, i := range held {
		d.Teams = append(d.Teams, model.TeamSpec{Name: i.ref.Team, Guarantees: []model.Guarantee{i.guarantee}})
	}
	_, err := plan.Place(s.workers[id], d)
	return err == nil
}

func (s *search) add(id model.CellID, i item) {
	s.held[id] = append(s.held[id], i)
	s.free[id] -= i.guarantee.Shape.Size()
}

func (s *search) drop(id model.CellID, i item) {
	s.held[id] = s.held[id][:len(s.held[id])-1]
	s.free[id] += i.guarantee.Shape.Size()
}

func (s *search) result() map[string]model.CellID {
	out := map[string]model.CellID{}
	for id, held := range s.held {
		for _, i := range held {
			out[i.ref.String()] = id
		}
	}
	return out
}

func refs(d model.Declaration) []plan.Ref {
	var out []plan.Ref
	for _, i := range items(d) {
		out = append(out, i.ref)
	}
	return out
}
