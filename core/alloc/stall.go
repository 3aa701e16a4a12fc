package alloc

import (
	"time"

	"wagtailhoist/core/batch"
)

const (
	// stallTime is how long a listed run may show no progress before it counts as stalled. One percent of the
	// longest tasks takes 0.3 s, and lists arrive once a second.
	stallTime = 1700 * time.Millisecond
	// nearlyDonePercent is the progress from which a member of a gang may be waiting for the others to end.
	nearlyDonePercent = 99
	// maxRestartPercent is the progress below which a stalled run is restarted on another worker. A stalled worker resumes
	// within seconds, so that a run with more progress ends sooner where it is.
	maxRestartPercent = 15
	// stallQuarantine is the time for which a worker gets no tasks after all its runs were found stalled.
	stallQuarantine = 3 * time.Second
)

// PreemptStalled handles workers that list their runs but make no progress. It stops stalled runs that have little progress,
// so that they are restarted on other workers, and puts workers into quarantine on which all runs are stalled.
func (s *Scheduler) PreemptStalled(now time.Time) {
	for _, w := range s.sorted {
		if !w.listed {
			continue
		}
		stalled, progressing := 0, 0
		for _, t := range w.runs {
			switch {
			case !t.confirmed || t.mustStop || t.percent >= nearlyDonePercent || t.job.job.Steps[t.Step].LongRunning:
			case now.Sub(t.progressedAt) < stallTime || w.lastListed.Sub(t.progressedAt) < stallTime:
				progressing++
			default:
				stalled++
				if t.percent < maxRestartPercent {
					s.stopStalled(t)
				}
			}
		}
		if stalled > 0 && progressing == 0 {
			w.quarantine(now, stallQuarantine)
			s.needsPlan = true
		}
	}
}

// stopStalled stops a stalled run, unless it waits for members of its gang that have not started.
func (s *Scheduler) stopStalled(t *task) {
	j := t.job
	if j.job.Steps[t.Step].Gang {
		for _, m := range j.gangMembers(t) {
			if m.Phase == batch.TaskPlaced && !m.confirmed {
				return
			}
		}
	}
	s.orderStop(t)
	s.needsPlan = true
	s.traceStop(t, "no progress")
}
