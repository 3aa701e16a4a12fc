package alloc

import (
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// borrowedFixture returns a fixture with one worker, whose accelerators a borrower uses that has run for elapsed, and a claim of
// team owner that has just been submitted. Tasks of the borrower's queue are known to run for 2 s.
func borrowedFixture(t *testing.T, elapsed time.Duration) (f *fixture, borrower, claim model.JobID) {
	f = newFixture(t, batch.Team{Name: "owner", Guarantee: 8})
	f.addWorker("n1", "r1")
	step := gpuStep(1, 8)
	for range 40 {
		endAfter(f, "p2", step, 2*time.Second)
	}
	borrower = f.submit("p2", "a", step)
	f.runRound()
	f.now = f.now.Add(elapsed)
	return f, borrower, f.submit("p0", "owner", gangStep(2, 4))
}

// stopped reports whether any task of a job has to stop.
func stopped(f *fixture, id model.JobID) bool {
	for _, t := range f.scheduler.jobs[id].tasks {
		if t.mustStop {
			return true
		}
	}
	return false
}

// In bursts of claims, runs that had all but ended were stopped for them: their work was lost, although they would have made
// room before a stop could. A claim has to wait for them and use their room, and runs that have just begun have to be stopped
// at once.
func TestClaimWaitsForRunsThatEnd(t *testing.T) {
	f, borrower, claim := borrowedFixture(t, 1900*time.Millisecond)
	f.scheduler.Plan(f.now, f.now)
	if stopped(f, borrower) {
		t.Error("a run that ends within claimWait was stopped")
	}
	other := f.submit("p1", "b", gpuStep(1, 1))
	f.now = f.now.Add(200 * time.Millisecond)
	f.endRuns(borrower, batch.EndDone)
	f.runRound()
	if got, want := f.countRuns(claim), 2; got != want {
		t.Errorf("got %d runs of the claim after the end, want %d", got, want)
	}
	if got := f.countRuns(other); got != 0 {
		t.Errorf("got %d runs of another job on the room that the claim waited for, want 0", got)
	}
	f, borrower, _ = borrowedFixture(t, 200*time.Millisecond)
	f.scheduler.Plan(f.now, f.now)
	if !stopped(f, borrower) {
		t.Error("a run that goes on for long wasn't stopped at once")
	}
}

// All tasks of a claim have to begin within 2,700 ms. A run that was expected to end and goes on has to be stopped after
// claimWait, however near its end it seems to be.
func TestClaimDoesNotWaitBeyondItsTime(t *testing.T) {
	f, borrower, _ := borrowedFixture(t, 1900*time.Millisecond)
	for waited := time.Duration(0); waited <= claimWait; waited += 50 * time.Millisecond {
		f.scheduler.Plan(f.now, f.now)
		f.now = f.now.Add(50 * time.Millisecond)
		// The run seems to be near its end all the time.
		run := f.scheduler.jobs[borrower].tasks[0]
		run.startedAt = run.startedAt.Add(50 * time.Millisecond)
	}
	f.scheduler.Plan(f.now, f.now)
	if !stopped(f, borrower) {
		t.Errorf("a run was not stopped %v after a claim that needs its room", claimWait+50*time.Millisecond)
	}
	if bound := 2700 * time.Millisecond; claimWait+stopDuration+2*placementTime > bound {
		t.Errorf("waiting, a stop and two commits take %v, want at most %v", claimWait+stopDuration+2*placementTime, bound)
	}
}

// A claim whose objective leaves no time must not wait at all.
func TestClaimWithoutSlackDoesNotWait(t *testing.T) {
	f, borrower, _ := borrowedFixture(t, 1900*time.Millisecond)
	queue := f.scheduler.policy.Queues["p0"]
	queue.Stretch, queue.Target = 1, placementTime
	f.scheduler.policy.Queues["p0"] = queue
	f.scheduler.Plan(f.now, f.now)
	if !stopped(f, borrower) {
		t.Error("a run wasn't stopped although the claim misses its objective by waiting")
	}
}

// Without samples, nothing is known of the ends of runs, and claims stop them at once, as before there was a model.
func TestClaimStopsAtOnceWithoutSamples(t *testing.T) {
	f := newFixture(t, batch.Team{Name: "owner", Guarantee: 8})
	f.addWorker("n1", "r1")
	borrower := f.submit("p2", "a", gpuStep(1, 8))
	f.runRound()
	f.now = f.now.Add(1900 * time.Millisecond)
	f.submit("p0", "owner", gangStep(2, 4))
	f.scheduler.Plan(f.now, f.now)
	if !stopped(f, borrower) {
		t.Error("a run wasn't stopped although nothing is known of its end")
	}
}

// A worker that hangs shows its last progress again and again. Its run must not be waited for, however far it was.
func TestOverdueProgressIsNotWaitedFor(t *testing.T) {
	f, borrower, _ := borrowedFixture(t, 1900*time.Millisecond)
	run := f.scheduler.jobs[borrower].tasks[0]
	run.percent, run.progressedAt = 95, f.now.Add(-time.Second)
	f.scheduler.Plan(f.now, f.now)
	if !stopped(f, borrower) {
		t.Error("a run was waited for that should have ended already by its progress")
	}
}
