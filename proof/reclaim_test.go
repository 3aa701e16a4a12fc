package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wagtailhoist/io/store"
)

const (
	// reclaimGrace is the declared grace of the guarantee: the limit from the claim until the whole guaranteed gang runs.
	reclaimGrace = 5 * time.Second
	// reclaimDocument guarantees three whole workers of one rack.
	reclaimDocument = `teams:
  - name: stock
    weight: 1
  - name: plans
    weight: 1
    guarantees:
      - name: night
        shape: {tasks: 3, gpus: 8, adjacent: rack}
        centre: lausanne
        grace: 5s
`
	// borrowerCount is the number of jobs without a guarantee; they fill the six workers of two racks.
	borrowerCount = 6
)

// storeDown makes every call to the store fail.
var storeDown = map[string]any{"mode": "down", "of": "store"}

// command runs an operator's command against an entry and returns its output.
func command(t *testing.T, entry *process, args ...string) (string, error) {
	t.Helper()
	args = append([]string{args[0], "--admin", entry.url("admin"), "--token", "t"}, args[1:]...)
	out, err := exec.Command(filepath.Join(binDir, "wagtailhoist"), args...).CombinedOutput()
	return string(out), err
}

// startReclaim starts the platform with two racks of three workers and two entries, of which the first owns the cell,
// and fills all GPUs with jobs of a team without a guarantee.
func startReclaim(t *testing.T) (g *cluster, owner, other *process) {
	t.Helper()
	g = &cluster{t: t, platform: start(t, "stand", "platform", "--centres", "lausanne=6")}
	g.store = &store.Client{URL: g.platform.url("listen")}
	owner = g.entry("a").ready("link")
	g.applyTeams(owner, reclaimDocument)
	other = g.entry("b").ready("link")
	for n := range borrowerCount {
		job := fmt.Sprintf("job borrower-%d of stock 1x8 checkpoint grace 1s estimate 1h", n)
		eventually(t, eventTimeout, "a borrower is submitted", func() bool {
			_, err := command(t, other, append([]string{"query"}, strings.Fields(job)...)...)
			return err == nil
		})
	}
	// No worker may stay idle for the sake of an unclaimed guarantee.
	eventually(t, eventTimeout, "the borrowers use every worker", func() bool { return g.running("borrower-") == borrowerCount })
	return g, owner, other
}

// applyTeams applies a declaration at an entry.
func (g *cluster) applyTeams(entry *process, document string) {
	g.t.Helper()
	file := filepath.Join(g.t.TempDir(), "teams.yaml")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		g.t.Fatal(err)
	}
	if out, err := command(g.t, entry, "apply", file); err != nil {
		g.t.Fatalf("apply: %v\n%s", err, out)
	}
}

// running returns the number of running tasks whose names begin with prefix.
func (g *cluster) running(prefix string) int {
	state := map[string]string{}
	for _, e := range g.taskLog() {
		if strings.HasPrefix(e.Task, prefix) && e.Event != "saved" {
			state[e.Task] = e.Event
		}
	}
	return countInState(state, "running")
}

// startOf returns when the last of a job's tasks began to run, on the platform's clock, and the workers of the tasks.
// It returns nil workers until n tasks have started.
func (g *cluster) startOf(job string, n int) (time.Duration, []string) {
	var last int64
	var workers []string
	for _, e := range g.taskLog() {
		if strings.HasPrefix(e.Task, job+".") && e.Event == "running" {
			last = max(last, e.Time)
			workers = append(workers, e.Worker)
		}
	}
	if len(workers) < n {
		return 0, nil
	}
	return time.Duration(last) * time.Microsecond, workers
}

// A guaranteed gang has to run within its declared grace, even if a process, a worker or the store fails while the jobs
// that borrow its workers are preempted.
func TestGuaranteeIsReclaimedWithinItsGrace(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before runs just before the claim, after just after its acceptance.
		before, after func(g *cluster, owner *process)
		// outage takes the store down before the claim, which only the owner accepts then.
		outage bool
	}{
		{name: "no fault"},
		{name: "owner killed", after: func(_ *cluster, owner *process) { owner.signal(syscall.SIGKILL) }},
		{name: "owner paused", after: func(_ *cluster, owner *process) { owner.pause() }},
		{name: "worker lost before", before: func(g *cluster, _ *process) { g.loseFirstWorker() }},
		{name: "worker lost after", after: func(g *cluster, _ *process) { g.loseFirstWorker() }},
		{name: "store answers lost", before: func(g *cluster, _ *process) {
			g.fault(map[string]any{"mode": "lost", "of": "store", "method": "PUT", "path": "/kv/cells/ch-west/plan", "count": 3})
		}},
		{name: "worker service answers lost", before: func(g *cluster, _ *process) {
			g.fault(map[string]any{"mode": "lost", "of": "works", "method": "DELETE", "count": 3})
		}},
		{name: "checkpoints hang", before: func(g *cluster, _ *process) {
			for n := range borrowerCount {
				path := fmt.Sprintf("/tasks/borrower-%d.1.0/checkpoint", n)
				g.fault(map[string]any{"mode": "silent", "of": "works", "method": "POST", "path": path})
			}
		}},
		{name: "owner killed while checkpoints hang", before: func(g *cluster, _ *process) {
			for n := range borrowerCount {
				path := fmt.Sprintf("/tasks/borrower-%d.1.0/checkpoint", n)
				g.fault(map[string]any{"mode": "silent", "of": "works", "method": "POST", "path": path})
			}
		}, after: func(_ *cluster, owner *process) { owner.signal(syscall.SIGKILL) }},
		{name: "owner killed and worker lost", after: func(g *cluster, owner *process) {
			g.loseFirstWorker()
			owner.signal(syscall.SIGKILL)
		}},
		{name: "store down before the claim", outage: true},
		{name: "store down without answers before the claim", outage: true, before: func(g *cluster, _ *process) {
			g.fault(map[string]any{"mode": "silent", "of": "store"})
		}},
		{name: "store down before the claim and worker lost after", outage: true, after: func(g *cluster, _ *process) { g.loseFirstWorker() }},
		{name: "store down before the claim, back after it, and owner killed", outage: true, after: func(g *cluster, owner *process) {
			g.fault(map[string]any{"mode": "clear"})
			eventually(g.t, eventTimeout, "the claim is stored", func() bool {
				plan, _, _ := g.plan()
				return plan.Has("timetable")
			})
			owner.signal(syscall.SIGKILL)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g, owner, other := startReclaim(t)
			if tc.before != nil {
				tc.before(g, owner)
			}
			at := other
			if tc.outage {
				g.fault(storeDown)
				at = owner
			}
			claimed := g.platformTime()
			eventually(t, eventTimeout, "the claim is accepted", func() bool {
				_, err := command(t, at, "query", "job", "timetable", "of", "plans", "3x8", "adjacent", "rack", "guarantee", "night")
				return err == nil
			})
			if tc.after != nil {
				tc.after(g, owner)
			}
			var began time.Duration
			var workers []string
			eventually(t, eventTimeout, "the guaranteed gang runs", func() bool {
				began, workers = g.startOf("timetable", 3)
				return workers != nil
			})
			t.Logf("the guaranteed gang runs %v after the claim on %v", began-claimed, workers)
			if got := began - claimed; got > reclaimGrace {
				t.Errorf("time from the claim to the running gang: got %v, want at most %v", got, reclaimGrace)
			}
		})
	}
}
