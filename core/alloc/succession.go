package alloc

import (
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/calls"
)

// orderStart notes that the start of the run is sent to an agent.
func (t *task) orderStart(now time.Time) {
	if t.doubt == nil {
		t.doubt = &calls.Doubt{OrderedAt: now}
	}
	t.doubt.Order(now)
}

// mayStartLate reports whether an attempt at the start of the run may still be carried out.
func (t *task) mayStartLate(now time.Time) bool { return t.doubt != nil && now.Before(t.doubt.Until()) }

// applyAttempts applies what an agent reports about its attempts at the starts of the worker's runs. ended means that the worker has
// ended, after which the agent makes no more attempts under its incarnation.
func (w *worker) applyAttempts(now time.Time, r *batch.Report, ended bool) {
	for run, until := range w.lateStarts {
		if !now.Before(until) {
			delete(w.lateStarts, run)
		}
	}
	if len(w.runs) == 0 {
		return
	}
	unanswered := make(map[batch.RunID]time.Duration, len(r.Unanswered))
	for _, u := range r.Unanswered {
		unanswered[u.RunID] = u.Age
	}
	listed := make(map[batch.RunID]bool, len(r.Running)+len(r.Ended))
	for i := range r.Running {
		listed[r.Running[i].RunID] = true
	}
	for i := range r.Ended {
		listed[r.Ended[i].RunID] = true
	}
	for id, t := range w.runs {
		if t.doubt == nil {
			continue
		}
		run := batch.RunID{Task: id, Run: t.Run}
		age, found := unanswered[run]
		t.doubt.Apply(now, calls.Report{
			Recorded: r.Recorded, Unanswered: found, Age: age, Finished: ended || t.confirmed || listed[run],
		})
	}
}

// keepLateStart keeps a run that ends as long as its start may still be carried out.
func (w *worker) keepLateStart(t *task) {
	if t.doubt == nil || t.doubt.Until().IsZero() {
		return
	}
	if w.lateStarts == nil {
		w.lateStarts = map[batch.RunID]time.Time{}
	}
	w.lateStarts[batch.RunID{Task: t.id(t.job), Run: t.Run}] = t.doubt.Until()
}

// inheritLateStarts orders a successor to stop the ended runs of a worker whose starts it may still carry out.
func (w *worker) inheritLateStarts(now time.Time, old *worker) {
	for run, until := range old.lateStarts {
		if !now.Before(until) {
			continue
		}
		if w.lateStarts == nil {
			w.lateStarts = map[batch.RunID]time.Time{}
		}
		w.lateStarts[run] = until
		w.foreign[run] = foreignRun{keepUntil: until, late: true}
	}
}

// replaceWorker removes a worker that the reporting incarnation has replaced. If both have the same name, the successor carries out calls
// that were meant for the worker: runs that it may have are moved to it and stopped there. They end once it has confirmed the stop.
func (s *Scheduler) replaceWorker(now, wall time.Time, w *worker, r *batch.Report) {
	successorID := r.Worker.ID
	if sameName(w.ID, successorID) {
		w.applyAttempts(now, r, true)
		for _, id := range w.sortedRuns() {
			t := w.runs[id]
			recorded := t.job.storedGeneration >= t.placedGeneration
			if recorded && !t.proven || t.mayStartLate(now) {
				s.moveToSuccessor(now, w, t, successorID)
			}
		}
		s.worker(successorID).inheritLateStarts(now, w)
	} else {
		w.lateStarts = nil
		for _, t := range w.runs {
			// Another name isn't answered there any more.
			t.doubt = nil
		}
	}
	s.removeWorker(now, wall, w, "replaced by "+successorID)
	if s.workers[w.ID] == w {
		s.deleteWorker(w)
	}
}

func sameName(id, other string) bool {
	_, name, _ := batch.ParseWorkerID(id)
	_, otherName, _ := batch.ParseWorkerID(other)
	return name == otherName
}

// moveToSuccessor moves a run to the successor of its worker and orders its stop there.
func (s *Scheduler) moveToSuccessor(now time.Time, w *worker, t *task, successorID string) {
	successor, id, doubt := s.worker(successorID), t.id(t.job), t.doubt
	successor.leaseEnd = latest(successor.leaseEnd, now.Add(s.leaseTimeout()))
	delete(w.runs, id)
	successor.runs[id] = t
	t.resetRun()
	t.Worker, t.doubt, t.mustStop, t.partial, t.sent = successorID, doubt, true, true, true
	t.job.markChanged()
	s.touch(successor)
	s.trace("stop", batch.RunID{Task: id, Run: t.Run}, successorID, "it may have reached this worker instead of "+w.ID)
}

// removeWorker removes a worker that has ended, and records its runs as lost. Runs whose start may still be carried out by a successor of
// the same name stay placed on it, until a successor has reported or none of the attempts at the start can be carried out any more.
func (s *Scheduler) removeWorker(now, wall time.Time, w *worker, reason string) {
	s.needsPlan = true
	var keptUntil time.Time
	for _, id := range w.sortedRuns() {
		t := w.runs[id]
		switch {
		case t == nil:
			// It has ended with another member of its gang.
		case t.mayStartLate(now):
			keptUntil = latest(keptUntil, t.doubt.Until())
			if !w.ended {
				s.trace("kept", batch.RunID{Task: id, Run: t.Run}, w.ID, reason+"; its start may still be carried out")
			}
		default:
			s.trace("lost", batch.RunID{Task: id, Run: t.Run}, w.ID, reason)
			// finishRun uses now only for runs that ended by themselves, and for usage since the last plan, so that none is passed.
			s.finishRun(time.Time{}, wall, w, t, batch.EndWorkerLost)
		}
	}
	for _, until := range w.lateStarts {
		if now.Before(until) {
			keptUntil = latest(keptUntil, until)
		}
	}
	if keptUntil.IsZero() {
		s.deleteWorker(w)
		return
	}
	w.ended, w.listed, w.leaseEnd = true, false, keptUntil
}
