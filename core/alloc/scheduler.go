package alloc

import (
	"slices"
	"strings"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/calls"
	"wagtailhoist/core/learn"
	"wagtailhoist/core/model"
	"wagtailhoist/core/share"
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
	// TeamOrder is how the waiting work of different teams is ordered.
	TeamOrder TeamOrder
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
	// active holds the jobs without an outcome.
	active map[model.JobID]*job
	// sorted holds the workers by ID, byNode the incarnations of each node.
	sorted []*worker
	byNode map[string][]*worker
	// touched holds the workers for which orders may be due.
	touched []*worker
	updates updateQueue
	// learned is what was learned about run times.
	learned learn.Model
	// usage is what teams have used recently, if they take turns.
	usage share.Usage
	// chargedAt is when all runs were last charged. teamNames holds the teams by number, teamNumbers the number of each.
	chargedAt   time.Time
	teamNames   []model.Team
	teamNumbers map[model.Team]int
	// termStart is when the owner's term began. Runs on workers that have not reported since may go on for a lease from then.
	termStart time.Time
	// needsPlan is set when the state has changed in a way that may allow or require other placements.
	needsPlan bool
	// planned holds the steps that waited at the last plan, in its order.
	planned []*pendingStep
	// adviceQueries are the queries for tickets that the last plan lacked, the most urgent step first.
	adviceQueries []AdviceQuery
	// evacuated holds the evacuated data centres, racks the data centre in which each rack was last reported.
	evacuated map[string]*evacuation
	racks     map[string]string
	// shortTeams are the teams whose guarantees don't fit outside of the evacuated data centres.
	shortTeams map[model.Team]bool
}

// KindRefused is the kind of an event that reports a run which an agent or a worker has refused to start; Detail is the reason.
const KindRefused = "refused"

// Event is a decision or an observation about a run, about a job if Queue is set, or about evacuated data centres if Centre is
// set.
type Event struct {
	// Kind is both a log message and a metric label.
	Kind string
	// Run identifies the run. For an event of a job only the job is set.
	Run    batch.RunID
	Worker string
	// Detail is the reason or the cause. For an event of a job it is the final state, empty at the job's start.
	Detail string
	// Team and Queue are set for events of jobs. Team is also set if an evacuation concerns its guarantee.
	Team  model.Team
	Queue string
	// Centre is set for events of evacuated data centres only; Runs is the number of runs that are left there.
	Centre string
	Runs   int
	// Since is the time from the job's acceptance, or from when the scheduler learned of the evacuation.
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
	s.jobs, s.active = map[model.JobID]*job{}, map[model.JobID]*job{}
	s.workers, s.byNode = map[string]*worker{}, map[string][]*worker{}
	s.sorted, s.touched, s.updates, s.learned = nil, nil, updateQueue{}, learn.Model{}
	s.usage, s.chargedAt, s.teamNames, s.teamNumbers = share.Usage{}, time.Time{}, nil, map[model.Team]int{}
	s.setWeights()
	s.termStart = now
	s.evacuated, s.racks, s.shortTeams = nil, map[string]string{}, nil
	s.planned = nil
	for id := range cache.Jobs {
		s.UpdateJob(now, wall, id, cache.Jobs[id])
	}
	s.needsPlan = true
}

// SetPolicy replaces the declared queues and teams.
func (s *Scheduler) SetPolicy(declared batch.Policy) {
	s.policy = declared
	s.setWeights()
	s.needsPlan = true
}

