package runner

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
)

// handleStarted ends a start order that was carried out and adds the run to the list, without polling the worker again.
func (r *Runner) handleStarted(s batch.StartOrder, o *order, workerClock int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders[s.RunID] != o {
		return
	}
	delete(r.orders, s.RunID)
	if workerClock < r.list.Clock {
		return
	}
	for i := range r.list.Running {
		if r.list.Running[i].RunID == s.RunID {
			return
		}
	}
	r.list.Clock = workerClock
	r.list.Running = append(r.list.Running[:len(r.list.Running):len(r.list.Running)], batch.RunStatus{
		RunID: s.RunID, Checkpoint: s.Checkpoint, Assumed: true,
	})
	signal(r.reportNow)
}

// pollState is the runner's state at the beginning of a poll, which its answer is compared with.
type pollState struct {
	target       Target
	worker       string
	acknowledged uint64
	deadline     int64
	// pendingRefusals is the number of refusals that are to be reported with the next list.
	pendingRefusals int
	// listCurrent means that the last list belongs to the present owner, unacknowledgedEnds that it has ends which the
	// owner hasn't acknowledged.
	listCurrent, unacknowledgedEnds bool
	// verify means that the poll has to find out first whether the worker is still the same incarnation.
	verify bool
	// outdated is closed when the poll may no longer be meant for the process that answers it.
	outdated <-chan struct{}
}

// pollState returns the present state, and false if there is no worker to poll or no owner has sent orders yet.
func (r *Runner) pollState() (pollState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := pollState{
		target: Target{r.status.Instance, r.fence}, worker: r.status.Worker.ID, acknowledged: r.acknowledged,
		pendingRefusals: len(r.refusals), outdated: r.workerChanged,
	}
	departed := r.status.Worker.Readiness == batch.WorkerDeparted
	if r.unverified || departed {
		state.verify, state.acknowledged = true, 0
	} else {
		state.deadline = r.grantLease()
	}
	state.listCurrent = r.listFence == r.fence && !r.listAt.IsZero()
	state.unacknowledgedEnds = len(r.list.Ended) > 0 && r.list.Ended[len(r.list.Ended)-1].Number > r.acknowledged
	due := state.worker != "" && state.target.Fence != 0 && !r.hasSuccessor
	if departed {
		// A successor of its name has to be found soon if a start may still reach it.
		due = due && len(r.unansweredStarts(clock.Now())) > 0
	}
	return state, due
}

// pollLoop keeps a long poll at the worker until ctx ends: each poll extends the lease and waits until a run ends.
func (r *Runner) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		state, ok := r.pollState()
		if !ok {
			clock.Sleep(ctx, redialPause)
			continue
		}
		if state.unacknowledgedEnds && state.listCurrent {
			// The worker answers at once while it has unacknowledged ends.
			clock.Sleep(ctx, pollPause)
			if state, ok = r.pollState(); !ok {
				continue
			}
		}
		r.poll(ctx, state, pollWait)
	}
}

// pollOnDemand polls the worker without a wait at each signal of pollNow.
func (r *Runner) pollOnDemand(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pollNow:
		}
		if state, ok := r.pollState(); ok {
			r.poll(ctx, state, 0)
		}
	}
}

// poll extends the lease of the worker's runs, waits at most wait for a run to end and applies the list of the answer. It ends when
// another incarnation is the worker: an acknowledgement that the successor receives may remove ends of its own.
func (r *Runner) poll(ctx context.Context, state pollState, wait time.Duration) {
	if state.verify {
		wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	go func() {
		select {
		case <-state.outdated:
			cancel()
		case <-callCtx.Done():
		}
	}()
	list, err := r.Worker.ExtendLease(callCtx, state.target, state.acknowledged, state.deadline, wait)
	if err != nil {
		r.Log.Debug("poll of the worker failed; retrying", "worker", state.worker, "error", err)
		r.recordFailedPoll(state, errors.Is(err, syscall.ECONNREFUSED), clock.Now())
		clock.Sleep(ctx, pollPause)
		if wait == 0 {
			signal(r.pollNow)
		}
		return
	}
	r.applyList(state, list, clock.Now())
}

// recordFailedPoll records a failed poll. Once the worker's port has refused connections for refusingLimit, the worker is
// reported as departed, so that the owner needn't wait for the lease of its runs.
func (r *Runner) recordFailedPoll(state pollState, refused bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unverified = r.unverified || r.status.Worker.ID == state.worker
	switch {
	case !refused || r.status.Worker.ID != state.worker:
		r.refusingSince = time.Time{}
	case r.refusingSince.IsZero():
		r.refusingSince = now
	case now.Sub(r.refusingSince) > refusingLimit && r.status.Worker.Readiness != batch.WorkerDeparted:
		r.Log.Warn("worker process has ended: its port refuses connections", "worker", state.worker)
		r.status.Worker.Readiness = batch.WorkerDeparted
		signal(r.reportNow)
	}
}

// applyList replaces the list of the worker's runs. A list that is older than the last one is ignored: answers on
// different connections may overtake each other.
func (r *Runner) applyList(state pollState, list RunList, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.Worker.ID == state.worker && list.Born > r.status.Worker.Born {
		r.setSuccessor(list.Born)
	}
	if r.status.Worker.Readiness == batch.WorkerDeparted {
		// The owner takes its runs as ended.
		return
	}
	if r.status.Worker.ID != state.worker || list.Born != 0 && list.Born != r.status.Worker.Born || list.Clock < r.list.Clock {
		return
	}
	r.refusingSince, r.unverified = time.Time{}, false
	r.syncClock(list.Clock, now)
	changed := r.listFence != state.target.Fence || len(list.Ended) > 0 || !sameRuns(list.Running, r.list.Running) ||
		state.pendingRefusals > 0
	list.Born = r.status.Worker.Born
	r.list, r.listFence = list, state.target.Fence
	// This list may still show a run whose order was refused during the poll, so it isn't reported along with the refusal.
	if state.pendingRefusals == len(r.refusals) {
		r.listAt = now
	}
	if changed {
		signal(r.reportNow)
	}
}

// sameRuns reports whether two lists have the same runs in the same order.
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
