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

// overdueDivisor is the part of its time for which a run that is longer than expected goes on.
const overdueDivisor = 4

// remainingTime returns the estimated time to the end of a run: extrapolated from its progress above 10 %, otherwise by the
// expected run time. A run that has taken longer than expected is assumed to go on for a part of the time that it has taken.
func (s *Scheduler) remainingTime(now time.Time, t *task) time.Duration {
	step := &t.job.job.Steps[t.Step]
	if step.LongRunning {
		return time.Hour
	}
	expected := s.expectedTime(&t.job.job, t.Step)
	if !t.confirmed {
		return expected
	}
	elapsed := now.Sub(t.startedAt)
	if t.percent > 10 && t.percent <= 100 {
		estimate := float64(t.progressedAt.Sub(t.startedAt)) * float64(100-t.percent) / float64(t.percent)
		return max(0, time.Duration(estimate)-now.Sub(t.progressedAt))
	}
	return max(elapsed/overdueDivisor, expected-elapsed)
}
