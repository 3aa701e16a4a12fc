package runner

import (
	"context"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
)

const (
	// maxCandidates bounds the incarnations that wait for the worker's confirmation.
	maxCandidates = 8
	// candidateMaxAge is how long a status report waits for the worker's confirmation. The worker reports again sooner.
	candidateMaxAge = 3 * time.Second
	// confirmPause is the pause between attempts to confirm the candidates.
	confirmPause = 100 * time.Millisecond
)

// candidate is the last status report of an incarnation that the worker hasn't confirmed.
type candidate struct {
	report     StatusReport
	receivedAt time.Time
}

// UpdateStatus applies a status report of the present incarnation of the worker. A report of a later incarnation is applied
// once the worker has confirmed it, since others may send reports to this process too. It returns false if a later
// incarnation has reported before.
func (r *Runner) UpdateStatus(report StatusReport) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Worker.Node = r.Node
	report.Worker.ID = batch.WorkerID(r.Node, report.Instance, report.Worker.Born)
	report.warmAt = clock.Now().Add(report.ColdTime)
	if report.Worker.Centre == "" {
		// The agent is on the same VM.
		report.Worker.Centre = string(r.Settings.Self.Centre)
	}
	old := r.status.Worker
	switch {
	case old.ID == report.Worker.ID:
		r.setStatus(report)
	case old.ID != "" && report.Worker.Born < old.Born:
		return false
	default:
		r.addCandidate(candidate{report, clock.Now()})
	}
	return true
}

// Centre returns the data centre of the worker, as it is reported to the owner.
func (r *Runner) Centre() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.Worker.Centre
}

// setStatus replaces the status of the worker, and discards all that concerns the last incarnation if it is another one.
func (r *Runner) setStatus(report StatusReport) {
	old := r.status.Worker
	if old.ID != report.Worker.ID {
		r.Log.Info("status report of a new worker incarnation", "worker", report.Worker.ID, "before", old.ID, "service", report.Worker.Service)
		r.resetWorker()
		r.notifyWorkerChanged()
		signal(r.lateStopNow)
	}
	if old.ID != report.Worker.ID || old.Readiness != report.Worker.Readiness || old.Capacity != report.Worker.Capacity {
		signal(r.reportNow)
	}
	r.status = report
	signal(r.pollNow)
}

// notifyWorkerChanged ends the polls of the last incarnation, and wakes those who wait for the confirmation of another one.
func (r *Runner) notifyWorkerChanged() {
	close(r.workerChanged)
	r.workerChanged = make(chan struct{})
}

// AwaitConfirmation waits until an incarnation is the worker, and returns false if it isn't when ctx ends.
func (r *Runner) AwaitConfirmation(ctx context.Context, instance string, born int64) bool {
	r.init()
	id := batch.WorkerID(r.Node, instance, born)
	for {
		r.mu.Lock()
		confirmed, changed := r.status.Worker.ID == id, r.workerChanged
		r.mu.Unlock()
		if confirmed {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// addCandidate keeps a status report until the worker confirms its incarnation. The oldest one gives way to it if there are
// too many.
func (r *Runner) addCandidate(c candidate) {
	r.candidates[c.report.Worker.ID] = c
	for len(r.candidates) > maxCandidates {
		oldest := c
		for _, other := range r.candidates {
			if other.receivedAt.Before(oldest.receivedAt) {
				oldest = other
			}
		}
		delete(r.candidates, oldest.report.Worker.ID)
	}
	signal(r.confirmNow)
}

// confirmLoop asks the worker to confirm candidates until ctx ends.
func (r *Runner) confirmLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.confirmNow:
		}
		for r.confirmCandidates(ctx) {
			clock.Sleep(ctx, confirmPause)
		}
	}
}

