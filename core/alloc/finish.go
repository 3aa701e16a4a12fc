package alloc

import (
	"slices"
	"time"

	"wagtailhoist/core/batch"
)

// finishRun records the end of a task's run on a worker and decides whether the task is done, waits again or has failed.
func (s *Scheduler) finishRun(now, wall time.Time, w *worker, t *task, cause batch.Cause) {
	j := t.job
	id := t.id(j)
	s.trace("run ended", batch.RunID{Task: id, Run: t.Run}, w.ID, string(cause))
	delete(w.runs, id)
	stopOrdered, begun := t.mustStop, t.startedAt
	s.learnRun(now, w, t, cause)
	s.chargeEnded(now, t)
	w.keepLateStart(t)
	t.resetRun()
	j.markChanged()
	step := &j.job.Steps[t.Step]
	switch {
	case cause == batch.EndDone && !step.LongRunning:
		w.resetFailures()
		s.markTaskDone(now, j, t, step)
	case cause == batch.EndFailed && !step.LongRunning:
		w.recordFailure(now)
		s.recordFailure(j, t, step)
	case cause == batch.EndFailed && !begun.IsZero() && now.Sub(begun) >= soundRunTime:
		w.resetFailures()
		t.Phase = batch.TaskWaiting
	default:
		if cause == batch.EndFailed {
			w.recordFailure(now)
		}
		t.Phase = batch.TaskWaiting
	}
	if step.Gang && cause != batch.EndDone {
		s.stopGang(j, t, stopOrdered)
	}
	s.recordOutcome(j, wall)
}

// markTaskDone marks a task as done, and with it all members of its gang.
func (s *Scheduler) markTaskDone(now time.Time, j *job, t *task, step *batch.Step) {
	t.Phase, t.Checkpoint = batch.TaskDone, ""
	if !step.Gang {
		return
	}
	for _, m := range j.gangMembers(t) {
		if m.Phase == batch.TaskPlaced && m != t {
			// The other members end without an order; until their ends are listed they use resources.
			w := s.worker(m.Worker)
			delete(w.runs, m.id(j))
			f := foreignRun{amount: step.Allocation()}
			if !m.confirmed {
				f.keepUntil = now.Add(unlistedRunTime)
			}
			w.foreign[batch.RunID{Task: m.id(j), Run: m.Run}] = f
			s.chargeEnded(now, m)
			w.keepLateStart(m)
			m.resetRun()
		}
		m.Phase, m.Checkpoint = batch.TaskDone, ""
	}
}

// recordFailure counts a failure of a task, once per run for all members of a gang. At the limit of its queue the task and
// its job have failed.
func (s *Scheduler) recordFailure(j *job, t *task, step *batch.Step) {
	t.Phase = batch.TaskWaiting
	if step.Gang {
		gangMembers := j.gangMembers(t)
		if t.lastFailedRun == t.Run {
			return
		}
		for _, m := range gangMembers {
			m.Failures++
			m.lastFailedRun = t.Run
		}
	} else {
		t.Failures++
	}
	if q := s.policy.QueueFor(&j.job); t.Failures >= max(1, q.MaxAttempts) {
		t.Phase = batch.TaskFailed
		j.failed = true
		s.stopJob(j, "a task of the job has failed too often")
	}
}

// stopGang stops the remaining members of a gang after the run of t has ended, and copies its checkpoint to them. The stops
// are traced unless the run of t had been ordered to stop.
func (s *Scheduler) stopGang(j *job, t *task, stopOrdered bool) {
	for _, m := range j.gangMembers(t) {
		if t.Checkpoint != "" {
			m.Checkpoint = t.Checkpoint
		}
		if m.Phase == batch.TaskPlaced && !m.mustStop {
			s.orderStop(m)
			if !stopOrdered {
				s.traceStop(m, "a member of the gang has ended")
			}
		}
	}
}

// stopJob stops all runs of a job.
func (s *Scheduler) stopJob(j *job, reason string) {
	for _, t := range j.tasks {
		if t.Phase == batch.TaskPlaced && !t.mustStop {
			s.orderStop(t)
			s.traceStop(t, reason)
		}
	}
}

// recordOutcome records the outcome of a job that has failed or is complete, or that is cancelled and has no more runs.
func (s *Scheduler) recordOutcome(j *job, wall time.Time) {
	if j.outcome != "" {
		return
	}
	switch {
	case j.failed:
		j.outcome = batch.JobFailed
	case j.cancelled:
		if j.hasPlacedTasks() {
			return
		}
		j.outcome = batch.JobCancelled
	case j.allTasksDone():
		j.outcome = batch.JobCompleted
	default:
		return
	}
	delete(s.active, j.job.ID)
	j.endedAt = wall.UnixMilli()
	s.traceJob("job ended", j, string(j.outcome), wall.Sub(time.UnixMilli(j.job.Accepted)))
	j.markChanged()
}

// ExpireLeases removes the workers whose leases have expired.
func (s *Scheduler) ExpireLeases(now, wall time.Time) {
	for _, w := range slices.Clone(s.sorted) {
		if now.After(w.leaseEnd) {
			s.removeWorker(now, wall, w, "lease expired")
		}
	}
}
