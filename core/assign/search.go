package assign

import (
	"cmp"
	"slices"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// teamGuarantee is a guarantee with its team.
type teamGuarantee struct {
	ref       plan.Ref
	guarantee model.Guarantee
}

// teamGuarantees returns the guarantees of d, the largest first.
func teamGuarantees(d model.Declaration) []teamGuarantee {
	var out []teamGuarantee
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			out = append(out, teamGuarantee{plan.Ref{Team: t.Name, Guarantee: g.Name}, g})
		}
	}
	slices.SortStableFunc(out, func(a, b teamGuarantee) int {
		return cmp.Compare(b.guarantee.Shape.Size(), a.guarantee.Shape.Size())
	})
	return out
}

// search is a partial assignment of guarantees to cells, with the accelerators that it leaves free in each cell.
type search struct {
	cellGroups
	freeGPUs map[model.CellID]int
	assigned map[model.CellID][]teamGuarantee
	// placementsLeft is the number of placements until the search gives up.
	placementsLeft int
}

func newSearch(c cellGroups) *search {
	s := &search{cellGroups: c, freeGPUs: map[model.CellID]int{}, assigned: map[model.CellID][]teamGuarantee{}}
	for id, workers := range c.workers {
		for _, w := range workers {
			s.freeGPUs[id] += w.GPUs
		}
	}
	return s
}

// keepFormerCells assigns guarantees to their former cells as long as they fit there, and returns the others.
func (s *search) keepFormerCells(all []teamGuarantee, former map[plan.Ref]model.CellID) []teamGuarantee {
	var unassigned []teamGuarantee
	for _, g := range all {
		if id, ok := former[g.ref]; ok && s.canAdd(id, g) {
			s.add(id, g)
		} else {
			unassigned = append(unassigned, g)
		}
	}
	return unassigned
}

// placeAll finds a cell for each guarantee by backtracking, and reports whether it found one for all.
func (s *search) placeAll(unassigned []teamGuarantee) bool {
	if len(unassigned) == 0 {
		return true
	}
	for _, id := range s.candidates(unassigned[0]) {
		if s.placementsLeft <= 0 {
			return false
		}
		if !s.canAdd(id, unassigned[0]) {
			continue
		}
		s.add(id, unassigned[0])
		if s.placeAll(unassigned[1:]) {
			return true
		}
		s.removeLast(id, unassigned[0])
	}
	return false
}

// candidates returns the cells with enough free accelerators for the guarantee, the fullest first.
func (s *search) candidates(g teamGuarantee) []model.CellID {
	var out []model.CellID
	for _, id := range s.ids {
		if s.freeGPUs[id] >= g.guarantee.Shape.Size() && s.hasCentre(id, g.guarantee.Centre) {
			out = append(out, id)
		}
	}
	slices.SortStableFunc(out, func(a, b model.CellID) int { return cmp.Compare(s.freeGPUs[a], s.freeGPUs[b]) })
	return out
}

// canAdd reports whether the guarantee fits in a cell together with those that are assigned to it.
func (s *search) canAdd(id model.CellID, g teamGuarantee) bool {
	return s.fits(id, append(slices.Clip(s.assigned[id]), g))
}

// fits reports whether the guarantees fit together on the workers of a cell.
func (s *search) fits(id model.CellID, guarantees []teamGuarantee) bool {
	s.placementsLeft--
	var d model.Declaration
	for _, g := range guarantees {
		d.Teams = append(d.Teams, model.TeamSpec{Name: g.ref.Team, Guarantees: []model.Guarantee{g.guarantee}})
	}
	_, err := plan.Place(s.workers[id], d)
	return err == nil
}

func (s *search) add(id model.CellID, g teamGuarantee) {
	s.assigned[id] = append(s.assigned[id], g)
	s.freeGPUs[id] -= g.guarantee.Shape.Size()
}

// removeLast undoes the last add, which was for the guarantee.
func (s *search) removeLast(id model.CellID, g teamGuarantee) {
	s.assigned[id] = s.assigned[id][:len(s.assigned[id])-1]
	s.freeGPUs[id] += g.guarantee.Shape.Size()
}

func (s *search) result() map[string]model.CellID {
	out := map[string]model.CellID{}
	for id, assigned := range s.assigned {
		for _, g := range assigned {
			out[g.ref.String()] = id
		}
	}
	return out
}

func guaranteeRefs(d model.Declaration) []plan.Ref {
	var out []plan.Ref
	for _, g := range teamGuarantees(d) {
		out = append(out, g.ref)
	}
	return out
}
