package plan

import (
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// quarantineAfterJobs is the number of different jobs that have to fail on a worker, without a success in between,
	// before it is quarantined.
	quarantineAfterJobs = 3
	// maxFailedWorkers is the number of different workers that a job may fail on before it is refused.
	maxFailedWorkers = 3
	// maxAttributedFailures is the number of failures after which a job is refused even if they were on fewer workers:
	// a job under a guarantee may have no other workers to run on.
	maxAttributedFailures = 6
	// maxFailures limits all failures of a job, including those attributed to workers. Without it, jobs that always
	// fail caused the quarantine of one worker after another and were never refused.
	maxFailures = 12
	// firstQuarantine is the length of the first quarantine of a worker; it doubles with each further one.
	firstQuarantine = 10 * time.Minute
	// maxQuarantine is the longest quarantine.
	maxQuarantine = 4 * time.Hour
)

// attributeFailure records a failure of a job on workers[0], if the worker is known, and puts the job back into the
// queue. Failures of a job that
// exceeds the limits of failuresExceeded don't count against workers, and failures on a worker that is quarantined
// don't count against the jobs.
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

// failuresExceeded reports whether a job has failed so often that it is refused.
func failuresExceeded(j *Job) bool {
	return len(j.Failed) >= maxAttributedFailures || countDistinct(j.Failed) >= maxFailedWorkers || j.Failures >= maxFailures
}

// countDistinct counts the different workers in a list.
func countDistinct(ids []model.WorkerID) int {
	n := 0
	for i, id := range ids {
		if !slices.Contains(ids[:i], id) {
			n++
		}
	}
	return n
}

// shouldQuarantine reports whether failures of enough different jobs count against the worker. For a worker that was
// quarantined and has had no success since, one job without other failures is enough.
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

// quarantine keeps jobs off a worker for a time. The failures on the worker no longer count against the jobs, and
// refused jobs that are thereby below the limits return to the queue.
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

// refuseJob refuses a job that exceeds the limits of failuresExceeded. Its failures no longer count against the
// workers.
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

// clearFailures clears the failures and quarantine counts of the workers on which a job has succeeded.
func (s *State) clearFailures(now time.Time, j *Job) {
	for _, sl := range j.Slots {
		ws, known := s.Workers[sl.Worker]
		if known && (len(ws.Failed) > 0 || ws.Quarantines > 0) {
			ws.Failed, ws.Quarantines = nil, 0
			s.Workers[sl.Worker] = ws
		}
	}
}

// avoidsWorker reports whether a job must not use a worker because it failed there. A job may use such a worker if all
// other workers together couldn't hold it even when empty: otherwise it would wait forever, for example in a cell with
// a single rack.
func (p *planner) avoidsWorker(j *Job, id model.WorkerID) bool {
	if !slices.Contains(j.Failed, id) {
		return false
	}
	noOtherWorkers, known := p.noOtherWorkers[j.Spec.ID]
	if !known {
		q := search{v: p.view, shape: j.Spec.Shape, perTask: PerTask(j.Spec.Shape), room: func(i int) Amount {
			n := &p.nodes[i]
			if !n.usable || slices.Contains(j.Failed, n.id) {
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
