package plan

import (
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// quarantineAfterJobs is the number of different jobs that have to fail on a worker without a
	// success in between before it is put aside.
	quarantineAfterJobs = 3
	// maxFailedWorkers is the number of different workers that a job has to fail on before it is refused.
	maxFailedWorkers = 3
	// maxAttributedFailures is the number of failures after which a job is refused even if they were on
	// fewer workers: a job under a guarantee may have no other workers to go to.
	maxAttributedFailures = 6
	// maxFailures bounds the failures of a job, whoever is at fault. Without it, jobs that fail
	// everywhere put one worker on trial after the other aside and never ended.
	maxFailures = 12
	// firstQuarantine is the time for which a worker is put aside; it doubles with each trial that fails.
	firstQuarantine = 10 * time.Minute
	// maxQuarantine bounds the time for which a worker is put aside.
	maxQuarantine = 4 * time.Hour
)

// attributeFailure records a failure of a job on a worker and puts the job back into the queue. A job that
// has failed on several sound workers doesn't count against a worker, and a worker that is put
// aside doesn't count against the jobs that failed there.
func (s *State) attributeFailure(now time.Time, j *Job, workers []model.WorkerID) {
	if j.Cancelled || len(workers) == 0 {
		s.requeue(now, j, false)
		return
	}
	id := workers[0]
	j = s.replaceJob(now, j, func(c *Job) {
		c.Failed = append(slices.Clone(c.Failed), id)
		c.Failures++
	})
	ws, known := s.Workers[id]
	if known && !slices.Contains(ws.Failed, j.Spec.ID) {
		ws.Failed = append(slices.Clone(ws.Failed), j.Spec.ID)
		s.Workers[id] = ws
	}
	s.requeue(now, j, false)
	j = s.Jobs[j.Spec.ID]
	if known && s.shouldQuarantine(ws) {
		s.quarantine(now, ws)
		j = s.Jobs[j.Spec.ID]
	}
	if failuresExceeded(j) {
		s.refuseJob(now, j)
	}
}

// failuresExceeded reports whether the failures of a job are its own.
func failuresExceeded(j *Job) bool {
	return len(j.Failed) >= maxAttributedFailures || countDistinct(j.Failed) >= maxFailedWorkers || j.Failures >= maxFailures
}

// countDistinct counts the different workers of a list.
func countDistinct(ids []model.WorkerID) int {
	n := 0
	for i, id := range ids {
		if !slices.Contains(ids[:i], id) {
			n++
		}
	}
	return n
}

// shouldQuarantine reports whether failures of enough different jobs count against the worker. On trial,
// after it was put aside, one job that failed nowhere else is enough.
func (s *State) shouldQuarantine(ws WorkerState) bool {
	countedJobs, firstFailures := 0, 0
	for _, id := range ws.Failed {
		j := s.Jobs[id]
		if j == nil || (j.Phase != Refused && !failuresExceeded(j)) {
			countedJobs++
			if j == nil || j.Failures == 1 {
				firstFailures++
			}
		}
	}
	return countedJobs >= quarantineAfterJobs || (firstFailures > 0 && ws.Quarantines > 0)
}

// quarantine keeps work off a worker for a time and clears the jobs that failed there.
func (s *State) quarantine(now time.Time, ws WorkerState) {
	id := ws.Worker.ID
	length := min(firstQuarantine<<min(ws.Quarantines, 8), maxQuarantine)
	for _, job := range ws.Failed {
		if j := s.Jobs[job]; j != nil {
			s.replaceJob(now, j, func(c *Job) {
				c.Failed = slices.DeleteFunc(slices.Clone(c.Failed), func(w model.WorkerID) bool { return w == id })
				if c.Phase == Refused && !failuresExceeded(c) {
					c.Phase, c.Refusal = Queued, Reason{}
				}
			})
		}
	}
	ws.Failed, ws.QuarantinedUntil = nil, now.Add(length)
	ws.Quarantines++
	s.Workers[id] = ws
	x := s.ensureIndex(now)
	x.refreshUsable(s, x.byID[id], now)
}

// refuseJob keeps a job that fails everywhere from starting again, and clears the workers of its failures.
func (s *State) refuseJob(now time.Time, j *Job) {
	s.replaceJob(now, j, func(c *Job) {
		c.Phase = Refused
		c.Refusal = Reason{Code: FailsEverywhere, Need: maxFailedWorkers, Have: countDistinct(c.Failed)}
	})
	for _, id := range j.Failed {
		ws := s.Workers[id]
		ws.Failed = slices.DeleteFunc(slices.Clone(ws.Failed), func(o model.JobID) bool { return o == j.Spec.ID })
		s.Workers[id] = ws
	}
}

// clearFailures records a success on the workers of a job.
func (s *State) clearFailures(now time.Time, j *Job) {
	for _, sl := range j.Slots {
		ws, known := s.Workers[sl.Worker]
		if known && (len(ws.Failed) > 0 || ws.Quarantines > 0) {
			ws.Failed, ws.Quarantines = nil, 0
			s.Workers[sl.Worker] = ws
		}
	}
}

// avoidsWorker reports whether a job keeps off a worker on which it failed. It doesn't where the other workers can't hold it
// even when they are empty: it would wait for ever, in particular in a cell with a single rack.
func (p *planner) avoidsWorker(j *Job, id model.WorkerID) bool {
	if !slices.Contains(j.Failed, id) {
		return false
	}
	noOtherWorkers, known := p.noOtherWorkers[j.Spec.ID]
	if !known {
		q := search{v: p.view, shape: j.Spec.Shape, perTask: PerTask(j.Spec.Shape), room: func(i int) Amount {
			n := &p.nodes[i]
			if !n.ok || slices.Contains(j.Failed, n.id) {
				return Amount{}
			}
			if len(n.lendLimits) > 0 {
				return n.limitToLendable(n.capacity, j.Spec.Grace)
			}
			return n.capacity
		}}
		noOtherWorkers = q.maxTasksInBlock() < j.Spec.Shape.Tasks
		p.noOtherWorkers[j.Spec.ID] = noOtherWorkers
	}
	return !noOtherWorkers
}
