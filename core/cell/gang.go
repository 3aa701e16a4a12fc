package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

type stage uint8

// Stages of a gang, in their order.
const (
	granting stage = iota
	preparing
	prepared
	releasing
	whole
	saving
	stopping
	gone
)

// gang is the running side of a placement; it is not durable.
type gang struct {
	placement int
	stage     stage
	grant     uint64
	// by is the deadline of the stage.
	by time.Time
	// asked holds the calls that are outstanding, confirmed the tasks that have reached the stage's goal.
	asked     map[string]bool
	confirmed map[string]bool
	// since is when the gang became whole.
	since time.Time
	// saved says that every task has been checkpointed.
	saved bool
}

func (g *gang) enter(s stage, by time.Time) {
	g.stage, g.by = s, by
	g.asked, g.confirmed = map[string]bool{}, map[string]bool{}
}

// reconcile brings the gangs in line with a changed plan.
func (c *Cell) reconcile(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.gangs)) {
		if j := c.journal.plan.Jobs[id]; j == nil || j.Phase == Waiting {
			if g := c.gangs[id]; g.stage < stopping && g.grant != 0 {
				// The job was cancelled by another process before the owner's unwritten changes.
				c.emit(RevokeTasks{Command: c.command(), Job: id, Placement: g.placement, Grant: g.grant})
			}
			delete(c.gangs, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.journal.plan.Jobs)) {
		j, g := c.journal.plan.Jobs[id], c.gangs[id]
		if j.Phase == Waiting {
			continue
		}
		if g == nil || g.placement != j.Placement {
			g = &gang{placement: j.Placement, grant: j.Grant}
			g.enter(granting, now.Add(c.GrantTTL))
			c.gangs[id] = g
			if j.Phase != Placed {
				// A gang that this owner knows nothing of can't be whole for certain.
				c.halt(now, j, g, Adopted, "")
				continue
			}
		}
		switch {
		case j.Phase == Placed && g.stage == granting:
			c.advance(now, j, g)
		case j.Phase == Released && g.stage == prepared:
			c.release(now, j, g)
		case j.Phase == Stopping && g.stage < saving:
			c.leave(now, j, g)
		}
	}
}

// tickGangs repeats what has not been confirmed and enforces the deadlines.
func (c *Cell) tickGangs(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.gangs)) {
		j, g := c.journal.plan.Jobs[id], c.gangs[id]
		if j == nil || j.Placement != g.placement {
			continue
		}
		switch {
		case g.stage == releasing && !now.Before(g.by):
			c.halt(now, j, g, Unreleased, "")
		case g.stage <= preparing && now.After(g.by):
			c.halt(now, j, g, Unprepared, "")
		case g.stage == saving && now.After(g.by):
			c.stop(j, g)
		default:
			c.advance(now, j, g)
		}
		if g.stage == preparing || g.stage == prepared {
			// Nothing runs under this grant yet.
			c.renew(g, now.Add(c.renewBy()))
		}
	}
}

// renewBy is how long after the list that shows a gang whole its grant may be renewed. The rest of the control
// interval is left for the way to the service, so that the bound of one interval holds there.
func (c *Cell) renewBy() time.Duration { return c.Interval * 3 / 4 }

func (c *Cell) renew(g *gang, by time.Time) {
	c.emit(RenewTasks{Command: c.command(), Grant: g.grant, By: by})
}

