package sched

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// evacuationLog logs the course of the evacuations in a cell that this process owns. The zero value knows of none.
type evacuationLog struct {
	evacuations map[model.Centre]evacuation
	// shortfalls holds the guarantees that have a shortfall because of an evacuation.
	shortfalls map[plan.Ref]bool
}

// evacuation is an evacuated data centre: since when this owner has known of it, and the number of jobs that it still runs.
type evacuation struct {
	since time.Time
	runs  int
}

// update logs what has changed since the last decision. Data centres without workers in the cell are left to the owners of
// other cells.
func (l *evacuationLog) update(log *slog.Logger, now time.Time, in Input, shortfalls []plan.Shortfall) {
	centres := make(map[model.WorkerID]model.Centre, len(in.Workers))
	current := map[model.Centre]evacuation{}
	for _, w := range in.Workers {
		centres[w.ID] = w.Centre
		if w.Centre != "" && slices.Contains(in.Declaration.Evacuate, w.Centre) {
			current[w.Centre] = evacuation{since: now}
		}
	}
	for centre, e := range current {
		e.runs = runsIn(centre, centres, in.Plan)
		if former, known := l.evacuations[centre]; known {
			e.since = former.since
		}
		current[centre] = e
	}
	after := func(e evacuation) string { return now.Sub(e.since).Round(time.Millisecond).String() }
	for _, centre := range slices.Sorted(maps.Keys(current)) {
		e := current[centre]
		former, known := l.evacuations[centre]
		if !known {
			log.Info("data centre evacuated: nothing more is started there", "centre", string(centre), "runs", e.runs)
		}
		if e.runs == 0 && (!known || former.runs > 0) {
			log.Info("evacuated data centre runs nothing any more", "centre", string(centre), "after", after(e))
		}
	}
	for _, centre := range slices.Sorted(maps.Keys(l.evacuations)) {
		if _, evacuated := current[centre]; !evacuated {
			log.Info("data centre returned to service", "centre", string(centre), "after", after(l.evacuations[centre]))
		}
	}
	l.evacuations = current
	l.updateShortfalls(log, shortfalls)
}

// updateShortfalls logs each guarantee that has lost its capacity to an evacuation.
func (l *evacuationLog) updateShortfalls(log *slog.Logger, shortfalls []plan.Shortfall) {
	current := map[plan.Ref]bool{}
	for _, s := range shortfalls {
		if s.Cause != plan.CentreEvacuated {
			continue
		}
		ref := plan.Ref{Team: s.Team, Guarantee: s.Guarantee}
		if current[ref] = true; !l.shortfalls[ref] {
			log.Warn("guarantee in shortfall", "guarantee", ref.String(), "cause", s.CauseText())
		}
	}
	l.shortfalls = current
}

// runsIn counts the jobs of the plan that have a task on a worker of the data centre.
func runsIn(centre model.Centre, centres map[model.WorkerID]model.Centre, p *cell.Plan) int {
	n := 0
	for _, j := range p.Jobs {
		if slices.ContainsFunc(j.Workers, func(w model.WorkerID) bool { return centres[w] == centre }) {
			n++
		}
	}
	return n
}

// logUnknownEvacuated logs once each evacuated data centre of which no worker is listed. It has no effect on the cells.
func (s *Sched) logUnknownEvacuated() {
	d, _ := s.Declaration()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logUnknownLocked(d)
}

// logChangedEvacuationLocked does the same if the list of the declaration has changed: a list that is taken back within a second may not
// be in force when the workers are listed. The caller holds s.mu.
func (s *Sched) logChangedEvacuationLocked(d model.Declaration) {
	if !slices.Equal(d.Evacuate, s.checkedEvacuate) {
		s.logUnknownLocked(d)
	}
}

func (s *Sched) logUnknownLocked(d model.Declaration) {
	s.checkedEvacuate = d.Evacuate
	unknown := map[model.Centre]bool{}
	for _, centre := range d.Evacuate {
		unknown[centre] = true
	}
	for _, list := range s.workers {
		for _, w := range list {
			delete(unknown, w.Centre)
		}
	}
	for _, centre := range slices.Sorted(maps.Keys(unknown)) {
		if !s.unknownEvacuated[centre] {
			s.logger().Warn("evacuated data centre has no listed worker", "centre", string(centre))
		}
	}
	s.unknownEvacuated = unknown
}
