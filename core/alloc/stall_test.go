package alloc

import (
	"testing"
	"time"
)

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
		b.scheduler.PreemptStalled(b.now)
	}
	b.step()
	b.step()
	if len(w1.running) != 0 || b.runs(id) != 1 {
		t.Errorf("got %d runs on the worker that stands still and %d in all, want 0 and 1", len(w1.running), b.runs(id))
	}
}
