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

// home returns the cell of a job. It depends on the job, the declaration and the list of the workers alone, so that
// a job submitted twice, to whichever entry, meets itself and is not run twice.
func (s *Sched) home(spec model.JobSpec) (model.CellID, error) {
	d, known := s.Declaration()
	s.mu.Lock()
	defer s.mu.Unlock()
	var id model.CellID
	var ok bool
	if spec.Guarantee == "" {
		id, ok = s.pick("job/"+string(spec.ID), spec.Shape)
	} else if g, declared := find(d, spec); declared {
		s.divide(d)
		id, ok = s.holder(spec.Team, g)
	} else if known {
		return "", &InvalidError{Job: spec.ID, Reason: fmt.Sprintf("team %q has no guarantee %q", spec.Team, spec.Guarantee)}
	}
	if !ok {
		return "", &NoCellError{Job: spec.ID}
	}
	return id, nil
}

// find returns the guarantee that a job names.
func find(d model.Declaration, spec model.JobSpec) (model.Guarantee, bool) {
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			if t.Name == spec.Team && g.Name == spec.Guarantee {
				return g, true
			}
		}
	}
	return model.Guarantee{}, false
}

// divide works out the homes of the guarantees and the parts of the declaration, if it or the workers have changed.
func (s *Sched) divide(d model.Declaration) {
	if s.parts != nil && reflect.DeepEqual(d, s.whole) {
		return
	}
	s.whole, s.parts, s.homes = d, map[model.CellID]model.Declaration{}, d.GuaranteeCells
	s.version++
	if !housed(d) {
		// The declaration was written by a process without a worker service.
		if chosen, err := assign.Guarantees(slices.Concat(slices.Collect(maps.Values(s.workers))...), d); err == nil {
			s.homes = chosen
		}
	}
	for id := range s.workers {
		s.parts[id] = s.part(d, id)
	}
}

// housed reports whether each guarantee of a declaration has a home.
func housed(d model.Declaration) bool {
	for _, t := range d.Teams {
		for _, g := range t.Guarantees {
			if d.GuaranteeCells[plan.Ref{Team: t.Name, Guarantee: g.Name}.String()] == "" {
				return false
			}
		}
	}
	return true
}

// holder returns the cell that holds a guarantee. One that fits nowhere is given to some cell, which reports the
// shortfall.
func (s *Sched) holder(team model.Team, g model.Guarantee) (model.CellID, bool) {
	ref := plan.Ref{Team: team, Guarantee: g.Name}
	if id := s.homes[ref.String()]; id != "" {
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
	return s.pick("guarantee/"+ref.String(), g.Shape)
}

// pick chooses a cell by weighted rendezvous hashing, in proportion to the accelerators, among the cells that
// could hold the shape if they were empty; if none could, among all.
func (s *Sched) pick(name string, shape model.Shape) (model.CellID, bool) {
	best, score, fits := model.CellID(""), math.Inf(-1), false
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		room, weight := 0, 1
		for _, w := range s.workers[id] {
			weight += w.GPUs
			room += tasksOn(w, shape)
		}
		fit := room >= shape.Tasks
		// The hash is spread over (0, 1]; -weight/ln(u) is the score of weighted rendezvous hashing.
		u := (float64(xxhash.Sum64String(name+"\x00"+string(id))>>11) + 1) / (1 << 53)
		this := -float64(weight) / math.Log(u)
		if fit && !fits || fit == fits && this > score {
			best, score, fits = id, this, fit
		}
	}
	return best, best != ""
}

// tasksOn returns how many tasks of a shape an empty worker holds, counting lost workers, which may come back.
func tasksOn(w model.Worker, shape model.Shape) int {
	n := shape.Tasks
	for _, part := range [][2]int{{w.GPUs, shape.GPUs}, {w.Cores, shape.Cores}, {w.Memory, shape.Memory}} {
		if part[1] > 0 {
			n = min(n, part[0]/part[1])
		}
	}
	return n
}

// part returns a declaration with the guarantees that a cell holds.
func (s *Sched) part(d model.Declaration, id model.CellID) model.Declaration {
	out := model.Declaration{Policy: d.Policy, Teams: slices.Clone(d.Teams)}
	for i, t := range out.Teams {
		out.Teams[i].Guarantees = nil
		for _, g := range t.Guarantees {
			if at, ok := s.holder(t.Name, g); ok && at == id {
				out.Teams[i].Guarantees = append(out.Teams[i].Guarantees, g)
			}
		}
	}
	return out
}
