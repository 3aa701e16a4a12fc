package runner

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
)

// began ends a start that was carried out: the run is listed at once, without another look at the worker.
func (r *Runner) began(s batch.StartOrder, o *order, clock int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders[s.RunID] != o {
		return
	}
	delete(r.orders, s.RunID)
	if clock < r.list.Clock {
		return
	}
	for i := range r.list.Running {
		if r.list.Running[i].RunID == s.RunID {
			return
		}
	}
	r.list.Clock = clock
	r.list.Running = append(r.list.Running[:len(r.list.Running):len(r.list.Running)], batch.RunStatus{RunID: s.RunID, Checkpoint: s.Checkpoint})
	signal(r.kick)
}

// view is what a look at the worker is based on.
type view struct {
	target         Target
	worker         string
	seen           uint64
	deadline       int64
	asked          int
	fresh, waiting bool
}

// view returns false while there is no worker to look at or no owner.
func (r *Runner) view() (view, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := view{
		target: Target{r.status.Instance, r.fence}, worker: r.status.Worker.ID, seen: r.seen, deadline: r.deadline(), asked: len(r.refused),
	}
	v.fresh = r.listFence == r.fence && !r.listedAt.IsZero()
	v.waiting = len(r.list.Ended) > 0 && r.list.Ended[len(r.list.Ended)-1].Number > r.seen
	return v, v.worker != "" && v.target.Fence != 0 && r.status.Worker.Readiness != batch.WorkerDeparted
}

// watch looks at the worker again and again: each look extends the lease and waits for an end.
func (r *Runner) watch(ctx context.Context) {
	for ctx.Err() == nil {
		v, ok := r.view()
		if !ok {
			clock.Sleep(ctx, redial)
			continue
		}
		if v.waiting && v.fresh {
			// Until the ends are acknowledged the worker would answer at once.
			clock.Sleep(ctx, holdPause)
			if v, ok = r.view(); !ok {
				continue
			}
		}
		r.hold(ctx, v, holdWait)
	}
}

// glance looks at the worker without a wait each time that there is a reason to.
func (r *Runner) glance(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.look:
		}
		if v, ok := r.view(); ok {
			r.hold(ctx, v, 0)
		}
	}
}

func (r *Runner) hold(ctx context.Context, v view, wait time.Duration) {
	call, cancel := context.WithTimeout(ctx, wait+holdSlack)
	defer cancel()
	list, err := r.Worker.ExtendLease(call, v.target, v.seen, v.deadline, wait)
	if err != nil {
		r.Log.Debug("worker not heard", "worker", v.worker, "error", err)
		r.refusing(v, errors.Is(err, syscall.ECONNREFUSED), clock.Now())
		clock.Sleep(ctx, holdPause)
		if wait == 0 {
			signal(r.look)
		}
		return
	}
	r.take(v, list, clock.Now())
}

// refusing notes whether the worker's port takes no connections. A worker that has ended runs nothing any more.
func (r *Runner) refusing(v view, refused bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !refused || r.status.Worker.ID != v.worker:
		r.closed = time.Time{}
	case r.closed.IsZero():
		r.closed = now
	case now.Sub(r.closed) > closedLimit && r.status.Worker.Readiness != batch.WorkerDeparted:
		r.Log.Warn("worker has ended: its port takes no connections", "worker", v.worker)
		r.status.Worker.Readiness = batch.WorkerDeparted
		signal(r.kick)
	}
}

// take accepts a list unless a later one is known: answers on different connections may overtake each other.
func (r *Runner) take(v view, list RunList, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.Worker.ID != v.worker || list.Born != 0 && list.Born != r.status.Worker.Born || list.Clock < r.list.Clock {
		return
	}
	r.closed = time.Time{}
	r.sample(list.Clock, now)
	changed := r.listFence != v.target.Fence || len(list.Ended) > 0 || !sameRuns(list.Running, r.list.Running) || v.asked > 0
	list.Born = r.status.Worker.Born
	r.list, r.listFence = list, v.target.Fence
	if v.asked == len(r.refused) {
		r.listedAt = now
	}
	if changed {
		signal(r.kick)
	}
}

func sameRuns(a, b []batch.RunStatus) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].RunID != b[i].RunID {
			return false
		}
	}
	return true
}