// UpdateJob applies the stored state of a job; a nil record means that the job was deleted.
func (s *Scheduler) UpdateJob(now, wall time.Time, id model.JobID, record *batch.JobRecord) {
	if record == nil || record.Job == nil {
		if j := s.jobs[id]; j != nil && !j.hasPlacedTasks() {
			delete(s.jobs, id)
			delete(s.active, id)
		}
		return
	}
	j := s.jobs[id]
	if j == nil {
		j = newJob(record, now, wall, &s.updates)
		s.jobs[id] = j
		j.team = s.teamNumber(j.job.Team)
		if j.outcome == "" {
			s.active[id] = j
		}
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

// adoptRuns adds the runs of a job that an earlier owner placed to the workers on which it placed them, and learns from the
// run times that it recorded.
func (s *Scheduler) adoptRuns(j *job) {
	s.learnStored(j)
	for _, t := range j.tasks {
		if t.Phase != batch.TaskPlaced {
			continue
		}
		w := s.worker(t.Worker)
		w.runs[t.id(j)] = t
		// The earlier owner may have sent the start.
		t.job, t.partial, t.sent = j, true, true
		t.doubt = &calls.Doubt{}
		t.doubt.Order(s.termStart)
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
		s.byNode[w.Node] = append(s.byNode[w.Node], w)
		at, _ := slices.BinarySearchFunc(s.sorted, id, compareWorkerID)
		s.sorted = slices.Insert(s.sorted, at, w)
		s.renumber(at)
	}
	return w
}

func compareWorkerID(w *worker, id string) int { return strings.Compare(w.ID, id) }

// renumber sets the indexes of the workers from a position on.
func (s *Scheduler) renumber(from int) {
	for i := from; i < len(s.sorted); i++ {
		s.sorted[i].index = i
	}
}

// deleteWorker removes a worker from all indexes.
func (s *Scheduler) deleteWorker(w *worker) {
	delete(s.workers, w.ID)
	s.byNode[w.Node] = slices.DeleteFunc(s.byNode[w.Node], func(other *worker) bool { return other == w })
	if len(s.byNode[w.Node]) == 0 {
		delete(s.byNode, w.Node)
	}
	s.sorted = slices.Delete(s.sorted, w.index, w.index+1)
	s.renumber(w.index)
}

// touch notes that orders may be due for a worker.
func (s *Scheduler) touch(w *worker) {
	if w != nil && !w.touched {
		w.touched = true
		s.touched = append(s.touched, w)
	}
}

// TakeTouched returns the workers for which orders may have become due since the last call. Orders that are resent after a
// time are not included.
func (s *Scheduler) TakeTouched() []string {
	ids := make([]string, 0, len(s.touched))
	for _, w := range s.touched {
		w.touched = false
		ids = append(ids, w.ID)
	}
	s.touched = s.touched[:0]
	return ids
}

// orderStop notes that a run has to be stopped.
func (s *Scheduler) orderStop(t *task) {
	t.mustStop = true
	s.touch(s.workers[t.Worker])
}

// traceStop reports the reason for which a run is stopped.
func (s *Scheduler) traceStop(t *task, reason string) {
	s.trace("stop", batch.RunID{Task: t.id(t.job), Run: t.Run}, t.Worker, reason)
}

// updateQueue holds the jobs with progress to be stored, in the order of their first change that isn't stored.
type updateQueue struct{ jobs []*job }

// ProgressUpdate is a job's progress that has to be stored.
type ProgressUpdate struct {
	Job      model.JobID
	Progress batch.Progress
	// Generation counts the changes of the job's progress.
	Generation uint64
}

// PendingUpdates returns the progress of up to limit jobs whose last change isn't stored, except those for which skip
// returns true. The job whose change has waited longest comes first.
func (s *Scheduler) PendingUpdates(limit int, skip func(model.JobID) bool) []ProgressUpdate {
	var records []ProgressUpdate
	waiting := s.updates.jobs[:0]
	for _, j := range s.updates.jobs {
		if j.generation <= j.storedGeneration || s.jobs[j.job.ID] != j {
			j.queued = false
			continue
		}
		waiting = append(waiting, j)
		if len(records) < limit && !skip(j.job.ID) {
			records = append(records, ProgressUpdate{j.job.ID, j.progress(), j.generation})
		}
	}
	clear(s.updates.jobs[len(waiting):])
	s.updates.jobs = waiting
	return records
}

// ConfirmStored records that an update is stored, so that the orders and acknowledgements that depend on it are sent.
func (s *Scheduler) ConfirmStored(r ProgressUpdate) {
	j := s.jobs[r.Job]
	if j == nil || r.Generation <= j.storedGeneration {
		return
	}
	j.storedGeneration = r.Generation
	for _, t := range j.tasks {
		if t.Phase == batch.TaskPlaced && !t.startSent {
			s.touch(s.workers[t.Worker])
		}
	}
	for _, w := range j.awaitingStore {
		if s.workers[w.ID] == w {
			s.touch(w)
		}
	}
	if j.storedGeneration == j.generation {
		j.awaitingStore = nil
	}
}

// ExpiredJobs returns the jobs that ended longer ago than the retention and whose records may be deleted.
func (s *Scheduler) ExpiredJobs(wall time.Time) []model.JobID {
	retention := s.Settings.Retention
	if retention == 0 {
		retention = defaultRetention
	}
	var expired []model.JobID
	for id, j := range s.jobs {
		if j.outcome != "" && j.storedGeneration >= j.generation && !j.hasPlacedTasks() && wall.Sub(time.UnixMilli(j.endedAt)) > retention {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// activeJobs returns the jobs without an outcome by ID.
func (s *Scheduler) activeJobs() []*job {
	all := make([]*job, 0, len(s.active))
	for _, j := range s.active {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *job) int { return strings.Compare(string(a.job.ID), string(b.job.ID)) })
	return all
}
