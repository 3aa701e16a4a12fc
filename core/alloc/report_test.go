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

// A worker lists a limited number of ends at a time. A run whose end isn't listed yet was taken as one that never started, and
// was started again after it was done.
func TestRunIsKeptWhileItsEndIsNotListed(t *testing.T) {
	f := newFixture(t)
	w := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(2, 1))
	f.runRound()
	first, second := w.running[0].RunID, w.running[1].RunID
	report := func(r batch.Report) batch.Orders {
		f.now = f.now.Add(time.Second)
		r.Worker, r.Listed = w.Worker, true
		f.scheduler.ApplyReport(f.now, f.now, &r, 1)
		f.scheduler.Plan(f.now, f.now)
		f.storeProgress()
		o, _ := f.scheduler.Orders(f.now, w.ID, 1<<20)
		return o
	}
	ends := []batch.End{{Number: 1, RunID: first, Cause: batch.EndDone}}
	if o := report(batch.Report{Ended: ends, MoreEnds: true}); len(o.Starts) != 0 || o.AcknowledgedEnds != 1 {
		t.Errorf("got %d starts and ends acknowledged up to %d while a run's end isn't listed, want none and 1", len(o.Starts), o.AcknowledgedEnds)
	}
	if got, want := f.scheduler.jobs[id].task(0, 0, second.Task.Index).Run, second.Run; got != want {
		t.Errorf("got run %d of the task whose end isn't listed, want %d", got, want)
	}
	ends = []batch.End{{Number: 2, RunID: second, Cause: batch.EndDone}}
	report(batch.Report{Ended: ends, Refused: []batch.Refusal{{RunID: second, Reason: batch.RefusedStaleRun}}})
	if got, want := f.state(id), batch.JobCompleted; got != want {
		t.Errorf("got state %s after both ends, want %s", got, want)
	}
}

// A worker may start again under its name and then carries out a start that was meant for its last incarnation. The task was
// placed elsewhere as soon as the new incarnation reported, while its run went on there until it was stopped.
func TestRunThatMayHaveReachedTheSuccessorIsStoppedFirst(t *testing.T) {
	for _, tc := range []struct {
		name      string
		successor string
		// listing is how the last incarnation listed the run, nil if it didn't.
		listing *batch.RunStatus
		// wantStop says that the run has to be stopped at the successor before the task is placed again.
		wantStop bool
	}{
		{"not listed", "w", nil, true},
		{"start answered", "w", &batch.RunStatus{Assumed: true}, true},
		{"listed", "w", &batch.RunStatus{}, false},
		{"successor of another name", "v", nil, false},
	} {
		f := newFixture(t)
		old := f.addWorker("n1", "r1")
		id := f.submit("p1", "a", gpuStep(1, 1))
		f.scheduler.Plan(f.now, f.now)
		f.storeProgress()
		o, _ := f.scheduler.Orders(f.now, old.ID, 1<<20)
		run := o.Starts[0].RunID
		if tc.listing != nil {
			tc.listing.RunID = run
			old.running = []batch.RunStatus{*tc.listing}
			f.report(old)
		}
		f.addWorker("n2", "r1")
		successor := old.Worker
		successor.Born, successor.ID = 2, batch.WorkerID("n1", tc.successor, 2)
		report := func(r batch.Report) batch.Orders {
			r.Worker, r.Listed = successor, true
			f.scheduler.ApplyReport(f.now, f.now, &r, 1)
			f.scheduler.Plan(f.now, f.now)
			f.storeProgress()
			o, _ := f.scheduler.Orders(f.now, successor.ID, 1<<20)
			return o
		}
		o = report(batch.Report{})
		task := f.scheduler.jobs[id].task(0, 0, 0)
		if got := len(o.Stops) == 1 && o.Stops[0] == run && task.Run == run.Run; got != tc.wantStop {
			t.Errorf("%s: got stops %v and run %d after the successor's report, want a stop: %v", tc.name, o.Stops, task.Run, tc.wantStop)
		}
		if !tc.wantStop {
			continue
		}
		report(batch.Report{Running: []batch.RunStatus{{RunID: run}}, Refused: []batch.Refusal{{RunID: run, Reason: batch.RefusedStopped}}})
		if task.Run != run.Run {
			t.Errorf("%s: the task was placed again while the successor lists its run", tc.name)
		}
		report(batch.Report{Ended: []batch.End{{Number: 1, RunID: run, Cause: batch.EndStopped}}})
		if task.Run != run.Run+1 {
			t.Errorf("%s: got run %d after the end, want %d", tc.name, task.Run, run.Run+1)
		}
	}
}

// The runs that a successor may have must not count as ended before its lease, also if its first report has no lists.
func TestSuccessorWithoutListsKeepsItsRuns(t *testing.T) {
	f := newFixture(t)
	f.now = f.now.Add(time.Hour)
	old := f.addWorker("n1", "r1")
	id := f.submit("p1", "a", gpuStep(1, 1))
	f.scheduler.Plan(f.now, f.now)
	f.storeProgress()
	successor := old.Worker
	successor.Born, successor.ID = 2, batch.WorkerID("n1", "w", 2)
	f.scheduler.ApplyReport(f.now, f.now, &batch.Report{Worker: successor}, 1)
	f.scheduler.ExpireLeases(f.now, f.now)
	if got, want := f.scheduler.jobs[id].task(0, 0, 0).Phase, batch.TaskPlaced; got != want {
		t.Errorf("got phase %d of a task that the successor may run, want %d", got, want)
	}
}
