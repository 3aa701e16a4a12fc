package alloc

import (
	"time"

	"wagtailhoist/core/batch"
)

// slot is the place of a task in its job.
type slot struct{ occurrence, step, index int }

// job is a job with the owner's view of its tasks.
type job struct {
	job   batch.Job
	tasks map[slot]*task
	// seen is when the job was accepted, on the owner's clock.
	seen time.Time
	// version counts the changes of the progress, saved is the last one that is stored.
	version, saved    uint64
	cancelled, broken bool
	// tickets holds what the advice service said of each step.
	tickets map[stepSlot]*advice
	// begun says that a task was seen at work.
	begun   bool
	outcome batch.State
	endedAt int64
}

// task is a task with its present run.
type task struct {
	batch.Task
	job *job
	// placedAt is the job's version that records the run; the order waits until it is stored.
	placedAt uint64
	// sent says that the order was sent in the worker's session, confirmed that the worker lists the run.
	sent, confirmed bool
	// stop says that the run has to end; stopSent is when that was last sent.
	stop     bool
	stopSent time.Time
	// began is when the run was first listed, moved when its percentage last changed.
	began, moved time.Time
	percent      int
	// failedRun is the last run whose failure was counted for the whole gang.
	failedRun int
}

func newJob(e *batch.JobRecord, now, wall time.Time) *job {
	j := &job{job: *e.Job, tasks: map[slot]*task{}, tickets: map[stepSlot]*advice{}}
	age := wall.Sub(time.UnixMilli(e.Job.Accepted))
	j.seen = now.Add(-max(0, min(age, time.Hour)))
	for k := range j.job.Occurrences() {
		for s := range j.job.Steps {
			for i := range j.job.Steps[s].Count {
				j.tasks[slot{k, s, i}] = &task{Task: batch.Task{Occurrence: k, Step: s, Index: i}, job: j}
			}
		}
	}
	if p := e.Progress; p != nil {
		j.outcome, j.endedAt = p.Outcome, p.Ended
		j.broken = p.Outcome == batch.JobFailed
		j.begun = p.Started()
		for _, stored := range p.Tasks {
			if t := j.tasks[slot{stored.Occurrence, stored.Step, stored.Index}]; t != nil {
				t.Task = stored
			}
		}
	}
	return j
}

func (t *task) id(j *job) batch.TaskID {
	return batch.TaskID{Job: j.job.ID, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// release forgets the run's volatile state.
func (t *task) release() {
	t.Worker = ""
	t.sent, t.confirmed, t.stop = false, false, false
	t.stopSent, t.began, t.moved = time.Time{}, time.Time{}, time.Time{}
	t.percent = 0
}

func (j *job) touch() { j.version++ }

// members returns the tasks of the step and occurrence of t, in order.
func (j *job) members(t *task) []*task {
	all := make([]*task, 0, j.job.Steps[t.Step].Count)
	for i := range j.job.Steps[t.Step].Count {
		all = append(all, j.tasks[slot{t.Occurrence, t.Step, i}])
	}
	return all
}

// placed reports whether a task of the job may be running.
func (j *job) placed() bool {
	for _, t := range j.tasks {
		if t.Phase == batch.TaskPlaced {
			return true
		}
	}
	return false
}

func (j *job) complete() bool {
	for _, t := range j.tasks {
		if t.Phase != batch.TaskDone {
			return false
		}
	}
	return true
}

// stepDone reports whether all tasks of a step have ended well.
func (j *job) stepDone(occurrence, step int) bool {
	for i := range j.job.Steps[step].Count {
		if j.tasks[slot{occurrence, step, i}].Phase != batch.TaskDone {
			return false
		}
	}
	return true
}

// turn reports whether the tasks of a step may begin at the time of day.
func (j *job) turn(occurrence, step int, wall time.Time, early time.Duration) bool {
	if wall.Add(early).Before(j.job.Due(occurrence)) {
		return false
	}
	for _, before := range j.job.Steps[step].After {
		if !j.stepDone(occurrence, before) {
			return false
		}
	}
	return true
}

// progress returns the stored form; tasks that were never placed are left out.
func (j *job) progress() batch.Progress {
	p := batch.Progress{Outcome: j.outcome, Ended: j.endedAt}
	for k := range j.job.Occurrences() {
		for s := range j.job.Steps {
			for i := range j.job.Steps[s].Count {
				if t := j.tasks[slot{k, s, i}]; t.Run > 0 {
					p.Tasks = append(p.Tasks, t.Task)
				}
			}
		}
	}
	return p
}
