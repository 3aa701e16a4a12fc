package runner

import (
	"context"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
)

// execute begins to carry out an order in the background. A stop cancels a pending start of the same run; any other
// order for a run with a pending order is ignored.
func (r *Runner) execute(ctx context.Context, run batch.RunID, stop bool, s batch.StartOrder) {
	if pending := r.orders[run]; pending != nil {
		if pending.stop || !stop {
			return
		}
		pending.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	o := &order{born: r.status.Worker.Born, stop: stop, cancel: cancel}
	r.orders[run] = o
	target := Target{r.status.Instance, r.fence}
	go func() {
		defer cancel()
		if stop {
			r.stop(ctx, target, run, o, batch.RefusedStopped)
		} else {
			r.start(ctx, target, s, o)
		}
	}()
}

// start carries out a start order, with retries until the worker answers. A refused run is stopped before the refusal is
// reported, since an earlier attempt without an answer may still be carried out.
func (r *Runner) start(ctx context.Context, t Target, s batch.StartOrder, o *order) {
	for attempts := 1; ctx.Err() == nil; attempts++ {
		result, deadline, err := r.tryStart(ctx, t, o.born, s)
		switch {
		case err != nil:
			r.Log.Warn("start not answered by the worker; retrying", "task", s.Task.String(), "run", s.Run, "tries", attempts, "error", err)
			clock.Sleep(ctx, orderRetryPause)
		case result.Reason == "":
			if r.answeredBySuccessor(result.Clock) {
				r.Log.Warn("start carried out by the worker's successor; stopping the run", "task", s.Task.String(), "run", s.Run, "clock", result.Clock)
				r.stop(ctx, t, s.RunID, o, batch.RefusedDraining)
				return
			}
			r.Log.Info("started", "task", s.Task.String(), "run", s.Run, "deadline", deadline, "clock", result.Clock, "tries", attempts)
			r.handleStarted(s, o, result.Clock)
			return
		case result.Reason == batch.RefusedFence:
			r.Log.Warn("start refused by the worker: the order's fence is out of date", "task", s.Task.String(), "run", s.Run, "fence", t.Fence)
			r.finishOrder(s.RunID, o, nil)
			return
		default:
			refuser := "worker"
			if deadline == 0 {
				refuser = "agent"
			}
			r.Log.Info("start refused by the "+refuser+"; stopping the run", "task", s.Task.String(), "run", s.Run, "reason", result.Reason)
			r.stop(ctx, t, s.RunID, o, result.Reason)
			return
		}
	}
}

// answeredBySuccessor reports whether an order that was meant for the worker was answered by a later incarnation under its name. The
// successor's clock starts anew, while an answer of the worker itself is older than the last list by less than the time limit of a call.
func (r *Runner) answeredBySuccessor(workerClock int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	startedAnew := workerClock > 0 && workerClock+orderTimeout.Milliseconds() < r.list.Clock
	return startedAnew || r.hasSuccessor || r.status.Worker.Readiness == batch.WorkerDeparted
}

// tryStart makes one attempt to start a run once few enough others are under way, and returns the end of the lease that it was
// started with. Without a lease, while the worker drains or in an evacuated data centre, the start is refused without a call, and
// the deadline is 0.
func (r *Runner) tryStart(ctx context.Context, t Target, born int64, s batch.StartOrder) (OrderResult, int64, error) {
	select {
	case r.startSlots <- struct{}{}:
		defer func() { <-r.startSlots }()
	case <-ctx.Done():
		return OrderResult{}, 0, ctx.Err()
	}
	r.mu.Lock()
	deadline, expired := r.grantLease(), !clock.Now().Before(r.leaseEnd)
	draining := r.status.Worker.Readiness != batch.WorkerReady || r.hasSuccessor
	r.mu.Unlock()
	switch {
	case draining:
		return OrderResult{Reason: batch.RefusedDraining}, 0, nil
	case deadline == 0 || expired:
		return OrderResult{Reason: batch.RefusedLate}, 0, nil
	case r.Evacuated != nil && r.Evacuated():
		// This is the last condition, since it may take a read of the store. The worker itself checks the lease.
		return OrderResult{Reason: batch.RefusedEvacuated}, 0, nil
	}
	key := r.beginStart(t, born, s.RunID)
	result, err := r.callWorker(ctx, func(ctx context.Context) (OrderResult, error) { return r.Worker.Start(ctx, t, s, deadline) })
	r.endStart(key, err)
	return result, deadline, err
}

// stop stops a run, with retries until the worker confirms it, and reports it as refused for reason. Unless a list has
// shown the run, the owner then takes it as one that never started.
func (r *Runner) stop(ctx context.Context, t Target, run batch.RunID, o *order, reason string) {
	for ctx.Err() == nil {
		result, err := r.tryStop(ctx, t, run)
		if err != nil || result.Reason != "" && result.Reason != batch.RefusedFence {
			r.Log.Warn("stop not confirmed by the worker; retrying", "task", run.Task.String(), "run", run.Run, "reason", result.Reason, "error", err)
			clock.Sleep(ctx, orderRetryPause)
			continue
		}
		if result.Reason == batch.RefusedFence {
			r.finishOrder(run, o, nil)
			return
		}
		r.Log.Info("stopped", "task", run.Task.String(), "run", run.Run, "reason", reason)
		r.finishOrder(run, o, &batch.Refusal{RunID: run, Reason: reason})
		return
	}
}

// tryStop makes one attempt to stop a run once few enough others are under way.
func (r *Runner) tryStop(ctx context.Context, t Target, run batch.RunID) (OrderResult, error) {
	select {
	case r.stopSlots <- struct{}{}:
		defer func() { <-r.stopSlots }()
	case <-ctx.Done():
		return OrderResult{}, ctx.Err()
	}
	return r.callWorker(ctx, func(ctx context.Context) (OrderResult, error) { return r.Worker.Stop(ctx, t, run) })
}

// callWorker calls the worker with a timeout and synchronizes with the clock in its answer.
func (r *Runner) callWorker(ctx context.Context, call func(context.Context) (OrderResult, error)) (OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := call(ctx)
	if err == nil {
		r.mu.Lock()
		r.syncClock(result.Clock, clock.Now())
		r.mu.Unlock()
	}
	return result, err
}

// finishOrder removes a pending order. A refusal is reported with the next list, which has to be polled after the stop.
func (r *Runner) finishOrder(run batch.RunID, o *order, refusal *batch.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders[run] != o {
		return
	}
	delete(r.orders, run)
	if refusal != nil {
		r.refusals = append(r.refusals, *refusal)
		// Only a list that is polled after the stop shows whether the run still exists.
		r.listAt = time.Time{}
	}
	signal(r.pollNow)
}
