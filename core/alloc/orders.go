package alloc

import (
	"slices"
	"time"

	"wagtailhoist/core/batch"
)

// stopResendInterval is the interval at which a stop order is resent until the run's end is reported.
const stopResendInterval = time.Second

// Orders returns the orders for the agent of a worker, and whether they contain any start, stop or new acknowledgement.
// Starts are added until they have about maxBytes in all, but at least one unless maxBytes is 0. The worker stays touched
// while starts are left over.
func (s *Scheduler) Orders(now time.Time, workerID string, maxBytes int) (batch.Orders, bool) {
	w := s.workers[workerID]
	if w == nil {
		return batch.Orders{}, false
	}
	o := batch.Orders{Worker: workerID}
	var starts []*task
	for taskID, t := range w.runs {
		switch {
		case t.mustStop && t.stopSent.IsZero(), t.mustStop && now.Sub(t.stopSent) > stopResendInterval:
			t.stopSent = now
			o.Stops = append(o.Stops, batch.RunID{Task: taskID, Run: t.Run})
		case !w.listed:
			// The run may already exist. A restarted agent gets no lease before it reports lists, and would refuse the start.
		case w.evacuated:
			// EnforceEvacuation withdraws the placement.
		case !t.mustStop && !t.confirmed && !t.startSent && t.job.storedGeneration >= t.placedGeneration:
			starts = append(starts, t)
		}
	}
	slices.SortFunc(starts, func(a, b *task) int { return a.id(a.job).Compare(b.id(b.job)) })
	for size := 0; len(starts) > 0 && size < maxBytes; starts = starts[1:] {
		starts[0].startSent, starts[0].sent = true, true
		starts[0].orderStart(now)
		start := startOrder(starts[0], workerID)
		size += start.Size()
		o.Starts = append(o.Starts, start)
	}
	if len(starts) > 0 {
		s.touch(w)
	}
	for run, f := range w.foreign {
		if (f.late || s.mustStopForeign(run)) && now.Sub(w.foreignStopSent) > stopResendInterval {
			o.Stops = append(o.Stops, run)
		}
	}
	if len(w.foreign) > 0 && now.Sub(w.foreignStopSent) > stopResendInterval {
		w.foreignStopSent = now
	}
	slices.SortFunc(o.Stops, func(a, b batch.RunID) int { return a.Task.Compare(b.Task) })
	acknowledgedBefore := w.acknowledgedEnd
	w.acknowledgeStoredEnds()
	o.AcknowledgedEnds = w.acknowledgedEnd
	return o, len(o.Starts) > 0 || len(o.Stops) > 0 || w.acknowledgedEnd > acknowledgedBefore
}

// startOrder returns the order to start the present run of a task on a worker.
func startOrder(t *task, workerID string) batch.StartOrder {
	o := batch.StartOrder{
		RunID: batch.RunID{Task: t.id(t.job), Run: t.Run}, Spec: t.job.job.Spec, Ticket: t.job.advice[t.stepKey()].ticketText(workerID),
	}
	if t.job.job.Steps[t.Step].Checkpoints {
		o.Checkpoint = t.Checkpoint
	}
	return o
}

// mustStopForeign reports whether a run that isn't placed has to be stopped. Members of a gang that is done end without an
// order.
func (s *Scheduler) mustStopForeign(run batch.RunID) bool {
	j := s.jobs[run.Task.Job]
	if j == nil {
		return true
	}
	t := j.task(run.Task.Occurrence, run.Task.Step, run.Task.Index)
	return t == nil || t.Phase != batch.TaskDone || t.Run != run.Run || !j.job.Steps[t.Step].Gang
}
