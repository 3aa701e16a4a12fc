package plan

import (
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	// WorkerSeen reports a worker of the platform, or a change of it; Worker is set.
	WorkerSeen Kind = iota + 1
	// WorkerLost reports lost workers; Workers is set. A gang with a task on one of them ends as a whole.
	WorkerLost
	// Declared reports a new declaration; Declaration is set.
	Declared
	// Submitted reports a new job; Job is set.
	Submitted
	// Cancelled reports cancelled jobs; Jobs is set.
	Cancelled
	// Started reports that every task of Jobs has been released to its worker.
	Started
	// Finished reports that Jobs have completed successfully.
	Finished
	// Failed reports that a task of Jobs failed on Workers[0]; Workers is empty if the worker is unknown.
	Failed
	// Stopped reports that every task of Jobs has ended; Saved reports whether a checkpoint was taken.
	Stopped
	// Observed reports measured usage of Jobs[0]; Usage is set.
	Observed
	// Reported carries the measurements of one interval; Reports is empty if there were none.
	Reported
)

// cancellationRetention is how long the cancellation of an unknown job is kept.
const cancellationRetention = time.Hour

// Event is something that happened to the cell; Kind determines which fields are set.
type Event struct {
	Kind        Kind               `cbor:"1,keyasint" json:"kind"`
	Worker      *model.Worker      `cbor:"2,keyasint,omitempty" json:"worker,omitempty"`
	Workers     []model.WorkerID   `cbor:"3,keyasint,omitempty" json:"workers,omitempty"`
	Declaration *model.Declaration `cbor:"4,keyasint,omitempty" json:"declaration,omitempty"`
	Job         *model.JobSpec     `cbor:"5,keyasint,omitempty" json:"job,omitempty"`
	Jobs        []model.JobID      `cbor:"6,keyasint,omitempty" json:"jobs,omitempty"`
	Usage       []Usage            `cbor:"7,keyasint,omitempty" json:"usage,omitempty"`
	Saved       bool               `cbor:"8,keyasint,omitempty" json:"saved,omitempty"`
	Reports     []Report           `cbor:"9,keyasint,omitempty" json:"reports,omitempty"`
}

// Apply records events up to now and moves anchors that have become infeasible. It is also called without events, at
// the NextDecision of a Decision.
func (s *State) Apply(now time.Time, events ...Event) {
	s.initMaps()
	if s.idx != nil {
		for i := range s.idx.quarantined {
			s.idx.refreshUsable(s, i, now)
		}
	}
	for _, e := range events {
		s.applyEvent(now, e)
	}
	for id, at := range s.Cancelled {
		if now.Sub(at) > cancellationRetention {
			delete(s.Cancelled, id)
		}
	}
	if x := s.ensureIndex(now); x.anchorsStale {
		s.repairAnchors(now)
	} else if len(events) > 0 {
		s.retryShortfalls(now)
	}
}

// initMaps creates the maps of a zero State.
func (s *State) initMaps() {
	if s.Workers == nil {
		s.Workers = map[model.WorkerID]WorkerState{}
	}
	if s.Jobs == nil {
		s.Jobs = map[model.JobID]*Job{}
	}
	if s.History == nil {
		s.History = map[string]RunHistory{}
	}
	if s.Cancelled == nil {
		s.Cancelled = map[model.JobID]time.Time{}
	}
}

func (s *State) applyEvent(now time.Time, e Event) {
	switch e.Kind {
	case WorkerSeen:
		s.updateWorker(now, *e.Worker)
	case WorkerLost:
		s.loseWorkers(now, e.Workers)
	case Declared:
		s.applyDeclaration(now, *e.Declaration)
	case Submitted:
		s.submitJob(now, *e.Job)
	case Cancelled:
		for _, id := range e.Jobs {
			s.cancelJob(now, id)
		}
	case Reported:
		s.applyReports(now, e.Reports)
	case Started, Finished, Failed, Stopped, Observed:
		for _, id := range e.Jobs {
			if j := s.Jobs[id]; j != nil && j.placed() {
				s.applyToJob(now, e, j)
			}
		}
	}
}

