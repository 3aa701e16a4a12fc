package alloc

import (
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// Callers estimate up to ten times too little or too much. What was learned must come close to the run times, also for the
// first jobs of a queue, and follow estimates that are good.
func TestRunTimesAreLearned(t *testing.T) {
	for _, tc := range []struct {
		name string
		// samples are pairs of an estimate and a run time, in seconds.
		samples  [][2]float64
		estimate float64
		// low and high bound the expected run time, in seconds.
		low, high float64
	}{
		{"nothing known", nil, 2, 2, 2},
		{"one run counts less than the estimate", [][2]float64{{2, 8}}, 2, 2, 4},
		{"estimates without any relation", [][2]float64{{0.3, 3}, {9, 3.1}, {1, 2.9}, {3, 3}, {0.5, 3}, {12, 3}, {2, 3}, {0.7, 3}}, 0.4, 1.8, 3},
		{"estimates of a third", [][2]float64{{1, 3}, {2, 6}, {3, 9}, {1, 3}, {2, 6}, {3, 9}, {1.5, 4.5}, {2.5, 7.5}}, 2, 4.5, 6},
		{"good estimates", [][2]float64{{1, 1}, {2, 2}, {8, 8}, {4, 4}, {1, 1}, {6, 6}}, 5, 4.9, 5.1},
		{"a run that was held up counts as a limited error", [][2]float64{{1, 1}, {1, 1}, {1, 1}, {1, 1}, {1, 1}, {1, 1000}}, 1, 1, 2},
	} {
		f := newFixture(t)
		f.addWorker("n1", "r1")
		for _, s := range tc.samples {
			step := gpuStep(1, 8)
			step.Estimate = time.Duration(s[0] * float64(time.Second))
			endAfter(f, "p0", step, time.Duration(s[1]*float64(time.Second)))
		}
		job := batch.Job{Queue: "p0", Team: "a", Steps: []batch.Step{{Count: 1, Estimate: time.Duration(tc.estimate * float64(time.Second))}}}
		if got := f.scheduler.expectedTime(&job, 0).Seconds(); got < tc.low-1e-9 || got > tc.high+1e-9 {
			t.Errorf("%s: got an expected run time of %.3f s, want %v to %v s", tc.name, got, tc.low, tc.high)
		}
	}
}

// endAfter lets a job run for a time and end.
func endAfter(f *fixture, queue string, step batch.Step, d time.Duration) model.JobID {
	id := f.submit(queue, "a", step)
	f.runRound()
	f.now = f.now.Add(d)
	f.endRuns(id, batch.EndDone)
	f.storeProgress()
	return id
}

// A job whose caller estimates a third of its run time counted as of no more use three times too early, and then came after
// all others.
func TestObjectiveFollowsTheLearnedRunTime(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	step := gpuStep(1, 8)
	step.Estimate = time.Second
	for range 20 {
		endAfter(f, "p0", step, 3*time.Second)
	}
	f.submit("p0", "a", step)
	f.now = f.now.Add(tooLateFactor*3*time.Second + time.Second) // beyond what the estimate allows, within what 3 s allow
	steps := f.scheduler.pendingSteps(f.now, f.now, nil)
	if len(steps) != 1 || steps[0].timeliness == tooLate {
		t.Errorf("got pending steps %+v, want one that isn't too late", steps)
	}
}

// A later owner must not begin to learn again: the run times are stored with the tasks.
func TestRunTimesSurviveTheOwner(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	step := gpuStep(2, 1)
	var id model.JobID
	for range 20 {
		id = endAfter(f, "p0", step, 6*time.Second)
	}
	job := &f.scheduler.jobs[id].job
	before := f.scheduler.expectedTime(job, 0)
	f.scheduler.StartTerm(f.now, f.now, &f.cache)
	after := f.scheduler.expectedTime(job, 0)
	if diff := (after - before).Abs(); diff > time.Millisecond || after < 5*time.Second {
		t.Errorf("expected run time under the next owner: got %v, want %v", after, before)
	}
}

// The run time of a run that resumed from a checkpoint, or whose beginning an earlier owner saw, isn't that of the task.
func TestPartialRunsTeachNothing(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	step := gpuStep(1, 1)
	id := f.submit("p0", "a", step)
	f.runRound()
	f.scheduler.StartTerm(f.now, f.now, &f.cache)
	for _, w := range f.workers {
		f.report(w)
	}
	f.now = f.now.Add(10 * time.Second)
	f.endRuns(id, batch.EndDone)
	if got := f.scheduler.learned.Changes(); got != 0 {
		t.Errorf("learned %d times from a run that an earlier owner had started, want never", got)
	}
}

// Two teams share a queue, and the estimates of one are five times too high. Order and reservations of the other's jobs, whose
// estimates are right, must not follow them; a regression for the whole queue mixed the two.
func TestExpectationsOfTeamsDiffer(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	for i := range 40 {
		step := gpuStep(1, 8)
		step.Estimate = []time.Duration{2 * time.Second, 10 * time.Second}[i%2]
		id := f.submit("p0", []model.Team{"right", "wrong"}[i%2], step)
		f.runRound()
		f.now = f.now.Add(2 * time.Second)
		f.endRuns(id, batch.EndDone)
		f.storeProgress()
	}
	for _, tc := range []struct {
		team      model.Team
		low, high time.Duration
	}{{"right", 3500 * time.Millisecond, 5 * time.Second}, {"wrong", 700 * time.Millisecond, 1400 * time.Millisecond}} {
		job := batch.Job{Queue: "p0", Team: tc.team, Steps: []batch.Step{{Count: 1, Estimate: 4 * time.Second}}}
		if got := f.scheduler.expectedTime(&job, 0); got < tc.low || got > tc.high {
			t.Errorf("expected run time of team %s for an estimate of 4 s: got %v, want %v to %v", tc.team, got, tc.low, tc.high)
		}
	}
}

// One customer's tasks run seven times as long in some cases. A run that has outlived what is usual is one of them: a
// reservation that expected its end a quarter of its time later came too early again and again.
func TestLongRunsAreExpectedToGoOn(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	step := gpuStep(1, 8)
	for i := range 60 {
		d := 2 * time.Second
		if i%10 == 0 {
			d = 14 * time.Second
		}
		endAfter(f, "p1", step, d)
	}
	id := f.submit("p1", "a", step)
	f.runRound()
	f.now = f.now.Add(4 * time.Second)
	run := f.scheduler.jobs[id].tasks[0]
	if got := f.scheduler.remainingTime(f.now, run); got < 6*time.Second || got > 14*time.Second {
		t.Errorf("remaining time 4 s after the start of a task that mostly takes 2 s and else 14 s: got %v, want about 10 s", got)
	}
}

// The runs that are stopped to make room are not all alike: those that took longest are stopped most. They must not make run
// times look short.
func TestStoppedRunsTeach(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	step := gpuStep(1, 8)
	for range 10 {
		endAfter(f, "p1", step, 2*time.Second)
	}
	before := f.scheduler.learned.Changes()
	id := f.submit("p1", "a", step)
	f.runRound()
	f.now = f.now.Add(8 * time.Second)
	f.endRuns(id, batch.EndStopped)
	if got, want := f.scheduler.learned.Changes(), before+1; got != want {
		t.Errorf("got %d samples after a run that was stopped, want %d", got, want)
	}
	if got := f.scheduler.expectedTime(&f.scheduler.jobs[id].job, 0); got <= 2*time.Second {
		t.Errorf("expected run time after a run that took at least 8 s: got %v, want more than 2 s", got)
	}
}
