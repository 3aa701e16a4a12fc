package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// stage is how far a gang has got.
type stage uint8

// The stages of a gang, in the order in which it goes through them.
const (
	// granting gangs wait for their grant.
	granting stage = iota
	preparing
	// prepared gangs wait until their release is in the plan.
	prepared
	releasing
	// allRunning gangs have had all tasks running.
	allRunning
	checkpointing
	// stopping gangs wait until their grant has ended.
	stopping
	// ended gangs have no live tasks.
	ended
)

// gang is what the owner knows about the tasks of a placement. It is not stored: a new owner derives it from the list of
// tasks.
type gang struct {
	placement int
	stage     stage
	grant     uint64
	// deadline is that of the stage; stages without one have the zero time.
	deadline time.Time
	// pending holds the outstanding calls of the stage by task, confirmed the tasks whose call has succeeded. A call
	// that concerns the whole gang has the key "".
	pending   map[string]bool
	confirmed map[string]bool
	// allRunningSince is when all tasks were first seen running.
	allRunningSince time.Time
	// checkpointed says that a checkpoint of every task was taken.
	checkpointed bool
}

func (g *gang) enterStage(next stage, deadline time.Time) {
	g.stage, g.deadline = next, deadline
	g.pending, g.confirmed = map[string]bool{}, map[string]bool{}
}

// reconcileGangs creates, continues and stops gangs as a changed plan requires.
func (c *Cell) reconcileGangs(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.gangs)) {
		if j := c.journal.plan.Jobs[id]; j == nil || j.Phase == Waiting {
			if g := c.gangs[id]; g.stage < stopping && g.grant != 0 {
				// The owner has applied the placement before writing it, and another process has cancelled the job
				// in the stored plan.
				c.emit(RevokeTasks{Command: c.currentCommand(), Job: id, Placement: g.placement, Grant: g.grant})
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
			g.enterStage(granting, now.Add(c.GrantTTL))
			c.gangs[id] = g
			if j.Phase != Placed {
				// This owner knows nothing of the tasks, so it can't rely on all of them running.
				c.stopGangForCause(now, j, g, Adopted, "")
				continue
			}
		}
		switch {
		case j.Phase == Placed && g.stage == granting:
			c.sendStageCalls(now, j, g)
		case j.Phase == Released && g.stage == prepared:
			c.releaseGang(now, j, g)
		case j.Phase == Stopping && g.stage < checkpointing:
			c.stopAsPlanned(now, j, g)
		}
	}
}

// tickGangs repeats the calls that have not been confirmed, and stops gangs that have missed the deadline of their stage.
func (c *Cell) tickGangs(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.gangs)) {
		j, g := c.journal.plan.Jobs[id], c.gangs[id]
		if j == nil || j.Placement != g.placement {
			continue
		}
		switch {
		case g.stage == releasing && !now.Before(g.deadline):
			c.stopGangForCause(now, j, g, Unreleased, "")
		case g.stage <= preparing && now.After(g.deadline):
			c.stopGangForCause(now, j, g, Unprepared, "")
		case g.stage == checkpointing && now.After(g.deadline):
			c.stopGang(j, g)
		default:
			c.sendStageCalls(now, j, g)
		}
		if g.stage == preparing || g.stage == prepared {
			// No task runs under this grant yet, so it can be renewed without a list of tasks.
			c.renewGrant(g, now.Add(c.renewalWindow()))
		}
	}
}

// renewalWindow is how long after sending a ListTasks call a grant may be renewed on the strength of its answer. The
// rest of the control interval is for the transmission of the renewal, so that the list is at most one interval old when
// the renewal arrives at the worker service.
func (c *Cell) renewalWindow() time.Duration { return c.ControlInterval * 3 / 4 }

// renewGrant renews the grant of a gang, unless the call can't be sent before the deadline.
func (c *Cell) renewGrant(g *gang, deadline time.Time) {
	c.emit(RenewTasks{Command: c.currentCommand(), Grant: g.grant, Deadline: deadline})
}

// sendStageCalls sends the calls of the stage that are neither outstanding nor confirmed.
func (c *Cell) sendStageCalls(now time.Time, j *Job, g *gang) {
	id := j.Spec.ID
	sendOnce := func(key string, e Effect) {
		if !g.pending[key] && !g.confirmed[key] {
			g.pending[key] = true
			c.emit(e)
		}
	}
	switch g.stage {
	case granting:
		if c.Owns(now) {
			sendOnce("", GrantTasks{Command: c.currentCommand(), Job: id, Placement: g.placement, TTL: c.GrantTTL})
		}
	case preparing:
		for i, worker := range j.Workers {
			task := Task{
				ID: TaskID(id, g.placement, i), Job: id, Worker: worker, GPUs: j.Spec.Shape.GPUs, Grant: g.grant,
			}
			sendOnce(task.ID, PrepareTask{Command: c.currentCommand(), Placement: g.placement, Task: task})
		}
	case releasing:
		for i := range j.Workers {
			task := TaskID(id, g.placement, i)
			sendOnce(task, ReleaseTask{Command: c.currentCommand(), Job: id, Placement: g.placement, Task: task, Deadline: g.deadline})
		}
	case checkpointing:
		for i := range j.Workers {
			task := TaskID(id, g.placement, i)
			sendOnce(task, SaveTask{Command: c.currentCommand(), Job: id, Placement: g.placement, Task: task})
		}
	case stopping:
		sendOnce("", RevokeTasks{Command: c.currentCommand(), Job: id, Placement: g.placement, Grant: g.grant})
	}
}

