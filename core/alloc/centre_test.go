package alloc

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// addWorkerIn adds a worker on a rack in a data centre.
func (f *fixture) addWorkerIn(node, rack, centre string) *fakeWorker {
	w := f.addWorker(node, rack)
	w.Centre = centre
	f.report(w)
	return w
}

// evacuate replaces the evacuated data centres, as the owner does at a tick.
func (f *fixture) evacuate(centres ...string) {
	f.scheduler.SetEvacuated(f.now, centres)
	f.scheduler.EnforceEvacuation(f.now, f.now)
}

// pass lets time pass in ticks.
func (f *fixture) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		f.scheduler.EnforceEvacuation(f.now, f.now)
	}
}

// traceKinds returns a function that returns the events so far whose text contains kind.
func (f *fixture) traceKinds() func(kind string) []string {
	var events []string
	f.scheduler.Trace = func(e Event) {
		events = append(events, fmt.Sprintf("%s %s team=%s runs=%d since=%d %s", e.Kind, e.Centre, e.Team, e.Runs, e.Since.Milliseconds(), e.Detail))
	}
	return func(kind string) []string {
		return slices.DeleteFunc(slices.Clone(events), func(e string) bool { return !strings.Contains(e, kind) })
	}
}

// Tasks were started in a data centre that operators had evacuated. They have to start elsewhere, and there again as soon as it is
// back in service. An empty name must not match the workers without a data centre, nor an unknown one any.
func TestNothingStartsInEvacuatedCentre(t *testing.T) {
	f := newFixture(t)
	w1, w2, w3 := f.addWorkerIn("n1", "r1", "c1"), f.addWorkerIn("n2", "r2", "c2"), f.addWorkerIn("n3", "r3", "")
	f.evacuate("c1", "c1", "", "c9")
	f.submit("p1", "a", gpuStep(20, 1))
	f.runRound()
	if got := []int{len(w1.running), len(w2.running), len(w3.running)}; !slices.Equal(got, []int{0, 8, 8}) {
		t.Errorf("got %v runs in the evacuated data centre and on the other workers, want 0, 8 and 8", got)
	}
	f.evacuate("c1", "c2")
	f.submit("p1", "a", gpuStep(1, 1))
	f.runRound()
	if got := len(w1.running); got != 0 {
		t.Errorf("got %d runs while two data centres are evacuated, want none", got)
	}
	f.evacuate("c2")
	f.runRound()
	if got, want := len(w1.running), 5; got != want {
		t.Errorf("got %d runs after the return to service, want %d", got, want)
	}
}

// Runs in progress go on to their end: stopping them loses work and frees nothing. A claim of a guarantee must not stop them
// either, since their capacity can't be used.
func TestRunsInEvacuatedCentreGoOn(t *testing.T) {
	f := newFixture(t, batch.Team{Name: "a", Guarantee: 8})
	w1 := f.addWorkerIn("n1", "r1", "c1")
	borrowed := f.submit("p2", "b", gpuStep(8, 1))
	f.runRound()
	w2 := f.addWorkerIn("n2", "r2", "c2")
	later := f.submit("p2", "b", gpuStep(8, 1))
	f.runRound()
	f.evacuate("c1")
	claim := f.submit("p0", "a", gpuStep(8, 1))
	for range 4 {
		f.pass(time.Second)
		f.report(w1)
		f.runRound()
	}
	if got, want := len(w1.running), 8; got != want {
		t.Errorf("got %d runs left in the evacuated data centre, want %d", got, want)
	}
	if got, want := f.countRuns(claim), 8; got != want || len(w2.running) != want {
		t.Errorf("got %d runs of the claim and %d on the other worker, want %d", got, len(w2.running), want)
	}
	f.endRuns(borrowed, batch.EndDone)
	f.storeProgress()
	if got, want := f.state(borrowed), batch.JobCompleted; got != want {
		t.Errorf("got state %q of the job in the evacuated data centre, want %q", got, want)
	}
	if got := f.countRuns(later); got != 0 {
		t.Errorf("got %d runs of the preempted job, want none while its workers are in use", got)
	}
}

