package cell

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// newRunningGang returns a simulation with two processes. The first owns the cell and runs the gang "j-4".
func newRunningGang(t *testing.T) (sim *simulation, first, second *process) {
	t.Helper()
	n := 0
	sim = newSimulation(func(max int) int { n = (n*7 + 3) % 101; return n % max })
	first = sim.startProcess()
	sim.runFor(2 * time.Second)
	second = sim.startProcess()
	sim.submitJob(first, "j-4")
	sim.runFor(2 * time.Second)
	if got := sim.runningTasks("j-4"); got != 4 || !first.cell.Owns(sim.now) {
		t.Fatalf("before the fault: got %d tasks running, owner %v", got, first.cell.Owns(sim.now))
	}
	return sim, first, second
}

func (sim *simulation) runningTasks(job model.JobID) int {
	n := 0
	for _, t := range sim.tasks {
		if t.Job == job && t.State == TaskRunning {
			n++
		}
	}
	return n
}

// TestOneOwnerAndRunningGangAfterFault injects one fault at a time into a cell with a running gang. Afterwards one process
// has to own the cell, and all tasks of the gang have to run, under the epoch and placement that the row expects.
func TestOneOwnerAndRunningGangAfterFault(t *testing.T) {
	type finalState struct {
		// epoch is that of the plan, placement that of the gang; fenced says that a command of the former owner has to
		// be refused.
		epoch     model.Epoch
		placement int
		fenced    bool
	}
	for _, tc := range []struct {
		name  string
		fault func(sim *simulation, first, second *process)
		want  finalState
	}{
		{"owner paused past its lease and resumed", func(sim *simulation, first, _ *process) {
			first.paused, first.watchesLost = true, true
			sim.runFor(3 * time.Second)
			sim.resume(first)
		}, finalState{epoch: 2, placement: 1, fenced: true}},
		{"owner killed", func(_ *simulation, first, _ *process) { first.dead = true }, finalState{epoch: 2, placement: 1}},
		{"two owners overlap: the first can't reach the store", func(sim *simulation, first, _ *process) {
			first.watchesLost = true
			first.alterEffect = func(e Effect) Effect {
				if r, ok := e.(RenewLease); ok {
					r.Lease = 0
					return r
				}
				return e
			}
		}, finalState{epoch: 2, placement: 1, fenced: true}},
		{"worker lost", func(sim *simulation, _, _ *process) { sim.loseWorkers([]string{"w1"}) }, finalState{epoch: 1, placement: 2}},
		{"owner and worker both lost", func(sim *simulation, first, _ *process) {
			first.dead = true
			sim.loseWorkers([]string{"w1"})
		}, finalState{epoch: 2, placement: 2}},
		{"every answer to a write lost for a second", func(sim *simulation, _, _ *process) {
			sim.fault = func(e Effect) callOutcome {
				if _, ok := e.(WriteLog); ok {
					return answerLost
				}
				return delivered
			}
			sim.loseWorkers([]string{"w1"})
			sim.runFor(time.Second)
			sim.fault = func(Effect) callOutcome { return delivered }
		}, finalState{epoch: 1, placement: 2}},
		// The owner continues under its epoch, so that no gang has to be adopted when the store is back.
		{"store down for a minute", func(sim *simulation, _, _ *process) {
			sim.storeDown = true
			sim.runFor(time.Minute)
			if got := sim.runningTasks("j-4"); got != 4 {
				sim.violations = append(sim.violations, "running work stopped during the outage")
			}
			sim.storeDown = false
		}, finalState{epoch: 1, placement: 1}},
		{"worker lost while the store is down", func(sim *simulation, _, _ *process) {
			sim.storeDown = true
			sim.runFor(3 * time.Second)
			sim.loseWorkers([]string{"w1"})
			sim.runFor(3 * time.Second)
			if got := sim.runningTasks("j-4"); got != 4 {
				sim.violations = append(sim.violations, "the gang was not placed again during the outage")
			}
			sim.storeDown = false
		}, finalState{epoch: 1, placement: 2}},
		{"detached owner killed at the return of the store", func(sim *simulation, first, _ *process) {
			sim.storeDown = true
			sim.runFor(3 * time.Second)
			sim.loseWorkers([]string{"w1"})
			sim.runFor(3 * time.Second)
			sim.storeDown, first.dead = false, true
		}, finalState{epoch: 2, placement: 3}},
		// A third process, which has not seen the outage, contends for the cell beside the one that has.
		{"a process starts at the return of the store", func(sim *simulation, first, _ *process) {
			sim.storeDown = true
			sim.runFor(3 * time.Second)
			sim.loseWorkers([]string{"w1"})
			sim.runFor(3 * time.Second)
			// The owner is slow, but writes within the time that contenders wait for it.
			sim.storeDown, first.paused = false, true
			sim.startProcess()
			sim.runFor(600 * time.Millisecond)
			sim.resume(first)
		}, finalState{epoch: 1, placement: 2}},
		{"detached owner paused while another takes over", func(sim *simulation, first, _ *process) {
			sim.storeDown = true
			sim.runFor(3 * time.Second)
			first.paused = true
			sim.runFor(time.Second)
			sim.storeDown = false
			sim.runFor(4 * time.Second)
			sim.resume(first)
			if first.cell.Owns(sim.now) {
				sim.violations = append(sim.violations, "an owner decided after a pause without asking the store")
			}
		}, finalState{epoch: 2, placement: 2}},
		// The next owner's request to stop the unknown task is lost, so both runs of the job would overlap if that owner
		// didn't wait for the end of the first.
		{"a job of a detached owner is submitted again at the next", func(sim *simulation, first, second *process) {
			second.paused, first.storeUnreachable = true, true
			sim.runFor(3 * time.Second)
			sim.submitJob(first, "k-1")
			sim.runFor(time.Second)
			if got := sim.runningTasks("k-1"); got != 1 {
				sim.violations = append(sim.violations, "the detached owner did not start the job")
			}
			sim.fault = func(e Effect) callOutcome {
				if r, ok := e.(RevokeTasks); ok && r.Job == "" {
					return requestLost
				}
				return delivered
			}
			sim.resume(second)
			for !second.cell.Owns(sim.now) {
				sim.runFor(10 * time.Millisecond)
			}
			sim.submitJob(second, "k-1")
			sim.runFor(6 * time.Second)
			if got := sim.runningTasks("k-1"); got != 1 {
				sim.violations = append(sim.violations, "the job does not run at the next owner")
			}
		}, finalState{epoch: 2, placement: 1, fenced: true}},
		{"a later owner comes before the detached one has written", func(sim *simulation, first, second *process) {
			second.paused, first.storeUnreachable = true, true
			sim.runFor(3 * time.Second)
			sim.submitJob(first, "k-1")
			sim.submitJob(first, "l-1")
			sim.runFor(time.Second)
			sim.finishTasks("l-1")
			sim.runFor(time.Second)
			sim.resume(second)
			sim.runFor(3 * time.Second)
			first.storeUnreachable = false
			sim.runFor(4 * time.Second)
			if k, l := sim.runningTasks("k-1"), sim.runningTasks("l-1"); k != 1 || l != 0 {
				sim.violations = append(sim.violations, fmt.Sprintf("%d tasks run of the accepted job, %d of the finished one", k, l))
			}
		}, finalState{epoch: 2, placement: 1, fenced: true}},
		{"only the owner can't reach the store", func(sim *simulation, first, _ *process) {
			first.storeUnreachable = true
			sim.runFor(3 * time.Second)
			first.storeUnreachable = false
		}, finalState{epoch: 2, placement: 1, fenced: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim, first, second := newRunningGang(t)
			fenced := sim.fenced
			tc.fault(sim, first, second)
			sim.runFor(8 * time.Second)
			for _, b := range sim.violations {
				t.Error(b)
			}
			owners := 0
			var plan *Plan
			for _, p := range sim.procs {
				if !p.dead && p.cell.Owns(sim.now) {
					owners++
					plan = p.cell.Plan()
				}
			}
			if owners != 1 {
				t.Fatalf("owners: got %d, want 1", owners)
			}
			got := finalState{plan.Epoch, plan.Jobs["j-4"].Placement, tc.want.fenced && sim.fenced > fenced}
			if got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
			if got := sim.runningTasks("j-4"); got != 4 {
				t.Errorf("running tasks: got %d, want 4", got)
			}
		})
	}
}

