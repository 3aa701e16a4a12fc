package plan

import (
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// suspectAfter is the number of different jobs that have to fail on a worker without a
	// success in between before it is put aside.
	suspectAfter = 3
	// hopelessAfter is the number of different workers that a job has to fail on before it is refused.
	hopelessAfter = 3
	// repeatsAfter is the number of failures after which a job is refused even if they were on
	// fewer workers: a job under a guarantee may have no other workers to go to.
	repeatsAfter = 6
	// giveUpAfter bounds the failures of a job, whoever is at fault. Without it, jobs that fail
	// everywhere put one worker on trial after the other aside and never ended.
	giveUpAfter = 12
	// asideFirst is the time for which a worker is put aside; it doubles with each trial that fails.
	asideFirst = 10 * time.Minute
	// asideMost bounds the time for which a worker is put aside.
	asideMost = 4 * time.Hour
)

// blame records a failure of a job on a worker and puts the job back into the queue. A job that
// has failed on several sound workers doesn't count against a worker, and a worker that is put
// aside doesn't count against the jobs that failed there.
func (s *State) blame(now time.Time, j *Job, workers []model.WorkerID) {
	if j.Cancelled || len(workers) == 0 {
		s.requeue(now, j, false)
		return
	}
	id := workers[0]
	j = s.change(now, j, func(c *Job) {
		c.Failed = append(slices.Clone(c.Failed), id)
		c.Failures++
	})
	h, known := s.Workers[id]
	if known && !slices.Contains(h.Failed, j.Spec.ID) {
		h.Failed = append(slices.Clone(h.Failed), j.Spec.ID)
		s.Workers[id] = h
	}
	s.requeue(now, j, false)
	j = s.Jobs[j.Spec.ID]
	if known && s.suspect(h) {
		s.putAside(now, h)
		j = s.Jobs[j.Spec.ID]
	}
	if hopeless(j) {
		s.refuse(now, j)
	}
}

// hopeless reports whether the failures of a job are its own.
func hopeless(j *Job) bool {
	return len(j.Failed) >= repeatsAfter || distinct(j.Failed) >= hopelessAfter || j.Failures >= giveUpAfter
}

// distinct counts the different workers of a list.
func distinct(ids []model.WorkerID) int {
	n := 0
	for i, id := range ids {
		if !slices.Contains(ids[:i], id) {
			n++
		}
	}
	return n
}

// suspect reports whether failures of enough different jobs count against the worker. On trial,
// after it was put aside, one job that failed nowhere else is enough.
func (s *State) suspect(h WorkerState) bool {
	all, fresh := 0, 0
	for _, id := range h.Failed {
		j := s.Jobs[id]
		if j == nil || (j.Phase != Refused && !hopeless(j)) {
			all++
			if j == nil || j.Failures == 1 {
				fresh++
			}
		}
	}
	return all >= suspectAfter || (fresh > 0 && h.Quarantines > 0)
}

// putAside keeps work off a worker for a time and clears the jobs that failed there.
func (s *State) putAside(now time.Time, h WorkerState) {
	id := h.Worker.ID
	wait := min(asideFirst<<min(h.Quarantines, 8), asideMost)
	for _, job := range h.Failed {
		if j := s.Jobs[job]; j != nil {
			s.change(now, j, func(c *Job) {
				c.Failed = slices.DeleteFunc(slices.Clone(c.Failed), func(w model.WorkerID) bool { return w == id })
				if c.Phase == Refused && !hopeless(c) {
					c.Phase, c.Refusal = Queued, Reason{}
				}
			})
		}
	}
	h.Failed, h.QuarantinedUntil = nil, now.Add(wait)
	h.Quarantines++
	s.Workers[id] = h
	x := s.ready(now)
	x.refresh(s, x.byID[id], now)
}

// refuse keeps a job that fails everywhere from starting again, and clears the workers of its failures.
func (s *State) refuse(now time.Time, j *Job) {
	s.change(now, j, func(c *Job) {
		c.Phase = Refused
		c.Refusal = Reason{Code: FailsEverywhere, Need: hopelessAfter, Have: distinct(c.Failed)}
	})
	for _, id := range j.Failed {
		h := s.Workers[id]
		h.Failed = slices.DeleteFunc(slices.Clone(h.Failed), func(o model.JobID) bool { return o == j.Spec.ID })
		s.Workers[id] = h
	}
}

// clear records a success on the workers of a job.
func (s *State) clear(now time.Time, j *Job) {
	for _, sl := range j.Slots {
		h, known := s.Workers[sl.Worker]
		if known && (len(h.Failed) > 0 || h.Quarantines > 0) {
			h.Failed, h.Quarantines = nil, 0
			s.Workers[sl.Worker] = h
		}
	}
}

// avoids reports whether a job keeps off a worker on which it failed. It doesn't where the other workers can't hold it
// even when they are empty: it would wait for ever, in particular in a cell with a single rack.
func (p *pass) avoids(j *Job, id model.WorkerID) bool {
	if !slices.Contains(j.Failed, id) {
		return false
	}
	cornered, known := p.cornered[j.Spec.ID]
	if !known {
		q := search{v: p.view, shape: j.Spec.Shape, each: PerTask(j.Spec.Shape), room: func(i int) Amount {
			n := &p.nodes[i]
			if !n.ok || slices.Contains(j.Failed, n.id) {
				return Amount{}
			}
			if len(n.levels) > 0 {
				return n.lend(n.cap, j.Spec.Grace)
			}
			return n.cap
		}}
		cornered = q.total() < j.Spec.Shape.Tasks
		p.cornered[j.Spec.ID] = cornered
	}
	return !cornered
}
