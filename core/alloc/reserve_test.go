package alloc

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// replayStream fills the workers with small jobs, submits a large step, and submits another small job for each one that
// ends. It returns how many of the step's tasks run once all earlier jobs have ended.
func replayStream(t *testing.T, workers int, queue string, large batch.Step) int {
	f := newFixture(t)
	for i := range workers {
		f.addWorker(fmt.Sprintf("n%d", i+1), "r1")
	}
	var small []model.JobID
	for range 8 * workers {
		small = append(small, f.submit(queue, "other", gpuStep(1, 1)))
	}
	f.runRound()
	id := f.submit("p1", "a", large)
	for i := 0; i < len(small) && f.countRuns(id) == 0; i++ {
		f.now = f.now.Add(250 * time.Millisecond)
		f.endRuns(small[i], batch.EndDone)
		f.submit(queue, "other", gpuStep(1, 1))
		f.runRound()
	}
	f.runRound()
	return f.countRuns(id)
}

// In a stream of small jobs, these took all capacity that became free while a gang waited for it.
func TestGangIsNotStarvedByStreamOfSmallJobs(t *testing.T) {
	if got, want := replayStream(t, 2, "p1", gangStep(2, 8)), 2; got != want {
		t.Errorf("got %d members after all earlier jobs had ended, want %d", got, want)
	}
}

// In a stream of small jobs on full workers, these took all capacity that became free while a large task waited for it.
func TestLargeTaskIsNotStarvedByStreamOfSmallJobs(t *testing.T) {
	if got, want := replayStream(t, 1, "p2", gpuStep(1, 8)), 1; got != want {
		t.Errorf("got %d runs after all earlier jobs had ended, want %d", got, want)
	}
}

// Free workers on other racks must not be reserved for tasks that wait for their data's rack. With a wide job of large tasks
// beside small ones (bhn-hoist-grown trouble-2, seed 2), small tasks did not run at the end of the day although most workers
// were free.
func TestTasksWaitingForTheirRackReserveNoOtherWorkers(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	f.submit("p0", "other", gpuStep(1, 8))
	f.runRound()
	f.addWorker("n2", "r2")
	large := gpuStep(6, 8)
	large.DataRack = "r1"
	wide := f.submit("p1", "a", large)
	small := f.submit("p2", "a", gpuStep(8, 1))
	f.runRound()
	if got, want := f.countRuns(small), 8; got != want {
		t.Errorf("got %d small tasks beside a job that waits for its rack, want %d", got, want)
	}
	if got := f.countRuns(wide); got != 0 {
		t.Errorf("got %d tasks away from their data, want none yet", got)
	}
}

// The large tasks of a wide job must not reserve all workers. The load is that of the test before, without a rack.
func TestWideJobLeavesWorkersForOthers(t *testing.T) {
	f := newFixture(t)
	for i := range 8 {
		f.addWorker(fmt.Sprintf("n%d", i), "r1")
	}
	var running []model.JobID
	for range 8 {
		running = append(running, f.submit("p1", "other", gpuStep(1, 7)))
	}
	f.runRound()
	wide := f.submit("p1", "a", gpuStep(20, 8))
	f.now = f.now.Add(500 * time.Millisecond)
	small := gpuStep(8, 1)
	small.Estimate = time.Minute
	id := f.submit("p2", "a", small)
	f.runRound()
	if got, want := f.countRuns(id), 6; got != want {
		t.Errorf("got %d small tasks beside a wide job, want %d: a quarter of the workers is reserved for the wide job", got, want)
	}
	for _, j := range running {
		f.endRuns(j, batch.EndDone)
	}
	f.runRound()
	if got, want := f.countRuns(wide), 2; got != want {
		t.Errorf("got %d tasks of the wide job on the workers reserved for it, want %d", got, want)
	}
}

// A gang whose tasks need nothing but may not share workers doesn't fit on too few workers. The search for its slots didn't
// end, and used up the memory of the process.
func TestGangThatNeedsNothingIsPlanned(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	step := batch.Step{Count: 3, Gang: true, MaxPerWorker: 1, Estimate: time.Second}
	id := f.submit("p1", "a", step)
	f.runRound()
	if got, want := f.state(id), batch.JobQueued; got != want {
		t.Errorf("state of a gang that doesn't fit: got %q, want %q", got, want)
	}
	f.addWorker("n2", "r1")
	f.addWorker("n3", "r1")
	f.runRound()
	if got, want := f.countRuns(id), 3; got != want {
		t.Errorf("runs with enough workers: got %d, want %d", got, want)
	}
}
