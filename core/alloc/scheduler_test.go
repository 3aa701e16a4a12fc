package alloc

import (
	"testing"
	"time"

	"wagtailhoist/core/batch"
)

// Guards against an order before its record is stored: a later owner wouldn't know of the run.
func TestOrderWaitsForItsRecord(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	b.submit("p1", "a", gpus(1, 1))
	b.scheduler.Plan(b.now, b.now)
	if o, _ := b.scheduler.Orders(b.now, w.ID); len(o.Starts) != 0 {
		t.Errorf("got %d starts before the record is stored, want none", len(o.Starts))
	}
	b.save()
	if o, _ := b.scheduler.Orders(b.now, w.ID); len(o.Starts) != 1 {
		t.Errorf("got %d starts after the record is stored, want 1", len(o.Starts))
	}
}

// Guards against an acknowledged end that no record holds: the worker forgets it, and the task would run again.
func TestEndIsAcknowledgedOnceStored(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(1, 1))
	b.step()
	b.endAll(id, batch.EndDone)
	if o, _ := b.scheduler.Orders(b.now, w.ID); o.AcknowledgedEnds != 0 {
		t.Errorf("got acknowledgement up to %d before the end is stored, want 0", o.AcknowledgedEnds)
	}
	b.save()
	if o, _ := b.scheduler.Orders(b.now, w.ID); o.AcknowledgedEnds != 1 {
		t.Errorf("got acknowledgement up to %d after the end is stored, want 1", o.AcknowledgedEnds)
	}
	if got, want := b.state(id), batch.JobCompleted; got != want {
		t.Errorf("got state %q, want %q", got, want)
	}
}

// Guards against the end of a second member of a gang being acknowledged while the gang's end isn't stored.
func TestEndsOfAllMembersWaitForTheGang(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	id := b.submit("p1", "a", gang(2, 2))
	b.step()
	b.endAll(id, batch.EndDone)
	if o, _ := b.scheduler.Orders(b.now, w.ID); o.AcknowledgedEnds != 0 {
		t.Errorf("got acknowledgement up to %d before the gang's end is stored, want 0", o.AcknowledgedEnds)
	}
}

// Guards against a gang that begins in part, or members with different runs.
func TestGangStartsAsAWhole(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	id := b.submit("p1", "a", gang(3, 4))
	b.step()
	if got := b.runs(id); got != 0 {
		t.Errorf("got %d members on one worker with room for two, want none", got)
	}
	b.worker("n2", "r1")
	b.step()
	if got, want := b.runs(id), 3; got != want {
		t.Errorf("got %d members, want %d", got, want)
	}
}

// Guards against members that go on alone when one has ended, and against a restart before all have ended.
func TestGangIsStartedAgainOnceAllMembersHaveEnded(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	w2 := b.worker("n2", "r2")
	id := b.submit("p1", "a", gang(2, 8))
	b.step()
	w2.end(w2.running[0].RunID, batch.EndGangMemberEnded)
	b.report(w2)
	b.scheduler.Plan(b.now, b.now)
	b.save()
	if o, _ := b.scheduler.Orders(b.now, w2.ID); len(o.Starts) != 0 {
		t.Fatal("a member was started while another was running")
	}
	b.obey()
	b.step()
	for _, w := range b.workers {
		if len(w.running) != 1 || w.running[0].Run != 2 {
			t.Errorf("got %v on %s, want one member with run 2", w.running, w.ID)
		}
	}
	if got, want := b.runs(id), 2; got != want {
		t.Errorf("got %d members, want %d", got, want)
	}
}

// Guards against a task of a later step that starts before the earlier one is done.
func TestStepWaitsForEarlierSteps(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	second := gpus(1, 1)
	second.After = []int{0}
	id := b.submit("p1", "a", gpus(2, 1), second)
	b.step()
	if got, want := b.runs(id), 2; got != want {
		t.Errorf("got %d runs, want the %d of the first step", got, want)
	}
	b.endAll(id, batch.EndDone)
	b.step()
	if got, want := b.runs(id), 1; got != want {
		t.Errorf("got %d runs after the first step, want %d", got, want)
	}
}

