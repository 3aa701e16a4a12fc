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

// ConflictError reports a guarantee that is malformed, or guarantees that can't be met together.
type ConflictError struct {
	// Ref is the guarantee that can't be met together with those in With, or by itself if With is empty.
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

// CheckFeasible reports an error if the workers can't hold all guarantees of a declaration together; see Place.
func CheckFeasible(workers []model.Worker, d model.Declaration) error {
	_, err := Place(workers, d)
	return err
}

// Place returns slots for each guarantee of a declaration, as if the workers were empty. Lost workers are included,
// since they may return. The error is a *ConflictError that names a minimal set of guarantees in conflict.
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

// Validate reports an error if a guarantee of a declaration is malformed or exceeds the quota of its team. The error is
// a *ConflictError.
func Validate(d model.Declaration) error {
	_, err := anchorsOf(d)
	return err
}

// anchorsOf returns an anchor without slots for each guarantee of a valid declaration.
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

// maxConflictVisits limits the search for a minimal set of guarantees in conflict, in visited workers; it takes about
// 0.5 s.
const maxConflictVisits = 50_000_000

// conflict returns a *ConflictError for guarantees of the State that don't fit together. The set is minimal unless
// maxConflictVisits is reached.
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