// TestSubmitIsDurableBeforeTheReply checks that no job is acknowledged as durable while the store is down, and that its
// request is written once the store answers, also by a process that doesn't own the cell.
func TestSubmitIsDurableBeforeTheReply(t *testing.T) {
	sim, first, second := newRunningGang(t)
	for i, p := range []*process{first, second} {
		sim.storeDown = true
		id := []model.JobID{"a-1", "b-1"}[i]
		number := sim.submitJob(p, id)
		sim.runFor(700 * time.Millisecond)
		if sim.isDurable(number) {
			t.Errorf("%s was acknowledged while the store was down", id)
		}
		sim.storeDown = false
		sim.runFor(3 * time.Second)
		base, log := sim.keys["base"], sim.keys["log"]
		plan, _, err := DecodePlan(Stored{base.data, base.version, log.data, log.version})
		if err != nil || sim.replies[number].Number == 0 || !plan.Has(id) {
			t.Errorf("%s: reply %+v, stored %v, %v", id, sim.replies[number], plan.Has(id), err)
		}
	}
}

// TestDetachedOwnerAccepts checks that a detached owner doesn't acknowledge its changes as durable, write them out of order
// or twice, or accept jobs without limit, and that no other process accepts jobs during the outage.
func TestDetachedOwnerAccepts(t *testing.T) {
	sim, first, second := newRunningGang(t)
	sim.storeDown = true
	sim.runFor(3 * time.Second)
	accepted := sim.submitJob(first, "a-1")
	sim.runFor(time.Second)
	sim.cancelJob(first, "j-4")
	refused := sim.submitJob(second, "b-1")
	sim.runFor(2 * time.Second)
	if got, want := sim.replies[accepted], (Reply{Number: accepted, Unstored: true}); got != want {
		t.Errorf("answer of the detached owner: got %+v, want %+v", got, want)
	}
	if got, want := sim.replies[refused], (Reply{Number: refused, Refused: true, Owner: first.name}); got != want {
		t.Errorf("answer of another process: got %+v, want %+v", got, want)
	}
	if a, j := sim.runningTasks("a-1"), sim.runningTasks("j-4"); a != 1 || j != 0 {
		t.Errorf("running during the outage: got %d tasks of the new job and %d of the cancelled one, want 1 and 0", a, j)
	}
	first.cell.journal.unwrittenBytes = maxUnwrittenBytes + 1
	if full := sim.submitJob(first, "c-1"); !sim.replies[full].PlanFull {
		t.Errorf("answer above the limit: got %+v, want a full cell", sim.replies[full])
	}
	sim.storeDown = false
	sim.runFor(2 * time.Second)
	base, log := sim.keys["base"], sim.keys["log"]
	plan, _, err := DecodePlan(Stored{base.data, base.version, log.data, log.version})
	if err != nil || plan.Epoch != 1 || plan.Jobs["j-4"] != nil || plan.Jobs["a-1"] == nil || plan.Jobs["a-1"].Phase != Released ||
		plan.Has("b-1") || plan.Has("c-1") {
		t.Errorf("stored after the outage: got %+v, %v", plan, err)
	}
	if got, want := first.cell.Plan().Revision, plan.Revision; got != want || first.cell.Detached() {
		t.Errorf("after the outage: got revision %d, detached %v, want %d, attached", got, first.cell.Detached(), want)
	}
	if got := sim.runningTasks("a-1"); got != 1 || sim.startCounts["a-1.1.0"] != 1 {
		t.Errorf("after the outage: got %d running, %d starts, want 1 of each", got, sim.startCounts["a-1.1.0"])
	}
}

