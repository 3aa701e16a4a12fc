package alloc

import (
	"math"
	"slices"
	"strings"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/core/room"
)

// Entries and the scheduler must agree on when a job's completion is of no use; this fails to compile if they don't.
var _ = [1]struct{}{}[tooLateFactor-room.TooLateFactor]

// noLimit is the time until the deadline of work that is of use however late it starts.
const noLimit = time.Duration(math.MaxInt64)

// Forecast returns when work of each queue could start at the earliest, and false while that isn't known: at the beginning of a term,
// until each worker has reported or is given up as lost. It uses the order of the last plan, and the tasks of it that still wait.
func (s *Scheduler) Forecast(now time.Time) (room.Forecast, bool) {
	if now.Before(s.termStart.Add(s.leaseTimeout())) {
		return room.Forecast{}, false
	}
	state := room.State{Services: map[string]*room.Service{}, Use: map[model.Team]batch.Amount{}}
	for _, q := range s.policy.Queues {
		if q.Stretch > 0 || q.Target > 0 {
			state.Queues = append(state.Queues, room.Queue{Name: q.Name, Service: q.Service, Priority: q.Priority, Target: q.Target})
			state.Services[q.Service] = &room.Service{}
		}
	}
	slices.SortFunc(state.Queues, func(a, b room.Queue) int { return strings.Compare(a.Name, b.Name) })
	if !s.forecastWaiting(now, &state) {
		return room.Forecast{}, true
	}
	s.forecastCapacity(now, &state)
	s.forecastRuns(now, &state)
	return state.Forecast(), true
}

// forecastWaiting adds the waiting work, and reports whether there is any.
func (s *Scheduler) forecastWaiting(now time.Time, state *room.State) bool {
	found := false
	for _, ps := range s.planned {
		service := state.Services[ps.queue.Service]
		if service != nil && service.Waiting == nil {
			service.Waiting = make([]room.Work, 0, len(s.planned))
		}
		if service == nil || ps.job.outcome != "" || ps.job.cancelled || ps.job.failed {
			continue
		}
		work, ok := s.waitingWork(now, ps)
		if ok {
			service.Waiting = append(service.Waiting, work)
			found = true
		}
	}
	return found
}

// waitingWork returns the tasks of a step that still wait, and false if there are none.
func (s *Scheduler) waitingWork(now time.Time, ps *pendingStep) (room.Work, bool) {
	step := ps.step
	w := room.Work{
		Queue: ps.queue.Name, Priority: ps.queue.Priority, First: ps.guaranteed || step.LongRunning, Deadline: ps.deadline.Sub(now),
		Useless: noLimit, Need: step.Allocation(), RunTime: ps.estimate, Gang: step.Gang, Restricted: ps.restricted(),
	}
	for _, t := range ps.tasks {
		if t.Phase != batch.TaskWaiting {
			continue
		}
		w.Count++
		if t.Checkpoint != "" {
			// How much of its work a checkpoint contains isn't known.
			w.RunTime = 0
		}
	}
	if w.Count == 0 {
		return w, false
	}
	w.Objective = ps.deadline.Sub(ps.job.acceptedAt)
	if ps.job.job.Timed() {
		w.Objective = ps.queue.Objective(s.criticalPath(&ps.job.job))
	}
	if !w.First {
		w.Useless = w.Deadline + (tooLateFactor-1)*w.Objective
	}
	return w, true
}

// restricted reports whether there may be room for tasks of the step that they can't use.
func (ps *pendingStep) restricted() bool {
	s := ps.step
	return s.RackLocal || s.RequiredLabel != "" || s.DataRack != "" || s.MaxPerWorker > 0 || s.CPUExempt || s.MaxTailLatency > 0 ||
		ps.queue.RequiresTicket
}

// returns reports whether a worker gets tasks again without a further report, and when.
func (w *worker) returns() (time.Time, bool) {
	if !w.ready(w.Service) || w.evacuated {
		return time.Time{}, false
	}
	at := w.quarantinedUntil
	if w.delays != nil && w.delays.refusedUntil.After(at) {
		at = w.delays.refusedUntil
	}
	return at, true
}

// forecastCapacity adds the capacity of the workers. Those that are leaving, evacuated or not ready don't count, and those in
// quarantine not before its end.
func (s *Scheduler) forecastCapacity(now time.Time, state *room.State) {
	for _, w := range s.sorted {
		service := state.Services[w.Service]
		if service == nil {
			continue
		}
		at, ok := w.returns()
		switch {
		case !ok:
		case !now.Before(at):
			service.Capacity = service.Capacity.Add(w.Capacity)
		default:
			idle := w.Capacity
			for _, t := range w.runs {
				idle = idle.Sub(t.job.job.Steps[t.Step].Allocation())
			}
			service.Returns = append(service.Returns, room.Return{After: at.Sub(now), Capacity: idle})
		}
	}
}

// forecastRuns adds the runs. Those that aren't known to the scheduler, or whose job has ended, count as stopped.
func (s *Scheduler) forecastRuns(now time.Time, state *room.State) {
	for _, j := range s.active {
		var last sameRuns
		var used batch.Amount
		for _, t := range j.tasks {
			if t.Phase != batch.TaskPlaced {
				continue
			}
			w := s.workers[t.Worker]
			if w == nil {
				continue
			}
			need := j.job.Steps[t.Step].Allocation()
			used = used.Add(need)
			if !last.includes(w, t) {
				last = s.runsLike(now, state, w, t)
			}
			if last.total != nil {
				*last.total = last.total.Add(need)
			}
		}
		if used != (batch.Amount{}) {
			state.Use[j.job.Team] = state.Use[j.job.Team].Add(used)
		}
	}
}

// sameRuns are runs of a step that end at the same time, since they began at the same time on the same kind of worker. Predicting each
// of them would cost more than the rest of the forecast.
type sameRuns struct {
	first *task
	// worker is that of the first run. A run on a worker of other readiness isn't included.
	worker *worker
	kind   string
	// total is the sum of what they use, nil if it doesn't count.
	total *batch.Amount
}

// includes reports whether a run on worker w ends with these.
func (r *sameRuns) includes(w *worker, t *task) bool {
	f := r.first
	return f != nil && f.Step == t.Step && f.confirmed == t.confirmed && f.mustStop == t.mustStop && f.percent <= 10 && t.percent <= 10 &&
		f.startedAt.Equal(t.startedAt) && (w == r.worker || r.kind == w.kind() && r.worker.Service == w.Service &&
		w.quarantinedUntil.IsZero() && r.worker.quarantinedUntil.IsZero() && w.delays == nil && r.worker.delays == nil &&
		r.worker.evacuated == w.evacuated && r.worker.ready(w.Service) == w.ready(w.Service))
}

// runsLike adds an entry to the state for runs that end with that of t on worker w.
func (s *Scheduler) runsLike(now time.Time, state *room.State, w *worker, t *task) sameRuns {
	same := sameRuns{first: t, worker: w, kind: w.kind()}
	service := state.Services[w.Service]
	at, ok := w.returns()
	if service == nil || !ok {
		return same
	}
	remaining := time.Duration(0)
	if !t.mustStop {
		remaining = s.remainingTime(now, t)
	}
	if now.Before(at) {
		service.Returns = append(service.Returns, room.Return{After: max(remaining, at.Sub(now))})
		same.total = &service.Returns[len(service.Returns)-1].Capacity
		return same
	}
	service.Runs = append(service.Runs, room.Run{Remaining: remaining, Priority: s.policy.QueueFor(&t.job.job).Priority})
	same.total = &service.Runs[len(service.Runs)-1].Need
	return same
}
