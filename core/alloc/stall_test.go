package alloc

import (
	"testing"
	"time"
)

// A worker that hangs lists its runs without progress. It must get no more tasks, and its run has to be moved.
func TestStalledWorkerGetsNoTasks(t *testing.T) {
	f := newFixture(t)
	w1 := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(1, 1))
	f.runRound()
	f.addWorker("n2", "r2")
	for range 3 {
		f.now = f.now.Add(time.Second)
		for _, w := range f.workers {
			f.report(w)
		}
		f.scheduler.PreemptStalled(f.now)
	}
	f.runRound()
	f.runRound()
	if len(w1.running) != 0 || f.countRuns(id) != 1 {
		t.Errorf("got %d runs on the stalled worker and %d in all, want 0 and 1", len(w1.running), f.countRuns(id))
	}
}
