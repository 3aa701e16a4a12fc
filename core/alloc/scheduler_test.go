package alloc

import (
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/batch"
)

// A start that is sent before the placement is stored creates a run that a later owner doesn't know of.
func TestStartIsNotSentBeforePlacementIsStored(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	f.submit("p1", "a", gpuStep(1, 1))
	f.scheduler.Plan(f.now, f.now)
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); len(o.Starts) != 0 {
		t.Errorf("got %d starts before the record is stored, want none", len(o.Starts))
	}
	f.storeProgress()
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); len(o.Starts) != 1 {
		t.Errorf("got %d starts after the record is stored, want 1", len(o.Starts))
	}
}

// A worker stops reporting an end once it is acknowledged. If the end isn't stored by then, a later owner restarts the task.
func TestEndIsNotAcknowledgedBeforeItIsStored(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(1, 1))
	f.runRound()
	f.endRuns(id, batch.EndDone)
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); o.AcknowledgedEnds != 0 {
		t.Errorf("got acknowledgement up to %d before the end is stored, want 0", o.AcknowledgedEnds)
	}
	f.storeProgress()
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); o.AcknowledgedEnds != 1 {
		t.Errorf("got acknowledgement up to %d after the end is stored, want 1", o.AcknowledgedEnds)
	}
	if got, want := f.state(id), batch.JobCompleted; got != want {
		t.Errorf("got state %q, want %q", got, want)
	}
}

// When the first member of a gang ends, the others are removed from the placed runs. Their ends must not be acknowledged
// either before the end of the gang is stored.
func TestMemberEndIsNotAcknowledgedBeforeGangIsStored(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gangStep(2, 2))
	f.runRound()
	f.endRuns(id, batch.EndDone)
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); o.AcknowledgedEnds != 0 {
		t.Errorf("got acknowledgement up to %d before the gang's end is stored, want 0", o.AcknowledgedEnds)
	}
}

// A gang of which only some members fit must not be started.
func TestGangIsNotStartedInPart(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gangStep(3, 4))
	f.runRound()
	if got := f.countRuns(id); got != 0 {
		t.Errorf("got %d members of three on a worker that has room for two, want none", got)
	}
	f.addWorker("n2", "r1")
	f.runRound()
	if got, want := f.countRuns(id), 3; got != want {
		t.Errorf("got %d members, want %d", got, want)
	}
}

// When a member of a gang ends, the others have to be stopped. A restart before all have ended would mix members of
// different runs.
func TestGangIsNotRestartedBeforeAllMembersEnd(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	w2 := f.addWorker("n2", "r2")
	id := f.submit("p1", "a", gangStep(2, 8))
	f.runRound()
	w2.end(w2.running[0].RunID, batch.EndGangMemberEnded)
	f.report(w2)
	f.scheduler.Plan(f.now, f.now)
	f.storeProgress()
	if o, _ := f.scheduler.Orders(f.now, w2.ID, 1<<20); len(o.Starts) != 0 {
		t.Fatal("a member was started while another was running")
	}
	f.executeOrders()
	f.runRound()
	for _, w := range f.workers {
		if len(w.running) != 1 || w.running[0].Run != 2 {
			t.Errorf("got %v on %s, want one member with run 2", w.running, w.ID)
		}
	}
	if got, want := f.countRuns(id), 2; got != want {
		t.Errorf("got %d members, want %d", got, want)
	}
}

// A step must not start while tasks of a step that it depends on are running.
func TestStepWaitsForEarlierSteps(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	second := gpuStep(1, 1)
	second.After = []int{0}
	id := f.submit("p1", "a", gpuStep(2, 1), second)
	f.runRound()
	if got, want := f.countRuns(id), 2; got != want {
		t.Errorf("got %d runs, want only the %d of the first step", got, want)
	}
	f.endRuns(id, batch.EndDone)
	f.runRound()
	if got, want := f.countRuns(id), 1; got != want {
		t.Errorf("got %d runs after the first step, want %d", got, want)
	}
}

// After the last attempt of a task has failed, it must not be restarted, and its job has to end.
func TestJobFailsAfterItsAttempts(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(1, 1))
	for attempt := range 2 {
		f.now = f.now.Add(10 * time.Second)
		f.runRound()
		if got := f.countRuns(id); got != 1 {
			t.Fatalf("got %d runs at attempt %d, want 1", got, attempt)
		}
		f.endRuns(id, batch.EndFailed)
	}
	f.now = f.now.Add(10 * time.Second)
	f.runRound()
	if got, want := f.state(id), batch.JobFailed; got != want {
		t.Errorf("got state %q, want %q", got, want)
	}
	if got := f.countRuns(id); got != 0 {
		t.Errorf("got %d runs after the last attempt, want none", got)
	}
}