// A placement that is still to be stored or sent when the owner learns of the evacuation must not be sent. Its task is placed
// elsewhere without waiting for the agent, which knows nothing of it; so are the other members of its gang.
func TestUnsentPlacementIsWithdrawn(t *testing.T) {
	f := newFixture(t)
	w1 := f.addWorkerIn("n1", "r1", "c1")
	f.addWorkerIn("n2", "r2", "c2")
	gang := f.submit("p1", "a", gangStep(2, 6))
	f.scheduler.Plan(f.now, f.now)
	single := f.submit("p1", "a", gpuStep(1, 2))
	f.scheduler.Plan(f.now, f.now)
	if got, want := len(f.scheduler.workers[w1.ID].runs), 2; got != want {
		t.Fatalf("got %d placements in the data centre before its evacuation, want %d", got, want)
	}
	f.addWorkerIn("n3", "r3", "c3")
	f.evacuate("c1")
	f.runRound()
	if got, want := f.countRuns(single), 1; got != want {
		t.Errorf("got %d runs of the single task, want %d", got, want)
	}
	if got, want := f.countRuns(gang), 2; got != want {
		t.Errorf("got %d members of the gang, want %d", got, want)
	}
	if got := len(w1.running); got != 0 {
		t.Errorf("got %d runs in the evacuated data centre, want none", got)
	}
}

// A start that is on its way when the owner learns of the evacuation may have been carried out: the run goes on if it is listed
// within a second, and is stopped otherwise. A start whose agent is cut off would leave its task waiting for the lease.
func TestUnconfirmedPlacementIsStopped(t *testing.T) {
	for _, listed := range []bool{true, false} {
		f := newFixture(t)
		w := f.addWorkerIn("n1", "r1", "c1")
		f.submit("p1", "a", gpuStep(1, 1))
		f.scheduler.Plan(f.now, f.now)
		f.storeProgress()
		o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20)
		if len(o.Starts) != 1 {
			t.Fatalf("got %d starts, want 1", len(o.Starts))
		}
		other := f.addWorkerIn("n2", "r2", "c2")
		f.evacuate("c1")
		f.scheduler.Plan(f.now, f.now)
		if got := len(f.scheduler.workers[other.ID].runs); got != 0 {
			t.Errorf("listed %v: got %d placements elsewhere while the run may exist, want none", listed, got)
		}
		f.pass(unconfirmedLimit / 2)
		if listed {
			w.running = append(w.running, batch.RunStatus{RunID: o.Starts[0].RunID})
		}
		f.report(w)
		f.pass(unconfirmedLimit)
		o, _ = f.scheduler.Orders(f.now, w.ID, 1<<20)
		if got, want := len(o.Stops) == 1, !listed; got != want || len(o.Starts) != 0 {
			t.Errorf("listed %v: got orders %+v, want a stop: %v", listed, o, want)
		}
		if listed {
			continue
		}
		w.refused = append(w.refused, batch.Refusal{RunID: o.Stops[0], Reason: batch.RefusedStopped})
		f.report(w)
		f.runRound()
		if got, want := len(f.scheduler.workers[other.ID].runs), 1; got != want {
			t.Errorf("got %d placements elsewhere after the refusal, want %d", got, want)
		}
	}
}

