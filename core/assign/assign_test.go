package assign

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// init fixes the seed of generated cases, so that each run has the same result. The flag -rapid.seed replaces it; 0 draws
// a new seed for each run.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// cellsOfWorkers returns the workers of cells c0, c1 and so on with the given numbers of workers. A worker has 8 accelerators;
// a rack has 3 workers.
func cellsOfWorkers(sizes ...int) []model.Worker {
	var out []model.Worker
	for c, n := range sizes {
		id := fmt.Sprint("c", c)
		for i := range n {
			out = append(out, model.Worker{
				ID: model.WorkerID(fmt.Sprintf("%s-w%04d", id, i)), Centre: model.Centre(id), Rack: fmt.Sprint("r", i/3),
				Cores: 128, Memory: 256, GPUs: 8, Up: true,
			})
		}
	}
	return out
}

// teamsWithGuarantees returns teams t0, t1 and so on. Each has one guarantee with the given number of tasks, each of which
// takes all accelerators of a worker, in one rack.
func teamsWithGuarantees(tasks ...int) model.Declaration {
	var d model.Declaration
	for i, n := range tasks {
		d.Teams = append(d.Teams, model.TeamSpec{Name: model.Team(fmt.Sprint("t", i)), Guarantees: []model.Guarantee{{
			Name: "base", Grace: time.Minute, Shape: model.Shape{Tasks: n, GPUs: 8, Adjacent: model.SameRack},
		}}})
	}
	return d
}

// workersByCell groups workers by their workersByCell.
func workersByCell(workers []model.Worker) map[model.CellID][]model.Worker {
	out := map[model.CellID][]model.Worker{}
	for _, w := range workers {
		out[CellOf(w)] = append(out[CellOf(w)], w)
	}
	return out
}

// declarationOfCell returns the guarantees of d that are assigned to a cell.
func declarationOfCell(d model.Declaration, assignment map[string]model.CellID, id model.CellID) model.Declaration {
	var out model.Declaration
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			if assignment[plan.Ref{Team: t.Name, Guarantee: g.Name}.String()] == id {
				out.Teams = append(out.Teams, model.TeamSpec{Name: t.Name, Guarantees: []model.Guarantee{g}})
			}
		}
	}
	return out
}

// Accepted guarantees must fit in the cells that they are assigned to, and must be accepted if any assignment exists.
func TestGuaranteesFitTheirCells(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := cellsOfWorkers(rapid.SliceOfN(rapid.IntRange(1, 7), 1, 4).Draw(t, "cells")...)
		if rapid.Bool().Draw(t, "two data centres a cell") {
			for i := range workers {
				workers[i].Region = "west"
				if workers[i].Centre >= "c2" {
					workers[i].Region = "east"
				}
			}
			workers = SetCells(ByRegion, workers)
		}
		d := teamsWithGuarantees(rapid.SliceOfN(rapid.IntRange(1, 3), 1, 7).Draw(t, "tasks")...)
		got, err := Guarantees(workers, d)
		for id, list := range workersByCell(workers) {
			if err := plan.CheckFeasible(list, declarationOfCell(d, got, id)); err != nil {
				t.Errorf("cell %s: got %v, want its guarantees to fit", id, err)
			}
		}
		if want := assignmentExists(workersByCell(workers), d, map[string]model.CellID{}, 0); (err == nil) != want {
			t.Errorf("got error %v with cells %v; an assignment exists: %v", err, got, want)
		}
		if err == nil && len(got) != len(d.Teams) {
			t.Errorf("cells: got %v, want one for each of %d guarantees", got, len(d.Teams))
		}
	})
}

// assignmentExists reports whether the guarantees fit in any assignment, by trying all of them.
func assignmentExists(cells map[model.CellID][]model.Worker, d model.Declaration, assignment map[string]model.CellID, n int) bool {
	if n == len(d.Teams) {
		return true
	}
	for id, workers := range cells {
		assignment[string(d.Teams[n].Name)+"/base"] = id
		if plan.CheckFeasible(workers, declarationOfCell(d, assignment, id)) == nil && assignmentExists(cells, d, assignment, n+1) {
			return true
		}
	}
	delete(assignment, string(d.Teams[n].Name)+"/base")
	return false
}

