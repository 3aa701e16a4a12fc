package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
)

const (
	// maxClockLag is by how much the worker's clock may lag behind before its runs count as outliving the lease. The drift of the clocks
	// stays below it, and the owner waits for longer than that after the end of the lease.
	maxClockLag = 250 * time.Millisecond
	// stopLead is how long before the end of the lease runs that would outlive it are stopped. A stop takes up to 900 ms, and the owner
	// takes the runs as ended no sooner than 400 ms after the lease.
	stopLead = 500 * time.Millisecond
	// leaseCheckInterval is the longest interval between checks of the lease. Timers don't count the time in which the machine is
	// suspended.
	leaseCheckInterval = 100 * time.Millisecond
	// leaseStopInterval is the interval at which runs are stopped again that are still listed after the lease.
	leaseStopInterval = time.Second
)

// syncClock relates the worker's clock to the boot-time clock. The worker's clock has gone on since it was read for the
// answer that arrives now, so that a deadline computed from it is no later than the end of the lease.
func (r *Runner) syncClock(workerClock int64, now time.Time) {
	if workerClock > 0 {
		r.workerClock, r.clockReadAt = workerClock, now
	}
}

// deadline returns the end of the lease on the worker's clock, 0 if there is no lease or the clock isn't known.
func (r *Runner) deadline() int64 {
	if r.clockReadAt.IsZero() || r.leaseEnd.IsZero() {
		return 0
	}
	return r.workerClock + r.leaseEnd.Sub(r.clockReadAt).Milliseconds()
}

// grantLease returns the end of the lease on the worker's clock for a call that tells it to the worker, 0 if there is none.
func (r *Runner) grantLease() int64 {
	deadline := r.deadline()
	r.granted = max(r.granted, deadline)
	return deadline
}

// outlivesLease reports whether the worker would let runs go on after the lease because its clock has stood still: it doesn't count the
// time in which the machine was suspended, which the boot-time clock counts.
func (r *Runner) outlivesLease() bool {
	return r.granted > 0 && r.granted-r.deadline() > maxClockLag.Milliseconds()
}

// extendLease extends the lease with the answer to a report. The lease counts from the sending of the report, since the
// answer may be late.
func (r *Runner) extendLease(o *batch.Orders) {
	sent, ok := r.sendTimes[o.Sequence]
	if !ok {
		return
	}
	r.answeredAt = clock.Now()
	for sequence := range r.sendTimes {
		if sequence <= o.Sequence {
			delete(r.sendTimes, sequence)
		}
	}
	if end := sent.Add(o.Lease); o.Lease > 0 && end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

// leaseLoop enforces the agent's lease until ctx ends.
func (r *Runner) leaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, r.enforceLease(ctx, clock.Now()))
	}
}

// enforceLease stops all runs once the lease has ended, or shortly before if the worker would let them go on. It returns after which time
// the lease has to be checked again.
func (r *Runner) enforceLease(ctx context.Context, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaseEnd.IsZero() || r.status.Worker.Readiness == batch.WorkerDeparted || len(r.list.Running) == 0 && len(r.orders) == 0 {
		return leaseCheckInterval
	}
	left := r.leaseEnd.Sub(now)
	if left > stopLead {
		return min(left-stopLead, leaseCheckInterval)
	}
	if left > 0 && !r.outlivesLease() {
		if now.Sub(r.clockReadAt) > leaseCheckInterval {
			// The worker's clock may have stood still since it was read.
			signal(r.pollNow)
		}
		return min(left, leaseCheckInterval)
	}
	runs := slices.Collect(maps.Keys(r.orders))
	for i := range r.list.Running {
		runs = append(runs, r.list.Running[i].RunID)
	}
	stopped := 0
	for _, run := range runs {
		if pending := r.orders[run]; pending == nil || !pending.stop {
			r.execute(ctx, run, true, batch.StartOrder{})
			stopped++
		}
	}
	if stopped > 0 {
		r.Log.Warn("lease of the owner ends; stopping the runs of the worker", "worker", r.status.Worker.ID, "runs", stopped,
			"left", left.Milliseconds(), "lag", r.granted-r.deadline())
	}
	return leaseStopInterval
}
