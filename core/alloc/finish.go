package alloc

import (
	"time"

	"wagtailhoist/core/batch"
)

// finish takes the end of a task's run.
func (s *Scheduler) finish(now, wall time.Time, w *worker, t *task, cause batch.Cause) {
	j := t.job
	id := t.id(j)
	s.trace("run ended", batch.RunID{Task: id, Run: t.Run}, w.ID, string(cause))
	delete(w.runs, id)
	stopped := t.stop
	t.release()
	j.touch()
	step := &j.job.Steps[t.Step]
	switch {
	case cause == batch.EndDone && !step.LongRunning:
		w.succeeded()
		s.done(now, j, t, step)
	case cause == batch.EndFailed && !step.LongRunning:
		w.failed(now)
		s.failed(j, t, step)
	default:
		if cause == batch.EndFailed {
			w.failed(now)
		}
		t.Phase = batch.TaskWaiting
	}
	if step.Gang && cause != batch.EndDone {
		s.breakGang(j, t, stopped)
	}
	s.settle(j, wall)
}

func (s *Scheduler) done(now time.Time, j *job, t *task, step *batch.Step) {
	t.Phase = batch.TaskDone
	if !step.Gang {
		return
	}
	for _, m := range j.members(t) {
		if m.Phase == batch.TaskPlaced && m != t {
			// The other members end by themselves; until their ends are listed they take room.
			w := s.worker(m.Worker)
			delete(w.runs, m.id(j))
			f := foreign{amount: step.Allocation()}
			if !m.confirmed {
				f.until = now.Add(foreignTime)
			}
			w.foreign[batch.RunID{Task: m.id(j), Run: m.Run}] = f
			m.release()
		}
		m.Phase = batch.TaskDone
	}
}

func (s *Scheduler) failed(j *job, t *task, step *batch.Step) {
	t.Phase = batch.TaskWaiting
	if step.Gang {
		// All members share one count.
		members := j.members(t)
		if t.failedRun == t.Run {
			return
		}
		for _, m := range members {
			m.Failures++
			m.failedRun = t.Run
		}
	} else {
		t.Failures++
	}
	if q := s.policy.QueueFor(&j.job); t.Failures >= max(1, q.Attempts) {
		t.Phase = batch.TaskFailed
		j.broken = true
		s.stopAll(j, "out of attempts")
	}
}

// breakGang stops the members of a gang of which one has ended.
func (s *Scheduler) breakGang(j *job, t *task, wanted bool) {
	for _, m := range j.members(t) {
		if t.Checkpoint != "" {
			m.Checkpoint = t.Checkpoint
		}
		if m.Phase == batch.TaskPlaced && !m.stop {
			m.stop = true
			if !wanted {
				s.trace("stop", batch.RunID{Task: m.id(j), Run: m.Run}, m.Worker, "a member of the gang has ended")
			}
		}
	}
}

// stopAll stops all runs of a job.
func (s *Scheduler) stopAll(j *job, reason string) {
	for _, t := range j.tasks {
		if t.Phase == batch.TaskPlaced && !t.stop {
			t.stop = true
			s.trace("stop", batch.RunID{Task: t.id(j), Run: t.Run}, t.Worker, reason)
		}
	}
}

// settle records the outcome of a job whose tasks have all ended.
func (s *Scheduler) settle(j *job, wall time.Time) {
	if j.outcome != "" {
		return
	}
	switch {
	case j.broken:
		j.outcome = batch.JobFailed
	case j.cancelled:
		if j.placed() {
			return
		}
		j.outcome = batch.JobCancelled
	case j.complete():
		j.outcome = batch.JobCompleted
	default:
		return
	}
	j.endedAt = wall.UnixMilli()
	s.traceJob("job ended", j, string(j.outcome), wall.Sub(time.UnixMilli(j.job.Accepted)))
	j.touch()
}

// lose ends all runs of a worker that can't be running any more.
func (s *Scheduler) lose(w *worker, wall time.Time, reason string) {
	delete(s.workers, w.ID)
	s.changed = true
	for _, id := range w.sortedRuns() {
		if t := w.runs[id]; t != nil {
			s.trace("lost", batch.RunID{Task: id, Run: t.Run}, w.ID, reason)
			s.finish(time.Time{}, wall, w, t, batch.EndWorkerLost)
		}
	}
}

// ExpireLeases gives up the workers whose leases have run out.
func (s *Scheduler) ExpireLeases(now, wall time.Time) {
	for _, w := range s.sortedWorkers() {
		if now.After(w.until) {
			s.lose(w, wall, "lease ran out")
		}
	}
}
