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

	terms   batch.Terms
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
func (b *Board) Adopt(now, wall time.Time, book *batch.Book) {
	b.jobs = map[model.JobID]*job{}
	b.workers = map[string]*worker{}
	b.adopted = now
	for id := range book.Jobs {
		b.Update(now, wall, id, book.Jobs[id])
	}
	b.changed = true
}

// Declare replaces the declared queues and teams.
func (b *Board) Declare(t batch.Terms) {
	b.terms = t
	b.changed = true
}

// Update takes the stored state of a job; a nil entry means that it was deleted.
func (b *Board) Update(now, wall time.Time, id model.JobID, e *batch.Entry) {
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
		j.cancelVersion = e.CancelVersion
		b.stopAll(j, "cancelled")
		b.settle(j, wall)
		b.changed = true
	}
}

// adoptRuns takes over the runs that an earlier owner placed.
func (b *Board) adoptRuns(j *job) {
	for _, t := range j.tasks {
		if t.Phase != batch.Placed {
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

// Report takes what an agent said at now. It returns false for a worker that was replaced or given up.
func (b *Board) Report(now, wall time.Time, r *batch.Report, session uint64) bool {
	for _, other := range b.sortedWorkers() {
		if other.Node != r.Worker.Node || other.ID == r.Worker.ID {
			continue
		}
		if other.Born > r.Worker.Born {
			return false
		}
		b.lose(other, wall, "replaced by "+r.Worker.ID)
	}
	w := b.worker(r.Worker.ID)
	if w.Capacity != r.Worker.Capacity || w.Readiness != r.Worker.Readiness || w.Service != r.Worker.Service || w.listed != r.Listed {
		b.changed = true
	}
	if r.Worker.Readiness == batch.Draining && w.leaves.IsZero() {
		w.leaves = now.Add(r.Worker.Left)
	}
	w.Worker = r.Worker
	w.listed = r.Listed
	if w.session != session {
		w.session = session
		for _, t := range w.runs {
			t.sent, t.stopSent = false, time.Time{}
		}
	}
	if r.Worker.Readiness == batch.Gone {
		b.lose(w, wall, "left")
		return true
	}
	if r.Listed {
		w.until = now.Add(b.grace())
		w.heard = now
		b.list(now, wall, w, r)
	}
	return true
}

// list applies the worker's lists.
func (b *Board) list(now, wall time.Time, w *worker, r *batch.Report) {
	for i := range r.Ended {
		if e := &r.Ended[i]; e.Number > w.processed {
			w.processed = e.Number
			b.ended(now, wall, w, e)
		}
	}
	seen := make(map[batch.RunID]bool, len(r.Running))
	for i := range r.Running {
		seen[r.Running[i].RunID] = true
		b.running(now, w, &r.Running[i])
	}
	for id, t := range w.runs {
		if t.confirmed && !seen[batch.RunID{Task: id, Run: t.Run}] {
			// The order is sent again, and its answer tells whether the run has ended.
			t.confirmed, t.sent = false, false
		}
	}
	for run, f := range w.foreign {
		if !seen[run] && !now.Before(f.until) {
			delete(w.foreign, run)
			b.changed = true
		}
	}
	for _, refusal := range r.Refused {
		b.refused(now, wall, w, refusal)
	}
}

func (b *Board) running(now time.Time, w *worker, r *batch.Listing) {
	t := w.runs[r.Task]
	if t == nil || t.Run != r.Run {
		if _, known := w.foreign[r.RunID]; !known {
			w.foreign[r.RunID] = foreign{amount: b.taken(r.Task)}
			b.trace("foreign run", r.RunID, w.ID, "")
			b.changed = true
		}
		return
	}
	if !t.confirmed {
		t.confirmed = true
		t.began, t.moved = now, now
		if !t.job.begun {
			t.job.begun = true
			b.traceJob("job begun", t.job, "", now.Sub(t.job.seen))
		}
		if !t.Began {
			t.Began = true
			t.job.touch()
		}
	}
	if r.Percent != t.percent {
		t.percent, t.moved = r.Percent, now
	}
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
}

// taken is the amount of a task of any job; a task that isn't known may take anything.
func (b *Board) taken(id batch.TaskID) batch.Amount {
	if j := b.jobs[id.Job]; j != nil && id.Step < len(j.job.Steps) {
		return j.job.Steps[id.Step].Taken()
	}
	return batch.Amount{}
}

func (b *Board) ended(now, wall time.Time, w *worker, e *batch.End) {
	b.changed = true
	t := w.runs[e.Task]
	if t == nil || t.Run != e.Run {
		delete(w.foreign, e.RunID)
		// The end may be that of a member of a gang that is done: it is acknowledged once that is stored.
		w.ends = append(w.ends, pendingEnd{number: e.Number, job: b.jobs[e.Task.Job], version: b.version(e.Task.Job)})
		b.trace("end of another run", e.RunID, w.ID, string(e.Cause))
		return
	}
	j := t.job
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	b.finish(now, wall, w, t, e.Cause)
	w.ends = append(w.ends, pendingEnd{number: e.Number, job: j, version: j.version})
}

// version is the version of a job's progress, 0 if the job isn't known.
func (b *Board) version(id model.JobID) uint64 {
	if j := b.jobs[id]; j != nil {
		return j.version
	}
	return 0
}

func (b *Board) refused(now, wall time.Time, w *worker, r batch.Refusal) {
	t := w.runs[r.Task]
	if t == nil || t.Run != r.Run || t.confirmed {
		return
	}
	b.trace("refused", r.RunID, w.ID, r.Reason)
	if r.Reason == batch.RefusedTicket {
		t.job.tickets[t.stepSlot()].expire(w.ID)
	}
	if r.Reason == batch.RefusedBusy || r.Reason == batch.RefusedRoom || r.Reason == batch.RefusedInvalid {
		w.avoid(now, firstAvoid)
	}
	b.changed = true
	b.finish(now, wall, w, t, batch.EndAbsent)
}

// finish takes the end of a task's run.
func (b *Board) finish(now, wall time.Time, w *worker, t *task, cause batch.Cause) {
	j := t.job
	id := t.id(j)
	b.trace("run ended", batch.RunID{Task: id, Run: t.Run}, w.ID, string(cause))
	delete(w.runs, id)
	stopped := t.stop
	t.release()
	j.touch()
	step := &j.job.Steps[t.Step]
	switch {
	case cause == batch.EndDone && !step.Lasting:
		w.succeeded(now)
		b.done(now, j, t, step)
	case cause == batch.EndFailed && !step.Lasting:
		w.failed(now)
		b.failed(j, t, step)
	default:
		if cause == batch.EndFailed {
			w.failed(now)
		}
		t.Phase = batch.Waiting
	}
	if step.Gang && cause != batch.EndDone {
		b.breakGang(j, t, stopped)
	}
	b.settle(j, wall)
}

func (b *Board) done(now time.Time, j *job, t *task, step *batch.Step) {
	t.Phase = batch.Done
	if !step.Gang {
		return
	}
	for _, m := range j.members(t) {
		if m.Phase == batch.Placed && m != t {
			// The other members end by themselves; until their ends are listed they take room.
			w := b.worker(m.Worker)
			delete(w.runs, m.id(j))
			f := foreign{amount: step.Taken()}
			if !m.confirmed {
				f.until = now.Add(foreignTime)
			}
			w.foreign[batch.RunID{Task: m.id(j), Run: m.Run}] = f
			m.release()
		}
		m.Phase = batch.Done
	}
}

func (b *Board) failed(j *job, t *task, step *batch.Step) {
	t.Phase = batch.Waiting
	if step.Gang {
		// All members share one count.
		members := j.members(t)
		if t.failedRun == t.Run {
			return
		}
		for _, m := range members {
			m.Fails++
			m.failedRun = t.Run
		}
	} else {
		t.Fails++
	}
	if q := b.terms.Queue(&j.job); t.Fails >= max(1, q.Attempts) {
		t.Phase = batch.Failed
		j.broken = true
		b.stopAll(j, "out of attempts")
	}
}

// breakGang stops the members of a gang of which one has ended.
func (b *Board) breakGang(j *job, t *task, wanted bool) {
	for _, m := range j.members(t) {
		if t.Checkpoint != "" {
			m.Checkpoint = t.Checkpoint
		}
		if m.Phase == batch.Placed && !m.stop {
			m.stop = true
			if !wanted {
				b.trace("stop", batch.RunID{Task: m.id(j), Run: m.Run}, m.Worker, "a member of the gang has ended")
			}
		}
	}
}

// stopAll stops all runs of a job.
func (b *Board) stopAll(j *job, reason string) {
	for _, t := range j.tasks {
		if t.Phase == batch.Placed && !t.stop {
			t.stop = true
			b.trace("stop", batch.RunID{Task: t.id(j), Run: t.Run}, t.Worker, reason)
		}
	}
}

// settle records the outcome of a job whose tasks have all ended.
func (b *Board) settle(j *job, wall time.Time) {
	if j.outcome != "" {
		return
	}
	switch {
	case j.broken:
		j.outcome = batch.Broken
	case j.cancelled:
		if j.placed() {
			return
		}
		j.outcome = batch.Cancelled
	case j.complete():
		j.outcome = batch.Completed
	default:
		return
	}
	j.endedAt = wall.UnixMilli()
	b.traceJob("job ended", j, string(j.outcome), wall.Sub(time.UnixMilli(j.job.Accepted)))
	j.touch()
}

// lose ends all runs of a worker that can't be running any more.
func (b *Board) lose(w *worker, wall time.Time, reason string) {
	delete(b.workers, w.ID)
	b.changed = true
	ids := make([]batch.TaskID, 0, len(w.runs))
	for id := range w.runs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].String() < ids[j].String() })
	for _, id := range ids {
		if t := w.runs[id]; t != nil {
			b.trace("lost", batch.RunID{Task: id, Run: t.Run}, w.ID, reason)
			b.finish(time.Time{}, wall, w, t, batch.EndLost)
		}
	}
}

