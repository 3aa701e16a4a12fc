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

// Eval returns the answer to a query from the snapshot. The error is a MissingError, or says that the statement is no query.
func Eval(s *Statement, snap Snapshot) (Answer, error) {
	var a Answer
	var err error
	switch {
	case s.Show != nil:
		a = evalShow(s.Show, snap)
	case s.Why != nil:
		a, err = evalWhy(s.Why.Job, snap)
	case s.Reclaim != nil:
		a, err = evalReclaim(s.Reclaim, snap)
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

// filter selects the objects of a list; an empty field selects all.
type filter struct{ team, centre, worker string }

// matchesTeam reports whether the filter selects the team.
func (f filter) matchesTeam(team model.Team) bool { return f.team == "" || string(team) == f.team }

// matchesSlots reports whether any slot is on a worker that the filter selects.
func (f filter) matchesSlots(slots []plan.Slot, centres map[model.WorkerID]model.Centre) bool {
	if f.centre == "" && f.worker == "" {
		return true
	}
	return slices.ContainsFunc(slots, func(s plan.Slot) bool {
		return (f.worker == "" || string(s.Worker) == f.worker) && (f.centre == "" || string(centres[s.Worker]) == f.centre)
	})
}

// evalShow returns the list of a show statement.
func evalShow(q *Show, snap Snapshot) Answer {
	var f filter
	for _, given := range q.Filters {
		f.team, f.centre, f.worker = f.team+given.Team, f.centre+given.Centre, f.worker+given.Worker
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

// centreOfWorkers returns the data centre of each worker.
func centreOfWorkers(snap Snapshot) map[model.WorkerID]model.Centre {
	out := make(map[model.WorkerID]model.Centre, len(snap.Workers))
	for _, w := range snap.Workers {
		out[w.ID] = w.Centre
	}
	return out
}

// showJobs lists the jobs with allocated slots.
func showJobs(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"job", "team", "phase", "shape", "for", "on", "since"}}
	centres, waiting := centreOfWorkers(snap), 0
	for _, j := range snap.Jobs {
		if !f.matchesTeam(j.Spec.Team) {
			continue
		}
		if len(j.Slots) == 0 {
			waiting++
			continue
		}
		if f.matchesSlots(j.Slots, centres) {
			a.Rows = append(a.Rows, []string{
				string(j.Spec.ID), string(j.Spec.Team), j.Phase.String(), decl.FormatShape(j.Spec.Shape), allocationKind(j),
				formatSlots(j.Slots), formatAge(snap, j.Since),
			})
		}
	}
	if waiting > 0 && f.centre == "" && f.worker == "" {
		a.Notes = append(a.Notes, fmt.Sprintf("%d more jobs wait; see show waiting", waiting))
	}
	return a
}

// allocationKind says whether a job uses its guarantee, borrows accelerators although it has a guarantee, or uses spare
// capacity.
func allocationKind(j Job) string {
	switch {
	case j.Anchored:
		return "guarantee " + j.Spec.Guarantee
	case j.Spec.Guarantee != "":
		return "guarantee " + j.Spec.Guarantee + " (borrowing)"
	}
	return "spare"
}

// formatSlots returns the workers and numbers of accelerators of the slots.
func formatSlots(slots []plan.Slot) string {
	parts := make([]string, len(slots))
	for i, s := range slots {
		parts[i] = fmt.Sprintf("%s:%d", s.Worker, s.GPUs)
	}
	return strings.Join(parts, " ")
}

// formatAge returns the time since the given one, or a dash if that is zero.
func formatAge(snap Snapshot, since time.Time) string {
	if since.IsZero() {
		return "-"
	}
	return max(snap.Now.Sub(since), 0).Round(time.Second).String()
}

// showWaiting lists the jobs without slots, with the reasons why they wait.
func showWaiting(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"job", "team", "shape", "waits", "reason"}}
	for _, j := range snap.Jobs {
		if len(j.Slots) == 0 && f.matchesTeam(j.Spec.Team) && f.matchesSlots(j.Reserved, centreOfWorkers(snap)) {
			a.Rows = append(a.Rows, []string{
				string(j.Spec.ID), string(j.Spec.Team), decl.FormatShape(j.Spec.Shape), formatAge(snap, j.Since),
				formatReason(j.Reason) + lastStopSuffix(j),
			})
		}
	}
	return a
}

func formatReason(r plan.Reason) string {
	if r.Code == 0 {
		return "not decided yet"
	}
	return r.String()
}

// showAnchors lists the guarantees, with the slots that are held for them and the jobs that use these.
func showAnchors(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"team", "guarantee", "shape", "grace", "held on", "used by"}}
	centres := centreOfWorkers(snap)
	for _, anchor := range snap.Anchors {
		if !f.matchesTeam(anchor.Team) || !f.matchesSlots(anchor.Slots, centres) {
			continue
		}
		held := formatSlots(anchor.Slots)
		if len(anchor.Slots) == 0 {
			held = "nothing: shortfall"
		}
		a.Rows = append(a.Rows, []string{
			string(anchor.Team), anchor.Guarantee.Name, decl.FormatShape(anchor.Guarantee.Shape), anchor.Guarantee.Grace.String(), held,
			anchorUsers(anchor, snap),
		})
	}
	return a
}

// anchorUsers returns the jobs that run under the guarantee of an anchor, and others on its workers, which may be borrowing
// its accelerators.
func anchorUsers(anchor plan.Anchor, snap Snapshot) string {
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

// showShortfalls lists the guarantees for which no slots are held.
func showShortfalls(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"team", "guarantee", "cause", "since", "workers", "jobs"}}
	for _, anchor := range snap.Anchors {
		if s := anchor.Shortfall; s != nil && f.matchesTeam(anchor.Team) {
			a.Rows = append(a.Rows, []string{
				string(s.Team), s.Guarantee, s.CauseText(), formatAge(snap, s.Since), joinNames(s.Workers), joinNames(s.Jobs),
			})
		}
	}
	return a
}