// A successor of the owner knows neither the data centre of a worker that hasn't reported to it nor what runs there. It must not
// stop runs in progress because they aren't listed yet, nor resend starts that its predecessor has sent.
func TestSuccessorKeepsRunsInEvacuatedCentre(t *testing.T) {
	f := newFixture(t)
	w := f.addWorkerIn("n1", "r1", "c1")
	id := f.submit("p1", "a", gpuStep(2, 1))
	f.scheduler.Plan(f.now, f.now)
	f.storeProgress()
	o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20)
	// The other start was lost.
	w.running = append(w.running, batch.RunStatus{RunID: o.Starts[0].RunID})
	f.scheduler = Scheduler{Trace: f.scheduler.Trace}
	f.scheduler.StartTerm(f.now, f.now, &f.cache)
	kinds := f.traceKinds()
	f.evacuate("c1")
	f.pass(3 * time.Second)
	f.report(w)
	f.scheduler.EnforceEvacuation(f.now, f.now)
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); len(o.Starts)+len(o.Stops) != 0 {
		t.Errorf("got orders %+v after the first list, want none", o)
	}
	if got := kinds("data centre evacuated"); len(got) != 1 || !strings.Contains(got[0], "runs=2") {
		t.Errorf("got events %q, want the evacuation with both runs", got)
	}
	f.pass(unconfirmedLimit + 200*time.Millisecond)
	o, _ = f.scheduler.Orders(f.now, w.ID, 1<<20)
	if len(o.Starts) != 0 || len(o.Stops) != 1 || o.Stops[0] == w.running[0].RunID {
		t.Errorf("got orders %+v, want the stop of the run that isn't listed", o)
	}
	if got, want := f.countRuns(id), 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// A restarted agent has no lists at first. A run whose start it had received before may be in progress, and must not be stopped
// before the worker has had its second to list it.
func TestRestartedAgentKeepsRunsInEvacuatedCentre(t *testing.T) {
	f := newFixture(t)
	w := f.addWorkerIn("n1", "r1", "c1")
	f.submit("p1", "a", gpuStep(1, 1))
	f.scheduler.Plan(f.now, f.now)
	f.storeProgress()
	o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20)
	w.running = append(w.running, batch.RunStatus{RunID: o.Starts[0].RunID})
	f.scheduler.ApplyReport(f.now, f.now, &batch.Report{Worker: w.Worker}, 2)
	f.evacuate("c1")
	f.pass(3 * unconfirmedLimit)
	f.scheduler.ApplyReport(f.now, f.now, &batch.Report{Worker: w.Worker, Listed: true, Running: w.running}, 2)
	f.pass(3 * unconfirmedLimit)
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); len(o.Starts)+len(o.Stops) != 0 {
		t.Errorf("got orders %+v for a run in progress, want none", o)
	}
}

// The owner learns of an evacuation between the storing of a placement and its order. The order must not follow.
func TestNoStartIsOrderedInEvacuatedCentre(t *testing.T) {
	f := newFixture(t)
	w := f.addWorkerIn("n1", "r1", "c1")
	f.submit("p1", "a", gpuStep(1, 1))
	f.scheduler.Plan(f.now, f.now)
	f.scheduler.SetEvacuated(f.now, []string{"c1"})
	f.storeProgress()
	if o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20); len(o.Starts) != 0 {
		t.Errorf("got %d starts, want none", len(o.Starts))
	}
}

// An agent that learns of an evacuation before the owner refuses. Placed on the same worker again at once, the task would be
// refused again and again, each time with a write to the store. When the data centre is back, its workers are used at once.
func TestRefusalBecauseOfEvacuationPausesTheWorker(t *testing.T) {
	f := newFixture(t)
	w := f.addWorkerIn("n1", "r1", "c1")
	id := f.submit("p1", "a", gpuStep(1, 1))
	f.scheduler.Plan(f.now, f.now)
	f.storeProgress()
	o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20)
	w.refused = []batch.Refusal{{RunID: o.Starts[0].RunID, Reason: batch.RefusedEvacuated}}
	f.report(w)
	f.runRound()
	if got := f.countRuns(id); got != 0 {
		t.Errorf("got %d runs right after the refusal, want none", got)
	}
	f.evacuate("c1")
	f.evacuate()
	f.runRound()
	if got, want := f.countRuns(id), 1; got != want {
		t.Errorf("got %d runs after the return to service, want %d", got, want)
	}
}