// Expire gives up the workers whose leases have run out.
func (b *Board) Expire(now, wall time.Time) {
	for _, w := range b.sortedWorkers() {
		if now.After(w.until) {
			b.lose(w, wall, "lease ran out")
		}
	}
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

// stopAgain is the interval at which a stop that shows no effect is sent again.
const stopAgain = time.Second

// Orders returns what the agent of a worker has to be told at now, and whether there is anything.
func (b *Board) Orders(now time.Time, id string) (batch.Orders, bool) {
	w := b.workers[id]
	if w == nil {
		return batch.Orders{}, false
	}
	o := batch.Orders{Worker: id}
	for _, task := range w.sortedRuns() {
		t := w.runs[task]
		run := batch.RunID{Task: task, Run: t.Run}
		switch {
		case t.stop && t.stopSent.IsZero(), t.stop && now.Sub(t.stopSent) > stopAgain:
			t.stopSent = now
			o.Stops = append(o.Stops, run)
		case !t.stop && !t.confirmed && !t.sent && t.job.saved >= t.placedAt:
			t.sent = true
			start := batch.Start{RunID: run, Spec: t.job.job.Spec, Ticket: t.job.tickets[t.stepSlot()].text(id)}
			if t.job.job.Steps[t.Step].Checkpoints {
				start.Checkpoint = t.Checkpoint
			}
			o.Starts = append(o.Starts, start)
		}
	}
	for run := range w.foreign {
		if b.unwanted(run) && now.Sub(w.foreignStop) > stopAgain {
			o.Stops = append(o.Stops, run)
		}
	}
	if len(w.foreign) > 0 && now.Sub(w.foreignStop) > stopAgain {
		w.foreignStop = now
	}
	before := w.seen
	w.advanceSeen()
	o.Seen = w.seen
	return o, len(o.Starts) > 0 || len(o.Stops) > 0 || w.seen > before
}

// unwanted reports whether a run that isn't placed has to be stopped: members of a gang that is done end by themselves.
func (b *Board) unwanted(run batch.RunID) bool {
	j := b.jobs[run.Task.Job]
	if j == nil {
		return true
	}
	t := j.tasks[slot{run.Task.Occurrence, run.Task.Step, run.Task.Index}]
	return t == nil || t.Phase != batch.Done || t.Run != run.Run || !j.job.Steps[t.Step].Gang
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