// joinNames returns the names separated by spaces, or a dash if there are none.
func joinNames[T ~string](names []T) string {
	if len(names) == 0 {
		return "-"
	}
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = string(n)
	}
	return strings.Join(parts, " ")
}

// showWorkers lists the workers, with their used accelerators.
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
		case !w.QuarantinedUntil.IsZero():
			state = "aside until " + w.QuarantinedUntil.UTC().Format(time.RFC3339)
		}
		if w.Failed > 0 {
			state += fmt.Sprintf(", %d jobs failed here", w.Failed)
		}
		if snap.evacuated(w.Centre) {
			state += ", evacuated"
		}
		a.Rows = append(a.Rows, []string{
			string(w.ID), string(w.Centre), w.Rack, strconv.Itoa(w.GPUs), strconv.Itoa(used[w.ID]), state,
		})
	}
	return a
}

// showTeams lists the declared teams, with their used accelerators and waiting jobs.
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
		if !f.matchesTeam(t.Name) {
			continue
		}
		quota, guarantees := "-", []string{}
		if t.Quota > 0 {
			quota = strconv.Itoa(t.Quota)
		}
		for _, g := range t.Guarantees {
			guarantees = append(guarantees, g.Name+" "+decl.FormatShape(g.Shape))
		}
		a.Rows = append(a.Rows, []string{
			string(t.Name), strconv.Itoa(t.Weight), quota, strconv.Itoa(inUse[t.Name]), strconv.Itoa(waiting[t.Name]),
			joinNames([]string{strings.Join(guarantees, ", ")}),
		})
	}
	a.Notes = append(a.Notes, fmt.Sprintf("revision %d", snap.Revision))
	return a
}

// showMinions lists the minions as their agents announce them.
func showMinions(f filter, snap Snapshot) Answer {
	a := Answer{Columns: []string{"minion", "service", "centre", "state", "running", "slots", "revision"}}
	for _, r := range snap.Minions {
		if f.centre == "" || string(r.Centre) == f.centre {
			state := r.State.String()
			if snap.evacuated(r.Centre) {
				state += ", evacuated"
			}
			a.Rows = append(a.Rows, []string{
				string(r.ID), r.Service, string(r.Centre), state, strconv.Itoa(r.Load.Running), strconv.Itoa(r.Load.Slots),
				strconv.FormatUint(uint64(r.Revision), 10),
			})
		}
	}
	return a
}

// evalWhy returns why a job waits, and when and where it is expected to start.
func evalWhy(id string, snap Snapshot) (Answer, error) {
	a := Answer{Columns: []string{"job", "phase", "reason", "expected start", "reserved"}}
	for _, j := range snap.Jobs {
		if string(j.Spec.ID) != id {
			continue
		}
		text, expectedStart, reserved := formatReason(j.Reason), "unknown", "-"
		if len(j.Slots) > 0 {
			text, expectedStart = "it has its accelerators: "+formatSlots(j.Slots), "-"
			if centre := centreOfWorkers(snap)[j.Slots[0].Worker]; snap.evacuated(centre) {
				a.Notes = append(a.Notes, "data centre "+string(centre)+" is evacuated; the job runs there to its end")
			}
		}
		text += lastStopSuffix(j)
		if !j.ExpectedStart.IsZero() && len(j.Slots) == 0 {
			expectedStart = j.ExpectedStart.UTC().Format(time.RFC3339)
		}
		if len(j.Reserved) > 0 {
			reserved = formatSlots(j.Reserved)
		}
		if len(j.Slots) == 0 && j.Reason.Permanent() {
			a.Notes = append(a.Notes, "the job can't run unless it, the workers or the declaration change")
		}
		a.Rows = append(a.Rows, []string{id, j.Phase.String(), text, expectedStart, reserved})
		return a, nil
	}
	return a, &MissingError{"job", id}
}

// evalReclaim returns the jobs that a claim of a guarantee would stop.
func evalReclaim(q *Reclaim, snap Snapshot) (Answer, error) {
	a := Answer{Columns: []string{"stops", "frees", "gone by"}}
	i := slices.IndexFunc(snap.Anchors, func(anchor plan.Anchor) bool {
		return string(anchor.Team) == q.Team && anchor.Guarantee.Name == q.Guarantee
	})
	if i < 0 {
		return a, &MissingError{"guarantee", q.Team + "/" + q.Guarantee}
	}
	anchor := snap.Anchors[i]
	if anchor.Shortfall != nil {
		a.Notes = append(a.Notes, "the guarantee has a shortfall: "+anchor.Shortfall.CauseText())
		return a, nil
	}
	for _, j := range snap.Jobs {
		if j.Anchored && string(j.Spec.Team) == q.Team && j.Spec.Guarantee == q.Guarantee {
			a.Notes = append(a.Notes, "the team's job "+string(j.Spec.ID)+" uses the guarantee")
		}
	}
	if snap.StoppedByClaim == nil {
		a.Notes = append(a.Notes, "the jobs that a claim would stop are not known")
		return a, nil
	}
	for _, s := range snap.StoppedByClaim(anchor.Team, q.Guarantee) {
		a.Rows = append(a.Rows, []string{string(s.Job), formatSlots(s.Slots), s.By.UTC().Format(time.RFC3339)})
	}
	if len(a.Rows) == 0 && len(a.Notes) == 0 {
		a.Notes = append(a.Notes, "a claim would stop no job")
	}
	return a, nil
}