// Guards against a task that is started again after its last attempt, and against a job that never ends.
func TestJobFailsAfterItsAttempts(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(1, 1))
	for attempt := range 2 {
		b.now = b.now.Add(10 * time.Second)
		b.step()
		if got := b.runs(id); got != 1 {
			t.Fatalf("got %d runs at attempt %d, want 1", got, attempt)
		}
		b.endAll(id, batch.EndFailed)
	}
	b.now = b.now.Add(10 * time.Second)
	b.step()
	if got, want := b.state(id), batch.JobFailed; got != want {
		t.Errorf("got state %q, want %q", got, want)
	}
	if got := b.runs(id); got != 0 {
		t.Errorf("got %d runs after the last attempt, want none", got)
	}
}

// Guards against runs of a cancelled job that go on.
func TestCancelStopsAllRuns(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(3, 1))
	b.step()
	b.cancel(id)
	b.step()
	b.step()
	if got := b.runs(id); got != 0 {
		t.Errorf("got %d runs of a cancelled job, want none", got)
	}
	if got, want := b.state(id), batch.JobCancelled; got != want {
		t.Errorf("got state %q, want %q", got, want)
	}
}

// Guards against a task that is started elsewhere while its worker, which can't be reached, may still run it.
func TestTaskOfASilentWorkerWaitsForTheLease(t *testing.T) {
	b := newBench(t)
	w1 := b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(1, 8))
	b.step()
	delete(b.workers, w1.ID)
	b.worker("n2", "r1")
	b.now = b.now.Add(b.scheduler.LeaseDuration())
	b.scheduler.ExpireLeases(b.now, b.now)
	b.report(b.workers[batch.WorkerID("n2", "w", 1)])
	b.step()
	if got := b.runs(id); got != 0 {
		t.Error("the task was started elsewhere within the lease")
	}
	b.now = b.now.Add(time.Second)
	b.scheduler.ExpireLeases(b.now, b.now)
	b.step()
	if got, want := b.runs(id), 1; got != want {
		t.Errorf("got %d runs after the lease, want %d", got, want)
	}
}

// Guards against a new owner that waits for the lease of an incarnation that it only knows from a record, although
// a later one has taken its place.
func TestLaterIncarnationEndsTheRunsOfTheEarlier(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(1, 1))
	b.step()
	b.scheduler.StartTerm(b.now, b.now, &b.cache)
	delete(b.workers, w.ID)
	w.ID, w.Born, w.running = batch.WorkerID("n1", "x", 2), 2, nil
	b.workers[w.ID] = w
	b.report(w)
	b.step()
	if got, want := b.runs(id), 1; got != want {
		t.Errorf("got %d runs on the later incarnation, want %d", got, want)
	}
	w.Born--
	if b.scheduler.ApplyReport(b.now, b.now, &batch.Report{Worker: batch.Worker{ID: batch.WorkerID("n1", "w", 1), Node: "n1", Born: 1}}, 2) {
		t.Error("a report of the earlier incarnation was taken")
	}
}

// Guards against a new owner that starts again what runs already.
func TestNewOwnerAdoptsRuns(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(2, 1))
	b.step()
	b.scheduler.StartTerm(b.now, b.now, &b.cache)
	b.report(w)
	b.step()
	b.endAll(id, batch.EndDone)
	b.step()
	if got, want := b.state(id), batch.JobCompleted; got != want {
		t.Errorf("got state %q, want %q", got, want)
	}
	for _, e := range w.ended {
		if e.Run != 1 {
			t.Errorf("got run %d of %s, want 1", e.Run, e.Task)
		}
	}
}

