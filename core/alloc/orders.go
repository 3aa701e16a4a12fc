package alloc

import (
	"time"

	"wagtailhoist/core/batch"
)

// stopAgain is the interval at which a stop that shows no effect is sent again.
const stopAgain = time.Second

// Orders returns what the agent of a worker has to be told at now, and whether there is anything.
func (s *Scheduler) Orders(now time.Time, id string) (batch.Orders, bool) {
	w := s.workers[id]
	if w == nil {
		return batch.Orders{}, false
	}
	o := batch.Orders{Worker: id}
	for _, task := range w.sortedRuns() {
		t := w.runs[task]
		run := batch.RunID{Task: task, Run: t.Run}
		switch {
		case t.stop && t.stopSent.IsZero(), t.stop && now.Sub(t.stopSent) > stopAgain:
			t.stopSent = now
			o.Stops = append(o.Stops, run)
		case !w.listed:
			// The run may be at work already: a restarted agent has no lists yet, and no lease to start it under.
		case !t.stop && !t.confirmed && !t.sent && t.job.saved >= t.placedAt:
			t.sent = true
			start := batch.StartOrder{RunID: run, Spec: t.job.job.Spec, Ticket: t.job.tickets[t.stepSlot()].text(id)}
			if t.job.job.Steps[t.Step].Checkpoints {
				start.Checkpoint = t.Checkpoint
			}
			o.Starts = append(o.Starts, start)
		}
	}
	for run := range w.foreign {
		if s.unwanted(run) && now.Sub(w.foreignStop) > stopAgain {
			o.Stops = append(o.Stops, run)
		}
	}
	if len(w.foreign) > 0 && now.Sub(w.foreignStop) > stopAgain {
		w.foreignStop = now
	}
	before := w.seen
	w.advanceSeen()
	o.AcknowledgedEnds = w.seen
	return o, len(o.Starts) > 0 || len(o.Stops) > 0 || w.seen > before
}

// unwanted reports whether a run that isn't placed has to be stopped: members of a gang that is done end by themselves.
func (s *Scheduler) unwanted(run batch.RunID) bool {
	j := s.jobs[run.Task.Job]
	if j == nil {
		return true
	}
	t := j.tasks[slot{run.Task.Occurrence, run.Task.Step, run.Task.Index}]
	return t == nil || t.Phase != batch.TaskDone || t.Run != run.Run || !j.job.Steps[t.Step].Gang
}
