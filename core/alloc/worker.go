package alloc

import (
	"slices"
	"time"

	"wagtailhoist/core/batch"
)

const (
	// firstQuarantine is the time for which a worker gets no tasks after a failure. It doubles with each failure in a row.
	firstQuarantine = 500 * time.Millisecond
	// maxQuarantine limits the quarantine after failures.
	maxQuarantine = 8 * time.Second
	// soundRunTime is after how long on a worker the failure of a long-running task no longer speaks against the worker.
	soundRunTime = 5 * time.Second
)

// worker is an incarnation of a worker with its runs.
type worker struct {
	batch.Worker
	// runs are the runs that are placed on the worker. foreign are other runs that use its resources: those that it lists
	// but the scheduler did not place there, and the remaining members of a gang that is done.
	runs    map[batch.TaskID]*task
	foreign map[batch.RunID]foreignRun
	// lateStarts holds the runs that have ended here whose start may still be carried out by a successor, and until when.
	lateStarts map[batch.RunID]time.Time
	// foreignStopSent is when stop orders for foreign runs were last sent.
	foreignStopSent time.Time
	// leaseEnd is when all runs of the worker have certainly ended, unless another report arrives before.
	leaseEnd time.Time
	// lastListed is when a report with lists last arrived.
	lastListed time.Time
	// listed reports whether the last report had lists from the worker itself.
	listed bool
	// touched reports whether the worker is in the scheduler's list of workers for which orders may be due.
	touched bool
	// evacuated reports whether the worker's data centre is evacuated.
	evacuated bool
	// ended reports whether the worker has ended, and keeps only runs whose start may still be carried out by its successor.
	ended bool
	// session is the number of the agent's connection to the owner, 0 until the first report.
	session uint64
	// leavesAt is the earliest time at which a draining worker leaves.
	leavesAt time.Time

	// lastAppliedEnd is the highest number of an end that was applied. acknowledgedEnd is the highest number up to which
	// all ends are stored.
	lastAppliedEnd, acknowledgedEnd uint64
	pendingEnds                     []pendingEnd

	// quarantinedUntil is when the worker may get tasks again. failureStreak is the number of failures in a row.
	quarantinedUntil time.Time
	failureStreak    int

	// delays is nil for most workers. It isn't part of the worker, since a plan for 3000 workers is slower by a tenth if each
	// takes 64 bytes more.
	delays *delays

	// index is the worker's position in Scheduler.sorted.
	index int
}

// delays are times before which a worker gets no tasks, or others are preferred.
type delays struct {
	// refusedUntil is the time before which the worker gets no tasks because its agent knows of an evacuation of which the
	// scheduler doesn't.
	refusedUntil time.Time
	// coldUntil is when the worker, which has started recently, is no longer slow.
	coldUntil time.Time
}

// setDelays returns the worker's delays for a change.
func (w *worker) setDelays() *delays {
	if w.delays == nil {
		w.delays = &delays{}
	}
	return w.delays
}

// foreignRun is a run that uses resources of a worker without being placed there.
type foreignRun struct {
	amount batch.Amount
	// keepUntil is the time before which the run counts even if it isn't listed: the list may be from before its start.
	keepUntil time.Time
	// late means that the run isn't known to exist, and has to be stopped before its start is carried out late.
	late bool
}

// unlistedRunTime is how long a run that was ordered but not listed yet counts as running. Lists are at most a second old.
const unlistedRunTime = 2 * time.Second

// pendingEnd is an end that is acknowledged once the job's generation is stored.
type pendingEnd struct {
	number     uint64
	job        *job
	generation uint64
}

// addPendingEnd notes that an end is to be acknowledged once the job's present progress is stored, or at once if the job is
// nil because it isn't known.
func (w *worker) addPendingEnd(number uint64, j *job) {
	e := pendingEnd{number: number, job: j}
	if j != nil {
		e.generation = j.generation
		j.awaitingStore = append(j.awaitingStore, w)
	}
	w.pendingEnds = append(w.pendingEnds, e)
}

// acknowledgeStoredEnds advances acknowledgedEnd to the last end before the first one that isn't stored.
func (w *worker) acknowledgeStoredEnds() {
	for len(w.pendingEnds) > 0 {
		e := w.pendingEnds[0]
		if e.job != nil && e.job.storedGeneration < e.generation {
			return
		}
		w.acknowledgedEnd = max(w.acknowledgedEnd, e.number)
		w.pendingEnds = w.pendingEnds[1:]
	}
}

// quarantine keeps tasks from the worker for a time. It never shortens an earlier quarantine.
func (w *worker) quarantine(now time.Time, duration time.Duration) {
	if until := now.Add(duration); until.After(w.quarantinedUntil) {
		w.quarantinedUntil = until
	}
}

// recordFailure puts the worker into quarantine after a failed run.
func (w *worker) recordFailure(now time.Time) {
	// A shift of 5 already exceeds maxQuarantine; a larger one could overflow.
	duration := firstQuarantine << min(w.failureStreak, 5)
	w.failureStreak++
	w.quarantine(now, min(duration, maxQuarantine))
}

func (w *worker) resetFailures() { w.failureStreak = 0 }

// usable reports whether the worker may get tasks of a service.
func (w *worker) usable(now time.Time, service string) bool {
	return w.ready(service) && !w.evacuated && !now.Before(w.quarantinedUntil) && (w.delays == nil || !now.Before(w.delays.refusedUntil))
}

// ready reports whether the worker has said that it accepts runs of a service.
func (w *worker) ready(service string) bool {
	return w.listed && w.Readiness == batch.WorkerReady && w.Service == service && w.session != 0
}

// cold reports whether the worker is slow because it has started recently.
func (w *worker) cold(now time.Time) bool { return w.delays != nil && now.Before(w.delays.coldUntil) }

// freeCapacity returns the capacity that no run uses. Runs that are being stopped still use theirs.
func (w *worker) freeCapacity() batch.Amount {
	free := w.Capacity
	for _, t := range w.runs {
		free = free.Sub(t.job.job.Steps[t.Step].Allocation())
	}
	for _, f := range w.foreign {
		free = free.Sub(f.amount)
	}
	return free
}

// rack returns the worker's rack, which is its last label, or "" if it has no labels.
func (w *worker) rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

func (w *worker) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// conflictsWith reports whether a task of the step would run beside one that it disturbs, or that disturbs it: tasks that
// are exempt from CPU accounting slow down tasks with a limited tail latency by an amount that can't be predicted.
func (w *worker) conflictsWith(step *batch.Step) bool {
	if !step.CPUExempt && step.MaxTailLatency == 0 {
		return false
	}
	for _, t := range w.runs {
		other := &t.job.job.Steps[t.Step]
		if step.CPUExempt && other.MaxTailLatency > 0 || step.MaxTailLatency > 0 && other.CPUExempt {
			return true
		}
	}
	return false
}

func (w *worker) sortedRuns() []batch.TaskID {
	ids := make([]batch.TaskID, 0, len(w.runs))
	for id := range w.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, batch.TaskID.Compare)
	return ids
}
