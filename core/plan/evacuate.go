package plan

import (
	"slices"
	"strings"
	"time"

	"wagtailhoist/core/model"
)

// evacuatedSet returns the evacuated data centres. An empty name is none.
func (s *State) evacuatedSet() map[model.Centre]bool {
	out := make(map[model.Centre]bool, len(s.Evacuated))
	for _, centre := range s.Evacuated {
		out[centre] = centre != ""
	}
	return out
}

// usableUnlessEvacuated reports whether a node could be given work if its data centre were not evacuated.
func (v *view) usableUnlessEvacuated(i int) bool {
	return v.nodes[i].usable || v.nodes[i].evacuated && v.state.Workers[v.nodes[i].id].Usable(v.now)
}

// anchorEvacuated reports whether an anchor lies in an evacuated data centre.
func (x *index) anchorEvacuated(a *Anchor) bool {
	return slices.ContainsFunc(a.Slots, func(sl Slot) bool {
		i, ok := x.byID[sl.Worker]
		return ok && x.nodes[i].evacuated
	})
}

// resumeAnchor places the anchor of a guarantee, which was lost to an evacuation, where jobs under the guarantee have gone on,
// and anchors these jobs again. Otherwise they would remain borrowers, and a claim could stop them once the data centre has
// been returned to service. It reports whether it placed the anchor.
func (s *State) resumeAnchor(now time.Time, v *view, i int) bool {
	a := &s.Anchors[i]
	if a.evacuatedCentre() == "" || slices.Contains(s.Evacuated, a.Shortfall.Centre) {
		return false
	}
	minTasks := make([]map[int]int, len(s.Anchors))
	jobs := s.borrowersUnder(a)
	if minTasks[i] = v.tasksOf(a, jobs); len(minTasks[i]) == 0 {
		return false
	}
	for _, j := range jobs {
		s.replaceJob(now, j, func(c *Job) { c.Anchored = true })
	}
	if found := v.solveAnchors([]int{i}, minTasks); found != nil {
		s.setAnchorSlots(found)
		return true
	}
	s.detachJobs(now, a)
	return false
}

// borrowersUnder returns the jobs that claim a guarantee and run as borrowers, in order of submission.
func (s *State) borrowersUnder(a *Anchor) []*Job {
	var out []*Job
	for _, j := range s.Jobs {
		if j.Spec.Team == a.Team && j.Spec.Guarantee == a.Guarantee.Name && j.placed() && j.Phase != Stopping && !j.Anchored && !j.Cancelled {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, bySequence)
	return out
}

// tasksOf returns how many tasks of a guarantee the jobs use, by node, or nil if the guarantee doesn't cover them.
func (x *index) tasksOf(a *Anchor, jobs []*Job) map[int]int {
	used := map[int]Amount{}
	for _, j := range jobs {
		for _, sl := range j.Slots {
			if i, ok := x.byID[sl.Worker]; ok {
				used[i] = used[i].Plus(PerTask(j.Spec.Shape).Times(sl.Tasks))
			}
		}
	}
	out, total := map[int]int{}, 0
	for i, amount := range used {
		for !amount.FitsIn(PerTask(a.Guarantee.Shape).Times(out[i])) {
			out[i]++
			if total++; total > a.Guarantee.Shape.Tasks {
				return nil
			}
		}
	}
	return out
}

// stopEvacuatedStarts stops the jobs in evacuated data centres of which no task runs yet, so that they are placed
// elsewhere. Jobs that run there go on.
func (p *planner) stopEvacuatedStarts() {
	for i := range p.nodes {
		n := &p.nodes[i]
		if !n.evacuated {
			continue
		}
		for _, u := range n.allocations {
			if u.job.Phase != Starting || p.beingStopped(u.job) {
				continue
			}
			p.stopping[u.job.Spec.ID] = true
			p.d.Actions = append(p.d.Actions, Action{
				Verb: Stop, Job: u.job.Spec.ID, Run: u.job.Run, Deadline: p.now.Add(ReactionTime), // nothing has to be saved
				Reason: Reason{Code: StartEvacuated, Evacuated: string(p.state.Workers[n.id].Worker.Centre)},
			})
		}
	}
}

// evacuatedRoom returns the names of the evacuated data centres in which a job of the shape would find room now, or, if
// the other workers couldn't hold it even when empty, in which it could run at all. It returns an empty string for a job
// that doesn't wait for an evacuated data centre.
func (p *planner) evacuatedRoom(shape model.Shape) string {
	if len(p.state.Evacuated) == 0 {
		return ""
	}
	if names, known := p.evacuatedRooms[shape]; known {
		return names
	}
	q := search{v: p.view, shape: shape, perTask: PerTask(shape)}
	q.room = func(i int) Amount {
		if !p.nodes[i].usable {
			return Amount{}
		}
		return p.nodes[i].capacity
	}
	fitsElsewhere := q.maxTasksInBlock() >= shape.Tasks
	q.room = func(i int) Amount {
		switch {
		case !p.usableUnlessEvacuated(i):
			return Amount{}
		case fitsElsewhere:
			return p.nodes[i].free()
		}
		return p.nodes[i].capacity
	}
	var names []string
	for _, centre := range p.centres {
		if !p.nodes[centre.lo].evacuated {
			continue
		}
		q.centre = model.Centre(centre.name)
		if q.maxTasksInBlock() >= shape.Tasks {
			names = append(names, centre.name)
		}
	}
	slices.Sort(names)
	p.evacuatedRooms[shape] = strings.Join(names, ", ")
	return p.evacuatedRooms[shape]
}

// evacuatedCentre returns the evacuated data centre that causes the shortfall of the guarantee, or an empty string.
func (a *Anchor) evacuatedCentre() string {
	if a.Shortfall == nil {
		return ""
	}
	return string(a.Shortfall.Centre)
}