// TestBacklogIsWrittenInParts checks that the changes of a detached owner that exceed one write are written in parts, none
// lost or repeated, although the answers to about half of the writes are lost.
func TestBacklogIsWrittenInParts(t *testing.T) {
	sim, first, _ := newRunningGang(t)
	sim.storeDown = true
	sim.runFor(3 * time.Second)
	note := make([]byte, 30<<10)
	for i := range 40 {
		sim.stepProcess(first, DecisionMade{Note: append(note, byte(i))})
	}
	want := first.cell.Plan().Revision
	largest := 0
	sim.fault = func(e Effect) callOutcome {
		if e, ok := e.(WriteLog); ok {
			largest = max(largest, len(e.Value))
			return []callOutcome{answerLost, delivered}[sim.draw(2)]
		}
		return delivered
	}
	sim.storeDown = false
	sim.runFor(10 * time.Second)
	base, log := sim.keys["base"], sim.keys["log"]
	plan, _, err := DecodePlan(Stored{base.data, base.version, log.data, log.version})
	if err != nil || plan.Epoch != 1 || plan.Revision < want || len(plan.Note) != len(note)+1 || plan.Note[len(note)] != 39 {
		t.Errorf("stored: got epoch %d, revision %d, %v, want epoch 1, at least %d", plan.Epoch, plan.Revision, err, want)
	}
	if largest > 1<<20 {
		t.Errorf("largest write: got %d bytes, want at most 1 MB", largest)
	}
}

