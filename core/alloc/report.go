package alloc

import (
	"slices"
	"time"

	"wagtailhoist/core/batch"
)

// ApplyReport applies an agent's report. session is the number of the agent's connection on which it arrived; on a new
// connection, starts that are not confirmed and all stops are sent again. It returns false if a later incarnation of the
// worker has replaced the reporting one. Earlier incarnations are removed.
func (s *Scheduler) ApplyReport(now, wall time.Time, r *batch.Report, session uint64) bool {
	for _, other := range slices.Clone(s.byNode[r.Worker.Node]) {
		if other.ID == r.Worker.ID {
			continue
		}
		if other.Born > r.Worker.Born {
			return false
		}
		s.replaceWorker(now, wall, other, r)
	}
	w := s.worker(r.Worker.ID)
	s.touch(w)
	if w.Capacity != r.Worker.Capacity || w.Readiness != r.Worker.Readiness || w.Service != r.Worker.Service || w.listed != r.Listed {
		s.needsPlan = true
	}
	if r.Worker.Readiness == batch.WorkerDraining && w.leavesAt.IsZero() {
		w.leavesAt = now.Add(r.Worker.MinTimeLeft)
	}
	w.Worker = r.Worker
	w.listed, w.ended = r.Listed, w.ended && r.Worker.Readiness == batch.WorkerDeparted
	if r.ColdTime > 0 || w.delays != nil {
		w.setDelays().coldUntil = now.Add(r.ColdTime)
	}
	s.updateCentre(w)
	if w.session != session {
		w.session = session
		for _, t := range w.runs {
			t.startSent, t.stopSent = false, time.Time{}
		}
	}
	departed := r.Worker.Readiness == batch.WorkerDeparted
	w.applyAttempts(now, r, departed)
	if departed {
		s.removeWorker(now, wall, w, "left")
		return true
	}
	if r.Listed {
		// Reports of two connections may be applied out of order.
		w.leaseEnd = latest(w.leaseEnd, now.Add(s.leaseTimeout()))
		w.lastListed = latest(w.lastListed, now)
		s.applyLists(now, wall, w, r)
	}
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyLists applies the worker's lists of ended, running and refused runs.
func (s *Scheduler) applyLists(now, wall time.Time, w *worker, r *batch.Report) {
	for i := range r.Ended {
		if e := &r.Ended[i]; e.Number > w.lastAppliedEnd {
			w.lastAppliedEnd = e.Number
			s.applyEnd(now, wall, w, e)
		}
	}
	listedRuns := make(map[batch.RunID]bool, len(r.Running))
	for i := range r.Running {
		listedRuns[r.Running[i].RunID] = true
		s.applyRunning(now, w, &r.Running[i])
	}
	if !r.MoreEnds {
		s.applyMissing(now, w, listedRuns)
	}
	for _, refusal := range r.Refused {
		s.applyRefusal(now, wall, w, refusal)
	}
}

// applyMissing handles the runs that are on neither list of a worker whose list of ends is complete.
func (s *Scheduler) applyMissing(now time.Time, w *worker, listedRuns map[batch.RunID]bool) {
	for id, t := range w.runs {
		if t.confirmed && !listedRuns[batch.RunID{Task: id, Run: t.Run}] {
			// The run is missing from the list. Its start is resent, and the answer tells whether it has ended.
			t.confirmed, t.startSent = false, false
		}
	}
	for run, f := range w.foreign {
		if !listedRuns[run] && !now.Before(f.keepUntil) {
			delete(w.foreign, run)
			s.needsPlan = true
		}
	}
}

// applyRunning applies the status of a run that the worker lists as running.
func (s *Scheduler) applyRunning(now time.Time, w *worker, r *batch.RunStatus) {
	t := w.runs[r.Task]
	if t == nil || t.Run != r.Run {
		if f, known := w.foreign[r.RunID]; !known || f.late {
			w.foreign[r.RunID] = foreignRun{amount: s.allocationOf(r.Task)}
			s.trace("foreign run", r.RunID, w.ID, "")
			s.needsPlan = true
		}
		return
	}
	t.proven = t.proven || !r.Assumed
	if !t.confirmed {
		t.confirmed, t.unconfirmedSince = true, time.Time{}
		t.startedAt, t.progressedAt = now, now
		if !t.job.started {
			t.job.started = true
			s.traceJob("job begun", t.job, "", now.Sub(t.job.acceptedAt))
		}
		if !t.Started {
			t.Started = true
			t.job.markChanged()
		}
	}
	if r.Percent != t.percent {
		t.percent, t.progressedAt = r.Percent, now
	}
	if r.Checkpoint != "" && r.Checkpoint != t.Checkpoint {
		t.Checkpoint, t.checkpointedAt = r.Checkpoint, now
	}
}

// allocationOf returns the amount that a task uses. For a task of an unknown job it is not known, and zero is returned.
func (s *Scheduler) allocationOf(id batch.TaskID) batch.Amount {
	if j := s.jobs[id.Job]; j != nil && id.Step < len(j.job.Steps) {
		return j.job.Steps[id.Step].Allocation()
	}
	return batch.Amount{}
}

// applyEnd applies an end that the worker reports for the first time.
func (s *Scheduler) applyEnd(now, wall time.Time, w *worker, e *batch.End) {
	s.needsPlan = true
	t := w.runs[e.Task]
	if t == nil || t.Run != e.Run {
		delete(w.foreign, e.RunID)
		// The run may be a member of a gang that is done. Its end is acknowledged once the job's progress is stored.
		w.addPendingEnd(e.Number, s.jobs[e.Task.Job])
		s.trace("end of another run", e.RunID, w.ID, string(e.Cause))
		return
	}
	j := t.job
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	s.finishRun(now, wall, w, t, e.Cause)
	w.addPendingEnd(e.Number, j)
}

// applyRefusal applies a worker's refusal to start a run.
func (s *Scheduler) applyRefusal(now, wall time.Time, w *worker, r batch.Refusal) {
	if f, ok := w.foreign[r.RunID]; ok && f.late {
		delete(w.foreign, r.RunID)
	}
	t := w.runs[r.Task]
	if t == nil || t.Run != r.Run || t.confirmed {
		return
	}
	s.trace(KindRefused, r.RunID, w.ID, r.Reason)
	if r.Reason == batch.RefusedTicket {
		t.job.advice[t.stepKey()].discardTicket(w.ID)
	}
	if r.Reason == batch.RefusedEvacuated {
		// The agent has learned of the evacuation first. Until this owner does, the same worker would refuse again.
		w.setDelays().refusedUntil = now.Add(evacuationRefusalPause)
	}
	if r.Reason == batch.RefusedUnhealthy || r.Reason == batch.RefusedNoCapacity || r.Reason == batch.RefusedInvalid {
		w.quarantine(now, firstQuarantine)
	}
	s.needsPlan = true
	s.finishRun(now, wall, w, t, batch.EndNeverStarted)
}