// confirmCandidates asks the worker about each candidate, and applies the status report of the one that it confirms. It
// returns whether any are left.
func (r *Runner) confirmCandidates(ctx context.Context) bool {
	r.mu.Lock()
	now := clock.Now()
	waiting := make([]candidate, 0, len(r.candidates))
	for id, c := range r.candidates {
		if now.Sub(c.receivedAt) > candidateMaxAge {
			r.Log.Warn("status report ignored: the worker doesn't confirm its incarnation", "worker", id, "service", c.report.Worker.Service)
			delete(r.candidates, id)
			continue
		}
		waiting = append(waiting, c)
	}
	fence := r.fence
	r.mu.Unlock()
	for _, c := range waiting {
		if ctx.Err() != nil {
			return false
		}
		if r.isIncarnation(ctx, Target{c.report.Instance, fence}, c.report.Worker.Born) {
			r.acceptCandidate(c.report.Worker.ID)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.candidates) > 0
}

// isIncarnation reports whether the worker answers a call that is addressed to an incarnation as that incarnation.
func (r *Runner) isIncarnation(ctx context.Context, target Target, born int64) bool {
	answering, err := r.answeringIncarnation(ctx, target)
	return err == nil && (answering == 0 || answering == born)
}

// answeringIncarnation returns the start of the incarnation that answers under the name of target, 0 if the answer doesn't say it.
func (r *Runner) answeringIncarnation(ctx context.Context, target Target) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	list, err := r.Worker.ExtendLease(ctx, target, 0, 0, 0)
	return list.Born, err
}

// acceptCandidate applies the status report of a confirmed candidate and discards those of earlier incarnations.
func (r *Runner) acceptCandidate(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.candidates[id]
	if !ok {
		return
	}
	r.setStatus(c.report)
	for other := range r.candidates {
		if other == id || r.candidates[other].report.Worker.Born < c.report.Worker.Born {
			delete(r.candidates, other)
		}
	}
}

// WorkerLeaving marks the worker as departed after it has announced that it leaves. The notice may be a late one of an earlier incarnation
// with the same name: a worker that doesn't drain has departed only if it no longer answers, and one whose successor answers is replaced
// by the successor's status report. The owner would take the runs of a departed worker as ended, while the successor may have begun them.
func (r *Runner) WorkerLeaving(ctx context.Context, instance string) {
	r.init()
	r.mu.Lock()
	worker, target := r.status.Worker, Target{r.status.Instance, r.fence}
	r.mu.Unlock()
	if target.Instance != instance {
		return
	}
	born, err := r.answeringIncarnation(ctx, target)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.Worker.ID != worker.ID {
		return
	}
	if err == nil && born > worker.Born {
		r.setSuccessor(born)
	}
	switch {
	case r.hasSuccessor:
		r.Log.Info("notice of leaving left to the successor's status report", "worker", worker.ID)
	case err == nil && r.status.Worker.Readiness != batch.WorkerDraining && (born == 0 || born == worker.Born):
		r.Log.Warn("notice of leaving ignored: the worker still answers and doesn't drain", "worker", worker.ID)
	default:
		r.Log.Info("worker departed: it announced that it leaves", "worker", worker.ID)
		r.status.Worker.Readiness = batch.WorkerDeparted
		signal(r.reportNow)
	}
}

// setSuccessor notes that a later incarnation answers under the worker's name.
func (r *Runner) setSuccessor(born int64) {
	if r.hasSuccessor {
		return
	}
	r.Log.Info("worker has started again under its name", "worker", r.status.Worker.ID, "born", born)
	r.hasSuccessor = true
	r.notifyWorkerChanged()
	signal(r.lateStopNow)
}

// resetWorker discards all that concerns the last incarnation, and cancels its orders.
func (r *Runner) resetWorker() {
	for run, o := range r.orders {
		o.cancel()
		delete(r.orders, run)
	}
	r.refusals, r.list, r.listFence, r.listAt = nil, RunList{}, 0, time.Time{}
	r.hasSuccessor, r.unverified = false, false
	r.acknowledged, r.workerClock, r.clockReadAt, r.granted, r.refusingSince = 0, 0, time.Time{}, 0, time.Time{}
}
