package alloc

import (
	"testing"
	"time"

	"wagtailhoist/core/batch"
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
		var r regression
		for _, s := range tc.samples {
			r.add(time.Duration(s[0]*float64(time.Second)), time.Duration(s[1]*float64(time.Second)))
		}
		if got := r.predict(time.Duration(tc.estimate * float64(time.Second))).Seconds(); got < tc.low-1e-9 || got > tc.high+1e-9 {
			t.Errorf("%s: got an expected run time of %.3f s, want %v to %v s", tc.name, got, tc.low, tc.high)
		}
	}
}

// endAfter lets a job run for a time and end.
func endAfter(f *fixture, queue string, step batch.Step, d time.Duration) {
	id := f.submit(queue, "a", step)
	f.runRound()
	f.now = f.now.Add(d)
	f.endRuns(id, batch.EndDone)
	f.storeProgress()
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
	for range 20 {
		endAfter(f, "p0", step, 6*time.Second)
	}
	before := f.scheduler.runTimes["p0"].predict(step.Estimate)
	f.scheduler.StartTerm(f.now, f.now, &f.cache)
	after := f.scheduler.runTimes["p0"].predict(step.Estimate)
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
	if got := f.scheduler.runTimes["p0"]; got != nil {
		t.Errorf("learned %+v from a run that an earlier owner had started, want nothing", got)
	}
}
