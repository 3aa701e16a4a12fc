package query

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// Eval answers a query from the snapshot. The error is a MissingError.
func Eval(s *Statement, snap Snapshot) (Answer, error) {
	var a Answer
	var err error
	switch {
	case s.Show != nil:
		a = show(s.Show, snap)
	case s.Why != nil:
		a, err = why(s.Why.Job, snap)
	case s.Reclaim != nil:
		a, err = reclaim(s.Reclaim, snap)
	default:
		return Answer{}, fmt.Errorf("the statement is a change, not a query")
	}
	for _, part := range snap.Missing {
		a.Notes = append(a.Notes, "not included: "+part)
	}
	if a.Rows == nil {
		a.Rows = [][]string{}
	}
	return a, err
}

// filter is a list's restriction; empty fields don't restrict.
type filter struct{ team, centre, worker string }

func (f filter) takes(team model.Team) bool { return f.team == "" || string(team) == f.team }

// touches reports whether any slot is on a worker that the filter takes.
func (f filter) touches(slots []plan.Slot, centres map[model.WorkerID]model.Centre) bool {
	if f.centre == "" && f.worker == "" {
		return true
	}
	return slices.ContainsFunc(slots, func(s plan.Slot) bool {
		return (f.worker == "" || string(s.Worker) == f.worker) && (f.centre == "" || string(centres[s.Worker]) == f.centre)
	})
}

func show(q *Show, snap Snapshot) Answer {
	var f filter
	for _, one := range q.Filters {
		f.team, f.centre, f.worker = f.team+one.Team, f.centre+one.Centre, f.worker+one.Worker
	}
	switch q.What {
	case "jobs":
		return showJobs(f, snap)
	case "waiting":
		return showWaiting(f, snap)
	case "anchors":
		return showAnchors(f, snap)
	case "shortfalls":
		return showShortfalls(f, snap)
	case "workers":
		return showWorkers(f, snap)
	case "usage":
		return showUsage(f, snap)
	case "teams":
		return showTeams(f, snap)
	}
	return showMinions(f, snap)
}

func centresOf(snap Snapshot) map[model.WorkerID]model.Centre {
	out := make(map[model.WorkerID]model.Centre, len(snap.Workers))
	for _, w := range snap.Workers {
		out[w.ID] = w.Centre
	}
	return out
}

func showJobs(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"job", "team", "phase", "shape", "for", "on", "since"}}
	centres, waiting := centresOf(snap), 0
	for _, j := range snap.Jobs {
		if !f.takes(j.Spec.Team) {
			continue
		}
		if len(j.Slots) == 0 {
			waiting++
			continue
		}
		if f.touches(j.Slots, centres) {
			a.Rows = append(a.Rows, []string{
				string(j.Spec.ID), string(j.Spec.Team), j.Phase.String(), decl.Shape(j.Spec.Shape), use(j), places(j.Slots), age(snap, j.Since),
			})
		}
	}
	if waiting > 0 && f.centre == "" && f.worker == "" {
		a.Notes = append(a.Notes, fmt.Sprintf("%d more jobs wait; see show waiting", waiting))
	}
	return a
}

// use says on what right a job holds its accelerators.
func use(j Job) string {
	switch {
	case j.Anchored:
		return "guarantee " + j.Spec.Guarantee
	case j.Spec.Guarantee != "":
		return "guarantee " + j.Spec.Guarantee + " (borrowing)"
	}
	return "spare"
}

func places(slots []plan.Slot) string {
	parts := make([]string, len(slots))
	for i, s := range slots {
		parts[i] = fmt.Sprintf("%s:%d", s.Worker, s.GPUs)
	}
	return strings.Join(parts, " ")
}

func age(snap Snapshot, since time.Time) string {
	if since.IsZero() {
		return "-"
	}
	return max(snap.Now.Sub(since), 0).Round(time.Second).String()
}

