package sched

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wagtailhoist/core/assign"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// cellForJob returns the cell that a job is submitted to. The cell depends on the job, the declaration and the list of the
// workers alone, so that a job that is submitted twice, at any entries, gets the same cell and runs once.
func (s *Sched) cellForJob(spec model.JobSpec) (model.CellID, error) {
	d, known := s.Declaration()
	s.mu.Lock()
	defer s.mu.Unlock()
	var id model.CellID
	var ok bool
	if spec.Guarantee == "" {
		id, ok = s.chooseCell("job/"+string(spec.ID), spec.Shape)
	} else if g, declared := findGuarantee(d, spec); declared {
		s.deriveCellDeclarations(d)
		id, ok = s.cellOfGuarantee(spec.Team, g)
	} else if known {
		return "", &InvalidError{Job: spec.ID, Reason: fmt.Sprintf("team %q has no guarantee %q", spec.Team, spec.Guarantee)}
	}
	if !ok {
		return "", &NoCellError{Job: spec.ID}
	}
	return id, nil
}

// findGuarantee returns the guarantee that a job names.
func findGuarantee(d model.Declaration, spec model.JobSpec) (model.Guarantee, bool) {
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			if t.Name == spec.Team && g.Name == spec.Guarantee {
				return g, true
			}
		}
	}
	return model.Guarantee{}, false
}

// deriveCellDeclarations derives guaranteeCells and cellDeclarations from a declaration, if it or the workers have changed.
// The caller holds s.mu.
func (s *Sched) deriveCellDeclarations(d model.Declaration) {
	if s.cellDeclarations != nil && reflect.DeepEqual(d, s.derivedFrom) {
		return
	}
	s.derivedFrom, s.cellDeclarations, s.guaranteeCells = d, map[model.CellID]model.Declaration{}, d.GuaranteeCells
	s.inputsVersion++
	if !allGuaranteesAssigned(d) {
		// The declaration was written by a process without a worker service, which can't assign cells.
		if chosen, err := assign.Guarantees(slices.Concat(slices.Collect(maps.Values(s.workers))...), d); err == nil {
			s.guaranteeCells = chosen
		}
	}
	for id := range s.workers {
		s.cellDeclarations[id] = s.declarationForCell(d, id)
	}
}

// allGuaranteesAssigned reports whether a declaration assigns a cell to each of its guarantees.
func allGuaranteesAssigned(d model.Declaration) bool {
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			if d.GuaranteeCells[plan.Ref{Team: t.Name, Guarantee: g.Name}.String()] == "" {
				return false
			}
		}
	}
	return true
}

// cellOfGuarantee returns the cell that a guarantee is assigned to, and whether workers of the cell are listed. A guarantee
// without an assigned cell, because it fits into none, gets a cell all the same, which then reports the shortfall.
func (s *Sched) cellOfGuarantee(team model.Team, g model.Guarantee) (model.CellID, bool) {
	ref := plan.Ref{Team: team, Guarantee: g.Name}
	if id := s.guaranteeCells[ref.String()]; id != "" {
		return id, s.workers[id] != nil
	}
	if g.Centre != "" {
		for id, list := range s.workers {
			if slices.ContainsFunc(list, func(w model.Worker) bool { return w.Centre == g.Centre }) {
				return id, true
			}
		}
		return "", false
	}
	return s.chooseCell("guarantee/"+ref.String(), g.Shape)
}

// chooseCell chooses a cell for a name by rendezvous hashing, weighted by the accelerators of the cells. It prefers cells that
// could hold the shape if they were empty.
func (s *Sched) chooseCell(name string, shape model.Shape) (model.CellID, bool) {
	best, bestScore, bestFits := model.CellID(""), math.Inf(-1), false
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		capacity, weight := 0, 1
		for _, w := range s.workers[id] {
			weight += w.GPUs
			capacity += maxTasksOnWorker(w, shape)
		}
		fits := capacity >= shape.Tasks
		// u is uniform in (0, 1]; -weight/ln(u) is the score of weighted rendezvous hashing.
		u := (float64(xxhash.Sum64String(name+"\x00"+string(id))>>11) + 1) / (1 << 53)
		cellScore := -float64(weight) / math.Log(u)
		if fits && !bestFits || fits == bestFits && cellScore > bestScore {
			best, bestScore, bestFits = id, cellScore, fits
		}
	}
	return best, best != ""
}

// maxTasksOnWorker returns how many tasks of a shape a worker could hold if it was empty, at most the tasks of the shape. It
// doesn't matter whether the worker is up, since a lost worker may come back.
func maxTasksOnWorker(w model.Worker, shape model.Shape) int {
	tasks := shape.Tasks
	for _, resource := range [][2]int{{w.GPUs, shape.GPUs}, {w.Cores, shape.Cores}, {w.Memory, shape.Memory}} {
		if resource[1] > 0 {
			tasks = min(tasks, resource[0]/resource[1])
		}
	}
	return tasks
}

// declarationForCell returns a declaration with only the guarantees that are assigned to a cell.
func (s *Sched) declarationForCell(d model.Declaration, id model.CellID) model.Declaration {
	out := model.Declaration{Policy: d.Policy, Teams: slices.Clone(d.Teams), Evacuate: d.Evacuate}
	for i, t := range out.Teams {
		out.Teams[i].Guarantees = nil
		for _, g := range t.Guarantees {
			if assigned, ok := s.cellOfGuarantee(t.Name, g); ok && assigned == id {
				out.Teams[i].Guarantees = append(out.Teams[i].Guarantees, g)
			}
		}
	}
	return out
}