// A change of one team's guarantees must not move those of other teams unless it has to.
func TestGuaranteesStayInTheirCells(t *testing.T) {
	workers := cellsOfWorkers(4, 3, 3)
	d := teamsWithGuarantees(2, 1)
	first, err := Guarantees(workers, d)
	if err != nil {
		t.Fatal(err)
	}
	more := teamsWithGuarantees(2, 1, 3)
	more.GuaranteeCells = first
	second, err := Guarantees(workers, more)
	if err != nil {
		t.Fatal(err)
	}
	for ref, id := range first {
		if second[ref] != id {
			t.Errorf("cell of %s: got %s, want %s", ref, second[ref], id)
		}
	}
	// c1 and c2 each have one rack of three workers: the new guarantees of three workers fit only if t0 and t1 move to c0.
	tight := teamsWithGuarantees(2, 1, 3, 3)
	tight.GuaranteeCells = map[string]model.CellID{"t0/base": "c1", "t1/base": "c2", "t2/base": "gone"}
	if got, err := Guarantees(workers, tight); err != nil || len(got) != 4 {
		t.Errorf("guarantees that have to move for others: got %v, %v, want cells for all four", got, err)
	}
}

// A refusal must name the guarantee that does not fit and those that it conflicts with, and a data centre in a guarantee must
// be respected.
func TestConflictingGuaranteesAreRefused(t *testing.T) {
	split := teamsWithGuarantees(4)
	split.Teams[0].Guarantees[0].Shape.Adjacent = model.SameCentre
	above := teamsWithGuarantees(2)
	above.Teams[0].Quota = 8
	pinned := teamsWithGuarantees(3, 3)
	pinned.Teams[0].Guarantees[0].Centre, pinned.Teams[1].Guarantees[0].Centre = "c1", "c1"
	for _, c := range []struct {
		name string
		d    model.Declaration
		want plan.ConflictError
	}{
		{"larger than any cell", split, plan.ConflictError{Ref: plan.Ref{Team: "t0", Guarantee: "base"}}},
		{"above the quota of its team", above, plan.ConflictError{Ref: plan.Ref{Team: "t0", Guarantee: "base"}}},
		{"two in one data centre", pinned, plan.ConflictError{Ref: plan.Ref{Team: "t1", Guarantee: "base"}, With: []plan.Ref{{Team: "t0", Guarantee: "base"}}}},
	} {
		c.d.GuaranteeCells = map[string]model.CellID{"t0/base": "c0"}
		got, err := Guarantees(cellsOfWorkers(3, 3), c.d)
		var conflict *plan.ConflictError
		if !errors.As(err, &conflict) || conflict.Ref != c.want.Ref || !slices.Equal(conflict.With, c.want.With) || got != nil {
			t.Errorf("%s: got %v with %v, want a conflict of %v with %v", c.name, err, got, c.want.Ref, c.want.With)
		}
	}
	pinned.Teams[0].Guarantees[0].Centre = "c0"
	want := map[string]model.CellID{"t0/base": "c0", "t1/base": "c1"}
	if got, err := Guarantees(cellsOfWorkers(3, 3), pinned); err != nil || !maps.Equal(got, want) {
		t.Errorf("guarantees with data centres: got %v, %v, want %v", got, err, want)
	}
}