// A task waits for its data's rack for twice the time that it loses elsewhere. Where the rack is in an evacuated data centre, it
// would wait in vain.
func TestTaskDoesNotWaitForEvacuatedRack(t *testing.T) {
	for _, tc := range []struct {
		name      string
		evacuated []string
		second    string
		leaves    bool
		gang      bool
		want      int
	}{
		{"in service", nil, "", false, false, 0},
		{"another data centre is evacuated", []string{"c9"}, "", false, false, 0},
		{"evacuated", []string{"c1"}, "", false, false, 1},
		{"evacuated, gang", []string{"c1"}, "", false, true, 1},
		{"a worker of the rack is in another data centre", []string{"c1"}, "c3", false, false, 0},
		{"the rack's worker has left", []string{"c1"}, "", true, false, 1},
		{"the rack's worker has left a data centre in service", []string{"c9"}, "", true, false, 0},
	} {
		f := newFixture(t)
		w1, w2 := f.addWorkerIn("n1", "r1", "c1"), f.addWorkerIn("n2", "r2", "c2")
		fill := f.submit("p0", "a", gpuStep(1, 8))
		f.runRound()
		if len(w1.running) == 0 {
			t.Fatal("got no task on the rack's worker, want one that fills it")
		}
		if tc.second != "" {
			w := f.addWorkerIn("n3", "r1", tc.second)
			w.Capacity.GPU = 0
			f.report(w)
		}
		if tc.leaves {
			f.endRuns(fill, batch.EndDone)
			w1.Readiness = batch.WorkerDeparted
			f.report(w1)
		}
		f.evacuate(tc.evacuated...)
		step := gpuStep(1, 1)
		step.DataRack, step.Gang, step.Estimate = "r1", tc.gang, time.Minute
		id := f.submit("p1", "a", step)
		f.scheduler.Plan(f.now, f.now)
		got := 0
		for _, run := range f.scheduler.workers[w2.ID].runs {
			if run.job.job.ID == id {
				got++
			}
		}
		if got != tc.want {
			t.Errorf("%s: got %d placements on another rack at once, want %d", tc.name, got, tc.want)
		}
	}
}

// A rack-local gang whose data are in an evacuated data centre goes to another rack, but isn't spread over several at once: its
// members would be slow.
func TestRackLocalGangIsNotSpreadByEvacuation(t *testing.T) {
	f := newFixture(t)
	f.addWorkerIn("n1", "r1", "c1")
	for i := range 4 {
		f.addWorkerIn(fmt.Sprintf("m%d", i), fmt.Sprintf("r%d", 2+i/2), "c2")
	}
	var busy []model.JobID
	for _, rack := range []string{"r2", "r3"} {
		step := gpuStep(1, 8)
		step.RequiredLabel = rack
		busy = append(busy, f.submit("p0", "a", step))
	}
	f.runRound()
	f.evacuate("c1")
	step := gangStep(2, 8)
	step.DataRack, step.RackLocal, step.Estimate = "r1", true, time.Minute
	id := f.submit("p1", "a", step)
	f.runRound()
	if got := f.countRuns(id); got != 0 {
		t.Errorf("got %d members while no rack has room for all, want none", got)
	}
	f.endRuns(busy[1], batch.EndDone)
	f.runRound()
	if got, want := f.countRuns(id), 2; got != want {
		t.Errorf("got %d members once a rack has room for all, want %d", got, want)
	}
}

// Workers that have started recently are slow. They come after warm ones, but stay preferred over what ranks lower: a worker in
// the data's rack, or one without failures.
func TestWarmWorkersAreUsedFirst(t *testing.T) {
	f := newFixture(t)
	cold, warm := f.addWorkerIn("n1", "r1", "c1"), f.addWorkerIn("n2", "r2", "c1")
	// The cold worker is the better fit.
	cold.Capacity.GPU, cold.coldTime = 4, time.Second
	f.report(cold)
	id := f.submit("p1", "a", gpuStep(1, 1))
	f.runRound()
	if len(warm.running) != 1 {
		t.Errorf("got %d runs on the warm worker, want 1", len(warm.running))
	}
	f.endRuns(id, batch.EndDone)
	local := gpuStep(1, 1)
	local.DataRack = "r1"
	f.submit("p1", "a", local)
	f.runRound()
	if len(cold.running) != 1 {
		t.Errorf("got %d runs on the cold worker in the data's rack, want 1", len(cold.running))
	}
	f.now = f.now.Add(cold.coldTime)
	f.submit("p1", "a", gpuStep(1, 1))
	f.scheduler.Plan(f.now, f.now)
	if got, want := len(f.scheduler.workers[cold.ID].runs), 2; got != want {
		t.Errorf("got %d placements on the worker once it is warm, want %d", got, want)
	}
}

