package plan

import (
	"fmt"
	"time"

	"wagtailhoist/core/model"
)

// Ref names a guarantee of a team.
type Ref struct {
	Team      model.Team `json:"team"`
	Guarantee string     `json:"guarantee"`
}

// String formats the reference for messages.
func (r Ref) String() string { return string(r.Team) + "/" + r.Guarantee }

// ConflictError reports guarantees that can't be met together.
type ConflictError struct {
	// Ref is the guarantee that can't be met beside With; With is empty if it can't be met alone.
	Ref   Ref
	With  []Ref
	Cause Cause
	// Need and Have count accelerators.
	Need, Have int
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	s := fmt.Sprintf("guarantee %s can't be met: %s, needs %d, has %d", e.Ref, e.Cause, e.Need, e.Have)
	for i, r := range e.With {
		if i == 0 {
			s += "; conflicts with "
		} else {
			s += ", "
		}
		s += r.String()
	}
	return s
}

// CheckFeasible reports whether the workers can hold all guarantees of a declaration together, as Place does.
func CheckFeasible(workers []model.Worker, d model.Declaration) error {
	_, err := Place(workers, d)
	return err
}

// Place returns a place for each guarantee of a declaration on empty workers. Lost workers count, since they may
// come back. The error is a *ConflictError that names a smallest set of guarantees in conflict.
func Place(workers []model.Worker, d model.Declaration) (map[Ref][]Slot, error) {
	s := &State{Workers: make(map[model.WorkerID]WorkerState, len(workers))}
	for _, w := range workers {
		w.Up = true
		s.Workers[w.ID] = WorkerState{Worker: w}
	}
	var err error
	if s.Anchors, err = anchorsOf(d); err != nil {
		return nil, err
	}
	s.idx = nil
	s.ensureIndex(time.Time{})
	v := &view{index: *s.idx, state: s}
	all := make([]int, len(s.Anchors))
	for i := range all {
		all[i] = i
	}
	found := v.solveAnchors(all, make([]map[int]int, len(all)))
	if found == nil {
		return nil, s.conflict()
	}
	out := make(map[Ref][]Slot, len(found))
	for i, spots := range found {
		a := s.Anchors[i]
		out[Ref{a.Team, a.Guarantee.Name}] = slotsOf(v, a.Guarantee.Shape, spots)
	}
	return out, nil
}

// Validate reports whether each guarantee of a declaration is sound by itself and the quota of its team allows it. The
// error is a *ConflictError.
func Validate(d model.Declaration) error {
	_, err := anchorsOf(d)
	return err
}

// anchorsOf returns an anchor without a place for each guarantee.
func anchorsOf(d model.Declaration) ([]Anchor, error) {
	var out []Anchor
	named := map[Ref]bool{}
	for _, t := range d.Teams {
		sum := 0
		for _, g := range t.Guarantees {
			ref := Ref{t.Name, g.Name}
			if !validShape(g.Shape) || g.Grace < 0 || g.Name == "" || named[ref] {
				return nil, &ConflictError{Ref: ref, Cause: InvalidGuarantee}
			}
			named[ref] = true
			sum += g.Shape.Size()
			if t.Quota > 0 && sum > t.Quota {
				return nil, &ConflictError{Ref: ref, Cause: AboveQuota, Need: sum, Have: t.Quota}
			}
			out = append(out, Anchor{Team: t.Name, Guarantee: g})
		}
	}
	return out, nil
}

// maxConflictVisits bounds the search for a smallest set of guarantees in conflict, in workers visited; about 0.5 s.
const maxConflictVisits = 50_000_000

// conflict returns a *ConflictError for an infeasible set of the State's guarantees, which don't fit together. It is a
// smallest one unless conflictVisits is reached.
func (s *State) conflict() error {
	v := &view{index: *s.idx, state: s}
	minTasks := make([]map[int]int, len(s.Anchors))
	core := make([]int, len(s.Anchors))
	for i := range core {
		core[i] = i
	}
	left := maxConflictVisits
	for k := 0; k < len(core) && left > 0; {
		left -= len(core) * len(v.nodes)
		rest := append(append([]int(nil), core[:k]...), core[k+1:]...)
		if v.solveAnchors(rest, minTasks) == nil {
			core = rest
		} else {
			k++
		}
	}
	last := core[len(core)-1]
	a := s.Anchors[last]
	e := &ConflictError{Ref: Ref{a.Team, a.Guarantee.Name}, Need: a.Guarantee.Shape.Size(), Cause: TooFewAccelerators}
	total, need := 0, 0
	for i := range v.nodes {
		if v.inCentre(nodeRange{lo: i, hi: i + 1}, a.Guarantee.Centre) {
			total += v.nodes[i].capacity.GPUs
		}
	}
	for _, i := range core {
		need += s.Anchors[i].Guarantee.Shape.Size()
	}
	for _, i := range core[:len(core)-1] {
		e.With = append(e.With, Ref{s.Anchors[i].Team, s.Anchors[i].Guarantee.Name})
	}
	e.Have = max(total-(need-e.Need), 0)
	switch {
	case total == 0:
		e.Cause = NoSuchCentre
	case need <= total:
		e.Cause = NoAdjacentBlock
	}
	return e
}
