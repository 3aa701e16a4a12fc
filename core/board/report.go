package board

import (
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// Report takes what an agent said at now. It returns false for a worker that was replaced or given up.
func (b *Board) Report(now, wall time.Time, r *batch.Report, session uint64) bool {
	for _, other := range b.sortedWorkers() {
		if other.Node != r.Worker.Node || other.ID == r.Worker.ID {
			continue
		}
		if other.Born > r.Worker.Born {
			return false
		}
		b.lose(other, wall, "replaced by "+r.Worker.ID)
	}
	w := b.worker(r.Worker.ID)
	if w.Capacity != r.Worker.Capacity || w.Readiness != r.Worker.Readiness || w.Service != r.Worker.Service || w.listed != r.Listed {
		b.changed = true
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
		b.lose(w, wall, "left")
		return true
	}
	if r.Listed {
		w.until = now.Add(b.grace())
		w.heard = now
		b.list(now, wall, w, r)
	}
	return true
}

// list applies the worker's lists.
func (b *Board) list(now, wall time.Time, w *worker, r *batch.Report) {
	for i := range r.Ended {
		if e := &r.Ended[i]; e.Number > w.processed {
			w.processed = e.Number
			b.ended(now, wall, w, e)
		}
	}
	seen := make(map[batch.RunID]bool, len(r.Running))
	for i := range r.Running {
		seen[r.Running[i].RunID] = true
		b.running(now, w, &r.Running[i])
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
			b.changed = true
		}
	}
	for _, refusal := range r.Refused {
		b.refused(now, wall, w, refusal)
	}
}

func (b *Board) running(now time.Time, w *worker, r *batch.RunStatus) {
	t := w.runs[r.Task]
	if t == nil || t.Run != r.Run {
		if _, known := w.foreign[r.RunID]; !known {
			w.foreign[r.RunID] = foreign{amount: b.taken(r.Task)}
			b.trace("foreign run", r.RunID, w.ID, "")
			b.changed = true
		}
		return
	}
	if !t.confirmed {
		t.confirmed = true
		t.began, t.moved = now, now
		if !t.job.begun {
			t.job.begun = true
			b.traceJob("job begun", t.job, "", now.Sub(t.job.seen))
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
func (b *Board) taken(id batch.TaskID) batch.Amount {
	if j := b.jobs[id.Job]; j != nil && id.Step < len(j.job.Steps) {
		return j.job.Steps[id.Step].Allocation()
	}
	return batch.Amount{}
}

func (b *Board) ended(now, wall time.Time, w *worker, e *batch.End) {
	b.changed = true
	t := w.runs[e.Task]
	if t == nil || t.Run != e.Run {
		delete(w.foreign, e.RunID)
		// The end may be that of a member of a gang that is done: it is acknowledged once that is stored.
		w.ends = append(w.ends, pendingEnd{number: e.Number, job: b.jobs[e.Task.Job], version: b.version(e.Task.Job)})
		b.trace("end of another run", e.RunID, w.ID, string(e.Cause))
		return
	}
	j := t.job
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	b.finish(now, wall, w, t, e.Cause)
	w.ends = append(w.ends, pendingEnd{number: e.Number, job: j, version: j.version})
}

// version is the version of a job's progress, 0 if the job isn't known.
func (b *Board) version(id model.JobID) uint64 {
	if j := b.jobs[id]; j != nil {
		return j.version
	}
	return 0
}

func (b *Board) refused(now, wall time.Time, w *worker, r batch.Refusal) {
	t := w.runs[r.Task]
	if t == nil || t.Run != r.Run || t.confirmed {
		return
	}
	b.trace("refused", r.RunID, w.ID, r.Reason)
	if r.Reason == batch.RefusedTicket {
		t.job.tickets[t.stepSlot()].expire(w.ID)
	}
	if r.Reason == batch.RefusedBusy || r.Reason == batch.RefusedNoCapacity || r.Reason == batch.RefusedInvalid {
		w.avoid(now, firstAvoid)
	}
	b.changed = true
	b.finish(now, wall, w, t, batch.EndNeverStarted)
}
