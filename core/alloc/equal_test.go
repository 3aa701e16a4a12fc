package alloc

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// randomStep returns a step with some of the restrictions that a step may have.
func randomStep(rng *rand.Rand, racks int) batch.Step {
	s := batch.Step{
		Count: 1 + rng.Intn(12), Estimate: time.Duration(500+rng.Intn(9000)) * time.Millisecond,
		Need: batch.Amount{CPU: int64(1000 * (1 + rng.Intn(50))), Memory: 100, GPU: []int64{0, 1, 1, 1, 2, 4, 8}[rng.Intn(7)]},
		Gang: rng.Intn(4) == 0, Checkpoints: rng.Intn(2) == 0, RackLocal: rng.Intn(6) == 0,
	}
	if rng.Intn(4) == 0 {
		s.DataRack = fmt.Sprintf("r%d", rng.Intn(racks))
	}
	if rng.Intn(6) == 0 {
		s.MaxPerWorker = 1 + rng.Intn(3)
	}
	if rng.Intn(6) == 0 {
		s.RequiredLabel = []string{"a", "b"}[rng.Intn(2)]
	}
	switch rng.Intn(12) {
	case 0:
		s.CPUExempt = true
	case 1:
		s.MaxTailLatency = time.Second
	}
	return s
}

// playRandomLoad lets a scheduler with the given plan function serve a random load of some teams, and returns its decisions by
// plan. The load of one team doesn't depend on the order.
func playRandomLoad(t *testing.T, seed int64, order TeamOrder, teams []model.Team, plan func(s *Scheduler, now, wall time.Time)) []string {
	rng := rand.New(rand.NewSource(seed))
	f := newFixture(t, batch.Team{Name: "a", Guarantee: int64(rng.Intn(40))})
	f.scheduler.Settings.TeamOrder = order
	var decisions []string
	f.scheduler.Trace = func(e Event) { decisions = append(decisions, fmt.Sprint(e.Kind, e.Run, e.Worker, e.Centre, e.Detail)) }
	racks := 1 + rng.Intn(4)
	evacuations := rng.Intn(2) == 0
	for i := range 3 + rng.Intn(20) {
		w := f.addWorker(fmt.Sprintf("n%02d", i), fmt.Sprintf("r%d", rng.Intn(racks)))
		if rng.Intn(2) == 0 {
			w.Labels[0] = "b"
		}
		if evacuations {
			// A rack may have workers in two data centres.
			w.Centre = fmt.Sprintf("c%d", rng.Intn(2)+rng.Intn(2))
			f.report(w)
		}
	}
	var evacuated []string
	var plans []string
	for range 40 {
		f.now = f.now.Add(time.Duration(50+rng.Intn(400)) * time.Millisecond)
		if evacuations && rng.Intn(6) == 0 {
			evacuated = nil
			for range rng.Intn(3) {
				evacuated = append(evacuated, fmt.Sprintf("c%d", rng.Intn(4)))
			}
		}
		for range rng.Intn(4) {
			team := teams[0]
			if len(teams) > 1 {
				// The first team submits half of all jobs.
				team = teams[max(0, rng.Intn(2*len(teams)-2)-len(teams)+2)]
			}
			f.submit(fmt.Sprintf("p%d", rng.Intn(3)), team, randomStep(rng, racks), batch.Step{
				Count: 2, After: []int{0}, Need: batch.Amount{CPU: 1000, GPU: 1}, Estimate: time.Second,
			})
		}
		decisions = nil
		f.scheduler.SetEvacuated(f.now, evacuated)
		f.scheduler.EnforceEvacuation(f.now, f.now)
		f.scheduler.PreemptStalled(f.now)
		plan(&f.scheduler, f.now, f.now)
		slices.Sort(decisions)
		plans = append(plans, strings.Join(decisions, "\n"))
		f.storeProgress()
		f.executeOrders()
		for _, id := range f.sortedWorkerIDs() {
			w := f.workers[id]
			w.coldTime = 0
			if evacuations && rng.Intn(5) == 0 {
				w.coldTime = time.Second
			}
			for _, status := range slices.Clone(w.running) {
				if rng.Intn(8) == 0 {
					w.end(status.RunID, []batch.Cause{batch.EndDone, batch.EndDone, batch.EndFailed}[rng.Intn(3)])
				}
			}
			f.report(w)
		}
	}
	return plans
}

// Plan must decide as the reference does, which compares each step with all workers: its caches and its knowledge of what
// doesn't fit must not change a placement, a stop or a reservation.
func TestPlanDecidesLikeTheReference(t *testing.T) {
	for _, tc := range []struct {
		order TeamOrder
		teams []model.Team
	}{{ByDeadline, []model.Team{"a"}}, {ByShare, []model.Team{"a", "b", "c", "d"}}} {
		t.Run(string(tc.order), func(t *testing.T) { comparePlans(t, tc.order, tc.teams) })
	}
}

// comparePlans compares the decisions of Plan with those of the reference.
func comparePlans(t *testing.T, order TeamOrder, teams []model.Team) {
	placements, stops, turns := 0, 0, 0
	for seed := range int64(50) {
		want := playRandomLoad(t, seed, order, teams, referencePlanOf)
		got := playRandomLoad(t, seed, order, teams, planOf)
		for i := range want {
			placements += strings.Count(want[i], "placed")
			stops += strings.Count(want[i], "room for")
			turns += strings.Count(want[i], "by share (turn ") - strings.Count(want[i], "by share (turn 0)")
			if got[i] != want[i] {
				t.Fatalf("seed %d, plan %d:\ngot\n%s\nwant\n%s", seed, i, got[i], want[i])
			}
		}
	}
	if placements < 1000 || stops < 50 {
		t.Errorf("got %d placements and %d stops, want at least 1000 and 50 for the comparison to mean something", placements, stops)
	}
	if order == ByShare && turns < 100 {
		t.Errorf("got %d placements whose order the share has changed, want at least 100 for the comparison to mean something", turns)
	}
}

// planOf is Plan as a plan function.
func planOf(s *Scheduler, now, wall time.Time) { s.Plan(now, wall) }