func showWaiting(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"job", "team", "shape", "waits", "reason"}}
	for _, j := range snap.Jobs {
		if len(j.Slots) == 0 && f.takes(j.Spec.Team) && f.touches(j.Targets, centresOf(snap)) {
			a.Rows = append(a.Rows, []string{
				string(j.Spec.ID), string(j.Spec.Team), decl.Shape(j.Spec.Shape), age(snap, j.Since), reason(j.Reason) + stopped(j),
			})
		}
	}
	return a
}

func reason(r plan.Reason) string {
	if r.Code == 0 {
		return "not decided yet"
	}
	return r.String()
}

func showAnchors(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"team", "guarantee", "shape", "grace", "held on", "used by"}}
	centres := centresOf(snap)
	for _, anchor := range snap.Anchors {
		if !f.takes(anchor.Team) || !f.touches(anchor.Slots, centres) {
			continue
		}
		held := places(anchor.Slots)
		if len(anchor.Slots) == 0 {
			held = "nothing: shortfall"
		}
		a.Rows = append(a.Rows, []string{
			string(anchor.Team), anchor.Guarantee.Name, decl.Shape(anchor.Guarantee.Shape), anchor.Guarantee.Grace.String(), held,
			users(anchor, snap),
		})
	}
	return a
}

// users names the jobs on the workers of an anchor: its own, and those that may be borrowers.
func users(anchor plan.Anchor, snap Snapshot) string {
	var names []string
	for _, j := range snap.Jobs {
		own := j.Anchored && j.Spec.Team == anchor.Team && j.Spec.Guarantee == anchor.Guarantee.Name
		shares := !j.Anchored && slices.ContainsFunc(j.Slots, func(s plan.Slot) bool {
			return slices.ContainsFunc(anchor.Slots, func(t plan.Slot) bool { return s.Worker == t.Worker })
		})
		if own {
			names = append(names, string(j.Spec.ID))
		} else if shares {
			names = append(names, string(j.Spec.ID)+" (of "+string(j.Spec.Team)+")")
		}
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, " ")
}

func showShortfalls(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"team", "guarantee", "cause", "since", "workers", "jobs"}}
	for _, anchor := range snap.Anchors {
		if s := anchor.Shortfall; s != nil && f.takes(anchor.Team) {
			a.Rows = append(a.Rows, []string{
				string(s.Team), s.Guarantee, s.Cause.String(), age(snap, s.Since), list(s.Workers), list(s.Jobs),
			})
		}
	}
	return a
}

func list[T ~string](names []T) string {
	if len(names) == 0 {
		return "-"
	}
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = string(n)
	}
	return strings.Join(parts, " ")
}

func showWorkers(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"worker", "centre", "rack", "gpus", "used", "state"}}
	used := map[model.WorkerID]int{}
	for _, j := range snap.Jobs {
		for _, s := range j.Slots {
			used[s.Worker] += s.GPUs
		}
	}
	for _, w := range snap.Workers {
		if (f.centre != "" && string(w.Centre) != f.centre) || (f.worker != "" && string(w.ID) != f.worker) {
			continue
		}
		state := "up"
		switch {
		case !w.Up:
			state = "lost"
		case !w.Aside.IsZero():
			state = "aside until " + w.Aside.UTC().Format(time.RFC3339)
		}
		if w.Failed > 0 {
			state += fmt.Sprintf(", %d jobs failed here", w.Failed)
		}
		a.Rows = append(a.Rows, []string{
			string(w.ID), string(w.Centre), w.Rack, strconv.Itoa(w.GPUs), strconv.Itoa(used[w.ID]), state,
		})
	}
	return a
}