// Guards against the loss of running work when all processes restart at once: an agent without lists refuses the
// start of an adopted run for want of a lease, and stops the run to be sure.
func TestAdoptedRunIsNotOrderedBeforeItsWorkerIsListed(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(1, 1))
	b.step()
	b.scheduler.StartTerm(b.now, b.now, &b.cache)
	b.scheduler.ApplyReport(b.now, b.now, &batch.Report{Worker: w.Worker}, 2)
	if o, _ := b.scheduler.Orders(b.now, w.ID); len(o.Starts) != 0 {
		t.Errorf("got starts %v for a worker without lists, want none", o.Starts)
	}
	b.report(w)
	if o, _ := b.scheduler.Orders(b.now, w.ID); len(o.Starts) != 0 {
		t.Errorf("got starts %v for a run that is listed, want none", o.Starts)
	}
	// A run that the first lists lack has not begun, and is ordered.
	b.scheduler.StartTerm(b.now, b.now, &b.cache)
	w.running = nil
	b.report(w)
	if o, _ := b.scheduler.Orders(b.now, w.ID); len(o.Starts) != 1 {
		t.Errorf("got starts %v for a run that is not listed, want one of job %s", o.Starts, id)
	}
}

// Guards against runs that no record names and that nobody stops, and against their room being given away.
func TestForeignRunIsStoppedAndKeepsItsRoom(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(1, 8))
	stray := batch.RunID{Task: batch.TaskID{Job: id, Index: 0}, Run: 7}
	w.running = append(w.running, batch.RunStatus{RunID: stray})
	b.report(w)
	b.scheduler.Plan(b.now, b.now)
	b.save()
	o, _ := b.scheduler.Orders(b.now, w.ID)
	if len(o.Stops) != 1 || o.Stops[0] != stray {
		t.Errorf("got stops %v, want %v", o.Stops, stray)
	}
	if len(o.Starts) != 0 {
		t.Error("a task was started on a worker that the foreign run fills")
	}
}

// Guards against urgent jobs that are left unfinished, since their last tasks went behind all less urgent work once the
// objective could not be met (load: a burst of urgent jobs in a stream of others).
func TestLateUrgentJobIsFinishedFirst(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	first := b.submit("p1", "other", gpus(1, 8))
	b.step()
	urgent := b.submit("p0", "a", gpus(2, 8))
	b.now = b.now.Add(2 * time.Second)
	b.endAll(first, batch.EndDone)
	b.step()
	// The objective, twice the work and 1 s, is over when the first task ends.
	b.now = b.now.Add(4 * time.Second)
	b.submit("p1", "other", gpus(1, 8))
	b.endAll(urgent, batch.EndDone)
	b.step()
	if got, want := b.runs(urgent), 1; got != want {
		t.Errorf("got %d runs of the urgent job, want %d", got, want)
	}
}

// Guards against a worker that fails all it starts and so uses up the attempts of many jobs.
func TestWorkerThatFailsIsAvoided(t *testing.T) {
	b := newBench(t)
	w1 := b.worker("n1", "r1")
	first := b.submit("p1", "a", gpus(1, 1))
	b.step()
	b.worker("n2", "r2")
	b.endAll(first, batch.EndFailed)
	for range 4 {
		b.submit("p1", "a", gpus(1, 1))
	}
	b.step()
	if len(w1.running) != 0 {
		t.Errorf("got %d runs on the worker that has just failed one, want none", len(w1.running))
	}
}

// Guards against room that is given away while a member of a gang, ordered but not listed yet, still takes it.
func TestMemberOfADoneGangKeepsItsRoomUntilItIsListed(t *testing.T) {
	b := newBench(t)
	w1, w2 := b.worker("n1", "r1"), b.worker("n2", "r2")
	b.submit("p1", "a", gang(2, 8))
	b.scheduler.Plan(b.now, b.now)
	b.save()
	for _, w := range []*fake{w1, w2} {
		o, _ := b.scheduler.Orders(b.now, w.ID)
		if w == w1 {
			w.running = append(w.running, batch.RunStatus{RunID: o.Starts[0].RunID})
		}
	}
	w1.end(w1.running[0].RunID, batch.EndDone)
	b.report(w1)
	b.report(w2)
	b.submit("p1", "a", gpus(1, 8))
	b.submit("p1", "a", gpus(1, 8))
	b.step()
	if len(w2.running) != 0 {
		t.Error("a task was started on the worker whose list didn't show the member yet")
	}
	b.now = b.now.Add(foreignTime)
	b.report(w2)
	b.step()
	if got, want := len(w2.running), 1; got != want {
		t.Errorf("got %d runs once the list must show the member, want %d", got, want)
	}
}

