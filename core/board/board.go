package board

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
	// Early is how long before its due time an occurrence may be placed.
	Early time.Duration
	// Remote is the factor by which work away from its data or across racks is slower; 0 means 3.
	Remote float64
	// Keep is how long a job stays known after its end; 0 means 3 minutes.
	Keep time.Duration
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

// Board is the owner's view of jobs and workers. Its zero value, with Settings, is an empty board.
type Board struct {
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
	questions []Question
}

// Event is a decision about a run or, without a worker, about a job.
type Event struct {
	What   string
	Run    batch.RunID
	Worker string
	Detail string
	Team   model.Team
	Queue  string
	// Since is the time from the job's acceptance; it is set for the first start and the end of a job.
	Since time.Duration
}

func (b *Board) trace(what string, run batch.RunID, worker, detail string) {
	if b.Trace != nil {
		b.Trace(Event{What: what, Run: run, Worker: worker, Detail: detail})
	}
}

func (b *Board) traceJob(what string, j *job, detail string, since time.Duration) {
	if b.Trace != nil {
		run := batch.RunID{Task: batch.TaskID{Job: j.job.ID}}
		b.Trace(Event{What: what, Run: run, Detail: detail, Team: j.job.Team, Queue: j.job.Queue, Since: since})
	}
}

// Lease is how long a worker goes on without its owner.
func (b *Board) Lease() time.Duration {
	if b.Settings.Lease > 0 {
		return b.Settings.Lease
	}
	return defaultLease
}

func (b *Board) remote() float64 {
	if b.Settings.Remote > 0 {
		return b.Settings.Remote
	}
	return defaultRemote
}

// grace is the time from a report to the certain end of all that its lease keeps alive.
func (b *Board) grace() time.Duration {
	return time.Duration(float64(b.Lease())*drift) + leaseSlack
}

// Adopt begins an ownership at now with the stored jobs. wall is the time of day.
func (b *Board) Adopt(now, wall time.Time, cache *batch.Cache) {
	b.jobs = map[model.JobID]*job{}
	b.workers = map[string]*worker{}
	b.adopted = now
	for id := range cache.Jobs {
		b.Update(now, wall, id, cache.Jobs[id])
	}
	b.changed = true
}

// Declare replaces the declared queues and teams.
func (b *Board) Declare(t batch.Policy) {
	b.policy = t
	b.changed = true
}

// Update takes the stored state of a job; a nil entry means that it was deleted.
func (b *Board) Update(now, wall time.Time, id model.JobID, e *batch.JobRecord) {
	if e == nil || e.Job == nil {
		if j := b.jobs[id]; j != nil && !j.placed() {
			delete(b.jobs, id)
		}
		return
	}
	j := b.jobs[id]
	if j == nil {
		j = newJob(e, now, wall)
		b.jobs[id] = j
		b.adoptRuns(j)
		b.changed = true
	}
	if e.Cancel && !j.cancelled {
		j.cancelled = true
		b.stopAll(j, "cancelled")
		b.settle(j, wall)
		b.changed = true
	}
}

// adoptRuns takes over the runs that an earlier owner placed.
func (b *Board) adoptRuns(j *job) {
	for _, t := range j.tasks {
		if t.Phase != batch.TaskPlaced {
			continue
		}
		w := b.worker(t.Worker)
		w.runs[t.id(j)] = t
		t.job = j
	}
}

// worker returns the worker with an incarnation id, known or not.
func (b *Board) worker(id string) *worker {
	w := b.workers[id]
	if w == nil {
		w = &worker{runs: map[batch.TaskID]*task{}, foreign: map[batch.RunID]foreign{}, until: b.adopted.Add(b.grace())}
		w.ID = id
		w.Node, _, w.Born = batch.ParseWorkerID(id)
		b.workers[id] = w
	}
	return w
}

// Record is a job's progress to be stored.
type Record struct {
	Job      model.JobID
	Progress batch.Progress
	// Mark is passed to Saved once the record is stored.
	Mark uint64
}

// Dirty returns the progress that isn't stored, at most limit records.
func (b *Board) Dirty(limit int) []Record {
	var records []Record
	for _, id := range b.sortedJobs() {
		if j := b.jobs[id]; j.version > j.saved && len(records) < limit {
			records = append(records, Record{id, j.progress(), j.version})
		}
	}
	return records
}

// Saved confirms that a record is stored.
func (b *Board) Saved(r Record) {
	if j := b.jobs[r.Job]; j != nil && r.Mark > j.saved {
		j.saved = r.Mark
	}
}

// Expired returns jobs that ended so long ago that they may be forgotten.
func (b *Board) Expired(wall time.Time) []model.JobID {
	keep := b.Settings.Keep
	if keep == 0 {
		keep = defaultKeep
	}
	var old []model.JobID
	for _, id := range b.sortedJobs() {
		j := b.jobs[id]
		if j.outcome != "" && j.saved >= j.version && !j.placed() && wall.Sub(time.UnixMilli(j.endedAt)) > keep {
			old = append(old, id)
		}
	}
	return old
}

func (b *Board) sortedJobs() []model.JobID {
	ids := make([]model.JobID, 0, len(b.jobs))
	for id := range b.jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (b *Board) sortedWorkers() []*worker {
	all := make([]*worker, 0, len(b.workers))
	for _, w := range b.workers {
		all = append(all, w)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
