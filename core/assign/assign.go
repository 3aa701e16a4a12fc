package assign

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// maxChecks bounds the search for an assignment that moves few guarantees, in placements of a cell: 0.5 s at 2,000
// workers a cell.
const maxChecks = 100

// Guarantees returns the cell of each guarantee of d, by team/guarantee. Those that d.GuaranteeCells names stay where
// they are, but for those that are in the way of others. The error is a *plan.ConflictError. Lost workers count, since
// they may come back.
func Guarantees(workers []model.Worker, d model.Declaration) (map[string]model.CellID, error) {
	if err := plan.Validate(d); err != nil {
		return nil, err
	}
	f := newFleet(workers)
	kept := f.kept(d)
	// Placing each cell by itself takes 0.2 s for 380 guarantees on 30,000 workers, all cells together many times that.
	if homes, ok := f.spread(d, kept); ok {
		return homes, nil
	}
	places, err := plan.Place(workers, d)
	if err != nil {
		return nil, err
	}
	if homes, ok := f.moveFew(d, kept); ok {
		return homes, nil
	}
	out := make(map[string]model.CellID, len(places))
	for ref, slots := range places {
		out[ref.String()] = f.cells[slots[0].Worker]
	}
	return out, nil
}

// moveFew looks for an assignment in which all kept guarantees stay, or all but one.
func (f fleet) moveFew(d model.Declaration, kept map[plan.Ref]model.CellID) (map[string]model.CellID, bool) {
	all, left := items(d), maxChecks
	for n := -1; n < len(all) && left > 0; n++ {
		former := maps.Clone(kept)
		if n >= 0 {
			if _, ok := kept[all[n].ref]; !ok {
				continue
			}
			delete(former, all[n].ref)
		}
		s := newSearch(f)
		s.left = left
		if rest := s.keep(all, former); s.place(rest) {
			return s.result(), true
		}
		left = s.left
	}
	return nil, false
}

// fleet is the workers by cell.
type fleet struct {
	workers map[model.CellID][]model.Worker
	cells   map[model.WorkerID]model.CellID
	ids     []model.CellID
}

func newFleet(workers []model.Worker) fleet {
	f := fleet{map[model.CellID][]model.Worker{}, make(map[model.WorkerID]model.CellID, len(workers)), nil}
	for _, w := range workers {
		f.workers[CellOf(w)] = append(f.workers[CellOf(w)], w)
		f.cells[w.ID] = CellOf(w)
	}
	f.ids = slices.Sorted(maps.Keys(f.workers))
	return f
}

// kept returns the cells in d.GuaranteeCells that can stay.
func (f fleet) kept(d model.Declaration) map[plan.Ref]model.CellID {
	out := map[plan.Ref]model.CellID{}
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			ref := plan.Ref{Team: t.Name, Guarantee: g.Name}
			home := d.GuaranteeCells[ref.String()]
			if f.workers[home] != nil && f.has(home, g.Centre) {
				out[ref] = home
			}
		}
	}
	return out
}

// has reports whether a cell has workers of a data centre; empty means any.
func (f fleet) has(id model.CellID, centre model.Centre) bool {
	return centre == "" || slices.ContainsFunc(f.workers[id], func(w model.Worker) bool { return w.Centre == centre })
}

// spread puts the guarantees without a cell on the cells with the most accelerators left, the largest first, and
// reports whether each cell can hold its part.
func (f fleet) spread(d model.Declaration, kept map[plan.Ref]model.CellID) (map[string]model.CellID, bool) {
	s := newSearch(f)
	var rest []item
	for _, i := range items(d) {
		if id, ok := kept[i.ref]; ok {
			s.add(id, i)
		} else {
			rest = append(rest, i)
		}
	}
	for _, i := range rest {
		ids := s.candidates(i)
		if len(ids) == 0 {
			return nil, false
		}
		s.add(ids[len(ids)-1], i)
	}
	for id, held := range s.held {
		if !s.fits(id, held) {
			return nil, false
		}
	}
	return s.result(), true
}

// Reassign returns an assignment in which guarantees that their cells can't hold after the loss of workers have other
// cells, and the guarantees that move; none if there is no room for them. All others stay, and so do those with a data
// centre.
func Reassign(workers []model.Worker, d model.Declaration) (map[string]model.CellID, []plan.Ref) {
	var up []model.Worker
	for _, w := range workers {
		if w.Up {
			up = append(up, w)
		}
	}
	held, short := newFleet(up).split(d)
	held.GuaranteeCells = maps.Clone(d.GuaranteeCells)
	var moved []plan.Ref
	for _, t := range short {
		next := held
		next.Teams = append(slices.Clip(held.Teams), t)
		next.GuaranteeCells = maps.Clone(held.GuaranteeCells)
		ref := plan.Ref{Team: t.Name, Guarantee: t.Guarantees[0].Name}
		delete(next.GuaranteeCells, ref.String())
		chosen, err := Guarantees(up, next)
		if err != nil || slices.ContainsFunc(refs(held), func(r plan.Ref) bool { return chosen[r.String()] != held.GuaranteeCells[r.String()] }) {
			continue
		}
		held = next
		held.GuaranteeCells[ref.String()] = chosen[ref.String()]
		moved = append(moved, ref)
	}
	return held.GuaranteeCells, moved
}

// split returns the guarantees that their cells can hold, and those that they can't and that may move, the largest
// first. Each is in a team of its own.
func (f fleet) split(d model.Declaration) (held model.Declaration, short []model.TeamSpec) {
	parts := map[model.CellID]*model.Declaration{}
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			home := d.GuaranteeCells[plan.Ref{Team: t.Name, Guarantee: g.Name}.String()]
			if parts[home] == nil {
				parts[home] = &model.Declaration{}
			}
			parts[home].Teams = append(parts[home].Teams, model.TeamSpec{Name: t.Name, Guarantees: []model.Guarantee{g}})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(parts)) {
		part := parts[id]
		var conflict *plan.ConflictError
		for {
			if _, err := plan.Place(f.workers[id], *part); !errors.As(err, &conflict) {
				break
			}
			i := slices.IndexFunc(part.Teams, func(t model.TeamSpec) bool {
				return conflict.Ref == plan.Ref{Team: t.Name, Guarantee: t.Guarantees[0].Name}
			})
			if part.Teams[i].Guarantees[0].Centre == "" {
				short = append(short, part.Teams[i])
			}
			part.Teams = slices.Delete(part.Teams, i, i+1)
		}
		held.Teams = append(held.Teams, part.Teams...)
	}
	slices.SortStableFunc(short, func(a, b model.TeamSpec) int {
		return cmp.Compare(b.Guarantees[0].Shape.Size(), a.Guarantees[0].Shape.Size())
	})
	return held, short
}
