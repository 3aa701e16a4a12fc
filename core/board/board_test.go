package board

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// Guards against an order before its record is stored: a later owner wouldn't know of the run.
func TestOrderWaitsForItsRecord(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	b.submit("p1", "a", gpus(1, 1))
	b.board.Plan(b.now, b.now)
	if o, _ := b.board.Orders(b.now, w.ID); len(o.Starts) != 0 {
		t.Errorf("got %d starts before the record is stored, want none", len(o.Starts))
	}
	b.save()
	if o, _ := b.board.Orders(b.now, w.ID); len(o.Starts) != 1 {
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
	if o, _ := b.board.Orders(b.now, w.ID); o.Seen != 0 {
		t.Errorf("got acknowledgement up to %d before the end is stored, want 0", o.Seen)
	}
	b.save()
	if o, _ := b.board.Orders(b.now, w.ID); o.Seen != 1 {
		t.Errorf("got acknowledgement up to %d after the end is stored, want 1", o.Seen)
	}
	if got, want := b.state(id), batch.Completed; got != want {
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
	if o, _ := b.board.Orders(b.now, w.ID); o.Seen != 0 {
		t.Errorf("got acknowledgement up to %d before the gang's end is stored, want 0", o.Seen)
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
	w2.end(w2.running[0].RunID, batch.EndBroken)
	b.report(w2)
	b.board.Plan(b.now, b.now)
	b.save()
	if o, _ := b.board.Orders(b.now, w2.ID); len(o.Starts) != 0 {
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
	if got, want := b.state(id), batch.Broken; got != want {
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
	if got, want := b.state(id), batch.Cancelled; got != want {
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
	b.now = b.now.Add(b.board.Lease())
	b.board.Expire(b.now, b.now)
	b.report(b.workers[batch.WorkerID("n2", "w", 1)])
	b.step()
	if got := b.runs(id); got != 0 {
		t.Error("the task was started elsewhere within the lease")
	}
	b.now = b.now.Add(time.Second)
	b.board.Expire(b.now, b.now)
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
	b.board.Adopt(b.now, b.now, &b.book)
	delete(b.workers, w.ID)
	w.ID, w.Born, w.running = batch.WorkerID("n1", "x", 2), 2, nil
	b.workers[w.ID] = w
	b.report(w)
	b.step()
	if got, want := b.runs(id), 1; got != want {
		t.Errorf("got %d runs on the later incarnation, want %d", got, want)
	}
	w.Born--
	if b.board.Report(b.now, b.now, &batch.Report{Worker: batch.Worker{ID: batch.WorkerID("n1", "w", 1), Node: "n1", Born: 1}}, 2) {
		t.Error("a report of the earlier incarnation was taken")
	}
}

// Guards against a new owner that starts again what runs already.
func TestNewOwnerAdoptsRuns(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(2, 1))
	b.step()
	b.board.Adopt(b.now, b.now, &b.book)
	b.report(w)
	b.step()
	b.endAll(id, batch.EndDone)
	b.step()
	if got, want := b.state(id), batch.Completed; got != want {
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
	b.board.Adopt(b.now, b.now, &b.book)
	b.board.Report(b.now, b.now, &batch.Report{Worker: w.Worker}, 2)
	if o, _ := b.board.Orders(b.now, w.ID); len(o.Starts) != 0 {
		t.Errorf("got starts %v for a worker without lists, want none", o.Starts)
	}
	b.report(w)
	if o, _ := b.board.Orders(b.now, w.ID); len(o.Starts) != 0 {
		t.Errorf("got starts %v for a run that is listed, want none", o.Starts)
	}
	// A run that the first lists lack has not begun, and is ordered.
	b.board.Adopt(b.now, b.now, &b.book)
	w.running = nil
	b.report(w)
	if o, _ := b.board.Orders(b.now, w.ID); len(o.Starts) != 1 {
		t.Errorf("got starts %v for a run that is not listed, want one of job %s", o.Starts, id)
	}
}

// Guards against runs that no record names and that nobody stops, and against their room being given away.
func TestForeignRunIsStoppedAndKeepsItsRoom(t *testing.T) {
	b := newBench(t)
	w := b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(1, 8))
	stray := batch.RunID{Task: batch.TaskID{Job: id, Index: 0}, Run: 7}
	w.running = append(w.running, batch.Listing{RunID: stray})
	b.report(w)
	b.board.Plan(b.now, b.now)
	b.save()
	o, _ := b.board.Orders(b.now, w.ID)
	if len(o.Stops) != 1 || o.Stops[0] != stray {
		t.Errorf("got stops %v, want %v", o.Stops, stray)
	}
	if len(o.Starts) != 0 {
		t.Error("a task was started on a worker that the foreign run fills")
	}
}

// Guards against a guarantee that others keep: with all accelerators lent out, a claim gets them back, and no
// more runs are stopped than it needs.
func TestGuaranteeIsReclaimed(t *testing.T) {
	b := newBench(t, batch.Team{Name: "owner", Guarantee: 8})
	b.worker("n1", "r1")
	b.worker("n2", "r1")
	lent := b.submit("p2", "other", gpus(16, 1))
	b.step()
	claim := b.submit("p0", "owner", gang(2, 4))
	b.step()
	b.step()
	if got, want := b.runs(claim), 2; got != want {
		t.Errorf("got %d members of the claim, want %d", got, want)
	}
	if got, want := b.runs(lent), 8; got != want {
		t.Errorf("got %d lent runs left, want %d", got, want)
	}
}

// Guards against urgent work that waits behind work with time to spare (load: a burst beyond the guarantee), and
// against stops while it could still wait.
func TestUrgentWorkStopsOthersOnlyWhenItWouldBeLate(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	lent := gpus(8, 1)
	lent.Checkpoints = true
	b.submit("p2", "other", lent)
	b.step()
	urgent := b.submit("p0", "a", gpus(1, 4))
	b.step()
	b.step()
	if got := b.runs(urgent); got != 0 {
		t.Error("others were stopped although the urgent job can wait")
	}
	// The objective is 2 x 2 s + 1 s: the job has to start within 3 s.
	b.now = b.now.Add(2 * time.Second)
	for _, w := range b.workers {
		b.report(w)
	}
	b.step()
	b.step()
	if got, want := b.runs(urgent), 1; got != want {
		t.Errorf("got %d urgent runs, want %d", got, want)
	}
}

// Guards against small work that fills room again and again while a gang waits for it (load: a stream of small jobs).
func TestGangFindsRoomInAStreamOfSmallJobs(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	b.worker("n2", "r1")
	var small []model.JobID
	for range 16 {
		small = append(small, b.submit("p1", "other", gpus(1, 1)))
	}
	b.step()
	large := b.submit("p1", "a", gang(2, 8))
	for i := 0; i < len(small) && b.runs(large) == 0; i++ {
		b.now = b.now.Add(250 * time.Millisecond)
		b.endAll(small[i], batch.EndDone)
		b.submit("p1", "other", gpus(1, 1))
		b.step()
	}
	b.step()
	if got, want := b.runs(large), 2; got != want {
		t.Errorf("got %d members after all earlier jobs had ended, want %d", got, want)
	}
}

// Guards against large single tasks that never find room, because small ones take what becomes free (load: a stream of
// small jobs on full workers).
func TestLargeTaskFindsRoomInAStreamOfSmallJobs(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	var small []model.JobID
	for range 8 {
		small = append(small, b.submit("p2", "other", gpus(1, 1)))
	}
	b.step()
	large := b.submit("p1", "a", gpus(1, 8))
	for i := 0; i < len(small) && b.runs(large) == 0; i++ {
		b.now = b.now.Add(250 * time.Millisecond)
		b.endAll(small[i], batch.EndDone)
		b.submit("p2", "other", gpus(1, 1))
		b.step()
	}
	b.step()
	if got, want := b.runs(large), 1; got != want {
		t.Errorf("got %d runs after all earlier jobs had ended, want %d", got, want)
	}
}

// Guards against free workers that are kept for tasks which wait for their data's rack, while small tasks wait (load:
// a wide job of large tasks beside small ones; on bhn-hoist-grown trouble-2 with seed 2 small tasks did not run at the
// end of the day, with most workers free).
func TestTasksThatWaitForTheirRackKeepNoOthers(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	b.submit("p0", "other", gpus(1, 8))
	b.step()
	b.worker("n2", "r2")
	large := gpus(6, 8)
	large.Rack = "r1"
	wide := b.submit("p1", "a", large)
	small := b.submit("p2", "a", gpus(8, 1))
	b.step()
	if got, want := b.runs(small), 8; got != want {
		t.Errorf("got %d small tasks beside a job that waits for its rack, want %d", got, want)
	}
	if got := b.runs(wide); got != 0 {
		t.Errorf("got %d tasks away from their data, want none yet", got)
	}
}

// Guards against a wide job whose large tasks keep all workers (load: as before, without a rack).
func TestWideJobLeavesWorkersForOthers(t *testing.T) {
	b := newBench(t)
	for i := range 8 {
		b.worker(fmt.Sprintf("n%d", i), "r1")
	}
	var running []model.JobID
	for range 8 {
		running = append(running, b.submit("p1", "other", gpus(1, 7)))
	}
	b.step()
	wide := b.submit("p1", "a", gpus(20, 8))
	b.now = b.now.Add(500 * time.Millisecond)
	small := gpus(8, 1)
	small.Estimate = time.Minute
	id := b.submit("p2", "a", small)
	b.step()
	if got, want := b.runs(id), 6; got != want {
		t.Errorf("got %d small tasks beside a wide job, want %d: it keeps a quarter of the workers", got, want)
	}
	for _, j := range running {
		b.endAll(j, batch.EndDone)
	}
	b.step()
	if got, want := b.runs(wide), 2; got != want {
		t.Errorf("got %d tasks of the wide job on the workers that it kept, want %d", got, want)
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

// Guards against work that is handed to a worker which makes no progress (load: a worker that hangs).
func TestWorkerThatStandsStillGetsNoWork(t *testing.T) {
	b := newBench(t)
	w1 := b.worker("n1", "r1")
	id := b.submit("p1", "a", gpus(1, 1))
	b.step()
	b.worker("n2", "r2")
	for range 3 {
		b.now = b.now.Add(time.Second)
		for _, w := range b.workers {
			b.report(w)
		}
		b.board.Unstick(b.now)
	}
	b.step()
	b.step()
	if len(w1.running) != 0 || b.runs(id) != 1 {
		t.Errorf("got %d runs on the worker that stands still and %d in all, want 0 and 1", len(w1.running), b.runs(id))
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
	b.board.Plan(b.now, b.now)
	b.save()
	for _, w := range []*fake{w1, w2} {
		o, _ := b.board.Orders(b.now, w.ID)
		if w == w1 {
			w.running = append(w.running, batch.Listing{RunID: o.Starts[0].RunID})
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
	serving.Lasting, serving.Tail = true, time.Second
	b.submit("p1", "a", serving)
	b.step()
	filling := gpus(1, 1)
	filling.Fills = true
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
	b.board.terms.Queues["p1"] = batch.Queue{Name: "p1", Service: "svc", Priority: 1, Attempts: 2, Stretch: 2, Advised: true}
	id := b.submit("p1", "a", gpus(2, 1))
	b.step()
	q, ok := b.board.Question()
	if got := b.runs(id); got != 0 || !ok || len(q.Workers) != 2 {
		t.Fatalf("got %d runs and question %+v, want none and both workers asked for", got, q)
	}
	b.board.Advised(q, b.now, map[string]string{w2.ID: "ticket"}, time.Second)
	b.board.Plan(b.now, b.now)
	b.save()
	if o, _ := b.board.Orders(b.now, w2.ID); len(o.Starts) != 2 || o.Starts[0].Ticket != "ticket" {
		t.Errorf("got starts %+v, want two with the ticket", o.Starts)
	}
	if _, ok := b.board.Question(); ok {
		t.Error("a worker that may not run the step was asked for again")
	}
	if len(w1.running) != 0 {
		t.Error("a task was started on a worker without a ticket")
	}
	later := b.submit("p1", "a", gpus(1, 1))
	b.board.Plan(b.now, b.now)
	q, _ = b.board.Question()
	b.board.Advised(q, b.now, map[string]string{w1.ID: "old"}, time.Second)
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
	w.Readiness, w.Left = batch.Draining, 2*time.Second
	b.report(w)
	b.board.Evacuate(b.now)
	b.step()
	b.step()
	if len(w.running) != 1 || w.running[0].Task.Job != stays {
		t.Errorf("got %v on the draining worker, want the short run alone", w.running)
	}
	if got, want := b.runs(goes), 1; got != want {
		t.Errorf("got %d runs of the long task elsewhere, want %d", got, want)
	}
}

// Guards against guaranteed gangs that are spread over racks while borrowers fill the racks, which makes them several times
// slower (load: a burst of gangs on lent accelerators), and against a claim that waits too long for one rack.
func TestGuaranteedGangReclaimsOneRack(t *testing.T) {
	b := newBench(t, batch.Team{Name: "owner", Guarantee: 16})
	for i, rack := range []string{"r1", "r1", "r2", "r2"} {
		b.worker(fmt.Sprintf("n%d", i), rack)
	}
	// Two borrowers of a rack each leave one worker of each rack free.
	borrowed := gpus(1, 8)
	for _, rack := range []string{"r1", "r2"} {
		borrowed.Rack = rack
		b.submit("p1", "other", borrowed)
	}
	b.step()
	tight := gang(2, 8)
	tight.OneRack = true
	claim := b.submit("p0", "owner", tight)
	b.step()
	b.step()
	racks := map[string]int{}
	for _, w := range b.workers {
		for _, l := range w.running {
			if l.Task.Job == claim {
				racks[w.Labels[1]]++
			}
		}
	}
	if len(racks) != 1 || b.runs(claim) != 2 {
		t.Errorf("got members %v by rack, want both in one", racks)
	}
}