func showTeams(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"team", "weight", "quota", "in use", "waiting", "guarantees"}}
	inUse, waiting := map[model.Team]int{}, map[model.Team]int{}
	for _, j := range snap.Jobs {
		if len(j.Slots) == 0 {
			waiting[j.Spec.Team]++
		}
		for _, s := range j.Slots {
			inUse[j.Spec.Team] += s.GPUs
		}
	}
	for _, t := range snap.Declaration.Teams {
		if !f.takes(t.Name) {
			continue
		}
		quota, shapes := "-", []string{}
		if t.Quota > 0 {
			quota = strconv.Itoa(t.Quota)
		}
		for _, g := range t.Guarantees {
			shapes = append(shapes, g.Name+" "+decl.Shape(g.Shape))
		}
		a.Rows = append(a.Rows, []string{
			string(t.Name), strconv.Itoa(t.Weight), quota, strconv.Itoa(inUse[t.Name]), strconv.Itoa(waiting[t.Name]),
			list([]string{strings.Join(shapes, ", ")}),
		})
	}
	a.Notes = append(a.Notes, fmt.Sprintf("revision %d", snap.Revision))
	return a
}

func showMinions(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"minion", "service", "centre", "state", "running", "slots", "revision"}}
	for _, r := range snap.Minions {
		if f.centre == "" || string(r.Centre) == f.centre {
			a.Rows = append(a.Rows, []string{
				string(r.ID), r.Service, string(r.Centre), r.State.String(), strconv.Itoa(r.Load.Running), strconv.Itoa(r.Load.Slots),
				strconv.FormatUint(uint64(r.Revision), 10),
			})
		}
	}
	return a
}

func why(id string, snap Snapshot) (Answer, error) {
	a := Answer{Columns: []string{"job", "phase", "reason", "expected start", "reserved"}}
	for _, j := range snap.Jobs {
		if string(j.Spec.ID) != id {
			continue
		}
		text, due, reserved := reason(j.Reason), "unknown", "-"
		if len(j.Slots) > 0 {
			text, due = "it has its accelerators: "+places(j.Slots), "-"
		}
		text += stopped(j)
		if !j.Due.IsZero() && len(j.Slots) == 0 {
			due = j.Due.UTC().Format(time.RFC3339)
		}
		if len(j.Targets) > 0 {
			reserved = places(j.Targets)
		}
		if len(j.Slots) == 0 && j.Reason.Final() {
			a.Notes = append(a.Notes, "the job can't run unless it, the workers or the declaration change")
		}
		a.Rows = append(a.Rows, []string{id, j.Phase.String(), text, due, reserved})
		return a, nil
	}
	return a, &MissingError{"job", id}
}

func reclaim(q *Reclaim, snap Snapshot) (Answer, error) {
	a := Answer{Columns: []string{"stops", "frees", "gone by"}}
	i := slices.IndexFunc(snap.Anchors, func(anchor plan.Anchor) bool {
		return string(anchor.Team) == q.Team && anchor.Guarantee.Name == q.Guarantee
	})
	if i < 0 {
		return a, &MissingError{"guarantee", q.Team + "/" + q.Guarantee}
	}
	anchor := snap.Anchors[i]
	if anchor.Shortfall != nil {
		a.Notes = append(a.Notes, "the guarantee has a shortfall: "+anchor.Shortfall.Cause.String())
		return a, nil
	}
	for _, j := range snap.Jobs {
		if j.Anchored && string(j.Spec.Team) == q.Team && j.Spec.Guarantee == q.Guarantee {
			a.Notes = append(a.Notes, "the team's job "+string(j.Spec.ID)+" uses the guarantee")
		}
	}
	if snap.Stops == nil {
		a.Notes = append(a.Notes, "the borrowers are not known here")
		return a, nil
	}
	for _, s := range snap.Stops(anchor.Team, q.Guarantee) {
		a.Rows = append(a.Rows, []string{string(s.Job), places(s.Slots), s.By.UTC().Format(time.RFC3339)})
	}
	if len(a.Rows) == 0 && len(a.Notes) == 0 {
		a.Notes = append(a.Notes, "nothing has to stop")
	}
	return a, nil
}