// The runs of a cancelled job have to be stopped.
func TestCancelStopsAllRuns(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(3, 1))
	f.runRound()
	f.cancel(id)
	f.runRound()
	f.runRound()
	if got := f.countRuns(id); got != 0 {
		t.Errorf("got %d runs of a cancelled job, want none", got)
	}
	if got, want := f.state(id), batch.JobCancelled; got != want {
		t.Errorf("got state %q, want %q", got, want)
	}
}

// A worker that can't be reached runs its tasks until its lease expires. They must not be started elsewhere before that.
func TestTaskIsNotRestartedWithinLeaseOfUnreachableWorker(t *testing.T) {
	f := newFixture(t)
	w1 := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(1, 8))
	f.runRound()
	delete(f.workers, w1.ID)
	f.addWorker("n2", "r1")
	f.now = f.now.Add(f.scheduler.LeaseDuration())
	f.scheduler.ExpireLeases(f.now, f.now)
	f.report(f.workers[batch.WorkerID("n2", "w", 1)])
	f.runRound()
	if got := f.countRuns(id); got != 0 {
		t.Error("the task was started on another worker before the lease of the first had expired")
	}
	f.now = f.now.Add(time.Second)
	f.scheduler.ExpireLeases(f.now, f.now)
	f.runRound()
	if got, want := f.countRuns(id), 1; got != want {
		t.Errorf("got %d runs after the lease had expired, want %d", got, want)
	}
}

// A new owner knows an earlier incarnation of a worker only from stored progress. It must not wait for that incarnation's
// lease to expire once a later one reports.
func TestLaterIncarnationReplacesEarlierOne(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(1, 1))
	f.runRound()
	f.scheduler.StartTerm(f.now, f.now, &f.cache)
	delete(f.workers, w.ID)
	w.ID, w.Born, w.running = batch.WorkerID("n1", "x", 2), 2, nil
	f.workers[w.ID] = w
	f.report(w)
	f.runRound()
	if got, want := f.countRuns(id), 1; got != want {
		t.Errorf("got %d runs on the later incarnation, want %d", got, want)
	}
	w.Born--
	if f.scheduler.ApplyReport(f.now, f.now, &batch.Report{Worker: batch.Worker{ID: batch.WorkerID("n1", "w", 1), Node: "n1", Born: 1}}, 2) {
		t.Error("a report of the earlier incarnation was accepted after one of the later incarnation")
	}
}

// A new owner must not restart the runs that an earlier owner has started.
func TestNewOwnerDoesNotRestartRuns(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(2, 1))
	f.runRound()
	f.scheduler.StartTerm(f.now, f.now, &f.cache)
	f.report(w)
	f.runRound()
	f.endRuns(id, batch.EndDone)
	f.runRound()
	if got, want := f.state(id), batch.JobCompleted; got != want {
		t.Errorf("got state %q, want %q", got, want)
	}
	for _, e := range w.ended {
		if e.Run != 1 {
			t.Errorf("got run %d of %s, want 1", e.Run, e.Task)
		}
	}
}

// When all processes restart at once, an agent without lists has no lease, refuses the start of an adopted run and stops
// the run, so that its work is lost.
func TestAdoptedRunIsNotStartedBeforeWorkerReportsLists(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(1, 1))
	f.runRound()
	f.scheduler.StartTerm(f.now, f.now, &f.cache)
	f.scheduler.ApplyReport(f.now, f.now, &batch.Report{Worker: w.Worker}, 2)
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); len(o.Starts) != 0 {
		t.Errorf("got starts %v for a worker that has not reported lists, want none", o.Starts)
	}
	f.report(w)
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); len(o.Starts) != 0 {
		t.Errorf("got starts %v for a run that is listed, want none", o.Starts)
	}
	// A run that is missing from the first lists has not started, and is ordered.
	f.scheduler.StartTerm(f.now, f.now, &f.cache)
	w.running = nil
	f.report(w)
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); len(o.Starts) != 1 {
		t.Errorf("got starts %v for a run that is not listed, want one of job %s", o.Starts, id)
	}
}

// A worker may list a run that isn't in the stored progress. It has to be stopped, and no task may use its capacity until
// it has ended.
func TestForeignRunIsStoppedAndKeepsItsRoom(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(1, 8))
	foreignRun := batch.RunID{Task: batch.TaskID{Job: id, Index: 0}, Run: 7}
	w.running = append(w.running, batch.RunStatus{RunID: foreignRun})
	f.report(w)
	f.scheduler.Plan(f.now, f.now)
	f.storeProgress()
	o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20)
	if len(o.Stops) != 1 || o.Stops[0] != foreignRun {
		t.Errorf("got stops %v, want %v", o.Stops, foreignRun)
	}
	if len(o.Starts) != 0 {
		t.Error("a task was started on a worker that the foreign run fills")
	}
}

