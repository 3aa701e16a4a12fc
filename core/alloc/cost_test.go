package alloc

import (
	"testing"
	"time"

	"wagtailhoist/core/batch"
)

// Of two runs that lose as little by a stop, the one that is nearer to its end was stopped as often as the other: its job was
// held up most, and its room would have become free soonest.
func TestRunsNearTheirEndAreStoppedLast(t *testing.T) {
	f := newFixture(t, batch.Team{Name: "owner", Guarantee: 8})
	f.addWorker("n1", "r1")
	step := gpuStep(1, 8)
	step.Checkpoints = true
	for range 20 {
		endAfter(f, "p2", step, 10*time.Second)
	}
	step.Estimate = 10 * time.Second
	old := f.submit("p2", "a", step)
	f.runRound()
	f.now = f.now.Add(7 * time.Second)
	f.addWorker("n2", "r1")
	young := f.submit("p2", "a", step)
	f.runRound()
	f.now = f.now.Add(time.Second)
	f.submit("p0", "owner", gangStep(2, 4))
	f.scheduler.Plan(f.now, f.now)
	if stopped(f, old) || !stopped(f, young) {
		t.Errorf("got the old run stopped: %v, the young one: %v; want the young one only", stopped(f, old), stopped(f, young))
	}
}

// A run that lists its checkpoints loses what it has done since the last one. One that saved just before costs less.
func TestStopCostsTheTimeSinceTheCheckpoint(t *testing.T) {
	f := newFixture(t, batch.Team{Name: "owner", Guarantee: 8})
	f.addWorker("n1", "r1")
	f.addWorker("n2", "r1")
	step := gpuStep(1, 8)
	step.Checkpoints, step.Estimate = true, time.Minute
	ids := []string{}
	for range 2 {
		ids = append(ids, string(f.submit("p2", "a", step)))
	}
	f.runRound()
	saved := [2]time.Duration{5 * time.Second, 19 * time.Second}
	for second := 1; second <= 20; second++ {
		f.now = f.now.Add(time.Second)
		for _, id := range f.sortedWorkerIDs() {
			w := f.workers[id]
			for i := range w.running {
				for k := range ids {
					if string(w.running[i].Task.Job) == ids[k] && time.Duration(second)*time.Second == saved[k] {
						w.running[i].Checkpoint = "saved"
					}
				}
			}
			f.report(w)
		}
	}
	f.submit("p0", "owner", gangStep(2, 4))
	f.scheduler.Plan(f.now, f.now)
	for _, j := range f.scheduler.jobs {
		for k, id := range ids {
			if string(j.job.ID) == id {
				if got, want := j.tasks[0].mustStop, k == 1; got != want {
					t.Errorf("run that saved %v after its start is stopped: got %v, want %v", saved[k], got, want)
				}
			}
		}
	}
}
