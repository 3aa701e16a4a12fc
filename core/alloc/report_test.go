package alloc

import (
	"testing"
	"time"

	"wagtailhoist/core/batch"
)

// Reports of two connections may be handled out of order. The older one must not shorten the time after which the worker is
// given up: its work would be started elsewhere while it still runs.
func TestOlderReportDoesNotShortenTheLease(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(1, 1))
	f.runRound()
	report := &batch.Report{Worker: w.Worker, Listed: true, Running: w.running}
	f.now = f.now.Add(time.Minute)
	f.scheduler.ApplyReport(f.now, f.now, report, 2)
	f.scheduler.ApplyReport(f.now.Add(-time.Minute), f.now, report, 1)
	f.scheduler.ExpireLeases(f.now.Add(f.scheduler.leaseTimeout()-time.Millisecond), f.now)
	if got := f.scheduler.jobs[id].tasks[0].Phase; got != batch.TaskPlaced {
		t.Errorf("phase of the task before the end of the lease: got %v, want placed", got)
	}
	f.scheduler.ExpireLeases(f.now.Add(f.scheduler.leaseTimeout()+time.Millisecond), f.now)
	if got := f.scheduler.jobs[id].tasks[0].Phase; got != batch.TaskWaiting {
		t.Errorf("phase of the task after the end of the lease: got %v, want waiting", got)
	}
}

// A start goes out when its record is stored; waiting for the worker's next report would cost most of a second.
func TestStoredPlacementTouchesItsWorker(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	f.submit("p1", "a", gpuStep(1, 1))
	f.scheduler.Plan(f.now, f.now)
	f.scheduler.TakeTouched()
	f.storeProgress()
	if got := f.scheduler.TakeTouched(); len(got) != 1 || got[0] != w.ID {
		t.Errorf("workers with orders due after the record was stored: got %v, want %v", got, w.ID)
	}
}