// After a loss of workers, a guarantee must not stay in shortfall while another cell has room for it, and must not move if it
// still fits.
func TestReassignAfterLoss(t *testing.T) {
	d := teamsWithGuarantees(3, 2, 1)
	d.GuaranteeCells = map[string]model.CellID{"t0/base": "c0", "t1/base": "c1", "t2/base": "c1"}
	fixed := teamsWithGuarantees(3, 2, 1)
	fixed.GuaranteeCells = d.GuaranteeCells
	fixed.Teams[0].Guarantees[0].Centre = "c0"
	evacuated, evacuatedFixed := d, fixed
	evacuated.Evacuate, evacuatedFixed.Evacuate = []model.Centre{"c0"}, []model.Centre{"c0"}
	for _, c := range []struct {
		name string
		d    model.Declaration
		lost []model.WorkerID
		want map[string]model.CellID
	}{
		{"nothing lost", d, nil, nil},
		{"an evacuated data centre", evacuated, nil, map[string]model.CellID{"t0/base": "c2"}},
		{"the same with a data centre", evacuatedFixed, nil, nil},
		{"a spare worker", d, []model.WorkerID{"c2-w0000"}, nil},
		{"a worker of the largest", d, []model.WorkerID{"c0-w0001"}, map[string]model.CellID{"t0/base": "c2"}},
		{"the same with a data centre", fixed, []model.WorkerID{"c0-w0001"}, nil},
		{"a worker of two", d, []model.WorkerID{"c1-w0001"}, map[string]model.CellID{"t2/base": "c2"}},
		{"no other room", d, []model.WorkerID{"c0-w0001", "c2-w0001", "c2-w0002"}, nil},
		{"a whole cell", d, []model.WorkerID{"c1-w0000", "c1-w0001", "c1-w0002"}, map[string]model.CellID{"t1/base": "c2", "t2/base": "c2"}},
	} {
		workers := cellsOfWorkers(3, 3, 4)
		for i := range workers {
			workers[i].Up = !slices.Contains(c.lost, workers[i].ID)
		}
		want := maps.Clone(c.d.GuaranteeCells)
		maps.Copy(want, c.want)
		got, moved := Reassign(workers, c.d)
		if !maps.Equal(got, want) || len(moved) != len(c.want) {
			t.Errorf("%s: got %v, moved %v, want %v", c.name, got, moved, want)
		}
	}
}

// BenchmarkGuarantees assigns the guarantees of all teams, those of one more team, and more guarantees than fit.
func BenchmarkGuarantees(b *testing.B) {
	for _, size := range []struct{ cells, workers, teams int }{{3, 4, 4}, {15, 200, 95}, {15, 2000, 380}} {
		sizes := make([]int, size.cells)
		for i := range sizes {
			sizes[i] = size.workers
		}
		workers := cellsOfWorkers(sizes...)
		tasks := make([]int, size.teams)
		for i := range tasks {
			tasks[i] = 1 + i%3
		}
		all, one := teamsWithGuarantees(tasks...), teamsWithGuarantees(append(tasks, 2)...)
		var err error
		if one.GuaranteeCells, err = Guarantees(workers, all); err != nil {
			b.Fatal(err)
		}
		name := fmt.Sprintf("%dx%d/%d", size.cells, size.workers, size.teams)
		for _, c := range []struct {
			name string
			d    model.Declaration
		}{{"all", all}, {"one more", one}} {
			b.Run(name+"/"+c.name, func(b *testing.B) {
				for b.Loop() {
					if _, err := Guarantees(workers, c.d); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
	b.Run("too many", func(b *testing.B) {
		workers, d := cellsOfWorkers(slices.Repeat([]int{2000}, 15)...), teamsWithGuarantees(slices.Repeat([]int{3}, 380)...)
		for i := range d.Teams {
			d.Teams[i].Guarantees[0].Shape.Tasks = 64
			d.Teams[i].Guarantees[0].Shape.Adjacent = model.SameCentre
			d.Teams[i].Guarantees = slices.Repeat(d.Teams[i].Guarantees, 2)
			d.Teams[i].Guarantees[1].Name = "more"
		}
		for b.Loop() {
			if _, err := Guarantees(workers, d); err == nil {
				b.Fatal("got no conflict")
			}
		}
	})
}
