package cell

import (
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// handleGangAnswer handles the answer to a command that concerns a gang.
func (c *Cell) handleGangAnswer(now time.Time, a Answer) {
	switch call := a.ForEffect.(type) {
	case GrantTasks:
		if j, g := c.gangAtStage(now, call.Command, call.Job, call.Placement, granting, a.Code); g != nil {
			c.handleGrantTasks(now, j, g, a)
		}
	case PrepareTask:
		if j, g := c.gangAtStage(now, call.Command, call.Task.Job, call.Placement, preparing, a.Code); g != nil {
			c.handlePrepareTask(now, j, g, call, a)
		}
	case ReleaseTask:
		if j, g := c.gangAtStage(now, call.Command, call.Job, call.Placement, releasing, a.Code); g != nil {
			c.handleReleaseTask(now, j, g, call, a)
		}
	case SaveTask:
		if j, g := c.gangAtStage(now, call.Command, call.Job, call.Placement, checkpointing, a.Code); g != nil {
			delete(g.pending, call.Task)
			g.confirmed[call.Task] = g.confirmed[call.Task] || a.Code == OK
			if c.allConfirmed(j, g) {
				g.checkpointed = true
				c.stopGang(j, g)
			}
		}
	case RevokeTasks:
		if _, g := c.gangAtStage(now, call.Command, call.Job, call.Placement, stopping, a.Code); g != nil {
			delete(g.pending, "")
			if a.Code == OK || a.Code == GrantEnded {
				c.recordTasksEnded(call.Job, g)
			}
		}
	case RenewTasks:
		c.handleStaleEpoch(now, call.Command.Epoch, a.Code)
	}
}

// gangAtStage returns the gang that an answer concerns, or nil if the answer is out of date or the gang has left the
// stage of the call.
func (c *Cell) gangAtStage(now time.Time, cmd Command, id model.JobID, placement int, s stage, code Code) (*Job, *gang) {
	if c.handleStaleEpoch(now, cmd.Epoch, code) {
		return nil, nil
	}
	j, g := c.journal.plan.Jobs[id], c.gangs[id]
	if j == nil || g == nil || g.placement != placement || g.stage != s {
		return nil, nil
	}
	return j, g
}

// allConfirmed reports whether the call of the stage has succeeded for every task of the gang.
func (c *Cell) allConfirmed(j *Job, g *gang) bool {
	for i := range j.Workers {
		if !g.confirmed[TaskID(j.Spec.ID, g.placement, i)] {
			return false
		}
	}
	return true
}

func (c *Cell) handleGrantTasks(now time.Time, j *Job, g *gang, a Answer) {
	delete(g.pending, "")
	if a.Code != OK {
		return
	}
	g.grant = a.ID
	g.enterStage(preparing, now.Add(c.GrantTTL))
	c.sendStageCalls(now, j, g)
}

func (c *Cell) handlePrepareTask(now time.Time, j *Job, g *gang, call PrepareTask, a Answer) {
	delete(g.pending, call.Task.ID)
	switch {
	case a.Code == Refused || a.Code == GrantEnded:
		c.stopGangForCause(now, j, g, Unprepared, "")
	case a.Code == OK && a.Task.State == TaskPrepared && a.Task.Grant == g.grant:
		g.confirmed[call.Task.ID] = true
	case a.Code == OK:
		c.stopGangForCause(now, j, g, Unprepared, "")
	}
	if g.stage == preparing && c.allConfirmed(j, g) {
		g.enterStage(prepared, time.Time{})
		c.journal.addOwnerChanges(Change{
			Kind: JobReleased, Epoch: c.epoch, Job: j.Spec.ID, Placement: g.placement, Grant: g.grant,
			At: now.UnixMilli(),
		})
	}
}

func (c *Cell) handleReleaseTask(now time.Time, j *Job, g *gang, call ReleaseTask, a Answer) {
	delete(g.pending, call.Task)
	if a.Code != OK {
		return
	}
	if a.Task.State != TaskRunning && a.Task.State != TaskDone {
		c.stopGangForCause(now, j, g, failureCause(a.Task.State), a.Task.Worker)
		return
	}
	g.confirmed[call.Task] = true
	if c.allConfirmed(j, g) {
		g.enterStage(allRunning, time.Time{})
		g.allRunningSince = now
	}
}

// failureCause returns the cause for stopping a gang that has a task in the given state.
func failureCause(s State) Cause {
	switch s {
	case TaskFailed:
		return Failed
	case TaskLost:
		return Lost
	}
	return Expired
}

// gangStatus is the state of one gang according to a list of tasks.
type gangStatus struct {
	// notRunning counts the tasks that are prepared or paused or not in the list.
	running, done, notRunning int
	// cause and worker are those of a task that has ended without success.
	cause  Cause
	worker model.WorkerID
	// grants holds the grants of the live tasks.
	grants map[uint64]bool
}

func (c *Cell) gangStatus(j *Job, tasks map[string]Task) gangStatus {
	status := gangStatus{grants: map[uint64]bool{}}
	for i := range j.Workers {
		t := tasks[TaskID(j.Spec.ID, j.Placement, i)]
		if t.live() {
			status.grants[t.Grant] = true
		}
		switch {
		case t.State == TaskRunning:
			status.running++
		case t.State == TaskDone:
			status.done++
		case t.live() || t.ID == "":
			status.notRunning++
		case status.cause == "" || t.State == TaskFailed:
			status.cause, status.worker = failureCause(t.State), t.Worker
		}
	}
	return status
}

// checkGangs compares the gangs with a list of tasks. It renews the grants of gangs whose tasks are all running or done,
// and stops the other gangs, unless their release is still in progress.
func (c *Cell) checkGangs(now time.Time, a Answer) {
	if c.role == owner && c.strayTasks {
		c.revokeStrayGrants(a.Tasks)
	}
	tasks := make(map[string]Task, len(a.Tasks))
	for _, t := range a.Tasks {
		tasks[t.ID] = t
	}
	for _, id := range slices.Sorted(maps.Keys(c.gangs)) {
		j, g := c.journal.plan.Jobs[id], c.gangs[id]
		if j == nil || j.Placement != g.placement || g.stage < releasing || g.stage > checkpointing {
			continue
		}
		status := c.gangStatus(j, tasks)
		switch {
		case status.cause != "":
			c.stopGangForCause(now, j, g, status.cause, status.worker)
		case status.done == len(j.Workers):
			c.endFinishedJob(now, j, g)
		case status.notRunning == 0:
			if g.stage == releasing {
				g.enterStage(allRunning, time.Time{})
				g.allRunningSince = now
			}
			c.renewGrant(g, a.Sent.Add(c.renewalWindow()))
		case g.stage != releasing && a.Sent.After(g.allRunningSince):
			c.stopGangForCause(now, j, g, Expired, "")
		}
	}
}

// endFinishedJob removes a job whose tasks are all done, unless it is being stopped.
func (c *Cell) endFinishedJob(now time.Time, j *Job, g *gang) {
	if c.role != owner {
		return
	}
	if j.Phase == Stopping {
		c.stopGang(j, g)
		return
	}
	g.enterStage(ended, time.Time{})
	c.journal.addOwnerChanges(Change{
		Kind: JobEnded, Epoch: c.epoch, Job: j.Spec.ID, Placement: g.placement, Cause: Finished, At: now.UnixMilli(),
	})
}

// adoptGangs takes over the gangs of the plan as a new owner. The commands of earlier owners are fenced, so the list
// shows every task that they have created. A gang whose tasks are all running or done continues; every other placement
// is stopped, since the list doesn't show how far its former owner had got.
func (c *Cell) adoptGangs(now time.Time, a Answer) {
	c.role, c.ownerKeyKnown = owner, true
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
		status := c.gangStatus(j, tasks)
		g := &gang{placement: j.Placement, grant: j.Grant}
		g.enterStage(allRunning, time.Time{})
		c.gangs[id] = g
		for grant := range status.grants {
			g.grant = grant
		}
		intact := j.Phase == Released && status.cause == "" && status.notRunning == 0 && len(status.grants) <= 1
		switch {
		case intact && status.done == len(j.Workers):
			c.endFinishedJob(now, j, g)
		case intact:
			g.allRunningSince = now
			c.renewGrant(g, a.Sent.Add(c.renewalWindow()))
		case j.Phase == Stopping:
			c.stopGang(j, g)
		default:
			cause := status.cause
			if cause == "" {
				cause = Adopted
			}
			c.stopGangForCause(now, j, g, cause, status.worker)
		}
	}
	c.revokeStrayGrants(a.Tasks)
}

// revokeStrayGrants ends the grants of live tasks that belong to no placement of the plan.
func (c *Cell) revokeStrayGrants(tasks []Task) {
	knownGrants := map[uint64]bool{}
	for _, g := range c.gangs {
		knownGrants[g.grant] = true
	}
	c.strayTasks = false
	for _, t := range tasks {
		if t.live() && !knownGrants[t.Grant] {
			knownGrants[t.Grant], c.strayTasks = true, true
			c.emit(RevokeTasks{Command: c.currentCommand(), Grant: t.Grant})
		}
	}
}
