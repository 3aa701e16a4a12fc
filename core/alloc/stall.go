package alloc

import (
	"time"

	"wagtailhoist/core/batch"
)

const (
	// stallTime is how long a run may show no progress while its worker lists it. A percent of the longest tasks
	// takes 0.3 s, and lists arrive once a second.
	stallTime = 1700 * time.Millisecond
	// nearlyDone is the percentage from which a member of a gang may be waiting for the others to end.
	nearlyDone = 99
	// cheap is the percentage below which a run that stands still is started again elsewhere; a worker goes on
	// within seconds, so that a run with more behind it ends sooner where it is.
	cheap = 15
	// stallAvoid is how long a worker on which all runs stand still gets no work.
	stallAvoid = 3 * time.Second
)

// PreemptStalled keeps work from workers on which all runs stand still, and moves runs away that have hardly begun. It
// answers workers that list what they run but make no progress.
func (s *Scheduler) PreemptStalled(now time.Time) {
	for _, w := range s.sortedWorkers() {
		if !w.listed || len(w.runs) == 0 {
			continue
		}
		still, moving := 0, 0
		for _, id := range w.sortedRuns() {
			t := w.runs[id]
			switch {
			case !t.confirmed || t.stop || t.percent >= nearlyDone || t.job.job.Steps[t.Step].LongRunning:
			case now.Sub(t.moved) < stallTime || w.heard.Sub(t.moved) < stallTime:
				moving++
			default:
				still++
				if t.percent < cheap {
					s.unstick(t)
				}
			}
		}
		if still > 0 && moving == 0 {
			w.avoid(now, stallAvoid)
			s.changed = true
		}
	}
}

func (s *Scheduler) unstick(t *task) {
	j := t.job
	if j.job.Steps[t.Step].Gang {
		for _, m := range j.members(t) {
			if m.Phase == batch.TaskPlaced && !m.confirmed {
				// The gang hasn't begun.
				return
			}
		}
	}
	t.stop = true
	s.changed = true
	s.trace("stop", batch.RunID{Task: t.id(j), Run: t.Run}, t.Worker, "no progress")
}
