package cell

import (
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// answerGang takes the answer to a command of a gang.
func (c *Cell) answerGang(now time.Time, a Answer) {
	switch to := a.To.(type) {
	case GrantTasks:
		if j, g := c.find(now, to.Command, to.Job, to.Placement, granting, a.Code); g != nil {
			c.grantedTasks(now, j, g, a)
		}
	case PrepareTask:
		if j, g := c.find(now, to.Command, to.Task.Job, to.Placement, preparing, a.Code); g != nil {
			c.preparedTask(now, j, g, to, a)
		}
	case ReleaseTask:
		if j, g := c.find(now, to.Command, to.Job, to.Placement, releasing, a.Code); g != nil {
			c.releasedTask(now, j, g, to, a)
		}
	case SaveTask:
		if j, g := c.find(now, to.Command, to.Job, to.Placement, saving, a.Code); g != nil {
			delete(g.asked, to.Task)
			g.confirmed[to.Task] = g.confirmed[to.Task] || a.Code == OK
			if c.all(j, g) {
				g.saved = true
				c.stop(j, g)
			}
		}
	case RevokeTasks:
		if _, g := c.find(now, to.Command, to.Job, to.Placement, stopping, a.Code); g != nil {
			delete(g.asked, "")
			if a.Code == OK || a.Code == GrantEnded {
				c.stopped(to.Job, g)
			}
		}
	case RenewTasks:
		c.outdated(now, to.Command.Epoch, a.Code)
	}
}

// find returns the gang that an answer concerns, if it is still at the stage of the call.
func (c *Cell) find(now time.Time, cmd Command, id model.JobID, placement int, s stage, code Code) (*Job, *gang) {
	if c.outdated(now, cmd.Epoch, code) {
		return nil, nil
	}
	j, g := c.journal.plan.Jobs[id], c.gangs[id]
	if j == nil || g == nil || g.placement != placement || g.stage != s {
		return nil, nil
	}
	return j, g
}

func (c *Cell) all(j *Job, g *gang) bool {
	for i := range j.Workers {
		if !g.confirmed[TaskID(j.Spec.ID, g.placement, i)] {
			return false
		}
	}
	return true
}

func (c *Cell) grantedTasks(now time.Time, j *Job, g *gang, a Answer) {
	delete(g.asked, "")
	if a.Code != OK {
		return
	}
	g.grant = a.ID
	g.enter(preparing, now.Add(c.GrantTTL))
	c.advance(now, j, g)
}

func (c *Cell) preparedTask(now time.Time, j *Job, g *gang, to PrepareTask, a Answer) {
	delete(g.asked, to.Task.ID)
	switch {
	case a.Code == Refused || a.Code == GrantEnded:
		c.halt(now, j, g, Unprepared, "")
	case a.Code == OK && a.Task.State == TaskPrepared && a.Task.Grant == g.grant:
		g.confirmed[to.Task.ID] = true
	case a.Code == OK:
		c.halt(now, j, g, Unprepared, "")
	}
	if g.stage == preparing && c.all(j, g) {
		g.enter(prepared, time.Time{})
		c.journal.add(Change{
			Kind: Releasing, Epoch: c.epoch, Job: j.Spec.ID, Placement: g.placement, Grant: g.grant,
			At: now.UnixMilli(),
		})
	}
}

func (c *Cell) releasedTask(now time.Time, j *Job, g *gang, to ReleaseTask, a Answer) {
	delete(g.asked, to.Task)
	if a.Code != OK {
		return
	}
	if a.Task.State != TaskRunning && a.Task.State != TaskDone {
		c.halt(now, j, g, blame(a.Task.State), a.Task.Worker)
		return
	}
	g.confirmed[to.Task] = true
	if c.all(j, g) {
		g.enter(whole, time.Time{})
		g.since = now
	}
}

// blame returns the cause that the state of a lost member gives.
func blame(s State) Cause {
	switch s {
	case TaskFailed:
		return Failed
	case TaskLost:
		return Lost
	}
	return Expired
}

// sight is what a list of tasks shows of one gang.
type sight struct {
	running, done, open int
	// cause and worker are those of a member that has ended without success.
	cause  Cause
	worker model.WorkerID
	// grants holds the grants of live tasks, of this placement and of others.
	grants map[uint64]bool
}

func (c *Cell) sight(j *Job, tasks map[string]Task) sight {
	s := sight{grants: map[uint64]bool{}}
	for i := range j.Workers {
		t := tasks[TaskID(j.Spec.ID, j.Placement, i)]
		if t.live() {
			s.grants[t.Grant] = true
		}
		switch {
		case t.State == TaskRunning:
			s.running++
		case t.State == TaskDone:
			s.done++
		case t.live() || t.ID == "":
			s.open++
		case s.cause == "" || t.State == TaskFailed:
			s.cause, s.worker = blame(t.State), t.Worker
		}
	}
	return s
}

// observe judges the gangs by a list of the tasks, and renews the grants of those that are whole.
func (c *Cell) observe(now time.Time, a Answer) {
	if c.role == owner && c.strays {
		c.revokeStrays(a.Tasks)
	}
	tasks := make(map[string]Task, len(a.Tasks))
	for _, t := range a.Tasks {
		tasks[t.ID] = t
	}
	for _, id := range slices.Sorted(maps.Keys(c.gangs)) {
		j, g := c.journal.plan.Jobs[id], c.gangs[id]
		if j == nil || j.Placement != g.placement || g.stage < releasing || g.stage > saving {
			continue
		}
		s := c.sight(j, tasks)
		switch {
		case s.cause != "":
			c.halt(now, j, g, s.cause, s.worker)
		case s.done == len(j.Workers):
			c.finish(now, j, g)
		case s.open == 0:
			if g.stage == releasing {
				g.enter(whole, time.Time{})
				g.since = now
			}
			c.renew(g, a.Sent.Add(c.renewBy()))
		case g.stage != releasing && a.Sent.After(g.since):
			c.halt(now, j, g, Expired, "")
		}
	}
}

func (c *Cell) finish(now time.Time, j *Job, g *gang) {
	if c.role != owner {
		return
	}
	if j.Phase == Stopping {
		c.stop(j, g)
		return
	}
	g.enter(gone, time.Time{})
	c.journal.add(Change{
		Kind: Ending, Epoch: c.epoch, Job: j.Spec.ID, Placement: g.placement, Cause: Finished, At: now.UnixMilli(),
	})
}

// adopt makes the gangs of the plan those of a new owner. The commands of earlier owners are fenced, so that
// the list shows all tasks that there will be. A gang that runs as a whole goes on; every other placement is
// stopped, since nothing tells how far its former owner had come.
func (c *Cell) adopt(now time.Time, a Answer) {
	c.role, c.ownerKnown = owner, true
	clear(c.gangs)
	tasks := make(map[string]Task, len(a.Tasks))
	for _, t := range a.Tasks {
		tasks[t.ID] = t
	}
	for _, id := range slices.Sorted(maps.Keys(c.journal.plan.Jobs)) {
		j := c.journal.plan.Jobs[id]
		if j.Phase == Waiting {
			continue
		}
		s := c.sight(j, tasks)
		g := &gang{placement: j.Placement, grant: j.Grant}
		g.enter(whole, time.Time{})
		c.gangs[id] = g
		for grant := range s.grants {
			g.grant = grant
		}
		intact := j.Phase == Released && s.cause == "" && s.open == 0 && len(s.grants) <= 1
		switch {
		case intact && s.done == len(j.Workers):
			c.finish(now, j, g)
		case intact:
			g.since = now
			c.renew(g, a.Sent.Add(c.renewBy()))
		case j.Phase == Stopping:
			c.stop(j, g)
		default:
			cause := s.cause
			if cause == "" {
				cause = Adopted
			}
			c.halt(now, j, g, cause, s.worker)
		}
	}
	c.revokeStrays(a.Tasks)
}

// revokeStrays ends the grants of live tasks that belong to no placement of the plan.
func (c *Cell) revokeStrays(tasks []Task) {
	known := map[uint64]bool{}
	for _, g := range c.gangs {
		known[g.grant] = true
	}
	c.strays = false
	for _, t := range tasks {
		if t.live() && !known[t.Grant] {
			known[t.Grant], c.strays = true, true
			c.emit(RevokeTasks{Command: c.command(), Grant: t.Grant})
		}
	}
}
