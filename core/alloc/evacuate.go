package alloc

import (
	"time"

	"wagtailhoist/core/batch"
)

// Evacuate stops the runs on draining workers that can't end before the worker leaves, so that they are restarted on other
// workers at once. It is for workers that are taken away at short notice.
func (s *Scheduler) Evacuate(now time.Time) {
	for _, w := range s.sorted {
		if w.Readiness != batch.WorkerDraining || w.leavesAt.IsZero() {
			continue
		}
		for _, id := range w.sortedRuns() {
			t := w.runs[id]
			if t.mustStop || !now.Add(s.remainingTime(now, t)).After(w.leavesAt) {
				continue
			}
			s.orderStop(t)
			s.needsPlan = true
			s.traceStop(t, "the worker leaves before the run can end")
		}
	}
}

// remainingTime returns the estimated time to the end of a run: extrapolated from its progress above 10 %, otherwise the time
// after which half of such runs end that have taken as long.
func (s *Scheduler) remainingTime(now time.Time, t *task) time.Duration {
	step := &t.job.job.Steps[t.Step]
	if step.LongRunning {
		return time.Hour
	}
	if t.confirmed && t.percent > 10 && t.percent <= 100 {
		estimate := float64(t.progressedAt.Sub(t.startedAt)) * float64(100-t.percent) / float64(t.percent)
		return max(0, time.Duration(estimate)-now.Sub(t.progressedAt))
	}
	p := s.predictRun(t)
	if !t.confirmed {
		return p.Expected()
	}
	return p.Remaining(now.Sub(t.startedAt), 0.5)
}
