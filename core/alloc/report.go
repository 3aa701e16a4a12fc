package alloc

import (
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// ApplyReport takes what an agent said at now. It returns false for a worker that was replaced or given up.
func (s *Scheduler) ApplyReport(now, wall time.Time, r *batch.Report, session uint64) bool {
	for _, other := range s.sortedWorkers() {
		if other.Node != r.Worker.Node || other.ID == r.Worker.ID {
			continue
		}
		if other.Born > r.Worker.Born {
			return false
		}
		s.lose(other, wall, "replaced by "+r.Worker.ID)
	}
	w := s.worker(r.Worker.ID)
	if w.Capacity != r.Worker.Capacity || w.Readiness != r.Worker.Readiness || w.Service != r.Worker.Service || w.listed != r.Listed {
		s.changed = true
	}
	if r.Worker.Readiness == batch.WorkerDraining && w.leaves.IsZero() {
		w.leaves = now.Add(r.Worker.MinTimeLeft)
	}
	w.Worker = r.Worker
	w.listed = r.Listed
	if w.session != session {
		w.session = session
		for _, t := range w.runs {
			t.sent, t.stopSent = false, time.Time{}
		}
	}
	if r.Worker.Readiness == batch.WorkerDeparted {
		s.lose(w, wall, "left")
		return true
	}
	if r.Listed {
		w.until = now.Add(s.grace())
		w.heard = now
		s.list(now, wall, w, r)
	}
	return true
}

// list applies the worker's lists.
func (s *Scheduler) list(now, wall time.Time, w *worker, r *batch.Report) {
	for i := range r.Ended {
		if e := &r.Ended[i]; e.Number > w.processed {
			w.processed = e.Number
			s.ended(now, wall, w, e)
		}
	}
	seen := make(map[batch.RunID]bool, len(r.Running))
	for i := range r.Running {
		seen[r.Running[i].RunID] = true
		s.running(now, w, &r.Running[i])
	}
	for id, t := range w.runs {
		if t.confirmed && !seen[batch.RunID{Task: id, Run: t.Run}] {
			// The order is sent again, and its answer tells whether the run has ended.
			t.confirmed, t.sent = false, false
		}
	}
	for run, f := range w.foreign {
		if !seen[run] && !now.Before(f.until) {
			delete(w.foreign, run)
			s.changed = true
		}
	}
	for _, refusal := range r.Refused {
		s.refused(now, wall, w, refusal)
	}
}

func (s *Scheduler) running(now time.Time, w *worker, r *batch.RunStatus) {
	t := w.runs[r.Task]
	if t == nil || t.Run != r.Run {
		if _, known := w.foreign[r.RunID]; !known {
			w.foreign[r.RunID] = foreign{amount: s.taken(r.Task)}
			s.trace("foreign run", r.RunID, w.ID, "")
			s.changed = true
		}
		return
	}
	if !t.confirmed {
		t.confirmed = true
		t.began, t.moved = now, now
		if !t.job.begun {
			t.job.begun = true
			s.traceJob("job begun", t.job, "", now.Sub(t.job.seen))
		}
		if !t.Started {
			t.Started = true
			t.job.touch()
		}
	}
	if r.Percent != t.percent {
		t.percent, t.moved = r.Percent, now
	}
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
}

// taken is the amount of a task of any job; a task that isn't known may take anything.
func (s *Scheduler) taken(id batch.TaskID) batch.Amount {
	if j := s.jobs[id.Job]; j != nil && id.Step < len(j.job.Steps) {
		return j.job.Steps[id.Step].Allocation()
	}
	return batch.Amount{}
}

func (s *Scheduler) ended(now, wall time.Time, w *worker, e *batch.End) {
	s.changed = true
	t := w.runs[e.Task]
	if t == nil || t.Run != e.Run {
		delete(w.foreign, e.RunID)
		// The end may be that of a member of a gang that is done: it is acknowledged once that is stored.
		w.ends = append(w.ends, pendingEnd{number: e.Number, job: s.jobs[e.Task.Job], version: s.version(e.Task.Job)})
		s.trace("end of another run", e.RunID, w.ID, string(e.Cause))
		return
	}
	j := t.job
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	s.finish(now, wall, w, t, e.Cause)
	w.ends = append(w.ends, pendingEnd{number: e.Number, job: j, version: j.version})
}

// version is the version of a job's progress, 0 if the job isn't known.
func (s *Scheduler) version(id model.JobID) uint64 {
	if j := s.jobs[id]; j != nil {
		return j.version
	}
	return 0
}

func (s *Scheduler) refused(now, wall time.Time, w *worker, r batch.Refusal) {
	t := w.runs[r.Task]
	if t == nil || t.Run != r.Run || t.confirmed {
		return
	}
	s.trace("refused", r.RunID, w.ID, r.Reason)
	if r.Reason == batch.RefusedTicket {
		t.job.tickets[t.stepSlot()].expire(w.ID)
	}
	if r.Reason == batch.RefusedBusy || r.Reason == batch.RefusedNoCapacity || r.Reason == batch.RefusedInvalid {
		w.avoid(now, firstAvoid)
	}
	s.changed = true
	s.finish(now, wall, w, t, batch.EndNeverStarted)
}
