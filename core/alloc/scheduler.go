package alloc

import (
	"sort"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// Settings are the limits that decisions depend on.
type Settings struct {
	// Lease is how long a worker goes on without its owner; 0 means 9.5 s.
	Lease time.Duration
	// EarlyStart is how long before its due time an occurrence may be placed.
	EarlyStart time.Duration
	// RemoteSlowdown is the factor by which work away from its data or across racks is slower; 0 means 3.
	RemoteSlowdown float64
	// Retention is how long a job stays known after its end; 0 means 3 minutes.
	Retention time.Duration
}

const (
	defaultLease  = 9500 * time.Millisecond
	defaultRemote = 3
	defaultKeep   = 3 * time.Minute
	// drift bounds how much slower a worker's clock runs than the owner's: 2 % by the platform's contract, and reserve.
	drift = 1.03
	// leaseSlack covers the sampling of the worker's clock and the stop of the runs after the lease.
	leaseSlack = 400 * time.Millisecond
)

// Scheduler is the owner's view of jobs and workers. Its zero value, with Settings, knows no job and no worker.
type Scheduler struct {
	Settings Settings
	// Trace is called with each decision about a run; nil means not at all.
	Trace func(Event)

	policy  batch.Policy
	jobs    map[model.JobID]*job
	workers map[string]*worker
	// adopted is when the owner took over; runs on workers that it hasn't heard of may go on for a lease from then.
	adopted time.Time
	// changed says that placing may find something new.
	changed bool
	// questions are the tickets that the last plan lacked.
	questions []AdviceQuery
}

// Event is a decision about a run or, without a worker, about a job.
type Event struct {
	Kind   string
	Run    batch.RunID
	Worker string
	Detail string
	Team   model.Team
	Queue  string
	// Since is the time from the job's acceptance; it is set for the first start and the end of a job.
	Since time.Duration
}

func (s *Scheduler) trace(what string, run batch.RunID, worker, detail string) {
	if s.Trace != nil {
		s.Trace(Event{Kind: what, Run: run, Worker: worker, Detail: detail})
	}
}

func (s *Scheduler) traceJob(what string, j *job, detail string, since time.Duration) {
	if s.Trace != nil {
		run := batch.RunID{Task: batch.TaskID{Job: j.job.ID}}
		s.Trace(Event{Kind: what, Run: run, Detail: detail, Team: j.job.Team, Queue: j.job.Queue, Since: since})
	}
}

// LeaseDuration is how long a worker goes on without its owner.
func (s *Scheduler) LeaseDuration() time.Duration {
	if s.Settings.Lease > 0 {
		return s.Settings.Lease
	}
	return defaultLease
}

func (s *Scheduler) remote() float64 {
	if s.Settings.RemoteSlowdown > 0 {
		return s.Settings.RemoteSlowdown
	}
	return defaultRemote
}

// grace is the time from a report to the certain end of all that its lease keeps alive.
func (s *Scheduler) grace() time.Duration {
	return time.Duration(float64(s.LeaseDuration())*drift) + leaseSlack
}

// StartTerm begins an ownership at now with the stored jobs. wall is the time of day.
func (s *Scheduler) StartTerm(now, wall time.Time, cache *batch.Cache) {
	s.jobs = map[model.JobID]*job{}
	s.workers = map[string]*worker{}
	s.adopted = now
	for id := range cache.Jobs {
		s.UpdateJob(now, wall, id, cache.Jobs[id])
	}
	s.changed = true
}

// SetPolicy replaces the declared queues and teams.
func (s *Scheduler) SetPolicy(t batch.Policy) {
	s.policy = t
	s.changed = true
}

// UpdateJob takes the stored state of a job; a nil record means that it was deleted.
func (s *Scheduler) UpdateJob(now, wall time.Time, id model.JobID, e *batch.JobRecord) {
	if e == nil || e.Job == nil {
		if j := s.jobs[id]; j != nil && !j.placed() {
			delete(s.jobs, id)
		}
		return
	}
	j := s.jobs[id]
	if j == nil {
		j = newJob(e, now, wall)
		s.jobs[id] = j
		s.adoptRuns(j)
		s.changed = true
	}
	if e.Cancel && !j.cancelled {
		j.cancelled = true
		s.stopAll(j, "cancelled")
		s.settle(j, wall)
		s.changed = true
	}
}

// adoptRuns takes over the runs that an earlier owner placed.
func (s *Scheduler) adoptRuns(j *job) {
	for _, t := range j.tasks {
		if t.Phase != batch.TaskPlaced {
			continue
		}
		w := s.worker(t.Worker)
		w.runs[t.id(j)] = t
		t.job = j
	}
}

// worker returns the worker with an incarnation id, known or not.
func (s *Scheduler) worker(id string) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{runs: map[batch.TaskID]*task{}, foreign: map[batch.RunID]foreign{}, until: s.adopted.Add(s.grace())}
		w.ID = id
		w.Node, _, w.Born = batch.ParseWorkerID(id)
		s.workers[id] = w
	}
	return w
}

// ProgressUpdate is a job's progress to be stored.
type ProgressUpdate struct {
	Job      model.JobID
	Progress batch.Progress
	// Generation is passed to ConfirmStored once the record is stored.
	Generation uint64
}

// PendingUpdates returns the progress that isn't stored, at most limit records.
func (s *Scheduler) PendingUpdates(limit int) []ProgressUpdate {
	var records []ProgressUpdate
	for _, id := range s.sortedJobs() {
		if j := s.jobs[id]; j.version > j.saved && len(records) < limit {
			records = append(records, ProgressUpdate{id, j.progress(), j.version})
		}
	}
	return records
}

// ConfirmStored confirms that a record is stored.
func (s *Scheduler) ConfirmStored(r ProgressUpdate) {
	if j := s.jobs[r.Job]; j != nil && r.Generation > j.saved {
		j.saved = r.Generation
	}
}

// ExpiredJobs returns jobs that ended so long ago that they may be forgotten.
func (s *Scheduler) ExpiredJobs(wall time.Time) []model.JobID {
	keep := s.Settings.Retention
	if keep == 0 {
		keep = defaultKeep
	}
	var old []model.JobID
	for _, id := range s.sortedJobs() {
		j := s.jobs[id]
		if j.outcome != "" && j.saved >= j.version && !j.placed() && wall.Sub(time.UnixMilli(j.endedAt)) > keep {
			old = append(old, id)
		}
	}
	return old
}

func (s *Scheduler) sortedJobs() []model.JobID {
	ids := make([]model.JobID, 0, len(s.jobs))
	for id := range s.jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (s *Scheduler) sortedWorkers() []*worker {
	all := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		all = append(all, w)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
