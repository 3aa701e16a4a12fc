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

// Check reports whether the workers can hold all guarantees of a declaration together. Lost
// workers count, since they may come back. The error is a *ConflictError that names a smallest
// set of guarantees in conflict.
func Check(workers []model.Worker, d model.Declaration) error {
	s := &State{Hosts: make(map[model.WorkerID]Host, len(workers))}
	for _, w := range workers {
		w.Up = true
		s.Hosts[w.ID] = Host{Worker: w}
	}
	for _, t := range d.Teams {
		sum := 0
		for _, g := range t.Guarantees {
			if !valid(g.Shape) || g.Grace < 0 {
				return &ConflictError{Ref: Ref{t.Name, g.Name}, Cause: Invalid}
			}
			if s.anchor(t.Name, g.Name) != nil || g.Name == "" {
				return &ConflictError{Ref: Ref{t.Name, g.Name}, Cause: Invalid}
			}
			sum += g.Shape.Size()
			if t.Quota > 0 && sum > t.Quota {
				return &ConflictError{Ref: Ref{t.Name, g.Name}, Cause: AboveQuota, Need: sum, Have: t.Quota}
			}
			s.Anchors = append(s.Anchors, Anchor{Team: t.Name, Guarantee: g})
		}
	}
	s.idx = nil
	s.ready(time.Time{})
	return s.conflict()
}

// conflict returns a *ConflictError for a smallest infeasible set of the State's guarantees.
func (s *State) conflict() error {
	v := &view{index: *s.idx, st: s}
	mins := make([]map[int]int, len(s.Anchors))
	core := make([]int, len(s.Anchors))
	for i := range core {
		core[i] = i
	}
	if v.solve(core, mins) != nil {
		return nil
	}
	for k := 0; k < len(core); {
		rest := append(append([]int(nil), core[:k]...), core[k+1:]...)
		if v.solve(rest, mins) == nil {
			core = rest
		} else {
			k++
		}
	}
	last := core[len(core)-1]
	a := s.Anchors[last]
	e := &ConflictError{Ref: Ref{a.Team, a.Guarantee.Name}, Need: a.Guarantee.Shape.Size(), Cause: TooFew}
	total, need := 0, 0
	for i := range v.nodes {
		if v.inCentre(span{lo: i, hi: i + 1}, a.Guarantee.Centre) {
			total += v.nodes[i].cap.GPUs
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
		e.Cause = NoCentre
	case need <= total:
		e.Cause = NoBlock
	}
	return e
}