// advance sends the calls of the stage that are neither outstanding nor confirmed.
func (c *Cell) advance(now time.Time, j *Job, g *gang) {
	id := j.Spec.ID
	once := func(name string, e Effect) {
		if !g.asked[name] && !g.confirmed[name] {
			g.asked[name] = true
			c.emit(e)
		}
	}
	switch g.stage {
	case granting:
		if c.Owns(now) {
			once("", GrantTasks{Command: c.command(), Job: id, Placement: g.placement, TTL: c.GrantTTL})
		}
	case preparing:
		for i, worker := range j.Workers {
			task := Task{
				ID: TaskID(id, g.placement, i), Job: id, Worker: worker, GPUs: j.Spec.Shape.GPUs, Grant: g.grant,
			}
			once(task.ID, PrepareTask{Command: c.command(), Placement: g.placement, Task: task})
		}
	case releasing:
		for i := range j.Workers {
			task := TaskID(id, g.placement, i)
			once(task, ReleaseTask{Command: c.command(), Job: id, Placement: g.placement, Task: task, By: g.by})
		}
	case saving:
		for i := range j.Workers {
			task := TaskID(id, g.placement, i)
			once(task, SaveTask{Command: c.command(), Job: id, Placement: g.placement, Task: task})
		}
	case stopping:
		once("", RevokeTasks{Command: c.command(), Job: id, Placement: g.placement, Grant: g.grant})
	}
}

// release lets a gang run whose release is in the plan.
func (c *Cell) release(now time.Time, j *Job, g *gang) {
	if !c.Owns(now) {
		c.halt(now, j, g, Unreleased, "")
		return
	}
	g.enter(releasing, now.Add(c.Interval))
	c.advance(now, j, g)
}

// leave stops a gang as the plan says.
func (c *Cell) leave(now time.Time, j *Job, g *gang) {
	if j.Save && g.stage == whole {
		g.enter(saving, now.Add(max(j.Spec.Grace, c.Interval)))
		c.advance(now, j, g)
		return
	}
	c.stop(j, g)
}

// halt stops a gang and says so in the plan.
func (c *Cell) halt(now time.Time, j *Job, g *gang, cause Cause, worker model.WorkerID) {
	if g.stage >= stopping {
		return
	}
	if c.role == owner {
		c.journal.add(Change{
			Kind: Halting, Epoch: c.epoch, Job: j.Spec.ID, Placement: g.placement, Cause: cause, Worker: worker,
			At: now.UnixMilli(),
		})
	}
	c.stop(j, g)
}

// stop ends the grant of a gang. Without a known grant no task of the placement exists.
func (c *Cell) stop(j *Job, g *gang) {
	g.enter(stopping, time.Time{})
	if g.grant == 0 {
		c.stopped(j.Spec.ID, g)
		return
	}
	g.asked[""] = true
	c.emit(RevokeTasks{Command: c.command(), Job: j.Spec.ID, Placement: g.placement, Grant: g.grant})
}

// stopped notes that no task of a gang is left.
func (c *Cell) stopped(id model.JobID, g *gang) {
	g.enter(gone, time.Time{})
	if c.role == owner {
		c.journal.add(Change{Kind: Gone, Epoch: c.epoch, Job: id, Placement: g.placement, Save: g.saved})
	}
}

// decided takes the actions that still fit the plan.
func (c *Cell) decided(now time.Time, d Decided) {
	if !c.Owns(now) {
		return
	}
	if d.Note != nil {
		c.journal.add(Change{Kind: Noting, Epoch: c.epoch, Note: d.Note, At: now.UnixMilli()})
	}
	for _, a := range d.Actions {
		j := c.journal.plan.Jobs[a.Job]
		if j == nil || j.To != "" {
			continue
		}
		ch := Change{Epoch: c.epoch, Job: a.Job, Placement: j.Placement, At: now.UnixMilli()}
		switch {
		case a.To != "" && j.Phase == Waiting:
			ch.Kind, ch.Cell = Handing, a.To
		case a.To != "":
			continue
		case a.Reject && j.Phase == Waiting:
			ch.Kind, ch.Cause = Ending, Rejected
		case a.Workers != nil && j.Phase == Waiting:
			ch.Kind, ch.Workers, ch.Note = Placing, a.Workers, a.Note
		case a.Workers == nil && !a.Reject && (j.Phase == Placed || j.Phase == Released):
			ch.Kind, ch.Cause, ch.Save = Halting, cmp.Or(a.Cause, Preempted), a.Save
		default:
			continue
		}
		c.journal.add(ch)
	}
}
