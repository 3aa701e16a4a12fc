package alloc

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/batch"
)

// Guards against a guarantee that others keep: with all accelerators lent out, a claim gets them back, and no
// more runs are stopped than it needs.
func TestGuaranteeIsReclaimed(t *testing.T) {
	b := newBench(t, batch.Team{Name: "owner", Guarantee: 8})
	b.worker("n1", "r1")
	b.worker("n2", "r1")
	lent := b.submit("p2", "other", gpus(16, 1))
	b.step()
	claim := b.submit("p0", "owner", gang(2, 4))
	b.step()
	b.step()
	if got, want := b.runs(claim), 2; got != want {
		t.Errorf("got %d members of the claim, want %d", got, want)
	}
	if got, want := b.runs(lent), 8; got != want {
		t.Errorf("got %d lent runs left, want %d", got, want)
	}
}

// Guards against urgent work that waits behind work with time to spare (load: a burst beyond the guarantee), and
// against stops while it could still wait.
func TestUrgentWorkStopsOthersOnlyWhenItWouldBeLate(t *testing.T) {
	b := newBench(t)
	b.worker("n1", "r1")
	lent := gpus(8, 1)
	lent.Checkpoints = true
	b.submit("p2", "other", lent)
	b.step()
	urgent := b.submit("p0", "a", gpus(1, 4))
	b.step()
	b.step()
	if got := b.runs(urgent); got != 0 {
		t.Error("others were stopped although the urgent job can wait")
	}
	// The objective is 2 x 2 s + 1 s: the job has to start within 3 s.
	b.now = b.now.Add(2 * time.Second)
	for _, w := range b.workers {
		b.report(w)
	}
	b.step()
	b.step()
	if got, want := b.runs(urgent), 1; got != want {
		t.Errorf("got %d urgent runs, want %d", got, want)
	}
}

// Guards against guaranteed gangs that are spread over racks while borrowers fill the racks, which makes them several times
// slower (load: a burst of gangs on lent accelerators), and against a claim that waits too long for one rack.
func TestGuaranteedGangReclaimsOneRack(t *testing.T) {
	b := newBench(t, batch.Team{Name: "owner", Guarantee: 16})
	for i, rack := range []string{"r1", "r1", "r2", "r2"} {
		b.worker(fmt.Sprintf("n%d", i), rack)
	}
	// Two borrowers of a rack each leave one worker of each rack free.
	borrowed := gpus(1, 8)
	for _, rack := range []string{"r1", "r2"} {
		borrowed.DataRack = rack
		b.submit("p1", "other", borrowed)
	}
	b.step()
	tight := gang(2, 8)
	tight.RackLocal = true
	claim := b.submit("p0", "owner", tight)
	b.step()
	b.step()
	racks := map[string]int{}
	for _, w := range b.workers {
		for _, l := range w.running {
			if l.Task.Job == claim {
				racks[w.Labels[1]]++
			}
		}
	}
	if len(racks) != 1 || b.runs(claim) != 2 {
		t.Errorf("got members %v by rack, want both in one", racks)
	}
}
