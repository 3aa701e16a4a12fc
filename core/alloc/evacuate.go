package alloc

import (
	"time"

	"wagtailhoist/core/batch"
)

// Evacuate stops the runs that can't end before their worker leaves, so that they go on elsewhere at once. It
// answers workers that are taken away at short notice.
func (s *Scheduler) Evacuate(now time.Time) {
	for _, w := range s.sortedWorkers() {
		if w.Readiness != batch.WorkerDraining || w.leaves.IsZero() {
			continue
		}
		for _, id := range w.sortedRuns() {
			t := w.runs[id]
			if t.stop || !now.Add(s.remaining(now, t)).After(w.leaves) {
				continue
			}
			t.stop = true
			s.changed = true
			s.trace("stop", batch.RunID{Task: id, Run: t.Run}, w.ID, "the worker leaves before the run can end")
		}
	}
}

// remaining is the estimated time to the end of a run: by its progress if it has any, else by the caller's estimate.
func (s *Scheduler) remaining(now time.Time, t *task) time.Duration {
	step := &t.job.job.Steps[t.Step]
	if step.LongRunning {
		return time.Hour
	}
	if !t.confirmed {
		return step.Estimate
	}
	elapsed := now.Sub(t.began)
	if t.percent > 10 && t.percent <= 100 {
		left := float64(t.moved.Sub(t.began)) * float64(100-t.percent) / float64(t.percent)
		return max(0, time.Duration(left)-now.Sub(t.moved))
	}
	return max(0, step.Estimate-elapsed)
}
