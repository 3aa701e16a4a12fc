package alloc

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/batch"
)

// While other teams borrow all accelerators, a job that claims its team's guarantee has to get them. No more runs may be
// stopped than it needs.
func TestGuaranteeIsReclaimed(t *testing.T) {
	f := newFixture(t, batch.Team{Name: "owner", Guarantee: 8})
	f.addWorker("n1", "r1")
	f.addWorker("n2", "r1")
	borrowers := f.submit("p2", "other", gpuStep(16, 1))
	f.runRound()
	claim := f.submit("p0", "owner", gangStep(2, 4))
	f.runRound()
	f.runRound()
	if got, want := f.countRuns(claim), 2; got != want {
		t.Errorf("got %d members of the claim, want %d", got, want)
	}
	if got, want := f.countRuns(borrowers), 8; got != want {
		t.Errorf("got %d runs of borrowers left, want %d", got, want)
	}
}

// In a burst beyond the guarantee, urgent jobs missed their objectives while jobs with time to spare were running. These
// must not be stopped as long as the urgent jobs can wait.
func TestUrgentStepPreemptsOthersOnlyWhenItWouldBeLate(t *testing.T) {
	f := newFixture(t)
	f.addWorker("n1", "r1")
	borrower := gpuStep(8, 1)
	borrower.Checkpoints = true
	f.submit("p2", "other", borrower)
	f.runRound()
	urgent := f.submit("p0", "a", gpuStep(1, 4))
	f.runRound()
	f.runRound()
	if got := f.countRuns(urgent); got != 0 {
		t.Error("runs of another team were stopped although the urgent job can wait")
	}
	// The objective is 2 x 2 s + 1 s: the job has to start within 3 s.
	f.now = f.now.Add(2 * time.Second)
	for _, w := range f.workers {
		f.report(w)
	}
	f.runRound()
	f.runRound()
	if got, want := f.countRuns(urgent), 1; got != want {
		t.Errorf("got %d urgent runs, want %d", got, want)
	}
}

// In a burst of gangs on borrowed accelerators, guaranteed gangs were spread over racks because borrowers occupied each rack
// in part, and ran several times slower. A claim has to preempt the borrowers of one rack instead.
func TestGuaranteedGangIsNotSpreadOverRacks(t *testing.T) {
	f := newFixture(t, batch.Team{Name: "owner", Guarantee: 16})
	for i, rack := range []string{"r1", "r1", "r2", "r2"} {
		f.addWorker(fmt.Sprintf("n%d", i), rack)
	}
	// A borrower on each rack leaves one worker of the rack free.
	borrower := gpuStep(1, 8)
	for _, rack := range []string{"r1", "r2"} {
		borrower.DataRack = rack
		f.submit("p1", "other", borrower)
	}
	f.runRound()
	rackLocal := gangStep(2, 8)
	rackLocal.RackLocal = true
	claim := f.submit("p0", "owner", rackLocal)
	f.runRound()
	f.runRound()
	racks := map[string]int{}
	for _, w := range f.workers {
		for _, status := range w.running {
			if status.Task.Job == claim {
				racks[w.Labels[1]]++
			}
		}
	}
	if len(racks) != 1 || f.countRuns(claim) != 2 {
		t.Errorf("got members by rack %v, want both on the same rack", racks)
	}
}