// releaseGang lets the tasks of a gang run once its release is in the plan. It stops the gang if the ownership of the
// cell may have ended meanwhile.
func (c *Cell) releaseGang(now time.Time, j *Job, g *gang) {
	if !c.Owns(now) {
		c.stopGangForCause(now, j, g, Unreleased, "")
		return
	}
	g.enterStage(releasing, now.Add(c.ControlInterval))
	c.sendStageCalls(now, j, g)
}

// stopAsPlanned stops a gang that the plan wants stopped, after a checkpoint if the plan asks for one.
func (c *Cell) stopAsPlanned(now time.Time, j *Job, g *gang) {
	if j.WithCheckpoint && g.stage == allRunning {
		g.enterStage(checkpointing, now.Add(max(j.Spec.Grace, c.ControlInterval)))
		c.sendStageCalls(now, j, g)
		return
	}
	c.stopGang(j, g)
}

// stopGangForCause stops a gang that the plan doesn't want stopped yet, and writes the stop and its cause to the plan.
func (c *Cell) stopGangForCause(now time.Time, j *Job, g *gang, cause Cause, worker model.WorkerID) {
	if g.stage >= stopping {
		return
	}
	if c.role == owner {
		c.journal.addOwnerChanges(Change{
			Kind: JobStopRequested, Epoch: c.epoch, Job: j.Spec.ID, Placement: g.placement, Cause: cause, Worker: worker,
			At: now.UnixMilli(),
		})
	}
	c.stopGang(j, g)
}

// stopGang ends the grant of a gang, which stops its tasks. If no grant is known, no task of the placement exists.
func (c *Cell) stopGang(j *Job, g *gang) {
	g.enterStage(stopping, time.Time{})
	if g.grant == 0 {
		c.recordTasksEnded(j.Spec.ID, g)
		return
	}
	g.pending[""] = true
	c.emit(RevokeTasks{Command: c.currentCommand(), Job: j.Spec.ID, Placement: g.placement, Grant: g.grant})
}

// recordTasksEnded writes to the plan that no task of a gang is left.
func (c *Cell) recordTasksEnded(id model.JobID, g *gang) {
	g.enterStage(ended, time.Time{})
	if c.role == owner {
		c.journal.addOwnerChanges(Change{Kind: JobTasksEnded, Epoch: c.epoch, Job: id, Placement: g.placement, WithCheckpoint: g.checkpointed})
	}
}

// applyDecision queues the changes for a decision. The plan may have changed since the decision began, so actions that
// no longer fit it are skipped.
func (c *Cell) applyDecision(now time.Time, decision DecisionMade) {
	if !c.Owns(now) {
		return
	}
	if decision.Note != nil {
		c.journal.addOwnerChanges(Change{Kind: NoteReplaced, Epoch: c.epoch, Note: decision.Note, At: now.UnixMilli()})
	}
	for _, a := range decision.Actions {
		j := c.journal.plan.Jobs[a.Job]
		if j == nil || j.HandoverTo != "" {
			continue
		}
		change := Change{Epoch: c.epoch, Job: a.Job, Placement: j.Placement, At: now.UnixMilli()}
		switch {
		case a.HandoverTo != "" && j.Phase == Waiting:
			change.Kind, change.Cell = JobHandoverStarted, a.HandoverTo
		case a.HandoverTo != "":
			continue
		case a.Reject && j.Phase == Waiting:
			change.Kind, change.Cause = JobEnded, Rejected
		case a.Workers != nil && j.Phase == Waiting:
			change.Kind, change.Workers, change.Note = JobPlaced, a.Workers, a.Note
		case a.Cause == Evacuated && j.Phase != Placed:
			// The job has been released since the decision; jobs that run go on.
			continue
		case a.Workers == nil && !a.Reject && (j.Phase == Placed || j.Phase == Released):
			change.Kind, change.Cause, change.WithCheckpoint = JobStopRequested, cmp.Or(a.Cause, Preempted), a.WithCheckpoint
		default:
			continue
		}
		c.journal.addOwnerChanges(change)
	}
}
