package plan

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// nestedCellsFit reports whether guarantees fit as nested cells, in the manner of a buddy allocator: powers of two of
// accelerators within a worker, whole workers, and whole racks. A gang of several workers in one rack takes a whole
// rack.
func nestedCellsFit(racks []int, d model.Declaration) bool {
	racks = slices.Sorted(slices.Values(racks))
	var parts []int
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			s := g.Shape
			cell := 1 << bits.Len(uint(s.GPUs-1))
			if s.Adjacent == model.SameRack && s.Size() > 8 {
				workers := (s.Tasks + 8/cell - 1) / (8 / cell)
				k := slices.IndexFunc(racks, func(n int) bool { return n >= workers })
				if k < 0 {
					return false
				}
				racks = slices.Delete(racks, k, k+1)
				continue
			}
			for range s.Tasks {
				parts = append(parts, cell)
			}
		}
	}
	// Cells that are powers of two fill workers without waste if the largest are placed first.
	total := 0
	for _, n := range racks {
		total += 8 * n
	}
	for _, p := range parts {
		total -= p
	}
	return total >= 0
}

// CheckFeasible must accept every declaration that nested cells, the published alternative, can hold. Otherwise the
// search for anchors gives up too early.
func TestMatchingHoldsWhatNestedCellsHold(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	workers := newWorkers(10, 3)
	shapes := []model.Shape{
		{Tasks: 1, GPUs: 3},
		{Tasks: 1, GPUs: 4},
		{Tasks: 2, GPUs: 6},
		{Tasks: 1, GPUs: 8},
		{Tasks: 4, GPUs: 2},
		{Tasks: 2, GPUs: 8, Adjacent: model.SameRack},
		{Tasks: 3, GPUs: 8, Adjacent: model.SameRack},
		{Tasks: 4, GPUs: 4, Adjacent: model.SameRack},
	}
	nested, matched, both := 0, 0, 0
	const draws = 1000
	for range draws {
		d := model.Declaration{}
		for i := range 4 + r.IntN(5) {
			d.Teams = append(d.Teams, model.TeamSpec{Name: model.Team(fmt.Sprint(i)), Guarantees: []model.Guarantee{
				{Name: "g", Grace: time.Minute, Shape: shapes[r.IntN(len(shapes))]},
			}})
		}
		cells, match := nestedCellsFit([]int{3, 1, 3, 3}, d), CheckFeasible(workers, d) == nil
		if cells {
			nested++
		}
		if match {
			matched++
		}
		if cells && match {
			both++
		}
	}
	t.Logf("of %d declarations nested cells hold %d, matching %d, both %d", draws, nested, matched, both)
	if both < nested {
		t.Errorf("matching refuses %d declarations that nested cells hold", nested-both)
	}
}