// TestStaleRenewalIsNotSent checks that no grant is renewed on the strength of an old list of tasks. The owner is paused
// after a list has shown all tasks running, a worker is lost, and the owner is killed right after it has resumed and sent
// its remaining calls. TestGangsUnderFaults hardly ever generates this order.
func TestStaleRenewalIsNotSent(t *testing.T) {
	sim, first, second := newRunningGang(t)
	second.dead = true
	first.alterEffect = func(e Effect) Effect {
		if _, ok := e.(RenewTasks); ok {
			first.paused = true
		}
		return e
	}
	for end := sim.now.Add(5 * time.Second); !first.paused && sim.now.Before(end); {
		sim.runFor(time.Millisecond)
	}
	if !first.paused {
		t.Fatal("no renewal within 5 s")
	}
	sim.loseWorkers([]string{"w1"})
	sim.runFor(1500 * time.Millisecond)
	first.alterEffect = nil
	sim.resume(first)
	first.dead = true
	sim.runFor(5 * time.Second)
	for _, b := range sim.violations {
		t.Error(b)
	}
	if got := sim.runningTasks("j-4"); got != 0 {
		t.Errorf("running tasks: got %d, want none", got)
	}
}

// TestDrainHandsOver checks that draining the owner stops no gang: the next owner takes the gangs over while they run.
func TestDrainHandsOver(t *testing.T) {
	sim, first, second := newRunningGang(t)
	sim.stepProcess(first, DrainRequested{})
	sim.runFor(time.Second)
	if !first.cell.Drained() || !second.cell.Owns(sim.now) {
		t.Errorf("got first drained %v, second owner %v", first.cell.Drained(), second.cell.Owns(sim.now))
	}
	first.dead = true
	sim.runFor(5 * time.Second)
	if got := second.cell.Plan().Jobs["j-4"].Placement; got != 1 || sim.runningTasks("j-4") != 4 {
		t.Errorf("placement: got %d with %d tasks, want the first with 4", got, sim.runningTasks("j-4"))
	}
}

// TestFoldKeepsThePlan checks that folding the change log into the base loses no changes, also if it is interrupted after
// the base was written.
func TestFoldKeepsThePlan(t *testing.T) {
	plan := &Plan{}
	var batches []Batch
	for i := range 5 {
		spec := model.JobSpec{ID: model.JobID(rune('a' + i))}
		b := Batch{Revision: plan.Revision + 1, Writer: "w", Number: uint64(i + 1), Changes: []Change{{Kind: JobSubmitted, Spec: &spec}}}
		batches = append(batches, b)
		plan.Apply(b)
	}
	for name, s := range map[string]Stored{
		"log only":    {Changes: EncodeLog(0, batches), ChangesVersion: 1},
		"interrupted": {Base: EncodeBase(plan), BaseVersion: 2, Changes: EncodeLog(0, batches), ChangesVersion: 1},
		"folded":      {Base: EncodeBase(plan), BaseVersion: 2, Changes: EncodeLog(5, nil), ChangesVersion: 3},
	} {
		got, _, err := DecodePlan(s)
		if err != nil || got.Revision != 5 || len(got.Jobs) != 5 || got.Jobs["e"].Sequence != 5 {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
	}
	if _, _, err := DecodePlan(Stored{Changes: EncodeLog(3, batches[3:]), ChangesVersion: 1}); err == nil {
		t.Error("a log that does not continue its base was accepted")
	}
}