// In a burst of urgent jobs beside a stream of others, urgent jobs that could no longer meet their objective were placed
// after all less urgent ones, and their last tasks did not run.
func TestLateUrgentJobKeepsItsPriority(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	first := f.submit("p1", "other", gpuStep(1, 8))
	f.runRound()
	urgent := f.submit("p0", "a", gpuStep(2, 8))
	f.now = f.now.Add(2 * time.Second)
	f.endRuns(first, batch.EndDone)
	f.runRound()
	// The objective, twice the critical path plus 1 s, is missed when the first task ends.
	f.now = f.now.Add(4 * time.Second)
	f.submit("p1", "other", gpuStep(1, 8))
	f.endRuns(urgent, batch.EndDone)
	f.runRound()
	if got, want := f.countRuns(urgent), 1; got != want {
		t.Errorf("got %d runs of the urgent job, want %d", got, want)
	}
}

// A worker on which every run fails must not use up the attempts of many jobs.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	f := newFixture(t)
	w1 := f.addWorker("n1", "r1")
	first := f.submit("p1", "a", gpuStep(1, 1))
	f.runRound()
	f.addWorker("n2", "r2")
	f.endRuns(first, batch.EndFailed)
	for range 4 {
		f.submit("p1", "a", gpuStep(1, 1))
	}
	f.runRound()
	if len(w1.running) != 0 {
		t.Errorf("got %d runs on the worker whose last run has just failed, want none", len(w1.running))
	}
}

// Guards against long-running tasks that wait for many seconds beside free room: each failure of one of them, however long it had run, put
// its worker into a longer quarantine.
func TestFailuresOfLongRunsDoNotQuarantineTheirWorker(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	step := gpuStep(6, 1)
	step.LongRunning = true
	f.submit("p1", "a", step)
	f.runRound()
	for range 6 {
		f.now = f.now.Add(15 * time.Second)
		w.end(w.running[0].RunID, batch.EndFailed)
		f.report(w)
		f.runRound()
		if got, want := len(w.running), 6; got != want {
			t.Fatalf("got %d runs after the failure of one that had run for 15 s, want %d", got, want)
		}
	}
	for range 3 {
		w.end(w.running[len(w.running)-1].RunID, batch.EndFailed)
		f.report(w)
	}
	f.runRound()
	if got, want := len(w.running), 3; got != want {
		t.Errorf("got %d runs after three failures of runs that had just begun, want %d", got, want)
	}
}

// When a gang is done, a member that was ordered but isn't listed yet may still be running. Its capacity must not be used.
func TestMemberOfADoneGangKeepsCapacityUntilListed(t *testing.T) {
	f := newFixture(t)
	w1, w2 := f.addWorker("n1", "r1"), f.addWorker("n2", "r2")
	f.submit("p1", "a", gangStep(2, 8))
	f.scheduler.Plan(f.now, f.now)
	f.storeProgress()
	for _, w := range []*fakeWorker{w1, w2} {
		o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20)
		if w == w1 {
			w.running = append(w.running, batch.RunStatus{RunID: o.Starts[0].RunID})
		}
	}
	w1.end(w1.running[0].RunID, batch.EndDone)
	f.report(w1)
	f.report(w2)
	f.submit("p1", "a", gpuStep(1, 8))
	f.submit("p1", "a", gpuStep(1, 8))
	f.runRound()
	if len(w2.running) != 0 {
		t.Error("a task was started on the worker that had not listed the member of the gang yet")
	}
	f.now = f.now.Add(unlistedRunTime)
	f.report(w2)
	f.runRound()
	if got, want := len(w2.running), 1; got != want {
		t.Errorf("got %d runs after the time in which the member would have been listed, want %d", got, want)
	}
}

// Tasks that are exempt from CPU accounting slow down tasks with a limited tail latency on the same worker.
func TestCPUExemptTaskIsNotPlacedBesideLatencyLimitedTask(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	latencyLimited := gpuStep(1, 1)
	latencyLimited.LongRunning, latencyLimited.MaxTailLatency = true, time.Second
	f.submit("p1", "a", latencyLimited)
	f.runRound()
	exempt := gpuStep(1, 1)
	exempt.CPUExempt = true
	id := f.submit("p2", "a", exempt)
	f.runRound()
	if got := f.countRuns(id); got != 0 {
		t.Error("a task that is exempt from CPU accounting was placed beside one with a limited tail latency")
	}
	f.addWorker("n2", "r2")
	f.runRound()
	if got, want := f.countRuns(id), 1; got != want {
		t.Errorf("got %d runs on another worker, want %d", got, want)
	}
}

