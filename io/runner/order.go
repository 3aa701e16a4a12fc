package runner

import (
	"context"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
)

// accept begins to carry out an order; a stop replaces the start of the same run.
func (r *Runner) accept(ctx context.Context, run batch.RunID, stop bool, s batch.StartOrder) {
	if pending := r.orders[run]; pending != nil {
		if pending.stop || !stop {
			return
		}
		pending.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	o := &order{stop: stop, cancel: cancel}
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

// start carries out a start. A refused run is stopped before that is reported, since an earlier try without an
// answer may still be carried out.
func (r *Runner) start(ctx context.Context, t Target, s batch.StartOrder, o *order) {
	for attempts := 1; ctx.Err() == nil; attempts++ {
		r.mu.Lock()
		deadline, lapsed, draining := r.deadline(), !clock.Now().Before(r.lease), r.status.Worker.Readiness != batch.WorkerReady
		r.mu.Unlock()
		if deadline == 0 || lapsed || draining {
			reason := batch.RefusedLate
			if draining {
				reason = batch.RefusedDraining
			}
			r.Log.Info("start refused by the agent", "task", s.Task.String(), "run", s.Run, "reason", reason)
			r.stop(ctx, t, s.RunID, o, reason)
			return
		}
		v, err := r.try(ctx, func(ctx context.Context) (OrderResult, error) { return r.Worker.Start(ctx, t, s, deadline) })
		switch {
		case err != nil:
			r.Log.Warn("start not answered", "task", s.Task.String(), "run", s.Run, "tries", attempts, "error", err)
			clock.Sleep(ctx, orderPause)
		case v.Reason == "":
			r.Log.Info("started", "task", s.Task.String(), "run", s.Run, "deadline", deadline, "clock", v.Clock, "tries", attempts)
			r.began(s, o, v.Clock)
			return
		case v.Reason == batch.RefusedFence:
			r.Log.Warn("start refused: fence", "task", s.Task.String(), "run", s.Run, "fence", t.Fence)
			r.finish(s.RunID, o, nil)
			return
		default:
			r.Log.Info("start refused", "task", s.Task.String(), "run", s.Run, "reason", v.Reason)
			r.stop(ctx, t, s.RunID, o, v.Reason)
			return
		}
	}
}

// stop carries out a stop; a run that never began is reported as refused.
func (r *Runner) stop(ctx context.Context, t Target, run batch.RunID, o *order, reason string) {
	for ctx.Err() == nil {
		v, err := r.try(ctx, func(ctx context.Context) (OrderResult, error) { return r.Worker.Stop(ctx, t, run) })
		if err != nil || v.Reason != "" && v.Reason != batch.RefusedFence {
			r.Log.Warn("stop not answered", "task", run.Task.String(), "run", run.Run, "reason", v.Reason, "error", err)
			clock.Sleep(ctx, orderPause)
			continue
		}
		if v.Reason == batch.RefusedFence {
			r.finish(run, o, nil)
			return
		}
		r.Log.Info("stopped", "task", run.Task.String(), "run", run.Run, "reason", reason)
		r.finish(run, o, &batch.Refusal{RunID: run, Reason: reason})
		return
	}
}

func (r *Runner) try(ctx context.Context, call func(context.Context) (OrderResult, error)) (OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	v, err := call(ctx)
	if err == nil {
		r.mu.Lock()
		r.sample(v.Clock, clock.Now())
		r.mu.Unlock()
	}
	return v, err
}

// finish ends an order. A refusal is reported with the next list that doesn't show the run.
func (r *Runner) finish(run batch.RunID, o *order, refusal *batch.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders[run] != o {
		return
	}
	delete(r.orders, run)
	if refusal != nil {
		r.refused = append(r.refused, *refusal)
		// Only a list that was asked for after the stop tells whether the run is there.
		r.listedAt = time.Time{}
	}
	signal(r.look)
}
