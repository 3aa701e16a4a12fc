package proof

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"wagtailhoist/core/config"
	"wagtailhoist/core/model"
)

// rehomeDocument is reclaimDocument with a guarantee that may be assigned to any data centre.
var rehomeDocument = strings.Replace(reclaimDocument, "        centre: lausanne\n", "", 1)

// moveLimit is the documented limit from the loss of a worker until the guarantee is assigned to another cell: 1 s to
// list the workers, 2 s between decisions, 5 s of shortfall, and 1 s to write and distribute the revision.
const moveLimit = 9 * time.Second

// guaranteeCells returns the cell of each guarantee according to the store.
func (g *cluster) guaranteeCells() map[string]model.CellID {
	item, err := g.store.Get(context.Background(), config.Key)
	if err != nil {
		return nil
	}
	record, err := config.Decode(item.Value)
	if err != nil {
		g.t.Fatal(err)
	}
	return record.GuaranteeCells
}

// A guarantee must not stay in shortfall after its data centre lost a worker if another data centre has capacity. The
// job that claims it must move along and must not run in both.
func TestGuaranteeMovesToAnotherCentre(t *testing.T) {
	for _, tc := range []struct {
		name string
		// running makes the claim run before the worker is lost.
		running bool
		after   func(entries []*process)
	}{
		{name: "claimed afterwards"},
		{name: "claimed before", running: true},
		{name: "claimed before, owner killed", running: true, after: func(entries []*process) { entries[0].signal(syscall.SIGKILL) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := newClusterWith(t, "lausanne=3,chur=3", "teams: []\n")
			entries := []*process{g.entry("a").ready("link"), g.entry("b").ready("link")}
			file := filepath.Join(t.TempDir(), "teams.yaml")
			if err := os.WriteFile(file, []byte(rehomeDocument), 0o600); err != nil {
				t.Fatal(err)
			}
			if out, err := command(t, entries[1], "apply", file); err != nil {
				t.Fatalf("apply: %v\n%s", err, out)
			}
			home := g.guaranteeCells()["plans/night"]
			if home == "" {
				t.Fatal("the stored configuration names no cell of the guarantee")
			}
			centre := map[model.CellID]string{"ch-west": "lausanne", "ch-east": "chur"}[home]
			claim := func() {
				eventually(t, eventTimeout, "the claim is accepted", func() bool {
					_, err := command(t, entries[1], "query", "job", "timetable", "of", "plans", "3x8", "adjacent", "rack",
						"checkpoint", "grace", "1s", "guarantee", "night")
					return err == nil
				})
			}
			runs := func() []string {
				var workers []string
				for _, e := range g.taskLog() {
					if e.Event == "running" {
						workers = append(workers, e.Worker)
					}
				}
				return workers
			}
			lost := centre + "-w1"
			if tc.running {
				claim()
				eventually(t, eventTimeout, "the claim runs", func() bool { return len(runs()) == 3 })
				lost = runs()[0]
			}
			began := g.platformTime()
			g.fault(map[string]any{"mode": "lose", "worker": lost})
			if tc.after != nil {
				tc.after(entries)
			}
			eventually(t, eventTimeout, "the guarantee moves", func() bool {
				now := g.guaranteeCells()["plans/night"]
				return now != "" && now != home
			})
			moved := g.platformTime() - began
			if moved > moveLimit {
				t.Errorf("time from the loss to the move: got %v, want at most %v", moved, moveLimit)
			}
			if !tc.running {
				claim()
			}
			before := 0
			if tc.running {
				before = 3
			}
			eventually(t, eventTimeout, "the claim runs in the other data centre", func() bool { return len(runs()) >= before+3 })
			t.Logf("moved after %v, ran after %v on %v", moved, g.platformTime()-began, runs())
			again := runs()[before:]
			if len(again) != 3 || slices.ContainsFunc(again, func(w string) bool { return strings.HasPrefix(w, centre) }) {
				t.Errorf("tasks after the move: got %v, want three outside %s", again, centre)
			}
			out, err := command(t, entries[1], "query", "show", "jobs")
			if n := strings.Count(out, "timetable"); err != nil || n != 1 {
				t.Errorf("the job in all cells: got %d, %v, want one\n%s", n, err, out)
			}
		})
	}
}
