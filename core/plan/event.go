package plan

import (
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// Kind is the kind of an event.
type Kind uint8

// Kinds of events.
const (
	// WorkerSeen reports a worker of the platform: Worker.
	WorkerSeen Kind = iota + 1
	// WorkerLost reports lost workers: Workers. Gangs with a task there are stopped as a whole.
	WorkerLost
	// Declared reports a new declaration: Declaration.
	Declared
	// Submitted reports a new job: Job.
	Submitted
	// Cancelled reports a batch of cancelled jobs: Jobs.
	Cancelled
	// Started reports that every task of Jobs is released.
	Started
	// Finished reports that Jobs have ended well.
	Finished
	// Failed reports that Jobs have ended with a failure of a task on Workers[0], if it is known.
	Failed
	// Stopped reports that every task of Jobs has gone; Saved tells whether a checkpoint was taken.
	Stopped
	// Observed reports measured usage of Jobs[0]: Usage.
	Observed
	// Reported carries the measurements of one interval, which may be none: Reports.
	Reported
)

// cancelMemory is how long a cancellation of an unknown job is remembered.
const cancelMemory = time.Hour

// Event is something that happened to the cell; Kind says which fields are set.
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

// Apply records events that happened up to now and moves anchors that have become infeasible.
// Call it without events when a Decision's NextDecision has come.
func (s *State) Apply(now time.Time, events ...Event) {
	s.init()
	if s.idx != nil {
		for i := range s.idx.aside {
			s.idx.refresh(s, i, now)
		}
	}
	for _, e := range events {
		s.apply(now, e)
	}
	for id, at := range s.Cancelled {
		if now.Sub(at) > cancelMemory {
			delete(s.Cancelled, id)
		}
	}
	if x := s.ready(now); x.loose {
		s.repair(now)
	} else if len(events) > 0 {
		s.retry(now)
	}
}

// init makes the maps of a zero State.
func (s *State) init() {
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

func (s *State) apply(now time.Time, e Event) {
	switch e.Kind {
	case WorkerSeen:
		s.seen(now, *e.Worker)
	case WorkerLost:
		s.lost(now, e.Workers)
	case Declared:
		s.declare(now, *e.Declaration)
	case Submitted:
		s.submit(now, *e.Job)
	case Cancelled:
		for _, id := range e.Jobs {
			s.cancel(now, id)
		}
	case Reported:
		s.report(now, e.Reports)
	case Started, Finished, Failed, Stopped, Observed:
		for _, id := range e.Jobs {
			if j := s.Jobs[id]; j != nil && j.placed() {
				s.progress(now, e, j)
			}
		}
	}
}

// progress records an event of a placed job.
func (s *State) progress(now time.Time, e Event, j *Job) {
	switch e.Kind {
	case Started:
		if j.Phase == Starting {
			s.change(now, j, func(c *Job) { c.Phase = Running })
		}
	case Finished:
		s.learn(now, j)
		s.learnSize(j)
		s.clear(now, j)
		s.remove(now, j)
	case Failed:
		s.blame(now, j, e.Workers)
	case Stopped:
		s.requeue(now, j, e.Saved)
	case Observed:
		s.change(now, j, func(c *Job) { c.Observed = slices.Clone(e.Usage) })
		s.ready(now).loose = true
	}
}

// change replaces a job by an edited copy.
func (s *State) change(now time.Time, j *Job, edit func(*Job)) *Job {
	x := s.ready(now)
	c := *j
	edit(&c)
	x.drop(j)
	x.add(&c)
	s.Jobs[c.Spec.ID] = &c
	return &c
}

// remove forgets a job.
func (s *State) remove(now time.Time, j *Job) {
	s.ready(now).drop(j)
	delete(s.Jobs, j.Spec.ID)
}

// requeue puts a job that has ended back into the queue, or forgets it if it was cancelled.
func (s *State) requeue(now time.Time, j *Job, saved bool) {
	if j.Cancelled {
		s.remove(now, j)
		return
	}
	if j.LastStopReason.Code == MemoryExceeded {
		s.learnSize(j)
	}
	s.change(now, j, func(c *Job) {
		if saved && c.Phase != Starting {
			c.SavedWork += now.Sub(c.Started)
		}
		s.Resize(c)
		c.Phase, c.Slots, c.Anchored, c.BackfillAheadOf, c.Observed, c.StopBy = Queued, nil, false, "", nil, time.Time{}
		c.Tasks = nil
	})
}

func (s *State) seen(now time.Time, w model.Worker) {
	h, known := s.Workers[w.ID]
	same := known && h.Worker == w
	old := h.Worker
	h.Worker = w
	s.Workers[w.ID] = h
	if same {
		return
	}
	moved := old
	moved.Up = w.Up
	if known && moved == w && s.idx != nil {
		s.idx.refresh(s, s.idx.byID[w.ID], now)
		if !w.Up {
			s.lost(now, []model.WorkerID{w.ID})
		}
		return
	}
	s.idx = nil
}

func (s *State) lost(now time.Time, ids []model.WorkerID) {
	for _, id := range ids {
		h, known := s.Workers[id]
		if !known {
			continue
		}
		h.Worker.Up = false
		s.Workers[id] = h
		x := s.ready(now)
		i := x.byID[id]
		x.refresh(s, i, now)
		for _, u := range slices.Clone(x.nodes[i].uses) {
			s.requeue(now, s.Jobs[u.job.Spec.ID], false)
		}
	}
}

func (s *State) submit(now time.Time, spec model.JobSpec) {
	if _, known := s.Jobs[spec.ID]; known {
		return
	}
	if _, gone := s.Cancelled[spec.ID]; gone {
		return
	}
	// An index that is built after the job is known would hold it twice.
	x := s.ready(now)
	s.Sequence++
	j := &Job{Spec: spec, Sequence: s.Sequence, Submitted: now}
	s.expect(now, j)
	s.Jobs[spec.ID] = j
	x.add(j)
}

func (s *State) cancel(now time.Time, id model.JobID) {
	j := s.Jobs[id]
	switch {
	case j == nil:
		s.Cancelled[id] = now
	case j.placed():
		s.change(now, j, func(c *Job) { c.Cancelled = true })
	default:
		s.remove(now, j)
		s.Cancelled[id] = now
	}
}
