package replay

import (
	"fmt"
	"strconv"
	"time"

	"wagtailhoist/core/batch"
)

// run is a run on a worker.
type run struct {
	batch.RunStatus
	job *submitted
	// begun is when the run began to work, endsAt when it ends by itself, with cause.
	begun, endsAt time.Time
	cause         batch.Cause
	// worked is the work that its checkpoint contains; slowdown is the factor by which it runs slower than its work.
	worked   time.Duration
	slowdown float64
	// stopAt is when the run ends after a stop order, zero without one.
	stopAt time.Time
}

// worker is a simulated worker, which carries out the owner's orders.
type worker struct {
	batch.Worker
	runs    map[batch.TaskID]*run
	ended   []batch.End
	lastEnd uint64
	acked   uint64
	// absentUntil is when a worker that was lost is back; leavesAt is when a draining one leaves, for leavesFor.
	absentUntil time.Time
	leavesAt    time.Time
	leavesFor   time.Duration
	// failing reports whether the worker fails what it starts.
	failing bool
	// speed is the factor by which it works faster than others.
	speed float64
	// reportAt is when the next report is due.
	reportAt time.Time
}

// newWorker returns worker i of a fleet.
func newWorker(f *Fleet, i int) *worker {
	w := &worker{runs: map[batch.TaskID]*run{}, speed: 1}
	w.Node = fmt.Sprintf("n%04d", i)
	w.Service, w.Labels = service, []string{"a", rackOf(i / f.Rack)}
	if len(f.Speeds) > 0 {
		kind := i % len(f.Speeds)
		w.speed, w.Labels[0] = f.Speeds[kind], "kind-"+strconv.Itoa(kind)
	}
	w.Capacity = batch.Amount{CPU: f.Cores * 1000, Memory: f.Memory, GPU: f.GPUs}
	w.renew()
	return w
}

// renew starts another incarnation of the worker, which has no runs.
func (w *worker) renew() {
	w.Born++
	w.ID = batch.WorkerID(w.Node, "w", w.Born)
	w.Readiness, w.MinTimeLeft = batch.WorkerReady, 0
	w.ended, w.lastEnd, w.acked = nil, 0, 0
	clear(w.runs)
}

// end ends a run and adds it to the list of ends.
func (w *worker) end(r *run, cause batch.Cause, checkpoint string) {
	delete(w.runs, r.Task)
	w.lastEnd++
	w.ended = append(w.ended, batch.End{Number: w.lastEnd, RunID: r.RunID, Cause: cause, Checkpoint: checkpoint})
}

// report returns a report of the worker's runs and ends.
func (w *worker) report(now time.Time) *batch.Report {
	r := &batch.Report{Worker: w.Worker, Listed: true}
	for _, run := range w.runs {
		status := run.RunStatus
		status.Percent = run.percent(now)
		r.Running = append(r.Running, status)
	}
	for _, e := range w.ended {
		if e.Number > w.acked {
			r.Ended = append(r.Ended, e)
		}
	}
	return r
}

// acknowledge forgets the ends up to number.
func (w *worker) acknowledge(number uint64) {
	w.acked = max(w.acked, number)
	for len(w.ended) > 0 && w.ended[0].Number <= w.acked {
		w.ended = w.ended[1:]
	}
}

// progress returns the work that the run has done since its beginning, checkpoints included.
func (r *run) progress(now time.Time) time.Duration {
	done := time.Duration(float64(max(0, now.Sub(r.begun))) / r.slowdown)
	return min(r.job.work, r.worked+done)
}

// percent returns the share of the work that is done.
func (r *run) percent(now time.Time) int {
	return int(100 * float64(r.progress(now)) / float64(r.job.work))
}
