package assign

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// maxPlacements bounds the search for an assignment that moves few guarantees: it is the number of times that the guarantees
// of one cell are placed. 100 placements take 0.5 s with 2,000 workers in each cell.
const maxPlacements = 100

// Guarantees returns the cell of each guarantee of d, by team/guarantee. A guarantee stays in its cell in d.GuaranteeCells
// unless the others don't fit then. The error is a *plan.ConflictError. Lost workers count as up, since they may come back, and so do those in evacuated data centres.
func Guarantees(workers []model.Worker, d model.Declaration) (map[string]model.CellID, error) {
	if err := plan.Validate(d); err != nil {
		return nil, err
	}
	c := groupByCell(workers)
	staying := c.staying(d)
	// Placing the guarantees of each cell separately takes 0.2 s for 380 guarantees on 30,000 workers; placing those of all
	// cells together takes many times as long.
	if assignment, ok := c.spreadByFreeGPUs(d, staying); ok {
		return assignment, nil
	}
	places, err := plan.Place(workers, d)
	if err != nil {
		return nil, err
	}
	if assignment, ok := c.moveFew(d, staying); ok {
		return assignment, nil
	}
	out := make(map[string]model.CellID, len(places))
	for ref, slots := range places {
		out[ref.String()] = c.workerCells[slots[0].Worker]
	}
	return out, nil
}

// moveFew searches for an assignment in which the guarantees with a cell in staying stay there as far as they fit. It
// first lets all of them stay, and then frees one after another to move.
func (c cellGroups) moveFew(d model.Declaration, staying map[plan.Ref]model.CellID) (map[string]model.CellID, bool) {
	all, placementsLeft := teamGuarantees(d), maxPlacements
	for released := -1; released < len(all) && placementsLeft > 0; released++ {
		former := maps.Clone(staying)
		if released >= 0 {
			if _, ok := staying[all[released].ref]; !ok {
				continue
			}
			delete(former, all[released].ref)
		}
		s := newSearch(c)
		s.placementsLeft = placementsLeft
		if unassigned := s.keepFormerCells(all, former); s.placeAll(unassigned) {
			return s.result(), true
		}
		placementsLeft = s.placementsLeft
	}
	return nil, false
}

// cellGroups holds the workers of each cell, the cell of each worker and the cells in order.
type cellGroups struct {
	workers     map[model.CellID][]model.Worker
	workerCells map[model.WorkerID]model.CellID
	ids         []model.CellID
}

func groupByCell(workers []model.Worker) cellGroups {
	c := cellGroups{map[model.CellID][]model.Worker{}, make(map[model.WorkerID]model.CellID, len(workers)), nil}
	for _, w := range workers {
		c.workers[CellOf(w)] = append(c.workers[CellOf(w)], w)
		c.workerCells[w.ID] = CellOf(w)
	}
	c.ids = slices.Sorted(maps.Keys(c.workers))
	return c
}

// staying returns the entries of d.GuaranteeCells whose cell exists and has workers in the guarantee's data centre.
func (c cellGroups) staying(d model.Declaration) map[plan.Ref]model.CellID {
	out := map[plan.Ref]model.CellID{}
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			ref := plan.Ref{Team: t.Name, Guarantee: g.Name}
			cell := d.GuaranteeCells[ref.String()]
			if c.workers[cell] != nil && c.hasCentre(cell, g.Centre) {
				out[ref] = cell
			}
		}
	}
	return out
}

// hasCentre reports whether a cell has workers in a data centre; an empty data centre means any.
func (c cellGroups) hasCentre(id model.CellID, centre model.Centre) bool {
	return centre == "" || slices.ContainsFunc(c.workers[id], func(w model.Worker) bool { return w.Centre == centre })
}

// spreadByFreeGPUs keeps the cells in staying, and assigns each of the other guarantees, the largest first, to the cell with
// the most free accelerators. It reports whether all guarantees then fit in their cells.
func (c cellGroups) spreadByFreeGPUs(d model.Declaration, staying map[plan.Ref]model.CellID) (map[string]model.CellID, bool) {
	s := newSearch(c)
	var unassigned []teamGuarantee
	for _, g := range teamGuarantees(d) {
		if id, ok := staying[g.ref]; ok {
			s.add(id, g)
		} else {
			unassigned = append(unassigned, g)
		}
	}
	for _, g := range unassigned {
		ids := s.candidates(g)
		if len(ids) == 0 {
			return nil, false
		}
		s.add(ids[len(ids)-1], g)
	}
	for id, assigned := range s.assigned {
		if !s.fits(id, assigned) {
			return nil, false
		}
	}
	return s.result(), true
}

// Reassign returns an assignment in which guarantees that no longer fit in their cells after a loss of workers or an evacuation
// have other cells, and the guarantees that move. A guarantee stays if no other cell has room for it, if it names a data centre, or if
// others would have to move for it.
func Reassign(workers []model.Worker, d model.Declaration) (map[string]model.CellID, []plan.Ref) {
	var up []model.Worker
	for _, w := range workers {
		if w.Up && !slices.Contains(d.Evacuate, w.Centre) {
			up = append(up, w)
		}
	}
	held, displaced := groupByCell(up).splitByFit(d)
	held.GuaranteeCells = maps.Clone(d.GuaranteeCells)
	var moved []plan.Ref
	for _, t := range displaced {
		next := held
		next.Teams = append(slices.Clip(held.Teams), t)
		next.GuaranteeCells = maps.Clone(held.GuaranteeCells)
		ref := plan.Ref{Team: t.Name, Guarantee: t.Guarantees[0].Name}
		delete(next.GuaranteeCells, ref.String())
		chosen, err := Guarantees(up, next)
		if err != nil || slices.ContainsFunc(guaranteeRefs(held), func(r plan.Ref) bool {
			return chosen[r.String()] != held.GuaranteeCells[r.String()]
		}) {
			continue
		}
		held = next
		held.GuaranteeCells[ref.String()] = chosen[ref.String()]
		moved = append(moved, ref)
	}
	return held.GuaranteeCells, moved
}

// splitByFit returns the guarantees that fit in their cells, and those that don't and may move because they name no data
// centre, the largest first. Each guarantee is in a team of its own, so that it can be moved separately.
func (c cellGroups) splitByFit(d model.Declaration) (held model.Declaration, displaced []model.TeamSpec) {
	parts := map[model.CellID]*model.Declaration{}
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			cell := d.GuaranteeCells[plan.Ref{Team: t.Name, Guarantee: g.Name}.String()]
			if parts[cell] == nil {
				parts[cell] = &model.Declaration{}
			}
			parts[cell].Teams = append(parts[cell].Teams, model.TeamSpec{Name: t.Name, Guarantees: []model.Guarantee{g}})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(parts)) {
		part := parts[id]
		var conflict *plan.ConflictError
		for {
			if _, err := plan.Place(c.workers[id], *part); !errors.As(err, &conflict) {
				break
			}
			i := slices.IndexFunc(part.Teams, func(t model.TeamSpec) bool {
				return conflict.Ref == plan.Ref{Team: t.Name, Guarantee: t.Guarantees[0].Name}
			})
			if part.Teams[i].Guarantees[0].Centre == "" {
				displaced = append(displaced, part.Teams[i])
			}
			part.Teams = slices.Delete(part.Teams, i, i+1)
		}
		held.Teams = append(held.Teams, part.Teams...)
	}
	slices.SortStableFunc(displaced, func(a, b model.TeamSpec) int {
		return cmp.Compare(b.Guarantees[0].Shape.Size(), a.Guarantees[0].Shape.Size())
	})
	return held, displaced
}