// applyToJob applies an event to a job that holds accelerators.
func (s *State) applyToJob(now time.Time, e Event, j *Job) {
	switch e.Kind {
	case Started:
		if j.Phase == Starting {
			s.replaceJob(now, j, func(c *Job) { c.Phase = Running })
		}
	case Finished:
		s.recordRunTime(now, j)
		s.recordPeak(j)
		s.clearFailures(now, j)
		s.removeJob(now, j)
	case Failed:
		s.attributeFailure(now, j, e.Workers)
	case Stopped:
		s.requeue(now, j, e.Saved)
	case Observed:
		s.replaceJob(now, j, func(c *Job) { c.Observed = slices.Clone(e.Usage) })
		s.ensureIndex(now).anchorsStale = true
	}
}

// replaceJob replaces a job by an edited copy and returns the copy.
func (s *State) replaceJob(now time.Time, j *Job, edit func(*Job)) *Job {
	x := s.ensureIndex(now)
	c := *j
	edit(&c)
	x.dropJob(j)
	x.addJob(&c)
	s.Jobs[c.Spec.ID] = &c
	return &c
}

// removeJob removes a job from the State.
func (s *State) removeJob(now time.Time, j *Job) {
	s.ensureIndex(now).dropJob(j)
	delete(s.Jobs, j.Spec.ID)
}

// requeue puts a job that has ended back into the queue, with its task size raised by GrowToPeak, or removes it if it was
// cancelled. saved says that a checkpoint was taken, so that the time of the run counts as saved work.
func (s *State) requeue(now time.Time, j *Job, saved bool) {
	if j.Cancelled {
		s.removeJob(now, j)
		return
	}
	if j.LastStopReason.Code == MemoryExceeded {
		s.recordPeak(j)
	}
	s.replaceJob(now, j, func(c *Job) {
		if saved && c.Phase != Starting {
			c.SavedWork += now.Sub(c.Started)
		}
		s.GrowToPeak(c)
		c.Phase, c.Slots, c.Anchored, c.BackfillAheadOf, c.Observed, c.StopBy = Queued, nil, false, "", nil, time.Time{}
		c.Tasks = nil
	})
}

// updateWorker records a worker. A change of anything but Up discards the index, which is rebuilt when it is next needed.
func (s *State) updateWorker(now time.Time, w model.Worker) {
	ws, known := s.Workers[w.ID]
	unchanged := known && ws.Worker == w
	old := ws.Worker
	ws.Worker = w
	s.Workers[w.ID] = ws
	if unchanged {
		return
	}
	oldExceptUp := old
	oldExceptUp.Up = w.Up
	if known && oldExceptUp == w && s.idx != nil {
		s.idx.refreshUsable(s, s.idx.byID[w.ID], now)
	} else {
		s.idx = nil
	}
	if known && !w.Up {
		// Also without an index: the jobs of the worker have to be placed again.
		s.loseWorkers(now, []model.WorkerID{w.ID})
	}
}

// loseWorkers marks workers as down and puts the jobs on them back into the queue.
func (s *State) loseWorkers(now time.Time, ids []model.WorkerID) {
	for _, id := range ids {
		ws, known := s.Workers[id]
		if !known {
			continue
		}
		ws.Worker.Up = false
		s.Workers[id] = ws
		x := s.ensureIndex(now)
		i := x.byID[id]
		x.refreshUsable(s, i, now)
		for _, u := range slices.Clone(x.nodes[i].allocations) {
			s.requeue(now, s.Jobs[u.job.Spec.ID], false)
		}
	}
}

// submitJob adds a job to the queue, unless it is known already or has been cancelled.
func (s *State) submitJob(now time.Time, spec model.JobSpec) {
	if _, known := s.Jobs[spec.ID]; known {
		return
	}
	if _, cancelled := s.Cancelled[spec.ID]; cancelled {
		return
	}
	// The index must exist before the job is in s.Jobs: an index built afterwards would already include the job, and
	// addJob would enter it a second time.
	x := s.ensureIndex(now)
	s.Sequence++
	j := &Job{Spec: spec, Sequence: s.Sequence, Submitted: now}
	s.applySizeHistory(now, j)
	s.Jobs[spec.ID] = j
	x.addJob(j)
}

// cancelJob cancels a job. A placed job stays in the State until it has stopped. Any other known job is removed. The
// cancellation of a job that is not placed is kept, in case the job is submitted later.
func (s *State) cancelJob(now time.Time, id model.JobID) {
	j := s.Jobs[id]
	switch {
	case j == nil:
		s.Cancelled[id] = now
	case j.placed():
		s.replaceJob(now, j, func(c *Job) { c.Cancelled = true })
	default:
		s.removeJob(now, j)
		s.Cancelled[id] = now
	}
}
