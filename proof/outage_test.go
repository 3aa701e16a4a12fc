package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/cell"
)

// Decisions that the owner makes during a store outage must not be lost, undone or carried out twice when the store
// returns: not by the owner, an entry that ran during the outage, or one that starts when it ends.
func TestDecisionsOfAnOutageAreKept(t *testing.T) {
	t.Parallel()
	g, owner, other := startReclaim(t)
	g.fault(storeDown)
	claim := strings.Fields("query job timetable of plans 3x8 adjacent rack guarantee night")
	eventually(t, eventTimeout, "the claim is accepted", func() bool {
		out, err := command(t, owner, claim...)
		if err == nil && !strings.Contains(out, "not yet stored") {
			t.Errorf("answer to the claim: got %q, want it to say that it is not yet stored", out)
		}
		return err == nil
	})
	eventually(t, eventTimeout, "the guaranteed gang runs", func() bool { return g.running("timetable.") == 3 })
	// The first attempts may fail with an unknown effect, because their writes are on their way to the store.
	var out string
	eventually(t, eventTimeout, "another entry refuses", func() bool {
		var err error
		out, err = command(t, other, "query", "job", "elsewhere", "of", "stock", "1x8")
		return err != nil && strings.Contains(out, "ask entry a")
	})
	var cancelled string
	for n := range borrowerCount {
		if name := fmt.Sprintf("borrower-%d", n); cancelled == "" && g.running(name) == 1 {
			cancelled = name
		}
	}
	if out, err := command(t, owner, "query", "cancel", cancelled); err != nil || !strings.Contains(out, "not yet stored") {
		t.Errorf("cancel %s: got %q, %v, want it accepted but not yet stored", cancelled, out, err)
	}
	eventually(t, eventTimeout, "the cancelled job stops", func() bool { return g.running(cancelled) == 0 })
	if got, _, _ := g.plan(); got.Revision != 0 {
		t.Fatalf("the store answers during the outage: revision %d", got.Revision)
	}
	g.fault(map[string]any{"mode": "clear"})
	g.entry("c").ready("link")
	eventually(t, eventTimeout, "the owner holds the cell again", func() bool {
		items, _, err := g.store.List(t.Context(), "cells/ch-west/owner")
		return err == nil && len(items) == 1
	})
	// This exceeds the time in which another entry would contend for the cell and take it over.
	time.Sleep(3 * time.Second)
	plan, _, _ := g.plan()
	if j := plan.Jobs["timetable"]; plan.Epoch != 1 || plan.Owner != "a" || j == nil || j.Phase != cell.Released || j.Placement != 1 {
		t.Errorf("plan in the store: got epoch %d of %s with the guaranteed gang %+v, want epoch 1 of a, released", plan.Epoch, plan.Owner, j)
	}
	if j := plan.Jobs["timetable"]; plan.Jobs["borrower-0"] == nil && cancelled != "borrower-0" || j == nil {
		t.Errorf("plan in the store lacks jobs: %v", plan.Jobs)
	}
	ended := false
	for _, e := range plan.Ended {
		ended = ended || string(e.Job) == cancelled && e.Cause == cell.Cancelled
	}
	if !ended {
		t.Errorf("ended jobs in the store: got %v, want %s cancelled", plan.Ended, cancelled)
	}
	g.checkRanOnce(t)
	if got := g.running("timetable."); got != 3 {
		t.Errorf("running tasks of the guaranteed gang: got %d, want 3", got)
	}
}

// checkRanOnce checks that no task was started twice and that no two placements of a job ran at the same time.
func (g *cluster) checkRanOnce(t *testing.T) {
	t.Helper()
	starts, running := map[string]int{}, map[string]string{}
	for _, e := range g.taskLog() {
		job, _, _ := strings.Cut(e.Task, ".")
		placement := e.Task[:strings.LastIndex(e.Task, ".")]
		switch e.Event {
		case "running":
			if starts[e.Task]++; starts[e.Task] > 1 {
				t.Errorf("%s was started %d times", e.Task, starts[e.Task])
			}
			if p := running[job]; p != "" && p != placement {
				t.Errorf("%s and %s run at the same time", p, placement)
			}
			running[job] = placement
		case "saved", "prepared":
		default:
			if running[job] == placement {
				delete(running, job)
			}
		}
	}
}
