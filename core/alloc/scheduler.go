package alloc

import (
	"sort"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// Settings configures a Scheduler.
type Settings struct {
	// Lease is how long a worker's runs go on without a renewal by the owner; 0 means 9.5 s.
	Lease time.Duration
	// EarlyStart is how long before its due time an occurrence may be placed.
	EarlyStart time.Duration
	// RemoteSlowdown is the factor by which tasks run slower away from their data or across racks; 0 means 3.
	RemoteSlowdown float64
	// Retention is how long the records of a job are kept after its end; 0 means 3 minutes.
	Retention time.Duration
}

const (
	defaultLease          = 9500 * time.Millisecond
	defaultRemoteSlowdown = 3
	defaultRetention      = 3 * time.Minute
	// clockDriftFactor is the most by which a worker's clock may be slower than the owner's. The platform's contract
	// allows 2 %; the rest is a reserve.
	clockDriftFactor = 1.03
	// leaseSlack covers the error in sampling the worker's clock and the time to stop the runs after the lease.
	leaseSlack = 400 * time.Millisecond
)

// Scheduler places the tasks of batch jobs on workers for one term of the owner. The zero value must be initialized with
// StartTerm.
type Scheduler struct {
	Settings Settings
	// Trace is called with each decision; it may be nil.
	Trace func(Event)

	policy  batch.Policy
	jobs    map[model.JobID]*job
	workers map[string]*worker
	// termStart is when the owner's term began. Runs on workers that have not reported since may go on for a lease from then.
	termStart time.Time
	// needsPlan is set when the state has changed in a way that may allow or require other placements.
	needsPlan bool
	// adviceQueries are the queries for tickets that the last plan lacked, the most urgent step first.
	adviceQueries []AdviceQuery
}

// Event is a decision or an observation about a run, or about a job if Queue is set.
type Event struct {
	// Kind is both a log message and a metric label.
	Kind string
	// Run identifies the run. For an event of a job only the job is set.
	Run    batch.RunID
	Worker string
	// Detail is the reason or the cause. For an event of a job it is the final state, empty at the job's start.
	Detail string
	// Team and Queue are set for events of jobs only.
	Team  model.Team
	Queue string
	// Since is the time from the job's acceptance. It is set for events of jobs only.
	Since time.Duration
}

// trace reports an event of a run. kind is both a log message and a metric label.
func (s *Scheduler) trace(kind string, run batch.RunID, worker, detail string) {
	if s.Trace != nil {
		s.Trace(Event{Kind: kind, Run: run, Worker: worker, Detail: detail})
	}
}

// traceJob reports the start or the end of a job.
func (s *Scheduler) traceJob(kind string, j *job, detail string, since time.Duration) {
	if s.Trace != nil {
		run := batch.RunID{Task: batch.TaskID{Job: j.job.ID}}
		s.Trace(Event{Kind: kind, Run: run, Detail: detail, Team: j.job.Team, Queue: j.job.Queue, Since: since})
	}
}

// LeaseDuration returns how long a worker's runs go on after the report that the owner answered with a lease.
func (s *Scheduler) LeaseDuration() time.Duration {
	if s.Settings.Lease > 0 {
		return s.Settings.Lease
	}
	return defaultLease
}

func (s *Scheduler) remoteSlowdown() float64 {
	if s.Settings.RemoteSlowdown > 0 {
		return s.Settings.RemoteSlowdown
	}
	return defaultRemoteSlowdown
}

// leaseTimeout returns how long after a worker's last report with lists all its runs have certainly ended.
func (s *Scheduler) leaseTimeout() time.Duration {
	return time.Duration(float64(s.LeaseDuration())*clockDriftFactor) + leaseSlack
}

// StartTerm initializes the scheduler at the start of a term of leadership with the stored jobs.
func (s *Scheduler) StartTerm(now, wall time.Time, cache *batch.Cache) {
	s.jobs = map[model.JobID]*job{}
	s.workers = map[string]*worker{}
	s.termStart = now
	for id := range cache.Jobs {
		s.UpdateJob(now, wall, id, cache.Jobs[id])
	}
	s.needsPlan = true
}

// SetPolicy replaces the declared queues and teams.
func (s *Scheduler) SetPolicy(declared batch.Policy) {
	s.policy = declared
	s.needsPlan = true
}

// UpdateJob applies the stored state of a job; a nil record means that the job was deleted.
func (s *Scheduler) UpdateJob(now, wall time.Time, id model.JobID, record *batch.JobRecord) {
	if record == nil || record.Job == nil {
		if j := s.jobs[id]; j != nil && !j.hasPlacedTasks() {
			delete(s.jobs, id)
		}
		return
	}
	j := s.jobs[id]
	if j == nil {
		j = newJob(record, now, wall)
		s.jobs[id] = j
		s.adoptRuns(j)
		s.needsPlan = true
	}
	if record.Cancelled && !j.cancelled {
		j.cancelled = true
		s.stopJob(j, "cancelled")
		s.recordOutcome(j, wall)
		s.needsPlan = true
	}
}

// adoptRuns adds the runs of a job that an earlier owner placed to the workers on which it placed them.
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

// worker returns the worker with an incarnation ID. A worker that has not reported yet is added; its runs may go on for
// a lease from the start of the term.
func (s *Scheduler) worker(id string) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{runs: map[batch.TaskID]*task{}, foreign: map[batch.RunID]foreignRun{}, leaseEnd: s.termStart.Add(s.leaseTimeout())}
		w.ID = id
		w.Node, _, w.Born = batch.ParseWorkerID(id)
		s.workers[id] = w
	}
	return w
}

// ProgressUpdate is a job's progress that has to be stored.
type ProgressUpdate struct {
	Job      model.JobID
	Progress batch.Progress
	// Generation counts the changes of the job's progress.
	Generation uint64
}

// PendingUpdates returns the progress of up to limit jobs whose last change isn't stored.
func (s *Scheduler) PendingUpdates(limit int) []ProgressUpdate {
	var records []ProgressUpdate
	for _, id := range s.sortedJobs() {
		if j := s.jobs[id]; j.generation > j.storedGeneration && len(records) < limit {
			records = append(records, ProgressUpdate{id, j.progress(), j.generation})
		}
	}
	return records
}

// ConfirmStored records that an update is stored, so that the orders and acknowledgements that depend on it are sent.
func (s *Scheduler) ConfirmStored(r ProgressUpdate) {
	if j := s.jobs[r.Job]; j != nil && r.Generation > j.storedGeneration {
		j.storedGeneration = r.Generation
	}
}

// ExpiredJobs returns the jobs that ended longer ago than the retention and whose records may be deleted.
func (s *Scheduler) ExpiredJobs(wall time.Time) []model.JobID {
	retention := s.Settings.Retention
	if retention == 0 {
		retention = defaultRetention
	}
	var expired []model.JobID
	for _, id := range s.sortedJobs() {
		j := s.jobs[id]
		if j.outcome != "" && j.storedGeneration >= j.generation && !j.hasPlacedTasks() && wall.Sub(time.UnixMilli(j.endedAt)) > retention {
			expired = append(expired, id)
		}
	}
	return expired
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
