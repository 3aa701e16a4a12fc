package alloc

import (
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/core/room"
)

// fullFixture returns a fixture with one worker whose accelerators are in use, and a number of jobs waiting. It is older than a lease.
func fullFixture(t *testing.T, waiting int) *fixture {
	f := newFixture(t)
	f.now = f.now.Add(f.scheduler.leaseTimeout())
	f.addWorker("n0", "r0")
	for range waiting + 1 {
		f.submit("p1", "b", gpuStep(1, 8))
	}
	f.runRound()
	f.now = f.now.Add(10 * time.Millisecond)
	return f
}

// wait returns the forecast for a task of eight accelerators with the objective of a job of 2 s.
func (f *fixture) wait(queue string) time.Duration {
	f.Helper()
	forecast, ok := f.scheduler.Forecast(f.now)
	if !ok {
		f.Fatal("got no forecast, want one")
	}
	return forecast.Wait(queue, room.Size{Need: batch.Amount{CPU: 1000, Memory: 100, GPU: 8}, Width: 1}, 5*time.Second+time.Millisecond)
}

// The forecast must see what the plan sees: twenty tasks of 2 s behind one that has just begun. Those that can't start before three
// objectives of 5 s have passed are placed after all others and don't count.
func TestForecastCountsWaitingWork(t *testing.T) {
	f := fullFixture(t, 20)
	if got, least, most := f.wait("p1"), 14*time.Second, 16*time.Second; got < least || got > most {
		t.Errorf("got %v, want %v to %v", got, least, most)
	}
	if got := f.wait("p0"); got != 0 {
		t.Errorf("queue of higher priority without waiting work: got %v, want no wait", got)
	}
}

// Work of priority 0 may stop other runs, so that it needn't wait for their ends.
func TestUrgentWorkDoesNotWaitForOthers(t *testing.T) {
	f := newFixture(t)
	f.now = f.now.Add(f.scheduler.leaseTimeout())
	f.addWorker("n0", "r0")
	f.submit("p1", "b", batch.Step{Count: 1, Need: batch.Amount{CPU: 1000, Memory: 100, GPU: 8}, Estimate: time.Minute})
	f.runRound()
	f.submit("p0", "b", gpuStep(1, 8))
	f.scheduler.planned = f.scheduler.pendingSteps(f.now, f.now, nil)
	if got, most := f.wait("p0"), 2*time.Second; got > most {
		t.Errorf("got %v, want at most %v", got, most)
	}
}

// Workers that get no tasks don't count: otherwise jobs would be admitted for capacity that isn't there. Those that may return without
// a report must not be counted as lost, or jobs would be refused that could be in time.
func TestForecastLeavesOutWorkersWithoutTasks(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(f *fixture, w *worker)
		counts bool
	}{
		{"ready", func(*fixture, *worker) {}, true},
		{"without a link", func(_ *fixture, w *worker) { w.session = 0 }, false},
		{"draining", func(_ *fixture, w *worker) { w.Readiness = batch.WorkerDraining }, false},
		{"evacuated", func(_ *fixture, w *worker) { w.evacuated = true }, false},
		{"not listed", func(_ *fixture, w *worker) { w.listed = false }, false},
		{"in quarantine for a second", func(f *fixture, w *worker) { w.quarantine(f.now, time.Second) }, true},
		{"in quarantine for a minute", func(f *fixture, w *worker) { w.quarantine(f.now, time.Minute) }, false},
	} {
		f := fullFixture(t, 8)
		second := f.addWorker("n1", "r0")
		test.change(f, f.scheduler.workers[second.ID])
		if got, counts := f.wait("p1"), f.wait("p1") < 13*time.Second; counts != test.counts {
			t.Errorf("%s: got a forecast of %v, want the worker to count: %v", test.name, got, test.counts)
		}
	}
}

// A new owner knows no worker before its first report. A forecast without them would refuse what has room.
func TestNoForecastAtTheStartOfATerm(t *testing.T) {
	f := fullFixture(t, 20)
	f.scheduler.StartTerm(f.now, f.now, &f.cache)
	f.scheduler.Plan(f.now, f.now)
	if _, ok := f.scheduler.Forecast(f.now.Add(f.scheduler.leaseTimeout() - time.Millisecond)); ok {
		t.Error("got a forecast before all workers had the time to report")
	}
	if _, ok := f.scheduler.Forecast(f.now.Add(f.scheduler.leaseTimeout())); !ok {
		t.Error("got no forecast after all workers had the time to report")
	}
}

// A job that was placed, cancelled or has ended since the last plan isn't ahead of others any more.
func TestForecastFollowsWhatHasChangedSinceThePlan(t *testing.T) {
	f := fullFixture(t, 20)
	before := f.wait("p1")
	for id := range f.cache.Jobs {
		if f.countRuns(id) == 0 {
			f.cancel(id)
		}
	}
	if got := f.wait("p1"); got != 0 || before == 0 {
		t.Errorf("got %v before and %v after all waiting jobs were cancelled, want a wait and none", before, got)
	}
}

// The sum over runs that end together must be the same as that over each of them.
func TestForecastOfManyRuns(t *testing.T) {
	f := newFixture(t)
	f.now = f.now.Add(f.scheduler.leaseTimeout())
	for _, node := range []string{"n0", "n1", "n2"} {
		f.addWorker(node, "r0")
	}
	f.submit("p1", "b", gpuStep(24, 1), gpuStep(3, 1))
	f.runRound()
	state := room.State{Services: map[string]*room.Service{"svc": {}}, Use: map[model.Team]batch.Amount{}}
	f.scheduler.forecastCapacity(f.now, &state)
	f.scheduler.forecastRuns(f.now, &state)
	var sum batch.Amount
	for _, r := range state.Services["svc"].Runs {
		sum = sum.Add(r.Need)
	}
	if want := (batch.Amount{CPU: 24000, Memory: 2400, GPU: 24}); sum != want || len(state.Services["svc"].Runs) > 2 {
		t.Errorf("got %d entries with a sum of %+v, want at most 2 with %+v", len(state.Services["svc"].Runs), sum, want)
	}
}
