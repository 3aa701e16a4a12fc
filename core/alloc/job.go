package alloc

import (
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/calls"
)

// job is a submitted job with the state of its tasks.
type job struct {
	job batch.Job
	// team is the number of the job's team.
	team int
	// tasks holds the tasks by occurrence, step and index. stepOffsets holds the position of each step's first task within an
	// occurrence, and then the number of tasks of an occurrence.
	tasks       []*task
	stepOffsets []int
	// updates is the scheduler's queue of jobs to store, in which the job is while queued is set.
	updates *updateQueue
	queued  bool
	// awaitingStore holds the workers with ends that are acknowledged once the job's progress is stored.
	awaitingStore []*worker
	// acceptedAt is when the job was accepted, on the owner's clock. It is at most an hour before the owner learned of the job.
	acceptedAt time.Time
	// generation counts the changes of the progress, storedGeneration is the last one that is stored.
	generation, storedGeneration uint64
	cancelled, failed            bool
	// advice holds the advice service's answers for each step.
	advice map[stepKey]*stepAdvice
	// misfitReported reports whether it was reported that a gang of the job doesn't fit on the workers.
	misfitReported bool
	// started reports whether a worker has listed any task of the job as running.
	started bool
	outcome batch.State
	endedAt int64
}

// task is a task with the state of its current run.
type task struct {
	batch.Task
	job *job
	// placedGeneration is the job's generation that records the run. The start is not sent before it is stored.
	placedGeneration uint64
	// startSent reports whether the start was sent in the agent's current session, confirmed whether the worker lists the run.
	startSent, confirmed bool
	// sent reports whether the start may have been sent to any agent, so that the run may exist.
	sent bool
	// doubt follows the attempts at the start that had no answer; nil until the start is sent.
	doubt *calls.Doubt
	// proven reports whether the worker itself has listed the run, so that it isn't on another incarnation.
	proven bool
	// mustStop reports whether the run has to end; stopSent is when a stop order was last sent.
	mustStop bool
	stopSent time.Time
	// unconfirmedSince is since when the run has been missing from the lists of a worker in an evacuated data centre.
	unconfirmedSince time.Time
	// partial reports whether the run resumed from a checkpoint or began under an earlier owner, so that its run time isn't
	// known.
	partial bool
	// startedAt is when the run was first listed, progressedAt when its percentage last changed.
	startedAt, progressedAt time.Time
	percent                 int
	// checkpointedAt is when the run first listed its last checkpoint, zero if it has listed none of its own.
	checkpointedAt time.Time
	// lastFailedRun is the last run whose failure was counted for all members of the gang.
	lastFailedRun int
	// chargedAt is up to when the run is counted in its team's usage.
	chargedAt time.Time
}

func newJob(record *batch.JobRecord, now, wall time.Time, updates *updateQueue) *job {
	j := &job{job: *record.Job, advice: map[stepKey]*stepAdvice{}, updates: updates}
	age := wall.Sub(time.UnixMilli(record.Job.Accepted))
	j.acceptedAt = now.Add(-max(0, min(age, time.Hour)))
	offset := 0
	for step := range j.job.Steps {
		j.stepOffsets = append(j.stepOffsets, offset)
		offset += j.job.Steps[step].Count
	}
	j.stepOffsets = append(j.stepOffsets, offset)
	for occurrence := range j.job.Occurrences() {
		for step := range j.job.Steps {
			for index := range j.job.Steps[step].Count {
				j.tasks = append(j.tasks, &task{Task: batch.Task{Occurrence: occurrence, Step: step, Index: index}, job: j})
			}
		}
	}
	if progress := record.Progress; progress != nil {
		j.outcome, j.endedAt = progress.Outcome, progress.Ended
		j.failed = progress.Outcome == batch.JobFailed
		j.started = progress.Started()
		for _, stored := range progress.Tasks {
			if t := j.task(stored.Occurrence, stored.Step, stored.Index); t != nil {
				t.Task = stored
			}
		}
	}
	return j
}

func (t *task) id(j *job) batch.TaskID {
	return batch.TaskID{Job: j.job.ID, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// sameStep reports whether two tasks belong to the same step and occurrence of a job.
func (t *task) sameStep(other *task) bool {
	return t.job == other.job && t.Step == other.Step && t.Occurrence == other.Occurrence
}

// resetRun clears the state of the current run that isn't stored, and its worker.
func (t *task) resetRun() {
	t.Worker, t.doubt = "", nil
	t.startSent, t.confirmed, t.sent, t.proven, t.mustStop = false, false, false, false, false
	t.stopSent, t.startedAt, t.progressedAt, t.checkpointedAt, t.unconfirmedSince = time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
	t.percent, t.chargedAt = 0, time.Time{}
}

// markChanged schedules the job's progress to be stored.
func (j *job) markChanged() {
	j.generation++
	if !j.queued {
		j.queued = true
		j.updates.jobs = append(j.updates.jobs, j)
	}
}

// task returns a task, or nil if the job has none with these numbers.
func (j *job) task(occurrence, step, index int) *task {
	if occurrence < 0 || step < 0 || step >= len(j.job.Steps) || index < 0 || index >= j.job.Steps[step].Count {
		return nil
	}
	tasks := j.stepTasks(occurrence, step)
	if tasks == nil {
		return nil
	}
	return tasks[index]
}

// stepTasks returns the tasks of a step in an occurrence, by index, or nil if there is no such occurrence.
func (j *job) stepTasks(occurrence, step int) []*task {
	perOccurrence := j.stepOffsets[len(j.stepOffsets)-1]
	if occurrence >= j.job.Occurrences() {
		return nil
	}
	first := occurrence * perOccurrence
	return j.tasks[first+j.stepOffsets[step] : first+j.stepOffsets[step+1]]
}

// gangMembers returns the tasks of the step and occurrence of t, by index.
func (j *job) gangMembers(t *task) []*task { return j.stepTasks(t.Occurrence, t.Step) }

// hasPlacedTasks reports whether any task of the job may be running.
func (j *job) hasPlacedTasks() bool {
	for _, t := range j.tasks {
		if t.Phase == batch.TaskPlaced {
			return true
		}
	}
	return false
}

func (j *job) allTasksDone() bool {
	for _, t := range j.tasks {
		if t.Phase != batch.TaskDone {
			return false
		}
	}
	return true
}

// stepDone reports whether all tasks of a step ended successfully.
func (j *job) stepDone(occurrence, step int) bool {
	for _, t := range j.stepTasks(occurrence, step) {
		if t.Phase != batch.TaskDone {
			return false
		}
	}
	return true
}

// stepReady reports whether a step is due and all steps that it depends on are done.
func (j *job) stepReady(occurrence, step int, wall time.Time, earlyStart time.Duration) bool {
	if wall.Add(earlyStart).Before(j.job.Due(occurrence)) {
		return false
	}
	for _, predecessor := range j.job.Steps[step].After {
		if !j.stepDone(occurrence, predecessor) {
			return false
		}
	}
	return true
}

// progress returns the stored form of the job's progress, without the tasks that were never placed.
func (j *job) progress() batch.Progress {
	p := batch.Progress{Outcome: j.outcome, Ended: j.endedAt}
	for _, t := range j.tasks {
		if t.Run > 0 {
			p.Tasks = append(p.Tasks, t.Task)
		}
	}
	return p
}