// Guards against tasks that fill beside tasks whose users wait for them: they disturb each other.
func TestFillingTasksStayAwayFromServingOnes(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	serving := gpus(1, 1)
	serving.LongRunning, serving.MaxTailLatency = true, time.Second
	b.submit("p1", "a", serving)
	b.step()
	filling := gpus(1, 1)
	filling.CPUExempt = true
	id := b.submit("p2", "a", filling)
	b.step()
	if got := b.runs(id); got != 0 {
		t.Error("a task that fills was placed beside a serving one")
	}
	b.worker("n2", "r2")
	b.step()
	if got, want := b.runs(id), 1; got != want {
		t.Errorf("got %d runs on another worker, want %d", got, want)
	}
}

// Guards against starts without a ticket where a queue's steps need one, and against tickets that have run out.
func TestAdvisedStepWaitsForItsTicket(t *testing.T) {
	b := newBench(t)
	w1, w2 := b.worker("n1", "r1"), b.worker("n2", "r1")
	b.scheduler.policy.Queues["p1"] = batch.Queue{Name: "p1", Service: "svc", Priority: 1, Attempts: 2, Stretch: 2, RequiresTicket: true}
	id := b.submit("p1", "a", gpus(2, 1))
	b.step()
	q, ok := b.scheduler.NextAdviceQuery()
	if got := b.runs(id); got != 0 || !ok || len(q.Workers) != 2 {
		t.Fatalf("got %d runs and question %+v, want none and both workers asked for", got, q)
	}
	b.scheduler.ApplyAdvice(q, b.now, map[string]string{w2.ID: "ticket"}, time.Second)
	b.scheduler.Plan(b.now, b.now)
	b.save()
	if o, _ := b.scheduler.Orders(b.now, w2.ID); len(o.Starts) != 2 || o.Starts[0].Ticket != "ticket" {
		t.Errorf("got starts %+v, want two with the ticket", o.Starts)
	}
	if _, ok := b.scheduler.NextAdviceQuery(); ok {
		t.Error("a worker that may not run the step was asked for again")
	}
	if len(w1.running) != 0 {
		t.Error("a task was started on a worker without a ticket")
	}
	later := b.submit("p1", "a", gpus(1, 1))
	b.scheduler.Plan(b.now, b.now)
	q, _ = b.scheduler.NextAdviceQuery()
	b.scheduler.ApplyAdvice(q, b.now, map[string]string{w1.ID: "old"}, time.Second)
	b.now = b.now.Add(time.Second)
	b.step()
	if got := b.runs(later); got != 0 {
		t.Error("a task was started with a ticket that has run out")
	}
}

// Guards against runs that are thrown away with their worker although they could go on elsewhere at once (load:
// workers taken away at short notice), and against stops of runs that end in time.
func TestRunsLeaveADrainingWorkerInTime(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	short, long := gpus(1, 1), gpus(1, 1)
	short.Estimate, long.Estimate = time.Second, time.Minute
	stays, goes := b.submit("p1", "a", short), b.submit("p1", "a", long)
	b.step()
	b.worker("n2", "r2")
	w.Readiness, w.MinTimeLeft = batch.WorkerDraining, 2*time.Second
	b.report(w)
	b.scheduler.Evacuate(b.now)
	b.step()
	b.step()
	if len(w.running) != 1 || w.running[0].Task.Job != stays {
		t.Errorf("got %v on the draining worker, want the short run alone", w.running)
	}
	if got, want := b.runs(goes), 1; got != want {
		t.Errorf("got %d runs of the long task elsewhere, want %d", got, want)
	}
}