// If a queue requires tickets, a task must not be started without one or with one that has expired.
func TestStepIsNotStartedWithoutValidTicket(t *testing.T) {
	f := newFixture(t)
	w1, w2 := f.addWorker("n1", "r1"), f.addWorker("n2", "r1")
	f.scheduler.policy.Queues["p1"] = batch.Queue{Name: "p1", Service: "svc", Priority: 1, MaxAttempts: 2, Stretch: 2, RequiresTicket: true}
	id := f.submit("p1", "a", gpuStep(2, 1))
	f.runRound()
	q, ok := f.scheduler.NextAdviceQuery()
	if got := f.countRuns(id); got != 0 || !ok || len(q.Workers) != 2 {
		t.Fatalf("got %d runs and query %+v, want no runs and a query for both workers", got, q)
	}
	f.scheduler.ApplyAdvice(q, f.now, map[string]string{w2.ID: "ticket"}, time.Second)
	f.scheduler.Plan(f.now, f.now)
	f.storeProgress()
	if o, _ := f.scheduler.Orders(f.now, w2.ID, 1<<20); len(o.Starts) != 2 || o.Starts[0].Ticket != "ticket" {
		t.Errorf("got starts %+v, want two with the ticket", o.Starts)
	}
	if _, ok := f.scheduler.NextAdviceQuery(); ok {
		t.Error("there is another query for a worker that was denied for the step")
	}
	if len(w1.running) != 0 {
		t.Error("a task was started on a worker without a ticket")
	}
	later := f.submit("p1", "a", gpuStep(1, 1))
	f.scheduler.Plan(f.now, f.now)
	q, _ = f.scheduler.NextAdviceQuery()
	f.scheduler.ApplyAdvice(q, f.now, map[string]string{w1.ID: "old"}, time.Second)
	f.now = f.now.Add(time.Second)
	f.runRound()
	if got := f.countRuns(later); got != 0 {
		t.Error("a task was started with an expired ticket")
	}
}

// When workers are taken away at short notice, runs that can't end in time have to be restarted elsewhere at once instead of
// being lost with the worker. Runs that end in time must not be stopped.
func TestRunsThatCannotEndAreMovedFromDrainingWorker(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	short, long := gpuStep(1, 1), gpuStep(1, 1)
	short.Estimate, long.Estimate = time.Second, time.Minute
	shortJob, longJob := f.submit("p1", "a", short), f.submit("p1", "a", long)
	f.runRound()
	f.addWorker("n2", "r2")
	w.Readiness, w.MinTimeLeft = batch.WorkerDraining, 2*time.Second
	f.report(w)
	f.scheduler.Evacuate(f.now)
	f.runRound()
	f.runRound()
	if len(w.running) != 1 || w.running[0].Task.Job != shortJob {
		t.Errorf("got runs %v on the draining worker, want only the short one", w.running)
	}
	if got, want := f.countRuns(longJob), 1; got != want {
		t.Errorf("got %d runs of the long task on another worker, want %d", got, want)
	}
}

// Orders with more starts than fit into a message to the agent were never sent. They have to be split, each start has to be in
// one part, and the worker has to stay due until the last one.
func TestOrdersAreSplit(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", batch.Step{Count: 10, Need: batch.Amount{CPU: 10}, Estimate: time.Second})
	f.scheduler.jobs[id].job.Spec = strings.Repeat("x", 4000)
	f.scheduler.Plan(f.now, f.now)
	f.storeProgress()
	f.scheduler.TakeTouched()
	if o, due := f.scheduler.Orders(f.now, w.ID, 0); due || len(o.Starts) != 0 {
		t.Errorf("got orders %+v without room for starts, want none", o)
	}
	sent := map[batch.RunID]int{}
	for _, want := range []int{3, 3, 3, 1, 0} {
		touched := f.scheduler.TakeTouched()
		if got, due := len(touched) == 1, want > 0; got != due {
			t.Errorf("after %d starts: got workers with orders %v, want the worker: %v", len(sent), touched, due)
		}
		o, _ := f.scheduler.Orders(f.now, w.ID, 10_000)
		if got := len(o.Starts); got != want {
			t.Errorf("got %d starts in a part, want %d", got, want)
		}
		for _, start := range o.Starts {
			sent[start.RunID]++
		}
	}
	if got, want := len(sent), 10; got != want {
		t.Errorf("got %d different starts, want %d", got, want)
	}
}