// A gang takes the rack with warm workers, although the cold one is the better fit.
func TestGangPrefersWarmWorkers(t *testing.T) {
	f := newFixture(t)
	cold := f.addWorkerIn("n1", "r1", "c1")
	cold.Capacity.GPU, cold.coldTime = 4, time.Second
	f.report(cold)
	warm := f.addWorkerIn("n2", "r2", "c1")
	step := gangStep(2, 1)
	step.RackLocal = true
	f.submit("p1", "a", step)
	f.runRound()
	if got, want := len(warm.running), 2; got != want {
		t.Errorf("got %d members on the warm worker, want %d", got, want)
	}
}

// Operators follow an evacuation in the log: each line must appear once, with the number of runs and the time. An unknown data
// centre must not be reported as evacuated, and only after the agents had time to report to a new owner.
func TestEvacuationIsReported(t *testing.T) {
	f := newFixture(t)
	kinds := f.traceKinds()
	f.addWorkerIn("n1", "r1", "c1")
	id := f.submit("p1", "a", gpuStep(2, 1))
	f.runRound()
	f.evacuate("c1", "c9")
	f.pass(2 * time.Second)
	f.endRuns(id, batch.EndDone)
	f.pass(2 * unknownCentreTime)
	f.evacuate()
	f.pass(time.Second)
	for kind, want := range map[string]string{
		"data centre evacuated":                   "c1 team= runs=2 since=0 ",
		"last run in evacuated data centre ended": "c1 team= runs=0 since=2100 ",
		"data centre returned to service":         "c1 team= runs=0 since=12000 ",
		"evacuated data centre has no worker":     "c9 team= runs=0 since=5100 ",
	} {
		if got := kinds(kind); !slices.Equal(got, []string{kind + " " + want}) {
			t.Errorf("got events %q, want only %q", got, kind+" "+want)
		}
	}
}

// A guarantee whose accelerators are in an evacuated data centre can't be met. Without a reason in the log it would look like a
// fault of the scheduler.
func TestLostGuaranteeIsReported(t *testing.T) {
	f := newFixture(t, batch.Team{Name: "a", Guarantee: 8}, batch.Team{Name: "b", Guarantee: 4}, batch.Team{Name: "c"})
	kinds := f.traceKinds()
	f.addWorkerIn("n1", "r1", "c1")
	f.addWorkerIn("n2", "r2", "c2")
	f.evacuate("c1")
	f.pass(time.Second)
	lost := kinds("guarantee lost capacity")
	if len(lost) != 1 || !strings.Contains(lost[0], "c1 team=b") || !strings.Contains(lost[0], "12 accelerators are guaranteed") {
		t.Errorf("got events %q, want one of team b with the reason", lost)
	}
	f.evacuate()
	f.pass(time.Second)
	if got := kinds("guarantee has its capacity again"); len(got) != 1 || !strings.Contains(got[0], "team=b") {
		t.Errorf("got events %q, want one of team b", got)
	}
}

// Workers for large tasks are reserved up to a share of all. Those that can't be used must not raise it: the others would be kept
// from small tasks.
func TestReservationsDoNotCountEvacuatedWorkers(t *testing.T) {
	f := newFixture(t)
	for i := range 8 {
		f.addWorkerIn(fmt.Sprintf("n%d", i), "r1", []string{"c1", "c2"}[i/4])
	}
	long := gpuStep(8, 5)
	long.Estimate = time.Minute
	f.submit("p1", "a", long)
	f.runRound()
	f.evacuate("c2")
	f.submit("p1", "a", gpuStep(8, 8))
	f.scheduler.Plan(f.now, f.now)
	small := gpuStep(12, 1)
	small.Estimate = 2 * time.Minute
	id := f.submit("p1", "a", small)
	f.runRound()
	// One of the four workers in service is reserved; the others have three free accelerators each.
	if got, want := f.countRuns(id), 9; got != want {
		t.Errorf("got %d small tasks beside the reservation, want %d", got, want)
	}
}
